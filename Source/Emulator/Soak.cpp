#include "Emulator/Soak.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <nlohmann/json.hpp>

#include "Emulator/FaultInjector.h"
#include "Emulator/LoadDisturber.h"

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr seconds ready_limit{60};
constexpr milliseconds ready_check_interval{200};
constexpr milliseconds report_interval{5000};
// Requests in progress when the callers stop have ended by then.
constexpr milliseconds drain_time{7500};
// An event loop that was late by more than this has made every time in the history too long.
constexpr milliseconds tolerated_delay{250};

/// The steps of one soak: wait until all entries are ready, disturb, drain, end.
class soak
{
public:
  soak(const deployment& what, const soak_options& options)
      : m_options(options), m_bounds(what.bounds), m_run(m_loop, what, options.run), m_later(m_loop)
  {
  }

  result<soak_report> execute()
  {
    const auto started = m_run.start();
    if (!started)
    {
      m_run.processes().shut_down();
      return tl::unexpected(started.error());
    }
    m_deadline = std::chrono::steady_clock::now() + ready_limit;
    await_ready();
    m_loop.run();
    if (!m_outcome)
    {
      m_run.processes().shut_down();
    }
    return m_outcome.map([this] { return make_report(); });
  }

private:
  void await_ready()
  {
    if (m_run.is_ready())
    {
      begin();
      return;
    }
    if (std::chrono::steady_clock::now() > m_deadline)
    {
      m_outcome = fail(error_code::timeout, "entries do not become ready");
      m_loop.stop();
      return;
    }
    m_later.after(ready_check_interval, [this] { await_ready(); });
  }

  void begin()
  {
    say("all entries are ready");
    if (!m_options.faults)
    {
      print_addresses();
    }
    else if (m_options.plan == soak_plan::loads)
    {
      m_disturber = std::make_unique<load_disturber>(
          m_loop, m_run,
          draw_load_plan(m_options.run.seed, m_options.duration, m_run.engines().size()));
      m_disturber->start();
    }
    else
    {
      const auto draw = m_options.plan == soak_plan::stops         ? draw_stop_plan
                        : m_options.plan == soak_plan::answers     ? draw_answer_plan
                        : m_options.plan == soak_plan::connections ? draw_connection_plan
                                                                   : draw_plan;
      constexpr double upload_share = 0.8;
      m_run.callers().set_upload_share(m_options.plan == soak_plan::answers ? upload_share : 0);
      m_injector = std::make_unique<fault_injector>(m_loop, m_run,
                                                    draw(m_options.run.seed, m_options.duration));
      m_injector->start();
    }
    m_later.after(report_interval, [this] { report_progress(); });
    m_later.after(duration_cast<nanoseconds>(duration<double>(m_options.duration)),
                  [this]
                  {
                    m_run.stop_callers();
                    m_later.after(drain_time,
                                  [this]
                                  {
                                    m_run.shut_down();
                                    m_loop.stop();
                                  });
                  });
  }

  void print_addresses()
  {
    for (const machine& host : m_run.where().machines)
    {
      if (host.role == protocol::process_role::entry)
      {
        say(host.name + ": callers " + transport::to_string(callers_address(host)) + ", lookup " +
            transport::to_string(lookup_address(host)));
      }
    }
    const machine& first = m_run.where().machines.front();
    const caller_key& key = m_run.operations().keys().back();
    say("to try: curl -i -H 'Host: " + std::string(host_name) + "' -H 'Api-Key: " + key.key +
        "' -H 'X-Pollenyoke-Request-Id: r1' 'http://" +
        transport::to_string(callers_address(first)) +
        m_run.operations().base_route(m_run.operations().base_route_count() - 1).path_prefix +
        "x?of=r1'");
  }

  void report_progress()
  {
    const history& seen = m_run.record().seen();
    say(std::to_string(seen.attempts.size()) + " requests, " + std::to_string(fault_count()) +
        " faults");
    m_later.after(report_interval, [this] { report_progress(); });
  }

  std::size_t fault_count() const
  {
    std::size_t count = m_injector ? m_injector->injected() : 0;
    if (m_disturber)
    {
      for (const auto& [step, loads] : m_disturber->disturbed())
      {
        count += loads;
      }
    }
    return count;
  }

  load_counts count_loads()
  {
    load_counts out{m_disturber->disturbed(), {}};
    for (const arrival& came : m_run.record().seen().arrivals)
    {
      if (!came.weight_problem.empty())
      {
        ++out.not_whole[came.disturbed_load.empty() ? "undisturbed" : came.disturbed_load];
      }
    }
    return out;
  }

  logged_ids read_logged_ids() const
  {
    constexpr std::string_view key = " id=";
    logged_ids out;
    for (const machine& host : m_run.where().machines)
    {
      std::ifstream log(m_options.run.work_directory + "/" + host.name + ".log");
      for (std::string line; std::getline(log, line);)
      {
        const auto at = line.find(key);
        if (at != std::string::npos)
        {
          const auto begin = at + key.size();
          out[host.name].insert(line.substr(begin, line.find(' ', begin) - begin));
        }
      }
    }
    return out;
  }

