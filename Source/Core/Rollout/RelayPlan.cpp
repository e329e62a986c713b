#include "Rollout/RelayPlan.h"

#include <algorithm>

#include "Common/Rendezvous.h"

namespace pollenyoke::rollout
{

namespace
{

std::vector<std::string> in_order(const std::string& what, const std::vector<std::string>& members)
{
  std::vector<std::string> out;
  for (const std::size_t index : rendezvous_order(what, members))
  {
    out.push_back(members[index]);
  }
  return out;
}

std::string name_of(std::uint32_t piece)
{
  return "piece/" + std::to_string(piece);
}

// Entries of a region that ask beyond it for the manifest. Two of them cover the loss of one; all
// entries would fill the origin's link and its few connections.
constexpr std::size_t manifest_readers = 2;

} // namespace

relay_plan::relay_plan(std::span<const plan_host> entries, const std::string& region,
                       const std::string& origin_region)
{
  for (const plan_host& entry : entries)
  {
    if (entry.region == region)
    {
      m_near.push_back(entry.ip);
    }
    else if (entry.region == origin_region)
    {
      m_at_origin.push_back(entry.ip);
    }
  }
}

bool relay_plan::is_empty() const
{
  return m_near.empty();
}

std::vector<std::string> relay_plan::relays(std::uint32_t piece) const
{
  return in_order(name_of(piece), m_near);
}

std::vector<std::string> relay_plan::manifest_sources(const std::string& self) const
{
  auto readers = in_order("manifest", m_near);
  readers.resize(std::min(readers.size(), manifest_readers));
  const bool is_reader = std::find(readers.begin(), readers.end(), self) != readers.end();
  auto out = is_reader ? in_order("manifest", m_at_origin) : std::move(readers);
  out.resize(std::min(out.size(), manifest_readers));
  // Only after all others, so that an origin that is busy hears from few.
  out.emplace_back();
  return out;
}

std::vector<std::string> relay_plan::sources(std::uint32_t piece) const
{
  return in_order(name_of(piece), m_at_origin);
}

} // namespace pollenyoke::rollout
