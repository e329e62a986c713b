#include "Emulator/FaultInjector.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "Common/Log.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

using protocol::process_role;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr double operation_interval_s = 1;
// Of the operator's regular changes each third one concerns keys.
constexpr std::uint64_t key_change_turn = 3;
// Each fifth crash of engines is a loss of power, after which the staged pieces are gone.
constexpr std::uint64_t staged_loss_turn = 5;
constexpr unsigned series_length = 12;
constexpr double series_gap_s = 0.2;
constexpr unsigned long_config_routes = 1400;
constexpr double burst_load = 2.5;
constexpr double max_sound_silence_s = 1.5;
constexpr double slowness = 5;
constexpr milliseconds link_delay{150};
constexpr std::string_view store_scope = "store";

constexpr std::array<store_fault, 4> ways_to_be_away = {store_fault::refuses, store_fault::silent,
                                                        store_fault::resets, store_fault::busy};
constexpr std::array<server_fault, 7> troubles = {
    server_fault::errors,      server_fault::loses_answers, server_fault::hangs,
    server_fault::garbage,     server_fault::endless_head,  server_fault::endless_body,
    server_fault::extra_answer};

template <typename Values>
auto pick(const Values& values, std::uint64_t choice)
{
  return values[choice % values.size()];
}

nanoseconds to_time(double seconds)
{
  return duration_cast<nanoseconds>(duration<double>(seconds));
}

} // namespace

const std::map<fault_kind, fault_injector::action> fault_injector::actions = {
    {fault_kind::kill_processes, &fault_injector::kill_processes},
    {fault_kind::kill_all, &fault_injector::kill_all},
    {fault_kind::stop_process, &fault_injector::stop_process},
    {fault_kind::pause_process, &fault_injector::pause_process},
    {fault_kind::reload_process, &fault_injector::reload_process},
    {fault_kind::store_away, &fault_injector::take_store_away},
    {fault_kind::store_rejects_machines, &fault_injector::reject_machines},
    {fault_kind::store_slow, &fault_injector::slow_store},
    {fault_kind::store_loses_answers, &fault_injector::lose_store_answers},
    {fault_kind::store_connections_silent, &fault_injector::silence_store_connections},
    {fault_kind::store_forgets_history, &fault_injector::forget_history},
    {fault_kind::store_resets_reads, &fault_injector::reset_reads},
    {fault_kind::crash_engines, &fault_injector::crash_engines},
    {fault_kind::engine_trouble, &fault_injector::trouble_engine},
    {fault_kind::slow_engine, &fault_injector::slow_engine},
    {fault_kind::replace_server, &fault_injector::replace_server},
    {fault_kind::desk_trouble, &fault_injector::trouble_desk},
    {fault_kind::delayed_link, &fault_injector::delay_link},
    {fault_kind::cut_link, &fault_injector::cut_link},
    {fault_kind::one_way_link, &fault_injector::block_one_way},
    {fault_kind::silent_connections, &fault_injector::silence_connections},
    {fault_kind::origin_away, &fault_injector::take_origin_away},
    {fault_kind::origin_trouble, &fault_injector::trouble_origin},
    {fault_kind::config_series, &fault_injector::write_config_series},
    {fault_kind::long_config, &fault_injector::write_long_config},
    {fault_kind::new_weights, &fault_injector::name_weights},
    {fault_kind::burst, &fault_injector::raise_load},
    {fault_kind::impatient_callers, &fault_injector::make_callers_impatient},
    {fault_kind::server_wants_pause, &fault_injector::begin_server_pause},
    {fault_kind::server_silent, &fault_injector::silence_server},
    {fault_kind::load_disturbed, &fault_injector::disturb_load},
    {fault_kind::server_limited, &fault_injector::limit_server},
    {fault_kind::store_restored, &fault_injector::restore_store},
    {fault_kind::early_answers, &fault_injector::answer_early},
    {fault_kind::failed_continuations, &fault_injector::fail_continuations},
    {fault_kind::stop_series, &fault_injector::stop_series},
    {fault_kind::open_connections_silent, &fault_injector::silence_open_connections},
};

