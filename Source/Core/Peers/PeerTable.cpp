#include "Peers/PeerTable.h"

#include <algorithm>
#include <tuple>

namespace pollenyoke::peers
{

namespace
{

// A process that stops sending is noticed up to this much later than its time-out.
constexpr std::chrono::milliseconds live_list_lifetime{50};

/// Whether both records describe the same process in the same state.
bool is_same_member(const peer_record& a, const peer_record& b)
{
  return std::tie(a.role, a.domain, a.leaving, a.has_engine, a.has_state, a.incarnation) ==
         std::tie(b.role, b.domain, b.leaving, b.has_engine, b.has_state, b.incarnation);
}

} // namespace

peer_table::peer_table(peer_record self, const std::vector<std::string>& seeds,
                       std::uint64_t random_seed)
    : m_self(std::move(self)), m_random(random_seed)
{
  for (const std::string& seed : seeds)
  {
    add_candidate(seed);
  }
}

void peer_table::beat()
{
  ++m_self.heartbeat;
}

void peer_table::set_leaving()
{
  m_self.leaving = true;
  ++m_self.heartbeat;
  drop_live_lists();
}

bool peer_table::set_has_engine(bool has_engine)
{
  if (m_self.has_engine == has_engine)
  {
    return false;
  }
  m_self.has_engine = has_engine;
  ++m_self.heartbeat;
  drop_live_lists();
  return true;
}

bool peer_table::set_has_state()
{
  if (m_self.has_state)
  {
    return false;
  }
  m_self.has_state = true;
  ++m_self.heartbeat;
  drop_live_lists();
  return true;
}

void peer_table::add_candidate(const std::string& ip)
{
  if (ip != m_self.ip && !m_peers.contains(ip))
  {
    m_peers[ip].record.ip = ip;
  }
}

void peer_table::merge(const gossip_message& message, time_point now)
{
  for (const peer_record& received : message.peers)
  {
    if (received.ip == m_self.ip)
    {
      continue;
    }
    peer_state& known = m_peers[received.ip];
    const auto version = std::tie(received.incarnation, received.heartbeat);
    if (!known.ever_heard || version > std::tie(known.record.incarnation, known.record.heartbeat))
    {
      if (!is_live(known, now) || !is_same_member(known.record, received))
      {
        drop_live_lists();
      }
      known.record = received;
      known.last_heard = now;
      known.ever_heard = true;
      known.times_sent = 0;
    }
  }
}

bool peer_table::is_newcomer(const gossip_message& message, const std::string& sender) const
{
  const auto record =
      std::find_if(message.peers.begin(), message.peers.end(),
                   [&sender](const peer_record& peer) { return peer.ip == sender; });
  const auto known = m_peers.find(sender);
  return record != message.peers.end() && (known == m_peers.end() || !known->second.ever_heard ||
                                           record->incarnation > known->second.record.incarnation);
}

std::vector<std::string> peer_table::others() const
{
  std::vector<std::string> out;
  for (const auto& [ip, peer] : m_peers)
  {
    out.push_back(ip);
  }
  return out;
}

bool peer_table::is_live(const peer_state& peer, time_point now) const
{
  return peer.ever_heard && now - peer.last_heard < timeout_of(peer);
}

std::chrono::milliseconds peer_table::timeout_of(const peer_state& peer) const
{
  if (peer.record.domain == m_self.domain || m_recent <= max_prompt_processes)
  {
    return peer_timeout;
  }
  return peer_timeout * m_recent / max_prompt_processes;
}

void peer_table::take_least_sent(std::vector<peer_state*>& candidates, std::size_t count,
                                 std::vector<peer_record>& out)
{
  std::shuffle(candidates.begin(), candidates.end(), m_random);
  const std::size_t taken = std::min(count, candidates.size());
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken), candidates.end(),
      [](const peer_state* a, const peer_state* b) { return a->times_sent < b->times_sent; });
  for (std::size_t i = 0; i < taken; ++i)
  {
    ++candidates[i]->times_sent;
    out.push_back(candidates[i]->record);
  }
}

