#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

#include "AsyncIo/EventLoop.h"

namespace pollenyoke::emulator
{

/// Runs actions after a delay. Those that are still due are dropped with this object.
class delayed_calls
{
public:
  explicit delayed_calls(async_io::event_loop& loop) : m_loop(loop) {}

  void after(std::chrono::nanoseconds delay, std::function<void()> action)
  {
    const std::uint64_t number = ++m_last_number;
    m_timers.try_emplace(number, m_loop)
        .first->second.start(delay,
                             [this, number, action = std::move(action)]
                             {
                               const auto own = m_timers.extract(number);
                               action();
                             });
  }

  void clear()
  {
    m_timers.clear();
  }

private:
  async_io::event_loop& m_loop;
  std::map<std::uint64_t, async_io::timer> m_timers;
  std::uint64_t m_last_number = 0;
};

} // namespace pollenyoke::emulator
