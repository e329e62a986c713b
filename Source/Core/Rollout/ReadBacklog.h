#pragma once

#include <chrono>
#include <cstdint>

namespace pollenyoke::rollout
{

/// Estimates the prompt tokens that an engine has received but not prefilled yet. The agent derives
/// the estimate from the dispatch notices of the entries, as the engine does not report it. Not
/// thread-safe.
class read_backlog
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  void set_rate(double tokens_per_s);
  void add(std::uint32_t tokens, time_point now);
  std::uint32_t unread(time_point now) const;

private:
  double m_rate = 0;
  double m_tokens = 0;
  time_point m_updated{};
};

} // namespace pollenyoke::rollout
