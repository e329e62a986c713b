// The exchange of chunks with peers: announcements, requests, time-outs and replies.
#include "Agent/WeightCore.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Agent/TransferTiming.h"
#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::steady_clock;

constexpr double min_announce_s = 0.05;
constexpr double max_announce_s = 0.5;
// Announcements to the own region use at most this share of the uplink during a transfer.
constexpr double announce_share = 0.04;
constexpr double announce_overhead_bytes = 100;
constexpr std::chrono::milliseconds hello_interval{2000};
// A neighbour that has not seen the release yet ignores an announcement, so the first ones are
// repeated until the release has reached every host.
constexpr unsigned early_hellos = 5;
constexpr std::chrono::milliseconds early_hello_interval{300};
// Peers that have not announced anything for this long are not told about new chunks.
constexpr auto interest_time = 30s;
constexpr std::size_t max_interested = 48;
constexpr auto slow_read = 3s;
constexpr auto closed_hold = 200ms;
constexpr auto timeout_hold = 500ms;
// After this long a source that did not answer is asked again.
constexpr auto forgive_time = 3s;
// Part of the burst that requests to peers leave to reads from the origin while there are some: no
// other host can do these reads, and the whole fleet waits for them.
constexpr double origin_read_reserve_s = 0.02;

} // namespace

// --- announcements

void weight_core::send_have(const tracked_transfer& entry, const host_id& to,
                            transport::connection_id connection, bool wants_reply)
{
  protocol::have_update update{entry.t.id(), m_settings.host, {}, wants_reply};
  if (entry.t.has_manifest())
  {
    update.bitmap = entry.t.have().bytes();
  }
  m_output.frames.push_back({to, connection, protocol::encode(update)});
}

void weight_core::on_have_update(transport::connection_id from, protocol::have_update message,
                                 time_point now)
{
  tracked_transfer* entry = find(message.manifest);
  if (entry == nullptr)
  {
    return;
  }
  const host_id host = message.host;
  if (region_of(*entry, host).empty())
  {
    return;
  }
  if (!message.bitmap.empty())
  {
    // A host that announces chunks, even none, holds the manifest.
    entry->t.update_source(host, std::move(message.bitmap), now);
  }
  // A host of another region that only announces does not fetch from this host.
  const bool interested = message.wants_reply || region_of(*entry, host) == m_settings.region ||
                          entry->interested.contains(host);
  if (interested && (entry->interested.contains(host) || entry->interested.size() < max_interested))
  {
    interested_peer& peer = entry->interested[host];
    peer.last_heard = now;
    peer.connection = message.wants_reply ? from : peer.connection;
  }
  if (message.wants_reply)
  {
    send_have(*entry, host, from, false);
  }
}

double weight_core::announce_interval(const tracked_transfer& entry) const
{
  const double peers =
      static_cast<double>(std::max(entry.interested.size(), entry.neighbours.size()));
  const double bytes =
      peers * (announce_overhead_bytes + static_cast<double>(entry.t.have().bytes().size()));
  return std::clamp(bytes / (announce_share * m_settings.distribution.uplink_bytes_per_s),
                    min_announce_s, max_announce_s);
}

void weight_core::announce_step(tracked_transfer& entry, time_point now)
{
  const bool done = entry.t.finished();
  const bool early = entry.hellos < early_hellos;
  if (!done && now >= entry.last_hello + (early ? early_hello_interval : hello_interval))
  {
    entry.last_hello = now;
    ++entry.hellos;
    for (const std::string& neighbour : entry.neighbours)
    {
      const auto source = entry.t.sources.find(host_id{neighbour});
      const bool whole = source != entry.t.sources.end() && source->second.have.size() != 0 &&
                         source->second.have.all();
      if (!whole &&
          (source == entry.t.sources.end() || now >= source->second.last_update + hello_interval))
      {
        send_have(entry, host_id{neighbour}, 0, true);
      }
    }
  }
  if (entry.t.has_manifest())
  {
    announce_growth(entry, false, now);
    announce_growth(entry, true, now);
  }
}

