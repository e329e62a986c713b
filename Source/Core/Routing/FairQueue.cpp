#include "Routing/FairQueue.h"

#include <algorithm>
#include <numeric>

namespace pollenyoke::routing
{

fair_queue::team_list& fair_queue::teams_of(protocol::request_priority priority)
{
  return m_teams.at(priority == protocol::request_priority::interactive ? 0 : 1);
}

fair_queue::team_queue* fair_queue::longest_queue(team_list& list)
{
  const auto found = std::max_element(list.begin(), list.end(),
                                      [](const team_queue& a, const team_queue& b)
                                      { return a.waiting.size() < b.waiting.size(); });
  return found == list.end() ? nullptr : &*found;
}

std::optional<waiting_request> fair_queue::push(waiting_request request, std::size_t limit)
{
  if (limit == 0)
  {
    return request;
  }
  team_list& list = teams_of(request.priority);
  auto team = std::find_if(list.begin(), list.end(),
                           [&](const team_queue& t) { return t.name == request.team; });
  std::optional<waiting_request> evicted;
  if (m_size >= limit)
  {
    team_list& batch = teams_of(protocol::request_priority::batch);
    const bool evict_batch = &list != &batch && !batch.empty();
    team_queue* victim = longest_queue(evict_batch ? batch : list);
    const std::size_t own = team == list.end() ? 0 : team->waiting.size();
    // Within a priority, a request evicts another only if its team's queue remains the shorter one.
    if (victim == nullptr || (!evict_batch && victim->waiting.size() <= own + 1))
    {
      return request;
    }
    evicted = victim->waiting.back();
    remove(evicted->id);
  }
  if (team == list.end())
  {
    list.push_back(team_queue{request.team, {}, 0});
    team = std::prev(list.end());
  }
  team->waiting.push_back(std::move(request));
  ++m_size;
  return evicted;
}

std::optional<waiting_request> fair_queue::pop_from(team_list& list)
{
  while (!list.empty())
  {
    team_queue& team = list.front();
    const std::uint64_t cost = std::max<std::uint32_t>(1, team.waiting.front().cost);
    if (team.deficit < cost)
    {
      team.deficit += fair_quantum;
      if (team.deficit < cost || list.size() > 1)
      {
        list.splice(list.end(), list, list.begin());
      }
      continue;
    }
    team.deficit -= cost;
    waiting_request request = std::move(team.waiting.front());
    team.waiting.pop_front();
    --m_size;
    if (team.waiting.empty())
    {
      list.pop_front();
    }
    return request;
  }
  return std::nullopt;
}

// Without this share, the interactive requests of one busy team would starve the batch requests of
// all other teams for the duration of an overload.
bool fair_queue::is_batch_due() const
{
  return !m_teams[1].empty() && (m_teams[0].empty() || m_batch_credit > 0);
}

std::optional<waiting_request> fair_queue::pop()
{
  if (m_teams[0].empty() || m_teams[1].empty())
  {
    m_batch_credit = 0;
  }
  const bool batch = is_batch_due();
  auto request = pop_from(m_teams[batch ? 1 : 0]);
  if (request)
  {
    const double cost = std::max<std::uint32_t>(1, request->cost);
    m_batch_credit += batch ? -cost * (1 - batch_share) : cost * batch_share;
  }
  return request;
}

bool fair_queue::remove(const protocol::attempt_id& id)
{
  for (team_list& list : m_teams)
  {
    for (auto team = list.begin(); team != list.end(); ++team)
    {
      const auto found = std::find_if(team->waiting.begin(), team->waiting.end(),
                                      [&](const waiting_request& r) { return r.id == id; });
      if (found == team->waiting.end())
      {
        continue;
      }
      team->waiting.erase(found);
      --m_size;
      if (team->waiting.empty())
      {
        list.erase(team);
      }
      return true;
    }
  }
  return false;
}

std::vector<waiting_request> fair_queue::take_expired(time_point now)
{
  std::vector<waiting_request> expired;
  for (team_list& list : m_teams)
  {
    for (const team_queue& team : list)
    {
      std::copy_if(team.waiting.begin(), team.waiting.end(), std::back_inserter(expired),
                   [now](const waiting_request& r) { return r.deadline <= now; });
    }
  }
  for (const waiting_request& request : expired)
  {
    remove(request.id);
  }
  return expired;
}

std::vector<waiting_request> fair_queue::take_all()
{
  std::vector<waiting_request> all;
  while (auto request = pop())
  {
    all.push_back(std::move(*request));
  }
  return all;
}

std::uint64_t fair_queue::team_queue::work() const
{
  return std::accumulate(waiting.begin(), waiting.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const waiting_request& r)
                         { return sum + std::max<std::uint32_t>(1, r.cost); });
}

std::uint64_t fair_queue::work_of(const team_list& list)
{
  return std::accumulate(list.begin(), list.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const team_queue& queue)
                         { return sum + queue.work(); });
}

std::uint64_t fair_queue::work() const
{
  return work_of(m_teams[0]) + work_of(m_teams[1]);
}

std::uint64_t fair_queue::work_before(std::string_view team, protocol::request_priority priority,
                                      std::uint32_t cost) const
{
  const bool batch = priority == protocol::request_priority::batch;
  std::uint64_t before = 0;
  const team_list& list = m_teams[batch ? 1 : 0];
  const auto own = std::find_if(list.begin(), list.end(),
                                [team](const team_queue& queue) { return queue.name == team; });
  const std::uint64_t own_work = own == list.end() ? 0 : own->work();
  // Until the request is dispatched, every other team runs about as much work as the request's own
  // team, but no more than it has queued.
  for (const team_queue& queue : list)
  {
    before +=
        queue.name == team ? own_work : std::min(queue.work(), own_work + cost + fair_quantum);
  }
  if (!batch)
  {
    return before;
  }
  const double share_limit = static_cast<double>(before + cost) / batch_share;
  return std::min(before + work_of(m_teams[0]), static_cast<std::uint64_t>(share_limit));
}

std::size_t fair_queue::size() const
{
  return m_size;
}

} // namespace pollenyoke::routing
