#include "Emulator/FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <span>

namespace pollenyoke::emulator
{

namespace
{

constexpr double first_fault_s = 5;
constexpr double mean_gap_s = 1.2;
constexpr double min_duration_s = 0.3;
constexpr double max_duration_s = 4;
// Faults in quick succession: the chance that the next one begins at once.
constexpr double overlap_share = 0.3;
constexpr double overlap_gap_s = 0.15;
constexpr double max_share = 0.6;
// Requests that were sent last need this long to end.
constexpr double quiet_end_s = 4;
// After a loss of all processes the rest of the run shows whether service comes back; the bound of
// the platform's rules is 12 s.
constexpr double recovery_end_s = 24;
constexpr double recovery_share = 0.3;
// Sound servers ask for pauses, fall silent and leave beside all other faults. They are drawn by
// themselves, so that the other faults of a seed stay as they were.
constexpr double mean_notice_gap_s = 2.5;
// So are disturbed loads. Each of them names new weights; those before should be in use by then.
constexpr double mean_load_gap_s = 12;
// A limit counts from some seconds after it was named, over the seconds that follow.
constexpr double mean_limit_gap_s = 7;
constexpr double min_limit_time_s = 9;
constexpr double max_limit_time_s = 20;
constexpr double mean_restore_gap_s = 14;
constexpr std::uint64_t restore_stream = 0x8ebc6af09c88c6e3U;
constexpr std::uint64_t limit_stream = 0xa0761d6478bd642fU;
constexpr std::uint64_t load_stream = 0xd1b54a32d192ed03U;
constexpr std::uint64_t notice_stream = 0x9e3779b97f4a7c15U;
constexpr std::array notice_kinds{fault_kind::server_wants_pause, fault_kind::server_silent,
                                  fault_kind::replace_server};

struct named_fault
{
  fault_kind kind;
  std::string_view name;
  /// How often it is drawn.
  unsigned weight;
};

constexpr std::array<named_fault, 37> faults = {{
    {fault_kind::kill_processes, "kill_processes", 4},
    {fault_kind::kill_all, "kill_all", 0},
    {fault_kind::stop_process, "stop_process", 4},
    {fault_kind::pause_process, "pause_process", 3},
    {fault_kind::reload_process, "reload_process", 1},
    {fault_kind::store_away, "store_away", 2},
    {fault_kind::store_rejects_machines, "store_rejects_machines", 2},
    {fault_kind::store_slow, "store_slow", 1},
    {fault_kind::store_loses_answers, "store_loses_answers", 1},
    {fault_kind::store_connections_silent, "store_connections_silent", 2},
    {fault_kind::store_forgets_history, "store_forgets_history", 1},
    {fault_kind::store_resets_reads, "store_resets_reads", 1},
    {fault_kind::crash_engines, "crash_engines", 3},
    {fault_kind::engine_trouble, "engine_trouble", 4},
    {fault_kind::slow_engine, "slow_engine", 1},
    {fault_kind::replace_server, "replace_server", 3},
    {fault_kind::desk_trouble, "desk_trouble", 4},
    {fault_kind::delayed_link, "delayed_link", 1},
    {fault_kind::cut_link, "cut_link", 2},
    {fault_kind::one_way_link, "one_way_link", 1},
    {fault_kind::silent_connections, "silent_connections", 2},
    {fault_kind::origin_away, "origin_away", 1},
    {fault_kind::origin_trouble, "origin_trouble", 1},
    {fault_kind::config_series, "config_series", 2},
    {fault_kind::long_config, "long_config", 1},
    {fault_kind::new_weights, "new_weights", 2},
    {fault_kind::burst, "burst", 1},
    {fault_kind::impatient_callers, "impatient_callers", 1},
    {fault_kind::server_wants_pause, "server_wants_pause", 0},
    {fault_kind::server_silent, "server_silent", 0},
    {fault_kind::store_restored, "store_restored", 0},
    {fault_kind::server_limited, "server_limited", 0},
    {fault_kind::load_disturbed, "load_disturbed", 0},
    {fault_kind::early_answers, "early_answers", 0},
    {fault_kind::failed_continuations, "failed_continuations", 0},
    {fault_kind::stop_series, "stop_series", 0},
    {fault_kind::open_connections_silent, "open_connections_silent", 0},
}};

} // namespace

std::string_view to_string(fault_kind kind)
{
  for (const named_fault& fault : faults)
  {
    if (fault.kind == kind)
    {
      return fault.name;
    }
  }
  return "unknown";
}

namespace
{

void add_notices(std::vector<planned_fault>& plan, std::uint64_t seed, double last)
{
  std::mt19937_64 random(seed ^ notice_stream);
  std::exponential_distribution<double> gap(1 / mean_notice_gap_s);
  std::uniform_real_distribution<double> fraction(0, 1);
  for (double at = first_fault_s + gap(random); at < last; at += gap(random))
  {
    plan.push_back(
        {.kind = notice_kinds[random() % notice_kinds.size()],
         .at = at,
         .duration = min_duration_s + fraction(random) * (max_duration_s - min_duration_s),
         .share = fraction(random) * max_share,
         .choice = random()});
  }
}

void add_restores(std::vector<planned_fault>& plan, std::uint64_t seed, double last)
{
  std::mt19937_64 random(seed ^ restore_stream);
  std::exponential_distribution<double> gap(1 / mean_restore_gap_s);
  std::uniform_real_distribution<double> fraction(0, 1);
  for (double at = first_fault_s + gap(random); at < last; at += gap(random))
  {
    plan.push_back({.kind = fault_kind::store_restored,
                    .at = at,
                    .duration = min_duration_s + fraction(random) * 2,
                    .share = fraction(random),
                    .choice = random()});
  }
}

void add_limits(std::vector<planned_fault>& plan, std::uint64_t seed, double last)
{
  std::mt19937_64 random(seed ^ limit_stream);
  std::exponential_distribution<double> gap(1 / mean_limit_gap_s);
  std::uniform_real_distribution<double> fraction(0, 1);
  for (double at = first_fault_s + gap(random); at < last - min_limit_time_s; at += gap(random))
  {
    const double drawn =
        min_limit_time_s + fraction(random) * (max_limit_time_s - min_limit_time_s);
    plan.push_back({.kind = fault_kind::server_limited,
                    .at = at,
                    .duration = std::min(drawn, last - at),
                    .share = fraction(random),
                    .choice = random()});
  }
}

void add_disturbed_loads(std::vector<planned_fault>& plan, std::uint64_t seed, double last)
{
  std::mt19937_64 random(seed ^ load_stream);
  std::exponential_distribution<double> gap(1 / mean_load_gap_s);
  std::uniform_real_distribution<double> fraction(0, 1);
  for (double at = first_fault_s + gap(random); at < last; at += gap(random))
  {
    plan.push_back({.kind = fault_kind::load_disturbed,
                    .at = at,
                    .duration = max_duration_s * (1 - fraction(random) / 4),
                    .share = fraction(random) * max_share,
                    .choice = random()});
  }
}

} // namespace

std::vector<planned_fault> draw_plan(std::uint64_t seed, double duration)
{
  std::mt19937_64 random(seed);
  const auto fraction = [&random]
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  std::vector<unsigned> weights;
  weights.reserve(faults.size());
  for (const named_fault& fault : faults)
  {
    weights.push_back(fault.weight);
  }
  std::discrete_distribution<std::size_t> draw_kind(weights.begin(), weights.end());
  const bool loses_all = duration > 2 * recovery_end_s && fraction() < recovery_share;
  const double last = duration - (loses_all ? recovery_end_s : quiet_end_s + max_duration_s);
  std::vector<planned_fault> plan;
  for (double at = first_fault_s; at < last;)
  {
    plan.push_back({.kind = faults[draw_kind(random)].kind,
                    .at = at,
                    .duration = min_duration_s + fraction() * (max_duration_s - min_duration_s),
                    .share = fraction() * max_share,
                    .choice = random()});
    at += fraction() < overlap_share
              ? overlap_gap_s
              : std::exponential_distribution<double>(1 / mean_gap_s)(random);
  }
  add_notices(plan, seed, last);
  add_disturbed_loads(plan, seed, last);
  add_limits(plan, seed, last);
  add_restores(plan, seed, last);
  std::stable_sort(plan.begin(), plan.end(),
                   [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
  if (loses_all)
  {
    plan.push_back({.kind = fault_kind::kill_all, .at = last, .choice = random()});
  }
  return plan;
}

namespace
{

struct recurring_fault
{
  fault_kind kind;
  double mean_gap_s;
};

std::vector<planned_fault> draw_recurring(std::uint64_t seed,
                                          std::span<const recurring_fault> kinds, double duration)
{
  constexpr double first_s = 1;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> fraction(0, 1);
  std::vector<planned_fault> plan;
  for (const recurring_fault& one : kinds)
  {
    std::exponential_distribution<double> gap(1 / one.mean_gap_s);
    for (double at = first_s + gap(random); at < duration - quiet_end_s; at += gap(random))
    {
      plan.push_back({.kind = one.kind,
                      .at = at,
                      .duration = min_duration_s + fraction(random) * max_duration_s,
                      .share = fraction(random),
                      .choice = random()});
    }
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
  return plan;
}

} // namespace

std::vector<planned_fault> draw_stop_plan(std::uint64_t seed, double duration)
{
  // A series lasts up to the grace time, so that several overlap.
  constexpr std::array<recurring_fault, 8> work = {{{fault_kind::stop_series, 4},
                                                    {fault_kind::reload_process, 4},
                                                    {fault_kind::config_series, 4},
                                                    {fault_kind::burst, 5},
                                                    {fault_kind::new_weights, 10},
                                                    {fault_kind::long_config, 20},
                                                    {fault_kind::server_wants_pause, 6},
                                                    {fault_kind::server_silent, 6}}};
  return draw_recurring(seed, work, duration);
}

std::vector<planned_fault> draw_answer_plan(std::uint64_t seed, double duration)
{
  constexpr std::array<recurring_fault, 6> troubles = {{{fault_kind::early_answers, 2},
                                                        {fault_kind::failed_continuations, 3},
                                                        {fault_kind::desk_trouble, 8},
                                                        {fault_kind::server_silent, 4},
                                                        {fault_kind::impatient_callers, 8},
                                                        {fault_kind::stop_process, 10}}};
  return draw_recurring(seed, troubles, duration);
}

std::vector<planned_fault> draw_connection_plan(std::uint64_t seed, double duration)
{
  // All machines are excused for a while after each silence, and judged for some seconds then.
  constexpr double min_gap_s = 7;
  constexpr double mean_further_gap_s = 2;
  constexpr double first_s = 2;
  constexpr double latest_change_s = 1.5;
  constexpr double pause_share = 0.4;
  constexpr double stop_share = 0.2;
  constexpr double machine_share = 0.25;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> fraction(0, 1);
  std::exponential_distribution<double> gap(1 / mean_further_gap_s);
  std::vector<planned_fault> plan;
  const auto add = [&](fault_kind kind, double at)
  {
    plan.push_back({.kind = kind,
                    .at = at,
                    .duration = min_duration_s + fraction(random) * max_duration_s,
                    .share = fraction(random) * machine_share,
                    .choice = random()});
  };
  for (double at = first_s + gap(random); at < duration - quiet_end_s - max_duration_s;
       at += min_gap_s + gap(random))
  {
    add(fault_kind::open_connections_silent, at);
    add(fault_kind::config_series, at + latest_change_s * fraction(random));
    if (fraction(random) < pause_share)
    {
      add(fault_kind::pause_process, at + latest_change_s * fraction(random));
    }
    if (fraction(random) < stop_share)
    {
      add(fraction(random) < 0.5 ? fault_kind::stop_process : fault_kind::kill_processes,
          at + latest_change_s * fraction(random));
    }
  }
  std::stable_sort(plan.begin(), plan.end(),
                   [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
  return plan;
}

} // namespace pollenyoke::emulator
