#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Common/Ids.h"
#include "Protocol/Settings.h"

namespace pollenyoke::routing
{

/// An agent that may run a request.
struct candidate
{
  host_id host;
  /// Requests of this entry in flight at the agent.
  std::uint32_t own_in_flight = 0;
  /// Requests in flight that the agent last reported.
  std::uint32_t reported_in_flight = 0;
  /// Limit of requests in flight at the agent; 0 if not reported yet.
  std::uint32_t capacity = 0;

  double load() const
  {
    return static_cast<double>(own_in_flight) + reported_in_flight;
  }
};

/// Parameters of the choice besides the candidates.
struct choice_input
{
  protocol::routing_policy policy = protocol::routing_policy::balanced;
  /// Start of the prompt; empty for requests without a prompt-prefix cache.
  std::string_view prefix;
  /// A random number; with round_robin a request counter.
  std::uint64_t draw = 0;
};

/// An agent receives requests by prefix affinity while its load is at most this multiple of the
/// mean.
constexpr double bounded_load_factor = 1.25;
constexpr std::size_t affinity_prefix_bytes = 256;

/// The part of a prompt that determines the preferred agents.
std::string_view affinity_prefix(std::string_view prompt);

/// Index of the candidate to use; empty if there are no candidates.
std::optional<std::size_t> choose_candidate(std::span<const candidate> candidates,
                                            const choice_input& input);

/// Index of the candidate that runs suspect requests with this digest; every entry that knows the
/// same candidates chooses the same one.
std::optional<std::size_t> choose_isolated(std::span<const candidate> candidates,
                                           std::string_view digest_hex);

} // namespace pollenyoke::routing
