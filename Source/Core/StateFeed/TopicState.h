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

/// What holds of the records of a topic when the store comes back from an older copy.
struct restore_rules
{
  /// Whether the second record, of a later era, is older than the first one by its content.
  std::function<bool(const record& known, const record& next)> is_older =
      [](const auto&, const auto&)
  {
    return false;
  };
  /// Records that the copy lacks stay until they are written again. Otherwise their owners have to
  /// write them in time.
  bool retains_missing = false;
};

/// When a page of records was current.
struct confirmation
{
  /// A time at which its source was not ahead of it.
  std::chrono::steady_clock::time_point as_of;
  /// When it came; outages end then.
  std::chrono::steady_clock::time_point came_at = as_of;
};

/// The newest known record of each key of one topic, from the store or from a peer. A record never
/// replaces a newer one. Not thread-safe.
class topic_state
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using change_handler = std::function<void(const record&)>;

  /// `heartbeat`: interval at which the owner of a record writes it.
  explicit topic_state(change_handler on_change,
                       std::chrono::milliseconds heartbeat = default_heartbeat,
                       restore_rules rules = {});

  /// Applies changes, which must be in order of their offsets. Those of another era are ignored:
  /// an earlier one is over, and a later one has to be read from its beginning. A page that is not
  /// the last one confirms nothing.
  void apply_changes(const record_page& page, const confirmation& by);
  /// Applies the newest records of all keys and removes the keys that are absent. A page of an
  /// earlier era is ignored.
  void apply_newest(const record_page& page, const confirmation& by);

  bool is_initialized() const;
  std::uint64_t next_offset() const;
  std::uint64_t era() const;
  log_position position() const;
  /// Increases with each change, so that what was made of an earlier state can be told from it.
  std::uint64_t revision() const;
  /// When this state was last confirmed to be current.
  time_point confirmed_at() const;
  /// Until when a removed record may return, because it may only have expired during an outage of
  /// the store; empty if the removal is final.
  std::optional<time_point> may_return_until(const record& removal, time_point now) const;
  record_page newest() const;
  /// Changes from a position on; empty if they are not kept and the reader has to use newest().
  std::optional<record_page> changes_since(const log_position& from) const;

private:
  struct known_record
  {
    record newest;
    /// The record was not written before.
    time_point written_after;
    /// Era of its offset.
    std::uint64_t era = 0;
    /// The store has an older record of this key than the one that was acknowledged here.
    bool is_ahead = false;
  };
  struct removed_record
  {
    time_point at;
    /// Offset up to which records of this era may be those of the copy; empty if it has none.
    std::optional<std::uint64_t> copied_until;
  };

  /// `confirmed`: when the state before the change was current.
  void apply(const record& change, time_point confirmed);
  void begin_era(std::uint64_t era, time_point now);
  void apply_restored(const record& change, time_point confirmed);
  bool is_brought_back(const record& change) const;
  /// The copy lacks the record.
  void drop_missing(const std::string& key);
  void note_removal(const std::string& key, time_point now);
  void put(const record& change, time_point confirmed);
  void remove(record removal);
  void add_recent_change(const record& change);
  void confirm(const confirmation& by);

  change_handler m_on_change;
  /// Shortest interval between two writes of a record.
  std::chrono::milliseconds m_min_interval;
  restore_rules m_rules;
  std::map<std::string, known_record> m_records;
  /// Keys that were removed lately: an older copy may bring them back.
  std::map<std::string, removed_record> m_removed;
  std::uint64_t m_era = 0;
  /// The latest change of each key, oldest first, and the offset from which they are complete.
  std::deque<record> m_recent_changes;
  std::uint64_t m_recent_from_offset = 0;
  std::uint64_t m_next_offset = 0;
  std::uint64_t m_revision = 0;
  bool m_initialized = false;
  time_point m_confirmed_at{};
  /// When pages came that were current; tells how long owners of records may have been unable to
  /// write.
  time_point m_last_page_at{};
  /// End of the last period in which no source could confirm this state.
  std::optional<time_point> m_outage_end;
};

} // namespace pollenyoke::state_feed
