#include "Rollout/LoadRule.h"

#include <algorithm>

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Most hosts hold all pieces after 3 s. Slots are spread over the rest of the 8 s time limit of a
// version, less the time that the last engine needs to drain and load.
constexpr milliseconds first_slot_delay{2800};
constexpr milliseconds last_slot_delay{5400};
// The longest answers would take 2.5 s more, during which the engine could not prefill other
// prompts. Requests still running at this point continue on other engines.
constexpr milliseconds max_drain_time{800};
// An order that was accepted shows in the engine's report within this time, even if its answer was
// lost.
constexpr milliseconds order_report_delay{1000};

} // namespace

milliseconds planned_load_delay(const load_slot& slot)
{
  const auto span = static_cast<std::size_t>((last_slot_delay - first_slot_delay).count());
  return first_slot_delay +
         milliseconds(span * slot.position / std::max<std::size_t>(slot.host_count, 1));
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
                                                         : load_action::load;
  }
  if (!inputs.draining_for)
  {
    return inputs.version_age >= planned_load_delay(inputs.slot) ? load_action::drain
                                                                 : load_action::wait;
  }
  const bool idle = report.running + report.waiting == 0;
  return idle || *inputs.draining_for >= max_drain_time ? load_action::load : load_action::wait;
}

} // namespace pollenyoke::rollout
