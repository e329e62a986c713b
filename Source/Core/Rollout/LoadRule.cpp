#include "Rollout/LoadRule.h"

#include <algorithm>

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// The first hosts hold all pieces by then.
constexpr milliseconds first_slot_delay{2200};
// Entries send nothing to engines with the old version in the last 1.3 s of the time limit, and an
// engine needs as long to drain and load.
constexpr milliseconds load_margin{2600};
// Without a limit, loads are spread over as much time as with the usual one.
constexpr milliseconds default_limit{8000};
// The longest answers would take 2.5 s more, during which the engine could not prefill other
// prompts. Requests still running at this point continue on other engines.
constexpr milliseconds max_drain_time{800};

} // namespace

milliseconds planned_load_delay(const load_plan& plan)
{
  const milliseconds limit = plan.version_limit.count() == 0 ? default_limit : plan.version_limit;
  const milliseconds first = std::max(first_slot_delay, plan.ready_after);
  const milliseconds last = std::max(first, limit - load_margin);
  const auto hosts = static_cast<milliseconds::rep>(std::max<std::size_t>(plan.slot.host_count, 1));
  return first + (last - first) * static_cast<milliseconds::rep>(plan.slot.position) / hosts;
}

load_action decide_load(const load_inputs& inputs)
{
  const protocol::engine_report& report = inputs.report;
  if (report.busy ||
      (inputs.unanswered_order_age && *inputs.unanswered_order_age < order_report_delay))
  {
    return load_action::wait;
  }
  if (report.weight_version == 0)
  {
    return inputs.ready_version != 0 ? load_action::load
           : inputs.first_part_ready ? load_action::load_first_part
                                     : load_action::wait;
  }
  if (inputs.ready_version == 0 || report.weight_version > inputs.ready_version ||
      (inputs.holds_all_layers && report.weight_version == inputs.ready_version))
  {
    return load_action::wait;
  }
  if (!inputs.holds_all_layers)
  {
    return report.weight_version == inputs.ready_version ? load_action::load_rest
           : report.waiting == 0                         ? load_action::load
           : inputs.draining_for                         ? load_action::wait
                                                         : load_action::drain;
  }
  if (!inputs.draining_for)
  {
    return inputs.version_age >= planned_load_delay(inputs.plan) ? load_action::drain
                                                                 : load_action::wait;
  }
  // A request that waits begins behind the load, with layers of which nothing is proven yet.
  const bool may_cut = *inputs.draining_for >= max_drain_time;
  return report.waiting == 0 && (report.running == 0 || may_cut) ? load_action::load
                                                                 : load_action::wait;
}

} // namespace pollenyoke::rollout
