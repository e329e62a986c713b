#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/IdlePool.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/RetryRule.h"

namespace pollenyoke::gateway
{

struct attempt_request
{
  transport::endpoint address;
  std::string request_id;
  /// The whole request as it goes on the wire.
  std::string bytes;
  bool is_head = false;
  /// A kept connection may be used. Not for requests that run at most once: a connection that the
  /// server closes meanwhile leaves open whether the request ran.
  bool may_reuse = false;
  std::chrono::milliseconds connect_timeout{300};
};

struct attempt_result
{
  attempt_end end = attempt_end::unknown;
  /// The answer is complete and valid; `end` is not used.
  bool complete = false;
  /// The connection had served before and ended without any byte of an answer.
  bool stale_connection = false;
  bool unreachable = false;
  /// The server is another one than expected, or its weights are.
  bool misdirected = false;
  /// Server of a pipeline that the answer names as the cause of a refusal, by id or address.
  std::string at_fault;
  std::string reason;
};

/// One send of a request to one backend server. Checks that the answer is the server's whole answer
/// to this request. No callback is called after cancel().
class backend_attempt : public std::enable_shared_from_this<backend_attempt>
{
public:
  struct handlers
  {
    /// Head of an answer that is not an interim one and says that the request ran.
    std::function<void(const async_io::message_head&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void(const attempt_result&)> on_end;
  };

  backend_attempt(async_io::event_loop& loop, async_io::idle_pool& pool, attempt_request request,
                  handlers callbacks);

  void start();
  void cancel();
  /// Ends the attempt as unknown, for example because the server is silent.
  void abandon(const std::string& reason);

private:
  void send();
  void receive(std::string_view data);
  void process();
  /// True if the head is that of the answer and was passed on.
  bool take_head();
  void next_message();
  void connection_ended(async_io::close_reason reason);
  void complete();
  void end(const attempt_result& result);

  async_io::event_loop& m_loop;
  async_io::idle_pool& m_pool;
  attempt_request m_request;
  handlers m_handlers;
  async_io::tcp_connection::pointer m_connection;
  async_io::http_parser m_parser;
  bool m_reused = false;
  bool m_any_data = false;
  bool m_sent = false;
  bool m_head_taken = false;
  /// The present message is not the answer to this request.
  bool m_skipping = false;
  bool m_reusable = true;
  bool m_ended = false;
};

} // namespace pollenyoke::gateway
