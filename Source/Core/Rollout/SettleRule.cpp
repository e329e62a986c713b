#include "Rollout/SettleRule.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// All processes of a site start within 0.3 s of each other, and most know each other after three
// gossip rounds.
constexpr milliseconds min_settle_time{400};
// Time without a new host: nearly two gossip rounds at the startup rate.
constexpr milliseconds min_unchanged_time{200};
constexpr milliseconds max_settle_time{3000};
// On the first start of a site the store's host list grows for about this long.
constexpr milliseconds min_settle_time_all_known{200};

} // namespace

settle_rule::settle_rule(time_point started) : m_started(started) {}

bool settle_rule::has_settled(std::size_t hosts, bool all_known, time_point now)
{
  if (hosts != m_hosts)
  {
    m_hosts = hosts;
    m_changed = now;
  }
  const auto up = now - m_started;
  return up >= max_settle_time || (all_known && up >= min_settle_time_all_known) ||
         (up >= min_settle_time && now - m_changed >= min_unchanged_time);
}

} // namespace pollenyoke::rollout