  /// People may send requests of their own to a calm run.
  void forget_requests_of_others()
  {
    history& seen = m_run.record().seen();
    std::set<std::string> own;
    for (const attempt& sent : seen.attempts)
    {
      own.insert(sent.id);
    }
    std::erase_if(seen.arrivals,
                  [&own](const arrival& came) { return !own.contains(came.request); });
  }

  void say(const std::string& text)
  {
    if (m_options.progress)
    {
      std::cerr << "seed " << m_options.run.seed << ", " << m_run.record().now() << " s: " << text
                << std::endl;
    }
  }

  soak_report make_report()
  {
    const history& seen = m_run.record().seen();
    soak_report out{.seed = m_options.run.seed,
                    .duration = m_options.duration,
                    .processes = m_run.where().machines.size(),
                    .requests = seen.attempts.size(),
                    .faults = fault_count(),
                    .origin_copies = m_run.origin_copies(),
                    .longest_delay_ms = m_run.longest_delay().count()};
    for (const attempt& sent : seen.attempts)
    {
      const bool whole = sent.answer == answer_state::whole;
      out.served += whole && sent.status == 200 ? 1U : 0U;
      out.refused += whole && sent.status == 503 ? 1U : 0U;
      out.gave_up += sent.gave_up ? 1U : 0U;
    }
    for (const planned_stop& stop : seen.stops)
    {
      ++out.stops;
      out.repeated_stops += stop.asked > stop.first_asked ? 1U : 0U;
    }
    if (!m_options.faults)
    {
      forget_requests_of_others();
    }
    out.violations = find_violations(seen, m_bounds);
    if (m_options.plan == soak_plan::stops)
    {
      const auto unlogged = find_unlogged_cuts(seen, m_bounds, read_logged_ids());
      out.violations.insert(out.violations.end(), unlogged.begin(), unlogged.end());
    }
    out.leaving = measure_leaving_times(seen, m_bounds);
    out.limits = measure_limit_use(seen);
    if (m_disturber)
    {
      out.loads = count_loads();
    }
    const bool kept_up = m_run.longest_delay() <= tolerated_delay;
    const bool broken =
        std::any_of(out.violations.begin(), out.violations.end(),
                    [kept_up](const violation& found) { return kept_up || !found.timed; });
    out.verdict = broken    ? soak_verdict::violated
                  : kept_up ? soak_verdict::passed
                            : soak_verdict::not_run;
    return out;
  }

  soak_options m_options;
  async_io::event_loop m_loop;
  rule_bounds m_bounds;
  platform_run m_run;
  std::unique_ptr<fault_injector> m_injector;
  std::unique_ptr<load_disturber> m_disturber;
  delayed_calls m_later;
  async_io::time_point m_deadline{};
  result<void> m_outcome;
};

std::string_view to_string(soak_verdict verdict)
{
  switch (verdict)
  {
  case soak_verdict::passed:
    return "passed";
  case soak_verdict::violated:
    return "violated";
  case soak_verdict::not_run:
    break;
  }
  return "not run";
}

} // namespace

result<soak_report> run_soak(const deployment& what, const soak_options& options)
{
  soak_options chosen = options;
  deployment emulated = what;
  chosen.run.late_hosts = options.faults && options.plan == soak_plan::loads ? 1 : 0;
  if (options.faults && options.plan == soak_plan::stops)
  {
    // Streams of up to 5 s, so that many are in progress when a process stops.
    constexpr double slow_step_ms = 45;
    constexpr unsigned kept_connections_per_entry = 8;
    emulated.engine.step_ms = slow_step_ms;
    chosen.run.kept_connections = kept_connections_per_entry;
  }
  emulated.carries_peer_traffic = options.faults && options.plan == soak_plan::connections;
  return soak(emulated, chosen).execute();
}

std::string to_json(const soak_report& report)
{
  nlohmann::ordered_json out{
      {"seed", report.seed},
      {"duration_s", report.duration},
      {"processes", report.processes},
      {"requests", report.requests},
      {"served", report.served},
      {"refused", report.refused},
      {"gave_up", report.gave_up},
      {"faults", report.faults},
      {"origin_copies", report.origin_copies},
      {"longest_delay_ms", report.longest_delay_ms},
      {"stops", report.stops},
      {"repeated_stops", report.repeated_stops},
      {"leaving_s",
       {{"store_up", report.leaving.store_up},
        {"store_disturbed", report.leaving.store_disturbed}}},
      {"limits", {{"arrived", report.limits.arrived}, {"allowed", report.limits.allowed}}},
      {"verdict", to_string(report.verdict)},
      {"violations", report.violations.size()},
      {"first_violation", nullptr}};
  if (report.loads)
  {
    out["loads_disturbed"] = report.loads->disturbed;
    out["not_whole"] = report.loads->not_whole;
  }
  if (!report.violations.empty())
  {
    out["first_violation"] =
        report.violations.front().rule + ": " + report.violations.front().detail;
  }
  return out.dump();
}

} // namespace pollenyoke::emulator
