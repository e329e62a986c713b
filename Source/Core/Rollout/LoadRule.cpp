#include "Rollout/LoadRule.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Pieces are with most hosts after three seconds. Ending the running work and loading take one to
// two more. Three groups about a second apart have all engines loaded within the eight seconds that
// a version has.
constexpr std::size_t groups = 3;
constexpr milliseconds first_group{2600};
constexpr milliseconds group_interval{900};
// Time after which an order without an answer shows in the engine's report if it was accepted.
constexpr milliseconds order_settles{1000};

} // namespace

milliseconds planned_load(std::size_t position)
{
  return first_group + group_interval * static_cast<int>(position % groups);
}

load_action decide_load(const load_facts& facts)
{
  const protocol::engine_report& report = facts.report;
  if (facts.ready_version == 0 || report.busy)
  {
    return load_action::wait;
  }
  if (report.whole && report.weight_version >= facts.ready_version)
  {
    return load_action::wait;
  }
  if (facts.order_unknown_for && *facts.order_unknown_for < order_settles)
  {
    return load_action::wait;
  }
  if (report.weight_version == 0)
  {
    return load_action::load;
  }
  return facts.known_for >= planned_load(facts.position) ? load_action::load : load_action::wait;
}

} // namespace pollenyoke::rollout
