#include "Node/ProcessMonitor.h"

#include <string>

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace pollenyoke::node
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds check_interval{100};
// A loop that is late by more than this delays answers by an amount that callers notice.
constexpr milliseconds reported_delay{100};
// Timers fire slightly late.
constexpr milliseconds noticeable_delay{20};
constexpr milliseconds traffic_interval{1000};
// A link of 28 Mbit/s carries 3.5 MB a second; less than a tenth of it is not reported.
constexpr std::uint64_t reported_bytes = 262'144;

} // namespace

process_monitor::process_monitor(async_io::event_loop& loop, const async_io::http_caller& caller)
    : m_caller(caller), m_timer(loop)
{
}

void process_monitor::start()
{
  const auto now = current_time();
  m_checked = now;
  m_checked_before_delay = now;
  m_due = now + check_interval;
  m_traffic_due = now + traffic_interval;
  m_timer.start(check_interval, [this] { check(); });
}

void process_monitor::check()
{
  const auto now = current_time();
  const auto delay = std::chrono::duration_cast<milliseconds>(now - m_due);
  if (delay > reported_delay)
  {
    log_warning(log_category::process, "event loop was delayed", {{"delay_ms", delay.count()}});
  }
  if (now >= m_traffic_due)
  {
    m_traffic_due = now + traffic_interval;
    report_traffic();
  }
  m_checked_before_delay = delay > noticeable_delay ? m_checked : now;
  m_checked = now;
  m_due = now + check_interval;
  m_timer.start(check_interval, [this] { check(); });
}

milliseconds process_monitor::longest_signal_age() const
{
  return std::chrono::duration_cast<milliseconds>(current_time() - m_checked_before_delay);
}

void process_monitor::report_traffic()
{
  for (const auto& [purpose, total] : m_caller.received_bytes())
  {
    std::uint64_t& reported = m_reported[purpose];
    if (total - reported >= reported_bytes)
    {
      log_info(log_category::transport, "bytes received",
               {{"purpose", purpose}, {"bytes", total - reported}});
    }
    reported = total;
  }
}

} // namespace pollenyoke::node
