#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Protocol/Messages.h"

namespace pollenyoke::routing
{

/// Work added to a team's deficit in each round, in units of waiting_request::cost.
constexpr std::uint32_t fair_quantum = 64;
/// Share of the work that is reserved for batch requests while interactive requests wait too.
constexpr double batch_share = 0.2;

/// A request that waits at an agent for a slot of its backend server.
struct waiting_request
{
  protocol::attempt_id id;
  std::string team;
  protocol::request_priority priority = protocol::request_priority::interactive;
  /// Estimated work: tokens for engines, fair_quantum for a call of a plain service.
  std::uint32_t cost = fair_quantum;
  std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::time_point::max();
};

/// Bounded queue that serves interactive requests before batch requests, except for batch_share,
/// and schedules the teams within a priority by deficit round robin. Not thread-safe.
class fair_queue
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Adds a request. If `limit` requests are waiting already, evicts the newest request of the team
  /// with the most waiting requests, from the batch queues first. Returns the request that was
  /// evicted or rejected.
  std::optional<waiting_request> push(waiting_request request, std::size_t limit);
  std::optional<waiting_request> pop();
  bool remove(const protocol::attempt_id& id);
  /// Removes and returns the requests whose deadline has passed.
  std::vector<waiting_request> take_expired(time_point now);
  std::vector<waiting_request> take_all();
  std::size_t size() const;
  /// Work of all waiting requests.
  std::uint64_t work() const;
  /// Upper estimate of the queued work that is dispatched before a new request of this team.
  std::uint64_t work_before(std::string_view team, protocol::request_priority priority,
                            std::uint32_t cost) const;

private:
  struct team_queue
  {
    std::string name;
    std::deque<waiting_request> waiting;
    std::uint64_t deficit = 0;

    std::uint64_t work() const;
  };
  /// Teams with waiting requests, in round-robin order.
  using team_list = std::list<team_queue>;

  static std::uint64_t work_of(const team_list& list);
  team_list& teams_of(protocol::request_priority priority);
  team_queue* longest_queue(team_list& list);
  std::optional<waiting_request> pop_from(team_list& list);
  bool is_batch_due() const;

  std::size_t m_size = 0;
  // Work that batch requests may run before the next interactive request.
  double m_batch_credit = 0;
  std::array<team_list, 2> m_teams;
};

} // namespace pollenyoke::routing
