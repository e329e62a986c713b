#include "Rollout/PieceFetcher.h"

#include <algorithm>
#include <random>

#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// A peer has up to three pieces before this one in its queue: 0.2 s on a free link, 1.3 s on one
// narrowed to 1.2 Mbit/s.
constexpr milliseconds piece_timeout{2500};
// After a loss of power all hosts may read the origin at once: its link sends what they ask for in
// some seconds, and a read that is given up has used it in vain.
constexpr milliseconds origin_timeout{6000};
// Reads that become due without news of other hosts begin this late at most.
constexpr milliseconds tick_interval{50};
// Other hosts hear soon of a piece that they can ask for; a piece takes 42 ms on the link.
constexpr milliseconds change_interval{40};
// Without a change, others are reminded that this host still wants pieces.
constexpr milliseconds reminder_interval{250};
// Hosts that are told beside those of the own region, by turns. All of 99 hosts that tell all
// others 25 times a second send 30 MB a second, which fills the links between regions.
constexpr std::size_t targets_by_turns = 12;
// Entries read on for a host that has reminded them within three seconds.
constexpr milliseconds relay_interval{500};
constexpr milliseconds manifest_timeout{1500};
constexpr milliseconds retry_pause{150};
// Spoilt pieces from several sources point to a spoilt manifest.
constexpr unsigned mismatches_per_manifest = 3;

} // namespace

async_io::http_call peer_piece_call(const transport::endpoint& peer, const std::string& model,
                                    std::uint64_t version, std::uint32_t piece)
{
  async_io::http_call call;
  call.address = peer;
  call.target = "/piece?model=" + async_io::percent_encode(model) +
                "&version=" + std::to_string(version) + "&number=" + std::to_string(piece);
  return call;
}

async_io::http_call peer_manifest_call(const transport::endpoint& peer, const std::string& model,
                                       std::uint64_t version)
{
  async_io::http_call call;
  call.address = peer;
  call.target =
      "/manifest?model=" + async_io::percent_encode(model) + "&version=" + std::to_string(version);
  return call;
}

piece_fetcher::piece_fetcher(fetch_environment environment, std::string model,
                             std::uint64_t version, piece_range first_part, handlers callbacks)
    : m_environment(std::move(environment)), m_model(std::move(model)), m_version(version),
      m_first_part(first_part), m_handlers(std::move(callbacks)), m_tick_timer(m_environment.loop),
      m_manifest_timer(m_environment.loop)
{
}

void piece_fetcher::start()
{
  m_relays = live_relays();
  ask_relays();
  ask_manifest();
}

std::vector<plan_host> piece_fetcher::live_relays() const
{
  return m_environment.relays ? m_environment.relays() : std::vector<plan_host>{};
}

void piece_fetcher::stop()
{
  m_stopped = true;
  m_manifest_timer.cancel();
  m_tick_timer.cancel();
}

void piece_fetcher::take_announcement(const std::string& ip, const peers::piece_announcement& news)
{
  if (m_stopped || !m_schedule || m_pieces->is_complete())
  {
    return;
  }
  m_schedule->take_announcement(ip, news.states, std::chrono::steady_clock::now());
  begin_reads();
}

const piece_set* piece_fetcher::pieces() const
{
  return m_pieces.get();
}

const std::string& piece_fetcher::manifest() const
{
  return m_manifest;
}

const fetch_counts& piece_fetcher::counts() const
{
  return m_counts;
}

bool piece_fetcher::has_first_part() const
{
  return m_pieces && m_first_part.end <= m_pieces->size() &&
         m_first_part.first < m_first_part.end && m_pieces->holds(m_first_part);
}

async_io::http_call piece_fetcher::manifest_source()
{
  const auto hosts = m_environment.hosts();
  const unsigned tries = m_manifest_tries++;
  // Entries get the manifest once for all hosts of their region.
  const relay_plan entries(m_relays, m_environment.region, {});
  if (tries == 0 && !entries.is_empty())
  {
    const auto own = static_cast<std::uint32_t>(stable_hash(m_environment.self));
    return peer_manifest_call({entries.relays(own).front(), m_environment.peer_port}, m_model,
                              m_version);
  }
  // Every second try goes to another host: the origin may be busy or down.
  if (tries % 2 == 1 && hosts.size() > 1)
  {
    const std::uint64_t turn = tries / 2 * std::uint64_t{7} + m_version;
    const auto& host = hosts[turn % hosts.size()];
    if (host.ip != m_environment.self)
    {
      return peer_manifest_call({host.ip, m_environment.peer_port}, m_model, m_version);
    }
  }
  return platform::manifest_call(m_environment.origin(), m_model, m_version);
}

