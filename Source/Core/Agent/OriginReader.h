#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Common/Digest.h"
#include "Common/TokenBucket.h"
#include "Protocol/LogRecord.h"
#include "Weights/OriginLedger.h"

namespace pollenyoke::agent
{

enum class fetch_server
{
  weight_store,
  origin,
};

/// A GET to the weight store or the origin. It is sent once and reads at most `max_bytes`.
struct fetch_order
{
  std::uint64_t id = 0;
  fetch_server server = fetch_server::origin;
  std::string path;
  std::uint64_t max_bytes = 0;
};

struct fetch_result
{
  std::uint64_t id = 0;
  /// False: no connection was made, so the server has sent nothing.
  bool reached = false;
  /// HTTP status; 0 when the answer did not end properly.
  int status = 0;
  std::string body;
};

struct stripe_id
{
  protocol::release_key release;
  std::uint32_t stripe = 0;
};

/// Who may read a chunk from the origin.
struct read_permission
{
  /// Under a grant for this stripe; empty for none.
  std::optional<stripe_id> granted;
  /// Without any grant.
  bool unlimited = false;
};

/// A read that was started and has not ended.
struct read_in_progress
{
  digest manifest;
  /// Empty for the manifest itself.
  std::optional<std::uint32_t> chunk;
  fetch_server server = fetch_server::origin;
  std::optional<weights::origin_ledger::grant_id> grant;
  std::uint64_t bytes = 0;
};

/// Reads in progress from the weight store and the origin: chooses the server, takes the bytes from
/// the grant, paces reads and holds them back after failures. Not thread-safe.
class origin_reader
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `bytes_per_s` is the rate at which all holders together read the origin; 0 for no limit.
  origin_reader(bool has_store, double bytes_per_s);

  /// The rate is shared by the holders of this many stripes.
  void set_shares(std::size_t stripes, time_point now);
  /// The pace allows another read.
  bool is_due(time_point now);
  /// No failure holds the origin back.
  bool origin_ready(time_point now) const;
  /// Too many reads in a row failed, so that this host leaves its stripes to others.
  bool gives_way(time_point now) const;

  /// Starts the read of a chunk of `bytes` under the given id. Empty if it may not be read now.
  std::optional<fetch_order> start_chunk(std::uint64_t id, const read_in_progress& wanted,
                                         const digest& chunk, const read_permission& may,
                                         bool store_failed, weights::origin_ledger& ledger,
                                         time_point now);
  fetch_order start_manifest(std::uint64_t id, const digest& manifest, bool store_failed);
  /// Ends a read and settles its grant; empty for an unknown id.
  std::optional<read_in_progress> end(const fetch_result& result, weights::origin_ledger& ledger);

  void note_failure(fetch_server server, time_point now);
  /// A whole chunk arrived, intact or corrupted, so that the server works.
  void note_answer();
  /// An intact chunk arrived.
  void note_success();

private:
  const bool m_has_store;
  const double m_bytes_per_s;
  std::map<std::uint64_t, read_in_progress> m_reads;
  // Set while a rate is; each stripe holder takes an equal share.
  std::optional<token_bucket> m_pace;
  std::size_t m_shares = 0;
  time_point m_store_retry{};
  time_point m_origin_retry{};
  std::chrono::milliseconds m_origin_backoff{250};
  unsigned m_origin_failures = 0;
  time_point m_last_origin_failure{};
};

} // namespace pollenyoke::agent
