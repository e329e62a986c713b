// Fetching, checking and answering manifests.
#include "Agent/WeightCore.h"

#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;

constexpr auto manifest_ask_interval = 1000ms;
constexpr std::chrono::milliseconds manifest_far_wait{300};
constexpr auto unlisted_wait = 5s;

} // namespace

// --- manifests

void weight_core::ask_for_manifest(tracked_transfer& entry, time_point now)
{
  if (now < entry.next_manifest_ask)
  {
    return;
  }
  std::vector<host_id> near;
  std::vector<host_id> far;
  for (const auto& [host, source] : entry.t.sources)
  {
    if (!source.announced.empty() && !source.banned)
    {
      (region_of(entry, host) == m_settings.region ? near : far).push_back(host);
    }
  }
  // A manifest is large beside a region link's share of one host: the hosts of a region ask other
  // regions one after the other, and each other first.
  const auto turn =
      manifest_far_wait * static_cast<int>(distribution::rank_of(to_hex(entry.t.id()), entry.near,
                                                                 m_settings.host.value));
  const std::vector<host_id>& who = near.empty() ? far : near;
  if (who.empty() || (near.empty() && now < entry.t.started + turn))
  {
    return;
  }
  entry.next_manifest_ask = now + manifest_ask_interval;
  m_output.frames.push_back({who[entry.manifest_asks++ % who.size()], 0,
                             protocol::encode(protocol::manifest_request{entry.t.id()})});
}

void weight_core::manifest_step(tracked_transfer& entry, time_point now)
{
  const tracked_release* release = first_release(entry);
  if (entry.t.has_manifest() || release == nullptr ||
      (!release->listed && now < entry.t.started + unlisted_wait))
  {
    return;
  }
  ask_for_manifest(entry, now);
  // One host at a time turns to the store and the origin, so that 240 hosts do not read 240 copies.
  std::vector<std::string> near;
  for (const auto& target : release->targets)
  {
    if (target.live && target.region == m_settings.distribution.store_region)
    {
      near.push_back(target.host.value);
    }
  }
  const auto all = distribution::live_names(release->targets);
  const std::string key = distribution::rank_key(release->release.key) + "/manifest";
  std::size_t rank = distribution::rank_of(key, near, m_settings.host.value);
  if (rank == near.size() && !m_reads_without_grant)
  {
    rank += distribution::rank_of(key, all, m_settings.host.value);
  }
  const auto wait = m_reads_without_grant ? 0ms : 1000ms * static_cast<int>(rank);
  if (entry.manifest_fetch != 0 || now < entry.t.started + wait || now < entry.next_manifest_fetch)
  {
    return;
  }
  entry.manifest_fetch = m_next_id++;
  m_output.fetches.push_back(
      m_reader.start_manifest(entry.manifest_fetch, entry.t.id(), entry.manifest_store_failed));
}

void weight_core::take_manifest(tracked_transfer& entry, const std::string& text,
                                const host_id* peer, time_point now)
{
  auto parsed = protocol::parse_manifest(text, entry.t.id());
  if (!parsed && parsed.error().code != error_code::corrupt)
  {
    // The text has the digest that the note names, so every source would give the same.
    reject(entry, parsed.error().message);
    return;
  }
  if (!parsed)
  {
    if (peer != nullptr)
    {
      entry.t.note_corrupt(*peer);
    }
    if (!std::exchange(entry.warned_source, true))
    {
      log_warning(log_category::weights, "manifest does not match its digest",
                  {{"manifest", to_hex(entry.t.id())},
                   {"source", peer != nullptr ? peer->value : "platform"}});
    }
    return;
  }
  std::vector<protocol::release_key> wrong;
  for (const auto& key : entry.releases)
  {
    tracked_release& release = m_releases.at(key);
    if (release.release.item.bytes != parsed->total_bytes)
    {
      release.rejected = "manifest states " + std::to_string(parsed->total_bytes) +
                         " bytes, release note " + std::to_string(release.release.item.bytes);
      log_warning(log_category::weights, "release rejected",
                  {{"model", release.release.item.model}, {"reason", release.rejected}});
      wrong.push_back(key);
    }
  }
  for (const auto& key : wrong)
  {
    entry.releases.erase(key);
  }
  if (entry.releases.empty())
  {
    m_transfers.erase(entry.t.id());
    return;
  }
  if (const auto pinned = m_store->pin(*parsed); !pinned)
  {
    tracked_release& release = m_releases.at(*entry.releases.begin());
    if (release.waiting != pinned.error().message)
    {
      release.waiting = pinned.error().message;
      log_warning(log_category::weights, "not enough memory for a release",
                  {{"model", release.release.item.model}, {"reason", release.waiting}});
    }
    entry.next_manifest_ask = now + 5s;
    return;
  }
  entry.t.set_manifest(std::move(*parsed), text, *m_store, now);
  for (const auto& key : entry.releases)
  {
    m_releases.at(key).waiting.clear();
    m_releases.at(key).next_stripe_step = now;
  }
  refresh_transfer(entry);
}

void weight_core::reject(tracked_transfer& entry, const std::string& reason)
{
  const digest manifest = entry.t.id();
  for (const auto& key : entry.releases)
  {
    m_releases.at(key).rejected = reason;
  }
  log_warning(log_category::weights, "manifest rejected",
              {{"manifest", to_hex(manifest)}, {"reason", reason}});
  m_transfers.erase(manifest);
  m_store->unpin(manifest);
}

void weight_core::on_manifest_request(const host_id& host, transport::connection_id from,
                                      const protocol::manifest_request& message)
{
  const tracked_transfer* entry = find(message.manifest);
  const bool held = entry != nullptr && entry->t.has_manifest();
  m_output.frames.push_back(
      {host, from,
       protocol::encode(protocol::manifest_reply{message.manifest, held ? entry->t.manifest_text()
                                                                        : std::string()})});
}

void weight_core::on_manifest_reply(const host_id& host, const protocol::manifest_reply& message,
                                    time_point now)
{
  tracked_transfer* entry = find(message.manifest);
  if (entry != nullptr && !entry->t.has_manifest() && !message.text.empty())
  {
    take_manifest(*entry, message.text, &host, now);
  }
}

} // namespace pollenyoke::agent
