#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/IdlePool.h"
#include "Common/Metrics.h"
#include "Common/TokenBucket.h"
#include "Gateway/BackendTable.h"
#include "Gateway/RepeatBudget.h"
#include "Gateway/RouteTable.h"
#include "Gateway/VersionRule.h"
#include "Protocol/NodeSettings.h"

namespace pollenyoke::gateway
{

/// Told of each send to an engine: the engine's host and the prompt's tokens.
using send_observer = std::function<void(const std::string& host, std::uint32_t prompt_tokens)>;

/// What all requests of an entry share.
struct gateway_context
{
  async_io::event_loop& loop;
  const protocol::node_settings& settings;
  std::shared_ptr<const route_table> routes;
  backend_table backends;
  async_io::idle_pool pool;
  version_rule versions;
  std::map<std::string, repeat_budget> budgets;
  std::mt19937_64 random;
  metrics_registry metrics;
  token_bucket log_budget;
  std::uint64_t dropped_log_lines = 0;
  time_point started;
  /// Live entries, this one included.
  std::function<std::size_t()> live_entries;
  /// Entries that may share a budget with this one, which is included.
  std::function<std::size_t()> possible_entries;
  send_observer on_send;
  /// Longest time that a caller of each route has stated: the time of a first attempt.
  std::map<std::string, milliseconds> longest_time;
  bool stopping = false;

  double draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  repeat_budget& budget(const std::string& service)
  {
    return budgets.try_emplace(service, settings.repeats, started).first->second;
  }
};

} // namespace pollenyoke::gateway
