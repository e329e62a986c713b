#pragma once

#include <chrono>
#include <deque>

#include "Protocol/NodeSettings.h"

namespace pollenyoke::gateway
{

/// This process's part of the repeats that all entries together may send to one service. Time is
/// passed in. Not thread-safe.
class repeat_budget
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `started`: start of this process.
  repeat_budget(protocol::repeat_budget_settings settings, time_point started);

  void add_request(time_point now);
  /// Takes one repeat if the budget allows it. `entries`: live entries, this one included; an
  /// estimate that is too high is safe.
  bool try_repeat(time_point now, std::size_t entries);
  /// Whether try_repeat() would succeed.
  bool allows_repeat(time_point now, std::size_t entries);

private:
  void forget(time_point now);

  protocol::repeat_budget_settings m_settings;
  time_point m_started;
  std::deque<time_point> m_requests;
  std::deque<time_point> m_repeats;
};

} // namespace pollenyoke::gateway
