#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace pollenyoke::weights
{

/// Set of the chunks of one manifest that a host holds, indexed by chunk.
class chunk_bitmap
{
public:
  chunk_bitmap() = default;
  explicit chunk_bitmap(std::size_t size);
  /// Copies the bitmap of a `have_update`. Missing bytes count as zero; bits past `size` are
  /// ignored.
  chunk_bitmap(std::size_t size, std::span<const std::uint8_t> bytes);

  std::size_t size() const
  {
    return m_size;
  }
  /// Number of set bits.
  std::size_t count() const
  {
    return m_count;
  }
  bool all() const
  {
    return m_count == m_size;
  }
  /// False if `index` is out of range.
  bool test(std::size_t index) const
  {
    return index < m_size && ((m_bytes[index / 8] >> (index % 8)) & 1U) != 0;
  }
  /// Has no effect if `index` is out of range.
  void set(std::size_t index, bool value = true);
  /// One bit per chunk, least significant bit first.
  const std::vector<std::uint8_t>& bytes() const
  {
    return m_bytes;
  }

private:
  std::size_t m_size = 0;
  std::size_t m_count = 0;
  std::vector<std::uint8_t> m_bytes;
};

} // namespace pollenyoke::weights
