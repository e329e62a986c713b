#include "Routing/EntryDiscovery.h"

#include <algorithm>
#include <tuple>

#include "Common/Rendezvous.h"

namespace pollenyoke::routing
{

namespace
{

// Loads are quantized so that entries of similar load are ordered at random; exact loads would send
// all callers to the same entry until its next heartbeat.
constexpr std::uint32_t load_levels = 4;

std::tuple<int, std::uint32_t, std::uint64_t> rank_of(const entry_address& entry,
                                                      const discovery_origin& from)
{
  int distance = 2;
  if (entry.region == from.region)
  {
    distance = entry.failure_domain == from.failure_domain ? 0 : 1;
  }
  const std::uint32_t load_level =
      entry.capacity == 0 ? 0
                          : std::min(load_levels, entry.in_flight * load_levels / entry.capacity);
  return {distance, load_level, stable_hash(entry.host, from.draw)};
}

} // namespace

std::vector<entry_address> order_entries(std::vector<entry_address> entries,
                                         const discovery_origin& from)
{
  std::sort(entries.begin(), entries.end(),
            [&](const entry_address& a, const entry_address& b)
            { return rank_of(a, from) < rank_of(b, from); });
  if (entries.size() <= max_discovery_entries)
  {
    return entries;
  }
  const auto other_domain =
      std::find_if(entries.begin() + max_discovery_entries, entries.end(),
                   [&](const entry_address& entry)
                   { return entry.failure_domain != entries.front().failure_domain; });
  const bool has_other_domain =
      std::any_of(entries.begin(), entries.begin() + max_discovery_entries,
                  [&](const entry_address& entry)
                  { return entry.failure_domain != entries.front().failure_domain; });
  if (!has_other_domain && other_domain != entries.end())
  {
    std::iter_swap(entries.begin() + max_discovery_entries - 1, other_domain);
  }
  entries.resize(max_discovery_entries);
  return entries;
}

} // namespace pollenyoke::routing
