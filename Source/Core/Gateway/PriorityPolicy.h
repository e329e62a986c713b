#pragma once

#include <chrono>

namespace pollenyoke::gateway
{

struct priority_input
{
  /// A stream that resumes at another server after the caller has received events.
  bool continues_stream = false;
  /// Time since the caller's first attempt.
  std::chrono::milliseconds waited{};
  std::chrono::milliseconds objective{};
};

/// Priority of a request in a server's queue, from 0 (first) to 9 (last). When an engine loads
/// weights, its streams move to engines whose queues are already long. A moved stream stays on time
/// only if it pauses for at most 0.4 s, while a new request has its whole objective left. A request
/// that is already late gains nothing by overtaking these.
unsigned choose_priority(const priority_input& input);

} // namespace pollenyoke::gateway
