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

// Backend servers whose records expired during a store outage write them again within about 2 s of
// the store's recovery.
constexpr std::chrono::milliseconds reregistration_window{2300};
constexpr std::chrono::milliseconds default_heartbeat{1200};

/// The newest known record of each key of one topic, from the store or from a peer. A record never
/// replaces a newer one. Not thread-safe.
class topic_state
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using change_handler = std::function<void(const record&)>;

  /// `heartbeat`: interval at which the owner of a record writes it.
  explicit topic_state(change_handler on_change,
                       std::chrono::milliseconds heartbeat = default_heartbeat);

  /// Applies changes, which must be in order of their offsets.
  void apply_changes(const record_page& page, time_point now);
  /// Applies the newest records of all keys and removes the keys that are absent.
  void apply_newest(const record_page& page, time_point now);

  bool is_initialized() const;
  std::uint64_t next_offset() const;
  /// Increases with each change, so that what was made of an earlier state can be told from it.
  std::uint64_t revision() const;
  /// When this state was last confirmed to be current.
  time_point confirmed_at() const;
  /// Until when a removed record may return, because it may only have expired during an outage of
  /// the store; empty if the removal is final.
  std::optional<time_point> may_return_until(const record& removal, time_point now) const;
  record_page newest() const;
  /// Changes from an offset on; empty if they are no longer kept and the reader has to
  /// use newest().
  std::optional<record_page> changes_since(std::uint64_t offset) const;

private:
  struct known_record
  {
    record newest;
    /// The record was not written before.
    time_point written_after;
  };

  /// `confirmed`: when the state before the change was current.
  void apply(const record& change, time_point confirmed);
  void put(const record& change, time_point confirmed);
  void remove(record removal);
  void add_recent_change(const record& change);
  void confirm(time_point when);

  change_handler m_on_change;
  /// Shortest interval between two writes of a record.
  std::chrono::milliseconds m_min_interval;
  std::map<std::string, known_record> m_records;
  /// The latest change of each key, oldest first, and the offset from which they are complete.
  std::deque<record> m_recent_changes;
  std::uint64_t m_recent_from_offset = 0;
  std::uint64_t m_next_offset = 0;
  std::uint64_t m_revision = 0;
  bool m_initialized = false;
  time_point m_confirmed_at{};
  /// End of the last period in which no source could confirm this state.
  std::optional<time_point> m_outage_end;
};

} // namespace pollenyoke::state_feed
