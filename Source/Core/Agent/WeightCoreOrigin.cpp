// Who reads which stripe of a release, and reading the weight store and the origin.
#include "Agent/WeightCore.h"

#include <algorithm>
#include <utility>

#include "Agent/TransferTiming.h"
#include "Common/Log.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;

// The next rank acts when the one before has had time for an append and its way through the push
// tree.
constexpr auto placement_step_time = 1500ms;
constexpr auto claim_step_time = 2000ms;
// Time for the first heartbeats to tell the incarnations of possible stripe holders.
constexpr auto settle_time = 1000ms;
// The origin counts as working while some stripe advances at least this often.
constexpr auto origin_gap = 3s;
// Longer wait before a stripe is claimed while no stripe advances.
constexpr double no_progress_factor = 4;
// Interval at which a host that needs a claim beyond the limit looks again for returned bytes.
constexpr auto limit_interval = 2000ms;
constexpr auto return_interval = 250ms;
constexpr auto holder_interval = 20ms;
constexpr auto watch_interval = 250ms;
constexpr auto max_backoff = 30000ms;

} // namespace

// --- origin grants

void weight_core::register_grants(tracked_release& release, time_point now)
{
  const auto& origin = release.release.origin;
  release.stripes.resize(origin.holders.size());
  for (std::uint32_t s = 0; s < origin.holders.size(); ++s)
  {
    stripe_watch& watch = release.stripes[s];
    if (watch.since == origin.holder_since[s])
    {
      continue;
    }
    watch.since = origin.holder_since[s];
    release.next_stripe_step = now;
    watch.last_progress = now;
    watch.holder_dead = false;
    watch.exhausted = false;
    watch.takes_over = false;
    if (is_self(origin.holders[s]))
    {
      watch.claim_backoff = 1000ms;
    }
  }
  m_grants.set_state(release.release);
}

void weight_core::return_step(tracked_release& release, time_point now)
{
  if (now < release.next_return_step)
  {
    return;
  }
  release.next_return_step = now + return_interval;
  const tracked_transfer* entry = find(release.release.item.manifest);
  if (entry != nullptr && entry->t.has_manifest())
  {
    m_grants.set_manifest(release.release, entry->t.manifest());
    m_grants.close_finished(release.release, entry->t.have());
  }
  for (protocol::origin_return_record& record : m_grants.due_returns(release.release, now))
  {
    const std::uint64_t id = m_next_id++;
    m_returns.emplace(id, origin_grants::grant_id{record.release, record.stripe, record.grant});
    m_output.appends.push_back({id, std::move(record)});
  }
}

void weight_core::placement_step(tracked_release& release, time_point now)
{
  // Without a host list that names this host, the other candidates are not known either.
  if (m_reads_without_grant || !release.wanted || !release.listed || !release.rejected.empty() ||
      !release.release.origin.holders.empty() || release.pending_placement != 0 ||
      now < release.next_placement)
  {
    return;
  }
  const std::string& store_region = m_settings.distribution.store_region;
  const auto candidates = stripe_candidates(release, now);
  const std::size_t stripes = std::visit(
      [&](const auto& policy) { return std::decay_t<decltype(policy)>::max_stripes(m_goal); },
      m_policy);
  // Waits for the incarnations of live hosts that may still become candidates.
  const bool near = std::any_of(release.targets.begin(), release.targets.end(),
                                [&](const auto& t) { return t.live && t.region == store_region; });
  const auto possible = static_cast<std::size_t>(
      std::count_if(release.targets.begin(), release.targets.end(),
                    [&](const auto& t) { return t.live && (!near || t.region == store_region); }));
  const bool known = near ? !candidates.empty() && candidates.front().region == store_region : true;
  const bool settled = known && candidates.size() >= std::min(stripes, possible);
  const auto names = distribution::live_names(release.targets);
  const std::size_t rank = distribution::rank_of(distribution::rank_key(release.release.key), names,
                                                 m_settings.host.value);
  const auto wait = placement_step_time * static_cast<int>(std::min<std::size_t>(rank, 1000)) +
                    (settled ? 0ms : std::chrono::milliseconds(settle_time));
  if (now < release.seen + wait)
  {
    return;
  }
  std::vector<distribution::target_host> chosen = candidates;
  if (std::holds_alternative<distribution::tree_policy>(m_policy))
  {
    // The root of the tree reads the origin.
    chosen.assign(release.targets.begin(), release.targets.begin() + 1);
    if (chosen.front().incarnation.value == 0)
    {
      return;
    }
  }
  protocol::placement_record record{release.release.key,
                                    place_stripes(release.release.key, chosen, stripes)};
  if (!record.stripes.empty())
  {
    release.pending_placement = m_next_id++;
    m_output.appends.push_back({release.pending_placement, std::move(record)});
  }
}

