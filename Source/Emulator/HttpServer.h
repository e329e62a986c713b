#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "AsyncIo/HttpMessage.h"
#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::emulator
{

struct http_request
{
  async_io::message_head head;
  std::string body;
};

/// The answer to one request: whole, as a stream of chunks, or faulty. Calls after the caller has
/// gone have no effect.
class http_reply
{
public:
  virtual ~http_reply() = default;
  http_reply(const http_reply&) = delete;
  http_reply& operator=(const http_reply&) = delete;
  http_reply(http_reply&&) = delete;
  http_reply& operator=(http_reply&&) = delete;

  /// `fields`: header fields, each with its line end.
  virtual void send(unsigned status, std::string_view fields, std::string_view body) = 0;
  virtual void begin_stream(std::string_view fields) = 0;
  virtual void write_chunk(std::string_view data) = 0;
  virtual void end_stream() = 0;
  /// Bytes as they are; the connection is not used for another request.
  virtual void send_raw(std::string bytes) = 0;
  /// Sends `head`, then `filler` until the caller closes.
  virtual void send_endless(std::string head, std::string filler) = 0;
  virtual void reset() = 0;
  /// The connection stays open and carries nothing any more.
  virtual void silence() = 0;
  /// Ends the connection in order behind what was sent.
  virtual void end_connection() = 0;
  /// `handler` is called once when the caller closes before the answer is complete.
  virtual void on_caller_gone(std::function<void()> handler) = 0;
  virtual bool caller_is_gone() const = 0;

protected:
  http_reply() = default;
};

/// What happens to the connections of a server.
enum class connection_fault
{
  none,
  /// New connections are reset, as on a host without the process.
  refused,
  /// Connections, also those that are open, stay open and carry nothing any more.
  silent,
};

/// An HTTP server whose answers can be faulty on purpose.
class http_server
{
public:
  using handler = std::function<void(http_request, std::shared_ptr<http_reply>)>;
  /// Called with the head of a request whose body is not in yet. If it returns true, the request is
  /// answered through the reply, and its body is not read.
  using early_handler =
      std::function<bool(const async_io::message_head&, const std::shared_ptr<http_reply>&)>;

  http_server(async_io::event_loop& loop, handler on_request, early_handler on_head = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;

  result<void> listen(const transport::endpoint& address);
  std::uint16_t port() const;
  void set_fault(connection_fault fault);
  /// While it holds, nothing is read and nothing is sent; afterwards all goes on as before, also
  /// what arrived from callers that have closed since.
  void set_holding(bool holds);
  void reset_connections();
  /// The connections that are open now carry nothing any more; new ones work.
  void silence_open_connections();

private:
  struct state;
  class session;

  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::emulator
