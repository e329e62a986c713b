#include "Entry/RequestSession.h"

#include <algorithm>
#include <utility>

#include "Protocol/Codec.h"

namespace pollenyoke::entry
{

using protocol::refusal_reason;
using routing::reaction;
using routing::suspect_verdict;

namespace
{

// Limit of queued frames for a slow caller; frames beyond it are dropped and requested again later.
constexpr std::size_t max_queued_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_batch_bytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds poll_interval{100};
constexpr std::chrono::milliseconds connect_timeout{1000};
// The entry queries the agent for the outcome when no event arrives for this time.
constexpr std::chrono::seconds outcome_query_interval{5};
// The agent's own refusal of an expired request should arrive within this time after the deadline.
constexpr std::chrono::milliseconds deadline_grace{300};
// How long the entry tries to reconnect and query the outcome of a non-idempotent request after its
// connection was lost. An agent that takes longer to come back is treated as lost.
constexpr std::chrono::seconds recovery_timeout{10};
constexpr unsigned max_redirects = 3;
constexpr std::size_t max_attempts = 8;

std::uint32_t remaining_ms(std::chrono::steady_clock::time_point deadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
}

routing::request_traits traits_of(const forward_request& request)
{
  return {.id = request.open.id.request,
          .idempotent = request.open.idempotent,
          .resumable = !request.open.model.empty(),
          .version = request.open.version};
}

} // namespace

request_id agent_event::request() const
{
  return std::visit(
      [](const auto& message) -> request_id
      {
        if constexpr (std::is_same_v<std::decay_t<decltype(message)>, connection_closed>)
        {
          return {};
        }
        else
        {
          return message.id.request;
        }
      },
      payload);
}

request_session::request_session(forwarder& owner, forward_request request)
    : m_forwarder(owner), m_request(std::move(request)), m_id(m_request.open.id.request),
      m_state(traits_of(m_request)), m_last_event(clock::now())
{
}

request_session::~request_session()
{
  cancel();
  m_forwarder.remove(m_id);
}

request_id request_session::id() const
{
  return m_id;
}

const std::optional<protocol::answer_head>& request_session::head() const
{
  return m_head;
}

const routing::final_outcome& request_session::outcome() const
{
  return m_state.outcome();
}

std::uint32_t request_session::lines() const
{
  return m_state.lines();
}

void request_session::post(agent_event event)
{
  {
    const std::lock_guard lock(m_mutex);
    enqueue_event(std::move(event));
  }
  // Notify after unlocking, because the woken thread locks the mutex at once.
  m_changed.notify_one();
}

// Called with m_mutex held.
void request_session::enqueue_event(agent_event event)
{
  if (const auto* frame = std::get_if<protocol::answer_frame>(&event.payload))
  {
    if (m_event_bytes + frame->data.size() > max_queued_bytes && m_event_bytes > 0)
    {
      m_frames_dropped = true;
      return;
    }
    m_event_bytes += frame->data.size();
  }
  m_events.push_back(std::move(event));
}

std::optional<agent_event> request_session::wait_for_event()
{
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, poll_interval, [this] { return !m_events.empty() || m_frames_dropped; });
  return m_events.empty() ? std::nullopt : std::optional(pop_event());
}

// Called with m_mutex held and m_events not empty.
agent_event request_session::pop_event()
{
  agent_event event = std::move(m_events.front());
  m_events.pop_front();
  if (const auto* frame = std::get_if<protocol::answer_frame>(&event.payload))
  {
    m_event_bytes -= frame->data.size();
  }
  return event;
}

// Combines the tokens that arrived during the previous write into one write to the caller.
void request_session::append_queued_frames(std::string& data)
{
  while (data.size() < max_batch_bytes)
  {
    std::optional<agent_event> event;
    {
      const std::lock_guard lock(m_mutex);
      if (m_events.empty() ||
          !std::holds_alternative<protocol::answer_frame>(m_events.front().payload))
      {
        return;
      }
      event = pop_event();
    }
    if (handle_reaction(apply(*event, data)) != session_step::data)
    {
      return;
    }
  }
}

template <typename Message>
bool request_session::send(const Message& message)
{
  return m_forwarder.m_environment.send(m_state.connection(), protocol::encode(message));
}

