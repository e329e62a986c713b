#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Ids.h"
#include "Common/Metrics.h"
#include "Common/Result.h"
#include "Protocol/Messages.h"
#include "Protocol/Settings.h"
#include "Transport/Endpoint.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::membership
{

/// One entry of the platform's host list.
struct listed_host
{
  host_id host;
  protocol::process_role role = protocol::process_role::entry;
  std::string region;
  std::string failure_domain;
  /// Agents: the service of the backend server.
  std::string service;
  transport::endpoint tcp;
  transport::endpoint udp;
  transport::endpoint http;
  transport::endpoint admin;
  bool leaving = false;

  auto operator<=>(const listed_host&) const = default;
};

struct host_list
{
  std::uint64_t version = 0;
  std::vector<listed_host> hosts;
  /// The platform's entity tag of this version; empty if it sends none. Passed on between processes
  /// so that the next one that polls does not fetch a list that it has.
  std::string etag;
};

result<host_list> parse_host_list(std::string_view json_text);
std::string format_host_list(const host_list& list);

/// How a process polls the platform's host list.
enum class polling
{
  off,
  /// Less often, in case the primary is cut off from the platform.
  backup,
  primary,
};

/// What this process knows of another one.
struct peer
{
  listed_host listed;
  /// From the last heartbeat; zero before the first one.
  incarnation_id incarnation;
  std::chrono::steady_clock::time_point last_heard{};
  /// This process subscribed to its heartbeats.
  bool watched = false;
  /// Watched, nothing heard yet, and not for long enough to call it dead.
  bool awaited = false;
  /// Heartbeats arrive. False also for a peer that was never subscribed to.
  bool alive = false;
  /// By host list, planned stop or the peer's own word.
  bool leaving = false;
  log_offset state_offset;
  std::uint64_t host_list_version = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t capacity = 0;
  std::uint32_t log_age_ms = 0;
  std::vector<protocol::served_version> serving;
};

struct member_view
{
  std::uint64_t host_list_version = 0;
  /// All hosts of the host list, sorted by host id.
  std::vector<peer> peers;

  const peer* find(const host_id& host) const;
};

using member_view_ptr = std::shared_ptr<const member_view>;

/// Follows the host list and exchanges heartbeats with the peers that this process depends on.
/// Thread-safe.
class membership
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    incarnation_id incarnation;
    transport::message_node& node;
    metrics_registry& metrics;
    /// Fills load, serving, state offset, log age and the leaving flag of the own heartbeat.
    std::function<void(protocol::heartbeat&)> describe_self;
  };

  explicit membership(dependencies with);
  ~membership();
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;
  membership(membership&&) = delete;
  membership& operator=(membership&&) = delete;

  void start();
  void stop();

  /// Never null. A snapshot: cheap to take, does not change.
  member_view_ptr view() const;
  /// Takes a host list from a peer or from the platform if it is newer.
  void update_host_list(const host_list& list);
  /// The current host list; empty with version 0 before there is one.
  std::shared_ptr<const host_list> current_host_list() const;
  /// How this process polls the platform's host list. Until it has a first list it always polls.
  void set_host_list_polling(polling mode);
  /// Hosts with a planned stop in the fleet state.
  void set_planned_stops(std::vector<host_id> hosts);
  /// Sends heartbeats at once, for example when this process starts to leave.
  void announce();
  /// Handles heartbeat and subscribe; false for other messages.
  bool handle_datagram(const transport::endpoint& from, const transport::frame& message);
  /// Adds a callback for changes of listed hosts, liveness, leaving flags or served versions.
  void on_change(std::function<void(member_view_ptr)> callback);

  nlohmann::json dump() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::membership