void weight_core::update_watch(tracked_release& release, const tracked_transfer& entry,
                               std::uint32_t stripe, time_point now)
{
  stripe_watch& watch = release.stripes[stripe];
  const protocol::stripe_holder& holder = release.release.origin.holders[stripe];
  const auto chunks = static_cast<std::uint32_t>(entry.t.manifest().chunks.size());
  std::size_t missing = 0;
  for (std::uint32_t i = stripe; i < chunks;
       i += static_cast<std::uint32_t>(release.stripes.size()))
  {
    missing += entry.t.first_index(i) == i && !entry.t.have().test(i) && !entry.t.is_announced(i);
  }
  if (missing < watch.missing)
  {
    watch.last_progress = now;
    if (now > release.last_origin_progress + origin_gap)
    {
      release.origin_works_since = now;
    }
    release.last_origin_progress = now;
  }
  watch.missing = missing;
  // A holder whose chunks always arrive corrupted is as good as dead for this host.
  const auto source = entry.t.sources.find(holder.host);
  const bool dead = is_dead(holder) || (source != entry.t.sources.end() && source->second.banned);
  watch.dead_since = dead && !watch.holder_dead ? now : watch.dead_since;
  watch.holder_dead = dead;
}

bool weight_core::claim_is_due(const tracked_release& release, const tracked_transfer& entry,
                               std::uint32_t stripe, time_point now) const
{
  const stripe_watch& watch = release.stripes[stripe];
  const protocol::stripe_holder& holder = release.release.origin.holders[stripe];
  if (is_self(holder))
  {
    return watch.exhausted && !m_reader.gives_way(now);
  }
  std::vector<std::string> names;
  for (const auto& candidate : stripe_candidates(release, now))
  {
    // A restarted holder is a new incarnation and takes its turn like any other host.
    if (candidate.host != holder.host || candidate.incarnation != holder.incarnation)
    {
      names.push_back(candidate.host.value);
    }
  }
  const std::string key = distribution::rank_key(release.release.key) + "/" +
                          std::to_string(stripe) + "@" + std::to_string(watch.since.value);
  const std::size_t rank = distribution::rank_of(key, names, m_settings.host.value);
  if (rank >= names.size() || rank > 30)
  {
    return false;
  }
  if (watch.holder_dead)
  {
    return now >= watch.dead_since + claim_step_time * static_cast<int>(rank);
  }
  // A holder that is alive but delivers nothing is replaced soon while other stripes advance. When
  // none does, the origin itself may be slow or down, and claims would use up the limit.
  const double rate = m_settings.distribution.origin_bytes_per_s > 0
                          ? m_settings.distribution.origin_bytes_per_s
                          : 2 * m_settings.distribution.downlink_bytes_per_s;
  const double expected =
      typical_chunk(entry.t.manifest()) * static_cast<double>(release.stripes.size()) / rate;
  const double limit = m_goal.stall_factor * std::max(4.0, 10 * expected);
  const time_point since = std::max(watch.last_progress, release.origin_works_since);
  const bool origin_works = now < release.last_origin_progress + origin_gap;
  return seconds(now - since) >
         (origin_works ? 1 : no_progress_factor) * limit * static_cast<double>(1 + rank);
}

weight_core::claim_size weight_core::size_claim(const tracked_release& release,
                                                const tracked_transfer& entry,
                                                std::uint32_t stripe) const
{
  const std::uint64_t limit = fleet::claimable_bytes(release.release);
  std::vector<std::uint64_t> open = m_grants.ledger().remaining(release.release.key, stripe);
  const auto& chunks = entry.t.manifest().chunks;
  claim_size out;
  for (std::uint32_t i = stripe; i < chunks.size();
       i += static_cast<std::uint32_t>(release.stripes.size()))
  {
    // Chunks that are being read are covered by the grant under which they are read.
    if (entry.t.first_index(i) != i || entry.t.have().test(i) || entry.t.is_announced(i) ||
        entry.t.is_requested(i))
    {
      continue;
    }
    const std::uint64_t bytes = chunks[i].bytes;
    const auto covers = std::find_if(open.begin(), open.end(),
                                     [bytes](std::uint64_t left) { return left >= bytes; });
    if (covers != open.end())
    {
      *covers -= bytes;
    }
    else if (out.bytes + bytes <= limit)
    {
      out.bytes += bytes;
    }
    else
    {
      out.whole = false;
    }
  }
  return out;
}

