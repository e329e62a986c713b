#include "Agent/RequestRunner.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Agent/RequestRunnerImpl.h"
#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::agent
{

using protocol::message_type;
using protocol::refusal_reason;

namespace
{

/// Decodes a frame and passes it on; false for malformed input.
template <typename Message, typename Handler>
bool with_message(const transport::frame& from, const Handler& handler)
{
  auto message = protocol::decode<Message>(from);
  if (message)
  {
    handler(std::move(*message));
  }
  else
  {
    log_warning(log_category::requests, "malformed request message",
                {{"type", static_cast<int>(from.type)}, {"reason", message.error().message}});
  }
  return message.has_value();
}

} // namespace

bool request_runner::implementation::handle_frame(transport::connection_id from,
                                                  const transport::frame& message)
{
  const std::optional<bool> handled = dispatch(from, message);
  if (handled && !*handled)
  {
    m_environment.close(from);
  }
  return handled.has_value();
}

std::optional<bool> request_runner::implementation::dispatch(transport::connection_id from,
                                                             const transport::frame& message)
{
  switch (protocol::type_of(message))
  {
  case message_type::request_open:
    return with_message<protocol::request_open>(message, [&](protocol::request_open m)
                                                { open(from, std::move(m)); });
  case message_type::cancel:
    return with_message<protocol::cancel>(message,
                                          [&](const protocol::cancel& m) { cancel(m.id); });
  case message_type::outcome_query:
    return with_message<protocol::outcome_query>(message, [&](const protocol::outcome_query& m)
                                                 { query(from, m.id); });
  case message_type::resume_answer:
    return with_message<protocol::resume_answer>(message, [&](const protocol::resume_answer& m)
                                                 { resume(from, m); });
  case message_type::answer_ack:
    return with_message<protocol::answer_ack>(message, [&](const protocol::answer_ack& m)
                                              { acknowledge(m.id); });
  default:
    return std::nullopt;
  }
}

void request_runner::implementation::open(transport::connection_id from,
                                          protocol::request_open message)
{
  attempt_ptr added;
  const bool serving = is_serving(message);
  {
    const std::lock_guard lock(m_mutex);
    m_connections.insert(from);
    if (const attempt_ptr known = m_attempts.find(message.id))
    {
      // A second copy, or the first one after its refusal was recorded.
      if (known->phase == attempt_phase::refused)
      {
        known->connection = from;
        send(known, known->refusal);
      }
      return;
    }
    const auto deadline = message.deadline_ms == 0
                              ? clock::time_point::max()
                              : clock::now() + std::chrono::milliseconds(message.deadline_ms);
    const auto refusal = refuse_at_once(message, serving);
    added = m_attempts.add(std::move(message), from, deadline);
    if (refusal)
    {
      refuse(added, *refusal, "");
      return;
    }
    if (added->open.path != protocol::mint_key_path && added->open.key.empty())
    {
      enqueue(added);
      return;
    }
    added->phase = attempt_phase::deciding;
    ++m_deciding;
  }
  decide_key(added);
}

bool request_runner::implementation::is_serving(const protocol::request_open& message) const
{
  return !m_environment.is_serving || m_environment.is_serving(message.model, message.version);
}

std::optional<refusal_reason>
request_runner::implementation::refuse_at_once(const protocol::request_open& message,
                                               bool serving) const
{
  if (m_leaving || m_stopping)
  {
    return refusal_reason::leaving;
  }
  if (message.service != m_settings.service && !message.service.empty())
  {
    return refusal_reason::not_serving;
  }
  if (!serving)
  {
    return refusal_reason::not_serving;
  }
  if (!message.key.empty() && !m_environment.begin_key)
  {
    return refusal_reason::not_serving;
  }
  if (m_deciding >= m_settings.requests.queue + m_slots)
  {
    return refusal_reason::overloaded;
  }
  return std::nullopt;
}

void request_runner::implementation::decide_key(const attempt_ptr& which)
{
  if (which->open.path == protocol::mint_key_path)
  {
    keys::key_decision decision;
    const std::string key = m_environment.mint_key ? m_environment.mint_key() : std::string();
    if (key.empty())
    {
      decision.reason = refusal_reason::log_unavailable;
    }
    else
    {
      decision.action = keys::key_action::replay;
      decision.response = {200, {}, "application/json", nlohmann::json{{"key", key}}.dump()};
    }
    on_key_decision(which, std::move(decision));
    return;
  }
  m_environment.begin_key(which->open.key, which->open.body_digest,
                          [weak = weak_from_this(), which](keys::key_decision decision)
                          {
                            if (const auto self = weak.lock())
                            {
                              self->on_key_decision(which, std::move(decision));
                            }
                          });
}

void request_runner::implementation::on_key_decision(const attempt_ptr& which,
                                                     keys::key_decision decision)
{
  const std::lock_guard lock(m_mutex);
  --m_deciding;
  switch (decision.action)
  {
  case keys::key_action::run:
    which->phase = attempt_phase::waiting;
    if (which->cancelled || m_stopping)
    {
      refuse(which, refusal_reason::leaving, "cancelled before it was dispatched");
    }
    else
    {
      enqueue(which);
    }
    break;
  case keys::key_action::replay:
    answer_at_once(which, std::move(decision.response));
    break;
  case keys::key_action::refuse:
    refuse(which, decision.reason, "", decision.owner);
    break;
  case keys::key_action::unknown:
    fail_attempt(which, decision.failure, "the outcome under this key is not known");
    break;
  }
}

void request_runner::implementation::cancel(const protocol::attempt_id& id)
{
  const std::lock_guard lock(m_mutex);
  const attempt_ptr which = m_attempts.find(id);
  if (which == nullptr || which->ended_phase())
  {
    return;
  }
  m_metrics.add("agent_requests_cancelled");
  which->cancelled = true;
  if (which->phase == attempt_phase::waiting)
  {
    m_queue.remove(id);
    std::erase(m_alone, which);
    refuse(which, refusal_reason::overloaded, "cancelled before it was dispatched");
  }
  else if (which->phase == attempt_phase::running)
  {
    m_cancellations.push_back(id.request);
    m_cancel_available.notify_one();
  }
}

void request_runner::implementation::query(transport::connection_id from,
                                           const protocol::attempt_id& id)
{
  const std::lock_guard lock(m_mutex);
  m_connections.insert(from);
  protocol::outcome_reply reply{.id = id, .incarnation = m_incarnation};
  // Entries send a query without an id on a new connection to learn the incarnation behind it.
  if (id != protocol::attempt_id{})
  {
    attempt_ptr which = m_attempts.find(id);
    if (which == nullptr)
    {
      which = m_attempts.add({.id = id}, from, clock::time_point::max());
      m_attempts.refuse(which, {.id = id, .reason = refusal_reason::overloaded}, clock::now());
      m_metrics.add("agent_refusals_recorded_for_queries");
    }
    switch (which->phase)
    {
    case attempt_phase::refused:
      reply.outcome = protocol::request_outcome::not_run;
      break;
    case attempt_phase::answered:
      reply.outcome = protocol::request_outcome::answered;
      break;
    case attempt_phase::failed:
      reply.outcome = protocol::request_outcome::failed;
      break;
    default:
      reply.outcome = protocol::request_outcome::running;
      break;
    }
  }
  m_environment.send(from, protocol::encode(reply));
}

void request_runner::implementation::resume(transport::connection_id from,
                                            const protocol::resume_answer& message)
{
  const std::lock_guard lock(m_mutex);
  const attempt_ptr which = m_attempts.find(message.id);
  if (which == nullptr)
  {
    return;
  }
  which->connection = from;
  which->abandoned.reset();
  if (which->phase == attempt_phase::refused)
  {
    send(which, which->refusal);
    return;
  }
  if (message.next_sequence < which->first_kept)
  {
    send(which, protocol::answer_failed{.id = message.id,
                                        .kind = protocol::failure_kind::backend_error,
                                        .detail = "the answer is no longer held"});
    return;
  }
  if (which->head)
  {
    send(which, *which->head);
  }
  for (std::uint32_t n = message.next_sequence; n < which->next_sequence(); ++n)
  {
    send(which, protocol::answer_frame{
                    .id = message.id, .sequence = n, .data = which->frames[n - which->first_kept]});
  }
  send_end(which);
}

void request_runner::implementation::acknowledge(const protocol::attempt_id& id)
{
  const std::lock_guard lock(m_mutex);
  if (const attempt_ptr which = m_attempts.find(id))
  {
    m_attempts.acknowledge(which);
    m_changed.notify_all();
  }
}

void request_runner::implementation::handle_closed(transport::connection_id connection)
{
  const std::lock_guard lock(m_mutex);
  m_connections.erase(connection);
  for (const attempt_ptr& which : m_attempts.open_attempts())
  {
    if (which->connection == connection)
    {
      which->connection = 0;
      which->abandoned = clock::now();
    }
  }
}

void request_runner::implementation::set_leaving(bool leaving)
{
  const std::lock_guard lock(m_mutex);
  m_leaving = leaving;
}

bool request_runner::implementation::drain(std::chrono::milliseconds patience)
{
  std::unique_lock lock(m_mutex);
  return m_changed.wait_for(lock, patience, [this] { return m_attempts.idle(); });
}

std::uint32_t request_runner::implementation::in_flight() const
{
  const std::lock_guard lock(m_mutex);
  return load();
}

std::uint32_t request_runner::implementation::capacity() const
{
  return m_slots;
}

nlohmann::json request_runner::implementation::dump() const
{
  const std::lock_guard lock(m_mutex);
  return {{"slots", m_slots},
          {"running", m_running},
          {"waiting", m_queue.size() + m_alone.size()},
          {"deciding", m_deciding},
          {"attempts", m_attempts.size()},
          {"kept_bytes", m_attempts.kept_bytes()},
          {"suspects", m_suspects.size()},
          {"crashes", m_crash_epoch},
          {"leaving", m_leaving}};
}

request_runner::request_runner(const protocol::settings& with, incarnation_id incarnation,
                               runner_environment environment, metrics_registry& metrics)
    : m_impl(std::make_shared<implementation>(with, incarnation, std::move(environment), metrics))
{
  m_impl->start();
}

request_runner::~request_runner()
{
  stop();
}

bool request_runner::handle_frame(transport::connection_id from, const transport::frame& message)
{
  return m_impl->handle_frame(from, message);
}

void request_runner::handle_closed(transport::connection_id connection)
{
  m_impl->handle_closed(connection);
}

void request_runner::set_leaving(bool leaving)
{
  m_impl->set_leaving(leaving);
}

bool request_runner::drain(std::chrono::milliseconds patience)
{
  return m_impl->drain(patience);
}

std::uint32_t request_runner::in_flight() const
{
  return m_impl->in_flight();
}

std::uint32_t request_runner::capacity() const
{
  return m_impl->capacity();
}

void request_runner::stop()
{
  m_impl->stop();
}

nlohmann::json request_runner::dump() const
{
  return m_impl->dump();
}

} // namespace pollenyoke::agent
