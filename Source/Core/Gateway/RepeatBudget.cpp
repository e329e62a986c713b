#include "Gateway/RepeatBudget.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Part of the allowance that is used: windows of different processes do not begin together, and a
// process counts entries that have just come or gone wrongly for a few seconds.
constexpr double used_share = 0.7;

} // namespace

repeat_budget::repeat_budget(protocol::repeat_budget_settings settings, time_point started)
    : m_settings(settings), m_started(started)
{
}

void repeat_budget::forget(time_point now)
{
  const auto oldest = now - m_settings.window;
  while (!m_requests.empty() && m_requests.front() < oldest)
  {
    m_requests.pop_front();
  }
  while (!m_repeats.empty() && m_repeats.front() < oldest)
  {
    m_repeats.pop_front();
  }
}

void repeat_budget::add_request(time_point now)
{
  forget(now);
  m_requests.push_back(now);
}

bool repeat_budget::allows_repeat(time_point now, std::size_t entries)
{
  forget(now);
  // The earlier run of this process may have used its part of this window.
  const double extra =
      now - m_started < m_settings.window
          ? 0
          : m_settings.extra / static_cast<double>(std::max<std::size_t>(entries, 1));
  const double allowed =
      used_share * (m_settings.share * static_cast<double>(m_requests.size()) + extra);
  return static_cast<double>(m_repeats.size()) + 1 <= allowed;
}

bool repeat_budget::try_repeat(time_point now, std::size_t entries)
{
  if (!allows_repeat(now, entries))
  {
    return false;
  }
  m_repeats.push_back(now);
  return true;
}

} // namespace pollenyoke::gateway
