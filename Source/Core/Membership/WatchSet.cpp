#include "Membership/WatchSet.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "Common/Rendezvous.h"
#include "Membership/PushTree.h"

namespace pollenyoke::membership
{

namespace
{

std::vector<std::string> best(std::string_view key, const std::vector<std::string>& names,
                              std::size_t count)
{
  std::vector<std::string> out;
  for (const std::size_t index : rendezvous_order(key, names))
  {
    if (out.size() == count)
    {
      break;
    }
    out.push_back(names[index]);
  }
  return out;
}

/// Adds the `count` names that rank highest for `self`.
void add_best(const std::vector<std::string>& names, const host_id& self, std::size_t count,
              watch_plan& to)
{
  for (std::string& name : best("watch/" + self.value, names, count))
  {
    to[host_id{std::move(name)}];
  }
}

/// Adds the agents of one service. `entries` are those of the region with `self`.
void add_service(const protocol::settings& self, const std::vector<std::string>& agents,
                 const std::vector<std::string>& entries, watch_plan& to)
{
  watch_plan chosen;
  add_best(agents, self.host, self.requests.subset, chosen);
  // Entries of the region that choose one agent, on average.
  const std::size_t watchers =
      entries.size() * chosen.size() / std::max<std::size_t>(1, agents.size());
  if (watchers <= direct_watchers)
  {
    to.merge(chosen);
    return;
  }
  for (const std::string& agent : agents)
  {
    const std::vector<std::string> direct = best("direct/" + agent, entries, direct_watchers);
    const auto found = chosen.find(host_id{agent});
    if (std::find(direct.begin(), direct.end(), self.host.value) != direct.end())
    {
      to[host_id{agent}];
    }
    else if (found != chosen.end())
    {
      // Each entry asks in its own order, so that the work is shared.
      std::vector<host_id>& relays = to[host_id{agent}];
      for (std::string& name :
           best("relay/" + agent + "/" + self.host.value, direct, direct.size()))
      {
        relays.push_back(host_id{std::move(name)});
      }
    }
  }
}

void add_for_entry(const protocol::settings& self, const host_list& list, watch_plan& to)
{
  std::map<std::string, std::vector<std::string>> agents;
  std::vector<std::string> near = {self.host.value};
  std::vector<std::string> far;
  for (const listed_host& host : list.hosts)
  {
    if (host.role == protocol::process_role::agent)
    {
      agents[host.service].push_back(host.host.value);
    }
    else if (host.host != self.host)
    {
      (host.region == self.region ? near : far).push_back(host.host.value);
    }
  }
  for (const auto& [service, names] : agents)
  {
    add_service(self, names, near, to);
  }
  near.erase(near.begin());
  // Discovery answers name only entries that are heard. With too few of them in the region, dead
  // and leaving entries of other regions would be named because the host list still does.
  const std::size_t count_near = std::min(near.size(), entry_peers);
  add_best(near, self.host, count_near, to);
  add_best(far, self.host, entry_peers - count_near, to);
}

void add_for_agent(const protocol::settings& self, const host_list& list, watch_plan& to)
{
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const listed_host& host : list.hosts)
  {
    if (host.role == protocol::process_role::agent && host.service == self.service &&
        host.host != self.host)
    {
      (host.region == self.region ? near : far).push_back(host.host.value);
    }
  }
  constexpr std::size_t all = std::numeric_limits<std::size_t>::max();
  const bool plain = self.backend && self.backend->kind == protocol::backend_kind::service;
  add_best(near, self.host, plain ? all : weight_peers_near, to);
  add_best(far, self.host, plain ? all : weight_peers_far, to);
}

} // namespace

watch_plan plan_watches(const protocol::settings& self, const host_list& list)
{
  watch_plan out;
  if (self.role == protocol::process_role::entry)
  {
    add_for_entry(self, list, out);
  }
  else
  {
    add_for_agent(self, list, out);
  }
  std::vector<host_id> domain;
  for (const listed_host& host : list.hosts)
  {
    if (host.failure_domain == self.failure_domain)
    {
      domain.push_back(host.host);
    }
  }
  for (const host_id& host :
       push_tree(std::move(domain), self.failure_domain, self.host).neighbours())
  {
    // Positions in the tree need the host's own heartbeats.
    out[host].clear();
  }
  out.erase(self.host);
  return out;
}

const host_id& subscription_target(const host_id& host, const std::vector<host_id>& relays,
                                   std::size_t attempts)
{
  const std::size_t turn = attempts % (relays.size() + 1);
  return turn < relays.size() ? relays[turn] : host;
}

} // namespace pollenyoke::membership
