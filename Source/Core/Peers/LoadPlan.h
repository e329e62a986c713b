#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// Entry to which an agent sends a load report.
struct load_target
{
  std::string ip;
  /// Whether the entry forwards the report to the other entries of its failure domain.
  bool passes_on = false;

  bool operator==(const load_target&) const = default;
};

/// Selects all entries of the agent's failure domain and one of each other domain in round-robin
/// order, so that a report crosses each regional link once. An entry that is down but not yet
/// detected then loses only one report per cycle. `entries`: live entries, sorted by address.
/// `turn`: number of the report. Pure.
std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          std::uint8_t own_domain, std::uint64_t turn);

} // namespace pollenyoke::peers
