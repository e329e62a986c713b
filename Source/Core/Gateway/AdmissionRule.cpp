#include "Gateway/AdmissionRule.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Part of the objective that the estimate may use up: its error is about one pass of an engine.
constexpr double on_time_share = 0.85;
// A request that is late already earns less than one on time, so it may wait for others only for
// this part of the objective.
constexpr double late_wait_share = 0.2;
// A server with less work than this ahead is free; refusing would leave it idle.
constexpr double free_wait_ms = 30;
// Without any server in use, one comes back or is replaced after a second or so.
constexpr double outage_wait_ms = 600;
constexpr double shortest_wait_ms = 120;
constexpr double longest_wait_ms = 1500;

} // namespace

admission_verdict decide_admission(const admission_input& input)
{
  const double objective = static_cast<double>(input.objective.count());
  const double left = static_cast<double>(input.time_left.count());
  const double waited = static_cast<double>((input.full_time - input.time_left).count());
  const bool late = waited > objective / 2;
  const double limit = objective * (late ? late_wait_share : on_time_share);
  const double measured = input.first_byte_ms ? (late ? input.wait_ms : *input.first_byte_ms) : 0;
  if (input.first_byte_ms && *input.first_byte_ms < left &&
      (measured <= limit || input.wait_ms <= free_wait_ms))
  {
    return {.admitted = true};
  }
  const double wait = input.first_byte_ms ? measured - limit : outage_wait_ms;
  const double bounded =
      std::clamp(wait, shortest_wait_ms, std::min(longest_wait_ms, std::max(left / 3, 1.0)));
  const double spread = bounded * (0.75 + 0.5 * input.draw);
  return {.admitted = false,
          .retry_after = std::chrono::milliseconds(static_cast<std::int64_t>(spread))};
}

} // namespace pollenyoke::gateway
