#pragma once

#include <chrono>
#include <cstddef>

#include "Protocol/Settings.h"

namespace pollenyoke::membership
{

/// A peer counts as dead after this many heartbeat intervals without a heartbeat.
constexpr int silent_intervals = 3;
/// Limit for the control traffic of one process, both directions together, bytes/s (design, 1.5).
constexpr double control_bytes_per_s = 2000;
/// A heartbeat without served versions.
constexpr double plain_heartbeat_bytes = 76;
/// Mean for planning: with two served versions a heartbeat has 140 bytes, sent only after a change.
constexpr double heartbeat_bytes = 96;
/// Keep-alive of one connection: 8 bytes every 500 ms in each direction.
constexpr double connection_bytes_per_s = 32;
/// What heartbeats and connections leave to the rest, bytes/s: 10,000 records a day of 300 bytes,
/// received once and passed on to 8 children (315), changes of the host list in the same way (85),
/// subscriptions (170), and the polls of a candidate (up to 150).
constexpr double other_control_bytes_per_s = 720;
/// Below this the detection of dead hosts would become too slow.
constexpr double least_heartbeat_bytes_per_s = 400;

/// What determines the control traffic of a process.
struct control_load
{
  std::size_t watched = 0;
  std::size_t subscribers = 0;
  std::size_t connections = 0;
};

/// Bytes per second that heartbeats may use in both directions together. Pure.
double heartbeat_budget(const protocol::control_settings& control, std::size_t connections);

/// The interval at which heartbeats from the watched peers and to the subscribers stay within the
/// budget, if max_heartbeat_interval allows it. Pure.
std::chrono::milliseconds heartbeat_interval(const protocol::control_settings& control,
                                             const control_load& load);

} // namespace pollenyoke::membership
