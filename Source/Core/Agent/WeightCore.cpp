#include "Agent/WeightCore.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Agent/TransferTiming.h"
#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::duration_cast;
using std::chrono::steady_clock;

// Regions lose contact with each other for minutes several times a year. Only after a much longer
// silence is the store region taken for lost, so that an ordinary partition does not make both
// sides claim the same stripes.
constexpr auto store_region_patience = 10min;
// Requests beyond the downlink's rate stand in its queue and delay what peers ask of this host.
constexpr double downlink_burst_s = 0.05;
// Hashing a chunk takes about a millisecond; this bounds the time that one tick takes.
constexpr std::size_t content_chunks_per_tick = 8;

bool was_heard(const membership::peer& p)
{
  return p.last_heard != time_point{};
}

// A host that this one does not watch is never heard; one that is watched and was never heard is
// dead once it is no longer awaited.
bool is_live(const membership::peer& p)
{
  const bool unknown = !was_heard(p) && (!p.watched || p.awaited);
  return !p.leaving && (p.alive || unknown);
}

} // namespace

weight_core::weight_core(const protocol::settings& with, incarnation_id self, time_point now)
    : m_settings(with), m_incarnation(self),
      m_policy(distribution::make_policy(with.distribution.policy)),
      m_goal(distribution::parameters_for(with.distribution.goal)),
      m_store(std::make_shared<weights::chunk_store>(with.distribution.memory_bytes)),
      m_grants({with.host, self}),
      m_reader(with.platform.weight_store.has_value(), with.distribution.origin_bytes_per_s),
      m_uplink(with.distribution.uplink_bytes_per_s, now),
      m_downlink(with.distribution.downlink_bytes_per_s,
                 std::max(with.distribution.downlink_bytes_per_s * downlink_burst_s, 1.0), now)
{
  m_reads_without_grant = std::visit(
      [](const auto& policy) { return std::decay_t<decltype(policy)>::reads_without_grant; },
      m_policy);
}

// --- state and view

bool weight_core::is_self(const protocol::stripe_holder& holder) const
{
  return holder.host == m_settings.host && holder.incarnation == m_incarnation;
}

bool weight_core::is_dead(const protocol::stripe_holder& holder) const
{
  if (holder.host == m_settings.host)
  {
    return holder.incarnation != m_incarnation;
  }
  const membership::peer* peer = m_view ? m_view->find(holder.host) : nullptr;
  return peer == nullptr || (was_heard(*peer) && !peer->alive) ||
         (peer->incarnation.value != 0 && peer->incarnation != holder.incarnation);
}

weight_core::tracked_transfer* weight_core::find(const digest& manifest)
{
  const auto found = m_transfers.find(manifest);
  return found == m_transfers.end() ? nullptr : &found->second;
}

const weights::transfer* weight_core::find_transfer(const digest& manifest) const
{
  const auto found = m_transfers.find(manifest);
  return found == m_transfers.end() ? nullptr : &found->second.t;
}

const weight_core::tracked_release* weight_core::first_release(const tracked_transfer& entry) const
{
  const auto found = m_releases.find(*entry.releases.begin());
  return found == m_releases.end() ? nullptr : &found->second;
}

void weight_core::set_state(std::shared_ptr<const fleet::fleet_state> state, time_point now)
{
  if (state == m_state || (m_state && state->offset < m_state->offset))
  {
    return;
  }
  m_state = std::move(state);
  std::vector<protocol::release_key> gone;
  for (const auto& [key, release] : m_releases)
  {
    if (!m_state->releases.contains(key))
    {
      gone.push_back(key);
    }
  }
  for (const auto& [key, release] : m_state->releases)
  {
    const auto& services = release.item.services;
    if (std::find(services.begin(), services.end(), m_settings.service) == services.end())
    {
      continue;
    }
    const auto [found, added] = m_releases.try_emplace(key);
    tracked_release& tracked = found->second;
    const bool moved = !(tracked.release.origin.holders == release.origin.holders);
    tracked.release = release;
    if (added)
    {
      tracked.seen = now;
      refresh_targets(tracked, now);
    }
    register_grants(tracked, now);
    track_transfer(tracked, now);
    if (tracked_transfer* entry = find(release.item.manifest); moved && entry != nullptr)
    {
      refresh_transfer(*entry);
    }
  }
  // After the new releases, so that a manifest that both name keeps its transfer.
  for (const auto& key : gone)
  {
    drop_release(key);
  }
}

