#include "Distribution/SwitchOver.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "Common/Rendezvous.h"

namespace pollenyoke::distribution
{

namespace
{

// A load takes seconds; a replica that needs more than a minute must not block the rollout.
constexpr std::chrono::seconds load_timeout{60};
// The first heartbeat arrives within a few seconds of a subscription, so this process has no
// subscription to a replica that sent none for this long.
constexpr std::chrono::seconds first_heartbeat_timeout{15};

} // namespace

bool may_load(std::string_view key, const host_id& self, std::span<const replica_view> replicas,
              double fraction, std::chrono::steady_clock::duration elapsed)
{
  std::vector<std::string> pending;
  for (const replica_view& replica : replicas)
  {
    const bool awaits_heartbeat = !replica.heard && elapsed < first_heartbeat_timeout;
    const bool serves_only_old = replica.live && replica.serves_old && !replica.serves_new;
    if (replica.host == self || awaits_heartbeat || (replica.heard && serves_only_old))
    {
      pending.push_back(replica.host.value);
    }
  }
  const auto fraction_slots =
      static_cast<std::size_t>(std::floor(fraction * static_cast<double>(replicas.size())));
  const std::size_t load_slots =
      std::max<std::size_t>(fraction_slots, 1) + static_cast<std::size_t>(elapsed / load_timeout);
  const auto order = rendezvous_order(key, pending);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(load_slots, order.size()));
  return std::any_of(order.begin(), end,
                     [&](std::size_t index) { return pending[index] == self.value; });
}

} // namespace pollenyoke::distribution
