#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pollenyoke::transport
{

struct http_header
{
  std::string name;
  std::string value;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(name, value);
  }
};

using http_headers = std::vector<http_header>;

/// Value of the first header with this name (case-insensitive), or an empty view.
std::string_view find_header(const http_headers& headers, std::string_view name);

struct http_request
{
  std::string method = "GET";
  /// Path without the query.
  std::string path = "/";
  /// Query parameters, decoded.
  http_headers query;
  http_headers headers;
  std::string body;
  /// Servers: false once the caller has closed its connection. Empty in requests of a client.
  std::function<bool()> is_connected;
};

/// Writes a part of a streamed body; false when the peer is gone.
using body_writer = std::function<bool(std::string_view)>;

struct http_response
{
  int status = 200;
  http_headers headers;
  std::string content_type = "application/json";
  std::string body;
  /// When set, produces the body instead of `body` (chunked). Returns true after a complete body;
  /// false breaks the connection, so that the receiver sees an incomplete message.
  std::function<bool(const body_writer&)> stream;
};

/// A JSON answer with one `error` member.
http_response error_response(int status, std::string_view message);

} // namespace pollenyoke::transport
