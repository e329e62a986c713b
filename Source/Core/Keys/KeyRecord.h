#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Result.h"

/// Records of the streams `keys.<service>`, which make idempotency keys run at most once.
namespace pollenyoke::keys
{

constexpr std::uint32_t slot_count = 64;
constexpr std::size_t max_key_length = 200;

/// The slot that a key belongs to.
std::uint32_t slot_of(std::string_view key);
/// The form in which a caller's key is recorded: the key itself, or its digest if the key is longer
/// than `max_key_length` or contains characters other than printable ASCII without spaces.
std::string recorded_key(std::string_view key);
std::string stream_name(std::string_view service);

/// A key that an agent issued, as opposed to one that the caller chose.
struct minted_key
{
  std::uint32_t slot = 0;
  log_offset epoch;
};

/// `pk1-<slot>-<epoch>-<random>`; the random part is chosen so that the key belongs to the slot.
std::string mint_key(std::uint32_t slot, log_offset epoch);
/// Errors: `malformed` for a key that no agent issued.
result<minted_key> parse_minted_key(std::string_view key);

/// One run of an agent process: a restarted agent has the same host and a new incarnation.
struct agent_run
{
  host_id host;
  incarnation_id incarnation;

  auto operator<=>(const agent_run&) const = default;
};

struct slot_epoch
{
  std::uint32_t slot = 0;
  log_offset epoch;

  auto operator<=>(const slot_epoch&) const = default;
};

/// Acquires slots (kind `take`). Valid only if the current epoch of each slot is the stated one.
/// The record's offset becomes the new epoch of the slots.
struct acquire_record
{
  std::vector<slot_epoch> expected;
};

struct claimed_key
{
  std::string key;
  digest body;
  log_offset epoch;
};

/// Claims keys before they run. A late claim records runs that began while the log was unreachable.
struct claim_record
{
  std::vector<claimed_key> keys;
  bool late = false;
};

struct done_key
{
  std::string key;
  std::uint16_t status = 0;
};

struct done_record
{
  std::vector<done_key> keys;
};

struct release_record
{
  std::vector<slot_epoch> slots;
};

/// Periodic record (kind `mark`). It shows that the log was reachable, and restates ownership for
/// readers that start after the acquire record has expired.
struct keepalive_record
{
  std::vector<slot_epoch> slots;
};

struct withdrawn_key
{
  std::string key;
  /// Offset of the withdrawn claim.
  log_offset claim;
};

/// Withdraws the author's own claims of keys that it did not run and will not run under these
/// claims.
struct withdraw_record
{
  std::vector<withdrawn_key> keys;
};

struct refused_key
{
  std::string key;
  digest body;
};

/// Keys that the author refuses permanently because their claims were not confirmed in time.
struct refuse_record
{
  std::vector<refused_key> keys;
};

using key_record_body = std::variant<acquire_record, claim_record, done_record, release_record,
                                     keepalive_record, withdraw_record, refuse_record>;

struct key_record
{
  std::string id;
  agent_run author;
  /// When the author wrote the record, it had applied the stream up to this offset and had recorded
  /// all runs that it began without a claim.
  log_offset seen;
  key_record_body body;
};

/// Errors: `malformed`. Readers skip records that do not parse. Every process must skip the same
/// ones, so that all derive the same state.
result<key_record> parse_key_record(std::string_view json_text);
std::string format_key_record(const key_record& record);

} // namespace pollenyoke::keys
