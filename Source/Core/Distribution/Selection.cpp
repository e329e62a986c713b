#include "Distribution/Selection.h"

#include <set>
#include <utility>

namespace pollenyoke::distribution
{

namespace
{

// With 16 neighbours per host, a chunk reaches 240 hosts in two to three hops, and regions of up to
// 17 hosts are fully connected.
constexpr std::size_t max_local_neighbours = 16;
// Each pair of neighbours in different regions sends announcements over a link between regions.
// With a store region, upstream_hosts() already selects the sources, and the additional neighbours
// only replace sources that fail.
constexpr std::size_t max_remote_neighbours = 2;
constexpr std::size_t max_remote_neighbours_without_store_region = 8;

std::size_t index_of(std::span<const std::string> sorted, std::string_view name)
{
  const auto found = std::lower_bound(sorted.begin(), sorted.end(), name);
  return found == sorted.end() || *found != name ? sorted.size()
                                                 : static_cast<std::size_t>(found - sorted.begin());
}

std::string chunk_key(std::string_view manifest, std::size_t chunk)
{
  return std::string(manifest) + "#" + std::to_string(chunk);
}

std::uint32_t reverse_bits(std::uint32_t value)
{
  std::uint32_t reversed = 0;
  for (int i = 0; i < 32; ++i)
  {
    reversed = (reversed << 1U) | ((value >> i) & 1U);
  }
  return reversed;
}

} // namespace

bool is_region_path(std::uint32_t chunk, std::string_view region, std::string_view source_region,
                    std::string_view store_region, std::span<const std::string> regions)
{
  std::vector<std::string_view> remote_regions;
  for (const std::string& name : regions)
  {
    if (name != store_region)
    {
      remote_regions.emplace_back(name);
    }
  }
  // Without hosts in the store region, any region may read the chunks from the origin.
  if (remote_regions.size() == regions.size() || region == store_region)
  {
    return true;
  }
  const std::string_view first_region = remote_regions[chunk % remote_regions.size()];
  return source_region == (region == first_region ? store_region : first_region);
}

std::vector<std::uint32_t> assign_fetch_hosts(std::size_t chunks, std::size_t paths,
                                              std::size_t stripes, std::size_t hosts)
{
  paths = std::max<std::size_t>(paths, 1);
  stripes = std::max<std::size_t>(stripes, 1);
  std::vector<std::uint32_t> host_indices(chunks);
  for (std::size_t path = 0; path < paths; ++path)
  {
    std::vector<std::uint32_t> order;
    for (std::size_t chunk = path; chunk < chunks; chunk += paths)
    {
      order.push_back(static_cast<std::uint32_t>(chunk));
    }
    // Holders read their stripes in order. Sorting by reversed bits assigns each host chunks that
    // are spread over the whole stripe, so that all hosts that share a stripe are busy from its
    // start to its end.
    std::sort(
        order.begin(), order.end(),
        [stripes](std::uint32_t a, std::uint32_t b)
        {
          return std::pair(a % stripes, reverse_bits(static_cast<std::uint32_t>(a / stripes))) <
                 std::pair(b % stripes, reverse_bits(static_cast<std::uint32_t>(b / stripes)));
        });
    for (std::size_t i = 0; i < order.size(); ++i)
    {
      host_indices[order[i]] = static_cast<std::uint32_t>(i * hosts / order.size());
    }
  }
  return host_indices;
}

std::vector<std::uint32_t> region_fetch_ranks(const fetch_rank_input& in)
{
  std::vector<std::uint32_t> ranks(in.chunks, std::numeric_limits<std::uint32_t>::max());
  if (in.live.empty())
  {
    return ranks;
  }
  const auto hosts = rendezvous_order(in.manifest, in.hosts);
  const auto host_indices = assign_fetch_hosts(in.chunks, in.paths, in.stripes, hosts.size());
  for (std::size_t chunk = 0; chunk < in.chunks; ++chunk)
  {
    const std::string& primary = in.hosts[hosts[host_indices[chunk]]];
    std::uint32_t rank = index_of(in.live, primary) < in.live.size() ? 1 : 0;
    for (const std::size_t host : rendezvous_order(chunk_key(in.manifest, chunk), in.live))
    {
      if (in.live[host] == in.self)
      {
        ranks[chunk] = in.self == primary ? 0 : rank;
        break;
      }
      rank += in.live[host] == primary ? 0 : 1;
    }
  }
  return ranks;
}

std::vector<std::string> upstream_hosts(const upstream_input& in)
{
  std::map<std::string_view, std::vector<std::string>> by_region;
  std::map<std::string_view, std::vector<std::string>> live;
  for (const target_host& target : in.targets)
  {
    by_region[target.region].push_back(target.host.value);
    if (target.live)
    {
      live[target.region].push_back(target.host.value);
    }
  }
  std::vector<std::string_view> remote_regions;
  for (const auto& [name, hosts] : live)
  {
    if (name != in.store_region)
    {
      remote_regions.push_back(name);
    }
  }
  if (remote_regions.size() == live.size() || in.region == in.store_region || in.holders.empty())
  {
    return {};
  }
  // Caches the host order and the host index per chunk of each region, as both require a sort.
  std::map<std::string_view, std::pair<std::vector<std::size_t>, std::vector<std::uint32_t>>>
      fetch_orders;
  std::set<std::string> chosen;
  for (std::uint32_t chunk = 0; chunk < in.fetch_ranks.size(); ++chunk)
  {
    if (in.fetch_ranks[chunk] != 0)
    {
      continue;
    }
    const std::string_view first_region = remote_regions[chunk % remote_regions.size()];
    if (in.region == first_region)
    {
      chosen.insert(in.holders[chunk % in.holders.size()]);
      continue;
    }
    const auto& hosts = by_region[first_region];
    auto& [order, host_indices] = fetch_orders[first_region];
    if (order.empty())
    {
      order = rendezvous_order(in.manifest, hosts);
      host_indices = assign_fetch_hosts(in.fetch_ranks.size(), remote_regions.size(),
                                        in.holders.size(), hosts.size());
    }
    const std::string& primary = hosts[order[host_indices[chunk]]];
    const bool primary_is_live = index_of(live[first_region], primary) < live[first_region].size();
    const auto next = rendezvous_order(chunk_key(in.manifest, chunk), live[first_region]);
    chosen.insert(primary_is_live ? primary : live[first_region][next.front()]);
  }
  return {chosen.begin(), chosen.end()};
}

std::vector<std::string> choose_neighbours(const neighbour_input& in)
{
  std::map<std::string_view, std::vector<std::string>> by_region;
  bool store_region = false;
  for (const target_host& target : in.targets)
  {
    store_region = store_region || (target.live && target.region == in.store_region);
    if (target.live && target.host.value != in.self)
    {
      by_region[target.region].push_back(target.host.value);
    }
  }
  std::vector<std::string> chosen(in.upstream.begin(), in.upstream.end());
  const std::size_t remote_limit =
      store_region ? max_remote_neighbours : max_remote_neighbours_without_store_region;
  for (const auto& [name, hosts] : by_region)
  {
    const std::size_t region_limit = name == in.region ? max_local_neighbours : remote_limit;
    const auto order = rendezvous_order(in.self, hosts);
    for (std::size_t i = 0; i < std::min(region_limit, order.size()); ++i)
    {
      chosen.push_back(hosts[order[i]]);
    }
  }
  std::sort(chosen.begin(), chosen.end());
  chosen.erase(std::unique(chosen.begin(), chosen.end()), chosen.end());
  return chosen;
}

std::vector<chunk_candidate> rank_candidates(const selection_input& in)
{
  std::vector<chunk_candidate> candidates;
  const std::uint64_t seed = stable_hash(in.self);
  for (std::uint32_t chunk = 0; chunk < in.have->size(); ++chunk)
  {
    if (in.have->test(chunk) || in.requested->test(chunk))
    {
      continue;
    }
    std::uint32_t holders = 0;
    bool available = false;
    for (const source_view& source : in.sources)
    {
      const bool holds = source.have->test(chunk);
      available = available || holds;
      holders += holds && source.region == in.region ? 1 : 0;
    }
    if (available)
    {
      candidates.push_back({chunk, holders, (seed ^ chunk) * 0x9E3779B97F4A7C15ULL});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const chunk_candidate& a, const chunk_candidate& b)
            { return a.holders != b.holders ? a.holders < b.holders : a.tie_break < b.tie_break; });
  return candidates;
}

bool pollenyoke_policy::may_request(const selection_input& in, std::uint32_t chunk,
                                    const source_view& source)
{
  if (source.region == in.region)
  {
    return true;
  }
  const bool overdue = in.overdue != nullptr && in.overdue->test(chunk);
  if (chunk >= in.fetch_ranks.size() || in.fetch_ranks[chunk] > (overdue ? in.allowed_rank : 0))
  {
    return false;
  }
  // The store region fetches only overdue chunks from other regions: its own stripe holders are
  // expected to read all other chunks from the origin.
  if (overdue)
  {
    return true;
  }
  return in.region != in.store_region &&
         is_region_path(chunk, in.region, source.region, in.store_region, in.regions);
}

std::size_t pollenyoke_policy::max_stripes(const goal_parameters& goal)
{
  return goal.max_stripes;
}

std::vector<std::string> pollenyoke_policy::neighbours(const neighbour_input& in)
{
  return choose_neighbours(in);
}

bool tree_policy::may_request(const selection_input& in, std::uint32_t /*chunk*/,
                              const source_view& source)
{
  const std::size_t own_index = index_of(in.hosts, in.self);
  return own_index != 0 && own_index < in.hosts.size() &&
         in.hosts[(own_index - 1) / 2] == source.host;
}

std::size_t tree_policy::max_stripes(const goal_parameters& /*goal*/)
{
  return 1;
}

std::vector<std::string> tree_policy::neighbours(const neighbour_input& in)
{
  for (std::size_t i = 1; i < in.targets.size(); ++i)
  {
    if (in.targets[i].host.value == in.self)
    {
      return {in.targets[(i - 1) / 2].host.value};
    }
  }
  return {};
}

bool origin_only_policy::may_request(const selection_input& /*in*/, std::uint32_t /*chunk*/,
                                     const source_view& /*source*/)
{
  return false;
}

std::size_t origin_only_policy::max_stripes(const goal_parameters& /*goal*/)
{
  return 1;
}

std::vector<std::string> origin_only_policy::neighbours(const neighbour_input& /*in*/)
{
  return {};
}

any_policy make_policy(protocol::distribution_policy policy)
{
  switch (policy)
  {
  case protocol::distribution_policy::tree:
    return tree_policy{};
  case protocol::distribution_policy::origin_only:
    return origin_only_policy{};
  case protocol::distribution_policy::pollenyoke:
    break;
  }
  return pollenyoke_policy{};
}

} // namespace pollenyoke::distribution
