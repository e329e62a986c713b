#pragma once

#include <chrono>

namespace pollenyoke::gateway
{

using std::chrono::milliseconds;

/// A request that arrives during a planned stop.
struct late_request
{
  /// Time since the stop began.
  milliseconds since_stop{0};
  /// Longest time that the request may take.
  milliseconds time_limit{0};
  /// Time from the begin of the stop until the platform kills the process.
  milliseconds grace{0};
};

/// Callers have learned by then that the entry stops; until then it accepts connections.
bool has_given_notice(milliseconds since_stop);
/// Requests without the begin of an answer get one now: the process ends soon.
bool must_answer(milliseconds since_stop, milliseconds grace);
/// The process ends now, whatever is still in progress.
bool must_end(milliseconds since_stop, milliseconds grace);
/// Whether the request is forwarded. It is refused if it may take longer than the process has left
/// and is not among those that arrive soon after the begin of the stop.
bool accepts_request(const late_request& request);
/// Whether a request may wait for a server. Later, another entry serves it sooner.
bool may_wait(milliseconds since_stop);

} // namespace pollenyoke::gateway
