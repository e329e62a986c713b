#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenyoke::gateway
{

/// Passes on the whole events of an event stream and holds back what is cut off. Events up to an id
/// that was passed on before are dropped, so that a stream can continue with another answer.
class event_relay
{
public:
  /// Bytes of all events that are whole with this data.
  std::string feed(std::string_view data);
  /// The next data come from another answer; an event that was cut off is dropped.
  void start_new_answer();
  /// True if no event is cut off.
  bool at_boundary() const;
  /// Id of the last event that was passed on.
  std::optional<std::uint64_t> last_id() const;

private:
  std::string m_partial;
  std::optional<std::uint64_t> m_last_id;
};

} // namespace pollenyoke::gateway