void piece_fetcher::ask_manifest()
{
  if (m_stopped || m_asking_manifest)
  {
    return;
  }
  m_asking_manifest = true;
  auto call = manifest_source();
  call.timeout = manifest_timeout;
  m_environment.caller.call(std::move(call),
                            [self = shared_from_this()](const result<async_io::http_response>& in)
                            { self->take_manifest(in); });
}

void piece_fetcher::take_manifest(const result<async_io::http_response>& answer)
{
  m_asking_manifest = false;
  if (m_stopped)
  {
    return;
  }
  if (answer && answer->head.status == 200)
  {
    const auto manifest = platform::decode_manifest(answer->body);
    auto pieces =
        manifest ? piece_set::make(*manifest) : result<piece_set>(tl::unexpected(manifest.error()));
    if (pieces && pieces->version() == m_version && pieces->size() > 0)
    {
      adopt_manifest(std::move(*pieces), answer->body);
      return;
    }
  }
  log_warning(log_category::weights, "no usable manifest",
              {{"model", m_model},
               {"version", m_version},
               {"reason", answer ? "status " + std::to_string(answer->head.status)
                                 : answer.error().message}});
  m_manifest_timer.start(retry_pause, [self = shared_from_this()] { self->ask_manifest(); });
}

void piece_fetcher::adopt_manifest(piece_set pieces, const std::string& text)
{
  m_manifest = text;
  if (m_pieces)
  {
    m_pieces->replace_digests(pieces);
    for (std::uint32_t piece = 0; piece < m_pieces->size(); ++piece)
    {
      if (m_pieces->get(piece) == nullptr)
      {
        m_schedule->drop(piece);
      }
    }
    return;
  }
  m_pieces = std::make_unique<piece_set>(std::move(pieces));
  m_schedule = std::make_unique<piece_schedule>(m_pieces->size(), std::random_device{}(),
                                                std::chrono::steady_clock::now());
  m_schedule->set_relays(relay_plan(m_relays, m_environment.region, {}));
  m_schedule->set_first(m_first_part);
  log_info(log_category::weights, "fetch begins",
           {{"version", m_version},
            {"pieces", m_pieces->size()},
            {"hosts", m_environment.hosts().size()},
            {"entries", m_relays.size()}});
  tick();
}

void piece_fetcher::tick()
{
  if (m_stopped || m_pieces->is_complete())
  {
    return;
  }
  auto hosts = m_environment.hosts();
  if (hosts != m_hosts)
  {
    m_hosts = std::move(hosts);
    m_schedule->set_plan(piece_plan(m_hosts, m_environment.self));
  }
  auto relays = live_relays();
  if (relays != m_relays)
  {
    m_relays = std::move(relays);
    m_schedule->set_relays(relay_plan(m_relays, m_environment.region, {}));
  }
  ask_relays();
  begin_reads();
  m_tick_timer.start(tick_interval, [self = shared_from_this()] { self->tick(); });
}

void piece_fetcher::begin_reads()
{
  const bool serves = !m_environment.engine_serves || m_environment.engine_serves();
  m_schedule->set_engine_serves(serves);
  for (const piece_read& read : m_schedule->begin_reads(std::chrono::steady_clock::now()))
  {
    fetch(read);
  }
  announce_if_due();
}

void piece_fetcher::announce_if_due()
{
  const auto now = std::chrono::steady_clock::now();
  const auto since_last = now - m_announced_at;
  const bool complete = m_pieces->is_complete();
  // Other hosts need to know at once what they can ask for only where entries do not hand it on.
  const milliseconds pause =
      m_schedule->is_served_by_relays(now) ? reminder_interval : change_interval;
  // Each announcement of a peer leads here; most come too soon for a new one.
  if (!complete && since_last < pause)
  {
    return;
  }
  auto news = announcement();
  const bool changed = news.states != m_announced;
  if (!(changed && complete) && since_last < (changed ? pause : reminder_interval))
  {
    return;
  }
  m_announced = news.states;
  m_announced_at = now;
  for (const std::string& target : announcement_targets(m_schedule->is_served_by_relays(now)))
  {
    m_environment.announce(target, news);
  }
}

