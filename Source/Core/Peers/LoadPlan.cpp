#include "Peers/LoadPlan.h"

#include <map>

namespace pollenyoke::peers
{

std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          std::uint8_t own_domain, std::uint64_t turn)
{
  std::vector<load_target> out;
  std::map<std::uint8_t, std::vector<std::string>> far;
  for (const peer_record& entry : entries)
  {
    if (entry.domain == own_domain)
    {
      out.push_back({entry.ip});
      continue;
    }
    far[entry.domain].push_back(entry.ip);
  }
  for (const auto& [domain, members] : far)
  {
    out.push_back({members[turn % members.size()], true});
  }
  return out;
}

} // namespace pollenyoke::peers
