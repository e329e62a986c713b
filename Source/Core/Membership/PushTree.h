#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/Ids.h"
#include "Membership/Membership.h"

namespace pollenyoke::membership
{

/// The order in which the processes of one failure domain read the log and pass its records on.
/// The first live ones read; each process passes records to `fan_out` others. Every process of the
/// domain derives the same tree from the same host list.
class push_tree
{
public:
  static constexpr std::size_t fan_out = 8;
  static constexpr std::size_t reader_count = 2;
  /// The processes that watch each other in order to take over reading.
  static constexpr std::size_t candidate_count = 8;

  using host_filter = std::function<bool(const host_id&)>;

  push_tree() = default;
  /// `self` belongs to the tree even if the list does not hold it yet.
  push_tree(std::vector<host_id> hosts, std::string_view failure_domain, const host_id& self);

  const std::vector<host_id>& order() const
  {
    return m_order;
  }
  /// Position of this process.
  std::size_t rank() const
  {
    return m_rank;
  }
  std::optional<host_id> parent() const;
  std::vector<host_id> children() const;
  /// Parent, children and, for a candidate, the other candidates; without this process.
  std::vector<host_id> neighbours() const;
  /// Whether this process reads the log, if exactly the hosts for which `usable` holds are alive.
  bool is_reader(const host_filter& usable) const;
  /// No host of a lower rank is alive: this process is the root.
  bool is_root(const host_filter& usable) const;
  /// The candidate that passes records and lists to the whole domain; empty if none is usable.
  std::optional<host_id> root(const host_filter& usable) const;
  /// Position of this process among the usable candidates in the order in which they poll for the
  /// successor of a version of the host list; empty for other processes. The order differs from
  /// version to version, so that the candidates share the traffic of fetching whole lists.
  std::optional<std::size_t> poll_rank(std::uint64_t list_version, const host_filter& usable) const;
  /// The hosts to which this process passes records. Dead hosts are replaced by their children; the
  /// root also serves the children of the dead hosts before it.
  std::vector<host_id> push_targets(const host_filter& usable) const;

private:
  void add_children(std::size_t of, const host_filter& usable, std::vector<host_id>& to) const;

  std::vector<host_id> m_order;
  std::size_t m_rank = 0;
};

} // namespace pollenyoke::membership
