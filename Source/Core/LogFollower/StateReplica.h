#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "Common/Ids.h"
#include "Fleet/FleetState.h"
#include "Protocol/Messages.h"

namespace pollenyoke::log_follower
{

/// The folded state of one process and its last records. Accepts records from the log and from
/// peers in any order, any number of times, and folds each once, in offset order. Without I/O and
/// not thread-safe.
class state_replica
{
public:
  state_replica();

  /// Never null; its offset never decreases.
  const std::shared_ptr<const fleet::fleet_state>& state() const
  {
    return m_state;
  }

  /// Takes records that were pushed: they are folded once every record before them was. Returns
  /// whether the state changed.
  bool take_pushed(std::span<const protocol::stream_record> records);
  /// Takes all records of the stream from `from` on, up to the last one given. Offsets in between
  /// that are not given do not exist. Returns whether the state changed.
  bool take_run(log_offset from, std::span<const protocol::stream_record> records);
  /// Takes a folded state if it is newer. Returns whether the state changed.
  bool take_state(fleet::fleet_state newer);

  /// The folded records from an offset on, at most about `max_bytes` of them but at least one if
  /// there is one; nullopt if records from there on are no longer held.
  std::optional<std::vector<protocol::stream_record>> records_from(log_offset from,
                                                                   std::size_t max_bytes) const;
  /// Pushed records wait for an earlier one.
  bool has_gap() const
  {
    return !m_waiting.empty();
  }

private:
  bool fold_all(std::vector<protocol::stream_record> records);

  std::shared_ptr<const fleet::fleet_state> m_state;
  // Records with consecutive positions in the stream; the last one is the last folded.
  std::deque<protocol::stream_record> m_recent;
  std::size_t m_recent_bytes = 0;
  // Records after the offset at m_recent_after are held.
  log_offset m_recent_after;
  std::map<log_offset, protocol::stream_record> m_waiting;
};

/// A checkpoint record without its state text, which the fold does not need; other records as they
/// are.
protocol::stream_record without_checkpoint_state(protocol::stream_record record);

/// The folded state of a checkpoint record; nullopt if it is none or its digest does not match.
std::optional<fleet::fleet_state> checkpoint_state(const protocol::stream_record& record);

} // namespace pollenyoke::log_follower
