#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "StateFeed/Records.h"

namespace pollenyoke::state_feed
{

/// The newest record of each key of one topic as this process knows it, from the store or from a
/// peer. What it once applied never goes back. Not thread-safe.
class topic_state
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using change_handler = std::function<void(const record&)>;

  explicit topic_state(change_handler on_change);

  /// Applies changes in order of their offsets.
  void apply_changes(const record_page& page, time_point now);
  /// Applies the newest records of all keys; keys that are absent are gone.
  void apply_newest(const record_page& page, time_point now);

  bool is_known() const;
  std::uint64_t next_offset() const;
  /// When this state was last known to be current.
  time_point confirmed() const;
  record_page newest() const;
  /// Changes from an offset on; empty if they are no longer kept and the newest records are needed.
  std::optional<record_page> changes_since(std::uint64_t offset) const;

private:
  void apply(const record& change);

  change_handler m_on_change;
  std::map<std::string, record> m_records;
  /// The latest changes, oldest first, and the offset from which they are complete.
  std::deque<record> m_recent;
  std::uint64_t m_recent_from = 0;
  std::uint64_t m_next = 0;
  bool m_known = false;
  time_point m_confirmed{};
};

} // namespace pollenyoke::state_feed