void weight_core::claim(tracked_release& release, const tracked_transfer& entry,
                        std::uint32_t stripe, time_point now)
{
  stripe_watch& watch = release.stripes[stripe];
  const auto& origin = release.release.origin;
  const claim_size size = size_claim(release, entry, stripe);
  // A claim for a part would take the stripe from a holder whose own grant may cover the rest.
  if (!size.whole && (size.bytes == 0 || !is_self(origin.holders[stripe])))
  {
    release.waiting = "origin limit reached: no claim can be granted";
    watch.next_claim = now + limit_interval;
    return;
  }
  if (size.bytes == 0)
  {
    return;
  }
  watch.pending_append = m_next_id++;
  m_output.appends.push_back(
      {watch.pending_append, protocol::origin_claim_record{release.release.key,
                                                           stripe,
                                                           origin.holders[stripe],
                                                           {m_settings.host, m_incarnation},
                                                           size.bytes}});
}

void weight_core::stripe_step(tracked_release& release, tracked_transfer& entry, time_point now)
{
  const auto& origin = release.release.origin;
  if (now < release.next_stripe_step)
  {
    return;
  }
  m_grants.set_manifest(release.release, entry.t.manifest());
  const bool holds = std::any_of(origin.holders.begin(), origin.holders.end(),
                                 [this](const auto& holder) { return is_self(holder); });
  release.next_stripe_step = now + (holds ? holder_interval : watch_interval);
  for (std::uint32_t s = 0; s < origin.holders.size(); ++s)
  {
    stripe_watch& watch = release.stripes[s];
    update_watch(release, entry, s, now);
    if (watch.missing == 0)
    {
      continue;
    }
    const bool due = claim_is_due(release, entry, s, now);
    watch.takes_over = due && !is_self(origin.holders[s]);
    if (is_self(origin.holders[s]) || (watch.takes_over && m_settings.platform.weight_store))
    {
      read_stripe(release, entry, s, now);
    }
    if (due && watch.pending_append == 0 && now >= watch.next_claim)
    {
      claim(release, entry, s, now);
    }
  }
}

void weight_core::on_appended(std::uint64_t id, const result<log_offset>& outcome, time_point now)
{
  if (const auto found = m_returns.find(id); found != m_returns.end())
  {
    m_grants.note_answer(found->second, now);
    m_returns.erase(found);
    return;
  }
  for (auto& [key, release] : m_releases)
  {
    if (release.pending_placement == id)
    {
      release.pending_placement = 0;
      release.next_placement = now + 2s;
      release.waiting = outcome ? "" : "placement: " + outcome.error().message;
      return;
    }
    for (stripe_watch& watch : release.stripes)
    {
      if (watch.pending_append != id)
      {
        continue;
      }
      watch.pending_append = 0;
      watch.next_claim = now + watch.claim_backoff;
      watch.claim_backoff =
          std::min<std::chrono::milliseconds>(2 * watch.claim_backoff, max_backoff);
      release.waiting = outcome ? "" : "origin claim: " + outcome.error().message;
      return;
    }
  }
}

// --- reading the weight store and the origin

void weight_core::read_stripe(tracked_release& release, tracked_transfer& entry,
                              std::uint32_t stripe, time_point now)
{
  stripe_watch& watch = release.stripes[stripe];
  const bool own = is_self(release.release.origin.holders[stripe]);
  const auto chunks = static_cast<std::uint32_t>(entry.t.manifest().chunks.size());
  m_reader.set_shares(release.stripes.size(), now);
  for (std::uint32_t i = stripe; i < chunks;
       i += static_cast<std::uint32_t>(release.stripes.size()))
  {
    if (entry.t.reading.size() >= m_goal.parallel_reads || m_downlink.available(now) < 0 ||
        !m_reader.is_due(now))
    {
      return;
    }
    if (entry.t.first_index(i) != i || entry.t.have().test(i) || entry.t.is_announced(i) ||
        entry.t.is_requested(i))
    {
      continue;
    }
    read_permission may;
    if (own)
    {
      may.granted = stripe_id{release.release.key, stripe};
    }
    if (!start_read(entry, i, may, now) && own && m_reader.origin_ready(now))
    {
      watch.exhausted = true;
    }
  }
}

