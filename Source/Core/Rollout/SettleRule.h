#pragma once

#include <chrono>
#include <cstddef>

namespace pollenyoke::rollout
{

/// Decides when a process that has just started knows the others. Load pattern: after a loss of
/// power all processes start at once; one that plans with the few that it knows yet reads by itself
/// what the others read for it, and fills the origin's link. Time is passed in.
class settle_rule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit settle_rule(time_point started);

  /// `hosts`: number of hosts that are known now. `all_heard`: none of those that the store lists
  /// is missing.
  bool has_settled(std::size_t hosts, bool all_heard, time_point now);

private:
  time_point m_started;
  time_point m_changed{};
  std::size_t m_hosts = 0;
};

} // namespace pollenyoke::rollout
