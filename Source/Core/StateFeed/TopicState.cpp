#include "StateFeed/TopicState.h"

#include <algorithm>
#include <set>

namespace pollenyoke::state_feed
{

namespace
{

// About ten seconds of the records of sixty backend servers; a reader that is further behind takes
// the newest records.
constexpr std::size_t max_recent = 512;

} // namespace

topic_state::topic_state(change_handler on_change) : m_on_change(std::move(on_change)) {}

void topic_state::apply(const record& change)
{
  const auto known = m_records.find(change.key);
  if (known != m_records.end() && change.offset <= known->second.offset)
  {
    return;
  }
  if (change.value)
  {
    m_records[change.key] = change;
  }
  else if (known != m_records.end())
  {
    m_records.erase(known);
  }
  m_on_change(change);
}

void topic_state::confirm(time_point when)
{
  if (m_known && when - m_confirmed >= shortest_lapse_outage)
  {
    m_outage_ended = when;
  }
  m_confirmed = std::max(m_confirmed, when);
}

void topic_state::apply_changes(const record_page& page, time_point now)
{
  confirm(now);
  for (const record& change : page.records)
  {
    if (change.offset >= m_next)
    {
      apply(change);
      m_recent.push_back(change);
    }
  }
  while (m_recent.size() > max_recent)
  {
    m_recent_from = m_recent.front().offset + 1;
    m_recent.pop_front();
  }
  m_next = std::max(m_next, page.next);
}

void topic_state::apply_newest(const record_page& page, time_point now)
{
  if (m_known && page.end < m_next)
  {
    // The answer is older than what this process has applied.
    return;
  }
  confirm(now);
  std::set<std::string> present;
  for (const record& newest : page.records)
  {
    present.insert(newest.key);
    apply(newest);
  }
  std::vector<std::string> gone;
  for (const auto& [key, value] : m_records)
  {
    if (!present.contains(key) && value.offset < page.end)
    {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone)
  {
    m_records.erase(key);
    m_on_change({key, std::nullopt, page.end});
  }
  m_next = std::max(m_next, page.next);
  m_recent.clear();
  m_recent_from = m_next;
  m_known = true;
}

bool topic_state::is_known() const
{
  return m_known;
}

std::uint64_t topic_state::next_offset() const
{
  return m_next;
}

topic_state::time_point topic_state::confirmed() const
{
  return m_confirmed;
}

std::optional<topic_state::time_point> topic_state::may_return_until(time_point now) const
{
  if (!m_outage_ended || now >= *m_outage_ended + lapse_window)
  {
    return std::nullopt;
  }
  return *m_outage_ended + lapse_window;
}

std::optional<record_page> topic_state::changes_since(std::uint64_t offset) const
{
  if (!m_known || offset < m_recent_from)
  {
    return std::nullopt;
  }
  record_page page;
  page.end = m_next;
  page.next = m_next;
  std::copy_if(m_recent.begin(), m_recent.end(), std::back_inserter(page.records),
               [offset](const record& change) { return change.offset >= offset; });
  return page;
}

record_page topic_state::newest() const
{
  record_page page;
  page.end = m_next;
  page.next = m_next;
  for (const auto& [key, value] : m_records)
  {
    page.records.push_back(value);
  }
  return page;
}

} // namespace pollenyoke::state_feed
