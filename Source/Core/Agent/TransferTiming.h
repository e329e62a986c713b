#pragma once

#include <chrono>

#include "Protocol/Manifest.h"

namespace pollenyoke::agent
{

inline double seconds(std::chrono::steady_clock::duration d)
{
  return std::chrono::duration<double>(d).count();
}

/// Mean size of a chunk in bytes.
inline double typical_chunk(const protocol::manifest& manifest)
{
  return static_cast<double>(manifest.total_bytes) / static_cast<double>(manifest.chunks.size());
}

} // namespace pollenyoke::agent