std::vector<std::string> piece_fetcher::announcement_targets(bool served_by_relays)
{
  // While entries hand the pieces on, other hosts need to know little of this one.
  std::vector<std::string> targets;
  std::vector<std::string> by_turns;
  for (const plan_host& host : m_hosts)
  {
    if (host.ip == m_environment.self)
    {
      continue;
    }
    const bool always = !served_by_relays && host.region == m_environment.region;
    (always ? targets : by_turns).push_back(host.ip);
  }
  const std::size_t turns = std::min(by_turns.size(), targets_by_turns);
  for (std::size_t i = 0; i < turns; ++i)
  {
    targets.push_back(by_turns[m_next_target++ % by_turns.size()]);
  }
  return targets;
}

void piece_fetcher::ask_relays()
{
  const auto now = std::chrono::steady_clock::now();
  if (now - m_relays_asked_at < relay_interval)
  {
    return;
  }
  m_relays_asked_at = now;
  // The pieces that the sender has do not matter to an entry.
  const peers::piece_announcement news{
      .model = m_model, .version = m_version, .states = {}, .wants_answer = true};
  for (const plan_host& entry : m_relays)
  {
    if (entry.region == m_environment.region)
    {
      m_environment.announce(entry.ip, news);
    }
  }
}

peers::piece_announcement piece_fetcher::announcement() const
{
  return {.model = m_model,
          .version = m_version,
          .states = m_schedule ? m_schedule->states() : std::vector<peers::piece_state>{},
          .wants_answer = !m_pieces || !m_pieces->is_complete()};
}

void piece_fetcher::fetch(const piece_read& read)
{
  auto call =
      read.from_origin()
          ? platform::piece_call(m_environment.origin(), m_model, m_version, read.piece)
          : peer_piece_call({read.peer, m_environment.peer_port}, m_model, m_version, read.piece);
  call.timeout = read.from_origin() ? origin_timeout : piece_timeout;
  m_environment.caller.call(std::move(call), [self = shared_from_this(),
                                              read](const result<async_io::http_response>& answer)
                            { self->take_piece(read, answer); });
}

void piece_fetcher::take_piece(const piece_read& read,
                               const result<async_io::http_response>& answer)
{
  if (m_stopped)
  {
    return;
  }
  const bool known = m_pieces->get(read.piece) != nullptr;
  const read_end end = known ? read_end::received : keep_piece(read, answer);
  m_schedule->read_ended(read, end, std::chrono::steady_clock::now());
  if (end == read_end::received && !known)
  {
    const bool from_entry =
        std::any_of(m_relays.begin(), m_relays.end(),
                    [&read](const plan_host& entry) { return entry.ip == read.peer; });
    ++(read.from_origin() ? m_counts.from_origin
       : from_entry       ? m_counts.from_entries
                          : m_counts.from_peers);
    log_debug(log_category::weights, "piece received",
              {{"version", m_version},
               {"piece", read.piece},
               {"source", read.from_origin() ? "origin" : read.peer}});
    if (m_pieces->is_complete())
    {
      m_handlers.on_complete();
    }
    else if (m_first_part.contains(read.piece) && has_first_part())
    {
      m_handlers.on_first_part();
    }
  }
  begin_reads();
}

read_end piece_fetcher::keep_piece(const piece_read& read,
                                   const result<async_io::http_response>& answer)
{
  if (answer && answer->head.status == 200)
  {
    if (m_pieces->put(read.piece, answer->body))
    {
      return read_end::received;
    }
    log_warning(log_category::weights, "piece does not match its digest",
                {{"version", m_version}, {"piece", read.piece}, {"origin", read.from_origin()}});
    if (++m_mismatches % mismatches_per_manifest == 0)
    {
      ask_manifest();
    }
    return read_end::spoilt;
  }
  ++(read.from_origin() ? m_counts.failed_origin : m_counts.failed_peers);
  log_debug(log_category::weights, "piece not received",
            {{"version", m_version},
             {"piece", read.piece},
             {"source", read.from_origin() ? "origin" : read.peer},
             {"reason",
              answer ? "status " + std::to_string(answer->head.status) : answer.error().message}});
  if (!answer || read.from_origin())
  {
    return read_end::failed;
  }
  return answer->head.status == 503 ? read_end::busy : read_end::missing;
}

} // namespace pollenyoke::rollout
