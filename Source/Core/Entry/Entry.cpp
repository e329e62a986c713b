#include "Entry/Entry.h"

#include <atomic>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Entry/AgentLinks.h"
#include "Entry/CallerApi.h"
#include "Entry/Forwarder.h"
#include "Entry/SuspectExchange.h"
#include "Process/Process.h"
#include "Protocol/Codec.h"

namespace pollenyoke::entry
{

namespace
{

using protocol::message_type;

// HTTP threads beyond max_in_flight, for idle connections and for requests that are refused.
constexpr std::size_t extra_http_threads = 256;
constexpr std::size_t max_suspect_receivers = 512;
// Heartbeats propagate the leaving flag to the other entries within this time.
constexpr std::chrono::milliseconds leaving_propagation_time{1000};
constexpr std::chrono::milliseconds drain_poll_interval{50};

class entry_role final : public process::process_base
{
public:
  explicit entry_role(const protocol::settings& config) : process_base(config) {}
  ~entry_role() override
  {
    stop();
  }
  entry_role(const entry_role&) = delete;
  entry_role& operator=(const entry_role&) = delete;
  entry_role(entry_role&&) = delete;
  entry_role& operator=(entry_role&&) = delete;

  void planned_stop() override;
  transport::endpoint http_endpoint() const override
  {
    return {settings().listen.http.ip, m_http_port};
  }

private:
  result<void> make_components() override;
  result<void> start_components() override;
  void stop_serving() override;
  bool handle_frame(transport::connection_id from, const transport::frame& message) override;
  void handle_closed(transport::connection_id connection) override;
  void describe_role(protocol::heartbeat& own) const override;
  void dump_role(nlohmann::json& to) const override;

  void handle_suspect_report(transport::connection_id from, const transport::frame& message);
  void broadcast_to_entries(const transport::frame& message);

  std::unique_ptr<agent_links> m_agents;
  std::unique_ptr<suspect_exchange> m_suspects;
  std::unique_ptr<forwarder> m_forwarder;
  std::unique_ptr<caller_api> m_api;
  std::unique_ptr<transport::http_server> m_http;
  // Atomic because requests are served before start() returns the server.
  std::atomic<std::uint16_t> m_http_port{0};
};

result<void> entry_role::make_components()
{
  const auto send = [this](transport::connection_id to, const transport::frame& message)
  {
    return node().send(to, message);
  };
  m_agents = std::make_unique<agent_links>(
      link_callbacks{[this](const host_id& host, const transport::endpoint& address)
                     { return links().link(host, membership::channel::requests, address); },
                     send});
  m_suspects = std::make_unique<suspect_exchange>([this](const transport::frame& message)
                                                  { broadcast_to_entries(message); });
  m_forwarder =
      std::make_unique<forwarder>(settings(),
                                  forwarder_environment{[this] { return members().view(); }, send,
                                                        [this](transport::connection_id connection)
                                                        {
                                                          node().close(connection);
                                                        }},
                                  *m_agents, *m_suspects, metrics());
  m_api = std::make_unique<caller_api>(settings(),
                                       caller_environment{[this] { return members().view(); },
                                                          [this] { return follower().state(); },
                                                          [this] { return is_leaving(); },
                                                          [this]
                                                          {
                                                            return http_endpoint();
                                                          }},
                                       *m_forwarder);
  return {};
}

result<void> entry_role::start_components()
{
  transport::http_server_options callers;
  callers.listen = settings().listen.http;
  callers.max_threads = settings().requests.max_in_flight + extra_http_threads;
  callers.max_body_bytes = std::size_t{2} * 1024 * 1024;
  auto http = transport::http_server::start(callers, [this](const transport::http_request& request)
                                            { return m_api->handle(request); });
  if (!http)
  {
    return tl::unexpected(http.error());
  }
  m_http = std::move(*http);
  m_http_port = m_http->local_endpoint().port;
  return {};
}

void entry_role::stop_serving()
{
  if (m_forwarder)
  {
    m_forwarder->stop();
  }
  m_http.reset();
}

bool entry_role::handle_frame(transport::connection_id from, const transport::frame& message)
{
  if (protocol::type_of(message) == message_type::suspect_report)
  {
    handle_suspect_report(from, message);
    return true;
  }
  return m_forwarder->handle_frame(from, message);
}

void entry_role::handle_closed(transport::connection_id connection)
{
  m_forwarder->handle_closed(connection);
}

void entry_role::handle_suspect_report(transport::connection_id from,
                                       const transport::frame& message)
{
  const auto report = protocol::decode<protocol::suspect_report>(message);
  if (!report)
  {
    return;
  }
  const auto hello = links().hello_of(from);
  m_suspects->handle_report(*report, hello && hello->role == protocol::process_role::entry);
}

void entry_role::broadcast_to_entries(const transport::frame& message)
{
  std::size_t recipients = 0;
  const auto view = members().view();
  for (const membership::peer& peer : view->peers)
  {
    const bool gone = !peer.alive && peer.incarnation.value != 0;
    if (peer.listed.role != protocol::process_role::entry || gone ||
        peer.listed.host == settings().host)
    {
      continue;
    }
    if (++recipients > max_suspect_receivers)
    {
      return;
    }
    node().send(links().link(peer.listed.host, membership::channel::control, peer.listed.tcp),
                message);
  }
}

void entry_role::describe_role(protocol::heartbeat& own) const
{
  own.in_flight = m_forwarder->in_flight();
  own.capacity = settings().requests.max_in_flight;
}

void entry_role::planned_stop()
{
  using clock = std::chrono::steady_clock;
  begin_planned_stop();
  const auto begin = clock::now();
  // Other entries list this one until they receive its heartbeat, and callers cache discovery
  // responses for entry_lifetime.
  const auto answers_expire_at =
      begin + settings().requests.entry_lifetime + leaving_propagation_time;
  const auto drain_deadline = begin + settings().requests.drain_timeout;
  m_forwarder->begin_stop(answers_expire_at, drain_deadline);
  while (clock::now() < drain_deadline &&
         (clock::now() < answers_expire_at || m_forwarder->in_flight() > 0))
  {
    std::this_thread::sleep_for(drain_poll_interval);
  }
  log_info(log_category::process, "planned stop",
           {{"requests_in_flight", m_forwarder->in_flight()}});
  stop();
}

void entry_role::dump_role(nlohmann::json& to) const
{
  to["requests"] = m_forwarder->dump();
  to["suspects"] = m_suspects->size();
}

} // namespace

result<std::unique_ptr<process::running_process>> start_entry(const protocol::settings& config)
{
  return process::start_role<entry_role>(config);
}

} // namespace pollenyoke::entry
