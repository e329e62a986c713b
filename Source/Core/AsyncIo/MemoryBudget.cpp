#include "AsyncIo/MemoryBudget.h"

#include <algorithm>

namespace pollenyoke::async_io
{

namespace
{

// Connections that hold no more are not closed for want of memory, as far as all of them together
// stay within the limit. Ordinary requests hold less.
constexpr std::size_t max_spared_bytes = 65536;
// A buffer that grows is copied, so that for a moment twice its size is in use; the heap keeps some
// of what was freed.
constexpr std::uint64_t client_share_percent = 30;

} // namespace

std::size_t client_memory_limit(std::uint64_t host_memory_mb)
{
  return static_cast<std::size_t>((host_memory_mb << 20U) * client_share_percent / 100);
}

memory_budget::memory_budget(std::size_t limit_bytes, std::size_t max_holders)
    : m_limit(limit_bytes),
      m_spared_bytes(
          std::min(max_spared_bytes, limit_bytes / std::max<std::size_t>(max_holders, 1)))
{
}

memory_budget::holder_id memory_budget::add(time_point now)
{
  m_holders[++m_last].progress = now;
  return m_last;
}

void memory_budget::remove(holder_id holder)
{
  const auto found = m_holders.find(holder);
  if (found != m_holders.end())
  {
    m_total -= found->second.bytes;
    m_holders.erase(found);
  }
}

void memory_budget::set(holder_id holder, std::size_t bytes, bool is_waiting)
{
  const auto found = m_holders.find(holder);
  if (found == m_holders.end())
  {
    return;
  }
  holding& held = found->second;
  m_total = m_total - held.bytes + bytes;
  held.bytes = bytes;
  held.is_waiting = is_waiting;
}

void memory_budget::note_progress(holder_id holder, time_point now)
{
  const auto found = m_holders.find(holder);
  if (found != m_holders.end())
  {
    found->second.progress = now;
  }
}

std::size_t memory_budget::total() const
{
  return m_total;
}

std::size_t memory_budget::limit() const
{
  return m_limit;
}

bool memory_budget::fits(std::size_t more_bytes) const
{
  return more_bytes <= m_spared_bytes || m_total + more_bytes <= m_limit;
}

std::optional<memory_budget::holder_id> memory_budget::next_to_close(std::size_t more_bytes,
                                                                     time_point now) const
{
  std::optional<holder_id> worst;
  double most = 0;
  if (m_total + more_bytes <= m_limit)
  {
    return worst;
  }
  for (const auto& [id, held] : m_holders)
  {
    if (!held.is_waiting || held.bytes <= m_spared_bytes)
    {
      continue;
    }
    const double idle_s = std::chrono::duration<double>(now - held.progress).count();
    const double weight = static_cast<double>(held.bytes) * (1 + idle_s);
    if (!worst || weight > most)
    {
      worst = id;
      most = weight;
    }
  }
  return worst;
}

} // namespace pollenyoke::async_io
