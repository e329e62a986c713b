#include "Rollout/LoadRule.h"

#include <algorithm>

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Pieces are with most hosts after three seconds. Turns are spread over the time that remains of
// the eight seconds that a version has, less what the last engine needs to drain and load.
constexpr milliseconds first_turn{2800};
constexpr milliseconds last_turn{5400};
// The longest answers take two and a half seconds more, in which the engine would read no other
// prompts; those that still run by then are continued by other engines.
constexpr milliseconds longest_drain{800};
// Time after which an order without an answer shows in the engine's report if it was accepted.
constexpr milliseconds order_settles{1000};

} // namespace

milliseconds planned_load(const load_turn& turn)
{
  const auto span = static_cast<std::size_t>((last_turn - first_turn).count());
  return first_turn + milliseconds(span * turn.position / std::max<std::size_t>(turn.hosts, 1));
}

load_action decide_load(const load_facts& facts)
{
  const protocol::engine_report& report = facts.report;
  if (report.busy || (facts.order_unknown_for && *facts.order_unknown_for < order_settles))
  {
    return load_action::wait;
  }
  if (report.weight_version == 0)
  {
    return facts.ready_version != 0 ? load_action::load
           : facts.first_part_ready ? load_action::load_first_part
                                    : load_action::wait;
  }
  if (facts.ready_version == 0 || report.weight_version > facts.ready_version ||
      (facts.whole && report.weight_version == facts.ready_version))
  {
    return load_action::wait;
  }
  if (!facts.whole)
  {
    return report.weight_version == facts.ready_version ? load_action::load_rest
                                                        : load_action::load;
  }
  if (!facts.drained_for)
  {
    return facts.known_for >= planned_load(facts.turn) ? load_action::drain : load_action::wait;
  }
  const bool idle = report.running + report.waiting == 0;
  return idle || *facts.drained_for >= longest_drain ? load_action::load : load_action::wait;
}

} // namespace pollenyoke::rollout
