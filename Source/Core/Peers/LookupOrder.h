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

} // namespace pollenyoke::peers
