#include "Gateway/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace pollenyoke::gateway
{

namespace
{

/// Host names are compared without case and port.
std::string normalize_host(std::string_view host)
{
  std::string out(host.substr(0, host.rfind(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

} // namespace

namespace
{

std::map<std::string, std::vector<routing::urgency>>
find_urgencies(const protocol::serving_config& config)
{
  std::set<std::optional<unsigned>> team_priorities;
  for (const auto& [key, team] : config.teams_by_key)
  {
    team_priorities.insert(team.priority);
  }
  std::map<std::string, std::set<routing::urgency>> found;
  for (const protocol::route& route : config.routes)
  {
    for (const protocol::route_target& target : route.targets)
    {
      auto& urgencies = found[target.service];
      if (route.open || !config.has_teams)
      {
        urgencies.insert({route.priority, route.priority});
      }
      for (const auto& priority : team_priorities)
      {
        urgencies.insert({priority.value_or(route.priority), route.priority});
      }
    }
  }
  std::map<std::string, std::vector<routing::urgency>> out;
  for (const auto& [service, urgencies] : found)
  {
    out[service].assign(urgencies.begin(), urgencies.end());
  }
  return out;
}

} // namespace

route_table::route_table(protocol::serving_config config)
    : m_config(std::move(config)), m_urgencies_by_service(find_urgencies(m_config))
{
  for (const protocol::route& route : m_config.routes)
  {
    m_routes_by_host[normalize_host(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : m_routes_by_host)
  {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const protocol::route* a, const protocol::route* b)
                     { return a->path_prefix.size() > b->path_prefix.size(); });
  }
  m_teams_restrict_regions =
      std::any_of(m_config.teams_by_key.begin(), m_config.teams_by_key.end(),
                  [](const auto& item) { return !item.second.allowed_regions.empty(); });
}

const protocol::serving_config& route_table::config() const
{
  return m_config;
}

const protocol::route* route_table::find(std::string_view host, std::string_view path) const
{
  const auto routes = m_routes_by_host.find(normalize_host(host));
  if (routes == m_routes_by_host.end())
  {
    return nullptr;
  }
  const auto match = std::find_if(routes->second.begin(), routes->second.end(),
                                  [path](const protocol::route* route)
                                  { return path.starts_with(route->path_prefix); });
  return match == routes->second.end() ? nullptr : *match;
}

const protocol::service* route_table::find_service(const std::string& name) const
{
  const auto found = m_config.services.find(name);
  return found == m_config.services.end() ? nullptr : &found->second;
}

std::span<const routing::urgency> route_table::urgencies(const std::string& service) const
{
  const auto found = m_urgencies_by_service.find(service);
  return found == m_urgencies_by_service.end() ? std::span<const routing::urgency>{}
                                               : std::span<const routing::urgency>(found->second);
}

bool route_table::restricts_regions(std::string_view host) const
{
  const auto routes = m_routes_by_host.find(normalize_host(host));
  return m_teams_restrict_regions || (routes != m_routes_by_host.end() &&
                                      std::any_of(routes->second.begin(), routes->second.end(),
                                                  [](const protocol::route* route)
                                                  { return !route->allowed_regions.empty(); }));
}

namespace
{

/// Both restrictions apply; an empty one allows every region.
std::optional<std::set<std::string>> combine_regions(const std::set<std::string>& route,
                                                     const std::set<std::string>& team)
{
  if (route.empty() || team.empty())
  {
    const auto& only = route.empty() ? team : route;
    return only.empty() ? std::nullopt : std::optional(only);
  }
  std::set<std::string> both;
  std::set_intersection(route.begin(), route.end(), team.begin(), team.end(),
                        std::inserter(both, both.end()));
  return both;
}

} // namespace

caller_identity identify_caller(const protocol::serving_config& config,
                                const protocol::route& route, const std::string& key)
{
  caller_identity out{.accepted = true,
                      .team = {},
                      .rank = {route.priority, route.priority},
                      .allowed_regions = combine_regions(route.allowed_regions, {})};
  if (!config.has_teams)
  {
    return out;
  }
  const auto team = config.teams_by_key.find(key);
  if (team == config.teams_by_key.end())
  {
    out.accepted = route.open;
    return out;
  }
  out.team = team->second.name;
  out.rank.team = team->second.priority.value_or(route.priority);
  out.allowed_regions = combine_regions(route.allowed_regions, team->second.allowed_regions);
  return out;
}

std::string_view choose_service(const protocol::route& route, double random_fraction)
{
  double total = 0;
  for (const auto& target : route.targets)
  {
    total += target.weight;
  }
  double left = random_fraction * total;
  for (const auto& target : route.targets)
  {
    left -= target.weight;
    if (left < 0 && target.weight > 0)
    {
      return target.service;
    }
  }
  return route.targets.empty() ? std::string_view{} : route.targets.back().service;
}

} // namespace pollenyoke::gateway
