#include "Common/Rendezvous.h"

#include <numeric>

#include <xxhash.h>

namespace pollenyoke
{

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view node)
{
  return stable_hash(node, stable_hash(key));
}

std::vector<std::size_t> rendezvous_order(std::string_view key, std::span<const std::string> nodes)
{
  std::vector<std::uint64_t> scores;
  scores.reserve(nodes.size());
  for (const std::string& node : nodes)
  {
    scores.push_back(rendezvous_score(key, node));
  }
  std::vector<std::size_t> order(nodes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b)
            { return scores[a] != scores[b] ? scores[a] > scores[b] : nodes[a] < nodes[b]; });
  return order;
}

} // namespace pollenyoke
