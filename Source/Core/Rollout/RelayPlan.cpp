#include "Rollout/RelayPlan.h"

#include <algorithm>

#include "Common/Rendezvous.h"

namespace pollenyoke::rollout
{

namespace
{

std::vector<std::string> rendezvous_sorted(const std::string& key,
                                           const std::vector<std::string>& members)
{
  std::vector<std::string> out;
  for (const std::size_t index : rendezvous_order(key, members))
  {
    out.push_back(members[index]);
  }
  return out;
}

std::string piece_key(std::uint32_t piece)
{
  return "piece/" + std::to_string(piece);
}

// Entries per region that request the manifest from outside the region. Two tolerate the loss of
// one; requests from all entries would exhaust the origin's link and its few connections.
constexpr std::size_t manifest_readers = 2;

} // namespace

relay_plan::relay_plan(std::span<const rollout_host> entries, const std::string& region,
                       const std::string& origin_region)
{
  for (const rollout_host& entry : entries)
  {
    if (entry.region == region)
    {
      m_local.push_back(entry.ip);
    }
    else if (entry.region == origin_region)
    {
      m_origin_entries.push_back(entry.ip);
    }
  }
}

bool relay_plan::is_empty() const
{
  return m_local.empty();
}

std::vector<std::string> relay_plan::relays(std::uint32_t piece) const
{
  return rendezvous_sorted(piece_key(piece), m_local);
}

std::vector<std::string> relay_plan::manifest_sources(const std::string& self) const
{
  auto readers = rendezvous_sorted("manifest", m_local);
  readers.resize(std::min(readers.size(), manifest_readers));
  const bool is_reader = std::find(readers.begin(), readers.end(), self) != readers.end();
  auto out = is_reader ? rendezvous_sorted("manifest", m_origin_entries) : std::move(readers);
  out.resize(std::min(out.size(), manifest_readers));
  // The origin comes last, to limit the number of requests to a busy origin.
  out.emplace_back();
  return out;
}

std::vector<std::string> relay_plan::sources(std::uint32_t piece) const
{
  return rendezvous_sorted(piece_key(piece), m_origin_entries);
}

} // namespace pollenyoke::rollout
