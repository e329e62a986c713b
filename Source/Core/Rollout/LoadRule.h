#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

/// An order that was accepted shows in the engine's report within this time, even if its answer was
/// lost.
constexpr std::chrono::milliseconds order_report_delay{1000};

/// Position of this host in the order in which the hosts of a service load a new version.
struct load_slot
{
  std::size_t position = 0;
  std::size_t host_count = 1;
};

/// What the time of an engine's load follows from.
struct load_plan
{
  load_slot slot;
  /// Time within which all engines have to serve a version; 0 if there is no limit.
  std::chrono::milliseconds version_limit{8000};
  /// Age of the version when this host held all pieces of it; 0 if it does not yet.
  std::chrono::milliseconds ready_after{};
};

struct load_inputs
{
  protocol::engine_report report;
  /// Whether the engine holds all layers of the version that it reports.
  bool holds_all_layers = false;
  /// Newest version of which this host holds all pieces; 0 if none.
  std::uint64_t ready_version = 0;
  /// Whether this host holds the pieces that an engine without weights loads first.
  bool first_part_ready = false;
  /// Time since this host learned of `ready_version`.
  std::chrono::milliseconds version_age{};
  load_plan plan;
  /// How long entries have been told to send no new requests; empty if the engine accepts them.
  std::optional<std::chrono::milliseconds> draining_for;
  /// Time since a load order was sent whose answer was lost; empty if there is none.
  std::optional<std::chrono::milliseconds> unanswered_order_age;
};

enum class load_action
{
  wait,
  /// Stop new requests to the engine so that its running requests can finish.
  drain,
  /// Stage all pieces on the engine, verify them and send the load order.
  load,
  /// Like `load`, with the pieces of the first layers only.
  load_first_part,
  /// Like `load`, for an engine that already holds some of these layers and keeps serving while it
  /// loads the others.
  load_rest,
};

/// Delay between learning of a version and the time at which the engine starts to drain. Load
/// pattern: an engine that loads is lost to requests for a second, so the loads are spread over the
/// time between the arrival of the pieces and the last time at which a load ends within the limit.
std::chrono::milliseconds planned_load_delay(const load_plan& plan);

/// Decides when the engine of this host loads. Load pattern: a steady flow of requests while all
/// engines have to load within the time limit of a version. Loading aborts running requests, so
/// engines load in staggered slots. Each engine first drains until its requests finish or until
/// waiting for the last of them costs more than running them again on another engine. An engine
/// without weights loads immediately, starting with its first layers while the others are still
/// being fetched.
load_action decide_load(const load_inputs& inputs);

} // namespace pollenyoke::rollout