fault_injector::fault_injector(async_io::event_loop& loop, platform_run& run,
                               std::vector<planned_fault> plan)
    : m_run(run), m_plan(std::move(plan)), m_later(loop)
{
}

void fault_injector::start()
{
  for (const planned_fault& fault : m_plan)
  {
    after(fault.at, [this, &fault] { inject(fault); });
  }
  operate();
}

void fault_injector::inject(const planned_fault& fault)
{
  ++m_injected;
  log_info(log_category::process, "fault",
           {{"kind", to_string(fault.kind)},
            {"at", m_run.record().now()},
            {"duration_s", fault.duration},
            {"share", fault.share}});
  (this->*actions.at(fault.kind))(fault);
}

void fault_injector::operate()
{
  if (++m_operations % key_change_turn == 0)
  {
    m_run.operations().change_keys();
  }
  else
  {
    m_run.operations().change_routes();
  }
  after(operation_interval_s, [this] { operate(); });
}

std::vector<machine> fault_injector::choose(const planned_fault& fault, double share,
                                            std::optional<process_role> role) const
{
  std::vector<machine> targets = m_run.where().machines;
  std::erase_if(targets, [role](const machine& host) { return role && host.role != *role; });
  std::mt19937_64 random(fault.choice);
  std::shuffle(targets.begin(), targets.end(), random);
  const double count = std::max(1.0, std::round(share * static_cast<double>(targets.size())));
  targets.resize(std::min(targets.size(), static_cast<std::size_t>(count)));
  return targets;
}

void fault_injector::disturb(const std::string& scope, double duration_s)
{
  const moment now = m_run.record().now();
  m_run.record().seen().disturbances.push_back({scope, now, now + duration_s});
}

void fault_injector::after(double seconds, std::function<void()> undo)
{
  m_later.after(to_time(seconds), std::move(undo));
}

void fault_injector::kill_processes(const planned_fault& fault)
{
  for (const machine& target : choose(fault, fault.share))
  {
    m_run.processes().kill(target.name);
  }
}

void fault_injector::kill_all(const planned_fault& /*fault*/)
{
  m_run.processes().kill_all();
}

void fault_injector::stop_process(const planned_fault& fault)
{
  m_run.processes().stop(choose(fault, 0).front().name);
}

void fault_injector::stop_series(const planned_fault& fault)
{
  constexpr double longest_gap_s = 0.8;
  constexpr double agents_share = 0.25;
  constexpr double again_share = 0.5;
  constexpr double reload_share = 0.5;
  constexpr double reload_before_s = 1;
  constexpr double within_stop_s = 6;
  std::mt19937_64 random(fault.choice);
  std::uniform_real_distribution<double> fraction(0, 1);
  const double gap = longest_gap_s * fraction(random);
  std::vector<machine> targets = choose(fault, fault.share, process_role::entry);
  if (fraction(random) < agents_share)
  {
    const auto agents = choose(fault, fault.share / 2, process_role::agent);
    targets.insert(targets.end(), agents.begin(), agents.end());
    std::shuffle(targets.begin(), targets.end(), random);
  }
  double at = reload_before_s;
  for (const machine& target : targets)
  {
    const auto stop = [this, name = target.name]
    {
      m_run.processes().stop(name);
    };
    after(at, stop);
    while (fraction(random) < again_share)
    {
      after(at + within_stop_s * fraction(random), stop);
    }
    if (fraction(random) < reload_share)
    {
      after(at - reload_before_s + (within_stop_s + reload_before_s) * fraction(random),
            [this, name = target.name] { m_run.processes().reload(name); });
    }
    at += gap;
  }
}

/// Excuses what a reset of the connections of all machines would excuse.
void fault_injector::silence_open_connections(const planned_fault& fault)
{
  enum class extent
  {
    waiting_reads,
    store,
    peers,
    all,
  };
  constexpr std::array extents{extent::waiting_reads, extent::store, extent::peers, extent::all};
  const extent which = pick(extents, fault.choice);
  for (const machine& host : m_run.where().machines)
  {
    disturb(host.name, 0);
    if (which != extent::peers)
    {
      m_run.store().silence_open_connections(host.name, which == extent::waiting_reads);
    }
  }
  if ((which == extent::peers || which == extent::all) && m_run.peers() != nullptr)
  {
    m_run.peers()->silence_open_connections();
  }
}

