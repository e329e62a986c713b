#pragma once

#include <functional>
#include <memory>
#include <string>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RequestExchange.h"

namespace pollenyoke::gateway
{

/// A connection of a caller: reads requests one after another and writes their answers.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  using ended_handler = std::function<void(const std::shared_ptr<caller_session>&)>;

  caller_session(gateway_context& context, async_io::tcp_connection::pointer connection,
                 ended_handler on_ended);

  void start();
  bool is_busy() const;
  /// Closes the connection if no request is in progress or partly read.
  void close_if_idle();
  void close();

private:
  void receive(std::string_view data);
  void parse();
  /// Checks the head of a request before its body has arrived.
  void check_head();
  void begin_request();
  void reject(unsigned status, std::string_view reason);
  void respond(unsigned status, std::optional<milliseconds> retry_after, std::string_view reason);
  void write_head(const async_io::message_head& head, std::optional<std::size_t> body_size);
  void write_body(std::string data);
  void finish_answer();
  void next_request();
  void restart_idle_timer();
  answer_sink make_sink();
  const protocol::caller_limits& limits() const;
  bool keeps_connection() const;

  gateway_context& m_context;
  async_io::tcp_connection::pointer m_connection;
  ended_handler m_on_ended;
  async_io::timer m_timer;
  async_io::http_parser m_parser;
  std::shared_ptr<const route_table> m_table;
  std::shared_ptr<request_exchange> m_exchange;
  accepted_request m_request;
  std::string m_body;
  std::string m_request_id;
  bool m_head_checked = false;
  /// The answer is decided; the rest of the body is read and dropped.
  bool m_answered_early = false;
  bool m_chunked = false;
  bool m_keep = true;
  bool m_closed = false;
};

} // namespace pollenyoke::gateway