void request_session::cancel()
{
  if (!m_state.ended() && m_state.active() && m_state.connection() != 0)
  {
    send(protocol::cancel{.id = m_state.attempt()});
    m_forwarder.m_metrics.add("entry_requests_cancelled");
  }
  m_state.give_up(refusal_reason::overloaded, "the caller is gone");
  release_agent();
}

void request_session::release_agent()
{
  if (m_counted_agent)
  {
    m_forwarder.adjust_in_flight(*m_counted_agent, -1);
    m_counted_agent.reset();
  }
}

session_step request_session::next(std::string& data)
{
  data.clear();
  while (!m_state.ended())
  {
    reaction next_step = reaction::none;
    if (!m_state.active())
    {
      next_step = begin_attempt();
    }
    else if (const auto event = wait_for_event())
    {
      m_last_event = clock::now();
      next_step = apply(*event, data);
    }
    else
    {
      next_step = on_poll_timeout();
    }
    if (const auto step = handle_reaction(next_step))
    {
      if (*step == session_step::data)
      {
        append_queued_frames(data);
      }
      return *step;
    }
  }
  release_agent();
  return m_state.outcome().kind == routing::outcome_kind::whole ? session_step::complete
                                                                : session_step::failed;
}

reaction request_session::apply(const agent_event& event, std::string& data)
{
  const auto visitor = [&](const auto& message) -> reaction
  {
    using type = std::decay_t<decltype(message)>;
    if constexpr (std::is_same_v<type, protocol::request_refused>)
    {
      return m_state.on_refused(event.from, message);
    }
    else if constexpr (std::is_same_v<type, protocol::answer_head>)
    {
      m_new_head = message;
      return m_state.on_head(event.from, message);
    }
    else if constexpr (std::is_same_v<type, protocol::answer_frame>)
    {
      const reaction next_step = m_state.on_frame(event.from, message);
      if (next_step == reaction::deliver)
      {
        data += message.data;
      }
      return next_step;
    }
    else if constexpr (std::is_same_v<type, protocol::answer_end>)
    {
      return m_state.on_end(event.from, message);
    }
    else if constexpr (std::is_same_v<type, protocol::answer_failed>)
    {
      return m_state.on_failed(event.from, message);
    }
    else if constexpr (std::is_same_v<type, protocol::outcome_reply>)
    {
      return m_state.on_outcome(event.from, message);
    }
    else
    {
      return m_state.on_closed(event.from);
    }
  };
  return std::visit(visitor, event.payload);
}

std::optional<session_step> request_session::handle_reaction(reaction next_step)
{
  switch (next_step)
  {
  case reaction::head:
    return accept_head() ? std::optional(session_step::head) : std::nullopt;
  case reaction::deliver:
    return session_step::data;
  case reaction::whole:
    send(protocol::answer_ack{.id = m_state.attempt()});
    m_forwarder.m_suspects.clear(m_request.open.body_digest);
    return std::nullopt;
  case reaction::retry:
    prepare_retry();
    return std::nullopt;
  case reaction::redirect:
    redirect();
    return std::nullopt;
  case reaction::relink:
    return handle_reaction(reconnect());
  case reaction::resume:
    resume();
    return std::nullopt;
  case reaction::none:
  case reaction::end:
    break;
  }
  return std::nullopt;
}

// Called when no event arrived within poll_interval.
reaction request_session::on_poll_timeout()
{
  const auto now = clock::now();
  {
    const std::lock_guard lock(m_mutex);
    if (m_frames_dropped)
    {
      m_frames_dropped = false;
      return m_state.on_idle();
    }
  }
  if (m_forwarder.m_stopping || (m_request.is_connected && !m_request.is_connected()))
  {
    cancel();
    return reaction::end;
  }
  if (now > m_request.deadline + deadline_grace)
  {
    send(protocol::cancel{.id = m_state.attempt()});
    return m_state.on_deadline();
  }
  if (now - m_last_event > outcome_query_interval)
  {
    m_last_event = now;
    return m_state.on_idle();
  }
  return reaction::none;
}

