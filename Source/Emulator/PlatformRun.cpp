#include "Emulator/PlatformRun.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <random>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/TextFile.h"
#include "Emulator/Template.h"

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::milliseconds;

// Networks of 127.0.0.0/8 that are tried, one after the other.
constexpr unsigned first_network = 64;
constexpr unsigned network_count = 128;
// Each proxy has a thread.
constexpr std::size_t max_proxies = 12;
constexpr unsigned desk_slots = 6;
constexpr unsigned desk_queue = 24;
constexpr milliseconds desk_work_time{15};
constexpr std::uint64_t first_weights = 1;
constexpr milliseconds delay_check_interval{20};
constexpr std::uint64_t bytes_per_mb = 1'000'000;

} // namespace

platform_run::platform_run(async_io::event_loop& loop, const deployment& what, run_options options)
    : m_loop(loop), m_deployment(what), m_options(std::move(options)),
      m_processes(loop, m_record, what.bounds, what.memory_mb * bytes_per_mb), m_delay_timer(loop)
{
}

result<void> platform_run::start()
{
  std::error_code failure;
  std::filesystem::create_directories(m_options.work_directory, failure);
  if (failure)
  {
    return fail(error_code::unavailable, m_options.work_directory + ": " + failure.message());
  }
  return choose_network()
      .and_then([this] { return start_servers(); })
      .and_then([this] { return start_proxies(); })
      .and_then([this] { return start_processes(); })
      .map(
          [this]
          {
            m_callers = std::make_unique<caller_pool>(m_loop, m_record, m_deployment, m_layout,
                                                      *m_operator, m_options.seed);
            m_callers->start();
            start_kept_connections();
            m_delay_due = std::chrono::steady_clock::now() + delay_check_interval;
            watch_delay();
          });
}

/// Several runs may go on at once, so a network whose addresses are taken is left to the other run.
result<void> platform_run::choose_network()
{
  const auto first = static_cast<unsigned>(m_options.seed % network_count);
  result<void> outcome;
  for (unsigned i = 0; i < network_count; ++i)
  {
    m_layout = make_layout(m_deployment, first_network + (first + i) % network_count);
    m_store = std::make_unique<store_service>(m_loop, store_limits{}, m_options.seed);
    m_origin = std::make_unique<weight_origin>(m_loop, std::string(model_name), m_deployment.engine,
                                               m_deployment.origin_bytes_per_s);
    outcome = m_origin->listen(m_layout.origin);
    for (const machine& host : m_layout.machines)
    {
      outcome = outcome.and_then([&] { return m_store->add_machine(host.name, host.store); });
    }
    if (outcome)
    {
      return outcome;
    }
  }
  return outcome;
}

result<void> platform_run::start_servers()
{
  const server_environment environment{m_loop, m_record, *m_store, m_options.seed};
  const std::size_t first_late = m_deployment.engines - m_options.late_hosts;
  for (const machine& host : m_layout.machines)
  {
    if (host.role == protocol::process_role::agent)
    {
      const server_identity identity{std::string(model_service), host.domain, engine_address(host),
                                     m_deployment.engine.slots};
      const bool is_late = m_engines.size() >= first_late;
      m_engines.push_back(std::make_unique<server_of<engine_work>>(
          environment, identity, std::string(model_name), m_deployment.engine, m_engine_directory,
          is_late ? 0 : first_weights));
      if (is_late)
      {
        m_late_hosts.push_back(host);
      }
      m_engine_directory[identity.address] = &m_engines.back()->work();
    }
  }
  for (const desk_host& host : m_layout.desks)
  {
    const server_identity identity{std::string(desk_service), host.domain, host.address,
                                   desk_slots};
    m_desks.push_back(std::make_unique<server_of<plain_work>>(environment, identity, desk_slots,
                                                              desk_queue, desk_work_time));
  }
  result<void> outcome;
  for (std::size_t i = 0; i < first_late; ++i)
  {
    outcome = outcome.and_then([&engine = *m_engines[i]] { return engine.start(); });
  }
  for (const auto& desk : m_desks)
  {
    outcome = outcome.and_then([&desk = *desk] { return desk.start(); });
  }
  if (m_deployment.server_limit_per_s > 0)
  {
    m_engines.front()->set_limit(m_deployment.server_limit_per_s);
    m_desks.front()->set_limit(m_deployment.server_limit_per_s);
  }
  m_operator = std::make_unique<fleet_operator>(m_loop, m_record, *m_store, *m_origin, m_layout,
                                                m_deployment.engine);
  m_operator->publish();
  return outcome;
}

