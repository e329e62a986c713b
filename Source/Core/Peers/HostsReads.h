#pragma once

#include <chrono>
#include <cstddef>

namespace pollenyoke::peers
{

/// Interval at which a process checks whether it reads the store's list of hosts again.
constexpr std::chrono::milliseconds hosts_check_interval{3000};

/// Time after which a process that knows of `others` live processes reads the list again. Load
/// pattern: gossip spreads what one process has read, so the fleet as a whole reads the list once
/// per `hosts_check_interval`, whatever its size. A process that knows of no other one reads it at
/// each check. Pure.
constexpr std::chrono::milliseconds hosts_read_interval(std::size_t others)
{
  return hosts_check_interval * static_cast<std::chrono::milliseconds::rep>(others);
}

} // namespace pollenyoke::peers
