#include "Routing/SuspectTable.h"

#include <algorithm>

namespace pollenyoke::routing
{

bool suspect_table::add(const protocol::suspect_report& report, time_point now)
{
  if (!m_counted_crashes.insert(report.crash).second)
  {
    return false;
  }
  m_crash_order.push_back(report.crash);
  if (m_crash_order.size() > max_remembered_crashes)
  {
    m_counted_crashes.erase(m_crash_order.front());
    m_crash_order.pop_front();
  }
  purge_expired(now);
  // Several requests with the same work can run at one backend server; the work counts as running
  // alone if no other work was running.
  const std::set<digest> running(report.running.begin(), report.running.end());
  for (const digest& work : running)
  {
    suspect& entry = m_suspects[work];
    ++entry.crashes;
    entry.crashed_alone = entry.crashed_alone || running.size() == 1;
    entry.last_crash = now;
  }
  return true;
}

suspect_verdict suspect_table::verdict(const digest& work, time_point now) const
{
  const auto found = m_suspects.find(work);
  if (found == m_suspects.end() || now - found->second.last_crash > suspect_lifetime)
  {
    return suspect_verdict::clear;
  }
  // A refusal requires two crashes, one of them while running alone. A harmless request is thus not
  // refused because a server crashed for another reason or due to two different requests.
  const bool proven = found->second.crashes >= 2 && found->second.crashed_alone;
  return proven ? suspect_verdict::refuse : suspect_verdict::run_alone;
}

void suspect_table::clear(const digest& work)
{
  m_suspects.erase(work);
}

std::size_t suspect_table::size() const
{
  return m_suspects.size();
}

void suspect_table::purge_expired(time_point now)
{
  std::erase_if(m_suspects, [now](const auto& item)
                { return now - item.second.last_crash > suspect_lifetime; });
  while (m_suspects.size() >= max_suspects)
  {
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(),
                                         [](const auto& a, const auto& b)
                                         { return a.second.last_crash < b.second.last_crash; });
    m_suspects.erase(oldest);
  }
}

} // namespace pollenyoke::routing
