#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/HttpMessage.h"
#include "Gateway/BackendAttempt.h"
#include "Gateway/EventStream.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RetryRule.h"

namespace pollenyoke::gateway
{

/// A whole request of a caller that the configuration allows.
struct accepted_request
{
  async_io::message_head head;
  std::string body;
  protocol::request_labels labels;
  /// Keeps `route` alive.
  std::shared_ptr<const route_table> table;
  const protocol::route* route = nullptr;
  caller_identity caller;
  std::string service;
  time_point arrived;
};

/// Where the answer goes.
struct answer_sink
{
  /// The head of the server's answer, without the fields that concern one connection; `body_size`
  /// is empty for a stream.
  std::function<void(const async_io::message_head&, std::optional<std::size_t> body_size)> head;
  std::function<void(std::string)> body;
  std::function<void()> finish;
  /// An answer of this system; `retry_after` is empty where the request may have run.
  std::function<void(unsigned status, std::optional<milliseconds> retry_after,
                     std::string_view reason)>
      refuse;
  /// Ends the connection so that the answer does not look complete.
  std::function<void()> cut;
};

/// Answers one request of a caller: chooses servers, repeats where that is allowed, and passes the
/// answer on.
class request_exchange : public std::enable_shared_from_this<request_exchange>
{
public:
  request_exchange(gateway_context& context, accepted_request request, answer_sink sink);

  void start();
  /// The caller has gone.
  void cancel();

private:
  milliseconds time_left() const;
  milliseconds full_time() const;
  choice_request wanted_server();
  void send_next();
  void send_to(const backend_choice& choice);
  void notify_of_send() const;
  std::string write_request(const backend_choice& choice) const;
  void take_head(const async_io::message_head& head);
  void take_body(const std::string& data);
  void attempt_ended(const attempt_result& result);
  void answer_complete();
  void flush_stream_head();
  void restart_silence_timer();
  void server_is_silent();
  /// Moves a stream that engines answer together to one that can alone, if there is one.
  void leave_pipeline();
  void time_is_up();
  void act(retry_action action);
  void refuse(unsigned status, std::optional<milliseconds> retry_after, std::string_view reason);
  void close(std::string_view outcome);
  retry_facts facts(attempt_end last) const;

  gateway_context& m_context;
  accepted_request m_request;
  answer_sink m_sink;
  async_io::timer m_deadline;
  async_io::timer m_silence;
  async_io::timer m_pipeline_timer;
  std::shared_ptr<backend_attempt> m_attempt;
  /// The present server, or the one of the last attempt.
  backend_choice m_server;

  std::set<std::string> m_tried;
  /// Head and body of an answer that is not passed on yet.
  async_io::message_head m_head;
  std::string m_body;
  event_relay m_events;
  /// The present answer is an event stream that is passed on event by event.
  bool m_relaying = false;
  bool m_answer_started = false;
  bool m_ended = false;
  /// The present attempt is given up for a better server, not for a fault.
  bool m_moving = false;
  unsigned m_sends = 0;
  unsigned m_may_have_run = 0;
  attempt_end m_last_end = attempt_end::not_sent;
  std::string m_last_reason;
  std::uint64_t m_minimum_version = 0;
};

} // namespace pollenyoke::gateway
