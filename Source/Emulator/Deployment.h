#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Result.h"
#include "Emulator/Checks.h"
#include "Emulator/PlatformMessages.h"
#include "Protocol/Messages.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::emulator
{

/// Interval at which servers write their records.
constexpr std::chrono::milliseconds backend_heartbeat{1200};

/// What is emulated. The file is YAML; docs/OPERATIONS.md describes its keys.
struct deployment
{
  /// Failure domains and their regions.
  std::map<std::string, std::string> domains{{"a", "north"}, {"b", "west"}, {"c", "south"}};
  /// Numbers over all failure domains.
  unsigned entries = 3;
  unsigned engines = 6;
  unsigned desks = 3;
  double requests_per_s = 40;
  /// Share of the requests that go to the model engines.
  double model_share = 0.6;
  /// Share of the callers who leave before they have an answer.
  double impatient_share = 0.05;
  /// Requests a second that the first engine and the first desk take, by their own word; 0: no
  /// limit.
  double server_limit_per_s = 0;
  std::uint64_t memory_mb = 182;
  double origin_bytes_per_s = 1.9e6;
  std::chrono::seconds lookup_lifetime_limit{5};
  /// What the processes send each other passes the emulator, see peer_network.
  bool carries_peer_traffic = false;
  engine_model engine;
  rule_bounds bounds;
};

/// Error message: one line, `FILE:LINE: key: reason`.
result<deployment> parse_deployment(std::string_view yaml, std::string_view file);

struct machine
{
  std::string name;
  protocol::process_role role = protocol::process_role::entry;
  std::string domain;
  std::string ip;
  /// Where this machine reaches the store.
  transport::endpoint store;
  /// Where its process listens, and reaches all others.
  std::uint16_t peer_port = 0;
};

/// A plain backend server, which has no machine of the system.
struct desk_host
{
  std::string domain;
  transport::endpoint address;
};

/// Addresses of one run: each machine has its own in 127.NETWORK.0.0/16.
struct layout
{
  std::vector<machine> machines;
  std::vector<desk_host> desks;
  transport::endpoint origin;
};

layout make_layout(const deployment& what, unsigned network);

transport::endpoint callers_address(const machine& entry);
transport::endpoint readiness_address(const machine& entry);
transport::endpoint lookup_address(const machine& entry);
/// Where callers connect, in front of the entry: a proxy that can disturb their connections.
transport::endpoint proxy_address(const machine& entry);
transport::endpoint engine_address(const machine& agent);

/// Name of the service of the model engines, of the plain service, and of the engines' model.
constexpr std::string_view model_service = "models";
constexpr std::string_view desk_service = "desk";
constexpr std::string_view origin_service = "weights";
constexpr std::string_view model_name = "m1";
constexpr std::string_view host_name = "crates.example";

/// The platform's settings fields for a process, from which the templates are filled.
nlohmann::json settings_fields(const deployment& what, const layout& where, const machine& of);

} // namespace pollenyoke::emulator
