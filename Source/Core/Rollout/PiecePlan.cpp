#include "Rollout/PiecePlan.h"

#include <algorithm>

namespace pollenyoke::rollout
{

namespace
{

std::size_t position(const std::vector<std::string>& hosts, const std::string& ip)
{
  return static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), ip) - hosts.begin());
}

/// Distance from index `first` to index `self` in a ring of `size` hosts.
std::size_t steps_from(std::size_t first, std::size_t self, std::size_t size)
{
  return (self + size - first) % size;
}

} // namespace

piece_plan::piece_plan(std::span<const rollout_host> hosts, const std::string& self) : m_self(self)
{
  for (const rollout_host& host : hosts)
  {
    m_regions[host.region].push_back(host.ip);
    m_all.push_back(host.ip);
    if (host.ip == self)
    {
      m_region = host.region;
      continue;
    }
    m_others.push_back(host);
  }
  std::sort(m_all.begin(), m_all.end());
  for (auto& [region, members] : m_regions)
  {
    std::sort(members.begin(), members.end());
  }
}

std::size_t piece_plan::origin_rank(std::uint32_t piece) const
{
  if (m_regions.empty())
  {
    return 0;
  }
  const auto& members =
      std::next(m_regions.begin(), static_cast<std::ptrdiff_t>(piece % m_regions.size()))->second;
  const std::string& owner = members[piece / m_regions.size() % members.size()];
  return steps_from(position(m_all, owner), position(m_all, m_self), m_all.size());
}

std::size_t piece_plan::region_rank(std::uint32_t piece) const
{
  const auto region = m_regions.find(m_region);
  if (region == m_regions.end())
  {
    return 0;
  }
  const auto& members = region->second;
  return steps_from(piece / m_regions.size() % members.size(), position(members, m_self),
                    members.size());
}

bool piece_plan::is_local(const std::string& ip) const
{
  const auto region = m_regions.find(m_region);
  return region != m_regions.end() &&
         std::find(region->second.begin(), region->second.end(), ip) != region->second.end();
}

std::span<const rollout_host> piece_plan::others() const
{
  return m_others;
}

} // namespace pollenyoke::rollout
