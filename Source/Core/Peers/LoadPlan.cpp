#include "Peers/LoadPlan.h"

#include <map>

namespace pollenyoke::peers
{

std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          std::uint8_t own_domain, std::uint64_t turn)
{
  std::vector<load_target> targets;
  std::map<std::uint8_t, std::vector<std::string>> other_domains;
  for (const peer_record& entry : entries)
  {
    if (entry.domain == own_domain)
    {
      targets.push_back({entry.ip});
      continue;
    }
    other_domains[entry.domain].push_back(entry.ip);
  }
  for (const auto& [domain, members] : other_domains)
  {
    targets.push_back({members[turn % members.size()], true});
  }
  return targets;
}

} // namespace pollenyoke::peers
