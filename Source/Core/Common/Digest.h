#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "Common/Result.h"

namespace pollenyoke
{

/// A SHA-256 digest.
struct digest
{
  std::array<std::uint8_t, 32> bytes{};

  auto operator<=>(const digest&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(bytes);
  }
};

/// Computes a SHA-256 digest over several spans.
class sha256_hasher
{
public:
  sha256_hasher();
  ~sha256_hasher();
  sha256_hasher(const sha256_hasher&) = delete;
  sha256_hasher& operator=(const sha256_hasher&) = delete;
  sha256_hasher(sha256_hasher&&) noexcept;
  sha256_hasher& operator=(sha256_hasher&&) noexcept;

  void update(std::span<const std::byte> data);
  void update(std::string_view data);
  /// Ends the computation; the hasher is not used afterwards.
  digest finish();

private:
  struct context;
  std::unique_ptr<context> m_context;
};

digest sha256(std::span<const std::byte> data);
digest sha256(std::string_view data);
/// 64 lower-case hex digits.
std::string to_hex(const digest& value);
result<digest> parse_digest(std::string_view hex);

} // namespace pollenyoke

template <>
struct std::hash<pollenyoke::digest>
{
  std::size_t operator()(const pollenyoke::digest& value) const noexcept
  {
    std::size_t prefix = 0;
    std::memcpy(&prefix, value.bytes.data(), sizeof(prefix));
    return prefix;
  }
};
