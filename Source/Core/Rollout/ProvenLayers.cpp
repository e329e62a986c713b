#include "Rollout/ProvenLayers.h"

namespace pollenyoke::rollout
{

void proven_layers::add(const peers::engine_mark& mark)
{
  if (mark.started_ms != m_started_ms)
  {
    m_started_ms = mark.started_ms;
    m_orders.clear();
  }
  m_orders.insert(mark.orders);
}

bool proven_layers::covers(const peers::engine_mark& mark) const
{
  return mark.orders == 0 || (mark.started_ms == m_started_ms && m_orders.contains(mark.orders));
}

} // namespace pollenyoke::rollout
