#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace pollenyoke::rollout
{

/// A host that takes part in a roll-out.
struct plan_host
{
  std::string ip;
  std::string region;
};

/// Where a piece comes from.
struct piece_source
{
  /// The origin; otherwise the host `ip`.
  bool origin = false;
  std::string ip;

  bool operator==(const piece_source&) const = default;
};

/// Each piece is read from the origin by one host, crosses each regional link once, to one host of
/// the region, and spreads from there. Pieces are dealt out in turn, so that every host sends about
/// as much as it receives. `hosts` is sorted by address and the same at all hosts in calm times;
/// where it differs, a source may not have the piece and the next attempt goes elsewhere. `attempt`
/// counts the sources that have failed for this piece.
piece_source choose_source(std::span<const plan_host> hosts, const std::string& self,
                           std::uint32_t piece, unsigned attempt);

/// Order in which a host asks for the pieces: those that others wait for first.
std::vector<std::uint32_t> fetch_order(std::span<const plan_host> hosts, const std::string& self,
                                       std::uint32_t pieces);

} // namespace pollenyoke::rollout
