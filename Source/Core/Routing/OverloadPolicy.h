#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "Routing/AdmissionDecision.h"

namespace pollenyoke::routing
{

/// Urgency of a request; smaller ones go first. The team's priority goes before that of the route,
/// which orders the requests of equal teams.
struct urgency
{
  unsigned team = 0;
  unsigned route = 0;

  auto operator<=>(const urgency&) const = default;
};

/// A request as far as it competes with others for the servers of its service.
struct demand
{
  urgency rank;
  /// Empty if the request belongs to no team.
  std::string team;
  /// Work at a server, in tokens of a prompt; 1 for a service without engines.
  double cost = 1;
};

/// Sums that decay with time.
class demand_average
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `time_constant_s`: time in which a sum falls to 37%.
  explicit demand_average(double time_constant_s);

  /// `part`: the part of `all` that the average is about.
  void add(double part, double all, time_point now);
  double part(time_point now) const;
  double all(time_point now) const;

private:
  double decay(time_point now) const;

  double m_time_constant_s;
  double m_part = 0;
  double m_all = 0;
  time_point m_updated{};
};

/// Why a request was refused.
enum class refusal_kind
{
  servers_full,
  /// No server could be used. Less demand for other servers would not have helped.
  no_server,
  /// The request could not be on time any more; its first attempt has been counted.
  late,
};

/// Counters of the requests of one urgency since the start of the process.
struct urgency_counts
{
  std::uint64_t demand = 0;
  std::uint64_t admitted = 0;
  std::uint64_t on_time = 0;
  std::uint64_t late = 0;
};

/// Decides, for the requests of one service at one entry, which are admitted when there is less
/// room than demand, in which order they run, and when refused ones return. Every entry decides
/// alone on its random part of the demand. The caller passes the time. Not thread-safe.
///
/// Load pattern: more demand than the servers can run within the objectives. Without a policy the
/// engines fill up with requests that could wait, and with those of a few teams.
class overload_policy
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using ticket = std::uint64_t;

  /// Fills in `refused_share` and `wait_allowance` and decides.
  admission_decision decide(const demand& request, admission_input input, time_point now);
  /// The request is sent to a server for the first time. `due`: when its first event has to arrive;
  /// no value if it cannot be on time any more.
  ticket note_admitted(const demand& request, std::optional<time_point> due, time_point now);
  void note_refused(const demand& request, refusal_kind kind, time_point now);
  /// The first event of an admitted request has arrived.
  void note_answer(ticket admitted, time_point now);
  /// An admitted request has ended, with an answer or without one.
  void note_end(ticket admitted);

  double refused_share(time_point now) const;
  /// Share of the longest wait that requests like this one are granted now.
  double wait_allowance(const demand& request, time_point now) const;
  /// The urgency or the team of the request has had less than the floor of its demand.
  bool is_below_floor(const demand& request, time_point now) const;
  const std::map<urgency, urgency_counts>& counts() const;
  /// Team with the largest demand lately and its share of the demand; empty if there is none.
  std::pair<std::string, double> largest_team(time_point now) const;

private:
  struct urgency_state
  {
    /// Admitted and demanded work.
    demand_average work;
    /// Refused or late requests, of those that could be on time.
    demand_average lost;

    urgency_state();
  };
  struct waiting_answer
  {
    urgency rank;
    time_point due;
  };

  urgency_state& state_of(const urgency& rank);
  demand_average& team_work(const std::string& team);
  void note_outcome(const urgency& rank, bool is_late, time_point now);
  void count_overdue(time_point now);
  /// Share of the service's demand that is more urgent and was refused or late.
  double loss_above(const urgency& rank, time_point now) const;
  double urgency_allowance(const urgency& rank, time_point now) const;
  bool is_work_below_floor(const demand_average& work, double cost, time_point now) const;
  /// Work of a team above which its share is more than fair.
  double fair_work(time_point now) const;

  std::map<urgency, urgency_state> m_urgencies;
  std::map<std::string, demand_average> m_teams;
  demand_average m_work;
  refusal_average m_refusals;
  std::map<ticket, waiting_answer> m_waiting;
  std::map<urgency, urgency_counts> m_counts;
  ticket m_last_ticket = 0;

public:
  overload_policy();
};

struct queue_input
{
  /// A stream that resumes at another server after the caller has received events.
  bool continues_stream = false;
  /// See admission_decision.
  bool goes_first = false;
  /// Time since the caller's first attempt.
  std::chrono::milliseconds waited{};
  std::chrono::milliseconds objective{};
  urgency rank;
  /// All urgencies that requests of the service can have, sorted.
  std::span<const urgency> known;
};

/// Priority of a request in a server's queue, from 0 (first) to 9 (last). When an engine loads
/// weights, its streams move to engines whose queues are already long. A moved stream stays on time
/// only if it pauses for at most 0.4 s, while a new request has its whole objective left. A request
/// that is already late gains nothing by overtaking these.
unsigned queue_priority(const queue_input& input);

} // namespace pollenyoke::routing
