#include "Distribution/Placement.h"

#include <algorithm>
#include <set>

#include "Common/Rendezvous.h"

namespace pollenyoke::distribution
{

goal_parameters parameters_for(protocol::distribution_goal goal)
{
  if (goal == protocol::distribution_goal::time)
  {
    return {.max_stripes = 8, .parallel_reads = 2, .stall_factor = 1};
  }
  return {.max_stripes = 4, .parallel_reads = 2, .stall_factor = 4};
}

std::string rank_key(const protocol::release_key& release)
{
  return std::to_string(release.note.value) + "/" + release.model;
}

std::size_t rank_of(std::string_view key, std::span<const std::string> hosts, std::string_view self)
{
  if (std::find(hosts.begin(), hosts.end(), self) == hosts.end())
  {
    return hosts.size();
  }
  const std::uint64_t own_score = rendezvous_score(key, self);
  return static_cast<std::size_t>(
      std::count_if(hosts.begin(), hosts.end(),
                    [&](const std::string& host)
                    {
                      const std::uint64_t score = rendezvous_score(key, host);
                      return host != self && (score != own_score ? score > own_score
                                                                 : std::string_view(host) < self);
                    }));
}

std::vector<std::string> live_names(std::span<const target_host> targets)
{
  std::vector<std::string> names;
  for (const auto& target : targets)
  {
    if (target.live)
    {
      names.push_back(target.host.value);
    }
  }
  return names;
}

std::vector<target_host> choose_targets(const protocol::release_key& release,
                                        std::uint32_t replicas, std::vector<target_host> hosts)
{
  const auto by_host = [](const target_host& a, const target_host& b)
  {
    return a.host < b.host;
  };
  std::sort(hosts.begin(), hosts.end(), by_host);
  if (replicas == 0 || replicas >= hosts.size())
  {
    return hosts;
  }
  // Ranks by model only, so that consecutive versions go to the same hosts and can reuse chunks.
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (const target_host& host : hosts)
  {
    names.push_back(host.host.value);
  }
  std::vector<target_host> chosen;
  for (const std::size_t index : rendezvous_order(release.model, names))
  {
    if (chosen.size() < replicas)
    {
      chosen.push_back(hosts[index]);
    }
  }
  std::sort(chosen.begin(), chosen.end(), by_host);
  return chosen;
}

std::vector<target_host> stripe_candidates(std::span<const target_host> targets,
                                           std::string_view store_region, bool store_region_lost)
{
  std::vector<target_host> store_region_hosts;
  std::vector<target_host> all;
  for (const target_host& target : targets)
  {
    if (!target.live || target.incarnation.value == 0)
    {
      continue;
    }
    all.push_back(target);
    if (target.region == store_region)
    {
      store_region_hosts.push_back(target);
    }
  }
  const bool has_live_store_host = std::any_of(
      targets.begin(), targets.end(),
      [&](const target_host& target) { return target.live && target.region == store_region; });
  if (store_region_hosts.empty() &&
      (has_live_store_host || (!store_region_lost && is_silent(targets, store_region))))
  {
    return {};
  }
  return store_region_hosts.empty() ? all : store_region_hosts;
}

bool is_silent(std::span<const target_host> targets, std::string_view region)
{
  bool has_hosts = false;
  for (const target_host& target : targets)
  {
    if (target.region != region || target.leaving)
    {
      continue;
    }
    // A host whose heartbeats this host does not subscribe to counts as live.
    if (target.live)
    {
      return false;
    }
    has_hosts = true;
  }
  return has_hosts;
}

std::vector<protocol::stripe_holder> place_stripes(const protocol::release_key& release,
                                                   std::span<const target_host> candidates,
                                                   std::size_t max_stripes)
{
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (const target_host& candidate : candidates)
  {
    names.push_back(candidate.host.value);
  }
  std::vector<protocol::stripe_holder> holders;
  for (const std::size_t index : rendezvous_order(rank_key(release) + "/stripes", names))
  {
    if (holders.size() < max_stripes)
    {
      holders.push_back({candidates[index].host, candidates[index].incarnation});
    }
  }
  return holders;
}

std::uint64_t stripe_bytes(const protocol::manifest& manifest, std::uint32_t stripe,
                           std::size_t stripes)
{
  std::set<digest> seen;
  std::uint64_t bytes = 0;
  for (std::uint32_t i = 0; i < manifest.chunks.size(); ++i)
  {
    // A repeated chunk belongs to the stripe of its first index.
    if (seen.insert(manifest.chunks[i].id).second && stripe_of(i, stripes) == stripe)
    {
      bytes += manifest.chunks[i].bytes;
    }
  }
  return bytes;
}

double lower_bound_s(const lower_bound_input& in)
{
  const double hosts = static_cast<double>(in.hosts);
  double bound = 0;
  if (in.host_rate > 0)
  {
    bound = std::max(bound, in.bytes / in.host_rate);
  }
  if (in.origin_rate > 0)
  {
    bound = std::max(bound, in.bytes / in.origin_rate);
  }
  if (in.region_rate > 0 && in.remote_regions > 0)
  {
    // A remote region has one link from the store region and one from each other remote region.
    bound = std::max(bound, in.bytes / (in.region_rate * static_cast<double>(in.remote_regions)));
  }
  if (in.host_rate > 0 && in.origin_rate > 0)
  {
    bound = std::max(bound, hosts * in.bytes / (in.origin_rate + hosts * in.host_rate));
  }
  return bound;
}

} // namespace pollenyoke::distribution