void weight_core::set_view(membership::member_view_ptr view, time_point now)
{
  if (view == m_view)
  {
    return;
  }
  const membership::member_view_ptr before_view = std::exchange(m_view, std::move(view));
  drop_dead_sources(before_view.get());
  for (auto& [key, release] : m_releases)
  {
    const auto before = release.targets;
    refresh_targets(release, now);
    if (release.targets != before)
    {
      track_transfer(release, now);
      if (tracked_transfer* entry = find(release.release.item.manifest); entry != nullptr)
      {
        entry->stall_level = 0;
        refresh_transfer(*entry);
      }
    }
  }
}

void weight_core::drop_dead_sources(const membership::member_view* before)
{
  for (auto& [id, entry] : m_transfers)
  {
    std::erase_if(
        entry.t.sources,
        [&](const auto& source)
        {
          const membership::peer* peer = m_view->find(source.first);
          const membership::peer* old = before != nullptr ? before->find(source.first) : nullptr;
          const bool restarted = peer != nullptr && old != nullptr && old->incarnation.value != 0 &&
                                 peer->incarnation != old->incarnation;
          // A source that was never listed may be a host that the list does not show yet.
          const bool gone = peer == nullptr && old != nullptr;
          return gone || restarted || (peer != nullptr && was_heard(*peer) && !peer->alive);
        });
  }
}

void weight_core::refresh_targets(tracked_release& release, time_point now)
{
  std::vector<distribution::target_host> hosts;
  const auto& services = release.release.item.services;
  release.listed = false;
  if (m_view)
  {
    for (const membership::peer& peer : m_view->peers)
    {
      if (peer.listed.role != protocol::process_role::agent ||
          std::find(services.begin(), services.end(), peer.listed.service) == services.end())
      {
        continue;
      }
      const bool self = peer.listed.host == m_settings.host;
      release.listed = release.listed || self;
      hosts.push_back({peer.listed.host, peer.listed.region,
                       self ? m_incarnation : peer.incarnation, self || is_live(peer),
                       peer.leaving});
    }
  }
  if (!release.listed)
  {
    hosts.push_back({m_settings.host, m_settings.region, m_incarnation, true});
  }
  release.targets = distribution::choose_targets(release.release.key, release.release.item.replicas,
                                                 std::move(hosts));
  release.wanted = std::any_of(release.targets.begin(), release.targets.end(),
                               [this](const auto& t) { return t.host == m_settings.host; });
  if (!distribution::is_silent(release.targets, m_settings.distribution.store_region))
  {
    release.store_silent_since.reset();
  }
  else if (!release.store_silent_since)
  {
    release.store_silent_since = now;
  }
}

std::vector<distribution::target_host>
weight_core::stripe_candidates(const tracked_release& release, time_point now) const
{
  const bool lost =
      release.store_silent_since && now >= *release.store_silent_since + store_region_patience;
  return distribution::stripe_candidates(release.targets, m_settings.distribution.store_region,
                                         lost);
}

void weight_core::track_transfer(tracked_release& release, time_point now)
{
  const digest& manifest = release.release.item.manifest;
  if (!release.wanted || !release.rejected.empty())
  {
    return;
  }
  const auto [found, added] = m_transfers.try_emplace(manifest, manifest, now);
  if (found->second.releases.insert(release.release.key).second)
  {
    refresh_transfer(found->second);
    if (found->second.t.has_manifest() &&
        found->second.t.manifest().total_bytes != release.release.item.bytes)
    {
      found->second.releases.erase(release.release.key);
      release.rejected = "manifest states another size than the release note";
      log_warning(log_category::weights, "release rejected",
                  {{"model", release.release.item.model}, {"reason", release.rejected}});
    }
  }
}

