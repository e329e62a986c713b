#include "StandIns/ServiceStandIn.h"

#include "Common/Digest.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

result<std::unique_ptr<service_stand_in>> service_stand_in::start(const transport::endpoint& at,
                                                                  std::string name)
{
  std::unique_ptr<service_stand_in> made(new service_stand_in(std::move(name)));
  const auto listening = made->listen(at);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

service_stand_in::~service_stand_in()
{
  close();
}

json service_stand_in::counters() const
{
  const std::lock_guard lock(m_mutex);
  return {{"service", m_name}, {"runs", m_runs}, {"crashes", m_crashes}};
}

void service_stand_in::read_faults(fault_reader& from)
{
  from.read("delay_ms", m_delay_ms);
  from.read("restart_ms", m_restart_ms);
  from.read("crash_on", m_crash_on);
  from.read("lose_answers", m_lose_answers);
  from.read("hang", m_hang);
}

http_response service_stand_in::handle(const http_request& request)
{
  if (!request.path.starts_with("/call/"))
  {
    return transport::error_response(404, "no such path");
  }
  std::string_view id = transport::find_header(request.headers, "Idempotency-Key");
  if (id.empty())
  {
    id = transport::find_header(request.headers, "Pollenyoke-Request-Id");
  }
  std::unique_lock lock(m_mutex);
  const std::uint64_t generation = m_generation;
  ++m_runs[std::string(id)];
  const bool crashes = !m_crash_on.empty() && request.body.find(m_crash_on) != std::string::npos;
  m_crashes += crashes ? 1 : 0;
  const bool lost = !crashes && m_lose_answers > 0;
  m_lose_answers -= lost ? 1 : 0;
  m_changed.wait(lock, [&] { return ended(generation) || !m_hang; });
  const std::chrono::milliseconds delay(m_delay_ms);
  const std::chrono::milliseconds downtime(m_restart_ms);
  lock.unlock();
  if (crashes)
  {
    crash(downtime);
  }
  if (lost || !pause(delay, generation))
  {
    return lost_answer();
  }
  return json_response({{"service", m_name},
                        {"path", request.path.substr(5)},
                        {"echo", to_hex(sha256(request.body))}});
}

} // namespace pollenyoke::stand_ins
