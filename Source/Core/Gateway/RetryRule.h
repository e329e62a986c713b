#pragma once

#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// How an attempt at a backend server ended.
enum class attempt_end
{
  /// Nothing was sent.
  not_sent,
  /// The server states that it did not run the request.
  not_executed,
  /// Sent; whether it ran is unknown, or the answer cannot be used.
  unknown,
  /// The server ran the request and answered with an error of its own.
  server_error,
};

struct retry_facts
{
  attempt_end last = attempt_end::not_sent;
  protocol::repeat_rule repeat = protocol::repeat_rule::once;
  /// Attempts so far that may have run, over all servers.
  unsigned may_have_run = 0;
  unsigned max_attempts = 1;
  /// Attempts so far, whatever became of them.
  unsigned sends = 0;
  /// A part of the answer has gone to the caller.
  bool answer_started = false;
  bool streaming = false;
  bool caller_waits = true;
};

enum class retry_action
{
  /// Send to another server, if the budget and the time allow it.
  again,
  /// The request has not run: say so.
  refuse,
  /// The request may have run.
  outcome_unknown,
  /// Pass on the server's error.
  pass_on,
  /// The answer has begun: end the connection so that it does not look complete.
  cut,
};

/// What follows a failed attempt; `final_action` if no further one can be made.
retry_action decide_retry(const retry_facts& facts);
retry_action final_action(const retry_facts& facts);

} // namespace pollenyoke::gateway
