#include "Emulator/LoadPlan.h"

#include <algorithm>
#include <array>
#include <random>

namespace pollenyoke::emulator
{

namespace
{

constexpr double first_round_s = 1;
constexpr double round_gap_s = 3.5;
constexpr double round_jitter_s = 2;
// The host that joins has loaded by then.
constexpr double joining_time_s = 5;
constexpr double quiet_end_s = 5;
constexpr double struck_share = 0.85;
// A version is named while the one before is being loaded.
constexpr double second_version_share = 0.35;
constexpr double max_second_version_gap_s = 3;
constexpr double new_weights_share = 0.6;
constexpr double power_loss_share = 0.35;
constexpr double second_load_share = 0.3;
// Longer than the platform excuses pieces that have turned bad.
constexpr double min_duration_s = 3.2;
constexpr double max_duration_s = 4.5;
constexpr double late_order_share = 0.7;
constexpr double late_order_share_before_order = 0.3;
constexpr double all_pieces_share = 0.6;
constexpr double before_answer_share = 0.5;
// An agent sends its order within this time after it has read the answer before it.
constexpr double max_lag_s = 0.0004;
// An agent orders once more about 3 s after an order without an answer, and one that is killed
// comes back and stages the pieces again within this time at the least.
constexpr double order_again_s = 2.9;
constexpr double restage_s = 1.2;
constexpr double late_kill_share = 0.75;
constexpr double frozen_hold_share = 0.5;
constexpr double silent_hold_share = 0.3;
constexpr double at_once_share = 0.7;
constexpr double min_spoilt_share = 0.1;
constexpr double max_joining_s = 4;
constexpr double mean_spoilage_gap_s = 4;
constexpr double max_spoilage_share = 0.3;
// Pieces have turned bad while an engine was down.
constexpr double spoilt_restart_share = 0.3;

template <typename Value>
struct named
{
  Value value;
  std::string_view name;
  /// How often it is drawn.
  unsigned weight = 0;
};

constexpr std::array<named<load_step>, 8> steps{{
    {load_step::piece_staged, "piece_staged", 1},
    {load_step::piece_read_back, "piece_read_back", 4},
    {load_step::report_after_check, "report_after_check", 3},
    {load_step::order_received, "order_received", 5},
    {load_step::order_accepted, "order_accepted", 3},
    {load_step::load_begun, "load_begun", 2},
    {load_step::report_after_load, "report_after_load", 2},
    {load_step::request_after_load, "request_after_load", 1},
}};

constexpr std::array<named<load_cause>, 4> causes{{
    {load_cause::new_weights, "new_weights", 0},
    {load_cause::engine_restarts, "engine_restarts", 0},
    {load_cause::host_loses_power, "host_loses_power", 0},
    {load_cause::host_joins, "host_joins", 0},
}};

constexpr std::array<named<load_strike>, 9> strikes{{
    {load_strike::agent_killed, "agent_killed", 4},
    {load_strike::agent_frozen, "agent_frozen", 3},
    {load_strike::engine_silent, "engine_silent", 2},
    {load_strike::engine_silent_agent_killed, "engine_silent_agent_killed", 4},
    {load_strike::host_frozen, "host_frozen", 2},
    {load_strike::engine_crashed, "engine_crashed", 1},
    {load_strike::host_loses_power, "host_loses_power", 1},
    {load_strike::connection_reset, "connection_reset", 1},
    {load_strike::answer_lost, "answer_lost", 1},
}};

template <typename Value, std::size_t Size>
std::string_view find_name(const std::array<named<Value>, Size>& names, Value value)
{
  const auto found = std::find_if(names.begin(), names.end(),
                                  [value](const auto& item) { return item.value == value; });
  return found == names.end() ? "unknown" : found->name;
}

/// True if the step belongs to a call whose connection can fail.
bool answers_call(load_step step)
{
  return step != load_step::load_begun && step != load_step::request_after_load;
}

class load_drawer
{
public:
  load_drawer(std::uint64_t seed, double duration, std::size_t engines)
      : m_random(seed), m_duration(duration), m_engines(engines)
  {
  }

  load_plan draw()
  {
    const std::size_t joining = m_engines - 1;
    const double joins_at = first_round_s + fraction() * max_joining_s;
    add_load(joins_at, load_cause::host_joins, joining);
    std::size_t spared = m_random() % m_engines;
    // The first round is about the version that engines hold at the start.
    bool names_version = false;
    for (double at = first_round_s; at < m_duration - quiet_end_s;
         at += round_gap_s + fraction() * round_jitter_s)
    {
      if (names_version)
      {
        add_versions(at);
      }
      for (std::size_t engine = 0; engine < m_engines; ++engine)
      {
        const bool is_there = engine != joining || at > joins_at + joining_time_s;
        if (engine != spared && is_there && fraction() < struck_share)
        {
          add_load(at, names_version ? load_cause::new_weights : draw_cause(), engine);
        }
      }
      spared = (spared + 1) % m_engines;
      names_version = fraction() < new_weights_share;
    }
    add_spoilages();
    return std::move(m_plan);
  }

private:
  double fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  double between(double least, double most)
  {
    return least + fraction() * (most - least);
  }

