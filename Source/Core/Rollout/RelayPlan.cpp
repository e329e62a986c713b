#include "Rollout/RelayPlan.h"

#include "Common/Rendezvous.h"

namespace pollenyoke::rollout
{

namespace
{

std::vector<std::string> in_order(std::uint32_t piece, const std::vector<std::string>& members)
{
  std::vector<std::string> out;
  for (const std::size_t index : rendezvous_order("piece/" + std::to_string(piece), members))
  {
    out.push_back(members[index]);
  }
  return out;
}

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
  return in_order(piece, m_near);
}

std::vector<std::string> relay_plan::sources(std::uint32_t piece) const
{
  return in_order(piece, m_at_origin);
}

} // namespace pollenyoke::rollout
