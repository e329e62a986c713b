#include "Common/TokenBucket.h"

#include <algorithm>

namespace pollenyoke
{

token_bucket::token_bucket(double rate, double burst, time_point now)
    : m_rate(rate), m_burst(burst), m_level(burst), m_updated(now)
{
}

bool token_bucket::try_take(double amount, time_point now)
{
  refill(now);
  if (m_level < amount)
  {
    return false;
  }
  m_level -= amount;
  return true;
}

std::chrono::nanoseconds token_bucket::reserve(double amount, time_point now)
{
  refill(now);
  m_level -= amount;
  if (m_level >= 0)
  {
    return std::chrono::nanoseconds{0};
  }
  const std::chrono::duration<double> wait(-m_level / m_rate);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(wait);
}

double token_bucket::available(time_point now)
{
  refill(now);
  return m_level;
}

void token_bucket::refill(time_point now)
{
  if (now <= m_updated)
  {
    return;
  }
  const std::chrono::duration<double> elapsed = now - m_updated;
  m_level = std::min(m_burst, m_level + elapsed.count() * m_rate);
  m_updated = now;
}

} // namespace pollenyoke
