#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Result.h"
#include "Protocol/ReleaseNote.h"

/// Records of stream `fleet` of the log.
namespace pollenyoke::protocol
{

inline constexpr std::string_view fleet_stream = "fleet";

/// Names the weights of one release: the note's offset and the model within it.
struct release_key
{
  log_offset note;
  std::string model;

  auto operator<=>(const release_key&) const = default;
};

struct stripe_holder
{
  host_id host;
  incarnation_id incarnation;

  auto operator<=>(const stripe_holder&) const = default;
};

/// Who reads which stripe from the origin; chunk i belongs to stripe i modulo the stripe count.
struct placement_record
{
  release_key release;
  /// One holder per stripe.
  std::vector<stripe_holder> stripes;
};

/// Asks for the right to read part of a stripe from the origin (again).
struct origin_claim_record
{
  release_key release;
  std::uint32_t stripe = 0;
  stripe_holder previous;
  stripe_holder claimer;
  /// At most this many bytes are read under the claim.
  std::uint64_t bytes = 0;
};

/// Returns the unread part of a grant. The host has closed the grant: it reads nothing more under
/// it.
struct origin_return_record
{
  release_key release;
  std::uint32_t stripe = 0;
  /// Offset of the placement or claim that gave the grant.
  log_offset grant;
  stripe_holder holder;
  std::uint64_t bytes = 0;
};

struct stop_record
{
  host_id host;
  /// True cancels the planned stop of the host.
  bool cancelled = false;
};

struct config_record
{
  std::string key;
  std::string value;
};

/// The folded state after all records up to an offset.
struct checkpoint_record
{
  log_offset offset;
  digest state_digest;
  /// JSON text of the state.
  std::string state;
};

using record_body =
    std::variant<release_note, placement_record, origin_claim_record, origin_return_record,
                 stop_record, config_record, checkpoint_record>;

struct log_record
{
  /// Unique; a second record with the same id has no effect.
  std::string id;
  record_body body;
};

/// Errors: `malformed`. Readers skip records that do not parse; all processes skip the same ones.
result<log_record> parse_log_record(std::string_view json_text);
std::string format_log_record(const log_record& record);

} // namespace pollenyoke::protocol
