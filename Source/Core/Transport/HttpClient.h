#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

#include "Common/Result.h"
#include "Transport/Endpoint.h"
#include "Transport/Http.h"

namespace pollenyoke::transport
{

struct http_client_options
{
  std::chrono::milliseconds connect_timeout{1000};
  /// Longest wait for the next bytes of an answer.
  std::chrono::milliseconds read_timeout{5000};
  std::chrono::milliseconds write_timeout{5000};
  /// Reuse connections. Off for requests that must not be sent twice.
  bool keep_alive = true;
};

/// Called with status and headers before the body; false cancels.
using head_receiver = std::function<bool(int status, const http_headers& headers)>;
/// Called with each part of the body; false cancels.
using body_receiver = std::function<bool(std::string_view)>;

/// HTTP client for one server. Thread-safe; concurrent requests use separate connections.
/// Errors: `unavailable` when no connection was made (the server has not seen the request),
/// `closed` when the connection broke or timed out afterwards (the server may have seen it),
/// `malformed` when the answer's status is none of a final answer.
class http_client
{
public:
  explicit http_client(endpoint server, http_client_options options = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  http_client(http_client&&) = delete;
  http_client& operator=(http_client&&) = delete;

  result<http_response> send(const http_request& request);
  /// Streams the answer's body. Succeeds with the status only after a complete body.
  result<int> send_streaming(const http_request& request, const head_receiver& on_head,
                             const body_receiver& on_body);

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::transport
