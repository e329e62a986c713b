#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "Fleet/FleetState.h"
#include "Membership/Membership.h"
#include "Routing/EntryDiscovery.h"

namespace pollenyoke::entry
{

/// The service, or the model and version, that an agent must serve to run a request.
struct agent_requirements
{
  /// Name of a plain service; empty for model requests.
  std::string service;
  std::string model;
  std::string version;
};

/// Live agents that meet the requirements and are not leaving.
std::vector<const membership::peer*> find_agents(const membership::member_view& view,
                                                 const agent_requirements& requirements);
/// Selects the version of a model for a request: the newest active release, once at least half of
/// the agents that serve the model serve it. Until then, requests are distributed by `hash` over
/// the active and the replaced versions, in proportion to their agents. Equal prompts should have
/// equal hashes. Empty if no live agent serves the model.
std::optional<std::string> choose_version(const fleet::fleet_state& state,
                                          const membership::member_view& view,
                                          std::string_view model, std::uint64_t hash);
bool is_known_model(const fleet::fleet_state& state, std::string_view model);
/// Entries for a discovery response, without this one: the live ones, or, if none is known to be
/// live, those of the host list from which no heartbeat has been received yet.
std::vector<routing::entry_address> other_entries(const membership::member_view& view,
                                                  const host_id& self);

} // namespace pollenyoke::entry
