#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Log.h"
#include "Common/Result.h"
#include "Protocol/Messages.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::protocol
{

/// Repeats that all entries together may add for a service within a window.
struct repeat_budget_settings
{
  double share = 0.2;
  std::chrono::seconds window{10};
  double extra = 200;
};

/// How far the requests to a cold server may exceed the rate that its service names.
struct cold_server_settings
{
  /// Requests in any second: the rate times `overage`, and `slack` more.
  double overage = 1;
  double slack = 0;
};

/// Settings of a process on a platform that keeps the fleet's state in a store of its own.
struct node_settings
{
  process_role role = process_role::entry;
  std::string host;
  std::string ip;
  std::string region;
  std::string failure_domain;
  /// Failure domains and their regions, sorted by name.
  std::map<std::string, std::string> domains;
  /// Entries: addresses for callers, readiness checks and address lookups.
  std::optional<transport::endpoint> callers;
  std::optional<transport::endpoint> readiness;
  std::optional<transport::endpoint> lookup;
  /// Port of peers, on UDP and TCP, the same on all hosts.
  std::uint16_t peer_port = 0;
  /// Addresses of hosts to ask first; only the IP address counts.
  std::vector<std::string> seeds;
  transport::endpoint store;
  /// Agents: the engine on the same host and its service.
  std::optional<transport::endpoint> engine;
  std::string service;
  std::uint64_t memory_mb = 128;
  /// Bandwidth of the host's link, which live requests share.
  double link_mbit_per_s = 100;
  repeat_budget_settings repeats;
  /// No value where servers are never cold.
  std::optional<cold_server_settings> cold_servers;
  std::chrono::milliseconds stop_grace{8000};
  /// Latest time for a new version of the weights to serve everywhere.
  std::chrono::milliseconds version_limit{8000};
  /// Latest time for a leaving backend server to get no more requests, and for a configuration to
  /// be in force.
  std::chrono::milliseconds drain_limit{2000};
  std::chrono::milliseconds config_limit{2000};
  /// Interval at which backend servers write their records.
  std::chrono::milliseconds backend_heartbeat{1200};
  std::chrono::seconds lookup_lifetime_limit{5};
  log_level logging = log_level::info;
};

/// Parses and checks settings. The error message is one line, `FILE:LINE: key: reason`.
result<node_settings> parse_node_settings(std::string_view yaml, std::string_view file);

} // namespace pollenyoke::protocol
