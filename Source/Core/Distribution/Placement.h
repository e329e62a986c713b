#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Ids.h"
#include "Protocol/LogRecord.h"
#include "Protocol/Manifest.h"
#include "Protocol/Settings.h"

namespace pollenyoke::distribution
{

/// A host that a release is assigned to.
struct target_host
{
  host_id host;
  std::string region;
  /// Zero until a heartbeat reports it.
  incarnation_id incarnation;
  /// False if the host is known to be dead or leaving.
  bool live = true;
  bool leaving = false;

  bool operator==(const target_host&) const = default;
};

/// Transfer parameters derived from the distribution goal setting.
struct goal_parameters
{
  /// Maximum number of hosts that read from the origin concurrently.
  std::size_t max_stripes = 8;
  /// Maximum number of concurrent origin reads per stripe holder.
  std::size_t parallel_reads = 4;
  /// Multiple of the expected time after which another host claims a stripe without progress.
  double stall_factor = 1;
};

/// Returns the transfer parameters for a goal. `time` uses many stripes and replaces slow holders
/// early. `origin-bytes` uses few stripes, so that the failure of a host loses less of the data
/// read from the origin, and replaces holders late, so that fewer bytes are read twice.
goal_parameters parameters_for(protocol::distribution_goal goal);

/// Rendezvous hashing key of a release.
std::string rank_key(const protocol::release_key& release);

/// Returns the position of `self` in the rendezvous order of `hosts`, or hosts.size() if it is not
/// one of them.
std::size_t rank_of(std::string_view key, std::span<const std::string> hosts,
                    std::string_view self);

/// Returns the host ids of the live targets.
std::vector<std::string> live_names(std::span<const target_host> targets);

/// Chooses the `replicas` hosts that rank first for the model of the release, or all hosts if
/// `replicas` is 0. The result is sorted by host.
std::vector<target_host> choose_targets(const protocol::release_key& release,
                                        std::uint32_t replicas, std::vector<target_host> hosts);

/// Returns the hosts that may hold stripes: live hosts with a known incarnation, restricted to the
/// store region if it has any. While all hosts of the store region are unreachable but not leaving,
/// hosts of other regions are candidates only if `store_region_lost` is set, because a network
/// partition cannot be told apart from the failure of all these hosts.
std::vector<target_host> stripe_candidates(std::span<const target_host> targets,
                                           std::string_view store_region, bool store_region_lost);

/// True if the region has hosts that are not leaving and none of them is live.
bool is_silent(std::span<const target_host> targets, std::string_view region);

/// Assigns one holder to each of at most `max_stripes` stripes, in rendezvous order. The result is
/// empty if there are no candidates.
std::vector<protocol::stripe_holder> place_stripes(const protocol::release_key& release,
                                                   std::span<const target_host> candidates,
                                                   std::size_t max_stripes);

inline std::uint32_t stripe_of(std::uint32_t chunk, std::size_t stripes)
{
  return static_cast<std::uint32_t>(chunk % stripes);
}

/// Returns the size of a stripe in bytes. A chunk that occurs several times counts once.
std::uint64_t stripe_bytes(const protocol::manifest& manifest, std::uint32_t stripe,
                           std::size_t stripes);

/// Input of lower_bound_s(). Rates are in bytes per second; 0 means unlimited.
struct lower_bound_input
{
  double bytes = 0;
  std::size_t hosts = 1;
  double host_rate = 0;
  double origin_rate = 0;
  /// Bandwidth of each direction of a link between two regions.
  double region_rate = 0;
  std::size_t remote_regions = 0;
};

/// Returns a lower bound, in seconds, of the time until all hosts hold the weights.
double lower_bound_s(const lower_bound_input& in);

} // namespace pollenyoke::distribution
