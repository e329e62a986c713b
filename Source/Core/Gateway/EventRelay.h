#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenyoke::gateway
{

/// Forwards only complete events of a server-sent event stream and buffers a partial one. Drops
/// events whose id was already forwarded, so that a stream can resume with the response of another
/// server.
class event_relay
{
public:
  /// Adds data and returns all events that it completes.
  std::string feed(std::string_view data);
  /// Starts reading another response; a partial event is discarded.
  void start_new_response();
  /// True if no partial event is buffered.
  bool at_event_boundary() const;
  /// The partial event is longer than any that is forwarded.
  bool is_overlong() const;
  /// Highest event id that was forwarded.
  std::optional<std::uint64_t> last_id() const;
  /// False once an event without an id was forwarded: another server cannot be told to continue
  /// behind it.
  bool can_resume() const;

private:
  std::string m_partial;
  bool m_can_resume = true;
  std::optional<std::uint64_t> m_last_id;
};

} // namespace pollenyoke::gateway
