#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

struct load_facts
{
  protocol::engine_report report;
  /// Newest version of which all pieces are held; 0 if none.
  std::uint64_t ready_version = 0;
  /// Time since that version became known to this host.
  std::chrono::milliseconds known_for{};
  /// Position of this host among the hosts of its service.
  std::size_t position = 0;
  /// An order was sent and its answer was lost: time since then.
  std::optional<std::chrono::milliseconds> order_unknown_for;
};

enum class load_action
{
  wait,
  /// Stage the pieces, check them and order the engine to load.
  load,
};

/// Time after a version became known at which a host's engine loads it.
std::chrono::milliseconds planned_load(std::size_t position);

/// Decides when the engine of this host loads. Load pattern: an engine that loads takes nothing new
/// and ends its running work first, so engines load in groups, one after the other, while the
/// others serve. An engine without weights loads at once.
load_action decide_load(const load_facts& facts);

} // namespace pollenyoke::rollout
