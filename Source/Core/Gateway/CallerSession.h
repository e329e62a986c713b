#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RequestExchange.h"

namespace pollenyoke::gateway
{

/// Client side of the gateway: reads the requests on one connection in order and writes their
/// responses.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  using ended_handler = std::function<void(const std::shared_ptr<caller_session>&)>;

  caller_session(gateway_context& context, async_io::tcp_connection::pointer connection,
                 ended_handler on_ended);

  void start();
  bool is_busy() const;
  /// Closes the connection unless a request is in progress or partly read, or an answer is not sent
  /// yet.
  void close_if_idle();
  void close();
  /// Ends the request in progress if it waits at a server that its content would crash.
  void end_if_quarantined();
  /// See request_exchange.
  void leave_engines(const std::set<std::string>& engines);
  /// The process ends soon: a request whose answer has not begun gets one now.
  void answer_for_stop();
  /// See async_io::memory_budget.
  async_io::memory_budget::holder_id memory_holder() const;
  /// Bytes of requests and unsent answers that are held for this connection.
  std::size_t held_bytes() const;
  /// Refuses a request whose body is not complete, ends one in progress, and closes the connection.
  void close_for_memory();
  /// Ends the session because the process ends. True if this cuts an answer.
  bool cut();

private:
  void end(std::string_view outcome);
  /// The caller has ended its sending side.
  bool handle_caller_end();
  /// Takes no further request; a last answer may still be on its way.
  bool has_ended() const;
  void receive(std::string_view data);
  void parse();
  /// Validates and routes a request by its head, before the body has arrived.
  void check_head();
  void begin_request();
  void reject(unsigned status, std::string_view reason,
              std::optional<milliseconds> retry_after = std::nullopt);
  void respond(unsigned status, std::optional<milliseconds> retry_after, std::string_view reason);
  /// Called before the head of each response. False, and the session has ended, if the request has
  /// one already.
  bool begin_response(unsigned status);
  void write_head(const async_io::message_head& head, std::optional<std::size_t> body_size);
  void write_body(std::string data);
  void finish_response();
  void next_request();
  /// Ends the session when all that is queued has reached the caller.
  void close_when_sent();
  void restart_idle_timer();
  /// Charges what this connection holds now, and has connections closed if that is too much.
  void charge_memory();
  /// Handles what was read behind the last request.
  void read_surplus();
  /// All queued answers have been passed to the kernel.
  void handle_sent();
  response_sink make_sink();
  const protocol::caller_limits& limits() const;
  bool should_keep_alive() const;
  /// Bytes of a further request have been read.
  bool has_next_request() const;

  gateway_context& m_context;
  async_io::tcp_connection::pointer m_connection;
  ended_handler m_on_ended;
  async_io::timer m_timer;
  async_io::http_parser m_parser;
  std::shared_ptr<const route_table> m_route_table;
  std::shared_ptr<request_exchange> m_exchange;
  accepted_request m_request;
  std::string m_body;
  std::string m_request_id;
  /// The request whose answer was queued last.
  std::string m_answered_id;
  bool m_head_checked = false;
  /// The head of a response to the current request has been queued. What still arrives of the
  /// request is discarded.
  bool m_response_begun = false;
  bool m_chunked = false;
  bool m_keep_alive = true;
  /// Bytes of the next request that have been read and wait to be parsed.
  std::string m_surplus;
  /// Further requests wait until the queued answers have been sent.
  bool m_answers_unread = false;
  bool m_closing = false;
  bool m_closed = false;
  async_io::memory_budget::holder_id m_memory_holder;
  /// Body of the request in progress; its exchange holds it.
  std::size_t m_request_bytes = 0;
};

} // namespace pollenyoke::gateway
