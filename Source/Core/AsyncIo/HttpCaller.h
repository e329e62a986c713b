#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "AsyncIo/HttpMessage.h"
#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::async_io
{

/// Keeps one connection for calls that have to reach the same process: the first call opens it, and
/// once it has ended each further call fails as `unavailable`. For one call at a time.
class call_session
{
public:
  call_session() = default;
  ~call_session();
  call_session(const call_session&) = delete;
  call_session& operator=(const call_session&) = delete;
  call_session(call_session&&) = delete;
  call_session& operator=(call_session&&) = delete;

private:
  friend class http_caller;

  bool m_opened = false;
  tcp_connection::pointer m_connection;
};

struct http_call
{
  transport::endpoint address;
  std::string method = "GET";
  std::string target;
  std::string content_type;
  std::string body;
  /// Limit for the connection and the first byte of the answer; without transfer_timeout, for the
  /// whole call.
  std::chrono::milliseconds timeout{2000};
  std::chrono::milliseconds connect_timeout{800};
  /// If set, the limit for the rest of an answer that has begun to arrive; `timeout` is the longest
  /// pause within it then.
  std::optional<std::chrono::milliseconds> transfer_timeout;
  /// A longer answer ends the call as malformed.
  std::uint64_t max_body_bytes = 1U << 20U;
  /// What the call is for; received bytes are counted by it. Refers to a string literal.
  std::string_view purpose = "other";
  /// If set, the connection that the call uses.
  std::shared_ptr<call_session> session;
  /// Leaves idle connections alone: they may have gone silent.
  bool new_connection = false;
};

/// Calls servers and keeps idle connections for later calls. A call is never repeated. Error codes:
/// `unavailable`: nothing was sent; `timeout`, `closed`: the call may have been executed. Calls in
/// progress end without their handler being called when the caller is destroyed.
class http_caller
{
public:
  using handler = std::function<void(result<http_response>)>;

  explicit http_caller(event_loop& loop);
  ~http_caller();
  http_caller(const http_caller&) = delete;
  http_caller& operator=(const http_caller&) = delete;
  http_caller(http_caller&&) = delete;
  http_caller& operator=(http_caller&&) = delete;

  void call(http_call call, handler done);
  /// Bytes received so far by purpose, those of failed calls included.
  const std::map<std::string_view, std::uint64_t>& received_bytes() const;

private:
  struct state;
  struct exchange;

  event_loop& m_loop;
  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
