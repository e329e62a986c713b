#include "Weights/ChunkBitmap.h"

#include <algorithm>
#include <bit>

namespace pollenyoke::weights
{

chunk_bitmap::chunk_bitmap(std::size_t size) : m_size(size), m_bytes((size + 7) / 8) {}

chunk_bitmap::chunk_bitmap(std::size_t size, std::span<const std::uint8_t> bytes)
    : chunk_bitmap(size)
{
  std::copy_n(bytes.begin(), std::min(bytes.size(), m_bytes.size()), m_bytes.begin());
  if (size % 8 != 0)
  {
    m_bytes.back() &= static_cast<std::uint8_t>((1U << (size % 8)) - 1);
  }
  for (const std::uint8_t byte : m_bytes)
  {
    m_count += static_cast<std::size_t>(std::popcount(byte));
  }
}

void chunk_bitmap::set(std::size_t index, bool value)
{
  if (index >= m_size || test(index) == value)
  {
    return;
  }
  m_bytes[index / 8] ^= static_cast<std::uint8_t>(1U << (index % 8));
  m_count += value ? 1 : std::size_t(-1);
}

} // namespace pollenyoke::weights
