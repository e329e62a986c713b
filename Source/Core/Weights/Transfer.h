#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Protocol/Manifest.h"
#include "Weights/ChunkBitmap.h"
#include "Weights/ChunkStore.h"

namespace pollenyoke::weights
{

using time_point = std::chrono::steady_clock::time_point;

/// Consecutive corrupted chunks after which a source is banned from the transfer of a manifest.
constexpr unsigned max_consecutive_corrupt = 3;

/// Consecutive request timeouts after which a source counts as unreliable, so that its
/// announcements are ignored.
constexpr unsigned max_timeouts_in_row = 3;

/// State of one peer from which a transfer can request chunks.
struct transfer_source
{
  /// Bitmap as received; its length is checked only once the manifest is known.
  std::vector<std::uint8_t> announced;
  /// Chunks that the peer holds; empty until the manifest is known.
  chunk_bitmap have;
  time_point last_update{};
  /// When the peer last announced more chunks than before.
  time_point last_growth{};
  /// Requests in flight: chunk index and send time.
  std::map<std::uint32_t, time_point> requests;
  unsigned consecutive_corrupt = 0;
  /// Consecutive requests that timed out.
  unsigned timeouts_in_row = 0;
  bool banned = false;
  /// No requests are sent to the peer before this time.
  time_point hold_until{};
  /// Exponential moving average of the time from request to reply, in seconds; 0 before the first
  /// reply.
  double latency_s = 0;

  bool is_reliable() const
  {
    return !banned && timeouts_in_row < max_timeouts_in_row;
  }
};

/// Result of handling a received chunk.
enum class arrival
{
  stored,
  duplicate,
  /// Size or digest differs from the manifest.
  corrupt,
  /// No manifest yet, index out of range, or the store has not pinned the chunk.
  unknown,
};

/// Transfer of one manifest's chunks to this host. It is identified by the manifest digest, so that
/// chunks of different versions cannot be mixed. Not thread-safe.
class transfer
{
public:
  transfer(const digest& manifest, time_point now);

  const digest& id() const
  {
    return m_id;
  }
  bool has_manifest() const
  {
    return m_manifest.has_value();
  }
  const protocol::manifest& manifest() const
  {
    return *m_manifest;
  }
  const std::string& manifest_text() const
  {
    return m_manifest_text;
  }
  /// Sets the verified manifest and marks the chunks that the store already holds.
  void set_manifest(protocol::manifest parsed, std::string text, const chunk_store& store,
                    time_point now);

  const chunk_bitmap& have() const
  {
    return m_have;
  }
  /// True if all chunks are held and the digest of the whole content matches the manifest.
  bool complete() const
  {
    return m_content_matches;
  }
  /// True if all chunks match their digests but the whole content does not, so that the manifest is
  /// invalid.
  bool content_mismatch() const
  {
    return m_content_mismatch;
  }
  /// True if the content check has ended, with either result.
  bool finished() const
  {
    return m_content_matches || m_content_mismatch;
  }
  /// Hashes the next held chunks in order, at most `max_chunks` per call. Returns true once the
  /// content check has ended.
  bool check_content(const chunk_store& store, std::size_t max_chunks);

  /// Stores a chunk whose SHA-256 is `computed`, and marks all indices with the same digest as
  /// held.
  arrival take_chunk(std::uint32_t index, const digest& computed, std::vector<std::uint8_t> data,
                     chunk_store& store, time_point now);

  /// Replaces the bitmap of a source with the one it announced.
  void update_source(const host_id& host, std::vector<std::uint8_t> bitmap, time_point now);
  /// Removes a request and returns its send time; empty if there was no such request.
  std::optional<time_point> end_request(const host_id& host, std::uint32_t index);
  /// Counts a corrupted chunk or manifest. Returns true if it caused the source to be banned.
  bool note_corrupt(const host_id& host);
  /// Resets the failure counters of a source and updates its latency.
  void note_reply(const host_id& host, std::chrono::duration<double> latency);
  /// Lowest index with the same digest as the chunk at `index`.
  std::uint32_t first_index(std::uint32_t index) const;
  /// True if the chunk is requested from a peer or being read from the weight store or the origin.
  bool is_requested(std::uint32_t index) const;
  /// True if a reliable peer announced the chunk.
  bool is_announced(std::uint32_t index) const;

  std::map<host_id, transfer_source> sources;
  /// Chunks being read from the weight store or the origin, with the start time of the read.
  std::map<std::uint32_t, time_point> reading;
  time_point started{};
  /// When the last new chunk was stored.
  time_point last_progress{};
  /// For each chunk, when any source first announced it; zero if none has.
  std::vector<time_point> first_announced;

private:
  /// Sets `first_announced` for the chunks that no source announced before.
  void record_announced(const transfer_source& source, time_point now);

  digest m_id;
  std::optional<protocol::manifest> m_manifest;
  std::string m_manifest_text;
  std::map<digest, std::vector<std::uint32_t>> m_indices_by_digest;
  chunk_bitmap m_have;
  sha256_hasher m_hasher;
  /// Number of leading chunks already passed to `m_hasher`.
  std::size_t m_hashed_chunks = 0;
  bool m_content_matches = false;
  bool m_content_mismatch = false;
};

} // namespace pollenyoke::weights
