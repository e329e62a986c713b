#include "Rollout/PieceSchedule.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace pollenyoke::rollout
{

namespace
{

using peers::piece_state;
using std::chrono::milliseconds;

// A read takes 0.17 s when all hosts fetch: it waits at its source and behind other pieces on both
// links, and a piece takes 42 ms on a link. Four reads keep the downlink busy; more would hold up
// requests for the engine behind them, so only hosts whose engine serves none begin more, which
// makes up for answers of busy hosts.
constexpr unsigned peer_reads_beside_requests = 4;
constexpr unsigned peer_reads_alone = 6;
constexpr unsigned max_origin_reads = 2;
// An entry answers in a few ms and sends faster than this host receives: while one piece arrives,
// the next is asked for.
constexpr unsigned relay_reads_beside_requests = 2;
constexpr unsigned relay_reads_alone = 3;
// Where entries hand on nothing, one read shows when they do again.
constexpr unsigned relay_reads_in_doubt = 1;
// Entries that have handed on no piece for this long are not relied on: hosts read from each other
// and from the origin as well. A piece takes 42 ms, or 0.33 s on a link narrowed to 1.2 Mbit/s.
constexpr milliseconds relay_patience{900};
// Entries that wait for the origin read it as soon as it answers; after this time without a piece,
// hosts ask it themselves, as the entries may be cut off from it.
constexpr milliseconds relay_wait_patience{3000};
// Time after which the next host in order reads a piece that its first reader has not begun to
// read: announcements come every 250 ms and may be lost once.
constexpr milliseconds origin_takeover{900};
constexpr milliseconds region_takeover{600};
// Hosts that want pieces announce themselves four times a second, and those that have them answer.
constexpr milliseconds announcement_lifetime{1500};
// A piece takes 42 ms on a free link of 9.4 Mbit/s, and waits behind three others at most; another
// source is asked as well after this time.
constexpr milliseconds slow_read{800};
// A busy peer has sent a piece or two by then.
constexpr milliseconds busy_pause{25};
constexpr milliseconds first_failure_pause{500};
constexpr unsigned max_failure_doublings = 3;
constexpr milliseconds origin_retry{250};
// An origin that has just failed here gets no reads in other hosts' place.
constexpr milliseconds origin_doubt{1500};

} // namespace

piece_schedule::piece_schedule(std::uint32_t pieces, std::uint64_t random_seed, time_point started)
    : m_pieces(pieces), m_order(reading_order(pieces, {})), m_started(started),
      m_relay_progress(started), m_random(random_seed)
{
}

void piece_schedule::set_first(const piece_range& first)
{
  m_order = reading_order(static_cast<std::uint32_t>(m_pieces.size()), first);
}

void piece_schedule::set_plan(piece_plan plan)
{
  m_plan = std::move(plan);
  m_peers.clear();
  for (const plan_host& host : m_plan.others())
  {
    m_peers.push_back({host.ip, m_plan.is_near(host.ip), &m_sources[host.ip]});
  }
}

void piece_schedule::set_relays(const relay_plan& relays)
{
  m_has_relays = !relays.is_empty();
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    m_pieces[piece].relays = relays.relays(piece);
  }
}

bool piece_schedule::is_served_by_relays(time_point now) const
{
  const auto idle = now - m_relay_progress;
  return m_has_relays && (idle < relay_patience ||
                          (idle < relay_wait_patience && now - m_relay_waited < relay_patience));
}

void piece_schedule::set_engine_serves(bool serves)
{
  m_engine_serves = serves;
}

void piece_schedule::take_announcement(const std::string& ip,
                                       const std::vector<piece_state>& states, time_point now)
{
  if (states.size() != m_pieces.size())
  {
    return;
  }
  source& other = m_sources[ip];
  other.states = states;
  other.heard = now;
  const bool near = m_plan.is_near(ip);
  for (std::size_t i = 0; i < states.size(); ++i)
  {
    if (states[i] == piece_state::held && !near && !m_pieces[i].outside_since)
    {
      m_pieces[i].outside_since = now;
    }
  }
}

bool piece_schedule::is_fresh(const source& other, time_point now)
{
  return !other.states.empty() && now - other.heard < announcement_lifetime;
}

bool piece_schedule::is_holder(const peer& other, std::uint32_t piece, time_point now)
{
  return is_fresh(*other.state, now) && other.state->states[piece] == piece_state::held;
}

