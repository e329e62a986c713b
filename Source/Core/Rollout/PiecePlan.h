#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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

  bool operator==(const plan_host&) const = default;
};

/// Who reads which piece first: each piece is read from the origin by one host, crosses each
/// regional link once, to one host of the region, and spreads from there. Pieces are dealt out in
/// turn, so that every host sends about as much as it receives. The plan is the same at all hosts
/// that know the same hosts.
class piece_plan
{
public:
  piece_plan() = default;
  /// `hosts` in any order, this host included.
  piece_plan(std::span<const plan_host> hosts, const std::string& self);

  /// Position of this host among those that may read the piece from the origin; 0 reads it first,
  /// the others if the ones before them do not.
  std::size_t origin_rank(std::uint32_t piece) const;
  /// Position of this host among those of its region that may bring the piece into it.
  std::size_t region_rank(std::uint32_t piece) const;
  bool is_near(const std::string& ip) const;
  /// Hosts other than this one.
  std::span<const plan_host> others() const;

private:
  std::map<std::string, std::vector<std::string>> m_regions;
  std::vector<std::string> m_all;
  std::vector<plan_host> m_others;
  std::string m_self;
  std::string m_region;
};

} // namespace pollenyoke::rollout
