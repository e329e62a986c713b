#include "Rollout/PiecePlan.h"

#include <algorithm>
#include <map>

namespace pollenyoke::rollout
{

namespace
{

// One of so many attempts of a piece's owner asks another host, which may have read it meanwhile.
constexpr unsigned owner_peer_turn = 4;

struct regions_view
{
  std::map<std::string, std::vector<std::string>> hosts;

  explicit regions_view(std::span<const plan_host> all)
  {
    for (const plan_host& host : all)
    {
      hosts[host.region].push_back(host.ip);
    }
  }

  /// The host of a region that fetches the piece for it.
  const std::string& fetcher(const std::vector<std::string>& region, std::uint32_t piece) const
  {
    return region[piece / hosts.size() % region.size()];
  }

  /// The host that reads the piece from the origin.
  const std::string& owner(std::uint32_t piece) const
  {
    return fetcher(
        std::next(hosts.begin(), static_cast<std::ptrdiff_t>(piece % hosts.size()))->second, piece);
  }
};

std::string region_of(std::span<const plan_host> hosts, const std::string& ip)
{
  const auto found = std::find_if(hosts.begin(), hosts.end(),
                                  [&ip](const plan_host& host) { return host.ip == ip; });
  return found == hosts.end() ? std::string{} : found->region;
}

} // namespace

piece_source choose_source(std::span<const plan_host> hosts, const std::string& self,
                           std::uint32_t piece, unsigned attempt)
{
  const regions_view view(hosts);
  const auto region = view.hosts.find(region_of(hosts, self));
  if (region == view.hosts.end() || hosts.size() < 2)
  {
    return {.origin = true};
  }
  const std::string& owner = view.owner(piece);
  const std::string& fetcher = view.fetcher(region->second, piece);
  if (attempt == 0)
  {
    if (owner == self)
    {
      return {.origin = true};
    }
    return {.ip = fetcher == self ? owner : fetcher};
  }
  if (attempt == 1 && owner != self && fetcher != self)
  {
    return {.ip = owner};
  }
  // Hosts in turn, then the origin: by then most hosts of the region have the piece. Nobody else
  // has what its owner has not read, so the owner mostly tries the origin again.
  const std::size_t turn = attempt + piece;
  if (owner == self ? attempt % owner_peer_turn != 0 : attempt % 3 == 0)
  {
    return {.origin = true};
  }
  std::vector<std::string> candidates;
  for (const plan_host& host : hosts)
  {
    const bool near = host.region == region->first || region->second.size() == 1;
    if (near && host.ip != self)
    {
      candidates.push_back(host.ip);
    }
  }
  return {.ip = candidates[turn % candidates.size()]};
}

std::vector<std::uint32_t> fetch_order(std::span<const plan_host> hosts, const std::string& self,
                                       std::uint32_t pieces)
{
  std::vector<std::uint32_t> order(pieces);
  for (std::uint32_t i = 0; i < pieces; ++i)
  {
    order[i] = i;
  }
  const regions_view view(hosts);
  const auto region = view.hosts.find(region_of(hosts, self));
  if (region == view.hosts.end())
  {
    return order;
  }
  const auto rank = [&](std::uint32_t piece)
  {
    if (view.owner(piece) == self)
    {
      return 0;
    }
    return view.fetcher(region->second, piece) == self ? 1 : 2;
  };
  // The others begin at different places, so that they do not all ask the same host at once.
  const auto position = static_cast<std::uint32_t>(
      std::find(region->second.begin(), region->second.end(), self) - region->second.begin());
  const std::uint32_t shift = position * pieces / static_cast<std::uint32_t>(region->second.size());
  std::rotate(order.begin(), order.begin() + shift % std::max(1U, pieces), order.end());
  std::stable_sort(order.begin(), order.end(),
                   [&](std::uint32_t a, std::uint32_t b) { return rank(a) < rank(b); });
  return order;
}

} // namespace pollenyoke::rollout