bool piece_schedule::may_begin(std::uint32_t piece, time_point now) const
{
  if (m_pieces[piece].held)
  {
    return false;
  }
  // A read of an entry that hands on nothing holds up no other read of the piece.
  const bool trusted = is_served_by_relays(now);
  const auto reads =
      std::count_if(m_active.begin(), m_active.end(),
                    [&](const active_read& read)
                    { return read.what.piece == piece && (trusted || !is_relay_read(read.what)); });
  if (reads == 0)
  {
    return true;
  }
  return reads == 1 &&
         std::any_of(m_active.begin(), m_active.end(),
                     [piece, now](const active_read& read)
                     { return read.what.piece == piece && now - read.began >= slow_read; });
}

bool piece_schedule::is_claimed(std::uint32_t piece, bool near, time_point now) const
{
  return std::any_of(m_peers.begin(), m_peers.end(),
                     [&](const peer& other)
                     {
                       return (!near || other.near) && is_fresh(*other.state, now) &&
                              other.state->states[piece] == piece_state::reading;
                     });
}

bool piece_schedule::may_bring_in(std::uint32_t piece, time_point now) const
{
  const auto since = m_pieces[piece].outside_since;
  const auto rank = static_cast<int>(m_plan.region_rank(piece));
  return since && now >= *since + region_takeover * rank && !is_claimed(piece, true, now);
}

bool piece_schedule::is_relay_read(const piece_read& read) const
{
  const auto& relays = m_pieces[read.piece].relays;
  return std::find(relays.begin(), relays.end(), read.peer) != relays.end();
}

/// Pieces in the order in which the origin sends them, as the entries have the first ones first,
/// but those that the engine loads first before the others.
std::optional<piece_read> piece_schedule::choose_relay_read(time_point now)
{
  const auto active = static_cast<unsigned>(std::count_if(m_active.begin(), m_active.end(),
                                                          [this](const active_read& read)
                                                          { return is_relay_read(read.what); }));
  const unsigned usual = m_engine_serves ? relay_reads_beside_requests : relay_reads_alone;
  if (active >= (is_served_by_relays(now) ? usual : relay_reads_in_doubt))
  {
    return std::nullopt;
  }
  for (const std::uint32_t piece : m_order)
  {
    if (!may_begin(piece, now))
    {
      continue;
    }
    for (const std::string& relay : m_pieces[piece].relays)
    {
      piece_read read{piece, relay};
      const bool asked =
          std::any_of(m_active.begin(), m_active.end(),
                      [&read](const active_read& other) { return other.what == read; });
      const source& state = m_sources[relay];
      const bool avoided = now < state.avoided_until;
      if (!asked && !avoided)
      {
        return read;
      }
      if (avoided && state.failures == 0)
      {
        // It waits for the piece; another entry would read it once more.
        break;
      }
    }
  }
  return std::nullopt;
}

std::optional<piece_read> piece_schedule::choose_peer_read(time_point now)
{
  if (m_peer_reads >= (m_engine_serves ? peer_reads_beside_requests : peer_reads_alone))
  {
    return std::nullopt;
  }
  // Pieces that few hosts of the region have come first, so that these hosts do not become the
  // only sources of what all still need.
  using rank = std::tuple<std::size_t, std::uint64_t>;
  std::optional<rank> best_rank;
  std::optional<piece_read> best;
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (!may_begin(piece, now))
    {
      continue;
    }
    std::size_t near_holders = 0;
    std::vector<const std::string*> near;
    std::vector<const std::string*> far;
    for (const peer& other : m_peers)
    {
      if (!is_holder(other, piece, now))
      {
        continue;
      }
      near_holders += other.near ? 1U : 0U;
      if (other.state->active_reads == 0 && now >= other.state->avoided_until)
      {
        (other.near ? near : far).push_back(&other.ip);
      }
    }
    const bool bring_in = near_holders == 0 && !far.empty() && may_bring_in(piece, now);
    const auto& sources = bring_in ? far : near;
    const rank candidate{near_holders, m_random()};
    if (!sources.empty() && (!best_rank || candidate < *best_rank))
    {
      best_rank = candidate;
      best = piece_read{piece, *sources[m_random() % sources.size()]};
    }
  }
  return best;
}

