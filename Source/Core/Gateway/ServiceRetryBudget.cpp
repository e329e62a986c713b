#include "Gateway/ServiceRetryBudget.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Share of the budget that is used. The rest covers windows that start at different times in
// different processes, and entry counts that are wrong for a few seconds after entries join or
// leave.
constexpr double utilization_share = 0.7;

} // namespace

service_retry_budget::service_retry_budget(protocol::repeat_budget_settings settings,
                                           time_point started)
    : m_settings(settings), m_started(started)
{
}

void service_retry_budget::drop_expired(time_point now)
{
  const auto oldest = now - m_settings.window;
  while (!m_requests.empty() && m_requests.front() < oldest)
  {
    m_requests.pop_front();
  }
  while (!m_retries.empty() && m_retries.front() < oldest)
  {
    m_retries.pop_front();
  }
}

void service_retry_budget::add_request(time_point now)
{
  drop_expired(now);
  m_requests.push_back(now);
}

bool service_retry_budget::allows_retry(time_point now, std::size_t entries)
{
  drop_expired(now);
  // A previous run of this process may already have used its share of the current window.
  const double extra =
      now - m_started < m_settings.window
          ? 0
          : m_settings.extra / static_cast<double>(std::max<std::size_t>(entries, 1));
  const double allowed =
      utilization_share * (m_settings.share * static_cast<double>(m_requests.size()) + extra);
  return static_cast<double>(m_retries.size()) + 1 <= allowed;
}

bool service_retry_budget::try_retry(time_point now, std::size_t entries)
{
  if (!allows_retry(now, entries))
  {
    return false;
  }
  m_retries.push_back(now);
  return true;
}

} // namespace pollenyoke::gateway
