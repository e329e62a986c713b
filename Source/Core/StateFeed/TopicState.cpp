#include "StateFeed/TopicState.h"

#include <algorithm>
#include <limits>
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
constexpr std::size_t max_removed = 1024;

} // namespace

topic_state::topic_state(change_handler on_change, std::chrono::milliseconds heartbeat,
                         restore_rules rules)
    : m_on_change(std::move(on_change)), m_min_interval(heartbeat * min_interval_percent / 100),
      m_rules(std::move(rules))
{
}

void topic_state::apply(const record& change, time_point confirmed)
{
  const auto existing = m_records.find(change.key);
  if (existing != m_records.end() && (existing->second.era != m_era || existing->second.is_ahead ||
                                      existing->second.newest.retained))
  {
    apply_restored(change, confirmed);
    return;
  }
  if (existing != m_records.end() && change.offset <= existing->second.newest.offset)
  {
    return;
  }
  if (is_brought_back(change))
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

void topic_state::begin_era(std::uint64_t era, time_point now)
{
  m_era = era;
  m_next_offset = 0;
  // The owners of records write them again in this time, as after an outage.
  m_outage_end = now;
  std::erase_if(m_removed, [now](const auto& item) { return now - item.second.at > max_copy_age; });
  for (auto& [key, removed] : m_removed)
  {
    removed.copied_until = std::numeric_limits<std::uint64_t>::max();
  }
}

/// A record of a key that was known in an earlier era, from the copy or written since. What was
/// acknowledged holds although the copy does not know it; its writer writes it again.
void topic_state::apply_restored(const record& change, time_point confirmed)
{
  known_record& known = m_records.at(change.key);
  known.era = m_era;
  if (!change.value)
  {
    remove(change);
    return;
  }
  if (m_rules.is_older(known.newest, change))
  {
    known.newest.offset = change.offset;
    known.newest.retained = change.retained;
    // An owner that writes its record again knows best.
    known.is_ahead = m_rules.retains_missing;
    return;
  }
  known.is_ahead = false;
  if (known.newest.value == change.value)
  {
    known.newest = change;
    return;
  }
  put(change, confirmed);
}

/// A record that was removed before is in the copy again. Its owner, if there still is one, writes
/// it once more.
bool topic_state::is_brought_back(const record& change) const
{
  const auto removed = m_removed.find(change.key);
  return removed != m_removed.end() && change.value && removed->second.copied_until &&
         change.offset < *removed->second.copied_until;
}

void topic_state::note_removal(const std::string& key, time_point now)
{
  if (m_removed.size() >= max_removed)
  {
    const auto oldest =
        std::min_element(m_removed.begin(), m_removed.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    m_removed.erase(oldest);
  }
  m_removed[key] = {now, std::nullopt};
}

void topic_state::drop_missing(const std::string& key)
{
  known_record& known = m_records.at(key);
  if (m_rules.retains_missing)
  {
    known.newest.retained = true;
    known.newest.offset = 0;
    return;
  }
  const record removal{key, std::nullopt, m_next_offset};
  m_records.erase(key);
  add_recent_change(removal);
  ++m_revision;
  m_on_change(removal);
}

/// A page tells the order of changes, not their times. Its changes were written after the state was
/// confirmed last, and those of one key at least an interval apart.
void topic_state::put(const record& change, time_point confirmed)
{
  known_record& known =
      m_records.try_emplace(change.key, known_record{{}, confirmed}).first->second;
  const bool has_earlier = !known.newest.key.empty() && known.written_after >= confirmed;
  known.written_after =
      has_earlier ? std::min(m_last_page_at, known.written_after + m_min_interval) : confirmed;
  known.newest = change;
  known.era = m_era;
  known.is_ahead = false;
  m_removed.erase(change.key);
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
    const auto silence = m_last_page_at - known->second.written_after;
    removal.may_have_expired =
        removal.may_have_expired && silence >= missed_heartbeats * m_min_interval;
    m_records.erase(known);
    note_removal(removal.key, m_last_page_at);
  }
  add_recent_change(removal);
  ++m_revision;
  m_on_change(removal);
}

/// A shorter gap cannot have expired a record: its last heartbeat was up to one interval before.
void topic_state::confirm(const confirmation& by)
{
  if (m_initialized && by.came_at - m_last_page_at >= (missed_heartbeats - 1) * m_min_interval)
  {
    m_outage_end = by.came_at;
  }
  m_last_page_at = std::max(m_last_page_at, by.came_at);
  m_confirmed_at = std::max(m_confirmed_at, by.as_of);
}

/// Keeps the newest change of each key only, so that a quick series of configurations is neither
/// kept nor sent one by one.
void topic_state::add_recent_change(const record& change)
{
  std::erase_if(m_recent_changes,
                [&change](const record& older) { return older.key == change.key; });
  m_recent_changes.push_back(change);
}

void topic_state::apply_changes(const record_page& page, const confirmation& by)
{
  if (page.era.value_or(m_era) != m_era)
  {
    return;
  }
  const time_point confirmed = m_last_page_at;
  if (page.next >= page.end)
  {
    confirm(by);
  }
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

void topic_state::apply_newest(const record_page& page, const confirmation& by)
{
  const std::uint64_t era = page.era.value_or(m_era);
  if (m_initialized && log_position{era, page.end} < position())
  {
    // The page is older than the state already applied.
    return;
  }
  const time_point confirmed = m_last_page_at;
  confirm(by);
  const bool restored = m_initialized && era != m_era;
  if (restored)
  {
    begin_era(era, by.came_at);
  }
  m_era = era;
  std::set<std::string> present;
  for (const record& newest : page.records)
  {
    present.insert(newest.key);
    apply(newest, confirmed);
  }
  std::vector<std::string> removed;
  std::vector<std::string> missing;
  for (const auto& [key, known] : m_records)
  {
    if (present.contains(key))
    {
      continue;
    }
    if (known.era != m_era || known.newest.retained)
    {
      missing.push_back(key);
    }
    else if (known.newest.offset < page.end)
    {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed)
  {
    remove({key, std::nullopt, page.end});
  }
  m_next_offset = std::max(m_next_offset, page.next);
  for (const std::string& key : missing)
  {
    drop_missing(key);
  }
  if (restored)
  {
    for (auto& [key, item] : m_removed)
    {
      item.copied_until = present.contains(key) ? std::optional(page.end) : std::nullopt;
    }
  }
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

std::uint64_t topic_state::era() const
{
  return m_era;
}

log_position topic_state::position() const
{
  return {m_era, m_next_offset};
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

std::optional<record_page> topic_state::changes_since(const log_position& from) const
{
  if (!m_initialized || from.era != m_era || from.offset < m_recent_from_offset)
  {
    return std::nullopt;
  }
  record_page page;
  page.era = m_era;
  page.end = m_next_offset;
  page.next = m_next_offset;
  std::copy_if(m_recent_changes.begin(), m_recent_changes.end(), std::back_inserter(page.records),
               [&from](const record& change) { return change.offset >= from.offset; });
  return page;
}

record_page topic_state::newest() const
{
  record_page page;
  page.era = m_era;
  page.end = m_next_offset;
  page.next = m_next_offset;
  for (const auto& [key, known] : m_records)
  {
    page.records.push_back(known.newest);
  }
  return page;
}

} // namespace pollenyoke::state_feed
