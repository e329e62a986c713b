#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Agent/RequestRunner.h"
#include "Entry/CallerApi.h"
#include "Entry/Forwarder.h"
#include "Entry/RequestSession.h"
#include "Entry/SuspectExchange.h"
#include "Membership/PeerLinks.h"
#include "Protocol/Codec.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/MessageNode.h"

/// Runs entries, agents and fake backend servers in the test process, connected over loopback
/// sockets. The test sets membership and fleet state.
namespace pollenyoke::test
{

using nlohmann::json;

inline const transport::endpoint any_port{"127.0.0.1", 0};
constexpr std::chrono::seconds test_timeout{30};

/// Polls until a condition holds; false after test_timeout.
inline bool wait_until(const std::function<bool()>& condition)
{
  const auto until = std::chrono::steady_clock::now() + test_timeout;
  while (!condition())
  {
    if (std::chrono::steady_clock::now() > until)
    {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// Backend server that acts as engine and as plain service. Engine tokens are `VERSION/PROMPT-K`.
class fake_backend
{
public:
  fake_backend()
  {
    auto server = transport::http_server::start({.listen = any_port},
                                                [this](const transport::http_request& request)
                                                { return handle(request); });
    CPPUNIT_ASSERT(server.has_value());
    m_server = std::move(*server);
  }
  ~fake_backend()
  {
    m_paused = false;
    crash();
    m_server->stop();
  }
  fake_backend(const fake_backend&) = delete;
  fake_backend& operator=(const fake_backend&) = delete;
  fake_backend(fake_backend&&) = delete;
  fake_backend& operator=(fake_backend&&) = delete;

  transport::endpoint address() const
  {
    return m_server->local_endpoint();
  }
  void crash()
  {
    ++m_boot;
    ++m_crashes;
  }
  int runs(const std::string& input) const
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(input);
    return found == m_runs.end() ? 0 : found->second;
  }
  int total_runs() const
  {
    const std::lock_guard lock(m_mutex);
    int total = 0;
    for (const auto& [input, count] : m_runs)
    {
      total += count;
    }
    return total;
  }
  std::vector<std::string> run_order() const
  {
    const std::lock_guard lock(m_mutex);
    return m_run_order;
  }

  /// While set, engine requests stop before token m_pause_at_token, and service calls do not
  /// return.
  std::atomic<bool> m_paused{false};
  std::atomic<std::uint32_t> m_pause_at_token{0};
  std::atomic<int> m_refuse_status{0};
  std::atomic<bool> m_crash_on_marker{true};
  std::atomic<int> m_running{0};
  std::atomic<int> m_max_running{0};
  std::atomic<int> m_crashes{0};
  std::atomic<int> m_cancelled{0};
  /// A prompt that contains this text crashes the engine.
  const std::string m_crash_marker = "CRASH";

private:
  void record_run(const std::string& input)
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[input];
    m_run_order.push_back(input);
  }

  transport::http_response handle(const transport::http_request& request)
  {
    transport::http_response response;
    if (request.path == "/status")
    {
      response.body = json{{"boot", std::to_string(m_boot)}, {"slots", 4}}.dump();
      return response;
    }
    if (request.path == "/cancel")
    {
      const std::lock_guard lock(m_mutex);
      m_cancelled_ids.insert(json::parse(request.body).at("id").get<std::string>());
      ++m_cancelled;
      return response;
    }
    if (m_refuse_status != 0)
    {
      return transport::error_response(m_refuse_status, "refused");
    }
    return request.path == "/generate" ? generate(request) : call(request);
  }

  transport::http_response generate(const transport::http_request& request)
  {
    const json body = json::parse(request.body);
    const auto prompt = body.at("prompt").get<std::string>();
    const auto version = body.at("version").get<std::string>();
    record_run(prompt);
    transport::http_response response;
    response.content_type = "application/x-ndjson";
    response.headers = {{"Engine-Boot", std::to_string(m_boot)},
                        {"Engine-Version", version},
                        {"Engine-Manifest", "manifest-" + version}};
    response.stream = [this, body, prompt, version](const transport::body_writer& write)
    {
      const int now = ++m_running;
      m_max_running = std::max(m_max_running.load(), now);
      const bool whole = write_tokens(body, prompt, version, write);
      --m_running;
      return whole;
    };
    return response;
  }

  bool write_tokens(const json& body, const std::string& prompt, const std::string& version,
                    const transport::body_writer& write)
  {
    const int boot = m_boot;
    const auto count = body.value("max_tokens", std::uint32_t{4});
    const auto first = body.value("resume_from", std::uint32_t{0});
    for (std::uint32_t i = first; i < count; ++i)
    {
      while (m_paused && i >= m_pause_at_token && m_boot == boot && !is_cancelled(body.at("id")))
      {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      if (m_crash_on_marker && i > 0 && prompt.find(m_crash_marker) != std::string::npos)
      {
        crash();
      }
      if (m_boot != boot || is_cancelled(body.at("id")))
      {
        return false;
      }
      const json token{{"i", i}, {"token", version + "/" + prompt + "-" + std::to_string(i)}};
      if (!write(token.dump() + "\n"))
      {
        return false;
      }
    }
    return write(json{{"end", true}, {"tokens", count}}.dump() + "\n");
  }

  transport::http_response call(const transport::http_request& request)
  {
    record_run(request.body);
    ++m_running;
    const int boot = m_boot;
    while (m_paused && m_boot == boot)
    {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    --m_running;
    transport::http_response response;
    if (m_boot != boot)
    {
      response.stream = [](const transport::body_writer&)
      {
        return false;
      };
      return response;
    }
    response.body = json{{"path", request.path}, {"echo", request.body}}.dump();
    return response;
  }

  bool is_cancelled(const std::string& id) const
  {
    const std::lock_guard lock(m_mutex);
    return m_cancelled_ids.contains(id);
  }

  std::atomic<int> m_boot{1};
  mutable std::mutex m_mutex;
  std::map<std::string, int> m_runs;
  std::vector<std::string> m_run_order;
  std::set<std::string> m_cancelled_ids;
  std::unique_ptr<transport::http_server> m_server;
};

/// An agent with its backend server.
class test_agent
{
public:
  test_agent(std::string host, std::string service, protocol::backend_kind kind,
             std::uint32_t slots = 4, std::uint32_t queue = 16)
      : m_kind(kind)
  {
    m_settings.role = protocol::process_role::agent;
    m_settings.host = {std::move(host)};
    m_settings.service = std::move(service);
    m_settings.requests.queue = queue;
    m_settings.backend = protocol::backend_settings{m_backend.address(), kind, slots};
    start(any_port);
  }
  ~test_agent()
  {
    if (m_runner)
    {
      stop();
    }
  }
  test_agent(const test_agent&) = delete;
  test_agent& operator=(const test_agent&) = delete;
  test_agent(test_agent&&) = delete;
  test_agent& operator=(test_agent&&) = delete;

  /// Restarts the agent as a new incarnation at the same address.
  void restart()
  {
    stop();
    start(m_tcp);
  }

  membership::peer as_peer() const
  {
    membership::peer peer;
    peer.listed.host = m_settings.host;
    peer.listed.role = protocol::process_role::agent;
    peer.listed.service = m_settings.service;
    peer.alive = true;
    peer.capacity = m_settings.backend->slots;
    const std::lock_guard lock(m_mutex);
    peer.listed.tcp = m_proxy_address.port != 0 ? m_proxy_address : m_tcp;
    if (m_kind == protocol::backend_kind::engine)
    {
      for (const std::string& version : m_versions)
      {
        peer.serving.push_back({"assistant", version});
      }
    }
    return peer;
  }
  void serve(std::vector<std::string> versions)
  {
    const std::lock_guard lock(m_mutex);
    m_versions = std::move(versions);
  }
  void close_connections()
  {
    std::set<transport::connection_id> open;
    {
      const std::lock_guard lock(m_mutex);
      open.swap(m_open);
    }
    for (const transport::connection_id connection : open)
    {
      m_node->close(connection);
    }
  }

  fake_backend m_backend;
  std::unique_ptr<agent::request_runner> m_runner;
  std::unique_ptr<transport::message_node> m_node;
  /// Address of a proxy that entries connect to instead of the agent, if set.
  transport::endpoint m_proxy_address;
  /// One outgoing frame per element is dropped instead of sent.
  std::multiset<protocol::message_type> m_dropped_frame_types;
  std::map<std::string, keys::key_decision> m_key_decisions;
  std::vector<std::string> m_key_events;
  mutable std::mutex m_mutex;

private:
  void start(const transport::endpoint& at)
  {
    m_incarnation = make_incarnation();
    auto node = transport::message_node::start(
        {.tcp = at, .udp = any_port},
        {[this](transport::connection_id from, const transport::frame& message)
         {
           {
             const std::lock_guard lock(m_mutex);
             m_open.insert(from);
           }
           if (m_ready)
           {
             m_runner->handle_frame(from, message);
           }
         },
         [this](transport::connection_id connection)
         {
           if (m_ready)
           {
             m_runner->handle_closed(connection);
           }
         },
         [](const transport::endpoint&, const transport::frame&) {
         }});
    CPPUNIT_ASSERT(node.has_value());
    m_node = std::move(*node);
    m_runner = std::make_unique<agent::request_runner>(m_settings, m_incarnation, environment(),
                                                       m_metrics);
    {
      const std::lock_guard lock(m_mutex);
      m_tcp = m_node->tcp_endpoint();
    }
    m_ready = true;
  }
  void stop()
  {
    m_ready = false;
    m_node->stop();
    m_backend.m_paused = false;
    m_runner->stop();
    m_runner.reset();
    // Closes the listening socket, so that a new incarnation can listen on the same address.
    m_node.reset();
  }

  agent::runner_environment environment()
  {
    agent::runner_environment out;
    out.send = [this](transport::connection_id to, const transport::frame& message)
    {
      {
        const std::lock_guard lock(m_mutex);
        const auto lost = m_dropped_frame_types.find(protocol::type_of(message));
        if (lost != m_dropped_frame_types.end())
        {
          m_dropped_frame_types.erase(lost);
          return true;
        }
      }
      return m_node->send(to, message);
    };
    out.close = [this](transport::connection_id connection)
    {
      m_node->close(connection);
    };
    if (m_kind == protocol::backend_kind::engine)
    {
      out.is_serving = [this](std::string_view, std::string_view version)
      {
        const std::lock_guard lock(m_mutex);
        return std::find(m_versions.begin(), m_versions.end(), version) != m_versions.end();
      };
      return out;
    }
    add_key_callbacks(out);
    return out;
  }

  void record_key_event(const std::string& event)
  {
    const std::lock_guard lock(m_mutex);
    m_key_events.push_back(event);
  }

  void add_key_callbacks(agent::runner_environment& to)
  {
    to.begin_key = [this](const std::string& key, const digest&,
                          const keys::key_owner::decision_callback& decided)
    {
      keys::key_decision decision{.action = keys::key_action::run};
      {
        const std::lock_guard lock(m_mutex);
        if (const auto found = m_key_decisions.find(key); found != m_key_decisions.end())
        {
          decision = found->second;
        }
      }
      decided(decision);
    };
    to.key_finished = [this](const std::string& key, const keys::stored_response& answer)
    {
      record_key_event("finished " + key + " " + std::to_string(answer.status));
    };
    to.key_failed = [this](const std::string& key)
    {
      record_key_event("failed " + key);
    };
    to.key_not_dispatched = [this](const std::string& key)
    {
      record_key_event("not_dispatched " + key);
    };
    to.mint_key = [this]
    {
      return "key-of-" + m_settings.host.value;
    };
  }

  const protocol::backend_kind m_kind;
  transport::endpoint m_tcp;
  protocol::settings m_settings;
  incarnation_id m_incarnation;
  metrics_registry m_metrics;
  std::atomic<bool> m_ready{false};
  std::set<transport::connection_id> m_open;
  std::vector<std::string> m_versions{"v1"};
};

/// An entry with its HTTP server for callers.
class test_entry
{
public:
  explicit test_entry(std::vector<test_agent*> agents, protocol::request_settings requests = {},
                      std::string host = "entry-1")
      : m_agents(std::move(agents))
  {
    m_settings.host = {std::move(host)};
    m_settings.region = "western";
    m_settings.failure_domain = "western-a";
    m_settings.requests = requests;
    auto node = transport::message_node::start(
        {.tcp = any_port, .udp = any_port},
        {[this](transport::connection_id from, const transport::frame& message)
         {
           if (!m_ready)
           {
             return;
           }
           if (protocol::type_of(message) == protocol::message_type::suspect_report)
           {
             m_suspects->handle_report(*protocol::decode<protocol::suspect_report>(message), false);
             return;
           }
           m_forwarder->handle_frame(from, message);
         },
         [this](transport::connection_id connection)
         {
           if (m_ready)
           {
             m_links->handle_closed(connection);
             m_forwarder->handle_closed(connection);
           }
         },
         [](const transport::endpoint&, const transport::frame&) {
         }});
    CPPUNIT_ASSERT(node.has_value());
    m_node = std::move(*node);
    make_components();
  }
  ~test_entry()
  {
    m_forwarder->stop();
    m_http->stop();
    m_node->stop();
  }
  test_entry(const test_entry&) = delete;
  test_entry& operator=(const test_entry&) = delete;
  test_entry(test_entry&&) = delete;
  test_entry& operator=(test_entry&&) = delete;

  result<transport::http_response> post(const std::string& path, const std::string& body,
                                        transport::http_headers headers = {})
  {
    transport::http_client client(m_http->local_endpoint(),
                                  {.read_timeout = test_timeout, .keep_alive = false});
    headers.push_back({"Content-Type", "application/json"});
    transport::http_request request{.method = "POST", .path = path, .headers = headers};
    request.body = body;
    return client.send(request);
  }
  result<transport::http_response> generate(const std::string& prompt, json more = json::object(),
                                            const transport::http_headers& headers = {})
  {
    more["prompt"] = prompt;
    return post("/v1/models/assistant/generate", more.dump(), headers);
  }

  void set_agents(std::vector<test_agent*> agents)
  {
    const std::lock_guard lock(m_mutex);
    m_agents = std::move(agents);
  }
  void add_release(std::uint64_t offset, const std::string& version)
  {
    const std::lock_guard lock(m_mutex);
    auto next = std::make_shared<fleet::fleet_state>(*m_state);
    fleet::active_release release;
    release.key = {{offset}, "assistant"};
    release.item.model = "assistant";
    release.item.version = version;
    next->releases[release.key] = release;
    m_state = next;
  }

  protocol::settings m_settings;
  std::vector<test_agent*> m_agents;
  metrics_registry m_metrics;
  std::unique_ptr<transport::message_node> m_node;
  std::unique_ptr<membership::peer_links> m_links;
  std::unique_ptr<entry::agent_links> m_agent_links;
  std::unique_ptr<entry::suspect_exchange> m_suspects;
  std::unique_ptr<entry::forwarder> m_forwarder;
  std::unique_ptr<entry::caller_api> m_api;
  std::unique_ptr<transport::http_server> m_http;
  std::function<void(const transport::frame&)> m_broadcast_to_entries =
      [](const transport::frame&) {
      };
  std::function<void(membership::member_view&)> m_change_view = [](membership::member_view&) {
  };
  std::atomic<bool> m_leaving{false};
  std::mutex m_mutex;

private:
  void make_components()
  {
    m_links =
        std::make_unique<membership::peer_links>(*m_node, protocol::hello{.host = m_settings.host});
    const auto send = [this](transport::connection_id to, const transport::frame& message)
    {
      return m_node->send(to, message);
    };
    m_agent_links = std::make_unique<entry::agent_links>(
        entry::link_callbacks{[this](const host_id& host, const transport::endpoint& at)
                              { return m_links->link(host, membership::channel::requests, at); },
                              send});
    m_suspects = std::make_unique<entry::suspect_exchange>([this](const transport::frame& message)
                                                           { m_broadcast_to_entries(message); });
    m_forwarder = std::make_unique<entry::forwarder>(
        m_settings,
        entry::forwarder_environment{[this] { return view(); }, send,
                                     [this](transport::connection_id c)
                                     {
                                       m_node->close(c);
                                     }},
        *m_agent_links, *m_suspects, m_metrics);
    m_api = std::make_unique<entry::caller_api>(
        m_settings,
        entry::caller_environment{[this] { return view(); },
                                  [this]
                                  {
                                    const std::lock_guard lock(m_mutex);
                                    return m_state;
                                  },
                                  [this] { return m_leaving.load(); },
                                  [this]
                                  {
                                    return m_http->local_endpoint();
                                  }},
        *m_forwarder);
    m_ready = true;
    auto http = transport::http_server::start({.listen = any_port},
                                              [this](const transport::http_request& request)
                                              { return m_api->handle(request); });
    CPPUNIT_ASSERT(http.has_value());
    m_http = std::move(*http);
    add_release(1, "v1");
  }

  membership::member_view_ptr view()
  {
    auto out = std::make_shared<membership::member_view>();
    const std::lock_guard lock(m_mutex);
    for (const test_agent* agent : m_agents)
    {
      out->peers.push_back(agent->as_peer());
    }
    m_change_view(*out);
    return out;
  }

  std::atomic<bool> m_ready{false};
  std::shared_ptr<const fleet::fleet_state> m_state = std::make_shared<fleet::fleet_state>();
};

/// The answer of the fake engine as the caller of an entry receives it.
inline std::string expected_stream(const std::string& prompt, std::uint32_t tokens = 4,
                                   const std::string& version = "v1")
{
  std::string out;
  for (std::uint32_t i = 0; i < tokens; ++i)
  {
    const json token{{"i", i}, {"token", version + "/" + prompt + "-" + std::to_string(i)}};
    out += token.dump() + "\n";
  }
  return out + json{{"end", true}, {"tokens", tokens}, {"frames", tokens}}.dump() + "\n";
}

} // namespace pollenyoke::test