void fault_injector::pause_process(const planned_fault& fault)
{
  for (const machine& target : choose(fault, fault.share / 2))
  {
    m_run.processes().pause(target.name, to_time(fault.duration));
  }
}

void fault_injector::reload_process(const planned_fault& fault)
{
  for (const machine& target : choose(fault, fault.share))
  {
    m_run.processes().reload(target.name);
  }
}

void fault_injector::take_store_away(const planned_fault& fault)
{
  disturb(std::string(store_scope), fault.duration);
  m_run.store().set_fault_for_all(pick(ways_to_be_away, fault.choice));
  after(fault.duration, [this] { m_run.store().set_fault_for_all(store_fault::none); });
}

void fault_injector::reject_machines(const planned_fault& fault)
{
  for (const machine& target : choose(fault, fault.share))
  {
    disturb(target.name, fault.duration);
    m_run.store().set_fault(target.name, pick(ways_to_be_away, fault.choice));
    after(fault.duration,
          [this, name = target.name] { m_run.store().set_fault(name, store_fault::none); });
  }
}

void fault_injector::slow_store(const planned_fault& fault)
{
  disturb(std::string(store_scope), fault.duration);
  m_run.store().set_fault_for_all(store_fault::slow);
  after(fault.duration, [this] { m_run.store().set_fault_for_all(store_fault::none); });
}

void fault_injector::lose_store_answers(const planned_fault& fault)
{
  disturb(std::string(store_scope), fault.duration);
  for (const machine& target : m_run.where().machines)
  {
    m_run.store().set_fault(target.name, store_fault::loses_answers, fault.share);
    after(fault.duration,
          [this, name = target.name] { m_run.store().set_fault(name, store_fault::none); });
  }
}

void fault_injector::silence_store_connections(const planned_fault& fault)
{
  const bool refused = fault.choice % 2 == 0;
  for (const machine& target : choose(fault, fault.share))
  {
    disturb(target.name, fault.duration);
    m_run.store().set_connection_fault(target.name, refused ? connection_fault::refused
                                                            : connection_fault::silent);
    after(fault.duration, [this, name = target.name]
          { m_run.store().set_connection_fault(name, connection_fault::none); });
  }
}

void fault_injector::forget_history(const planned_fault& /*fault*/)
{
  disturb(std::string(store_scope), 0);
  m_run.store().forget_history();
}

void fault_injector::reset_reads(const planned_fault& fault)
{
  disturb(std::string(store_scope), fault.duration);
  m_run.store().set_resetting_topic(std::string(platform::names::operator_topic));
  after(fault.duration, [this] { m_run.store().set_resetting_topic({}); });
}

void fault_injector::crash_engines(const planned_fault& fault)
{
  const auto meanwhile =
      fault.choice % 2 == 0 ? connection_fault::refused : connection_fault::silent;
  const auto downtime = duration_cast<milliseconds>(to_time(fault.duration));
  const std::size_t count =
      1 + static_cast<std::size_t>(fault.share * static_cast<double>(m_run.engines().size()));
  for (std::size_t i = 0; i < count; ++i)
  {
    auto& engine = *m_run.engines()[(fault.choice / 4 + i) % m_run.engines().size()];
    disturb(engine.id(), fault.duration);
    if (fault.choice % staged_loss_turn == 0)
    {
      engine.work().lose_staged();
    }
    engine.crash(downtime, meanwhile, fault.choice % 3 == 0);
  }
}

void fault_injector::trouble_server(backend_server& server, server_fault trouble,
                                    const planned_fault& fault)
{
  disturb(server.id(), fault.duration);
  server.set_fault(trouble, std::max(0.2, fault.share));
  after(fault.duration, [&server] { server.set_fault(server_fault::none, 0); });
}

