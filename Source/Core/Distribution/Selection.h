#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <numeric>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Rendezvous.h"
#include "Distribution/Placement.h"
#include "Protocol/Settings.h"
#include "Weights/ChunkBitmap.h"

namespace pollenyoke::distribution
{

/// State of a peer that can send chunks.
struct source_view
{
  std::string_view host;
  std::string_view region;
  const weights::chunk_bitmap* have = nullptr;
  /// Number of requests that can be sent to this source now; 0 while requests to it are suspended.
  std::size_t free_slots = 0;
  /// Number of outstanding requests to this source.
  std::size_t in_flight = 0;
};

struct selection_input
{
  std::string_view self;
  std::string_view region;
  std::string_view store_region;
  /// Regions with target hosts, sorted.
  std::span<const std::string> regions;
  /// All target hosts, sorted.
  std::span<const std::string> hosts;
  const weights::chunk_bitmap* have = nullptr;
  /// Chunks that are already requested from a peer or being read from the origin.
  const weights::chunk_bitmap* requested = nullptr;
  std::span<const source_view> sources;
  /// Rank of this host for each chunk among the hosts of its region, for fetches from other
  /// regions.
  std::span<const std::uint32_t> fetch_ranks;
  /// Stalled chunks, which hosts with a rank up to `allowed_rank` may fetch from any region. All
  /// other chunks are fetched by the host of rank 0 along their region path.
  const weights::chunk_bitmap* overdue = nullptr;
  std::uint32_t allowed_rank = 0;
  std::size_t max_picks = 0;
  /// Maximum number of chunks to request now from each other region.
  std::map<std::string, std::size_t, std::less<>> remote_picks;
};

struct chunk_pick
{
  std::uint32_t chunk = 0;
  /// Index into the sources.
  std::size_t source = 0;

