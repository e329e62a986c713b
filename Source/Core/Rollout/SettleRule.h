#pragma once

#include <chrono>
#include <cstddef>

namespace pollenyoke::rollout
{

/// Decides when a process that has just started knows enough of the other hosts. Load pattern:
/// after a power loss all processes start at once. One that plans its fetch with the few hosts
/// known so far fetches from the origin what other hosts would fetch for it, and saturates the
/// origin's link. The caller passes the time in.
class settle_rule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit settle_rule(time_point started);

  /// `hosts`: number of hosts known now. `all_known`: this process has heard from every host that
  /// the store lists.
  bool has_settled(std::size_t hosts, bool all_known, time_point now);

private:
  time_point m_started;
  time_point m_changed{};
  std::size_t m_hosts = 0;
};

} // namespace pollenyoke::rollout
