#include "Rollout/LoadRule.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Ending the running work takes about a second, loading a third of one. Three groups one second
// apart have all engines loaded well within the eight seconds that a version has.
constexpr std::size_t groups = 3;
constexpr milliseconds first_group{2400};
constexpr milliseconds group_interval{1000};
// Time after which an order without an answer shows in the engine's report if it was accepted.
constexpr milliseconds order_settles{1000};

} // namespace

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
  const milliseconds turn =
      first_group + group_interval * static_cast<int>(facts.position % groups);
  return facts.known_for >= turn ? load_action::load : load_action::wait;
}

} // namespace pollenyoke::rollout
