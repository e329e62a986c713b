#pragma once

#include <chrono>

namespace pollenyoke
{

/// A steady clock that also counts the time for which the machine was suspended.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

/// The current time for ages and deadlines, as the steady clock would show it if it counted the
/// time for which the machine was suspended.
std::chrono::steady_clock::time_point current_time();

} // namespace pollenyoke
