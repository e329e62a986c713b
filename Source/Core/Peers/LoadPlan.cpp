#include "Peers/LoadPlan.h"

#include <algorithm>
#include <map>

namespace pollenyoke::peers
{

namespace
{

// One pair of relaying entries for this many entries of a failure domain.
constexpr std::size_t entries_per_group = 8;
// The relaying entries change every 30 s at ten reports per second.
constexpr std::uint64_t turns_per_shift = 300;

std::size_t relay_index(std::size_t members, const load_sender& sender, std::uint64_t turn)
{
  if (members <= max_direct_entries)
  {
    // Agents start at different entries.
    return (turn + sender.hash) % members;
  }
  const std::size_t groups = std::max<std::size_t>(members / entries_per_group, 1);
  const std::size_t first = sender.hash % groups * members / groups;
  return (first + 2 * (turn / turns_per_shift) + turn % 2) % members;
}

} // namespace

std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          const load_sender& sender, std::uint64_t turn)
{
  std::map<std::uint8_t, std::vector<const std::string*>> domains;
  for (const peer_record& entry : entries)
  {
    domains[entry.domain].push_back(&entry.ip);
  }
  std::vector<load_target> targets;
  for (const auto& [domain, members] : domains)
  {
    if (domain != sender.domain || members.size() > max_direct_entries)
    {
      targets.push_back({*members[relay_index(members.size(), sender, turn)], true});
      continue;
    }
    for (const std::string* ip : members)
    {
      targets.push_back({*ip});
    }
  }
  return targets;
}

} // namespace pollenyoke::peers
