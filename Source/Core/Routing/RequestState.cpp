#include "Routing/RequestState.h"

#include <algorithm>
#include <utility>

namespace pollenyoke::routing
{

using protocol::failure_kind;
using protocol::refusal_reason;

request_state::request_state(request_traits traits) : m_traits(std::move(traits)) {}

protocol::attempt_id request_state::begin_attempt(const host_id& host, incarnation_id incarnation,
                                                  transport::connection_id connection)
{
  ++m_attempt_number;
  m_attempt_active = true;
  m_head_received = false;
  m_resume_requested = false;
  m_host = host;
  m_incarnation = incarnation;
  m_connection = connection;
  m_next_sequence = 0;
  m_received_bytes = 0;
  return attempt();
}

bool request_state::matches(transport::connection_id from, const protocol::attempt_id& id) const
{
  return !m_ended && m_attempt_active && from == m_connection && id == attempt();
}

reaction request_state::end(outcome_kind kind, std::string detail)
{
  m_attempt_active = false;
  m_ended = true;
  m_outcome.kind = kind;
  m_outcome.detail = std::move(detail);
  return reaction::end;
}

// A refusal of the last attempt does not rule out that an earlier attempt ran.
reaction request_state::end_not_run()
{
  return end(m_may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
             std::move(m_outcome.detail));
}

reaction request_state::on_attempt_lost(std::string detail)
{
  m_attempt_active = false;
  m_may_have_run = true;
  m_outcome.detail = std::move(detail);
  const bool can_continue = !m_data_delivered || (m_traits.resumable && !m_status_not_ok);
  return m_traits.idempotent && can_continue
             ? reaction::retry
             : end(outcome_kind::unknown, std::move(m_outcome.detail));
}

// Only one resume is requested at a time; otherwise every frame after a gap would request one.
reaction request_state::request_resume()
{
  if (m_resume_requested)
  {
    return reaction::none;
  }
  m_resume_requested = true;
  return reaction::resume;
}

reaction request_state::on_refused(transport::connection_id from,
                                   const protocol::request_refused& message)
{
  if (!matches(from, message.id) || m_head_received)
  {
    return reaction::none;
  }
  m_attempt_active = false;
  m_outcome.reason = message.reason;
  m_outcome.retry_after_ms = message.retry_after_ms;
  m_outcome.detail = message.detail;
  switch (message.reason)
  {
  case refusal_reason::not_owner:
    m_owner = message.owner;
    return m_owner.value.empty() ? end_not_run() : reaction::redirect;
  case refusal_reason::expired_deadline:
  case refusal_reason::key_refused:
    return end_not_run();
  case refusal_reason::key_conflict:
  case refusal_reason::suspect:
    return end(outcome_kind::rejected, message.detail);
  default:
    return reaction::retry;
  }
}

reaction request_state::on_head(transport::connection_id from, const protocol::answer_head& message)
{
  if (!matches(from, message.id) || message.incarnation != m_incarnation || m_head_received)
  {
    return reaction::none;
  }
  if (message.version != m_traits.version)
  {
    return on_attempt_lost("the agent answered with another version");
  }
  m_head_received = true;
  m_status_not_ok = message.status != 200;
  return reaction::head;
}

reaction request_state::on_frame(transport::connection_id from,
                                 const protocol::answer_frame& message)
{
  if (!matches(from, message.id) || !m_head_received || message.sequence < m_next_sequence)
  {
    return reaction::none;
  }
  if (message.sequence > m_next_sequence)
  {
    return request_resume();
  }
  m_resume_requested = false;
  m_data_delivered = true;
  ++m_next_sequence;
  m_received_bytes += message.data.size();
  m_delivered_lines +=
      static_cast<std::uint32_t>(std::count(message.data.begin(), message.data.end(), '\n'));
  return reaction::deliver;
}

reaction request_state::on_end(transport::connection_id from, const protocol::answer_end& message)
{
  if (!matches(from, message.id))
  {
    return reaction::none;
  }
  if (!m_head_received || message.frames > m_next_sequence)
  {
    return request_resume();
  }
  if (message.frames != m_next_sequence || message.bytes != m_received_bytes)
  {
    return on_attempt_lost("the answer does not have the stated length");
  }
  m_attempt_active = false;
  m_ended = true;
  m_outcome = {};
  m_outcome.kind = outcome_kind::whole;
  return reaction::whole;
}

reaction request_state::on_failed(transport::connection_id from,
                                  const protocol::answer_failed& message)
{
  if (!matches(from, message.id))
  {
    return reaction::none;
  }
  switch (message.kind)
  {
  case failure_kind::backend_lost:
  case failure_kind::backend_error:
    return on_attempt_lost(message.detail);
  case failure_kind::key_already_ran:
    return end(outcome_kind::already_ran, message.detail);
  default:
    m_may_have_run = true;
    return end(outcome_kind::unknown, message.detail);
  }
}

reaction request_state::on_outcome(transport::connection_id from,
                                   const protocol::outcome_reply& message)
{
  if (!matches(from, message.id) || message.incarnation != m_incarnation)
  {
    return reaction::none;
  }
  switch (message.outcome)
  {
  case protocol::request_outcome::not_run:
    if (m_head_received)
    {
      return reaction::none;
    }
    m_attempt_active = false;
    m_outcome.reason = refusal_reason::overloaded;
    m_outcome.detail = "the request did not reach the agent";
    return reaction::retry;
  case protocol::request_outcome::running:
    return reaction::none;
  default:
    return request_resume();
  }
}

reaction request_state::on_closed(transport::connection_id connection)
{
  if (m_ended || !m_attempt_active || connection != m_connection)
  {
    return reaction::none;
  }
  m_connection = 0;
  return reaction::relink;
}

reaction request_state::on_relinked(transport::connection_id connection, incarnation_id incarnation)
{
  if (m_ended || !m_attempt_active || m_connection != 0)
  {
    return reaction::none;
  }
  if (incarnation != m_incarnation)
  {
    // A restarted process has no record of the attempts that the previous one dispatched.
    return on_attempt_lost("the agent restarted");
  }
  m_connection = connection;
  m_resume_requested = true;
  return reaction::resume;
}

reaction request_state::on_lost(bool sent)
{
  if (m_ended)
  {
    return reaction::none;
  }
  if (sent)
  {
    return on_attempt_lost("the agent cannot be reached");
  }
  m_attempt_active = false;
  return reaction::retry;
}

reaction request_state::on_idle()
{
  if (m_ended || !m_attempt_active || m_connection == 0)
  {
    return reaction::none;
  }
  m_resume_requested = true;
  return reaction::resume;
}

reaction request_state::give_up(refusal_reason reason, std::string detail)
{
  if (m_ended)
  {
    return reaction::none;
  }
  if (m_attempt_active)
  {
    m_may_have_run = true;
  }
  if (m_outcome.detail.empty())
  {
    m_outcome.reason = reason;
    m_outcome.detail = std::move(detail);
  }
  return end_not_run();
}

reaction request_state::on_deadline()
{
  m_outcome.reason = refusal_reason::expired_deadline;
  m_outcome.detail = "the deadline has passed";
  return give_up(refusal_reason::expired_deadline, {});
}

reaction request_state::reject(std::string detail)
{
  return m_ended ? reaction::none : end(outcome_kind::rejected, std::move(detail));
}

protocol::attempt_id request_state::attempt() const
{
  return {m_traits.id, m_attempt_number};
}

const host_id& request_state::host() const
{
  return m_host;
}

transport::connection_id request_state::connection() const
{
  return m_connection;
}

const host_id& request_state::owner() const
{
  return m_owner;
}

const final_outcome& request_state::outcome() const
{
  return m_outcome;
}

std::uint32_t request_state::next_sequence() const
{
  return m_next_sequence;
}

std::uint32_t request_state::lines() const
{
  return m_delivered_lines;
}

bool request_state::active() const
{
  return m_attempt_active;
}

bool request_state::ended() const
{
  return m_ended;
}

bool request_state::may_have_run() const
{
  return m_may_have_run;
}

} // namespace pollenyoke::routing
