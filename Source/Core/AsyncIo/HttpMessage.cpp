#include "AsyncIo/HttpMessage.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace pollenyoke::async_io
{

namespace
{

char lower(char c)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trim(std::string_view text)
{
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
  {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string percent_decode(std::string_view text)
{
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i)
  {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr ==
            text.data() + i + 3)
    {
      out.push_back(static_cast<char>(value));
      i += 2;
      continue;
    }
    out.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return out;
}

} // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

const std::string* message_head::find(std::string_view name) const
{
  for (const header_field& field : fields)
  {
    if (equals_ignoring_case(field.name, name))
    {
      return &field.value;
    }
  }
  return nullptr;
}

std::size_t message_head::count(std::string_view name) const
{
  return static_cast<std::size_t>(std::count_if(
      fields.begin(), fields.end(),
      [name](const header_field& field) { return equals_ignoring_case(field.name, name); }));
}

bool has_token(std::string_view value, std::string_view token)
{
  while (!value.empty())
  {
    const auto comma = value.find(',');
    if (equals_ignoring_case(trim(value.substr(0, comma)), token))
    {
      return true;
    }
    value = comma == std::string_view::npos ? std::string_view{} : value.substr(comma + 1);
  }
  return false;
}

bool is_connection_field(const message_head& head, std::string_view name)
{
  constexpr std::array<std::string_view, 9> names = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  if (std::any_of(names.begin(), names.end(),
                  [name](std::string_view fixed) { return equals_ignoring_case(fixed, name); }))
  {
    return true;
  }
  return std::any_of(head.fields.begin(), head.fields.end(),
                     [name](const header_field& field) {
                       return equals_ignoring_case(field.name, "connection") &&
                              has_token(field.value, name);
                     });
}

std::string_view reason_phrase(unsigned status)
{
  switch (status)
  {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 405:
    return "Method Not Allowed";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

bool parse_number(std::string_view text, std::uint64_t& value)
{
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
  return code == std::errc{} && end == text.data() + text.size() && !text.empty();
}

std::string percent_encode(std::string_view text)
{
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text)
  {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
    {
      out.push_back(c);
      continue;
    }
    out.push_back('%');
    out.push_back(digits[byte >> 4U]);
    out.push_back(digits[byte & 15U]);
  }
  return out;
}

std::string_view path_of(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name)
{
  const auto question = target.find('?');
  std::string_view query =
      question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
  while (!query.empty())
  {
    const auto end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos)
    {
      return percent_decode(pair.substr(equals + 1));
    }
    query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
  }
  return {};
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
  out.append(name).append(": ").append(value).append("\r\n");
}

std::string make_response(unsigned status, std::string_view content_type, std::string_view body,
                          bool keep_alive, std::string_view extra_fields)
{
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason_phrase(status)).append("\r\n");
  if (!content_type.empty())
  {
    append_field(out, "Content-Type", content_type);
  }
  append_field(out, "Content-Length", std::to_string(body.size()));
  if (!keep_alive)
  {
    append_field(out, "Connection", "close");
  }
  out.append(extra_fields).append("\r\n").append(body);
  return out;
}

} // namespace pollenyoke::async_io
