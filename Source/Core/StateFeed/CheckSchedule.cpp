#include "StateFeed/CheckSchedule.h"

#include <algorithm>

namespace pollenyoke::state_feed
{

namespace
{

// Checks that follow each other in quick succession. After them the store is away rather than a
// connection silent, and each call to it is paid for.
constexpr unsigned quick_checks = 3;
constexpr unsigned max_doublings = 4;

} // namespace

check_schedule::check_schedule(std::chrono::milliseconds patience) : m_patience(patience) {}

bool check_schedule::is_repeated(time_point confirmed_at) const
{
  return m_unconfirmed > 0 && confirmed_at <= m_confirmed_before;
}

std::chrono::milliseconds check_schedule::interval() const
{
  const unsigned slow_checks = m_unconfirmed - std::min(m_unconfirmed, quick_checks);
  return m_patience * (1U << std::min(slow_checks, max_doublings));
}

check_schedule::time_point check_schedule::due(time_point confirmed_at,
                                               std::chrono::milliseconds max_age) const
{
  if (m_unconfirmed == 0)
  {
    return confirmed_at + max_age;
  }
  // A page that is old already may have confirmed them.
  const auto wait = is_repeated(confirmed_at) ? interval() : m_patience;
  return std::max(confirmed_at + max_age, m_sent_at + wait);
}

void check_schedule::note_sent(time_point confirmed_at, time_point now)
{
  m_unconfirmed = is_repeated(confirmed_at) ? m_unconfirmed + 1 : 1;
  m_confirmed_before = confirmed_at;
  m_sent_at = now;
}

} // namespace pollenyoke::state_feed
