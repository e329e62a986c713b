#pragma once

#include <chrono>
#include <cstdint>

namespace pollenyoke::rollout
{

/// Prompt tokens that an engine has received and not read yet, as its agent reckons them from the
/// entries' notices; the engine's own report does not show them. Not thread-safe.
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
