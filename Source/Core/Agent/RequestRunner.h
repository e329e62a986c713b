#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "Common/Metrics.h"
#include "Keys/KeyOwner.h"
#include "Protocol/Settings.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::agent
{

/// What the runner uses of other modules, as functions.
struct runner_environment
{
  std::function<bool(transport::connection_id, const transport::frame&)> send;
  std::function<void(transport::connection_id)> close;

  /// Engines; empty for plain services.
  std::function<bool(std::string_view model, std::string_view version)> is_serving;
  std::function<void(std::string_view model, std::string_view version, std::string_view manifest)>
      report_answer;
  std::function<void()> backend_lost;

  /// Plain services; empty for engines.
  std::function<void(const std::string& key, const digest& body,
                     keys::key_owner::decision_callback)>
      begin_key;
  std::function<void(const std::string& key, keys::stored_response)> key_finished;
  std::function<void(const std::string& key)> key_failed;
  std::function<void(const std::string& key)> key_not_dispatched;
  std::function<std::string()> mint_key;
};

/// Admits, queues and runs requests; see request_executor. Thread-safe.
class request_runner
{
public:
  request_runner(const protocol::settings& with, incarnation_id incarnation,
                 runner_environment environment, metrics_registry& metrics);
  ~request_runner();
  request_runner(const request_runner&) = delete;
  request_runner& operator=(const request_runner&) = delete;
  request_runner(request_runner&&) = delete;
  request_runner& operator=(request_runner&&) = delete;

  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);
  void set_leaving(bool leaving = true);
  bool drain(std::chrono::milliseconds patience);
  std::uint32_t in_flight() const;
  std::uint32_t capacity() const;
  void stop();
  nlohmann::json dump() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_impl;
};

} // namespace pollenyoke::agent
