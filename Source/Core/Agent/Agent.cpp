#include "Agent/Agent.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "Agent/RequestExecutor.h"
#include "Agent/WeightManager.h"
#include "Common/Log.h"
#include "Keys/KeyOwner.h"
#include "Process/Process.h"

namespace pollenyoke::agent
{

namespace
{

using nlohmann::json;

constexpr std::string_view weights_path = "/weights/";
constexpr std::chrono::milliseconds slot_retry{500};

class agent_role final : public process::process_base
{
public:
  explicit agent_role(const protocol::settings& with) : process_base(with) {}
  ~agent_role() override
  {
    stop();
  }
  agent_role(const agent_role&) = delete;
  agent_role& operator=(const agent_role&) = delete;
  agent_role(agent_role&&) = delete;
  agent_role& operator=(agent_role&&) = delete;

  void planned_stop() override;
  transport::endpoint http_endpoint() const override
  {
    return m_http->local_endpoint();
  }

private:
  result<void> make_components() override;
  result<void> start_components() override;
  void stop_components() override;
  bool handle_frame(transport::connection_id from, const transport::frame& message) override;
  void handle_closed(transport::connection_id connection) override;
  void handle_leaving(bool leaving) override;
  void describe_role(protocol::heartbeat& own) const override;
  void dump_role(json& to) const override;

  void keep_slots();
  transport::http_response serve_http(const transport::http_request& request);

  std::unique_ptr<transport::http_server> m_http;
  std::unique_ptr<weight_manager> m_weights;
  std::unique_ptr<keys::key_owner> m_keys;
  std::unique_ptr<request_executor> m_executor;

  std::thread m_slot_keeper;
  std::mutex m_slot_mutex;
  std::condition_variable m_slot_change;
  bool m_give_up_slots = false;
  bool m_stopping = false;
};

result<void> agent_role::make_components()
{
  auto http = transport::http_server::start({.listen = settings().listen.http},
                                            [this](const transport::http_request& request)
                                            { return serve_http(request); });
  if (!http)
  {
    return tl::unexpected(http.error());
  }
  m_http = std::move(*http);
  if (settings().backend->kind == protocol::backend_kind::engine)
  {
    m_weights = std::make_unique<weight_manager>(
        weight_manager::dependencies{settings(), incarnation(), node(), members(), links(),
                                     follower(), metrics(), m_http->local_endpoint()});
  }
  else
  {
    m_keys = std::make_unique<keys::key_owner>(
        keys::key_owner::dependencies{settings(), incarnation(), log(), members(), metrics()});
  }
  m_executor = std::make_unique<request_executor>(request_executor::dependencies{
      settings(), incarnation(), node(), links(), m_weights.get(), m_keys.get(), metrics()});
  if (m_weights)
  {
    // Entries route by the versions in heartbeats, so that a change is announced at once.
    m_weights->on_change([this] { members().announce(); });
  }
  return {};
}

result<void> agent_role::start_components()
{
  if (m_weights)
  {
    m_weights->start();
  }
  if (m_keys)
  {
    m_keys->start();
    m_slot_keeper = std::thread([this] { keep_slots(); });
  }
  return {};
}

void agent_role::stop_components()
{
  if (m_executor)
  {
    m_executor->stop();
  }
  if (m_weights)
  {
    m_weights->stop();
  }
  if (m_keys)
  {
    m_keys->stop();
  }
  {
    const std::lock_guard lock(m_slot_mutex);
    m_stopping = true;
    m_slot_change.notify_all();
  }
  if (m_slot_keeper.joinable())
  {
    m_slot_keeper.join();
  }
  if (m_http)
  {
    m_http->stop();
  }
}

bool agent_role::handle_frame(transport::connection_id from, const transport::frame& message)
{
  return m_executor->handle_frame(from, message) ||
         (m_weights && m_weights->handle_frame(from, message));
}

void agent_role::handle_closed(transport::connection_id connection)
{
  m_executor->handle_closed(connection);
  if (m_weights)
  {
    m_weights->handle_closed(connection);
  }
}

void agent_role::handle_leaving(bool leaving)
{
  m_executor->set_leaving(leaving);
  const std::lock_guard lock(m_slot_mutex);
  m_give_up_slots = leaving;
  m_slot_change.notify_all();
}

// Entries send keyed requests to the owner of the slot, so that a leaving owner gets new work until
// it has released its slots. Until another agent owns them, their keys are answered "not run". A
// release that has begun is completed before slots are taken again: its record may be in the log
// already.
void agent_role::keep_slots()
{
  bool released = false;
  std::unique_lock lock(m_slot_mutex);
  while (!m_stopping)
  {
    if (m_give_up_slots == released)
    {
      m_slot_change.wait(lock, [&] { return m_stopping || m_give_up_slots != released; });
      continue;
    }
    const bool give_up = m_give_up_slots;
    lock.unlock();
    if (give_up)
    {
      m_keys->release_slots();
      released = true;
    }
    else
    {
      released = !m_keys->resume();
    }
    lock.lock();
    if (released != give_up)
    {
      m_slot_change.wait_for(lock, slot_retry, [this] { return m_stopping; });
    }
  }
}

void agent_role::describe_role(protocol::heartbeat& own) const
{
  own.in_flight = m_executor->in_flight();
  own.capacity = m_executor->capacity();
  if (m_weights)
  {
    own.serving = m_weights->serving();
  }
}

void agent_role::planned_stop()
{
  begin_planned_stop();
  if (!m_executor->drain(settings().requests.drain_timeout))
  {
    log_warning(log_category::process, "planned stop: requests were still in progress at the limit",
                {{"in_flight", m_executor->in_flight()}});
  }
  if (m_keys)
  {
    m_keys->release_slots();
  }
  stop();
}

transport::http_response agent_role::serve_http(const transport::http_request& request)
{
  if (is_ready() && m_weights && request.path.starts_with(weights_path))
  {
    return m_weights->serve_weights(request);
  }
  return transport::error_response(404, "not found");
}

void agent_role::dump_role(json& to) const
{
  to["service"] = settings().service;
  to["requests"] = m_executor->dump();
  to["serving"] = json::array();
  if (m_weights)
  {
    for (const protocol::served_version& version : m_weights->serving())
    {
      to["serving"].push_back({{"model", version.model}, {"version", version.version}});
    }
    to["weights"] = m_weights->dump();
  }
  if (m_keys)
  {
    to["keys"] = m_keys->dump();
  }
}

} // namespace

result<std::unique_ptr<process::running_process>> start_agent(const protocol::settings& with)
{
  return process::start_role<agent_role>(with);
}

} // namespace pollenyoke::agent
