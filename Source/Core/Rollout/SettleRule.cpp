#include "Rollout/SettleRule.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// All processes of a site start within 0.3 s, and most know each other after three rounds of
// gossip.
constexpr milliseconds shortest_settling{400};
// No new host for this long: nearly two rounds of gossip at the start.
constexpr milliseconds quiet_settling{200};
constexpr milliseconds longest_settling{3000};
// On the very first start the list of the store grows for about this long.
constexpr milliseconds shortest_listing{200};

} // namespace

settle_rule::settle_rule(time_point started) : m_started(started) {}

bool settle_rule::has_settled(std::size_t hosts, bool all_heard, time_point now)
{
  if (hosts != m_hosts)
  {
    m_hosts = hosts;
    m_changed = now;
  }
  const auto up = now - m_started;
  return up >= longest_settling || (all_heard && up >= shortest_listing) ||
         (up >= shortest_settling && now - m_changed >= quiet_settling);
}

} // namespace pollenyoke::rollout
