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
/// The process ends now, whatever is still in progress.
bool must_end(milliseconds since_stop, milliseconds grace);
/// Whether the request is forwarded. It is refused if it may take longer than the process has left
/// and is not among those that arrive soon after the begin of the stop.
bool accepts_request(const late_request& request);

} // namespace pollenyoke::gateway