void weight_core::drop_release(const protocol::release_key& key)
{
  const auto release = m_releases.find(key);
  const digest manifest = release->second.release.item.manifest;
  m_releases.erase(release);
  m_grants.forget(key);
  const auto found = m_transfers.find(manifest);
  if (found == m_transfers.end())
  {
    return;
  }
  found->second.releases.erase(key);
  if (!found->second.releases.empty())
  {
    return;
  }
  m_transfers.erase(found);
  m_store->unpin(manifest);
  m_uplink.drop_manifest(manifest);
}

void weight_core::refresh_transfer(tracked_transfer& entry)
{
  const tracked_release* release = first_release(entry);
  if (release == nullptr)
  {
    return;
  }
  std::set<std::string> regions;
  std::vector<std::string> near;
  entry.hosts.clear();
  for (const auto& target : release->targets)
  {
    entry.hosts.push_back(target.host.value);
    if (target.live)
    {
      regions.insert(target.region);
      if (target.region == m_settings.region)
      {
        near.push_back(target.host.value);
      }
    }
  }
  entry.regions.assign(regions.begin(), regions.end());
  entry.region_hosts = std::max<std::size_t>(near.size(), 1);
  entry.near = near;
  std::vector<std::string> holders;
  for (const auto& holder : release->release.origin.holders)
  {
    holders.push_back(holder.host.value);
  }
  const std::string manifest = to_hex(entry.t.id());
  const std::string& store_region = m_settings.distribution.store_region;
  std::vector<std::string> upstream;
  if (entry.t.has_manifest() && regions.size() > 1)
  {
    const std::size_t remote = regions.size() - (regions.contains(store_region) ? 1 : 0);
    std::vector<std::string> region;
    for (const auto& target : release->targets)
    {
      if (target.region == m_settings.region)
      {
        region.push_back(target.host.value);
      }
    }
    entry.fetch_ranks = distribution::region_fetch_ranks(
        {manifest, entry.t.manifest().chunks.size(), m_settings.host.value, region, near, remote,
         holders.size()});
    upstream = distribution::upstream_hosts(
        {manifest, m_settings.region, store_region, release->targets, holders, entry.fetch_ranks});
  }
  const distribution::neighbour_input input{m_settings.host.value, m_settings.region, store_region,
                                            release->targets, upstream};
  auto neighbours = std::visit([&](const auto& policy)
                               { return std::decay_t<decltype(policy)>::neighbours(input); },
                               m_policy);
  if (neighbours != entry.neighbours)
  {
    entry.neighbours = std::move(neighbours);
    entry.last_hello = {};
  }
}

std::string weight_core::region_of(const tracked_transfer& entry, const host_id& host) const
{
  if (const tracked_release* release = first_release(entry); release != nullptr)
  {
    const auto found =
        std::lower_bound(release->targets.begin(), release->targets.end(), host,
                         [](const auto& target, const host_id& h) { return target.host < h; });
    if (found != release->targets.end() && found->host == host)
    {
      return found->region;
    }
  }
  return {};
}

// --- time

void weight_core::content_step(tracked_transfer& entry)
{
  if (!entry.t.check_content(*m_store, content_chunks_per_tick) || !entry.t.content_mismatch())
  {
    return;
  }
  // The chunks are kept until the release is withdrawn, so that other hosts can find out the same
  // without reading the origin again.
  const std::string reason = "content does not match the digest that the manifest states";
  for (const auto& key : entry.releases)
  {
    m_releases.at(key).rejected = reason;
  }
  log_warning(log_category::weights, "manifest rejected",
              {{"manifest", to_hex(entry.t.id())}, {"reason", reason}});
}

time_point weight_core::tick(time_point now)
{
  bool active = !m_uplink.empty();
  bool waiting = false;
  for (auto& [key, release] : m_releases)
  {
    placement_step(release, now);
    waiting = waiting || (release.wanted && release.release.origin.holders.empty());
    tracked_transfer* entry = find(release.release.item.manifest);
    if (entry != nullptr && entry->t.has_manifest() && !entry->t.finished() &&
        entry->releases.contains(key))
    {
      stripe_step(release, *entry, now);
    }
    return_step(release, now);
  }
  for (auto& [id, entry] : m_transfers)
  {
    if (!entry.t.finished())
    {
      active = true;
      manifest_step(entry, now);
    }
    if (entry.t.has_manifest() && !entry.t.finished())
    {
      timeout_step(entry, now);
      if (m_reads_without_grant)
      {
        read_everything(entry, now);
      }
      request_step(entry, now);
      content_step(entry);
    }
    announce_step(entry, now);
  }
  uplink_step(now);
  if (active)
  {
    return now + 10ms;
  }
  return now + (waiting ? 100ms : 500ms);
}

