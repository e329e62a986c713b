#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Emulator/Checks.h"
#include "Emulator/Deployment.h"
#include "Emulator/PlatformRun.h"

namespace pollenyoke::emulator
{

enum class soak_verdict
{
  passed,
  violated,
  /// The machine could not keep up, so that nothing can be said of times.
  not_run,
};

/// Which faults are drawn.
enum class soak_plan
{
  /// All kinds.
  mixed,
  /// Disturbances at the steps of loads.
  loads,
  /// Planned stops in series, and other planned work beside them.
  stops,
  /// Answers that come early, break off or do not continue a stream.
  answers,
  /// Connections that go silent while new ones work.
  connections,
};

struct soak_options
{
  run_options run;
  soak_plan plan = soak_plan::mixed;
  double duration = 60;
  /// Draw and inject faults; without, the run is calm.
  bool faults = true;
  /// Prints what happens to standard error.
  bool progress = true;
};

/// Loads of a run that were disturbed, and what came of them.
struct load_counts
{
  /// By the step at which they were disturbed.
  std::map<std::string, std::size_t> disturbed;
  /// Requests that ran with layers that are not whole, by the disturbance of their load.
  std::map<std::string, std::size_t> not_whole;
};

struct soak_report
{
  std::uint64_t seed = 0;
  double duration = 0;
  std::size_t processes = 0;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t gave_up = 0;
  std::size_t faults = 0;
  /// Bytes that the origin sent, in copies of one version for each version that was named.
  double origin_copies = 0;
  std::int64_t longest_delay_ms = 0;
  soak_verdict verdict = soak_verdict::not_run;
  std::vector<violation> violations;
  leaving_times leaving;
  limit_use limits;
  /// SIGTERMs, and those of them that reached a process that stopped already.
  std::size_t stops = 0;
  std::size_t repeated_stops = 0;
  /// Empty unless loads were to be disturbed.
  std::optional<load_counts> loads;
};

/// Runs the system on the emulated platform for a while and checks what was seen. Errors as of
/// platform_run::start, or `timeout`: the entries do not become ready.
result<soak_report> run_soak(const deployment& what, const soak_options& options);

/// One line of JSON.
std::string to_json(const soak_report& report);

} // namespace pollenyoke::emulator