result<void> platform_run::start_proxies()
{
  std::size_t next = 0;
  for (const machine& host : m_layout.machines)
  {
    if (host.role != protocol::process_role::entry)
    {
      continue;
    }
    if (m_proxies.size() < max_proxies)
    {
      m_proxies.push_back(std::make_unique<stand_ins::relay_loop>());
    }
    auto& proxy = *m_proxies[next++ % max_proxies];
    const auto route = proxy.add_route(
        {.udp = false, .listen = proxy_address(host), .target = callers_address(host)});
    if (!route)
    {
      return tl::unexpected(route.error());
    }
    m_proxy_of_entry[host.name] = &proxy;
  }
  if (m_deployment.carries_peer_traffic)
  {
    m_peers = std::make_unique<peer_network>(m_loop);
    return m_peers->connect(m_layout.machines);
  }
  return {};
}

result<void> platform_run::start_processes()
{
  for (const machine& host : m_layout.machines)
  {
    const bool is_late =
        std::any_of(m_late_hosts.begin(), m_late_hosts.end(),
                    [&host](const machine& late) { return late.name == host.name; });
    if (is_late)
    {
      continue;
    }
    if (auto started = start_process(host); !started)
    {
      return started;
    }
  }
  m_processes.start_watching();
  return {};
}

result<void> platform_run::start_process(const machine& host)
{
  const bool is_entry = host.role == protocol::process_role::entry;
  const auto text =
      read_text_file(m_options.templates + (is_entry ? "/entry.yaml" : "/agent.yaml"))
          .and_then(
              [&](const std::string& source)
              { return fill_template(source, settings_fields(m_deployment, m_layout, host)); });
  if (!text)
  {
    return fail(error_code::invalid_argument, "settings template: " + text.error().message);
  }
  const std::string base = m_options.work_directory + "/" + host.name;
  std::ofstream(base + ".yaml") << *text;
  return m_processes.add(host, {m_options.node_program, "--settings", base + ".yaml"},
                         base + ".log");
}

result<void> platform_run::start_late_host()
{
  if (m_late_hosts.empty())
  {
    return {};
  }
  const machine host = m_late_hosts.front();
  m_late_hosts.erase(m_late_hosts.begin());
  const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                   [&host](const auto& candidate)
                                   { return candidate->address() == engine_address(host); });
  return (*engine)->start().and_then([&] { return start_process(host); });
}

bool platform_run::is_ready() const
{
  return m_callers && m_callers->ready_entries() == m_deployment.entries;
}

stand_ins::relay_loop& platform_run::proxy_of(const machine& entry)
{
  return *m_proxy_of_entry.at(entry.name);
}

std::vector<std::string> platform_run::entries_behind(const stand_ins::relay_loop& proxy) const
{
  std::vector<std::string> out;
  for (const auto& [entry, used] : m_proxy_of_entry)
  {
    if (used == &proxy)
    {
      out.push_back(entry);
    }
  }
  return out;
}

double platform_run::origin_copies() const
{
  const double copy = static_cast<double>(m_deployment.engine.pieces) *
                      static_cast<double>(m_deployment.engine.piece_bytes);
  const auto named = std::max<std::uint64_t>(1, m_operator->newest_weights() - first_weights);
  return static_cast<double>(m_origin->sent_bytes()) / copy / static_cast<double>(named);
}

void platform_run::start_kept_connections()
{
  constexpr std::array<caller_habits, 4> habits = {
      {{.form = body_form::with_length},
       {.form = body_form::in_chunks},
       {.form = body_form::in_chunks, .pipelined = 3},
       {.form = body_form::with_length, .pipelined = 2, .reads_slowly = true}}};
  std::mt19937_64 random(m_options.seed);
  for (const machine& host : m_layout.machines)
  {
    for (unsigned i = 0;
         host.role == protocol::process_role::entry && i < m_options.kept_connections; ++i)
    {
      m_kept_connections.push_back(std::make_unique<kept_connection_caller>(
          m_loop, m_record, host.name, callers_address(host), habits[i % habits.size()],
          [this] { return m_callers->draw_request(); }, random()));
      m_kept_connections.back()->start();
    }
  }
}

void platform_run::watch_delay()
{
  const auto now = std::chrono::steady_clock::now();
  m_longest_delay =
      std::max(m_longest_delay, std::chrono::duration_cast<milliseconds>(now - m_delay_due));
  m_delay_due = now + delay_check_interval;
  m_delay_timer.start(delay_check_interval, [this] { watch_delay(); });
}

void platform_run::stop_callers()
{
  m_callers->stop();
  for (const auto& caller : m_kept_connections)
  {
    caller->stop();
  }
}

void platform_run::shut_down()
{
  m_record.seen().end = m_record.now();
  m_delay_timer.cancel();
  m_processes.shut_down();
}

} // namespace pollenyoke::emulator
