#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Ids.h"
#include "Common/Metrics.h"
#include "Common/Result.h"
#include "LogFollower/FleetFollower.h"
#include "LogFollower/LogClient.h"
#include "Membership/Membership.h"
#include "Membership/PeerLinks.h"
#include "Process/RunningProcess.h"
#include "Protocol/Settings.h"
#include "Transport/HttpServer.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::process
{

/// The components that both roles have: internal transport, links, membership, log follower and the
/// admin server with dump and metrics. Starts and stops them in order and hands to the role what
/// concerns it. A role's destructor must call stop().
class process_base : public running_process
{
public:
  /// Start order: transport, make_components(), membership and follower, start_components(), admin
  /// server. An error leaves a process that only can be destroyed.
  result<void> start();
  /// Stop order: stop_serving(), transport, stop_components(), follower, membership, admin
  /// server. Further calls have no effect.
  void stop();

  nlohmann::json dump() const final;
  transport::endpoint tcp_endpoint() const final;
  transport::endpoint udp_endpoint() const final;
  transport::endpoint admin_endpoint() const final;

protected:
  explicit process_base(protocol::settings with);

  /// The role's own steps. Frames and datagrams arrive only while is_ready().
  virtual result<void> make_components() = 0;
  virtual result<void> start_components() = 0;
  /// Ends what accepts work and needs the transport to finish it.
  virtual void stop_serving() {}
  /// Called when no handler runs any more.
  virtual void stop_components() {}
  /// False for messages that the role does not know.
  virtual bool handle_frame(transport::connection_id from, const transport::frame& message) = 0;
  virtual void handle_closed(transport::connection_id connection) = 0;
  /// Called when the process begins to leave, before peers know, and when it no longer leaves.
  virtual void handle_leaving(bool /*leaving*/) {}
  virtual void describe_role(protocol::heartbeat& own) const = 0;
  virtual void dump_role(nlohmann::json& to) const = 0;

  const protocol::settings& settings() const
  {
    return m_settings;
  }
  incarnation_id incarnation() const
  {
    return m_incarnation;
  }
  metrics_registry& metrics()
  {
    return m_metrics;
  }
  transport::message_node& node()
  {
    return *m_node;
  }
  membership::peer_links& links()
  {
    return *m_links;
  }
  membership::membership& members()
  {
    return *m_members;
  }
  const membership::membership& members() const
  {
    return *m_members;
  }
  log_follower::log_client& log()
  {
    return m_log;
  }
  log_follower::fleet_follower& follower()
  {
    return *m_follower;
  }
  bool is_ready() const
  {
    return m_ready;
  }
  bool is_leaving() const
  {
    return m_leaving;
  }
  /// Leaves for good, whatever the host list and the planned stops say.
  void begin_planned_stop();

private:
  result<void> start_node();
  void make_shared_components();
  result<void> start_admin();
  void on_frame(transport::connection_id from, const transport::frame& message);
  void on_closed(transport::connection_id connection);
  void on_state(const fleet::fleet_state& state);
  void on_view(const membership::member_view& view);
  /// A process leaves on its own word, by a planned stop in force, or when the host list says so.
  /// The last two can be revoked.
  template <typename Change>
  void change_leaving(const Change& change);
  void describe_self(protocol::heartbeat& own) const;
  transport::http_response serve_admin(const transport::http_request& request) const;

  const protocol::settings m_settings;
  const incarnation_id m_incarnation;
  metrics_registry m_metrics;
  log_follower::log_client m_log;
  // Frames that arrive before all components exist are dropped; peers send them again.
  std::atomic<bool> m_ready{false};
  struct leaving_reasons
  {
    bool own_stop = false;
    bool planned = false;
    bool listed = false;
  };
  std::mutex m_leaving_mutex;
  leaving_reasons m_reasons;
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_stopped{false};
  std::unique_ptr<transport::message_node> m_node;
  std::unique_ptr<membership::peer_links> m_links;
  std::unique_ptr<membership::membership> m_members;
  std::unique_ptr<log_follower::fleet_follower> m_follower;
  std::unique_ptr<transport::http_server> m_admin;
};

/// Makes a process of type `Role` and starts it.
template <typename Role>
result<std::unique_ptr<running_process>> start_role(const protocol::settings& with)
{
  auto made = std::make_unique<Role>(with);
  if (auto started = made->start(); !started)
  {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<running_process>(std::move(made));
}

} // namespace pollenyoke::process