void weight_core::read_everything(tracked_transfer& entry, time_point now)
{
  for (std::uint32_t i = 0; i < entry.t.manifest().chunks.size(); ++i)
  {
    if (entry.t.reading.size() >= m_goal.parallel_reads || m_downlink.available(now) < 0)
    {
      return;
    }
    if (!entry.t.have().test(i) && !entry.t.is_requested(i))
    {
      start_read(entry, i, {.granted = std::nullopt, .unlimited = true}, now);
    }
  }
}

bool weight_core::start_read(tracked_transfer& entry, std::uint32_t chunk,
                             const read_permission& may, time_point now)
{
  const protocol::manifest_chunk& wanted = entry.t.manifest().chunks[chunk];
  const read_in_progress read{entry.t.id(), chunk, fetch_server::origin, std::nullopt,
                              wanted.bytes};
  auto order = m_reader.start_chunk(m_next_id, read, wanted.id, may,
                                    entry.store_failed.contains(chunk), m_grants.ledger(), now);
  if (!order)
  {
    return false;
  }
  ++m_next_id;
  entry.t.reading[chunk] = now;
  m_downlink.reserve(static_cast<double>(wanted.bytes), now);
  m_output.fetches.push_back(std::move(*order));
  return true;
}

void weight_core::on_fetched(fetch_result result, time_point now)
{
  const auto read = m_reader.end(result, m_grants.ledger());
  tracked_transfer* entry = read ? find(read->manifest) : nullptr;
  if (entry == nullptr)
  {
    return;
  }
  if (!read->chunk)
  {
    finish_manifest_read(*entry, *read, result, now);
    return;
  }
  finish_chunk_read(*entry, *read, result, now);
}

void weight_core::finish_chunk_read(tracked_transfer& entry, const read_in_progress& read,
                                    fetch_result& result, time_point now)
{
  const std::uint32_t chunk = read.chunk.value_or(0);
  entry.t.reading.erase(chunk);
  const bool whole = result.status == 200;
  if (whole)
  {
    std::vector<std::uint8_t> data(result.body.begin(), result.body.end());
    const digest computed = sha256(result.body);
    const weights::arrival outcome =
        entry.t.take_chunk(chunk, computed, std::move(data), *m_store, now);
    if (outcome != weights::arrival::corrupt)
    {
      entry.entered = true;
      m_reader.note_success();
      return;
    }
    log_warning(log_category::weights, "corrupted chunk dropped",
                {{"source", read.server == fetch_server::origin ? "origin" : "weight store"},
                 {"chunk", chunk}});
  }
  else if (result.status != 404)
  {
    m_reader.note_failure(read.server, now);
  }
  if (read.server == fetch_server::weight_store)
  {
    entry.store_failed.insert(chunk);
  }
  else if (whole)
  {
    m_reader.note_answer();
  }
  else if (result.status == 404)
  {
    m_reader.note_failure(read.server, now);
  }
}

void weight_core::finish_manifest_read(tracked_transfer& entry, const read_in_progress& read,
                                       const fetch_result& result, time_point now)
{
  entry.manifest_fetch = 0;
  if (result.status == 200 && !entry.t.has_manifest())
  {
    take_manifest(entry, result.body, nullptr, now);
  }
  // take_manifest() may have ended the transfer.
  tracked_transfer* still = find(read.manifest);
  if (still == nullptr || still->t.has_manifest())
  {
    return;
  }
  if (read.server == fetch_server::weight_store)
  {
    still->manifest_store_failed = true;
    return;
  }
  still->manifest_store_failed = false;
  still->next_manifest_fetch = now + still->manifest_backoff;
  still->manifest_backoff =
      std::min<std::chrono::milliseconds>(2 * still->manifest_backoff, 10000ms);
}

} // namespace pollenyoke::agent