core_output weight_core::take_output()
{
  // Chunk replies were charged when they left the queue. Without the other frames, the pace of the
  // chunks would exceed what is left of the link.
  for (const outgoing_frame& frame : m_output.frames)
  {
    if (protocol::type_of(frame.message) != protocol::message_type::chunk_reply)
    {
      m_uplink.charge(frame.message.payload.size());
    }
  }
  return std::exchange(m_output, {});
}

std::vector<held_release> weight_core::held() const
{
  std::vector<held_release> out;
  for (const auto& [key, release] : m_releases)
  {
    if (!release.wanted || !release.rejected.empty())
    {
      continue;
    }
    const weights::transfer* t = find_transfer(release.release.item.manifest);
    const bool known = t != nullptr && t->has_manifest();
    out.push_back({key, &release.release.item, known ? &t->manifest() : nullptr,
                   t != nullptr && t->complete()});
  }
  return out;
}

std::vector<distribution::replica_view>
weight_core::replicas(const protocol::release_key& key) const
{
  std::vector<distribution::replica_view> out;
  const auto found = m_releases.find(key);
  if (found == m_releases.end() || !m_view || !m_state)
  {
    return out;
  }
  const std::string& version = found->second.release.item.version;
  for (const auto& target : found->second.targets)
  {
    const membership::peer* peer = m_view->find(target.host);
    distribution::replica_view replica{target.host};
    replica.heard = peer != nullptr && was_heard(*peer);
    replica.live = peer != nullptr && peer->alive && !peer->leaving;
    for (const protocol::served_version& served :
         peer != nullptr ? peer->serving : std::vector<protocol::served_version>{})
    {
      const bool in_force = std::any_of(m_state->releases.begin(), m_state->releases.end(),
                                        [&](const auto& entry) {
                                          return entry.first.model == served.model &&
                                                 entry.second.item.version == served.version;
                                        });
      replica.serves_new =
          replica.serves_new || (served.model == key.model && served.version == version);
      replica.serves_old = replica.serves_old || (served.model == key.model && !in_force);
    }
    out.push_back(std::move(replica));
  }
  return out;
}

nlohmann::json weight_core::dump(time_point now) const
{
  nlohmann::json out;
  out["policy"] = std::visit(
      [](const auto& policy)
      {
        using chosen = std::decay_t<decltype(policy)>;
        return std::is_same_v<chosen, distribution::pollenyoke_policy> ? "pollenyoke"
               : std::is_same_v<chosen, distribution::tree_policy>     ? "tree"
                                                                       : "origin-only";
      },
      m_policy);
  out["origin"] = {{"granted_bytes", m_grants.ledger().granted_bytes()},
                   {"reserved_bytes", m_grants.ledger().reserved_bytes()}};
  out["memory"] = {{"held_bytes", m_store->held_bytes()},
                   {"pinned_bytes", m_store->pinned_bytes()}};
  out["releases"] = nlohmann::json::array();
  for (const auto& [key, release] : m_releases)
  {
    nlohmann::json item{
        {"model", key.model},       {"version", release.release.item.version},
        {"note", key.note.value},   {"manifest", to_hex(release.release.item.manifest)},
        {"wanted", release.wanted}, {"stripes", release.stripes.size()}};
    if (!release.rejected.empty())
    {
      item["rejected"] = release.rejected;
    }
    if (!release.waiting.empty())
    {
      item["waiting"] = release.waiting;
    }
    if (const auto* t = find_transfer(release.release.item.manifest); t != nullptr)
    {
      item["chunks"] = t->have().size();
      item["held"] = t->have().count();
      item["complete"] = t->complete();
      item["idle_ms"] = duration_cast<std::chrono::milliseconds>(now - t->last_progress).count();
    }
    out["releases"].push_back(std::move(item));
  }
  return out;
}

} // namespace pollenyoke::agent
