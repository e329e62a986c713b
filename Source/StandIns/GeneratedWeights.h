#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/Digest.h"
#include "Protocol/Manifest.h"

namespace pollenyoke::stand_ins
{

struct weights_recipe
{
  std::uint64_t seed = 1;
  std::uint64_t bytes = 1;
  std::uint32_t chunk_bytes = 65536;
  /// This fraction of the chunks is equal to those of the weights generated from `share_with`.
  std::uint64_t share_with = 0;
  double share_fraction = 0;
};

/// Weights that are computed from a seed when they are read, so that they take no memory.
/// Thread-safe.
class generated_weights
{
public:
  protocol::manifest add(const weights_recipe& recipe);
  std::optional<std::string> manifest_text(const digest& id) const;
  std::optional<std::string> chunk(const digest& id) const;

private:
  struct chunk_source
  {
    std::uint64_t seed;
    std::uint64_t index;
    std::uint32_t bytes;
  };

  mutable std::mutex m_mutex;
  std::unordered_map<digest, std::string> m_manifests;
  std::unordered_map<digest, chunk_source> m_chunks;
};

} // namespace pollenyoke::stand_ins
