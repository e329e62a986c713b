#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Rollout/PiecePlan.h"

namespace pollenyoke::rollout
{

/// Assigns pieces to the entries that relay them to the hosts of a region. Entries have links of
/// several hundred Mbit/s, while hosts with engines have 9.4 Mbit/s. Each piece is assigned to one
/// entry per region. The one in the origin's region reads it from the origin and the others read it
/// from that entry, so that a piece leaves the origin once and crosses each regional link once.
/// Processes that know the same entries compute the same plan, and the loss of an entry changes
/// only the assignment of its own pieces.
class relay_plan
{
public:
  relay_plan() = default;
  /// `entries` may be in any order.
  relay_plan(std::span<const rollout_host> entries, const std::string& region,
             const std::string& origin_region);

  /// True if no entry is known in this region.
  bool is_empty() const;
  /// Entries of this region, in the order in which they are tried for the piece.
  std::vector<std::string> relays(std::uint32_t piece) const;
  /// Sources that the entry `self` tries for the manifest, in order. An empty address is the
  /// origin.
  std::vector<std::string> manifest_sources(const std::string& self) const;
  /// Entries of the origin's region, in the order in which this region's entries try them for the
  /// piece; empty if this region is the origin's.
  std::vector<std::string> sources(std::uint32_t piece) const;

private:
  std::vector<std::string> m_local;
  /// Entries of the origin's region, if that is another one.
  std::vector<std::string> m_origin_entries;
};

} // namespace pollenyoke::rollout
