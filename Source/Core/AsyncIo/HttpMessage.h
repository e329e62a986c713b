#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenyoke::async_io
{

struct header_field
{
  std::string name;
  std::string value;
};

/// The head of a request (method, target) or of a response (status, reason).
struct message_head
{
  std::string method;
  std::string target;
  unsigned status = 0;
  std::string reason;
  /// 11 for HTTP/1.1.
  int version = 11;
  std::vector<header_field> fields;

  /// Value of the first field with this name, in any case; null if there is none.
  const std::string* find(std::string_view name) const;
  std::size_t count(std::string_view name) const;
};

struct http_response
{
  message_head head;
  std::string body;
};

bool equals_ignoring_case(std::string_view a, std::string_view b);
/// True if a comma-separated field value holds the token, in any case.
bool has_token(std::string_view value, std::string_view token);
/// Fields that concern one connection only and are not forwarded.
bool is_connection_field(const message_head& head, std::string_view name);

std::string_view reason_phrase(unsigned status);
/// Parses a decimal number; the whole text must be digits.
bool parse_number(std::string_view text, std::uint64_t& value);
std::string percent_encode(std::string_view text);
/// Decoded value of a query parameter of a request target; empty if it is absent.
std::string query_parameter(std::string_view target, std::string_view name);
std::string_view path_of(std::string_view target);

void append_field(std::string& out, std::string_view name, std::string_view value);
/// A whole response with Content-Length.
std::string make_response(unsigned status, std::string_view content_type, std::string_view body,
                          bool keep_alive, std::string_view extra_fields = {});

} // namespace pollenyoke::async_io
