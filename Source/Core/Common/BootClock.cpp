#include "Common/BootClock.h"

#include <ctime>

namespace pollenyoke
{

boot_clock::time_point boot_clock::now()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::chrono::steady_clock::time_point current_time()
{
  return std::chrono::steady_clock::time_point(boot_clock::now().time_since_epoch());
}

} // namespace pollenyoke
