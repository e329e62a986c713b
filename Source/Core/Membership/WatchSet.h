#pragma once

#include <map>
#include <vector>

#include "Common/Ids.h"
#include "Membership/Membership.h"
#include "Protocol/Settings.h"

namespace pollenyoke::membership
{

/// Peers within its region with which an engine's agent exchanges weights, and outside of it.
constexpr std::size_t weight_peers_near = 16;
constexpr std::size_t weight_peers_far = 4;
/// Other entries of the region that an entry watches.
constexpr std::size_t entry_peers = 4;

/// Entries of one region that subscribe to the heartbeats of one agent directly. The others get
/// them from these, so that an agent of a small service is not watched by all entries. With 8 of
/// them some entries pass on so many heartbeats that they exceed 2 KB/s at the design size.
constexpr std::size_t direct_watchers = 16;

/// The hosts whose state this process learns, each with the hosts that pass on its heartbeats in
/// the order in which they are asked; none if this process subscribes to the host itself. Pure.
/// Their number does not grow with the fleet, except that the agents of one plain service all watch
/// each other.
using watch_plan = std::map<host_id, std::vector<host_id>>;
watch_plan plan_watches(const protocol::settings& self, const host_list& list);

/// The host to which the subscription for `host` is sent after `attempts` silences: each relay in
/// turn, then the host itself, in case all relays are lost with their failure domain. Pure.
const host_id& subscription_target(const host_id& host, const std::vector<host_id>& relays,
                                   std::size_t attempts);

} // namespace pollenyoke::membership