void weight_core::announce_growth(tracked_transfer& entry, bool remote, time_point now)
{
  announcement& last = remote ? entry.far_announcement : entry.near_announcement;
  const std::size_t count = entry.t.have().count();
  // Other regions wait for the chunks that enter this region here; they get the rest from others.
  const double remote_interval = entry.entered ? min_announce_s : max_announce_s;
  const double interval = remote ? remote_interval : announce_interval(entry);
  if (count == last.count || seconds(now - last.time) < interval)
  {
    return;
  }
  last = {count, now};
  entry.entered = entry.entered && !remote;
  for (const auto& [host, peer] : entry.interested)
  {
    const auto source = entry.t.sources.find(host);
    const bool whole = source != entry.t.sources.end() && source->second.have.size() != 0 &&
                       source->second.have.all();
    if (!whole && now < peer.last_heard + interest_time &&
        (region_of(entry, host) != m_settings.region) == remote)
    {
      send_have(entry, host, peer.connection, false);
    }
  }
  // Neighbours of the own region may not know the release yet. Those of others ask for
  // announcements when they fetch from this host.
  for (const std::string& neighbour : entry.neighbours)
  {
    const host_id host{neighbour};
    if (!remote && !entry.t.finished() && !entry.interested.contains(host) &&
        region_of(entry, host) == m_settings.region)
    {
      send_have(entry, host, 0, false);
    }
  }
}

// --- chunks from and to peers

double remote_share(const protocol::settings& with, std::size_t region_hosts)
{
  return with.distribution.region_bytes_per_s / static_cast<double>(region_hosts);
}

std::chrono::duration<double> weight_core::request_timeout(const tracked_transfer& entry,
                                                           const weights::transfer_source& source,
                                                           bool remote, double chunk_bytes) const
{
  double expected =
      std::max(source.latency_s * 4, 16 * chunk_bytes / m_settings.distribution.uplink_bytes_per_s);
  if (remote)
  {
    expected = std::max(expected, 4 * chunk_bytes / remote_share(m_settings, entry.region_hosts));
  }
  return duration<double>(std::max(1.5, expected));
}

std::chrono::duration<double> weight_core::stall_period(const tracked_transfer& entry) const
{
  const double chunk = typical_chunk(entry.t.manifest());
  return duration<double>(std::max({3.0, 8 * chunk / m_settings.distribution.region_bytes_per_s,
                                    1.5 * chunk / remote_share(m_settings, entry.region_hosts)}));
}

void weight_core::timeout_step(tracked_transfer& entry, time_point now)
{
  const double chunk = typical_chunk(entry.t.manifest());
  for (auto& [host, source] : entry.t.sources)
  {
    const bool remote = region_of(entry, host) != m_settings.region;
    const auto limit = request_timeout(entry, source, remote, chunk);
    const std::size_t late = std::erase_if(source.requests, [&](const auto& request)
                                           { return now - request.second > limit; });
    if (late != 0)
    {
      ++source.timeouts_in_row;
      source.hold_until =
          now + (source.timeouts_in_row >= weights::max_timeouts_in_row
                     ? std::chrono::milliseconds(forgive_time)
                     : std::chrono::milliseconds(timeout_hold) * source.timeouts_in_row);
    }
    else if (source.timeouts_in_row >= weights::max_timeouts_in_row && now >= source.hold_until)
    {
      source.timeouts_in_row = weights::max_timeouts_in_row - 1;
    }
  }
}

weights::chunk_bitmap weight_core::requested_chunks(const tracked_transfer& entry,
                                                    time_point now) const
{
  weights::chunk_bitmap requested(entry.t.have().size());
  for (const auto& [index, since] : entry.t.reading)
  {
    // A read that hangs does not keep the chunk from being fetched from a peer.
    if (now < since + slow_read)
    {
      requested.set(index);
    }
  }
  for (const auto& [host, source] : entry.t.sources)
  {
    for (const auto& [index, sent] : source.requests)
    {
      requested.set(index);
    }
  }
  return requested;
}

weights::chunk_bitmap weight_core::overdue_chunks(tracked_transfer& entry, bool busy,
                                                  time_point now)
{
  if (busy || entry.last_active == time_point{})
  {
    entry.last_active = now;
  }
  const double period = stall_period(entry).count();
  if (seconds(now - std::max(entry.last_active, entry.t.last_progress)) > period)
  {
    ++entry.stall_level;
    entry.last_active = now;
  }
  weights::chunk_bitmap overdue(entry.t.have().size());
  for (std::size_t i = 0; entry.stall_level != 0 && i < overdue.size(); ++i)
  {
    const time_point since = entry.t.first_announced[i];
    overdue.set(i, since != time_point{} && seconds(now - since) > period);
  }
  return overdue;
}

