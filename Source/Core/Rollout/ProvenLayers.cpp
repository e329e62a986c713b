#include "Rollout/ProvenLayers.h"

#include <algorithm>
#include <cstddef>

namespace pollenyoke::rollout
{

namespace
{

// A report lags behind by a load at most, and a proof from elsewhere may be older than the own one.
constexpr std::size_t kept_marks = 8;

} // namespace

peers::engine_mark mark_of(const protocol::engine_report& report)
{
  return {report.started_ms, report.orders};
}

void proven_layers::add(const peers::engine_mark& mark)
{
  if (mark.started_ms == 0 || covers(mark))
  {
    return;
  }
  m_marks.push_back(mark);
  if (m_marks.size() > kept_marks)
  {
    m_marks.pop_front();
  }
}

bool proven_layers::covers(const peers::engine_mark& mark) const
{
  return mark.orders == 0 || std::find(m_marks.begin(), m_marks.end(), mark) != m_marks.end();
}

} // namespace pollenyoke::rollout
