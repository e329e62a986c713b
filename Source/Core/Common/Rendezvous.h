#pragma once

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pollenyoke
{

/// Stable 64-bit hash of a text (XXH64), the same on every host.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous (highest random weight) score of a node for a key; the node with the highest wins.
std::uint64_t rendezvous_score(std::string_view key, std::string_view node);

/// Indices of the nodes, highest score first; equal scores in order of the node names.
std::vector<std::size_t> rendezvous_order(std::string_view key, std::span<const std::string> nodes);

} // namespace pollenyoke
