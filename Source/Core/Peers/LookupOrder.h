#pragma once

#include <algorithm>
#include <concepts>
#include <random>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// Puts the entries that are near the caller first and the others in random order. Load pattern: a
/// large fleet has more entries than an answer holds; in a fixed order the callers of all failure
/// domains would share the entries of the first one.
template <std::predicate<const peer_record&> Near>
void order_for_lookup(std::vector<peer_record>& entries, Near is_near, std::mt19937_64& random)
{
  const auto others = std::stable_partition(entries.begin(), entries.end(), is_near);
  std::shuffle(others, entries.end(), random);
}

/// Leaves only the entries of the caller's region, as long as one of them is live. Requests that
/// must stay in some regions then do not pass through others; the entry finds the allowed servers.
template <std::predicate<const peer_record&> InRegion>
void keep_region_for_lookup(std::vector<peer_record>& entries, InRegion in_region)
{
  if (std::any_of(entries.begin(), entries.end(), in_region))
  {
    std::erase_if(entries, [&in_region](const peer_record& entry) { return !in_region(entry); });
  }
}

} // namespace pollenyoke::peers
