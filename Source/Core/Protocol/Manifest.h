#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Digest.h"
#include "Common/Result.h"

namespace pollenyoke::protocol
{

struct manifest_chunk
{
  digest id;
  std::uint32_t bytes = 0;
};

/// The chunks of one set of weights, in order.
struct manifest
{
  /// SHA-256 of the manifest's text; names the manifest.
  digest id;
  /// SHA-256 over all bytes of the weights.
  digest content;
  std::uint64_t total_bytes = 0;
  std::vector<manifest_chunk> chunks;
};

constexpr std::size_t max_manifest_bytes = std::size_t{1024} * 1024;
constexpr std::uint32_t max_chunk_bytes = 1024U * 1024U;

/// Parses `{"content":HEX,"total_bytes":N,"chunks":[{"id":HEX,"bytes":N},...]}` and checks that the
/// text has the digest `expected`, that sizes add up and no chunk is empty or above the limit.
/// Errors: `corrupt` for a wrong digest, `malformed`, `limit_exceeded`.
result<manifest> parse_manifest(std::string_view text, const digest& expected);
/// The text whose digest is the manifest's id.
std::string format_manifest(const manifest& from);

} // namespace pollenyoke::protocol
