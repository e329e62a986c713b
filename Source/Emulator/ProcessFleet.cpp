#include "Emulator/ProcessFleet.h"

#include <algorithm>
#include <csignal>

#include "Common/Log.h"

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr milliseconds watch_interval{50};
constexpr milliseconds restart_delay{400};
// A process has installed its handlers for signals by then.
constexpr double begin_time_s = 1;

} // namespace

process_fleet::process_fleet(async_io::event_loop& loop, recorder& record,
                             const rule_bounds& bounds, std::uint64_t memory_limit_bytes)
    : m_record(record), m_bounds(bounds), m_memory_limit_bytes(memory_limit_bytes), m_later(loop)
{
}

result<void> process_fleet::add(const machine& at, std::vector<std::string> command,
                                const std::string& log)
{
  member& added = m_members[at.name];
  added.process = std::make_unique<node_process>(std::move(command), log);
  added.started_at = m_record.now();
  m_record.seen().starts.push_back({at.name, m_record.now()});
  return added.process->start();
}

void process_fleet::start_watching()
{
  watch();
}

void process_fleet::watch()
{
  for (auto& [machine, watched] : m_members)
  {
    if (watched.process->is_running())
    {
      watched.peak_bytes = std::max(watched.peak_bytes, watched.process->resident_bytes());
    }
    if (const auto reason = watched.process->poll_end())
    {
      handle_end(machine, watched, *reason);
    }
  }
  const bool all_run =
      !m_members.empty() &&
      std::all_of(m_members.begin(), m_members.end(),
                  [](const auto& entry) { return entry.second.process->is_running(); });
  if (m_recovering && all_run)
  {
    m_recovering = false;
    m_record.seen().recoveries.push_back(m_record.now());
  }
  m_later.after(watch_interval, [this] { watch(); });
}

void process_fleet::handle_end(const std::string& machine, member& of, const std::string& reason)
{
  if (m_shut_down)
  {
    return;
  }
  if (of.killed_at)
  {
    const duration<double> delay(m_record.now() - *of.killed_at);
    m_longest_end = std::max(m_longest_end, duration_cast<milliseconds>(delay));
    of.killed_at.reset();
  }
  const bool was_stop = !of.stops.empty();
  for (const std::size_t stop : of.stops)
  {
    m_record.seen().stops[stop].ended = m_record.now();
  }
  // A process that gets a signal before it has begun may end as any program does.
  const double age = m_record.now() - of.started_at;
  const bool young = age < begin_time_s;
  const bool stopped_in_order = reason == "status 0" || (young && reason == "signal Terminated");
  const bool ended_by_reload = young && reason == "signal Hangup";
  const bool out_of_order = was_stop && !stopped_in_order && !of.disturbance;
  if ((!of.end_expected || out_of_order) && !ended_by_reload)
  {
    log_error(log_category::process, "process ended by itself",
              {{"machine", machine}, {"reason", reason}, {"age_s", age}});
    m_record.seen().crashes.push_back({machine, m_record.now(), reason});
  }
  begin_disturbance(machine, of);
  m_record.seen().disturbances[*of.disturbance].planned =
      (was_stop && stopped_in_order) || ended_by_reload;
  of.stops.clear();
  of.paused = false;
  m_later.after(restart_delay, [this, machine, &of] { start(machine, of); });
}

void process_fleet::start(const std::string& machine, member& of)
{
  if (m_shut_down)
  {
    return;
  }
  of.end_expected = false;
  of.started_at = m_record.now();
  m_record.seen().starts.push_back({machine, m_record.now()});
  end_disturbance(of);
  if (const auto started = of.process->start(); !started)
  {
    log_error(log_category::process, "process cannot be started",
              {{"machine", machine}, {"reason", started.error().message}});
  }
}

void process_fleet::begin_disturbance(const std::string& machine, member& of)
{
  if (!of.disturbance)
  {
    auto& all = m_record.seen().disturbances;
    of.disturbance = all.size();
    // Lasts until its end is known.
    all.push_back({machine, m_record.now(), 1e9, true});
  }
}

void process_fleet::end_disturbance(member& of)
{
  if (of.disturbance)
  {
    m_record.seen().disturbances[*of.disturbance].to = m_record.now();
    of.disturbance.reset();
  }
}

void process_fleet::kill(const std::string& machine)
{
  member& target = m_members.at(machine);
  if (!target.process->is_running())
  {
    return;
  }
  target.end_expected = true;
  begin_disturbance(machine, target);
  kill_now(target);
}

void process_fleet::kill_all()
{
  for (const auto& [machine, watched] : m_members)
  {
    kill(machine);
  }
  m_recovering = true;
}

void process_fleet::stop(const std::string& machine)
{
  member& target = m_members.at(machine);
  const bool stops_already = !target.stops.empty();
  if (!target.process->is_running() || (target.end_expected && !stops_already))
  {
    return;
  }
  auto& stops = m_record.seen().stops;
  const moment now = m_record.now();
  const moment first = stops_already ? stops[target.stops.front()].asked : now;
  target.end_expected = true;
  target.stops.push_back(stops.size());
  stops.push_back({machine, now, 0, true, first});
  target.process->signal(SIGTERM);
  if (!stops_already)
  {
    m_later.after(duration_cast<nanoseconds>(duration<double>(m_bounds.stop_grace)),
                  [this, machine, stop = target.stops.front()] { enforce_grace(machine, stop); });
  }
}

void process_fleet::enforce_grace(const std::string& machine, std::size_t stop)
{
  member& target = m_members.at(machine);
  if (target.stops.empty() || target.stops.front() != stop || !target.process->is_running())
  {
    return;
  }
  // A process that was paused meanwhile may need longer.
  m_record.seen().stops[stop].in_grace = target.paused || target.disturbance.has_value();
  const bool is_planned = !target.disturbance.has_value();
  begin_disturbance(machine, target);
  m_record.seen().disturbances[*target.disturbance].planned = is_planned;
  kill_now(target);
}

void process_fleet::kill_now(member& target)
{
  target.killed_at = target.killed_at.value_or(m_record.now());
  target.process->signal(SIGKILL);
}

void process_fleet::pause(const std::string& machine, nanoseconds time)
{
  member& target = m_members.at(machine);
  if (!target.process->is_running() || target.paused || target.end_expected)
  {
    return;
  }
  target.paused = true;
  begin_disturbance(machine, target);
  target.process->signal(SIGSTOP);
  m_later.after(time,
                [this, machine]
                {
                  member& paused = m_members.at(machine);
                  if (!paused.paused)
                  {
                    return;
                  }
                  paused.paused = false;
                  paused.process->signal(SIGCONT);
                  if (!paused.end_expected)
                  {
                    end_disturbance(paused);
                  }
                });
}

void process_fleet::reload(const std::string& machine)
{
  member& target = m_members.at(machine);
  if (target.process->is_running())
  {
    m_record.seen().reloads.push_back({machine, m_record.now()});
    target.process->signal(SIGHUP);
  }
}

void process_fleet::shut_down()
{
  m_shut_down = true;
  for (const auto& [machine, watched] : m_members)
  {
    m_record.seen().memory.push_back({machine, watched.peak_bytes, m_memory_limit_bytes});
  }
  m_members.clear();
}

} // namespace pollenyoke::emulator
