#pragma once

#include <chrono>

namespace pollenyoke::gateway
{

struct urgency_input
{
  /// A stream of which the caller already has events, at another server than before.
  bool continues_stream = false;
  /// Since the caller's first attempt.
  std::chrono::milliseconds waited{};
  std::chrono::milliseconds objective{};
};

/// Rank of a request in a server's queue, 0 first and 9 last. Load pattern: engines take turns to
/// load weights, so that their streams move to others whose queues are long already. A stream that
/// moves stays on time only if it pauses no longer than 0.4 s, a new request has its whole
/// objective left, and one that is late already gains nothing by overtaking these.
unsigned choose_rank(const urgency_input& input);

} // namespace pollenyoke::gateway