std::map<std::string, std::size_t, std::less<>>
weight_core::remote_allowance(const tracked_transfer& entry, time_point now)
{
  const double chunk = typical_chunk(entry.t.manifest());
  const double rate = remote_share(m_settings, entry.region_hosts);
  std::map<std::string, std::size_t, std::less<>> allowance;
  for (const std::string& region : entry.regions)
  {
    auto pace = m_region_pace.find(region);
    if (pace == m_region_pace.end() || pace->second.first != entry.region_hosts)
    {
      m_region_pace.erase(region);
      const token_bucket bucket(rate, std::max(2 * chunk, rate * 0.5), now);
      pace = m_region_pace.emplace(region, std::pair(entry.region_hosts, bucket)).first;
    }
    const double available = pace->second.second.available(now);
    allowance[region] = available < 0 ? 0 : static_cast<std::size_t>(available / chunk) + 1;
  }
  return allowance;
}

void weight_core::send_request(tracked_transfer& entry, std::uint32_t chunk, const host_id& to,
                               time_point now)
{
  const protocol::manifest_chunk& wanted = entry.t.manifest().chunks[chunk];
  entry.t.sources[to].requests[chunk] = now;
  m_downlink.reserve(wanted.bytes, now);
  const std::string region = region_of(entry, to);
  const auto pace = m_region_pace.find(region);
  if (region != m_settings.region && pace != m_region_pace.end())
  {
    pace->second.second.reserve(wanted.bytes, now);
  }
  m_output.frames.push_back(
      {to, 0, protocol::encode(protocol::chunk_request{entry.t.id(), chunk, wanted.id})});
}

void weight_core::refund_request(const tracked_transfer& entry, std::uint32_t chunk,
                                 const host_id& from, time_point now)
{
  const double bytes = entry.t.manifest().chunks[chunk].bytes;
  m_downlink.reserve(-bytes, now);
  const std::string region = region_of(entry, from);
  const auto pace = m_region_pace.find(region);
  if (region != m_settings.region && pace != m_region_pace.end())
  {
    pace->second.second.reserve(-bytes, now);
  }
}

void weight_core::request_step(tracked_transfer& entry, time_point now)
{
  const double chunk = typical_chunk(entry.t.manifest());
  std::size_t in_flight = 0;
  for (const auto& [host, source] : entry.t.sources)
  {
    in_flight += source.requests.size();
  }
  const auto overdue = overdue_chunks(entry, in_flight != 0 || !entry.t.reading.empty(), now);
  // Requests for half a second of the downlink and, per source, a tenth of a second of its uplink:
  // enough to keep links busy that store and forward whole chunks.
  const auto total = static_cast<std::size_t>(std::clamp(
      std::ceil(m_settings.distribution.downlink_bytes_per_s * 0.5 / chunk) + 4, 6.0, 64.0));
  const auto window = static_cast<std::size_t>(std::clamp(
      std::ceil(m_settings.distribution.uplink_bytes_per_s * 0.1 / chunk) + 2, 2.0, 16.0));
  const double reserve = entry.t.reading.empty()
                             ? 0
                             : m_settings.distribution.downlink_bytes_per_s * origin_read_reserve_s;
  if (in_flight >= total || m_downlink.available(now) < reserve)
  {
    return;
  }
  const auto requested = requested_chunks(entry, now);
  distribution::selection_input in;
  in.self = m_settings.host.value;
  in.region = m_settings.region;
  in.store_region = m_settings.distribution.store_region;
  in.regions = entry.regions;
  in.hosts = entry.hosts;
  in.have = &entry.t.have();
  in.requested = &requested;
  in.fetch_ranks = entry.fetch_ranks;
  in.overdue = &overdue;
  in.allowed_rank = entry.stall_level;
  in.max_picks =
      std::min(total - in_flight, static_cast<std::size_t>(m_downlink.available(now) / chunk) + 1);
  in.remote_picks = remote_allowance(entry, now);
  std::vector<distribution::source_view> sources;
  std::vector<std::string> regions;
  regions.reserve(entry.t.sources.size());
  for (const auto& [host, source] : entry.t.sources)
  {
    if (!source.is_reliable() || source.have.size() == 0)
    {
      continue;
    }
    regions.push_back(region_of(entry, host));
    const bool full = now < source.hold_until || source.requests.size() >= window;
    sources.push_back({host.value, regions.back(), &source.have,
                       full ? 0 : window - source.requests.size(), source.requests.size()});
  }
  in.sources = sources;
  const auto picks =
      std::visit([&](const auto& policy)
                 { return distribution::choose_next<std::decay_t<decltype(policy)>>(in); },
                 m_policy);
  for (const distribution::chunk_pick& pick : picks)
  {
    send_request(entry, pick.chunk, host_id{std::string(sources[pick.source].host)}, now);
  }
}

