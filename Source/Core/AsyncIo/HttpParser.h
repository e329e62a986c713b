#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "AsyncIo/HttpMessage.h"

namespace pollenyoke::async_io
{

enum class message_kind
{
  request,
  response,
};

enum class parse_failure
{
  none,
  malformed,
  head_too_large,
  body_too_large,
};

struct parse_limits
{
  std::uint32_t head_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
};

/// Parses one HTTP/1 message from pieces of a byte stream.
class http_parser
{
public:
  http_parser(message_kind kind, parse_limits limits);
  ~http_parser();
  http_parser(const http_parser&) = delete;
  http_parser& operator=(const http_parser&) = delete;
  http_parser(http_parser&&) noexcept;
  http_parser& operator=(http_parser&&) noexcept;

  /// The answer to a HEAD request has no body, whatever its length field says.
  void expect_no_body();
  /// Takes the next bytes of the stream. Bytes after the end of the message stay in surplus().
  void feed(std::string_view data);
  /// The peer ended its side in order; completes a body that has no length.
  void feed_end();

  bool has_head() const;
  bool is_complete() const;
  parse_failure failure() const;
  /// True once any byte has arrived.
  bool has_started() const;
  const message_head& head() const;
  /// Body bytes that arrived since the last call.
  std::string take_body();
  /// False if the message ends with the connection or asks to close it.
  bool keep_alive() const;
  std::string take_surplus();
  std::size_t surplus_bytes() const;
  /// Bytes of the message that are held here.
  std::size_t held_bytes() const;

private:
  struct state;
  std::unique_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
