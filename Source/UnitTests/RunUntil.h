#pragma once

#include <chrono>
#include <functional>

#include <cppunit/TestAssert.h>

#include "AsyncIo/EventLoop.h"

namespace pollenyoke::test
{

/// Runs the loop until the condition holds; fails the test if that takes longer than a minute.
inline void run_until(async_io::event_loop& loop, const std::function<bool()>& condition)
{
  constexpr std::chrono::milliseconds check_interval{1};
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes(1);
  async_io::timer timer(loop);
  std::function<void()> check = [&]
  {
    if (condition() || std::chrono::steady_clock::now() > deadline)
    {
      loop.stop();
      return;
    }
    timer.start(check_interval, check);
  };
  timer.start(std::chrono::milliseconds(0), check);
  loop.run();
  CPPUNIT_ASSERT(condition());
}

} // namespace pollenyoke::test
