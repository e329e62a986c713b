#pragma once

#include <chrono>
#include <optional>

namespace pollenyoke::routing
{

struct admission_input
{
  /// Estimated time to first byte at the chosen server; empty if no server can be used.
  std::optional<double> first_byte_ms;
  /// Queueing part of `first_byte_ms`.
  double wait_ms = 0;
  std::chrono::milliseconds objective{};
  /// Time until the caller's deadline or the route's time limit, whichever is earlier.
  std::chrono::milliseconds time_left{};
  /// Time limit of a request that has just been issued; the caller has already waited the
  /// difference to `time_left`.
  std::chrono::milliseconds time_limit{};
  /// Without a server: the servers of the service load weights, which takes seconds.
  bool loads_weights = false;
  /// Without a server: time until the first one that wants no requests for a while takes them
  /// again; empty if there is none.
  std::optional<std::chrono::milliseconds> pause_left;
  /// Without a server: some name limits, which are used up.
  bool limited = false;
  /// Share of the requests for the service that were refused lately.
  double refused_share = 0;
  /// Share of the usual longest wait that the request is granted, from 0 to 1. Less than 1 leaves
  /// room for requests that are more urgent or whose team has had less.
  double wait_allowance = 1;
  /// Random number in [0, 1) that adds jitter to `retry_after`.
  double random_fraction = 0;
};

/// With a larger share of refused requests a service is overloaded: its servers stay full until the
/// demand falls.
constexpr double overload_refused_share = 0.05;

/// Share of refused requests, as an average that decays with time.
class refusal_average
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  void add(bool refused, time_point now);
  double share(time_point now) const;

private:
  double m_refused = 0;
  double m_decided = 0;
  time_point m_updated{};
};

struct admission_decision
{
  bool admitted = false;
  /// The request goes first in the server's queue: the admitted share of its urgency or team is
  /// below the floor.
  bool goes_first = false;
  /// Time after which the request can be sent; it is decided on again then.
  std::optional<std::chrono::milliseconds> hold_for;
  /// Delay after which the caller should retry.
  std::chrono::milliseconds retry_after{};
};

/// More than half of the objective has passed since the caller's first attempt.
bool cannot_be_on_time(const admission_input& input);

/// How long a request may wait before it is sent; the server needs the rest of the objective.
std::chrono::milliseconds longest_hold(std::chrono::milliseconds objective,
                                       std::chrono::milliseconds waited);

/// Decides on arrival whether a request is forwarded or shed. Under overload, forwarding every
/// request would make all of them late. Requests that would miss the objective are rejected before
/// they use server time, and a retried request that is already late is admitted only to spare
/// capacity.
admission_decision decide_admission(const admission_input& input);

} // namespace pollenyoke::routing
