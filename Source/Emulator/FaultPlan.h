#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "Emulator/History.h"

namespace pollenyoke::emulator
{

enum class fault_kind
{
  kill_processes,
  kill_all,
  stop_process,
  pause_process,
  reload_process,
  store_away,
  store_rejects_machines,
  store_slow,
  store_loses_answers,
  store_connections_silent,
  store_forgets_history,
  store_resets_reads,
  crash_engines,
  engine_trouble,
  slow_engine,
  replace_server,
  desk_trouble,
  delayed_link,
  cut_link,
  one_way_link,
  silent_connections,
  origin_away,
  origin_trouble,
  config_series,
  long_config,
  new_weights,
  burst,
  impatient_callers,
  server_wants_pause,
  server_silent,
  /// The store is away for a moment and comes back from an older copy.
  store_restored,
  /// A server names a limit, changes it, spoils it and withdraws it.
  server_limited,
  /// An agent stands still, or its engine falls silent, while it reads staged pieces back; some of
  /// them turn bad.
  load_disturbed,
  /// Servers answer long requests before these are in, some of them in part only.
  early_answers,
  /// Engines answer 409 to streams that are to be continued, beside others that break streams off.
  failed_continuations,
  /// Processes get SIGTERM one after the other, some of them again, and SIGHUP around it.
  stop_series,
  /// Connections to the store, between processes, or both, go silent for good while new ones work.
  open_connections_silent,
};

struct planned_fault
{
  fault_kind kind = fault_kind::kill_processes;
  moment at = 0;
  /// How long it lasts, in seconds; without meaning for some kinds.
  double duration = 0;
  /// How many of the possible targets are concerned.
  double share = 0;
  /// Selects a variant and the targets.
  std::uint64_t choice = 0;
};

std::string_view to_string(fault_kind kind);

/// Draws the faults of a run; the same seed gives the same plan. Each run ends with a quiet time;
/// some runs lose all processes before it.
std::vector<planned_fault> draw_plan(std::uint64_t seed, double duration);
/// Draws planned work only: series of stops that overlap, beside changes of the configuration and
/// of weights, servers that leave or want pauses, and more requests than the servers can take.
std::vector<planned_fault> draw_stop_plan(std::uint64_t seed, double duration);
/// Draws servers that answer uploads early, break answers off or cannot continue streams.
std::vector<planned_fault> draw_answer_plan(std::uint64_t seed, double duration);

/// Draws connections that go silent while new ones work, each time with changes of the
/// configuration behind it, and processes that stand still, end or start meanwhile.
std::vector<planned_fault> draw_connection_plan(std::uint64_t seed, double duration);

} // namespace pollenyoke::emulator
