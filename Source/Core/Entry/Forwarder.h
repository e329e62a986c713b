#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Metrics.h"
#include "Entry/AgentLinks.h"
#include "Entry/Candidates.h"
#include "Entry/SuspectExchange.h"
#include "Membership/Membership.h"
#include "Protocol/Settings.h"
#include "Routing/CandidateChoice.h"
#include "Routing/RetryBudget.h"

namespace pollenyoke::entry
{

class request_session;

/// A validated request of a caller.
struct forward_request
{
  /// Attempt number, deadline and resume position are set for each attempt.
  protocol::request_open open;
  std::chrono::steady_clock::time_point deadline;
  /// Beginning of the prompt, for prefix affinity.
  std::string prefix;
  /// Returns false once the caller has disconnected; may be empty.
  std::function<bool()> is_connected;
};

struct forwarder_environment
{
  std::function<membership::member_view_ptr()> view;
  std::function<bool(transport::connection_id, const transport::frame&)> send;
  std::function<void(transport::connection_id)> close;
};

/// The agent that an attempt is sent to.
struct chosen_agent
{
  host_id host;
  transport::endpoint address;
};

/// Manages the requests in flight of an entry: chooses agents and dispatches received frames to the
/// session of their request. Thread-safe.
class forwarder
{
public:
  forwarder(const protocol::settings& config, forwarder_environment environment, agent_links& links,
            suspect_exchange& suspects, metrics_registry& metrics);
  ~forwarder();
  forwarder(const forwarder&) = delete;
  forwarder& operator=(const forwarder&) = delete;
  forwarder(forwarder&&) = delete;
  forwarder& operator=(forwarder&&) = delete;

  /// Creates the session of a request; null if the limit of requests in flight is reached.
  std::shared_ptr<request_session> start(forward_request request);
  std::uint32_t in_flight() const;
  /// A planned stop ends at `end`. Requests that arrive later than `refuse_from` and may last
  /// longer are refused.
  void begin_stop(std::chrono::steady_clock::time_point refuse_from,
                  std::chrono::steady_clock::time_point end);
  /// Ends all requests; callers get the outcome known at that time.
  void stop();

  /// Handles answer messages of agents; false for other messages.
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);
  nlohmann::json dump() const;

private:
  friend class request_session;

  std::optional<chosen_agent> choose_agent(const forward_request& request,
                                           const std::set<host_id>& excluded);
  std::optional<chosen_agent> find_agent(const host_id& host) const;
  std::vector<const membership::peer*> usable_agents(const membership::member_view& view,
                                                     const forward_request& request,
                                                     const std::set<host_id>& excluded) const;
  routing::candidate make_candidate(const membership::peer& agent) const;
  void adjust_in_flight(const host_id& host, int change);
  void record_load(const host_id& host, std::uint32_t load_permille);
  void record_key_owner(const std::string& service, const std::string& key, const host_id& owner);
  bool may_retry();
  bool outlasts(const forward_request& request);
  void remove(const request_id& id);

  struct reported_load
  {
    std::uint32_t permille = 0;
    std::chrono::steady_clock::time_point at{};
  };

  const protocol::settings m_settings;
  const forwarder_environment m_environment;
  agent_links& m_links;
  suspect_exchange& m_suspects;
  metrics_registry& m_metrics;

  mutable std::mutex m_mutex;
  std::unordered_map<request_id, std::weak_ptr<request_session>> m_sessions;
  std::map<host_id, std::uint32_t> m_own_in_flight;
  std::map<host_id, reported_load> m_reported_loads;
  std::map<std::pair<std::string, std::uint32_t>, host_id> m_key_owners;
  routing::retry_budget m_retry_budget;
  std::mt19937_64 m_random_engine;
  std::uint64_t m_round_robin_count = 0;
  std::atomic<std::uint32_t> m_in_flight{0};
  std::atomic<bool> m_stopping{false};
  struct planned_end
  {
    std::chrono::steady_clock::time_point refuse_from;
    std::chrono::steady_clock::time_point end;
  };
  std::optional<planned_end> m_planned_end;
};

} // namespace pollenyoke::entry
