#include "Routing/ServiceEstimate.h"

#include <algorithm>

namespace pollenyoke::routing
{

namespace
{

// Averages over about the last twenty requests.
constexpr double decay_per_request = 0.95;

} // namespace

service_estimate::service_estimate(std::uint32_t slots) : m_slots(std::max(slots, 1U)) {}

void service_estimate::add(std::uint32_t cost, std::chrono::duration<double> elapsed)
{
  m_decayed_seconds = decay_per_request * m_decayed_seconds + elapsed.count();
  m_decayed_cost = decay_per_request * m_decayed_cost + cost;
}

std::chrono::duration<double> service_estimate::run_time(std::uint32_t cost) const
{
  return std::chrono::duration<double>(
      m_decayed_cost > 0 ? m_decayed_seconds / m_decayed_cost * cost : 0);
}

std::chrono::duration<double> service_estimate::wait_time(std::uint64_t work) const
{
  const double seconds_per_unit = m_decayed_cost > 0 ? m_decayed_seconds / m_decayed_cost : 0;
  return std::chrono::duration<double>(seconds_per_unit * static_cast<double>(work) / m_slots);
}

} // namespace pollenyoke::routing
