#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Common/Result.h"

namespace pollenyoke::transport
{

/// A numeric IPv4 address and a port.
struct endpoint
{
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(ip, port);
  }
};

std::string to_string(const endpoint& address);
/// Parses `a.b.c.d:port`; host names are refused.
result<endpoint> parse_endpoint(std::string_view text);

} // namespace pollenyoke::transport

template <>
struct std::hash<pollenyoke::transport::endpoint>
{
  std::size_t operator()(const pollenyoke::transport::endpoint& address) const noexcept
  {
    return std::hash<std::string>{}(address.ip) * 65537U + address.port;
  }
};
