#include "Entry/Candidates.h"

#include <algorithm>

namespace pollenyoke::entry
{

namespace
{

bool serves(const membership::peer& agent, const agent_requirements& requirements)
{
  if (!requirements.service.empty())
  {
    return agent.listed.service == requirements.service;
  }
  return std::any_of(agent.serving.begin(), agent.serving.end(),
                     [&](const protocol::served_version& v) {
                       return v.model == requirements.model && v.version == requirements.version;
                     });
}

} // namespace

std::vector<const membership::peer*> find_agents(const membership::member_view& view,
                                                 const agent_requirements& requirements)
{
  std::vector<const membership::peer*> out;
  for (const membership::peer& peer : view.peers)
  {
    if (peer.listed.role == protocol::process_role::agent && peer.alive && !peer.leaving &&
        serves(peer, requirements))
    {
      out.push_back(&peer);
    }
  }
  return out;
}

std::optional<std::string> choose_version(const fleet::fleet_state& state,
                                          const membership::member_view& view,
                                          std::string_view model, std::uint64_t hash)
{
  std::vector<std::pair<std::string_view, std::size_t>> versions;
  std::size_t total = 0;
  const auto count = [&](std::string_view version)
  {
    const std::size_t agents =
        find_agents(view, {.model = std::string(model), .version = std::string(version)}).size();
    if (agents != 0)
    {
      versions.emplace_back(version, agents);
      total += agents;
    }
  };
  // Keys are ordered by the offset of the release note, so the newest release comes last.
  for (auto item = state.releases.rbegin(); item != state.releases.rend(); ++item)
  {
    if (item->first.model == model)
    {
      count(item->second.item.version);
    }
  }
  for (auto item = state.replaced.rbegin(); item != state.replaced.rend(); ++item)
  {
    if (item->model == model)
    {
      count(item->version);
    }
  }
  if (versions.empty())
  {
    return std::nullopt;
  }
  // The first hosts of a new version must not receive the load of the whole fleet. At one half, the
  // default of distribution.max_loading_fraction, they are as many as served the model before.
  if (2 * versions.front().second >= total)
  {
    return std::string(versions.front().first);
  }
  // The newest versions take the lowest hashes, so that a hash only ever moves to a newer version
  // during a rollout.
  std::uint64_t remaining = hash % total;
  for (const auto& [version, agents] : versions)
  {
    if (remaining < agents)
    {
      return std::string(version);
    }
    remaining -= agents;
  }
  return std::string(versions.back().first);
}

bool is_known_model(const fleet::fleet_state& state, std::string_view model)
{
  return std::any_of(state.releases.begin(), state.releases.end(),
                     [model](const auto& item) { return item.second.item.model == model; });
}

std::vector<routing::entry_address> other_entries(const membership::member_view& view,
                                                  const host_id& self)
{
  std::vector<routing::entry_address> live_entries;
  std::vector<routing::entry_address> listed_entries;
  for (const membership::peer& peer : view.peers)
  {
    if (peer.listed.role != protocol::process_role::entry || peer.leaving ||
        peer.listed.host == self)
    {
      continue;
    }
    routing::entry_address entry{.host = peer.listed.host.value,
                                 .region = peer.listed.region,
                                 .failure_domain = peer.listed.failure_domain,
                                 .http = peer.listed.http,
                                 .in_flight = peer.in_flight,
                                 .capacity = peer.capacity};
    if (peer.alive)
    {
      live_entries.push_back(std::move(entry));
    }
    else if (peer.incarnation.value == 0)
    {
      // No heartbeat subscription yet: the host list is the only source.
      listed_entries.push_back(std::move(entry));
    }
  }
  return live_entries.empty() ? listed_entries : live_entries;
}

} // namespace pollenyoke::entry
