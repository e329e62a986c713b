#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Protocol/ServingModel.h"
#include "Routing/OverloadPolicy.h"

namespace pollenyoke::gateway
{

/// Routes of one configuration, indexed by host name. A request keeps the table it started with.
class route_table
{
public:
  explicit route_table(protocol::serving_config config);

  const protocol::serving_config& config() const;
  /// Returns the route of this host name with the longest matching path prefix; null if none
  /// matches.
  const protocol::route* find(std::string_view host, std::string_view path) const;
  const protocol::service* find_service(const std::string& name) const;
  /// Urgencies that requests to the service can have, sorted.
  std::span<const routing::urgency> urgencies(const std::string& service) const;
  /// Whether requests to this host name may be restricted to some regions, by a route or by a team.
  bool restricts_regions(std::string_view host) const;

private:
  protocol::serving_config m_config;
  /// Routes by host name, longest prefix first.
  std::unordered_map<std::string, std::vector<const protocol::route*>> m_routes_by_host;
  bool m_teams_restrict_regions = false;
  std::map<std::string, std::vector<routing::urgency>> m_urgencies_by_service;
};

/// Identity of a caller, derived from its API key.
struct caller_identity
{
  bool accepted = false;
  /// Empty if no teams are configured, or if the route is open and the key is unknown.
  std::string team;
  routing::urgency rank;
  /// Regions in which the request may be served by route and team; no value if neither restricts
  /// them, empty if no region satisfies both.
  std::optional<std::set<std::string>> allowed_regions;
};

caller_identity identify_caller(const protocol::serving_config& config,
                                const protocol::route& route, const std::string& key);

/// Selects one of the route's targets by weight, with a random number in [0, 1); empty if there are
/// none.
std::string_view choose_service(const protocol::route& route, double random_fraction);

} // namespace pollenyoke::gateway
