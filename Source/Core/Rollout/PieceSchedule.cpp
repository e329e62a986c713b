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

// A read takes 0.17 s when all hosts fetch, as it queues at its source and behind other pieces on
// both links; sending a piece takes 42 ms. Four reads keep the downlink busy. More would delay
// requests for the engine, so only hosts whose engine serves no requests start more, to make up for
// reads that peers reject as busy.
constexpr unsigned max_peer_reads_while_serving = 4;
constexpr unsigned max_peer_reads_while_idle = 6;
constexpr unsigned max_origin_reads = 2;
// An entry answers in a few ms and sends faster than this host receives. Two reads suffice to
// request the next piece while one arrives.
constexpr unsigned max_relay_reads_while_serving = 2;
constexpr unsigned max_relay_reads_while_idle = 3;
// While entries deliver nothing, a single read detects when they recover.
constexpr unsigned max_relay_probe_reads = 1;
// If entries have delivered no piece for this long, hosts also read from each other and from the
// origin. A piece takes 42 ms, or 0.33 s on a link limited to 1.2 Mbit/s.
constexpr milliseconds relay_progress_timeout{900};
// Entries that wait for the origin read from it as soon as it answers. After this time without a
// piece, hosts read from it directly, as the entries may be unable to reach it.
constexpr milliseconds relay_origin_wait_timeout{3000};
// Delay after which the host of the next rank reads a piece that the preceding one has not started
// to read. Announcements arrive every 250 ms, and one may be lost.
constexpr milliseconds origin_takeover_delay{900};
constexpr milliseconds region_takeover_delay{600};
// Hosts that want pieces announce themselves four times per second, and those that have them reply.
constexpr milliseconds announcement_lifetime{1500};
// A piece takes 42 ms on an idle 9.4 Mbit/s link and queues behind three others at most. After this
// time it is requested from a second source as well.
constexpr milliseconds slow_read_threshold{800};
// A busy peer has usually sent one or two pieces by then.
constexpr milliseconds busy_backoff{25};
constexpr milliseconds initial_failure_backoff{500};
constexpr unsigned max_failure_doublings = 3;
constexpr milliseconds origin_retry_delay{250};
// For this long after an origin failure, this host does not take over origin reads of other hosts.
constexpr milliseconds origin_failure_memory{1500};

} // namespace

piece_schedule::piece_schedule(std::uint32_t pieces, std::uint64_t random_seed, time_point started)
    : m_pieces(pieces), m_read_order(reading_order(pieces, {})), m_started(started),
      m_last_relay_piece_at(started), m_random(random_seed)
{
}

void piece_schedule::set_first_pieces(const piece_range& first)
{
  m_read_order = reading_order(static_cast<std::uint32_t>(m_pieces.size()), first);
}

