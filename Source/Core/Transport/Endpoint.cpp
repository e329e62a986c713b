#include "Transport/Endpoint.h"

#include <charconv>

#include <arpa/inet.h>

namespace pollenyoke::transport
{

std::string to_string(const endpoint& address)
{
  return address.ip + ":" + std::to_string(address.port);
}

result<endpoint> parse_endpoint(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
  {
    return fail(error_code::malformed, "address must be IP:PORT");
  }
  endpoint address{std::string(text.substr(0, colon)), 0};
  in_addr parsed{};
  if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
  {
    return fail(error_code::malformed, "address must start with a numeric IPv4 address");
  }
  const std::string_view port = text.substr(colon + 1);
  const auto end = std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (end.ec != std::errc{} || end.ptr != port.data() + port.size())
  {
    return fail(error_code::malformed, "port must be a number from 0 to 65535");
  }
  return address;
}

} // namespace pollenyoke::transport
