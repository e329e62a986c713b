#include "Gateway/RouteTable.h"

#include <algorithm>
#include <cctype>

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

route_table::route_table(protocol::serving_config config) : m_config(std::move(config))
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

caller_identity identify_caller(const protocol::serving_config& config,
                                const protocol::route& route, const std::string& key)
{
  caller_identity out{.accepted = true, .team = {}, .priority = route.priority};
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
  out.priority = team->second.priority.value_or(route.priority);
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
