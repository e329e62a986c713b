#pragma once

#include <chrono>
#include <optional>

namespace pollenyoke::gateway
{

struct admission_input
{
  /// Expected time to the first byte at the chosen server; empty if no server can be used.
  std::optional<double> first_byte_ms;
  /// Part of it that the request waits for others.
  double wait_ms = 0;
  std::chrono::milliseconds objective{};
  /// What is left of the caller's time and of the route's limit.
  std::chrono::milliseconds time_left{};
  /// Time of a request that has not waited yet.
  std::chrono::milliseconds full_time{};
  /// In [0, 1); spreads the callers' return.
  double draw = 0;
};

struct admission_verdict
{
  bool admitted = false;
  /// When the caller should come back.
  std::chrono::milliseconds retry_after{};
};

/// Decides at arrival whether a request is sent on. Load pattern: more requests than the servers
/// can answer on time. Sending them all makes all late; so what would be late is refused while it
/// costs nothing, and a caller that comes back late anyway takes only capacity that is spare.
admission_verdict decide_admission(const admission_input& input);

} // namespace pollenyoke::gateway
