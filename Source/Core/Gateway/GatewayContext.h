#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/IdlePool.h"
#include "AsyncIo/MemoryBudget.h"
#include "Common/Metrics.h"
#include "Common/TokenBucket.h"
#include "Gateway/BackendTable.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/PermitDesk.h"
#include "Gateway/RouteTable.h"
#include "Gateway/ServiceRetryBudget.h"
#include "Gateway/VersionPolicy.h"
#include "Protocol/NodeSettings.h"
#include "Routing/OverloadPolicy.h"

namespace pollenyoke::gateway
{

/// Called for each request sent to an engine, with the engine's host and the tokens to prefill
/// there.
using send_observer = std::function<void(const std::string& host, std::uint32_t prompt_tokens)>;

/// State shared by all requests of an entry.
struct gateway_context
{
  async_io::event_loop& loop;
  const protocol::node_settings& settings;
  std::shared_ptr<const route_table> routes;
  backend_table backends;
  async_io::idle_pool pool;
  version_policy versions;
  std::map<std::string, service_retry_budget> retry_budgets;
  /// By service.
  std::map<std::string, routing::overload_policy> overload;
  /// When the last refusals of a service were logged.
  std::map<std::string, time_point> refusals_logged;
  crash_detector crashes;
  permit_desk permits;
  /// Sends a message to all other entries.
  std::function<void(const peers::peer_message&)> tell_entries;
  std::mt19937_64 random;
  metrics_registry metrics;
  /// Limits the log lines about single requests; those that are cut are always logged.
  token_bucket log_budget;
  /// The same for callers that left, so that refusals do not hide them.
  token_bucket departure_log_budget;
  std::uint64_t dropped_log_lines = 0;
  time_point started;
  /// Number of live entries, including this one.
  std::function<std::size_t()> live_entries;
  /// Number of entries that may share a retry budget with this one, including this one.
  std::function<std::size_t()> possible_entries;
  send_observer on_send;
  /// Longest time limit that callers have stated, by route. It is taken as the time limit of a
  /// first attempt.
  std::map<std::string, milliseconds> longest_time_limit;
  /// What the connections of callers make this process hold.
  async_io::memory_budget memory;
  /// Closes connections until the budget has room for so many bytes more.
  std::function<void(std::size_t more_bytes)> enforce_memory_limit;
  /// Set from the begin of a planned stop on.
  std::optional<time_point> stop_started = std::nullopt;

  double random_fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  service_retry_budget& budget(const std::string& service)
  {
    return retry_budgets.try_emplace(service, settings.repeats, started).first->second;
  }
};

} // namespace pollenyoke::gateway
