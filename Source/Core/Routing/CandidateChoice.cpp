#include "Routing/CandidateChoice.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Common/Rendezvous.h"

namespace pollenyoke::routing
{

namespace
{

std::vector<std::string> host_names(std::span<const candidate> candidates)
{
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (const candidate& c : candidates)
  {
    names.push_back(c.host.value);
  }
  return names;
}

double max_load(std::span<const candidate> candidates)
{
  double total = 1;
  for (const candidate& c : candidates)
  {
    total += c.load();
  }
  return std::ceil(bounded_load_factor * total / static_cast<double>(candidates.size()));
}

std::size_t less_loaded(std::span<const candidate> candidates, std::size_t first,
                        std::size_t second)
{
  return candidates[second].load() < candidates[first].load() ? second : first;
}

// Considers the first two candidates in rendezvous order that are below the load limit. The second
// is chosen only if the first has no free slot and is more loaded.
std::size_t choose_by_prefix(std::span<const candidate> candidates, std::string_view prefix)
{
  const auto order = rendezvous_order(prefix, host_names(candidates));
  const double limit = max_load(candidates);
  std::vector<std::size_t> eligible;
  for (const std::size_t index : order)
  {
    if (candidates[index].load() + 1 <= limit)
    {
      eligible.push_back(index);
      if (eligible.size() == 2)
      {
        break;
      }
    }
  }
  if (eligible.empty())
  {
    return less_loaded(candidates, order[0], order[order.size() > 1 ? 1 : 0]);
  }
  const candidate& first = candidates[eligible[0]];
  const bool first_is_full =
      first.capacity > 0 &&
      std::max(first.own_in_flight, first.reported_in_flight) >= first.capacity;
  return first_is_full && eligible.size() == 2 ? less_loaded(candidates, eligible[0], eligible[1])
                                               : eligible[0];
}

std::size_t choose_from_two(std::span<const candidate> candidates, std::uint64_t draw)
{
  const std::size_t n = candidates.size();
  const std::size_t first = draw % n;
  if (n == 1)
  {
    return first;
  }
  const std::size_t second = (first + 1 + (draw / n) % (n - 1)) % n;
  return less_loaded(candidates, first, second);
}

} // namespace

std::string_view affinity_prefix(std::string_view prompt)
{
  return prompt.substr(0, affinity_prefix_bytes);
}

std::optional<std::size_t> choose_candidate(std::span<const candidate> candidates,
                                            const choice_input& input)
{
  if (candidates.empty())
  {
    return std::nullopt;
  }
  if (input.policy != protocol::routing_policy::balanced)
  {
    return input.draw % candidates.size();
  }
  if (input.prefix.empty())
  {
    return choose_from_two(candidates, input.draw);
  }
  return choose_by_prefix(candidates, affinity_prefix(input.prefix));
}

std::optional<std::size_t> choose_isolated(std::span<const candidate> candidates,
                                           std::string_view digest_hex)
{
  if (candidates.empty())
  {
    return std::nullopt;
  }
  return rendezvous_order(digest_hex, host_names(candidates)).front();
}

} // namespace pollenyoke::routing
