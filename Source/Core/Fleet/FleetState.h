#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Protocol/LogRecord.h"
#include "Protocol/Messages.h"

/// The state that every process folds from stream `fleet` of the log.
namespace pollenyoke::fleet
{

/// A right to read part of a stripe from the origin that was given and not returned.
struct origin_grant
{
  std::uint32_t stripe = 0;
  /// Offset of the placement or claim that gave it.
  log_offset since;
  protocol::stripe_holder holder;
  /// Empty for a grant by placement: the stripe's part of the first copy, which only the manifest
  /// tells.
  std::optional<std::uint64_t> bytes;

  bool operator==(const origin_grant&) const = default;
};

/// Who may read which stripe of a release from the origin, and how much was granted.
struct origin_budget
{
  /// Current holder per stripe; empty before a placement was recorded.
  std::vector<protocol::stripe_holder> holders;
  /// Offset of the record that made the holder the holder: the placement's or a granted claim's.
  std::vector<log_offset> holder_since;
  /// Bytes granted by claims and not returned, beyond the one copy that the placement grants.
  std::uint64_t claimed_bytes = 0;
  /// Bytes of the first copy that holders by placement returned.
  std::uint64_t placement_returned_bytes = 0;
  /// Grants that can still be returned, in log order; at most max_origin_grants.
  std::vector<origin_grant> grants;
};

/// A model version or adapter version that is in force.
struct active_release
{
  protocol::release_key key;
  protocol::release_item item;
  origin_budget origin;

  /// The fencing number of orders for this release.
  log_offset fence() const
  {
    return key.note;
  }
};

/// An accepted or rejected release note, for status reports.
struct note_outcome
{
  log_offset offset;
  std::string record_id;
  std::string name;
  bool accepted = false;
  /// For rejected notes: the head that the note should have been written against.
  log_offset head;
  /// For rejected notes: why, one line for the operator.
  std::string reason;
};

struct fleet_state
{
  /// Offset of the last folded record.
  log_offset offset;
  /// Offset of the last accepted release note.
  log_offset head;
  std::map<protocol::release_key, active_release> releases;
  /// Versions that a change replaced, oldest first, at most max_replaced per model. Hosts may serve
  /// them until they serve a newer one. Withdrawn versions are not among them.
  std::vector<protocol::model_version> replaced;
  /// Planned stops in force: host and the offset of the record.
  std::map<host_id, log_offset> planned_stops;
  std::map<std::string, std::string> config;
  /// The last notes, oldest first, at most max_note_outcomes.
  std::vector<note_outcome> notes;
  /// Ids of the last records, to drop second copies; at most max_record_ids.
  std::vector<std::string> record_ids;
  log_offset last_checkpoint;

  /// Releases that backend servers of a service should hold, oldest note first.
  std::vector<const active_release*> releases_for(std::string_view service) const;
  const active_release* find(std::string_view model, std::string_view version) const;
  /// The newest version of a model, nullptr if none is in force.
  const active_release* newest(std::string_view model) const;
  bool is_replaced(std::string_view model, std::string_view version) const;
};

/// A host that missed more changes than this in a row has nothing left to serve.
constexpr std::size_t max_replaced = 4;
constexpr std::size_t max_note_outcomes = 64;
constexpr std::size_t max_record_ids = 1024;
/// The oldest grants beyond it cannot be returned any more, so that they count as read.
constexpr std::size_t max_origin_grants = 256;

/// Bytes that origin claims for this release may still be granted.
std::uint64_t claimable_bytes(const active_release& release);

/// Folds one record. Pure: depends on the state and the record only. Records that are not newer
/// than the state, do not parse, or repeat an id change nothing but the offset.
void apply(fleet_state& state, const protocol::stream_record& record);

nlohmann::json to_json(const fleet_state& state);
result<fleet_state> from_json(const nlohmann::json& from);
/// Digest of the canonical JSON text.
digest state_digest(const fleet_state& state);

} // namespace pollenyoke::fleet
