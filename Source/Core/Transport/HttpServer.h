#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "Common/Result.h"
#include "Transport/Endpoint.h"
#include "Transport/Http.h"

namespace pollenyoke::transport
{

struct http_server_options
{
  /// Port 0 picks a free port.
  endpoint listen;
  /// One thread serves one connection; the pool grows up to this number.
  std::size_t max_threads = 256;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  /// A connection that sends nothing for this long is closed.
  std::chrono::milliseconds read_timeout{5000};
  std::chrono::milliseconds write_timeout{5000};
  std::chrono::milliseconds idle_timeout{2000};
  /// A request that has not arrived completely within this time is cut off.
  std::chrono::milliseconds request_timeout{10000};
  std::size_t max_header_bytes = std::size_t{64} * 1024;
  /// Accepted connections that wait for a thread; further ones are answered 503 and closed.
  std::size_t max_waiting = 1024;
};

/// Handles one request; called on a server thread and may block.
using http_handler = std::function<http_response(const http_request&)>;

class http_server
{
public:
  static result<std::unique_ptr<http_server>> start(const http_server_options& options,
                                                    http_handler handler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;

  endpoint local_endpoint() const;
  /// Stops accepting and waits for running requests.
  void stop();

private:
  class implementation;
  explicit http_server(std::unique_ptr<implementation> impl);
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::transport
