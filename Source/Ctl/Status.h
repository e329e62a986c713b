#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Common/Result.h"
#include "Fleet/FleetState.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::ctl
{

struct region_progress
{
  std::size_t serving = 0;
  std::size_t hosts = 0;
};

/// How far a release has come.
struct release_progress
{
  std::string model;
  std::string version;
  log_offset note;
  std::size_t serving = 0;
  /// Hosts that should serve it.
  std::size_t wanted = 0;
  std::map<std::string, region_progress> regions;
};

struct fleet_status
{
  log_offset offset;
  log_offset head;
  std::vector<release_progress> releases;
  std::vector<std::string> planned_stops;
  /// Listed hosts that did not answer.
  std::vector<std::string> silent;
  std::vector<fleet::note_outcome> notes;
};

/// Asks the log for the state and every listed agent for the versions that it serves.
result<fleet_status> read_status(const transport::endpoint& log,
                                 const transport::endpoint& host_list);
bool is_complete(const fleet_status& status);
/// Lines for a terminal, with a bar of `width` characters per release.
std::string format_status(const fleet_status& status, std::size_t width);
std::string format_status_json(const fleet_status& status);

/// The state dump of one process, indented JSON. `admin` is its admin address.
result<std::string> read_dump(const transport::endpoint& admin);

} // namespace pollenyoke::ctl
