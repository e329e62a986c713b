#include "Gateway/EventRelay.h"

#include <algorithm>

#include "AsyncIo/HttpMessage.h"

namespace pollenyoke::gateway
{

namespace
{

// Events hold a few tokens, or a tool's whole output.
constexpr std::size_t max_event_bytes = 262'144;

/// Offset just after the blank line that ends the first event; npos if the event is incomplete.
std::size_t find_event_end(std::string_view text)
{
  const auto plain = text.find("\n\n");
  const auto crlf = text.find("\r\n\r\n");
  const std::size_t plain_end = plain == std::string_view::npos ? plain : plain + 2;
  const std::size_t crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  return std::min(plain_end, crlf_end);
}

std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
  while (!event.empty())
  {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r'))
    {
      line.remove_suffix(1);
    }
    if (line.starts_with("id:"))
    {
      line.remove_prefix(3);
      if (line.starts_with(' '))
      {
        line.remove_prefix(1);
      }
      std::uint64_t id = 0;
      return async_io::parse_number(line, id) ? std::optional(id) : std::nullopt;
    }
    event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
  }
  return std::nullopt;
}

/// Comments keep a connection busy; to repeat one does no harm.
bool is_comment(std::string_view event)
{
  return event.starts_with(':') && event.find("\ndata") == std::string_view::npos;
}

} // namespace

std::string event_relay::feed(std::string_view data)
{
  m_partial.append(data);
  std::string out;
  std::size_t used = 0;
  for (;;)
  {
    const std::string_view rest = std::string_view(m_partial).substr(used);
    const std::size_t end = find_event_end(rest);
    if (end == std::string_view::npos)
    {
      break;
    }
    const std::string_view event = rest.substr(0, end);
    const auto id = parse_event_id(event);
    if (!id || !m_last_id || *id > *m_last_id)
    {
      out.append(event);
    }
    if (id)
    {
      m_last_id = std::max(m_last_id.value_or(*id), *id);
    }
    else if (!is_comment(event))
    {
      m_can_resume = false;
    }
    used += end;
  }
  m_partial.erase(0, used);
  return out;
}

void event_relay::start_new_response()
{
  m_partial.clear();
}

bool event_relay::at_event_boundary() const
{
  return m_partial.empty();
}

bool event_relay::is_overlong() const
{
  return m_partial.size() > max_event_bytes;
}

std::optional<std::uint64_t> event_relay::last_id() const
{
  return m_last_id;
}

bool event_relay::can_resume() const
{
  return m_can_resume;
}

} // namespace pollenyoke::gateway
