#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pollenyoke::emulator
{

/// Answers whose content shows to which request and run they belong, and whether they are whole.
std::string make_signature(std::string_view request, std::uint64_t run);
std::string make_body(std::string_view request, std::uint64_t run);
/// Ids of requests with long bodies begin so.
constexpr char upload_prefix = 'u';
std::string make_request_body(std::string_view request);
/// Number of events of the stream that answers a request, the same for each of its runs.
unsigned event_count(std::string_view request);
std::string make_event(std::string_view request, std::uint64_t run, unsigned number);

/// What is wrong with a whole answer; empty if nothing.
std::string check_body(std::string_view request, std::string_view signature, std::string_view body);

/// Checks the events of one stream as they arrive.
class stream_checker
{
public:
  explicit stream_checker(std::string request) : m_request(std::move(request)) {}

  void feed(std::string_view data);
  /// The stream has ended in order.
  void end();
  const std::string& problem() const
  {
    return m_problem;
  }

private:
  void check_event(std::string_view event);

  std::string m_request;
  std::string m_partial;
  std::string m_problem;
  /// Id of the event that came last.
  unsigned m_last = 0;
};

} // namespace pollenyoke::emulator
