#include "Emulator/LoadDisturber.h"

#include "Common/Log.h"

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Pieces turn bad after the agent has read them, and before the engine takes them.
constexpr double spoilt_after_s = 0.1;
// The agent of a silent engine ends after its order is on its way.
constexpr double killed_after_s = 0.05;
// An agent that stands still while its order waits stands still until the load has ended.
constexpr double frozen_longer_s = 0.5;
constexpr double least_downtime_s = 0.2;
constexpr double downtime_range_s = 1;
// Every engine that can be used gets requests at once.
constexpr double overload = 2.5;

milliseconds to_milliseconds(double seconds)
{
  return duration_cast<milliseconds>(duration<double>(seconds));
}

} // namespace

load_disturber::load_disturber(async_io::event_loop& loop, platform_run& run, load_plan plan)
    : m_run(run), m_plan(std::move(plan)), m_later(loop), m_armed(run.engines().size())
{
  for (const machine& host : run.where().machines)
  {
    if (host.role == protocol::process_role::agent)
    {
      m_hosts.push_back(host.name);
    }
  }
}

load_disturber::~load_disturber()
{
  for (const auto& engine : m_run.engines())
  {
    engine->work().observe_loads(nullptr);
  }
}

void load_disturber::start()
{
  for (std::size_t i = 0; i < m_armed.size(); ++i)
  {
    engine(i).work().observe_loads([this, i](load_step step, double progress)
                                   { return observe(i, step, progress); });
  }
  for (const planned_load& load : m_plan.loads)
  {
    after(load.at, [this, &load] { begin(load); });
  }
  for (const moment at : m_plan.versions)
  {
    after(at, [this] { m_run.operations().name_next_weights(); });
  }
  for (const planned_spoilage& spoilage : m_plan.spoilages)
  {
    after(spoilage.at, [this, &spoilage]
          { engine(spoilage.engine).work().spoil_staged(spoilage.share, spoilage.choice); });
  }
  m_run.callers().set_load(overload);
}

void load_disturber::begin(const planned_load& load)
{
  log_info(log_category::process, "load is to be disturbed",
           {{"at", m_run.record().now()},
            {"server", engine(load.engine).id()},
            {"machine", host_of(load.engine)},
            {"cause", to_string(load.cause)},
            {"step", to_string(load.step)},
            {"strike", to_string(load.strike)},
            {"order_delay_s", load.order_delay},
            {"earlier_orders", load.earlier_orders}});
  m_armed[load.engine] = {load, load.earlier_orders, false, false};
  switch (load.cause)
  {
  case load_cause::new_weights:
    return;
  case load_cause::engine_restarts:
    restart_engine(load.engine, load);
    return;
  case load_cause::host_loses_power:
    lose_power(load.engine, load);
    return;
  case load_cause::host_joins:
    if (const auto joined = m_run.start_late_host(); !joined)
    {
      log_error(log_category::process, "host cannot join", {{"reason", joined.error().message}});
    }
    return;
  }
}

step_effect load_disturber::observe(std::size_t engine, load_step step, double progress)
{
  armed_load& armed = m_armed[engine];
  if (armed.earlier_orders > 0)
  {
    armed.earlier_orders -= step == load_step::order_accepted ? 1U : 0U;
    return {};
  }
  step_effect effect;
  const bool is_at_step = !armed.is_struck && step == armed.what.step &&
                          (step > load_step::piece_read_back || progress >= armed.what.progress);
  if (is_at_step)
  {
    effect = strike(armed);
  }
  if (step == load_step::order_received && armed.what.order_delay > 0 && !armed.is_late)
  {
    delay_order(armed);
    effect.delay = to_milliseconds(armed.what.order_delay);
  }
  return effect;
}

void load_disturber::delay_order(armed_load& armed)
{
  armed.is_late = true;
  log_info(log_category::process, "order waits at its engine",
           {{"at", m_run.record().now()},
            {"server", engine(armed.what.engine).id()},
            {"delay_s", armed.what.order_delay}});
  name_disturbance(armed.what);
  spoil_read_back(armed.what);
  const double delay = armed.what.order_delay;
  switch (armed.what.hold)
  {
  case late_order_hold::nothing:
    return;
  case late_order_hold::agent_frozen:
    m_run.processes().pause(host_of(armed.what.engine), to_milliseconds(delay + frozen_longer_s));
    return;
  case late_order_hold::engine_silent:
    disturb(engine(armed.what.engine).id(), delay);
    engine(armed.what.engine).fall_silent(to_milliseconds(delay));
    return;
  }
}

