#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Metrics.h"
#include "LogFollower/FleetFollower.h"
#include "Membership/Membership.h"
#include "Membership/PeerLinks.h"
#include "Protocol/Messages.h"
#include "Protocol/Settings.h"
#include "Transport/Http.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::agent
{

/// Brings the releases of this host's service onto the host and into its engine: fetches and checks
/// chunks, orders loads and unloads, and tells which versions the engine has confirmed.
/// Thread-safe.
class weight_manager
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    incarnation_id incarnation;
    transport::message_node& node;
    membership::membership& members;
    membership::peer_links& links;
    log_follower::fleet_follower& follower;
    metrics_registry& metrics;
    /// The own HTTP address, from which the engine reads `GET /weights/<manifest>`.
    transport::endpoint weights_address;
  };

  explicit weight_manager(dependencies with);
  ~weight_manager();
  weight_manager(const weight_manager&) = delete;
  weight_manager& operator=(const weight_manager&) = delete;
  weight_manager(weight_manager&&) = delete;
  weight_manager& operator=(weight_manager&&) = delete;

  void start();
  void stop();

  /// Handles have_update, chunk_request, chunk_reply, manifest_request and manifest_reply; false
  /// for other messages.
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);
  /// Answers `GET /weights/<manifest>` for the own engine.
  transport::http_response serve_weights(const transport::http_request& request);

  /// Versions that the engine has confirmed under the current fencing number.
  std::vector<protocol::served_version> serving() const;
  bool is_serving(std::string_view model, std::string_view version) const;
  /// Called with the version and manifest that the engine reported with an answer. On a mismatch
  /// with what was confirmed, the version stops being served until the engine has loaded it again.
  void report_answer(std::string_view model, std::string_view version,
                     std::string_view reported_manifest);
  /// Called when the backend server lost its connections: reads its status again before serving.
  void backend_lost();
  /// Adds a callback for changes of serving().
  void on_change(std::function<void()> callback);

  nlohmann::json dump() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::agent