void weight_core::on_chunk_request(const host_id& host, transport::connection_id from,
                                   const protocol::chunk_request& message, time_point /*now*/)
{
  protocol::chunk_reply refusal{message.manifest, message.index, message.chunk};
  const weights::chunk_data data = m_store->get(message.chunk);
  if (!data)
  {
    refusal.status = protocol::chunk_status::not_held;
    m_output.frames.push_back({host, from, protocol::encode(refusal)});
    return;
  }
  const tracked_transfer* entry = find(message.manifest);
  const bool remote = entry != nullptr && region_of(*entry, host) != m_settings.region;
  if (!m_uplink.offer({host, from, message.manifest, message.index, message.chunk, remote},
                      data->size()))
  {
    refusal.status = protocol::chunk_status::busy;
    m_output.frames.push_back({host, from, protocol::encode(refusal)});
  }
}

void weight_core::uplink_step(time_point now)
{
  while (const auto next = m_uplink.next(now))
  {
    const weights::chunk_data data = m_store->get(next->chunk);
    protocol::chunk_reply reply{next->manifest, next->index, next->chunk};
    if (data)
    {
      reply.status = protocol::chunk_status::ok;
      reply.data = *data;
      m_uplink.note_sent(next->chunk, data->size(), now);
    }
    m_output.frames.push_back({next->host, next->connection, protocol::encode(reply)});
  }
}

void weight_core::on_chunk_reply(const host_id& host, protocol::chunk_reply message,
                                 const digest& computed, time_point now)
{
  tracked_transfer* entry = find(message.manifest);
  if (entry == nullptr || !entry->t.has_manifest())
  {
    return;
  }
  const auto sent = entry->t.end_request(host, message.index);
  const auto source = entry->t.sources.find(host);
  if (source == entry->t.sources.end() || message.index >= entry->t.have().size())
  {
    return;
  }
  if (sent && message.status != protocol::chunk_status::ok)
  {
    refund_request(*entry, message.index, host, now);
  }
  if (message.status == protocol::chunk_status::not_held)
  {
    source->second.have.set(message.index, false);
    return;
  }
  if (message.status == protocol::chunk_status::busy)
  {
    const double chunk = typical_chunk(entry->t.manifest());
    source->second.hold_until = now + duration_cast<steady_clock::duration>(duration<double>(
                                          2 * chunk / m_settings.distribution.uplink_bytes_per_s));
    return;
  }
  const auto outcome =
      entry->t.take_chunk(message.index, computed, std::move(message.data), *m_store, now);
  if (outcome == weights::arrival::corrupt)
  {
    log_warning(log_category::weights, "corrupted chunk dropped",
                {{"source", host.value}, {"chunk", message.index}});
    if (entry->t.note_corrupt(host))
    {
      log_warning(log_category::weights, "source not asked again for this manifest",
                  {{"source", host.value}, {"manifest", to_hex(entry->t.id())}});
    }
    return;
  }
  entry->entered = entry->entered || region_of(*entry, host) != m_settings.region;
  // A reply that came after its timeout shows that the source is slow, not silent.
  entry->t.note_reply(host, sent ? now - *sent : request_timeout(*entry, source->second, false, 0));
}

void weight_core::on_closed(const std::optional<host_id>& host, transport::connection_id connection,
                            time_point now)
{
  m_uplink.drop_connection(connection);
  for (auto& [id, entry] : m_transfers)
  {
    for (auto& [name, peer] : entry.interested)
    {
      peer.connection = peer.connection == connection ? 0 : peer.connection;
    }
    if (!host)
    {
      continue;
    }
    if (const auto source = entry.t.sources.find(*host); source != entry.t.sources.end())
    {
      source->second.requests.clear();
      source->second.hold_until = now + closed_hold;
    }
  }
}

} // namespace pollenyoke::agent
