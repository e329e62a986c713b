#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Emulator/EngineWork.h"
#include "Emulator/History.h"

namespace pollenyoke::emulator
{

/// Why an engine loads.
enum class load_cause
{
  new_weights,
  engine_restarts,
  host_loses_power,
  host_joins,
};

/// What happens at a step of a load.
enum class load_strike
{
  agent_killed,
  agent_frozen,
  engine_silent,
  /// The engine falls silent, and the agent is killed meanwhile.
  engine_silent_agent_killed,
  /// Agent and engine.
  host_frozen,
  engine_crashed,
  host_loses_power,
  connection_reset,
  answer_lost,
};

/// What keeps an agent from ordering once more while its order waits at the engine.
enum class late_order_hold
{
  nothing,
  agent_frozen,
  engine_silent,
};

/// A load that is to be disturbed. Times in seconds.
struct planned_load
{
  moment at = 0;
  load_cause cause = load_cause::new_weights;
  /// Number of the engine.
  std::size_t engine = 0;
  load_step step = load_step::order_received;
  /// Steps that concern pieces: how much of them is done.
  double progress = 0;
  load_strike strike = load_strike::agent_killed;
  double duration = 0;
  /// Time from the answer that belongs to the step to the strike; empty if it comes before it.
  std::optional<double> lag;
  /// The engine accepts the order this much after it received it.
  double order_delay = 0;
  late_order_hold hold = late_order_hold::nothing;
  /// Orders that the engine accepts before the load that is disturbed.
  unsigned earlier_orders = 0;
  /// Of the pieces that have been read back, those that turn bad right after.
  double spoilt_share = 0;
  std::uint64_t choice = 0;
};

/// Staged pieces turn bad at a moment that has nothing to do with a load.
struct planned_spoilage
{
  moment at = 0;
  std::size_t engine = 0;
  double share = 0;
  std::uint64_t choice = 0;
};

struct load_plan
{
  /// When new weights are named.
  std::vector<moment> versions;
  std::vector<planned_load> loads;
  std::vector<planned_spoilage> spoilages;
};

std::string_view to_string(load_step step);
std::string_view to_string(load_cause cause);
std::string_view to_string(load_strike strike);

/// Draws the disturbed loads of a run; the same seed gives the same plan. In each round of loads
/// one engine is spared, so that callers can be served. The host of the last engine joins during
/// the run.
load_plan draw_load_plan(std::uint64_t seed, double duration, std::size_t engines);

} // namespace pollenyoke::emulator
