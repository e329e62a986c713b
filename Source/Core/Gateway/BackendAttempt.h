#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/IdlePool.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/RetryPolicy.h"

namespace pollenyoke::gateway
{

struct attempt_request
{
  transport::endpoint address;
  std::string request_id;
  /// The serialized request, head and body.
  std::string bytes;
  bool is_head = false;
  /// Whether a pooled connection may be used. False for requests that must run at most once: if the
  /// server closes an idle connection at the same time, it is unknown whether the request ran.
  bool may_reuse = false;
  std::chrono::milliseconds connect_timeout{300};
  /// Asked when the connection stands; the request is not sent if it returns false.
  std::function<bool()> may_send = []
  {
    return true;
  };
};

struct attempt_result
{
  attempt_end end = attempt_end::unknown;
  /// The response is complete and valid; `end` is not set.
  bool complete = false;
  /// A reused connection ended before any byte of the response arrived.
  bool stale_connection = false;
  bool unreachable = false;
  /// The server's side ended the connection. Some complete responses end so.
  bool connection_lost = false;
  /// The address belongs to another server than expected, or the server has other weights.
  bool misdirected = false;
  /// Id or address of the pipeline server that the response names as the cause of a refusal.
  std::string at_fault;
  std::string reason;
};

/// One attempt to run a request on one backend server. Verifies that the response is complete,
/// signed and belongs to this request. No callback runs after cancel().
class backend_attempt : public std::enable_shared_from_this<backend_attempt>
{
public:
  struct handlers
  {
    /// Called for each answer that says something about the requests that its server wants, those
    /// to earlier requests included.
    std::function<void(const protocol::server_notice&)> on_notice;
    /// Called with the head of the final (not 1xx) response if the request ran.
    std::function<void(const async_io::message_head&)> on_head;
    /// May end the attempt with cancel() or abandon().
    std::function<void(std::string)> on_body;
    std::function<void(const attempt_result&)> on_end;
  };

  backend_attempt(async_io::event_loop& loop, async_io::idle_pool& pool, attempt_request request,
                  handlers callbacks);

  void start();
  void cancel();
  /// False while the server cannot have received any of the request.
  bool was_sent() const
  {
    return m_sent;
  }
  /// Ends the attempt with an unknown outcome, for example when the server stops sending.
  void abandon(const std::string& reason);

private:
  void send();
  void receive(std::string_view data);
  void process();
  /// Returns false if the attempt ended; true if the head was passed on or the message is skipped.
  bool process_head();
  void take_notice(const async_io::message_head& head);
  void start_next_message();
  void connection_ended(async_io::close_reason reason);
  void complete();
  void end(attempt_result result);

  async_io::event_loop& m_loop;
  async_io::idle_pool& m_pool;
  attempt_request m_request;
  handlers m_handlers;
  async_io::tcp_connection::pointer m_connection;
  async_io::http_parser m_parser;
  bool m_reused = false;
  bool m_data_received = false;
  bool m_sent = false;
  std::chrono::steady_clock::time_point m_sent_at{};
  bool m_head_accepted = false;
  /// The current message is an interim response or belongs to another request.
  bool m_skip_message = false;
  unsigned m_skipped_messages = 0;
  std::size_t m_skipped_bytes = 0;
  bool m_reusable = true;
  bool m_connection_lost = false;
  bool m_ended = false;
};

} // namespace pollenyoke::gateway
