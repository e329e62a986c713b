#include "Rollout/ReadBacklog.h"

#include <algorithm>

namespace pollenyoke::rollout
{

namespace
{

// An engine that is also decoding spends about two thirds of its time on prefill: a full chunk of
// 2,048 tokens takes 100 ms, the decode steps between two chunks 48 ms.
constexpr double prefill_time_fraction = 0.67;

} // namespace

void read_backlog::set_rate(double tokens_per_s)
{
  m_rate = tokens_per_s * prefill_time_fraction;
}

void read_backlog::add(std::uint32_t tokens, time_point now)
{
  m_tokens = unread(now) + tokens;
  m_updated = now;
}

std::uint32_t read_backlog::unread(time_point now) const
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  return static_cast<std::uint32_t>(std::max(0.0, m_tokens - passed * m_rate));
}

} // namespace pollenyoke::rollout
