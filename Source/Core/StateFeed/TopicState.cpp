#include "StateFeed/TopicState.h"

#include <algorithm>
#include <set>

namespace pollenyoke::state_feed
{

namespace
{

// Holds about ten seconds of records from sixty backend servers; a reader that is further behind
// receives the newest record of every key instead.
constexpr std::size_t max_recent_changes = 512;
// Records expire after three heartbeat intervals without a write.
constexpr int missed_heartbeats = 3;
// Owners keep to the interval only approximately.
constexpr int min_interval_percent = 95;

} // namespace

topic_state::topic_state(change_handler on_change, std::chrono::milliseconds heartbeat)
    : m_on_change(std::move(on_change)), m_min_interval(heartbeat * min_interval_percent / 100)
{
}

void topic_state::apply(const record& change, time_point confirmed)
{
  const auto existing = m_records.find(change.key);
  if (existing != m_records.end() && change.offset <= existing->second.newest.offset)
  {
    return;
  }
  if (change.value)
  {
    put(change, confirmed);
    return;
  }
  remove(change);
}

/// A page tells the order of changes, not their times. Its changes were written after the state was
/// confirmed last, and those of one key at least an interval apart.
void topic_state::put(const record& change, time_point confirmed)
{
  known_record& known =
      m_records.try_emplace(change.key, known_record{{}, confirmed}).first->second;
  const bool has_earlier = !known.newest.key.empty() && known.written_after >= confirmed;
  known.written_after =
      has_earlier ? std::min(m_confirmed_at, known.written_after + m_min_interval) : confirmed;
  known.newest = change;
  add_recent_change(change);
  ++m_revision;
  m_on_change(change);
}

/// An owner that wrote its record less than three heartbeat intervals ago has removed it itself.
void topic_state::remove(record removal)
{
  const auto known = m_records.find(removal.key);
  if (known != m_records.end())
  {
    const auto silence = m_confirmed_at - known->second.written_after;
    removal.may_have_expired =
        removal.may_have_expired && silence >= missed_heartbeats * m_min_interval;
    m_records.erase(known);
  }
  add_recent_change(removal);
  ++m_revision;
  m_on_change(removal);
}

/// A shorter gap cannot have expired a record: its last heartbeat was up to one interval before.
void topic_state::confirm(time_point when)
{
  if (m_initialized && when - m_confirmed_at >= (missed_heartbeats - 1) * m_min_interval)
  {
    m_outage_end = when;
  }
  m_confirmed_at = std::max(m_confirmed_at, when);
}

/// Keeps the newest change of each key only, so that a quick series of configurations is neither
/// kept nor sent one by one.
void topic_state::add_recent_change(const record& change)
{
  std::erase_if(m_recent_changes,
                [&change](const record& older) { return older.key == change.key; });
  m_recent_changes.push_back(change);
}

void topic_state::apply_changes(const record_page& page, time_point now)
{
  const time_point confirmed = m_confirmed_at;
  confirm(now);
  for (const record& change : page.records)
  {
    if (change.offset >= m_next_offset)
    {
      apply(change, confirmed);
    }
  }
  while (m_recent_changes.size() > max_recent_changes)
  {
    m_recent_from_offset = m_recent_changes.front().offset + 1;
    m_recent_changes.pop_front();
  }
  if (page.next > m_next_offset)
  {
    m_next_offset = page.next;
    ++m_revision;
  }
}

void topic_state::apply_newest(const record_page& page, time_point now)
{
  if (m_initialized && page.end < m_next_offset)
  {
    // The page is older than the state already applied.
    return;
  }
  const time_point confirmed = m_confirmed_at;
  confirm(now);
  std::set<std::string> present;
  for (const record& newest : page.records)
  {
    present.insert(newest.key);
    apply(newest, confirmed);
  }
  std::vector<std::string> removed;
  for (const auto& [key, known] : m_records)
  {
    if (!present.contains(key) && known.newest.offset < page.end)
    {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed)
  {
    remove({key, std::nullopt, page.end});
  }
  m_next_offset = std::max(m_next_offset, page.next);
  m_recent_changes.clear();
  m_recent_from_offset = m_next_offset;
  m_initialized = true;
  ++m_revision;
}

bool topic_state::is_initialized() const
{
  return m_initialized;
}

std::uint64_t topic_state::next_offset() const
{
  return m_next_offset;
}

std::uint64_t topic_state::revision() const
{
  return m_revision;
}

topic_state::time_point topic_state::confirmed_at() const
{
  return m_confirmed_at;
}

std::optional<topic_state::time_point> topic_state::may_return_until(const record& removal,
                                                                     time_point now) const
{
  if (!removal.may_have_expired || !m_outage_end || now >= *m_outage_end + reregistration_window)
  {
    return std::nullopt;
  }
  return *m_outage_end + reregistration_window;
}

std::optional<record_page> topic_state::changes_since(std::uint64_t offset) const
{
  if (!m_initialized || offset < m_recent_from_offset)
  {
    return std::nullopt;
  }
  record_page page;
  page.end = m_next_offset;
  page.next = m_next_offset;
  std::copy_if(m_recent_changes.begin(), m_recent_changes.end(), std::back_inserter(page.records),
               [offset](const record& change) { return change.offset >= offset; });
  return page;
}

record_page topic_state::newest() const
{
  record_page page;
  page.end = m_next_offset;
  page.next = m_next_offset;
  for (const auto& [key, known] : m_records)
  {
    page.records.push_back(known.newest);
  }
  return page;
}

} // namespace pollenyoke::state_feed
