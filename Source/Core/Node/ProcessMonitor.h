#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/HttpCaller.h"

namespace pollenyoke::node
{

/// Logs when the event loop of a process stood still, and how many bytes it received for what.
class process_monitor
{
public:
  process_monitor(async_io::event_loop& loop, const async_io::http_caller& caller);

  void start();
  /// A signal that is handled now was sent this long ago at most.
  std::chrono::milliseconds longest_signal_age() const;

private:
  void check();
  void report_traffic();

  const async_io::http_caller& m_caller;
  async_io::timer m_timer;
  async_io::time_point m_due{};
  async_io::time_point m_checked{};
  /// The last check before the loop was delayed, if it has just been.
  async_io::time_point m_checked_before_delay{};
  async_io::time_point m_traffic_due{};
  std::map<std::string_view, std::uint64_t> m_reported;
};

} // namespace pollenyoke::node
