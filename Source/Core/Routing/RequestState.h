#pragma once

#include <cstdint>
#include <string>

#include "Common/Ids.h"
#include "Protocol/Messages.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::routing
{

/// Final outcome that is reported to the caller.
enum class outcome_kind
{
  whole,
  not_run,
  unknown,
  rejected,
  /// A request with this idempotency key ran earlier and its answer is no longer stored.
  already_ran,
};

struct final_outcome
{
  outcome_kind kind = outcome_kind::unknown;
  protocol::refusal_reason reason = protocol::refusal_reason::overloaded;
  std::uint32_t retry_after_ms = 0;
  std::string detail;
};

/// Next action of the entry for a request.
enum class reaction
{
  none,
  /// The answer's head was accepted.
  head,
  /// The frame's data is the next part of the answer.
  deliver,
  /// The answer is complete.
  whole,
  /// Begin a new attempt at another agent.
  retry,
  /// Begin a new attempt at the agent owner().
  redirect,
  /// Open a new connection to the same agent.
  relink,
  /// Request the outcome, and the answer from next_sequence() on.
  resume,
  /// The request has ended; see outcome().
  end,
};

struct request_traits
{
  request_id id;
  /// The request may run again after a lost attempt, as model requests may.
  bool idempotent = true;
  /// The answer is a stream of lines that another attempt can continue.
  bool resumable = true;
  /// Version that every attempt must run on; empty for plain services.
  std::string version;
};

/// State machine of one request at an entry, from the first attempt to the outcome. It is driven by
/// events only and uses neither a clock nor I/O. Messages that do not belong to the current
/// attempt, its connection and its agent incarnation are ignored. Not thread-safe.
class request_state
{
public:
  explicit request_state(request_traits traits);

  /// Begins an attempt that the caller then sends to the agent over an open connection.
  protocol::attempt_id begin_attempt(const host_id& host, incarnation_id incarnation,
                                     transport::connection_id connection);

  reaction on_refused(transport::connection_id from, const protocol::request_refused& message);
  reaction on_head(transport::connection_id from, const protocol::answer_head& message);
  reaction on_frame(transport::connection_id from, const protocol::answer_frame& message);
  reaction on_end(transport::connection_id from, const protocol::answer_end& message);
  reaction on_failed(transport::connection_id from, const protocol::answer_failed& message);
  reaction on_outcome(transport::connection_id from, const protocol::outcome_reply& message);
  reaction on_closed(transport::connection_id connection);
  /// A new connection to the agent's host is open, to a process with this incarnation.
  reaction on_relinked(transport::connection_id connection, incarnation_id incarnation);
  /// The agent of the attempt has become unreachable; `sent` is false if the attempt was not sent.
  reaction on_lost(bool sent);
  /// No message has arrived for a while; a frame may have been lost.
  reaction on_idle();
  /// Ends the request without a further attempt.
  reaction give_up(protocol::refusal_reason reason, std::string detail);
  reaction on_deadline();
  /// Ends the request because it is known to crash backend servers.
  reaction reject(std::string detail);

  protocol::attempt_id attempt() const;
  const host_id& host() const;
  transport::connection_id connection() const;
  const host_id& owner() const;
  const final_outcome& outcome() const;
  std::uint32_t next_sequence() const;
  /// Number of lines delivered to the caller by all attempts.
  std::uint32_t lines() const;
  /// An attempt has begun and not ended.
  bool active() const;
  bool ended() const;
  /// An attempt may have run without delivering a complete answer.
  bool may_have_run() const;

private:
  bool matches(transport::connection_id from, const protocol::attempt_id& id) const;
  reaction end(outcome_kind kind, std::string detail);
  reaction end_not_run();
  reaction on_attempt_lost(std::string detail);
  reaction request_resume();

  request_traits m_traits;
  std::uint32_t m_attempt_number = 0;
  bool m_attempt_active = false;
  bool m_ended = false;
  bool m_may_have_run = false;
  bool m_head_received = false;
  bool m_data_delivered = false;
  bool m_status_not_ok = false;
  bool m_resume_requested = false;
  host_id m_host;
  host_id m_owner;
  incarnation_id m_incarnation;
  transport::connection_id m_connection = 0;
  std::uint32_t m_next_sequence = 0;
  std::uint64_t m_received_bytes = 0;
  std::uint32_t m_delivered_lines = 0;
  final_outcome m_outcome;
};

} // namespace pollenyoke::routing
