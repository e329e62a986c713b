#include "Peers/KeyOwner.h"

#include <algorithm>
#include <utility>

#include "Common/Rendezvous.h"

namespace pollenyoke::peers
{

key_owner::key_owner(std::string self) : m_self(std::move(self)) {}

void key_owner::observe(std::span<const peer_record> live, time_point now)
{
  if (now - m_observed > max_observation_gap)
  {
    m_steady_since = now;
  }
  m_observed = now;
  for (const peer_record& entry : live)
  {
    m_last_live[entry.ip] = now;
  }
  std::erase_if(m_last_live,
                [now](const auto& entry) { return now - entry.second > owner_settle_time; });
}

std::string key_owner::owner(std::string_view key) const
{
  std::string best;
  std::uint64_t best_score = 0;
  for (const auto& [ip, last_live] : m_last_live)
  {
    const std::uint64_t score = rendezvous_score(key, ip);
    if (last_live == m_observed && (best.empty() || score > best_score))
    {
      best = ip;
      best_score = score;
    }
  }
  return best;
}

bool key_owner::has_settled_view(time_point now) const
{
  const auto self = m_last_live.find(m_self);
  return self != m_last_live.end() && self->second == m_observed &&
         now - m_observed <= max_observation_gap && now - m_steady_since >= owner_settle_time;
}

std::size_t key_owner::rank(std::string_view key) const
{
  const std::uint64_t own_score = rendezvous_score(key, m_self);
  return static_cast<std::size_t>(
      std::count_if(m_last_live.begin(), m_last_live.end(),
                    [this, key, own_score](const auto& entry)
                    {
                      // Of equal scores the first address wins, as in owner().
                      const std::uint64_t score = rendezvous_score(key, entry.first);
                      return score > own_score || (score == own_score && entry.first < m_self);
                    }));
}

bool key_owner::is_settled(std::string_view key, time_point now) const
{
  return has_settled_view(now) && rank(key) == 0;
}

std::size_t key_owner::sharers(std::string_view key, std::size_t most, time_point now) const
{
  return has_settled_view(now) && rank(key) < most ? std::min(most, m_last_live.size()) : 0;
}

} // namespace pollenyoke::peers
