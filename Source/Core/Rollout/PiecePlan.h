#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace pollenyoke::rollout
{

/// Host that takes part in a rollout.
struct rollout_host
{
  std::string ip;
  std::string region;

  bool operator==(const rollout_host&) const = default;
};

/// Assigns the first reader of each piece. One host reads the piece from the origin; it crosses
/// each regional link once, to one host of the region, and spreads from there. Pieces are assigned
/// round-robin, so that every host sends about as much as it receives. Hosts that know the same
/// set of hosts compute the same plan.
class piece_plan
{
public:
  piece_plan() = default;
  /// `hosts` includes this host and may be in any order.
  piece_plan(std::span<const rollout_host> hosts, const std::string& self);

  /// Rank of this host among those that may read the piece from the origin. Rank 0 reads it first;
  /// higher ranks take over if the lower ones do not.
  std::size_t origin_rank(std::uint32_t piece) const;
  /// Rank of this host among those of its region that may read the piece from another region.
  std::size_t region_rank(std::uint32_t piece) const;
  /// True if the host is in the region of this one.
  bool is_local(const std::string& ip) const;
  /// Hosts other than this one.
  std::span<const rollout_host> others() const;

private:
  std::map<std::string, std::vector<std::string>> m_regions;
  std::vector<std::string> m_all;
  std::vector<rollout_host> m_others;
  std::string m_self;
  std::string m_region;
};

} // namespace pollenyoke::rollout
