#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

/// Position of this host among the hosts of its service.
struct load_turn
{
  std::size_t position = 0;
  std::size_t hosts = 1;
};

struct load_facts
{
  protocol::engine_report report;
  /// The engine holds all layers of the version that it reports.
  bool whole = false;
  /// Newest version of which all pieces are held; 0 if none.
  std::uint64_t ready_version = 0;
  /// The pieces that an engine without weights loads first are held.
  bool first_part_ready = false;
  /// Time since that version became known to this host.
  std::chrono::milliseconds known_for{};
  load_turn turn;
  /// Since when the engine gets no new requests; empty if it does.
  std::optional<std::chrono::milliseconds> drained_for;
  /// An order was sent and its answer was lost: time since then.
  std::optional<std::chrono::milliseconds> order_unknown_for;
};

enum class load_action
{
  wait,
  /// Entries send nothing new to the engine, so that its running work ends.
  drain,
  /// Stage the pieces, check them and order the engine to load.
  load,
  /// The same with the pieces of the first part only.
  load_first_part,
  /// The same as `load`, for an engine that holds a part of these layers and serves meanwhile.
  load_rest,
};

/// Time after a version became known at which a host's engine begins to drain for it.
std::chrono::milliseconds planned_load(const load_turn& turn);

/// Decides when the engine of this host loads. Load pattern: steady requests while all engines have
/// to load within the time limit of a version. Loading ends the engine's work, so engines take
/// turns, and each first gets no new requests until its running ones have ended or waiting for the
/// last of them would cost more than running these again elsewhere. An engine without weights loads
/// at once, the first part of its layers before the others are there.
load_action decide_load(const load_facts& facts);

} // namespace pollenyoke::rollout
