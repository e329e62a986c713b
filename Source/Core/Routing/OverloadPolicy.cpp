#include "Routing/OverloadPolicy.h"

#include <algorithm>
#include <cmath>

namespace pollenyoke::routing
{

namespace
{

// Outcomes of the last second or two tell how full the servers are now.
constexpr double outcome_time_s = 1.5;
// Demand is compared over a longer time: one entry sees few requests of each team.
constexpr double work_time_s = 6;
// Outcomes that the averages start with, so that one late request says little.
constexpr double initial_outcomes = 3;
// Allowance lost per unit share of the service's demand that is more urgent and was refused or
// late, beyond what faults explain: with 8 in 100 lost, only idle servers take requests that can
// wait.
constexpr double loss_weight = 14;
constexpr double accepted_loss_share = 0.01;
// An urgency or team with a smaller share of its demand than this part of the service's share is
// served first, so that nobody starves. Half is promised, and the share moves around this value.
constexpr double floor_share = 0.55;
// Requests by which the work of a team may exceed its fair share; it comes in whole requests.
constexpr double fair_tolerance = 2;
constexpr double over_share_allowance = 0.7;
// Teams come from the configuration; this bounds the memory of a faulty one.
constexpr std::size_t max_teams = 1024;

// The platform's default priority is 5.
constexpr unsigned resumed_priority = 1;
constexpr unsigned first_priority = 2;
constexpr unsigned default_priority = 5;
constexpr unsigned last_on_time_priority = 7;
constexpr unsigned late_priority = 8;

} // namespace

demand_average::demand_average(double time_constant_s) : m_time_constant_s(time_constant_s) {}

double demand_average::decay(time_point now) const
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  return std::exp(-std::max(passed, 0.0) / m_time_constant_s);
}

void demand_average::add(double part, double all, time_point now)
{
  const double kept = decay(now);
  m_part = m_part * kept + part;
  m_all = m_all * kept + all;
  m_updated = now;
}

double demand_average::part(time_point now) const
{
  return m_part * decay(now);
}

double demand_average::all(time_point now) const
{
  return m_all * decay(now);
}

overload_policy::urgency_state::urgency_state() : work(work_time_s), lost(outcome_time_s) {}

overload_policy::overload_policy() : m_work(work_time_s) {}

overload_policy::urgency_state& overload_policy::state_of(const urgency& rank)
{
  return m_urgencies.try_emplace(rank).first->second;
}

demand_average& overload_policy::team_work(const std::string& team)
{
  if (m_teams.size() >= max_teams && !m_teams.contains(team))
  {
    m_teams.erase(m_teams.begin());
  }
  return m_teams.try_emplace(team, work_time_s).first->second;
}

admission_decision overload_policy::decide(const demand& request, admission_input input,
                                           time_point now)
{
  count_overdue(now);
  input.refused_share = refused_share(now);
  input.wait_allowance = wait_allowance(request, now);
  admission_decision out = decide_admission(input);
  out.goes_first = out.admitted && is_below_floor(request, now);
  return out;
}

overload_policy::ticket
overload_policy::note_admitted(const demand& request, std::optional<time_point> due, time_point now)
{
  m_refusals.add(false, now);
  state_of(request.rank).work.add(request.cost, request.cost, now);
  team_work(request.team).add(request.cost, request.cost, now);
  m_work.add(request.cost, request.cost, now);
  urgency_counts& counts = m_counts[request.rank];
  ++counts.demand;
  ++counts.admitted;
  ++m_last_ticket;
  if (due)
  {
    m_waiting.emplace(m_last_ticket, waiting_answer{request.rank, *due});
  }
  return m_last_ticket;
}

void overload_policy::note_refused(const demand& request, refusal_kind kind, time_point now)
{
  m_refusals.add(true, now);
  ++m_counts[request.rank].demand;
  if (kind != refusal_kind::servers_full)
  {
    return;
  }
  state_of(request.rank).work.add(0, request.cost, now);
  state_of(request.rank).lost.add(1, 1, now);
  team_work(request.team).add(0, request.cost, now);
  m_work.add(0, request.cost, now);
}

void overload_policy::note_outcome(const urgency& rank, bool is_late, time_point now)
{
  state_of(rank).lost.add(is_late ? 1 : 0, 1, now);
  urgency_counts& counts = m_counts[rank];
  (is_late ? counts.late : counts.on_time) += 1;
}

