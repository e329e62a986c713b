#include "Peers/LoadRelay.h"

#include <utility>

namespace pollenyoke::peers
{

bool load_relay::add(const load_message& load, time_point now)
{
  const bool first = m_pending.empty();
  pending_load& pending = m_pending[load.engine];
  pending = {load, now};
  pending.load.pass_on = false;
  return first;
}

std::vector<load_batch> load_relay::take(time_point now)
{
  std::vector<load_batch> batches;
  for (auto& [engine, pending] : m_pending)
  {
    if (batches.empty() || batches.back().loads.size() == max_loads_per_batch)
    {
      batches.emplace_back();
    }
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(now - pending.received);
    pending.load.held_ms = static_cast<std::uint16_t>(held.count());
    batches.back().loads.push_back(std::move(pending.load));
  }
  m_pending.clear();
  return batches;
}

} // namespace pollenyoke::peers
