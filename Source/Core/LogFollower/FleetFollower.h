#pragma once

#include <functional>
#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "Common/Metrics.h"
#include "Common/Result.h"
#include "Fleet/FleetState.h"
#include "LogFollower/LogClient.h"
#include "Membership/Membership.h"
#include "Membership/PeerLinks.h"
#include "Protocol/LogRecord.h"
#include "Protocol/Settings.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::log_follower
{

using fleet_state_ptr = std::shared_ptr<const fleet::fleet_state>;

/// Keeps the folded fleet state of this process current: reads the log when this process is a
/// reader of its failure domain, passes records down the push tree, fetches what it missed from
/// peers, and writes checkpoints. Thread-safe.
class fleet_follower
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    transport::message_node& node;
    membership::membership& members;
    membership::peer_links& links;
    log_client& log;
    metrics_registry& metrics;
  };

  explicit fleet_follower(dependencies with);
  ~fleet_follower();
  fleet_follower(const fleet_follower&) = delete;
  fleet_follower& operator=(const fleet_follower&) = delete;
  fleet_follower(fleet_follower&&) = delete;
  fleet_follower& operator=(fleet_follower&&) = delete;

  void start();
  void stop();

  /// Never null; never older than one returned before.
  fleet_state_ptr state() const;
  /// Adds a callback for each new state. It runs on a follower thread and must not block.
  void on_change(std::function<void(fleet_state_ptr)> callback);

  /// Appends a record to stream `fleet` and waits until the local state has folded it. Whether the
  /// fold accepted it is then a question to the state. Blocks. Errors: see log_client::append_once.
  result<log_offset> append(protocol::record_body body, std::chrono::milliseconds patience);

  /// Handles state_push, state_fetch and state_reply; false for other messages.
  bool handle_frame(transport::connection_id from, const transport::frame& message);

  nlohmann::json dump() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::log_follower
