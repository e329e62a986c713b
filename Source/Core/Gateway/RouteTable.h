#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// A configuration in force, with its routes by host name. Requests keep the one they began with.
class route_table
{
public:
  explicit route_table(protocol::serving_config config);

  const protocol::serving_config& config() const;
  /// The route with the longest path prefix of this host name; null if none matches.
  const protocol::route* find(std::string_view host, std::string_view path) const;
  const protocol::service* find_service(const std::string& name) const;

private:
  protocol::serving_config m_config;
  /// Routes of each host name, longest prefix first.
  std::unordered_map<std::string, std::vector<const protocol::route*>> m_by_host;
};

/// Who sends a request, by its key.
struct caller_identity
{
  bool accepted = false;
  /// Empty if the configuration has no teams or the route needs no key.
  std::string team;
  unsigned priority = 1;
};

caller_identity identify(const protocol::serving_config& config, const protocol::route& route,
                         const std::string& key);

/// The service that a draw in [0, 1) selects among the route's targets; empty without targets.
std::string_view choose_service(const protocol::route& route, double draw);

} // namespace pollenyoke::gateway
