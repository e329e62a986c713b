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

/// Agent that sends a load report.
struct load_sender
{
  std::uint8_t domain = 0;
  /// Stable hash of the agent's address.
  std::uint64_t hash = 0;
};

/// Up to this number of entries, a failure domain's own agents report to each of them, and reports
/// of other agents are forwarded one by one.
constexpr std::size_t max_direct_entries = 8;

/// Selects the entries that receive one report. Load pattern: each agent reports ten times per
/// second and every entry needs the reports of all agents, so the datagrams of a fleet would grow
/// with the product of both. In a large failure domain a few entries therefore collect the reports
/// and forward them in batches (`load_relay`). Each agent alternates between two of them, so that
/// one that is down but not yet detected loses every second report only; the relaying entries
/// change over time. A report crosses each regional link once. `entries`: live entries, sorted by
/// address. `turn`: number of the report. Pure.
std::vector<load_target> plan_load_report(std::span<const peer_record> entries,
                                          const load_sender& sender, std::uint64_t turn);

} // namespace pollenyoke::peers
