#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Entry/Forwarder.h"
#include "Routing/RequestState.h"

namespace pollenyoke::entry
{

struct connection_closed
{
};

/// A message of an agent for a request, or the loss of the connection.
struct agent_event
{
  transport::connection_id from = 0;
  std::variant<protocol::request_refused, protocol::answer_head, protocol::answer_frame,
               protocol::answer_end, protocol::answer_failed, protocol::outcome_reply,
               connection_closed>
      payload;

  request_id request() const;
};

enum class session_step
{
  /// head() is set.
  head,
  /// The next part of the answer: the frames received so far, up to a size limit.
  data,
  /// The answer is complete.
  complete,
  /// The answer is missing or incomplete: see outcome().
  failed,
};

/// Runs one request: sends attempts, recovers from lost connections and returns the answer in
/// order. next() blocks and must be called by one thread only; post() may be called by any thread.
class request_session
{
public:
  request_session(forwarder& owner, forward_request request);
  ~request_session();
  request_session(const request_session&) = delete;
  request_session& operator=(const request_session&) = delete;
  request_session(request_session&&) = delete;
  request_session& operator=(request_session&&) = delete;

  request_id id() const;
  session_step next(std::string& data);
  void post(agent_event event);
  /// Ends the request because its caller disconnected or needs no more data; cancels it at the
  /// agent too.
  void cancel();

  const std::optional<protocol::answer_head>& head() const;
  const routing::final_outcome& outcome() const;
  std::uint32_t lines() const;

private:
  using clock = std::chrono::steady_clock;

  std::optional<agent_event> wait_for_event();
  void enqueue_event(agent_event event);
  agent_event pop_event();
  void append_queued_frames(std::string& data);
  routing::reaction apply(const agent_event& event, std::string& data);
  std::optional<session_step> handle_reaction(routing::reaction next_step);
  routing::reaction on_poll_timeout();
  routing::reaction begin_attempt();
  routing::reaction send_attempt(const chosen_agent& agent);
  routing::reaction reconnect();
  bool accept_head();
  void prepare_retry();
  void redirect();
  void resume();
  template <typename Message>
  bool send(const Message& message);
  void release_agent();

  forwarder& m_forwarder;
  forward_request m_request;
  const request_id m_id;
  routing::request_state m_state;
  std::optional<protocol::answer_head> m_head;
  bool m_head_delivered = false;
  std::optional<protocol::answer_head> m_new_head;
  std::set<host_id> m_excluded_agents;
  std::optional<host_id> m_redirect_target;
  unsigned m_redirects = 0;
  bool m_first_attempt = true;
  /// The next attempt does not consume the retry budget.
  bool m_free_retry = false;
  std::optional<host_id> m_counted_agent;
  clock::time_point m_last_event;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<agent_event> m_events;
  std::size_t m_event_bytes = 0;
  bool m_frames_dropped = false;
};

} // namespace pollenyoke::entry
