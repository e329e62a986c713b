#include "Peers/ReportClock.h"

#include <algorithm>

namespace pollenyoke::peers
{

namespace
{

using std::chrono::milliseconds;

// Clocks that drift apart by 200 ppm differ by 4 ms more after two periods.
constexpr milliseconds period{10000};

/// Signed difference of two values modulo 2^32.
std::int32_t difference(std::uint32_t a, std::uint32_t b)
{
  return static_cast<std::int32_t>(a - b);
}

std::uint32_t smaller(std::uint32_t a, std::uint32_t b)
{
  return difference(a, b) < 0 ? a : b;
}

} // namespace

std::optional<milliseconds> report_clock::age(const report_stamp& stamp, bool same_boot,
                                              time_point now)
{
  const auto now_ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  const auto offset = static_cast<std::uint32_t>(now_ms) - stamp.made_ms;
  // Runs of a process on a host that was not started again in between read the same clock.
  const bool same_clock = stamp.run == m_run || (same_boot && m_run != 0);
  if (!same_clock)
  {
    *this = {};
    m_run = stamp.run;
    m_smallest = offset;
    m_previous_smallest = offset;
    m_period_begun = now;
  }
  else if (difference(stamp.made_ms, m_last_made_ms) < 0)
  {
    return std::nullopt;
  }
  m_run = stamp.run;
  m_last_made_ms = stamp.made_ms;
  if (now - m_period_begun >= period)
  {
    m_previous_smallest = m_smallest;
    m_smallest = offset;
    m_period_begun = now;
  }
  m_smallest = smaller(m_smallest, offset);
  return milliseconds(difference(offset, smaller(m_smallest, m_previous_smallest)));
}

} // namespace pollenyoke::peers
