#include "Routing/AdmissionDecision.h"

#include <algorithm>
#include <cmath>

namespace pollenyoke::routing
{

namespace
{

// Share of the objective that the estimated time to first byte may reach; the estimate is off by
// about one pass of an engine.
constexpr double on_time_wait_share = 0.85;
// A request that is already late is worth less than one that can still be on time, so its queueing
// time may reach only this share of the objective.
constexpr double late_wait_share = 0.35;
// A server with less queued work than this counts as idle; rejecting the request would leave it
// unused.
constexpr double idle_wait_ms = 30;
// Used when no server is available: one usually recovers or is replaced within about a second.
constexpr double outage_retry_ms = 600;
constexpr double min_retry_ms = 120;
constexpr double max_retry_ms = 1500;

// A request waits for a server that wants none for a while only if the server still has the rest of
// the objective.
constexpr double max_hold_share = 0.5;
constexpr double min_return_spread_ms = 100;
// Callers return after at most a third of the time that they have left.
constexpr double max_return_share = 1.0 / 3;
constexpr double load_return_spread = 0.2;
constexpr double overload_return_spread = 0.2;
// Time constant of the average of refusals.
constexpr double refusal_time_s = 1.5;
// Decisions without a refusal that the average starts with, so that one refusal is no overload.
constexpr double initial_decisions = 5;

/// All servers want no requests for a while.
admission_decision wait_for_pause(const admission_input& input, double waited_ms)
{
  const double pause_ms = static_cast<double>(input.pause_left->count());
  const auto waited = std::chrono::milliseconds(static_cast<std::int64_t>(waited_ms));
  if (*input.pause_left <= longest_hold(input.objective, waited))
  {
    return {.hold_for = *input.pause_left + std::chrono::milliseconds(1)};
  }
  const double spread_ms = std::max(min_return_spread_ms, pause_ms / 4) * input.random_fraction;
  return {.retry_after =
              std::chrono::milliseconds(static_cast<std::int64_t>(pause_ms + spread_ms))};
}

/// Callers return a few times only, so each return is as late as the caller accepts: an earlier one
/// would be refused again, and a late answer is worth the same. `spread`: share of that time over
/// which callers return.
admission_decision return_late(const admission_input& input, double spread)
{
  const double latest_ms = static_cast<double>(input.time_left.count()) * max_return_share;
  const double return_ms = latest_ms * (1 - spread * input.random_fraction);
  return {.retry_after = std::chrono::milliseconds(static_cast<std::int64_t>(return_ms))};
}

} // namespace

std::chrono::milliseconds longest_hold(std::chrono::milliseconds objective,
                                       std::chrono::milliseconds waited)
{
  const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double, std::milli>(objective) * max_hold_share);
  return std::max(hold - waited, std::chrono::milliseconds(0));
}

void refusal_average::add(bool refused, time_point now)
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  const double kept = std::exp(-passed / refusal_time_s);
  m_refused = m_refused * kept + (refused ? 1 : 0);
  m_decided = m_decided * kept + 1;
  m_updated = now;
}

double refusal_average::share(time_point now) const
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  const double kept = std::exp(-passed / refusal_time_s);
  return m_refused * kept / (m_decided * kept + initial_decisions);
}

bool cannot_be_on_time(const admission_input& input)
{
  return input.time_limit - input.time_left > input.objective / 2;
}

admission_decision decide_admission(const admission_input& input)
{
  const double objective = static_cast<double>(input.objective.count());
  const double left = static_cast<double>(input.time_left.count());
  const double waited = static_cast<double>((input.time_limit - input.time_left).count());
  const bool late = cannot_be_on_time(input);
  // The allowance applies to the time in the queue only; for late requests nothing else counts.
  const double own_ms = input.first_byte_ms && !late ? *input.first_byte_ms - input.wait_ms : 0;
  const double limit = objective * (late ? late_wait_share : on_time_wait_share);
  const double longest_wait = (limit - own_ms) * input.wait_allowance;
  if (input.first_byte_ms && *input.first_byte_ms < left &&
      input.wait_ms <= std::max(longest_wait, idle_wait_ms))
  {
    return {.admitted = true};
  }
  // Limits do not end with the next permit: while they turn many requests away, the others would
  // be back too early.
  const bool limits_exceeded = input.limited && input.refused_share > overload_refused_share;
  if (!input.first_byte_ms && input.pause_left && !limits_exceeded)
  {
    return wait_for_pause(input, waited);
  }
  if (!input.first_byte_ms && limits_exceeded)
  {
    return return_late(input, overload_return_spread);
  }
  if (!input.first_byte_ms && input.loads_weights)
  {
    return return_late(input, load_return_spread);
  }
  // The queue that admission allows is as long in a heavy overload as in a light one; the refusals
  // tell them apart.
  if (input.first_byte_ms && input.refused_share > overload_refused_share)
  {
    return return_late(input, overload_return_spread);
  }
  const double wait = input.first_byte_ms ? input.wait_ms - longest_wait : outage_retry_ms;
  const double retry_ms =
      std::clamp(wait, min_retry_ms, std::min(max_retry_ms, std::max(left / 3, 1.0)));
  const double jittered = retry_ms * (0.75 + 0.5 * input.random_fraction);
  return {.admitted = false,
          .retry_after = std::chrono::milliseconds(static_cast<std::int64_t>(jittered))};
}

} // namespace pollenyoke::routing