  bool operator==(const chunk_pick&) const = default;
};

/// True if hosts of `region` fetch this chunk from `source_region`. Each remote region fetches an
/// equal share of the chunks from the store region and the rest from the other remote regions.
bool is_region_path(std::uint32_t chunk, std::string_view region, std::string_view source_region,
                    std::string_view store_region, std::span<const std::string> regions);

/// Assigns each chunk to one of the `hosts` hosts of a region, which fetches it from other regions.
/// Returns one host index per chunk. The chunks of each path are distributed evenly, because the
/// slowest host determines the transfer time. Each host fetches chunks of few stripes, so that few
/// hosts of other regions have to announce chunks to it.
std::vector<std::uint32_t> assign_fetch_hosts(std::size_t chunks, std::size_t paths,
                                              std::size_t stripes, std::size_t hosts);

struct fetch_rank_input
{
  std::string_view manifest;
  std::size_t chunks = 0;
  std::string_view self;
  /// Target hosts of the region, sorted.
  std::span<const std::string> hosts;
  /// The subset of `hosts` that is not known to be dead, sorted.
  std::span<const std::string> live;
  std::size_t paths = 1;
  std::size_t stripes = 1;
};

/// Returns the rank of `self` for each chunk among the live hosts of its region. The host assigned
/// by assign_fetch_hosts() has rank 0 while it is live. Hosts may disagree about which hosts are
/// dead, so the failure of a host reassigns only the chunks of that host.
std::vector<std::uint32_t> region_fetch_ranks(const fetch_rank_input& in);

struct upstream_input
{
  std::string_view manifest;
  std::string_view region;
  std::string_view store_region;
  std::span<const target_host> targets;
  /// Holder of each stripe; empty until the stripes are placed.
  std::span<const std::string> holders;
  std::span<const std::uint32_t> fetch_ranks;
};

/// Returns the hosts of other regions that this host fetches chunks from, sorted: the hosts that
/// are the first in their region to have these chunks.
std::vector<std::string> upstream_hosts(const upstream_input& in);

struct neighbour_input
{
  std::string_view self;
  std::string_view region;
  std::string_view store_region;
  std::span<const target_host> targets;
  std::span<const std::string> upstream;
};

/// Returns the hosts whose chunk announcements this host subscribes to, sorted.
std::vector<std::string> choose_neighbours(const neighbour_input& in);

/// A distribution policy: restricts the sources of each chunk and the hosts that read the origin.
template <typename Policy>
concept transfer_policy = requires(const selection_input& in, std::uint32_t chunk,
                                   const source_view& source, const goal_parameters& goal,
                                   const neighbour_input& neighbours)
{
  {
    Policy::may_request(in, chunk, source)
    } -> std::same_as<bool>;
  {
    Policy::max_stripes(goal)
    } -> std::same_as<std::size_t>;
  {
    Policy::reads_without_grant
    } -> std::convertible_to<bool>;
  {
    Policy::neighbours(neighbours)
    } -> std::same_as<std::vector<std::string>>;
};

struct pollenyoke_policy
{
  static constexpr bool reads_without_grant = false;
  static bool may_request(const selection_input& in, std::uint32_t chunk,
                          const source_view& source);
  static std::size_t max_stripes(const goal_parameters& goal);
  static std::vector<std::string> neighbours(const neighbour_input& in);
};

/// Baseline: a binary tree over the hosts, ordered by id, whose root reads the origin.
struct tree_policy
{
  static constexpr bool reads_without_grant = false;
  static bool may_request(const selection_input& in, std::uint32_t chunk,
                          const source_view& source);
  static std::size_t max_stripes(const goal_parameters& goal);
  static std::vector<std::string> neighbours(const neighbour_input& in);
};

/// Baseline: every host reads all chunks from the origin, without a limit on the bytes read.
struct origin_only_policy
{
  static constexpr bool reads_without_grant = true;
  static bool may_request(const selection_input& in, std::uint32_t chunk,
                          const source_view& source);
  static std::size_t max_stripes(const goal_parameters& goal);
  static std::vector<std::string> neighbours(const neighbour_input& in);
};

using any_policy = std::variant<pollenyoke_policy, tree_policy, origin_only_policy>;
any_policy make_policy(protocol::distribution_policy policy);

/// A missing chunk that at least one source holds.
struct chunk_candidate
{
  std::uint32_t chunk = 0;
  /// Number of sources in the same region that hold the chunk.
  std::uint32_t holders = 0;
  /// Order among equally rare chunks; differs per host.
  std::uint64_t tie_break = 0;
};

/// Returns the candidates sorted rarest first, counting holders in the same region. Equally rare
/// chunks are sorted in an order that differs per host.
std::vector<chunk_candidate> rank_candidates(const selection_input& in);

/// Selects the chunks to request next and their sources. Repeatedly picks the rarest chunk of the
/// source with the fewest outstanding requests, which keeps all sources busy.
template <transfer_policy Policy>
std::vector<chunk_pick> choose_next(const selection_input& in)
{
  const std::vector<chunk_candidate> candidates = rank_candidates(in);
  std::vector<std::size_t> added(in.sources.size());
  std::vector<bool> exhausted(in.sources.size());
  std::vector<bool> picked(candidates.size());
  auto remaining_remote_picks = in.remote_picks;
  std::vector<chunk_pick> picks;
  while (picks.size() < in.max_picks)
  {
    std::size_t best = in.sources.size();
    for (std::size_t i = 0; i < in.sources.size(); ++i)
    {
      const source_view& source = in.sources[i];
      const bool usable =
          !exhausted[i] && added[i] < source.free_slots &&
          (source.region == in.region || remaining_remote_picks[std::string(source.region)] != 0);
      if (usable && (best == in.sources.size() ||
                     source.in_flight + added[i] < in.sources[best].in_flight + added[best]))
      {
        best = i;
      }
    }
    if (best == in.sources.size())
    {
      break;
    }
    const source_view& source = in.sources[best];
    const bool remote = source.region != in.region;
    std::size_t next = 0;
    while (next < candidates.size() &&
           (picked[next] || !source.have->test(candidates[next].chunk) ||
            (remote && candidates[next].holders != 0) ||
            !Policy::may_request(in, candidates[next].chunk, source)))
    {
      ++next;
    }
    if (next == candidates.size())
    {
      exhausted[best] = true;
      continue;
    }
    picked[next] = true;
    ++added[best];
    remaining_remote_picks[std::string(source.region)] -= remote ? 1 : 0;
    picks.push_back({candidates[next].chunk, best});
  }
  return picks;
}

} // namespace pollenyoke::distribution