void piece_schedule::set_plan(piece_plan plan)
{
  m_plan = std::move(plan);
  m_peers.clear();
  for (const rollout_host& host : m_plan.others())
  {
    m_peers.push_back({host.ip, m_plan.is_local(host.ip), &m_sources[host.ip]});
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
  const auto idle = now - m_last_relay_piece_at;
  return m_has_relays &&
         (idle < relay_progress_timeout || (idle < relay_origin_wait_timeout &&
                                            now - m_last_relay_wait_at < relay_progress_timeout));
}

void piece_schedule::set_engine_serves(bool serves)
{
  m_engine_serves = serves;
}

void piece_schedule::handle_announcement(const std::string& ip,
                                         const std::vector<piece_state>& states, time_point now)
{
  if (states.size() != m_pieces.size())
  {
    return;
  }
  source& other = m_sources[ip];
  other.states = states;
  other.last_heard = now;
  const bool local = m_plan.is_local(ip);
  for (std::size_t i = 0; i < states.size(); ++i)
  {
    if (states[i] == piece_state::held && !local && !m_pieces[i].remote_since)
    {
      m_pieces[i].remote_since = now;
    }
  }
}

bool piece_schedule::is_fresh(const source& other, time_point now)
{
  return !other.states.empty() && now - other.last_heard < announcement_lifetime;
}

bool piece_schedule::is_holder(const peer& other, std::uint32_t piece, time_point now)
{
  return is_fresh(*other.state, now) && other.state->states[piece] == piece_state::held;
}

bool piece_schedule::may_read(std::uint32_t piece, time_point now) const
{
  if (m_pieces[piece].held)
  {
    return false;
  }
  // A read from an entry that delivers nothing must not block other reads of the piece.
  const bool relays_deliver = is_served_by_relays(now);
  const auto reads = std::count_if(m_active.begin(), m_active.end(),
                                   [&](const active_read& read) {
                                     return read.request.piece == piece &&
                                            (relays_deliver || !is_relay_read(read.request));
                                   });
  if (reads == 0)
  {
    return true;
  }
  return reads == 1 && std::any_of(m_active.begin(), m_active.end(),
                                   [piece, now](const active_read& read) {
                                     return read.request.piece == piece &&
                                            now - read.started_at >= slow_read_threshold;
                                   });
}

bool piece_schedule::is_read_by_peer(std::uint32_t piece, bool local, time_point now) const
{
  return std::any_of(m_peers.begin(), m_peers.end(),
                     [&](const peer& other)
                     {
                       return (!local || other.local) && is_fresh(*other.state, now) &&
                              other.state->states[piece] == piece_state::reading;
                     });
}

bool piece_schedule::may_read_remote(std::uint32_t piece, time_point now) const
{
  const auto since = m_pieces[piece].remote_since;
  const auto rank = static_cast<int>(m_plan.region_rank(piece));
  return since && now >= *since + region_takeover_delay * rank &&
         !is_read_by_peer(piece, true, now);
}

bool piece_schedule::is_relay_read(const piece_read& read) const
{
  const auto& relays = m_pieces[read.piece].relays;
  return std::find(relays.begin(), relays.end(), read.peer) != relays.end();
}

/// Selects pieces in the order in which the entries receive them from the origin, but those that
/// the engine loads first before the others.
std::optional<piece_read> piece_schedule::choose_relay_read(time_point now)
{
  const auto active = static_cast<unsigned>(std::count_if(m_active.begin(), m_active.end(),
                                                          [this](const active_read& read)
                                                          { return is_relay_read(read.request); }));
  const unsigned max_reads =
      m_engine_serves ? max_relay_reads_while_serving : max_relay_reads_while_idle;
  if (active >= (is_served_by_relays(now) ? max_reads : max_relay_probe_reads))
  {
    return std::nullopt;
  }
  for (const std::uint32_t piece : m_read_order)
  {
    if (!may_read(piece, now))
    {
      continue;
    }
    for (const std::string& relay : m_pieces[piece].relays)
    {
      piece_read read{piece, relay};
      const bool already_requested =
          std::any_of(m_active.begin(), m_active.end(),
                      [&read](const active_read& other) { return other.request == read; });
      const source& state = m_sources[relay];
      const bool avoided = now < state.avoided_until;
      if (!already_requested && !avoided)
      {
        return read;
      }
      if (avoided && state.failures == 0)
      {
        // The entry is waiting for the piece; another entry would read it a second time.
        break;
      }
    }
  }
  return std::nullopt;
}

std::optional<piece_read> piece_schedule::choose_peer_read(time_point now)
{
  if (m_peer_reads >= (m_engine_serves ? max_peer_reads_while_serving : max_peer_reads_while_idle))
  {
    return std::nullopt;
  }
  // Rarest first within the region, so that a few hosts do not become the only sources of pieces
  // that all others still need.
  using rank = std::tuple<std::size_t, std::uint64_t>;
  std::optional<rank> best_rank;
  std::optional<piece_read> best;
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    if (!may_read(piece, now))
    {
      continue;
    }
    std::size_t local_holders = 0;
    std::vector<const std::string*> local;
    std::vector<const std::string*> remote;
    for (const peer& other : m_peers)
    {
      if (!is_holder(other, piece, now))
      {
        continue;
      }
      local_holders += other.local ? 1U : 0U;
      if (other.state->active_reads == 0 && now >= other.state->avoided_until)
      {
        (other.local ? local : remote).push_back(&other.ip);
      }
    }
    const bool read_remote = local_holders == 0 && !remote.empty() && may_read_remote(piece, now);
    const auto& sources = read_remote ? remote : local;
    const rank candidate{local_holders, m_random()};
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
  if (m_origin_reads >= max_origin_reads || now < m_origin_retry_at)
  {
    return std::nullopt;
  }
  const bool failed_recently =
      m_origin_failed_at && now - *m_origin_failed_at < origin_failure_memory;
  // Waiting entries read from the origin for all hosts as soon as it answers. If it also fails for
  // this host, only the host that ranks first for the first missing piece probes the origin with
  // it, in case the entries cannot reach the origin.
  const bool probe_only = m_origin_failed_at && now - m_last_relay_wait_at < relay_progress_timeout;
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
        m_started + origin_read_interval * static_cast<int>(piece) + origin_takeover_delay * rank;
    if (due > now || (rank > 0 && (failed_recently || probe_only)) ||
        (best_due && due >= *best_due) || !may_read(piece, now) ||
        is_read_by_peer(piece, false, now))
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

void piece_schedule::on_read_finished(const piece_read& read, read_outcome outcome, time_point now)
{
  const auto active =
      std::find_if(m_active.begin(), m_active.end(),
                   [&read](const active_read& other) { return other.request == read; });
  if (active != m_active.end())
  {
    m_active.erase(active);
  }
  if (outcome == read_outcome::received)
  {
    m_pieces[read.piece].held = true;
    if (is_relay_read(read))
    {
      m_last_relay_piece_at = now;
    }
  }
  if (read.from_origin())
  {
    --m_origin_reads;
    if (outcome == read_outcome::received)
    {
      m_origin_failed_at.reset();
      return;
    }
    m_origin_retry_at = now + origin_retry_delay;
    if (outcome != read_outcome::corrupt)
    {
      m_origin_failed_at = now;
    }
    return;
  }
  --m_peer_reads;
  source& sender = m_sources[read.peer];
  --sender.active_reads;
  switch (outcome)
  {
  case read_outcome::received:
    sender.failures = 0;
    return;
  case read_outcome::missing:
    if (!sender.states.empty())
    {
      sender.states[read.piece] = piece_state::absent;
    }
    return;
  case read_outcome::busy:
    sender.avoided_until = now + busy_backoff;
    if (is_relay_read(read))
    {
      m_last_relay_wait_at = now;
    }
    return;
  case read_outcome::corrupt:
  case read_outcome::failed:
    sender.avoided_until =
        now + initial_failure_backoff * (1U << std::min(sender.failures, max_failure_doublings));
    ++sender.failures;
    return;
  }
}

void piece_schedule::mark_held(std::uint32_t piece)
{
  m_pieces[piece].held = true;
}

void piece_schedule::drop(std::uint32_t piece)
{
  m_pieces[piece].held = false;
}

std::vector<piece_state> piece_schedule::states() const
{
  std::vector<piece_state> out;
  for (const piece_status& piece : m_pieces)
  {
    out.push_back(piece.held ? piece_state::held : piece_state::absent);
  }
  for (const active_read& read : m_active)
  {
    // The entry may be down, so a read from it must not make other hosts wait for this one.
    if (out[read.request.piece] == piece_state::absent && !is_relay_read(read.request))
    {
      out[read.request.piece] = piece_state::reading;
    }
  }
  return out;
}

} // namespace pollenyoke::rollout
