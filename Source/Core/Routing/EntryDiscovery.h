#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Transport/Endpoint.h"

namespace pollenyoke::routing
{

/// An entry that a discovery response may list.
struct entry_address
{
  std::string host;
  std::string region;
  std::string failure_domain;
  transport::endpoint http;
  std::uint32_t in_flight = 0;
  std::uint32_t capacity = 0;
};

/// Location of the entry that handles a discovery request.
struct discovery_origin
{
  std::string_view region;
  std::string_view failure_domain;
  /// Random per response; spreads callers over entries of equal rank.
  std::uint64_t draw = 0;
};

constexpr std::size_t max_discovery_entries = 8;

/// Returns the entries for one discovery response, ordered by distance and then by load. If they
/// would all be in one failure domain, the last is replaced by an entry of another domain, so that
/// a caller can still reach an entry when that domain fails.
std::vector<entry_address> order_entries(std::vector<entry_address> entries,
                                         const discovery_origin& from);

} // namespace pollenyoke::routing