bool request_session::accept_head()
{
  m_forwarder.record_load(m_state.host(), m_new_head->load_permille);
  if (!m_head_delivered)
  {
    m_head = std::move(m_new_head);
    m_head_delivered = true;
    return true;
  }
  // A stream that resumes on another engine must have the same status there.
  if (m_new_head->status != m_head->status)
  {
    send(protocol::cancel{.id = m_state.attempt()});
    m_state.give_up(refusal_reason::not_serving, "the stream could not be resumed");
  }
  return false;
}

void request_session::prepare_retry()
{
  release_agent();
  m_excluded_agents.insert(m_state.host());
  m_forwarder.m_metrics.add("entry_attempts_ended_early");
}

void request_session::redirect()
{
  release_agent();
  m_forwarder.record_key_owner(m_request.open.service, m_request.open.key, m_state.owner());
  m_redirect_target = m_state.owner();
  m_free_retry = true;
  if (++m_redirects > max_redirects)
  {
    m_state.give_up(refusal_reason::not_owner, "the owner of the key is not known");
  }
}

void request_session::resume()
{
  send(protocol::outcome_query{.id = m_state.attempt()});
  send(protocol::resume_answer{.id = m_state.attempt(), .next_sequence = m_state.next_sequence()});
}

reaction request_session::begin_attempt()
{
  if (clock::now() > m_request.deadline)
  {
    return m_state.on_deadline();
  }
  if (m_forwarder.m_stopping || (m_first_attempt && !m_forwarder.outlasts(m_request)))
  {
    return m_state.give_up(refusal_reason::leaving, "the entry is stopping");
  }
  const suspect_verdict verdict = m_forwarder.m_suspects.verdict(m_request.open.body_digest);
  if (verdict == suspect_verdict::refuse)
  {
    m_forwarder.m_metrics.add("entry_suspects_refused");
    return m_state.reject("the request crashed backend servers");
  }
  // Requests that ran beside a crashing one are retried regardless of the retry budget, because
  // they did not cause the crash.
  const bool free = m_first_attempt || m_free_retry || verdict == suspect_verdict::run_alone;
  if (m_state.attempt().attempt >= max_attempts || (!free && !m_forwarder.may_retry()))
  {
    return m_state.give_up(refusal_reason::overloaded, "no further retry is allowed");
  }
  m_first_attempt = false;
  m_free_retry = false;
  std::optional<chosen_agent> agent;
  if (m_redirect_target)
  {
    agent = m_forwarder.find_agent(*m_redirect_target);
    m_redirect_target.reset();
  }
  else
  {
    agent = m_forwarder.choose_agent(m_request, m_excluded_agents);
  }
  if (!agent)
  {
    return m_state.give_up(refusal_reason::not_serving, "no live agent can run the request");
  }
  m_request.open.run_alone = verdict == suspect_verdict::run_alone;
  return send_attempt(*agent);
}

reaction request_session::send_attempt(const chosen_agent& agent)
{
  const auto link = m_forwarder.m_links.acquire(agent.host, agent.address, connect_timeout);
  if (!link)
  {
    // Nothing was sent, so trying another agent does not consume the retry budget.
    m_excluded_agents.insert(agent.host);
    m_free_retry = true;
    return reaction::none;
  }
  m_request.open.id = m_state.begin_attempt(agent.host, link->incarnation, link->connection);
  m_request.open.resume_from = m_state.lines();
  m_request.open.deadline_ms = remaining_ms(m_request.deadline);
  m_counted_agent = agent.host;
  m_forwarder.adjust_in_flight(agent.host, 1);
  m_last_event = clock::now();
  if (!send(m_request.open))
  {
    m_free_retry = true;
    return m_state.on_lost(false);
  }
  return reaction::none;
}

reaction request_session::reconnect()
{
  m_forwarder.m_metrics.add("entry_connections_lost_with_request");
  const auto until = std::min(m_request.deadline, clock::now() + recovery_timeout);
  do
  {
    const auto agent = m_forwarder.find_agent(m_state.host());
    if (!agent)
    {
      break;
    }
    if (const auto link = m_forwarder.m_links.acquire(agent->host, agent->address, connect_timeout))
    {
      return m_state.on_relinked(link->connection, link->incarnation);
    }
    if (m_request.open.idempotent)
    {
      break;
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, poll_interval);
  } while (clock::now() < until);
  return m_state.on_lost(true);
}

} // namespace pollenyoke::entry
