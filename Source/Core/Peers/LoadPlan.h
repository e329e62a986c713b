#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// Where an agent sends a load report.
struct load_target
{
  std::string ip;
  /// The entry passes the report on to the others of its failure domain.
  bool passes_on = false;

  bool operator==(const load_target&) const = default;
};

/// All entries of the agent's failure domain, and one of each other domain, in turn, so that a
/// report crosses a regional link once and an entry that is dead but not yet missed costs one
/// report in so many. `entries` are live ones, sorted by address. Pure.
std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          std::uint8_t own_domain, std::uint64_t turn);

} // namespace pollenyoke::peers
