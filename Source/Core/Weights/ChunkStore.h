#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <unordered_map>
#include <vector>

#include "Common/Digest.h"
#include "Common/Result.h"
#include "Protocol/Manifest.h"

namespace pollenyoke::weights
{

using chunk_data = std::shared_ptr<const std::vector<std::uint8_t>>;

/// In-memory store of verified chunks, keyed by digest and shared between manifests. Thread-safe.
class chunk_store
{
public:
  /// `limit_bytes`: upper bound on the total size of the chunks of all pinned manifests.
  explicit chunk_store(std::uint64_t limit_bytes);

  /// Reserves memory for the chunks of a manifest and protects those already held from eviction.
  /// Has no effect if the manifest is already pinned. Errors: `limit_exceeded`.
  result<void> pin(const protocol::manifest& new_manifest);
  /// Chunks that no other manifest pins stay cached until their memory is needed, so that chunks of
  /// a reloaded version or of one that shares them are not transferred again. They are evicted in
  /// the order in which they were unpinned.
  void unpin(const digest& manifest_id);

  /// Adds a verified chunk. Returns false, without storing it, if no manifest pins it.
  bool put(const digest& id, std::vector<std::uint8_t> data);
  /// Returns null if the chunk is not held.
  chunk_data get(const digest& id) const;
  bool holds(const digest& id) const;

  std::uint64_t held_bytes() const;
  std::uint64_t pinned_bytes() const;

private:
  struct entry
  {
    chunk_data data;
    std::uint32_t bytes = 0;
    std::uint32_t pin_count = 0;
    /// Key in `m_unpinned`.
    std::uint64_t unpin_sequence = 0;
  };

  /// Evicts unpinned chunks, oldest first, until `needed_bytes` fit within the limit.
  void evict_unpinned(std::uint64_t needed_bytes);

  const std::uint64_t m_limit_bytes;
  mutable std::mutex m_mutex;
  std::unordered_map<digest, entry> m_chunks;
  /// Held chunks that no manifest pins, in eviction order.
  std::map<std::uint64_t, digest> m_unpinned;
  std::uint64_t m_next_unpin_sequence = 1;
  /// Distinct chunk digests per pinned manifest.
  std::map<digest, std::vector<digest>> m_manifests;
  std::uint64_t m_held_bytes = 0;
  std::uint64_t m_pinned_bytes = 0;
};

} // namespace pollenyoke::weights
