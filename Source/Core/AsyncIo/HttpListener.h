#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "AsyncIo/HttpMessage.h"
#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::async_io
{

struct simple_answer
{
  unsigned status = 200;
  std::string content_type;
  std::string body;
  /// Further header fields.
  std::vector<header_field> fields = {};
};

/// Serves small whole requests: readiness checks, lookups and calls of peers.
class http_listener
{
public:
  using responder = std::function<void(simple_answer)>;
  using request_handler = std::function<void(const message_head&, const responder&)>;

  http_listener(event_loop& loop, request_handler handler);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;
  http_listener(http_listener&&) = delete;
  http_listener& operator=(http_listener&&) = delete;

  result<void> listen(const transport::endpoint& address);
  std::uint16_t port() const;

private:
  struct session;
  struct state;

  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