step_effect load_disturber::strike(armed_load& armed)
{
  armed.is_struck = true;
  const planned_load& what = armed.what;
  ++m_disturbed[std::string(to_string(what.step))];
  log_info(log_category::process, "load disturbed",
           {{"at", m_run.record().now()},
            {"server", engine(what.engine).id()},
            {"machine", host_of(what.engine)},
            {"step", to_string(what.step)},
            {"strike", to_string(what.strike)},
            {"duration_s", what.duration},
            {"order_delay_s", what.order_delay}});
  if (what.step < load_step::order_accepted)
  {
    name_disturbance(what);
  }
  if (what.step < load_step::order_received)
  {
    spoil_read_back(what);
  }
  if (what.strike == load_strike::connection_reset)
  {
    return {.answer = answer_fate::reset};
  }
  if (what.strike == load_strike::answer_lost)
  {
    return {.answer = answer_fate::lost};
  }
  const bool ends_engine =
      what.strike == load_strike::engine_crashed || what.strike == load_strike::host_loses_power;
  if (what.lag || ends_engine)
  {
    // The engine finishes what it is doing.
    after(what.lag.value_or(0), [this, what] { carry_out(what); });
  }
  else
  {
    carry_out(what);
  }
  return {};
}

void load_disturber::carry_out(const planned_load& what)
{
  const std::string& host = host_of(what.engine);
  switch (what.strike)
  {
  case load_strike::agent_killed:
    m_run.processes().kill(host);
    return;
  case load_strike::agent_frozen:
    m_run.processes().pause(host, to_milliseconds(what.duration));
    return;
  case load_strike::engine_silent:
    silence_engine(what);
    return;
  case load_strike::engine_silent_agent_killed:
    silence_engine(what);
    after(killed_after_s, [this, host] { m_run.processes().kill(host); });
    return;
  case load_strike::host_frozen:
    silence_engine(what);
    m_run.processes().pause(host, to_milliseconds(what.duration));
    return;
  case load_strike::engine_crashed:
    restart_engine(what.engine, what);
    return;
  case load_strike::host_loses_power:
    lose_power(what.engine, what);
    return;
  case load_strike::connection_reset:
  case load_strike::answer_lost:
    return;
  }
}

void load_disturber::lose_power(std::size_t number, const planned_load& what)
{
  m_run.processes().kill(host_of(number));
  engine(number).work().lose_staged();
  restart_engine(number, what);
}

void load_disturber::restart_engine(std::size_t number, const planned_load& what)
{
  const double downtime =
      least_downtime_s + downtime_range_s * static_cast<double>(what.choice % 100) / 100;
  const bool keeps_id = what.choice / 100 % 2 == 0;
  disturb(engine(number).id(), downtime);
  engine(number).crash(to_milliseconds(downtime), connection_fault::refused, keeps_id);
}

void load_disturber::silence_engine(const planned_load& what)
{
  disturb(engine(what.engine).id(), what.duration);
  engine(what.engine).fall_silent(to_milliseconds(what.duration));
}

void load_disturber::spoil_read_back(const planned_load& what)
{
  after(spoilt_after_s, [this, what]
        { engine(what.engine).work().spoil_read_back(what.spoilt_share, what.choice); });
}

void load_disturber::name_disturbance(const planned_load& what)
{
  std::string name(to_string(what.step));
  name.append(" ").append(to_string(what.strike));
  name.append(what.order_delay > 0 ? " late_order" : "");
  engine(what.engine).work().set_disturbance(std::move(name));
}

void load_disturber::disturb(const std::string& server, double duration_s)
{
  const moment now = m_run.record().now();
  m_run.record().seen().disturbances.push_back({server, now, now + duration_s});
}

server_of<engine_work>& load_disturber::engine(std::size_t number)
{
  return *m_run.engines()[number];
}

const std::string& load_disturber::host_of(std::size_t engine) const
{
  return m_hosts[engine];
}

void load_disturber::after(double seconds, std::function<void()> action)
{
  m_later.after(duration_cast<nanoseconds>(duration<double>(seconds)), std::move(action));
}

} // namespace pollenyoke::emulator