std::optional<piece_read> piece_schedule::choose_origin_read(time_point now) const
{
  if (m_origin_reads >= max_origin_reads || now < m_origin_retry)
  {
    return std::nullopt;
  }
  const bool in_doubt = m_origin_failed && now - *m_origin_failed < origin_doubt;
  // Entries that wait read the origin for all as soon as it answers. Where it fails for this host
  // as well, one host probes it with one piece, in case the entries do not get through.
  const bool probe_only = m_origin_failed && now - m_relay_waited < relay_patience;
  bool probed = false;
  std::optional<time_point> best_due;
  std::optional<piece_read> best;
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (m_pieces[piece].held)
    {
      continue;
    }
    if (probe_only && probed)
    {
      break;
    }
    probed = true;
    const auto rank = static_cast<int>(m_plan.origin_rank(piece));
    const time_point due =
        m_started + origin_pace * static_cast<int>(piece) + origin_takeover * rank;
    if (due > now || (rank > 0 && (in_doubt || probe_only)) || (best_due && due >= *best_due) ||
        !may_begin(piece, now) || is_claimed(piece, false, now))
    {
      continue;
    }
    const bool has_holder =
        std::any_of(m_peers.begin(), m_peers.end(),
                    [&](const peer& other) { return is_holder(other, piece, now); });
    if (!has_holder)
    {
      best_due = due;
      best = piece_read{piece, {}};
    }
  }
  return best;
}

void piece_schedule::begin(const piece_read& read, time_point now)
{
  m_active.push_back({read, now});
  if (read.from_origin())
  {
    ++m_origin_reads;
    return;
  }
  ++m_peer_reads;
  ++m_sources[read.peer].active_reads;
}

std::vector<piece_read> piece_schedule::begin_reads(time_point now)
{
  std::vector<piece_read> reads;
  while (const auto read = choose_relay_read(now))
  {
    begin(*read, now);
    reads.push_back(*read);
  }
  if (is_served_by_relays(now))
  {
    return reads;
  }
  while (const auto read = choose_origin_read(now))
  {
    begin(*read, now);
    reads.push_back(*read);
  }
  while (const auto read = choose_peer_read(now))
  {
    begin(*read, now);
    reads.push_back(*read);
  }
  return reads;
}

void piece_schedule::read_ended(const piece_read& read, read_end end, time_point now)
{
  const auto active =
      std::find_if(m_active.begin(), m_active.end(),
                   [&read](const active_read& other) { return other.what == read; });
  if (active != m_active.end())
  {
    m_active.erase(active);
  }
  if (end == read_end::received)
  {
    m_pieces[read.piece].held = true;
    if (is_relay_read(read))
    {
      m_relay_progress = now;
    }
  }
  if (read.from_origin())
  {
    --m_origin_reads;
    if (end == read_end::received)
    {
      m_origin_failed.reset();
      return;
    }
    m_origin_retry = now + origin_retry;
    if (end != read_end::spoilt)
    {
      m_origin_failed = now;
    }
    return;
  }
  --m_peer_reads;
  source& sender = m_sources[read.peer];
  --sender.active_reads;
  switch (end)
  {
  case read_end::received:
    sender.failures = 0;
    return;
  case read_end::missing:
    if (!sender.states.empty())
    {
      sender.states[read.piece] = piece_state::absent;
    }
    return;
  case read_end::busy:
    sender.avoided_until = now + busy_pause;
    if (is_relay_read(read))
    {
      m_relay_waited = now;
    }
    return;
  case read_end::spoilt:
  case read_end::failed:
    sender.avoided_until =
        now + first_failure_pause * (1U << std::min(sender.failures, max_failure_doublings));
    ++sender.failures;
    return;
  }
}

void piece_schedule::drop(std::uint32_t piece)
{
  m_pieces[piece].held = false;
}

std::vector<piece_state> piece_schedule::states() const
{
  std::vector<piece_state> out;
  for (const piece_view& piece : m_pieces)
  {
    out.push_back(piece.held ? piece_state::held : piece_state::absent);
  }
  for (const active_read& read : m_active)
  {
    // A read of an entry that may be dead is no reason for others to wait for this host.
    if (out[read.what.piece] == piece_state::absent && !is_relay_read(read.what))
    {
      out[read.what.piece] = piece_state::reading;
    }
  }
  return out;
}

} // namespace pollenyoke::rollout
