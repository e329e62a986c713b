#include "Emulator/AnswerContent.h"

#include "AsyncIo/HttpMessage.h"
#include "Common/Digest.h"

namespace pollenyoke::emulator
{

namespace
{

constexpr std::size_t mark_digits = 16;
constexpr unsigned min_events = 4;
constexpr unsigned max_events = 20;
constexpr std::size_t filler_lines = 12;
// Beyond what the kernel buffers for a server that does not read.
constexpr std::size_t long_body_bytes = 3'000'000;

std::string mark(std::string_view text)
{
  return to_hex(sha256(text)).substr(0, mark_digits);
}

std::string join(std::string_view request, std::uint64_t run, unsigned number)
{
  return std::string(request) + " " + std::to_string(run) + " " + std::to_string(number);
}

/// Run that a text `RUN.MARK` names, if its mark is the one of this request.
std::optional<std::uint64_t> signed_run(std::string_view request, std::string_view signature)
{
  std::uint64_t run = 0;
  const bool valid = async_io::parse_number(signature.substr(0, signature.find('.')), run) &&
                     make_signature(request, run) == signature;
  return valid ? std::optional(run) : std::nullopt;
}

} // namespace

std::string make_signature(std::string_view request, std::uint64_t run)
{
  return std::to_string(run) + "." + mark("seal " + join(request, run, 0));
}

std::string make_body(std::string_view request, std::uint64_t run)
{
  std::string out;
  for (unsigned line = 1; line <= filler_lines; ++line)
  {
    out.append(join(request, run, line)).append(" ").append(mark(join(request, run, line)));
    out.append("\n");
  }
  return out;
}

std::string make_request_body(std::string_view request)
{
  const std::string unit = make_body(request, 0);
  std::string out = unit;
  while (request.starts_with(upload_prefix) && out.size() < long_body_bytes)
  {
    out += unit;
  }
  return out;
}

unsigned event_count(std::string_view request)
{
  const std::string digits = mark(request).substr(0, 4);
  return min_events +
         static_cast<unsigned>(std::stoul(digits, nullptr, 16)) % (max_events - min_events + 1);
}

std::string make_event(std::string_view request, std::uint64_t run, unsigned number)
{
  const std::string content = join(request, run, number);
  return "id: " + std::to_string(number) + "\ndata: " + content + " " + mark(content) + "\n\n";
}

std::string check_body(std::string_view request, std::string_view signature, std::string_view body)
{
  const auto run = signed_run(request, signature);
  if (!run)
  {
    return "signature is not one of this request";
  }
  return make_body(request, *run) == body ? "" : "body is not the server's whole body";
}

void stream_checker::feed(std::string_view data)
{
  m_partial.append(data);
  auto end = m_partial.find("\n\n");
  while (end != std::string::npos)
  {
    check_event(std::string_view(m_partial).substr(0, end + 2));
    m_partial.erase(0, end + 2);
    end = m_partial.find("\n\n");
  }
}

void stream_checker::check_event(std::string_view event)
{
  if (!m_problem.empty())
  {
    return;
  }
  // The content stands after the event's id as "REQUEST RUN NUMBER MARK".
  const std::string start = "id: " + std::to_string(m_last + 1) + "\ndata: " + m_request + " ";
  std::uint64_t run = 0;
  const std::string_view rest =
      event.starts_with(start) ? event.substr(start.size()) : std::string_view{};
  if (!async_io::parse_number(rest.substr(0, rest.find(' ')), run) ||
      make_event(m_request, run, m_last + 1) != event)
  {
    m_problem = "event after number " + std::to_string(m_last) + " is not the next one";
    return;
  }
  ++m_last;
}

void stream_checker::end()
{
  if (m_problem.empty() && (!m_partial.empty() || m_last != event_count(m_request)))
  {
    m_problem = "stream ends as complete after event " + std::to_string(m_last) + " of " +
                std::to_string(event_count(m_request));
  }
}

} // namespace pollenyoke::emulator
