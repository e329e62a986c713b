#include "StandIns/LogStandIn.h"

#include <algorithm>

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

namespace
{

std::uint64_t number_parameter(const http_request& request, std::string_view name,
                               std::uint64_t otherwise)
{
  const std::string text(transport::find_header(request.query, name));
  return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
}

/// The stream's name in `/streams/NAME/records`, or empty.
std::string stream_name(std::string_view path)
{
  constexpr std::string_view prefix = "/streams/";
  constexpr std::string_view suffix = "/records";
  if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
      path.size() <= prefix.size() + suffix.size())
  {
    return {};
  }
  return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

} // namespace

result<std::unique_ptr<log_stand_in>> log_stand_in::start(const transport::endpoint& at)
{
  std::unique_ptr<log_stand_in> made(new log_stand_in);
  // Long polls hold a thread each.
  const auto listening = made->listen(at, 1024);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

log_stand_in::~log_stand_in()
{
  close();
}

std::uint64_t log_stand_in::append(const std::string& stream, const json& record)
{
  std::uint64_t offset = 0;
  {
    const std::lock_guard lock(m_mutex);
    offset = append_locked(stream, record.dump()).offset;
  }
  m_changed.notify_all();
  return offset;
}

json log_stand_in::counters() const
{
  const std::lock_guard lock(m_mutex);
  json streams = json::object();
  for (const auto& [name, stream] : m_streams)
  {
    streams[name] = {{"first", stream.first()}, {"next", stream.next}};
  }
  return {{"appends", m_appends}, {"reads", m_reads}, {"streams", streams}};
}

void log_stand_in::read_faults(fault_reader& from)
{
  from.read("down", m_down);
  from.read("delay_ms", m_delay_ms);
  from.read("lose_answers", m_lose_answers);
  if (from.read("retention", m_retention))
  {
    for (auto& [name, stream] : m_streams)
    {
      expire(stream);
    }
  }
}

void log_stand_in::expire(stream_state& of) const
{
  while (of.records.size() > m_retention)
  {
    of.records.pop_front();
  }
}

log_stand_in::entry log_stand_in::append_locked(const std::string& name, std::string record)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  // Timestamps never decrease within the log.
  m_last_time_ms = std::max<std::int64_t>(m_last_time_ms, now);
  stream_state& to = m_streams[name];
  entry added{to.next++, m_last_time_ms, std::move(record)};
  to.records.push_back(added);
  expire(to);
  ++m_appends;
  return added;
}

http_response log_stand_in::handle(const http_request& request)
{
  const std::string name = stream_name(request.path);
  if (name.empty())
  {
    return transport::error_response(404, "no such path");
  }
  {
    const std::lock_guard lock(m_mutex);
    if (m_down)
    {
      return transport::error_response(503, "log is down");
    }
  }
  return request.method == "POST" ? answer_append(name, request.body) : answer_read(name, request);
}

bool log_stand_in::delay_answer()
{
  std::int64_t delay = 0;
  {
    const std::lock_guard lock(m_mutex);
    delay = m_delay_ms;
  }
  return delay <= 0 || pause(std::chrono::milliseconds(delay));
}

http_response log_stand_in::answer_append(const std::string& name, const std::string& body)
{
  if (!json::accept(body))
  {
    return transport::error_response(400, "record is not JSON");
  }
  bool lost = false;
  entry added{};
  {
    const std::lock_guard lock(m_mutex);
    added = append_locked(name, body);
    if (m_lose_answers > 0)
    {
      --m_lose_answers;
      lost = true;
    }
  }
  m_changed.notify_all();
  if (lost || !delay_answer())
  {
    return lost_answer();
  }
  return json_response({{"offset", added.offset}, {"time_ms", added.time_ms}});
}

http_response log_stand_in::answer_read(const std::string& name, const http_request& request)
{
  const std::uint64_t from = std::max<std::uint64_t>(1, number_parameter(request, "from", 1));
  const std::uint64_t max = std::min<std::uint64_t>(number_parameter(request, "max", 1000), 10000);
  const std::uint64_t wait_ms =
      std::min<std::uint64_t>(number_parameter(request, "wait_ms", 0), 30000);
  if (!delay_answer())
  {
    return lost_answer();
  }
  std::unique_lock lock(m_mutex);
  ++m_reads;
  m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                     [&] { return m_stopping || m_down || m_streams[name].next > from; });
  if (m_stopping || m_down)
  {
    return transport::error_response(503, "log is down");
  }
  const stream_state& source = m_streams[name];
  if (from < source.first())
  {
    return json_response({{"first", source.first()}}, 410);
  }
  const std::uint64_t end = std::max(from, std::min(source.next, from + max));
  std::string body = "{\"first\":" + std::to_string(source.first()) +
                     ",\"next\":" + std::to_string(end) + ",\"records\":[";
  for (std::uint64_t offset = from; offset < end; ++offset)
  {
    const entry& found = source.records[offset - source.first()];
    body += (offset == from ? "" : ",") + std::string("{\"offset\":") + std::to_string(offset) +
            ",\"time_ms\":" + std::to_string(found.time_ms) + ",\"record\":" + found.record + "}";
  }
  http_response response;
  response.body = body + "]}";
  return response;
}

} // namespace pollenyoke::stand_ins