/// A request that is overdue counts as late at once: its answer may take seconds more.
void overload_policy::count_overdue(time_point now)
{
  for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();)
  {
    if (waiting->second.due >= now)
    {
      ++waiting;
      continue;
    }
    note_outcome(waiting->second.rank, true, now);
    waiting = m_waiting.erase(waiting);
  }
}

void overload_policy::note_answer(ticket admitted, time_point now)
{
  const auto waiting = m_waiting.find(admitted);
  if (waiting != m_waiting.end())
  {
    note_outcome(waiting->second.rank, waiting->second.due < now, now);
    m_waiting.erase(waiting);
  }
}

void overload_policy::note_end(ticket admitted)
{
  m_waiting.erase(admitted);
}

double overload_policy::refused_share(time_point now) const
{
  return m_refusals.share(now);
}

double overload_policy::loss_above(const urgency& rank, time_point now) const
{
  double lost = 0;
  double all = 0;
  for (const auto& [other, state] : m_urgencies)
  {
    lost += other < rank ? state.lost.part(now) : 0;
    all += state.lost.all(now);
  }
  return lost / (all + initial_outcomes);
}

double overload_policy::urgency_allowance(const urgency& rank, time_point now) const
{
  const double loss = loss_above(rank, now) - accepted_loss_share;
  return std::clamp(1 - loss_weight * loss, 0.0, 1.0);
}

bool overload_policy::is_work_below_floor(const demand_average& work, double cost,
                                          time_point now) const
{
  const double all = m_work.all(now);
  const double share = all > 0 ? m_work.part(now) / all : 1;
  return work.part(now) + cost < floor_share * share * work.all(now);
}

/// The largest equal share such that the work of all teams, none with more than its demand, is what
/// was admitted.
double overload_policy::fair_work(time_point now) const
{
  std::vector<double> demands;
  for (const auto& [name, work] : m_teams)
  {
    demands.push_back(work.all(now));
  }
  std::sort(demands.begin(), demands.end());
  double left = m_work.part(now);
  for (std::size_t i = 0; i < demands.size(); ++i)
  {
    const double equal = left / static_cast<double>(demands.size() - i);
    if (demands[i] >= equal)
    {
      return equal;
    }
    left -= demands[i];
  }
  return std::max(left, demands.empty() ? 0.0 : demands.back());
}

bool overload_policy::is_below_floor(const demand& request, time_point now) const
{
  const auto own = m_urgencies.find(request.rank);
  const auto team = m_teams.find(request.team);
  return (own != m_urgencies.end() && is_work_below_floor(own->second.work, request.cost, now)) ||
         (team != m_teams.end() && is_work_below_floor(team->second, request.cost, now));
}

double overload_policy::wait_allowance(const demand& request, time_point now) const
{
  if (is_below_floor(request, now))
  {
    return 1;
  }
  const double allowance = urgency_allowance(request.rank, now);
  const auto team = m_teams.find(request.team);
  const bool over_share = team != m_teams.end() && refused_share(now) > overload_refused_share &&
                          team->second.part(now) > fair_work(now) + fair_tolerance * request.cost;
  return over_share ? std::min(allowance, over_share_allowance) : allowance;
}

const std::map<urgency, urgency_counts>& overload_policy::counts() const
{
  return m_counts;
}

std::pair<std::string, double> overload_policy::largest_team(time_point now) const
{
  const auto largest = std::max_element(m_teams.begin(), m_teams.end(),
                                        [now](const auto& a, const auto& b)
                                        { return a.second.all(now) < b.second.all(now); });
  const double all = m_work.all(now);
  if (largest == m_teams.end() || all <= 0)
  {
    return {};
  }
  return {largest->first, largest->second.all(now) / all};
}

unsigned queue_priority(const queue_input& input)
{
  if (input.continues_stream)
  {
    return resumed_priority;
  }
  if (input.waited > input.objective)
  {
    return late_priority;
  }
  const std::size_t count = std::max<std::size_t>(input.known.size(), 1);
  const auto position = static_cast<std::size_t>(
      input.goes_first ? 0
                       : std::lower_bound(input.known.begin(), input.known.end(), input.rank) -
                             input.known.begin());
  // The urgencies of a service lie around the default, so that one alone has just that.
  constexpr std::size_t room = last_on_time_priority - first_priority + 1;
  if (count > room)
  {
    return first_priority + static_cast<unsigned>(std::min(position * room / count, room - 1));
  }
  const auto first = std::max<std::size_t>(first_priority, default_priority - count / 2);
  return static_cast<unsigned>(std::min<std::size_t>(first + position, last_on_time_priority));
}

} // namespace pollenyoke::routing