  template <typename Value, std::size_t Size>
  Value draw_weighted(const std::array<named<Value>, Size>& from)
  {
    std::array<double, Size> weights{};
    std::transform(from.begin(), from.end(), weights.begin(),
                   [](const auto& item) { return static_cast<double>(item.weight); });
    return from[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random)]
        .value;
  }

  load_cause draw_cause()
  {
    return fraction() < power_loss_share ? load_cause::host_loses_power
                                         : load_cause::engine_restarts;
  }

  void add_versions(double at)
  {
    m_plan.versions.push_back(at);
    if (fraction() < second_version_share)
    {
      m_plan.versions.push_back(at + fraction() * max_second_version_gap_s);
    }
  }

  void add_load(double at, load_cause cause, std::size_t engine)
  {
    planned_load out{.at = at, .cause = cause, .engine = engine};
    out.step = draw_weighted(steps);
    do
    {
      out.strike = draw_weighted(strikes);
    } while (!answers_call(out.step) && (out.strike == load_strike::connection_reset ||
                                         out.strike == load_strike::answer_lost));
    out.progress = fraction() < all_pieces_share ? 1 : fraction();
    out.duration = between(min_duration_s, max_duration_s);
    const bool pieces_taken = out.step >= load_step::order_received;
    const bool all_read = out.step == load_step::report_after_check ||
                          (out.step == load_step::piece_read_back && out.progress == 1);
    const double late_share = pieces_taken ? late_order_share
                              : all_read   ? late_order_share_before_order
                                           : 0;
    if (fraction() < late_share)
    {
      out.order_delay = between(min_duration_s, max_duration_s);
    }
    out.lag = draw_lag(out);
    if (out.step > load_step::order_received && out.order_delay > 0)
    {
      const double drawn = fraction();
      out.hold = drawn < frozen_hold_share                       ? late_order_hold::agent_frozen
                 : drawn < frozen_hold_share + silent_hold_share ? late_order_hold::engine_silent
                                                                 : late_order_hold::nothing;
    }
    out.earlier_orders = cause != load_cause::new_weights && fraction() < second_load_share ? 1 : 0;
    out.spoilt_share = between(min_spoilt_share, 1);
    out.choice = m_random();
    m_plan.loads.push_back(out);
    if (cause == load_cause::engine_restarts && fraction() < spoilt_restart_share)
    {
      add_spoilage(at, engine);
    }
  }

  std::optional<double> draw_lag(const planned_load& load)
  {
    if (load.step == load_step::order_received && load.order_delay > 0)
    {
      return fraction() < late_kill_share
                 ? between(std::max(0.0, load.order_delay - restage_s), order_again_s)
                 : fraction() * load.order_delay;
    }
    const bool is_silence = load.strike == load_strike::engine_silent ||
                            load.strike == load_strike::engine_silent_agent_killed ||
                            load.strike == load_strike::host_frozen;
    if (is_silence && load.step < load_step::order_received)
    {
      // The next call, mostly the order, comes to an engine that has just fallen silent.
      return fraction() < at_once_share ? 0 : fraction() * max_lag_s;
    }
    return fraction() < before_answer_share ? std::nullopt : std::optional(fraction() * max_lag_s);
  }

  void add_spoilage(double at, std::size_t engine)
  {
    m_plan.spoilages.push_back({.at = at,
                                .engine = engine,
                                .share = fraction() * max_spoilage_share,
                                .choice = m_random()});
  }

  void add_spoilages()
  {
    std::exponential_distribution<double> gap(1 / mean_spoilage_gap_s);
    for (double at = gap(m_random); at < m_duration - quiet_end_s; at += gap(m_random))
    {
      add_spoilage(at, m_random() % m_engines);
    }
  }

  std::mt19937_64 m_random;
  double m_duration;
  std::size_t m_engines;
  load_plan m_plan;
};

} // namespace

std::string_view to_string(load_step step)
{
  return find_name(steps, step);
}

std::string_view to_string(load_cause cause)
{
  return find_name(causes, cause);
}

std::string_view to_string(load_strike strike)
{
  return find_name(strikes, strike);
}

load_plan draw_load_plan(std::uint64_t seed, double duration, std::size_t engines)
{
  return load_drawer(seed, duration, engines).draw();
}

} // namespace pollenyoke::emulator