void fault_injector::trouble_engine(const planned_fault& fault)
{
  trouble_server(*m_run.engines()[fault.choice % m_run.engines().size()],
                 pick(troubles, fault.choice / 8), fault);
}

void fault_injector::trouble_desk(const planned_fault& fault)
{
  trouble_server(*m_run.desks()[fault.choice % m_run.desks().size()],
                 pick(troubles, fault.choice / 8), fault);
}

void fault_injector::answer_early(const planned_fault& fault)
{
  constexpr std::array ways{server_fault::answers_early, server_fault::breaks_off_early,
                            server_fault::breaks_off_early};
  for (const auto& desk : m_run.desks())
  {
    trouble_server(*desk, pick(ways, fault.choice), fault);
  }
}

void fault_injector::fail_continuations(const planned_fault& fault)
{
  const auto& engines = m_run.engines();
  for (std::size_t i = 0; i < engines.size(); ++i)
  {
    if (i != fault.choice % engines.size())
    {
      trouble_server(*engines[i], server_fault::refuses_continuations, fault);
    }
  }
  auto& broken = *engines[fault.choice % engines.size()];
  disturb(broken.id(), fault.duration);
  after(fault.duration / 2,
        [&broken] { broken.crash(milliseconds(500), connection_fault::refused, false); });
}

void fault_injector::slow_engine(const planned_fault& fault)
{
  auto& engine = *m_run.engines()[fault.choice % m_run.engines().size()];
  disturb(engine.id(), fault.duration);
  engine.work().set_slowness(slowness);
  after(fault.duration, [&engine] { engine.work().set_slowness(1); });
}

void fault_injector::replace_server(const planned_fault& fault)
{
  constexpr milliseconds drain_timeout{2000};
  choose_server(fault).replace(drain_timeout);
}

backend_server& fault_injector::choose_server(const planned_fault& fault) const
{
  if (fault.choice % 2 == 0)
  {
    return *m_run.engines()[fault.choice / 2 % m_run.engines().size()];
  }
  return *m_run.desks()[fault.choice / 2 % m_run.desks().size()];
}

void fault_injector::begin_server_pause(const planned_fault& fault)
{
  choose_server(fault).want_no_requests(duration_cast<milliseconds>(to_time(fault.duration)));
}

/// No disturbance: sound servers do so.
void fault_injector::silence_server(const planned_fault& fault)
{
  const double length = std::min(fault.duration, max_sound_silence_s);
  choose_server(fault).fall_silent(duration_cast<milliseconds>(to_time(length)));
}

void fault_injector::restore_store(const planned_fault& fault)
{
  constexpr milliseconds min_copy_age{500};
  constexpr milliseconds max_copy_age{12000};
  const auto copy_age =
      min_copy_age + duration_cast<milliseconds>((max_copy_age - min_copy_age) * fault.share);
  disturb(std::string(store_scope), fault.duration);
  m_run.store().set_fault_for_all(pick(ways_to_be_away, fault.choice));
  after(fault.duration,
        [this, copy_age]
        {
          m_run.store().set_fault_for_all(store_fault::none);
          m_run.store().restore(copy_age);
        });
}

/// No disturbance: a server in need does so. An instance that starts meanwhile names no limit until
/// the next step.
void fault_injector::limit_server(const planned_fault& fault)
{
  constexpr std::array<double, 5> limits{0.3, 1, 1.7, 4, 0};
  constexpr std::array<std::string_view, 4> spellings{"few", "-1", "nan", "1e400"};
  auto& server = choose_server(fault);
  const double first = pick(limits, fault.choice / 16);
  const double second = pick(limits, fault.choice / 64);
  server.set_limit(first);
  after(fault.duration / 2, [&server, second] { server.set_limit(second); });
  after(fault.duration * 3 / 4, [&server, spelling = pick(spellings, fault.choice / 256)]
        { server.spoil_limit(spelling); });
  after(fault.duration, [&server] { server.set_limit({}); });
}

