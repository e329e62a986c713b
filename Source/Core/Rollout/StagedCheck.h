#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "Common/BootClock.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

/// How long a staged piece may have been spoilt when an engine takes it.
constexpr std::chrono::milliseconds spoilage_tolerance{3000};

/// Result of reading the staged pieces of an engine back. It holds for the start of the engine at
/// which the pieces were read, and only for a short time, as pieces can turn bad at any moment.
class staged_check
{
public:
  /// `begun`: just before the first piece was read. `engine_started_ms`: start of the engine before
  /// that.
  staged_check(boot_clock::time_point begun, std::uint64_t engine_started_ms);

  /// Whether a load order may be sent to an engine that has just reported its start.
  bool allows_order(std::uint64_t engine_started_ms, boot_clock::time_point now) const;
  /// How long an order sent now may take to be accepted.
  std::chrono::milliseconds order_time_limit(boot_clock::time_point now) const;
  /// Whether the check is fresh enough for an order that was accepted at this time or before.
  bool covers(boot_clock::time_point accepted) const;

private:
  boot_clock::time_point m_begun;
  std::uint64_t m_engine_started_ms;
};

/// What an engine is ordered to hold.
struct load_step
{
  std::uint64_t version = 0;
  protocol::layer_range layers;
  /// Version whose pieces it takes; another one than `version` if the layers are only to be
  /// dropped.
  std::uint64_t piece_version = 0;

  bool operator==(const load_step&) const = default;
};

/// The load of layers of a version from its own pieces.
load_step make_load_step(std::uint64_t version, const protocol::layer_range& layers);

/// Orders, one after the other, by which an engine loads each of `layers` again: a version that it
/// holds already is not loaded by a second order. `model_layers`: layers of the whole model.
std::vector<load_step> reload_steps(std::uint64_t version, const protocol::layer_range& layers,
                                    unsigned model_layers);

} // namespace pollenyoke::rollout
