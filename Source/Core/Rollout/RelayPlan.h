#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "Rollout/PiecePlan.h"

namespace pollenyoke::rollout
{

/// Which entries hand pieces on to the hosts of a region. Entries have links of several hundred
/// Mbit/s beside 9.4 of the hosts with engines. Each piece belongs to one entry of each region; the
/// one in the origin's region reads it there, the others read it from that one, so that a piece
/// leaves the origin once and crosses each regional link once. The plan is the same at all
/// processes that know the same entries, and an entry that is missing changes only its own pieces.
class relay_plan
{
public:
  relay_plan() = default;
  /// `entries` in any order.
  relay_plan(std::span<const plan_host> entries, const std::string& region,
             const std::string& origin_region);

  /// No entry is known in this region.
  bool is_empty() const;
  /// Entries of this region, in the order in which they are asked for the piece.
  std::vector<std::string> relays(std::uint32_t piece) const;
  /// Who is asked for the manifest by the entry `self`, in order; an empty address is the origin.
  std::vector<std::string> manifest_sources(const std::string& self) const;
  /// Entries of the origin's region, in the order in which this region's entries ask them for the
  /// piece; none if this region's entries read the origin themselves.
  std::vector<std::string> sources(std::uint32_t piece) const;

private:
  std::vector<std::string> m_near;
  /// In the origin's region, if that is another one.
  std::vector<std::string> m_at_origin;
};

} // namespace pollenyoke::rollout
