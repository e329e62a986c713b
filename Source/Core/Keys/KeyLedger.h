#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Keys/KeyRecord.h"
#include "Protocol/Messages.h"

namespace pollenyoke::keys
{

struct ledger_options
{
  /// How long a key is kept, measured by the timestamps of the log records.
  std::uint64_t lifetime_ms = 0;
  /// A gap of this length between consecutive records means that the log may have been unreachable
  /// (the outage threshold).
  std::uint64_t outage_gap_ms = 0;
};

struct slot_state
{
  /// Offset of the record that acquired the slot; 0 before the first one.
  log_offset epoch;
  agent_run owner;
  bool released = false;
  /// Keys other than those issued in this epoch or later may have run without a claim in the log.
  /// Applies until the log time reaches `ambiguous_until_ms`.
  log_offset ambiguous_before;
  std::uint64_t ambiguous_until_ms = 0;

  bool owned() const
  {
    return epoch.value != 0 && !released;
  }
};

enum class key_phase
{
  claimed,
  done,
  refused,
};

struct ledger_entry
{
  digest body;
  agent_run claimer;
  /// Offset of the effective claim.
  log_offset claim;
  std::uint64_t time_ms = 0;
  key_phase phase = key_phase::claimed;
  std::uint16_t status = 0;
};

/// The state that results from applying the records of one stream `keys.<service>` in order.
/// Deterministic: depends on the options and the records only. Time is taken from the records.
class key_ledger
{
public:
  /// `first` is the oldest offset that the log holds, where applying starts.
  explicit key_ledger(ledger_options options, log_offset first = log_offset{1});

  /// Applies the next record and returns its parsed form. Records that are not newer than the
  /// ledger are ignored; a record that does not parse updates only the offset and the time.
  std::optional<key_record> apply(const protocol::stream_record& record);

  /// Offset of the oldest record that the log held when applying started.
  log_offset first() const
  {
    return m_first;
  }

  /// Offset of the last applied record.
  log_offset offset() const
  {
    return m_offset;
  }
  std::uint64_t time_ms() const
  {
    return m_time_ms;
  }
  const slot_state& slot(std::uint32_t index) const
  {
    return m_slots.at(index);
  }
  /// Null for a key that is not in the ledger.
  const ledger_entry* find(const std::string& key) const;
  std::size_t size() const
  {
    return m_keys.size();
  }
  bool owns(const agent_run& agent, std::uint32_t slot_index) const;
  std::vector<slot_epoch> slots_of(const agent_run& agent) const;
  /// For a key that is not in the ledger: whether it may have run under an earlier owner while the
  /// log was unreachable.
  bool may_have_run_unclaimed(std::string_view key) const;
  /// Longest time between consecutive records from the one at `since` on, in ms.
  std::uint64_t largest_gap_since(log_offset since) const;

private:
  void advance_time(const protocol::stream_record& record);
  void expire();
  void insert(const std::string& key, ledger_entry entry);
  void apply_body(const key_record& record, const acquire_record& body);
  void apply_body(const key_record& record, const claim_record& body);
  void apply_body(const key_record& record, const done_record& body);
  void apply_body(const key_record& record, const release_record& body);
  void apply_body(const key_record& record, const keepalive_record& body);
  void apply_body(const key_record& record, const withdraw_record& body);
  void apply_body(const key_record& record, const refuse_record& body);

  struct gap
  {
    log_offset end;
    std::uint64_t size_ms = 0;
  };

  ledger_options m_options;
  log_offset m_first;
  log_offset m_offset;
  std::uint64_t m_time_ms = 0;
  std::array<slot_state, slot_count> m_slots;
  std::unordered_map<std::string, ledger_entry> m_keys;
  /// Insertion time and key in insertion order, for expiry. May contain keys that were withdrawn
  /// since.
  std::deque<std::pair<std::uint64_t, std::string>> m_insertion_order;
  /// Largest `seen` of each agent run.
  std::map<agent_run, log_offset> m_seen;
  /// Gaps in order of offset with strictly decreasing sizes. A gap is removed when a later one is
  /// at least as large, since no query can return it any more.
  std::vector<gap> m_gaps;
};

} // namespace pollenyoke::keys
