#pragma once

#include <chrono>

#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// How an attempt at a backend server ended.
enum class attempt_end
{
  /// Nothing was sent.
  not_sent,
  /// The server reports that it did not run the request.
  not_executed,
  /// The request was sent; it is unknown whether it ran, or the response is unusable.
  unknown,
  /// The server ran the request and returned an error.
  server_error,
};

struct retry_state
{
  attempt_end last = attempt_end::not_sent;
  protocol::repeat_rule repeat = protocol::repeat_rule::once;
  /// Number of attempts on all servers that may have run the request.
  unsigned may_have_run = 0;
  unsigned max_attempts = 1;
  /// Number of all attempts, whatever their outcome.
  unsigned attempt_count = 0;
  /// Part of the response has been sent to the caller.
  bool response_started = false;
  /// Another server can continue that part.
  bool can_resume = false;
  bool time_remains = true;
};

enum class retry_action
{
  /// Send to another server if the retry budget and the deadline allow it.
  retry,
  /// Report that the request did not run.
  refuse,
  /// Report that the request may have run.
  outcome_unknown,
  /// Forward the server's error response.
  forward_error,
  /// The response has started: close the connection so that it does not appear complete.
  abort,
};

/// Silence of a server after which a request may move to another one.
std::chrono::milliseconds silence_limit(const protocol::route& route);

/// decide_retry() returns the action after a failed attempt, final_action() the one if no further
/// attempt is possible.
retry_action decide_retry(const retry_state& state);
retry_action final_action(const retry_state& state);

} // namespace pollenyoke::gateway
