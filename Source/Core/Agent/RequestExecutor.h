#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "Agent/WeightManager.h"
#include "Common/Metrics.h"
#include "Keys/KeyOwner.h"
#include "Membership/PeerLinks.h"
#include "Protocol/Settings.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::agent
{

/// Admits requests from entries, runs them at the backend server and streams answers back. Keeps
/// answers until they are acknowledged, so that they can be resumed on another connection.
/// Thread-safe.
class request_executor
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    incarnation_id incarnation;
    transport::message_node& node;
    membership::peer_links& links;
    /// Null for plain services.
    weight_manager* weights = nullptr;
    /// Null for engines.
    keys::key_owner* keys = nullptr;
    metrics_registry& metrics;
  };

  explicit request_executor(dependencies with);
  ~request_executor();
  request_executor(const request_executor&) = delete;
  request_executor& operator=(const request_executor&) = delete;
  request_executor(request_executor&&) = delete;
  request_executor& operator=(request_executor&&) = delete;

  /// Handles request_open, cancel, answer_ack, outcome_query and resume_answer; false for others.
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);

  /// Admits no new request while leaving.
  void set_leaving(bool leaving = true);
  /// Waits until no admitted request is left and all answers were acknowledged; false on timeout.
  bool drain(std::chrono::milliseconds patience);
  std::uint32_t in_flight() const;
  std::uint32_t capacity() const;
  void stop();

  nlohmann::json dump() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::agent