gossip_message peer_table::make_message(std::uint64_t operator_offset, time_point now)
{
  gossip_message message;
  message.operator_offset = operator_offset;
  std::vector<peer_state*> same_domain;
  std::vector<peer_state*> other_domains;
  m_recent = 0;
  for (const auto& [ip, peer] : m_peers)
  {
    m_recent += peer.ever_heard && now - peer.last_heard < recent_time ? 1U : 0U;
  }
  for (auto& [ip, peer] : m_peers)
  {
    if (is_live(peer, now))
    {
      (peer.record.domain == m_self.domain ? same_domain : other_domains).push_back(&peer);
    }
  }
  constexpr std::size_t room = max_records_per_message - 1;
  const std::size_t others = std::min(other_domains.size(), room / 2);
  const std::size_t same = std::min(same_domain.size(), room - others);
  take_least_sent(same_domain, same, message.peers);
  take_least_sent(other_domains, room - same, message.peers);
  message.peers.push_back(m_self);
  return message;
}

gossip_message peer_table::make_greeting(std::uint64_t operator_offset) const
{
  gossip_message message;
  message.operator_offset = operator_offset;
  message.greets_all = true;
  message.peers.push_back(m_self);
  return message;
}

std::vector<std::string> peer_table::choose_targets(time_point now)
{
  std::vector<std::string> same_domain;
  std::vector<std::string> other_domains;
  std::vector<std::string> not_live;
  for (const auto& [ip, peer] : m_peers)
  {
    if (!is_live(peer, now))
    {
      not_live.push_back(ip);
      continue;
    }
    (peer.record.domain == m_self.domain ? same_domain : other_domains).push_back(ip);
  }
  std::shuffle(same_domain.begin(), same_domain.end(), m_random);
  std::shuffle(other_domains.begin(), other_domains.end(), m_random);
  // One target in another domain; more only if the own domain has too few hosts.
  const std::size_t same_domain_targets =
      gossip_fanout - std::min<std::size_t>(other_domains.size(), 1);
  same_domain.resize(std::min(same_domain.size(), same_domain_targets));
  other_domains.resize(std::min(other_domains.size(), gossip_fanout - same_domain.size()));
  std::vector<std::string> targets = std::move(same_domain);
  targets.insert(targets.end(), other_domains.begin(), other_domains.end());
  if (!not_live.empty())
  {
    std::shuffle(not_live.begin(), not_live.end(), m_random);
    // A process without live peers contacts several candidates, so that it can serve soon after its
    // start.
    not_live.resize(targets.empty() ? std::min(not_live.size(), gossip_fanout) : 1);
    targets.insert(targets.end(), not_live.begin(), not_live.end());
  }
  return targets;
}

const peer_record& peer_table::self() const
{
  return m_self;
}

void peer_table::drop_live_lists()
{
  m_live.clear();
}

std::span<const peer_record> peer_table::live(peer_role role, time_point now) const
{
  return current_list(role, now).records;
}

std::span<const peer_record> peer_table::leaving(peer_role role, time_point now) const
{
  return current_list(role, now).leaving;
}

const peer_table::live_list& peer_table::current_list(peer_role role, time_point now) const
{
  live_list& list = m_live[role];
  if (list.made_at && now >= *list.made_at && now - *list.made_at < live_list_lifetime)
  {
    return list;
  }
  list.made_at = now;
  auto& out = list.records;
  out.clear();
  list.leaving.clear();
  for (const auto& [ip, peer] : m_peers)
  {
    if (peer.record.role == role && is_live(peer, now))
    {
      (peer.record.leaving ? list.leaving : out).push_back(peer.record);
    }
  }
  if (m_self.role == role && !m_self.leaving)
  {
    out.push_back(m_self);
  }
  std::sort(out.begin(), out.end(),
            [](const peer_record& a, const peer_record& b) { return a.ip < b.ip; });
  return list;
}

bool peer_table::has_heard_all() const
{
  return !m_peers.empty() && std::all_of(m_peers.begin(), m_peers.end(),
                                         [](const auto& peer) { return peer.second.ever_heard; });
}

std::size_t peer_table::possible(peer_role role) const
{
  const auto others =
      std::count_if(m_peers.begin(), m_peers.end(),
                    [role](const auto& peer)
                    { return !peer.second.ever_heard || peer.second.record.role == role; });
  return static_cast<std::size_t>(others) + (m_self.role == role ? 1U : 0U);
}

} // namespace pollenyoke::peers
