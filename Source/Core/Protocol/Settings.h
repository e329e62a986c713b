#pragma once

#include <chrono>
#include <cstdint>
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

struct listen_settings
{
  transport::endpoint tcp;
  transport::endpoint udp;
  transport::endpoint http;
  /// Dump and metrics; separate threads, so that it answers under overload.
  transport::endpoint admin;
};

struct platform_settings
{
  transport::endpoint log;
  transport::endpoint host_list;
  transport::endpoint origin;
  std::optional<transport::endpoint> weight_store;
};

enum class backend_kind
{
  engine,
  service,
};

struct backend_settings
{
  transport::endpoint address;
  backend_kind kind = backend_kind::engine;
  /// Requests that run at the same time.
  std::uint32_t slots = 8;
};

enum class distribution_goal
{
  time,
  origin_bytes,
};

/// How weights reach the hosts. `tree` and `origin_only` are baselines for measurements;
/// `origin_only` does not keep the upper bound of bytes read from the origin.
enum class distribution_policy
{
  pollenyoke,
  tree,
  origin_only,
};

struct distribution_settings
{
  distribution_goal goal = distribution_goal::time;
  distribution_policy policy = distribution_policy::pollenyoke;
  /// Pace of weights sent by this host, bytes per second.
  double uplink_bytes_per_s = 25e6 / 8;
  /// Pace of weights fetched by this host, bytes per second.
  double downlink_bytes_per_s = 25e6 / 8;
  /// Pace of weights that the hosts of one region together fetch from one other region, bytes per
  /// second. Each host takes an equal share.
  double region_bytes_per_s = 25e6 / 8;
  /// Pace of all stripe holders together when they read the origin, bytes per second; 0 leaves
  /// only the downlink pace of each holder.
  double origin_bytes_per_s = 0;
  /// Share of a service's replicas that may load a version at the same time.
  double max_loading_fraction = 0.5;
  /// Weights kept in memory, bytes.
  std::uint64_t memory_bytes = 2'000'000'000;
  /// Region of the origin and the weight store.
  std::string store_region;
};

/// How an entry chooses among agents that can run a request.
enum class routing_policy
{
  /// Prefix affinity with bounded load, else the less loaded of two.
  balanced,
  /// For comparison.
  random,
  round_robin,
};

struct request_settings
{
  routing_policy policy = routing_policy::balanced;
  /// Agents: waiting requests beyond the slots. Entries: requests in flight.
  std::uint32_t queue = 64;
  std::uint32_t max_in_flight = 1024;
  /// Backend servers of each service that an entry watches.
  std::uint32_t subset = 40;
  double retry_budget = 0.1;
  std::chrono::milliseconds default_deadline{60000};
  /// How long callers may keep a discovery answer.
  std::chrono::milliseconds entry_lifetime{10000};
  /// Longest wait for requests in progress at a planned stop.
  std::chrono::milliseconds drain_timeout{60000};
};

struct key_settings
{
  /// How long an idempotency key is honoured; must not exceed the log's retention.
  std::chrono::seconds lifetime{86400};
  /// Appends per second that this process may use for claims.
  double appends_per_s = 20;
  std::chrono::milliseconds claim_timeout{3000};
  /// The log counts as down after this long without a confirmed answer.
  std::chrono::milliseconds log_outage_threshold{10000};
};

/// Intervals of membership and state distribution; every process of a fleet uses the same.
struct control_settings
{
  /// Shortest interval between two heartbeats to one subscriber. A process that watches many peers
  /// asks for a longer one, up to max_heartbeat_interval.
  std::chrono::milliseconds heartbeat_interval{1000};
  std::chrono::milliseconds max_heartbeat_interval{10000};
  /// Bytes per second that heartbeats of one process may use, both directions together.
  double heartbeat_bytes_per_s = 1000;
  std::chrono::milliseconds host_list_interval{2000};
  /// Bytes per second for polling the host list, on average; a long list that the platform neither
  /// compresses nor answers conditionally is polled less often.
  double host_list_bytes_per_s = 600;
  /// Longest wait of one read of the log.
  std::chrono::milliseconds log_poll_wait{2000};
  /// A process that gets no state from its failure domain for this long reads the log itself.
  std::chrono::milliseconds orphan_timeout{10000};
  /// Records between two checkpoints.
  std::uint32_t checkpoint_records = 1000;
  /// Longest time between two checkpoints; well below the log's retention.
  std::chrono::seconds checkpoint_interval{3600};
};

struct settings
{
  process_role role = process_role::entry;
  host_id host;
  std::string region;
  std::string failure_domain;
  /// Agents: the service of the backend server.
  std::string service;
  listen_settings listen;
  platform_settings platform;
  std::optional<backend_settings> backend;
  distribution_settings distribution;
  request_settings requests;
  key_settings keys;
  control_settings control;
  log_level logging = log_level::info;
};

/// Full names of all settings of an agent, which include those of an entry.
std::vector<std::string> setting_names();

/// Parses and checks settings. The error message is one line, `FILE:LINE: key: reason`.
result<settings> parse_settings(std::string_view yaml, std::string_view file);

} // namespace pollenyoke::protocol
