#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

result<void> fault_reader::finish() const
{
  if (!m_problem.empty())
  {
    return fail(error_code::invalid_argument, m_problem);
  }
  for (const auto& [key, value] : m_from.items())
  {
    if (!m_known.contains(key))
    {
      return fail(error_code::invalid_argument, key + ": unknown fault");
    }
  }
  return {};
}

http_response lost_answer()
{
  http_response response;
  response.stream = [](const transport::body_writer&)
  {
    return false;
  };
  return response;
}

http_response json_response(const json& body, int status)
{
  http_response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

stand_in::~stand_in() = default;

transport::endpoint stand_in::endpoint() const
{
  return m_endpoint;
}

result<void> stand_in::set_faults(const json& faults)
{
  if (!faults.is_object())
  {
    return fail(error_code::invalid_argument, "faults must be an object");
  }
  fault_reader reader(faults);
  {
    const std::lock_guard lock(m_mutex);
    read_faults(reader);
  }
  m_changed.notify_all();
  return reader.finish();
}

result<void> stand_in::listen(const transport::endpoint& at, std::size_t max_threads)
{
  m_endpoint = at;
  m_max_threads = max_threads;
  auto opened = open_server();
  if (opened)
  {
    m_restarter = std::thread([this] { restart_after_crash(); });
  }
  return opened;
}

result<void> stand_in::open_server()
{
  transport::http_server_options options;
  options.listen = m_endpoint;
  options.max_threads = m_max_threads;
  auto server = transport::http_server::start(options, [this](const http_request& request)
                                              { return dispatch(request); });
  if (!server)
  {
    return tl::unexpected(server.error());
  }
  const std::lock_guard lock(m_server_mutex);
  m_server = std::move(*server);
  if (m_endpoint.port == 0)
  {
    m_endpoint = m_server->local_endpoint();
  }
  return {};
}

http_response stand_in::dispatch(const http_request& request)
{
  if (m_crashed)
  {
    return lost_answer();
  }
  if (request.path == "/standin/counters")
  {
    return json_response(counters());
  }
  if (request.path == "/standin/faults" && request.method == "POST")
  {
    const auto done = set_faults(json::parse(request.body, nullptr, false));
    return done ? json_response(json::object())
                : transport::error_response(400, done.error().message);
  }
  return handle(request);
}

void stand_in::close()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  if (m_restarter.joinable())
  {
    m_restarter.join();
  }
  const std::lock_guard lock(m_server_mutex);
  m_server.reset();
}

void stand_in::crash(std::chrono::milliseconds downtime)
{
  {
    const std::lock_guard lock(m_mutex);
    crash_locked(downtime);
  }
  m_changed.notify_all();
}

void stand_in::crash_locked(std::chrono::milliseconds downtime)
{
  if (!m_crashed)
  {
    m_crashed = true;
    m_downtime = downtime;
    ++m_generation;
  }
}

bool stand_in::pause(std::chrono::nanoseconds time)
{
  return pause(time, m_generation);
}

bool stand_in::pause(std::chrono::nanoseconds time, std::uint64_t generation)
{
  std::unique_lock lock(m_mutex);
  return !m_changed.wait_for(lock, time, [&] { return ended(generation); });
}

// The server is stopped by its own thread, because a handler, which runs on a thread of the server,
// cannot wait for the server's threads.
void stand_in::restart_after_crash()
{
  while (true)
  {
    {
      std::unique_lock lock(m_mutex);
      m_changed.wait(lock, [this] { return m_stopping || m_crashed; });
      if (m_stopping)
      {
        return;
      }
    }
    {
      const std::lock_guard lock(m_server_mutex);
      m_server.reset();
    }
    if (!pause(m_downtime))
    {
      return;
    }
    {
      const std::lock_guard lock(m_mutex);
      forget_state();
      m_crashed = false;
    }
    // The port can be taken for a moment by an outgoing connection of another process.
    while (!open_server())
    {
      if (!pause(std::chrono::milliseconds(50)))
      {
        return;
      }
    }
  }
}

} // namespace pollenyoke::stand_ins