void fault_injector::disturb_load(const planned_fault& fault)
{
  // Pieces turn bad after the agent has read them, and before it goes on.
  constexpr double spoilt_after_s = 0.1;
  auto& engine = *m_run.engines()[fault.choice % m_run.engines().size()];
  const auto& machines = m_run.where().machines;
  const auto host =
      std::find_if(machines.begin(), machines.end(),
                   [&engine](const machine& of) { return of.ip == engine.address().ip; });
  const unsigned reads = 1 + static_cast<unsigned>(fault.choice / 16) % engine.work().piece_count();
  const bool is_silent = fault.choice / 8 % 2 == 0;
  engine.work().after_staged_reads(
      reads,
      [this, &engine, name = host->name, fault, is_silent]
      {
        log_info(log_category::process, "load disturbed",
                 {{"server", engine.id()}, {"machine", name}, {"engine_silent", is_silent}});
        if (is_silent)
        {
          disturb(engine.id(), fault.duration);
          engine.fall_silent(duration_cast<milliseconds>(to_time(fault.duration)));
        }
        else
        {
          m_run.processes().pause(name, to_time(fault.duration));
        }
        after(spoilt_after_s,
              [&engine, fault] { engine.work().spoil_staged(fault.share, fault.choice); });
      });
  m_run.operations().name_next_weights();
}

void fault_injector::set_link_faults(const planned_fault& fault,
                                     const stand_ins::relay_faults& faults)
{
  for (const machine& target : choose(fault, fault.share / 2, process_role::entry))
  {
    auto& proxy = m_run.proxy_of(target);
    for (const std::string& entry : m_run.entries_behind(proxy))
    {
      disturb(entry, fault.duration);
    }
    proxy.set_faults(faults);
    after(fault.duration, [&proxy] { proxy.set_faults({}); });
  }
}

void fault_injector::delay_link(const planned_fault& fault)
{
  set_link_faults(fault, {.delay = link_delay});
}

void fault_injector::cut_link(const planned_fault& fault)
{
  set_link_faults(fault, {.cut = true});
}

void fault_injector::block_one_way(const planned_fault& fault)
{
  set_link_faults(fault, {.blackhole = {fault.choice % 2 == 0, fault.choice % 2 != 0}});
}

void fault_injector::silence_connections(const planned_fault& fault)
{
  for (const machine& target : choose(fault, fault.share, process_role::entry))
  {
    auto& proxy = m_run.proxy_of(target);
    for (const std::string& entry : m_run.entries_behind(proxy))
    {
      disturb(entry, 0);
    }
    proxy.silence_open_connections();
  }
}

void fault_injector::take_origin_away(const planned_fault& fault)
{
  m_run.origin().set_connection_fault(fault.choice % 2 == 0 ? connection_fault::refused
                                                            : connection_fault::silent);
  after(fault.duration, [this] { m_run.origin().set_connection_fault(connection_fault::none); });
}

void fault_injector::trouble_origin(const planned_fault& fault)
{
  m_run.origin().set_fault(fault.choice % 2 == 0 ? origin_fault::corrupts : origin_fault::cuts);
  after(fault.duration, [this] { m_run.origin().set_fault(origin_fault::none); });
}

void fault_injector::write_config_series(const planned_fault& /*fault*/)
{
  for (unsigned i = 0; i < series_length; ++i)
  {
    after(i * series_gap_s, [this] { m_run.operations().change_routes(); });
  }
}

void fault_injector::write_long_config(const planned_fault& fault)
{
  m_run.operations().set_idle_routes(long_config_routes);
  after(fault.duration * 2, [this] { m_run.operations().set_idle_routes(0); });
}

void fault_injector::name_weights(const planned_fault& /*fault*/)
{
  m_run.operations().name_next_weights();
}

void fault_injector::raise_load(const planned_fault& fault)
{
  m_run.callers().set_load(burst_load);
  after(fault.duration, [this] { m_run.callers().set_load(1); });
}

void fault_injector::make_callers_impatient(const planned_fault& fault)
{
  m_run.callers().set_impatient_share(fault.share);
  after(fault.duration, [this] { m_run.callers().set_impatient_share({}); });
}

} // namespace pollenyoke::emulator
