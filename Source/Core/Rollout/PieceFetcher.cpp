#include "Rollout/PieceFetcher.h"

#include <algorithm>
#include <random>
#include <set>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// A peer queues up to three pieces ahead of this one, which takes 0.2 s on an idle link and 1.3 s
// on a link limited to 1.2 Mbit/s.
constexpr milliseconds piece_timeout{2500};
// After a power loss all hosts may read from the origin at once. Its link needs several seconds to
// send everything, and a read that times out wastes that bandwidth.
constexpr milliseconds origin_timeout{6000};
// Maximum delay before a read that becomes due without an announcement starts.
constexpr milliseconds tick_interval{50};
// Announces new pieces about as often as they arrive: a piece takes 42 ms on the link.
constexpr milliseconds changed_announcement_interval{40};
// Without a change, repeats that this host still wants pieces.
constexpr milliseconds unchanged_announcement_interval{250};
// Number of hosts outside the own region that receive each announcement, in rotation. If 99 hosts
// announced to all others 25 times per second, they would send 30 MB/s and saturate the links
// between regions.
constexpr std::size_t max_rotating_targets = 12;
// Entries keep reading for a host that has announced itself within the last 3 s.
constexpr milliseconds relay_notification_interval{500};
constexpr milliseconds manifest_timeout{1500};
constexpr milliseconds manifest_retry_delay{150};
// Repeated digest mismatches suggest that the manifest itself is corrupt.
constexpr unsigned mismatches_before_manifest_retry = 3;
// Limits for the engine on this host, which answers within a few ms.
constexpr milliseconds staged_read_timeout{200};
constexpr milliseconds staged_reads_limit{600};
// After this many staged pieces in a row that do not match, the others are taken for those of
// another version.
constexpr unsigned max_unusable_staged = 3;

} // namespace

async_io::http_call peer_piece_call(const transport::endpoint& peer, const std::string& model,
                                    std::uint64_t version, std::uint32_t piece)
{
  async_io::http_call call;
  call.address = peer;
  call.target = "/piece?model=" + async_io::percent_encode(model) +
                "&version=" + std::to_string(version) + "&number=" + std::to_string(piece);
  call.max_body_bytes = platform::max_piece_bytes;
  call.purpose = "pieces from peers";
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
  request_manifest();
}

std::vector<rollout_host> piece_fetcher::live_relays() const
{
  return m_environment.relays ? m_environment.relays() : std::vector<rollout_host>{};
}

void piece_fetcher::stop()
{
  m_stopped = true;
  m_manifest_timer.cancel();
  m_tick_timer.cancel();
}

void piece_fetcher::handle_announcement(const std::string& ip,
                                        const peers::piece_announcement& update)
{
  if (m_stopped || !m_schedule || m_pieces->is_complete())
  {
    return;
  }
  m_schedule->handle_announcement(ip, update.states, current_time());
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

async_io::http_call piece_fetcher::next_manifest_call()
{
  const auto hosts = m_environment.hosts();
  const unsigned attempts = m_manifest_attempts++;
  // Entries fetch the manifest once for all hosts of their region.
  const relay_plan entries(m_relays, m_environment.region, {});
  if (attempts == 0 && !entries.is_empty())
  {
    const auto self_hash = static_cast<std::uint32_t>(stable_hash(m_environment.self));
    return peer_manifest_call({entries.relays(self_hash).front(), m_environment.peer_port}, m_model,
                              m_version);
  }
  // Every second attempt goes to another host, as the origin may be busy or down.
  if (attempts % 2 == 1 && hosts.size() > 1)
  {
    const std::uint64_t index = attempts / 2 * std::uint64_t{7} + m_version;
    const auto& host = hosts[index % hosts.size()];
    if (host.ip != m_environment.self)
    {
      return peer_manifest_call({host.ip, m_environment.peer_port}, m_model, m_version);
    }
  }
  return platform::manifest_call(m_environment.origin(), m_model, m_version);
}

void piece_fetcher::request_manifest()
{
  if (m_stopped || m_manifest_requested)
  {
    return;
  }
  m_manifest_requested = true;
  auto call = next_manifest_call();
  call.timeout = manifest_timeout;
  m_environment.caller.call(
      std::move(call), [self = shared_from_this()](const result<async_io::http_response>& response)
      { self->on_manifest_response(response); });
}

void piece_fetcher::on_manifest_response(const result<async_io::http_response>& answer)
{
  m_manifest_requested = false;
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
      apply_manifest(std::move(*pieces), answer->body);
      return;
    }
  }
  log_warning(log_category::weights, "failed to fetch a valid manifest",
              {{"model", m_model},
               {"version", m_version},
               {"reason", answer ? "status " + std::to_string(answer->head.status)
                                 : answer.error().message}});
  m_manifest_timer.start(manifest_retry_delay,
                         [self = shared_from_this()] { self->request_manifest(); });
}

void piece_fetcher::apply_manifest(piece_set pieces, const std::string& text)
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
  log_info(log_category::weights, "starting weight fetch",
           {{"version", m_version},
            {"pieces", m_pieces->size()},
            {"hosts", m_environment.hosts().size()},
            {"entries", m_relays.size()}});
  list_staged_pieces();
}

void piece_fetcher::list_staged_pieces()
{
  if (!m_environment.engine)
  {
    begin_network_reads();
    return;
  }
  m_staged_reads_end = current_time() + staged_reads_limit;
  auto call = platform::staged_list_call(*m_environment.engine, m_model);
  call.timeout = staged_read_timeout;
  m_environment.caller.call(
      std::move(call), [self = shared_from_this()](const result<async_io::http_response>& answer)
      { self->on_staged_list(answer); });
}

void piece_fetcher::on_staged_list(const result<async_io::http_response>& answer)
{
  if (m_stopped)
  {
    return;
  }
  if (answer && answer->head.status == 200)
  {
    if (const auto list = platform::decode_staged(answer->body))
    {
      const std::set<std::uint32_t> staged(list->begin(), list->end());
      for (const std::uint32_t piece : reading_order(m_pieces->size(), m_first_part))
      {
        if (staged.contains(piece))
        {
          m_staged.push_back(piece);
        }
      }
    }
  }
  read_staged_piece();
}

void piece_fetcher::read_staged_piece()
{
  const auto left = std::chrono::duration_cast<milliseconds>(m_staged_reads_end - current_time());
  if (m_staged.empty() || m_unusable_staged >= max_unusable_staged || left <= milliseconds(0))
  {
    begin_network_reads();
    return;
  }
  const std::uint32_t piece = m_staged.front();
  m_staged.pop_front();
  auto call = platform::stage_get_call(*m_environment.engine, m_model, piece);
  call.timeout = std::min(staged_read_timeout, left);
  m_environment.caller.call(std::move(call), [self = shared_from_this(),
                                              piece](const result<async_io::http_response>& answer)
                            { self->on_staged_piece(piece, answer); });
}

void piece_fetcher::on_staged_piece(std::uint32_t piece,
                                    const result<async_io::http_response>& answer)
{
  if (m_stopped)
  {
    return;
  }
  if (!answer && answer.error().code == error_code::timeout)
  {
    begin_network_reads();
    return;
  }
  if (answer && answer->head.status == 200 && m_pieces->put(piece, answer->body))
  {
    m_unusable_staged = 0;
    ++m_counts.from_engine;
    notify_handlers(piece);
  }
  else
  {
    ++m_unusable_staged;
  }
  // A handler may have stopped this fetch.
  if (!m_stopped)
  {
    read_staged_piece();
  }
}

void piece_fetcher::begin_network_reads()
{
  m_staged.clear();
  m_schedule =
      std::make_unique<piece_schedule>(m_pieces->size(), std::random_device{}(), current_time());
  m_schedule->set_relays(relay_plan(m_relays, m_environment.region, {}));
  m_schedule->set_first_pieces(m_first_part);
  for (std::uint32_t piece = 0; piece < m_pieces->size(); ++piece)
  {
    if (m_pieces->get(piece) != nullptr)
    {
      m_schedule->mark_held(piece);
    }
  }
  tick();
}

void piece_fetcher::notify_handlers(std::uint32_t piece)
{
  if (m_pieces->is_complete())
  {
    m_handlers.on_complete();
  }
  else if (m_first_part.contains(piece) && has_first_part())
  {
    m_handlers.on_first_part();
  }
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
  notify_relays();
  begin_reads();
  m_tick_timer.start(tick_interval, [self = shared_from_this()] { self->tick(); });
}

void piece_fetcher::begin_reads()
{
  const bool serves = !m_environment.engine_serves || m_environment.engine_serves();
  m_schedule->set_engine_serves(serves);
  for (const piece_read& read : m_schedule->begin_reads(current_time()))
  {
    fetch(read);
  }
  announce_if_due();
}

void piece_fetcher::announce_if_due()
{
  const auto now = current_time();
  const auto since_last = now - m_announced_at;
  const bool complete = m_pieces->is_complete();
  // Other hosts need prompt announcements only while entries do not relay the pieces.
  const milliseconds min_interval = m_schedule->is_served_by_relays(now)
                                        ? unchanged_announcement_interval
                                        : changed_announcement_interval;
  // Runs for each announcement from a peer, usually before the next one from this host is due.
  if (!complete && since_last < min_interval)
  {
    return;
  }
  auto update = announcement();
  const bool changed = update.states != m_announced;
  if (!(changed && complete) &&
      since_last < (changed ? min_interval : unchanged_announcement_interval))
  {
    return;
  }
  m_announced = update.states;
  m_announced_at = now;
  for (const std::string& target : announcement_targets(m_schedule->is_served_by_relays(now)))
  {
    m_environment.announce(target, update);
  }
}

std::vector<std::string> piece_fetcher::announcement_targets(bool served_by_relays)
{
  // While entries relay the pieces, other hosts rarely need announcements from this one.
  std::vector<std::string> targets;
  std::vector<std::string> rotating;
  for (const rollout_host& host : m_hosts)
  {
    if (host.ip == m_environment.self)
    {
      continue;
    }
    const bool is_fixed = !served_by_relays && host.region == m_environment.region;
    (is_fixed ? targets : rotating).push_back(host.ip);
  }
  const std::size_t rotating_count = std::min(rotating.size(), max_rotating_targets);
  for (std::size_t i = 0; i < rotating_count; ++i)
  {
    targets.push_back(rotating[m_next_target++ % rotating.size()]);
  }
  return targets;
}

void piece_fetcher::notify_relays()
{
  const auto now = current_time();
  if (now - m_relays_notified_at < relay_notification_interval)
  {
    return;
  }
  m_relays_notified_at = now;
  // Entries do not use the piece states of a host.
  const peers::piece_announcement update{
      .model = m_model, .version = m_version, .states = {}, .wants_answer = true};
  for (const rollout_host& entry : m_relays)
  {
    if (entry.region == m_environment.region)
    {
      m_environment.announce(entry.ip, update);
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
  call.transfer_timeout = origin_timeout;
  m_environment.caller.call(std::move(call), [self = shared_from_this(),
                                              read](const result<async_io::http_response>& answer)
                            { self->on_piece_response(read, answer); });
}

void piece_fetcher::on_piece_response(const piece_read& read,
                                      const result<async_io::http_response>& answer)
{
  if (m_stopped)
  {
    return;
  }
  const bool already_held = m_pieces->get(read.piece) != nullptr;
  const read_outcome outcome = already_held ? read_outcome::received : store_piece(read, answer);
  m_schedule->on_read_finished(read, outcome, current_time());
  if (outcome == read_outcome::received && !already_held)
  {
    const bool from_entry =
        std::any_of(m_relays.begin(), m_relays.end(),
                    [&read](const rollout_host& entry) { return entry.ip == read.peer; });
    ++(read.from_origin() ? m_counts.from_origin
       : from_entry       ? m_counts.from_entries
                          : m_counts.from_peers);
    log_debug(log_category::weights, "piece received",
              {{"version", m_version},
               {"piece", read.piece},
               {"source", read.from_origin() ? "origin" : read.peer}});
    notify_handlers(read.piece);
  }
  begin_reads();
}

read_outcome piece_fetcher::store_piece(const piece_read& read,
                                        const result<async_io::http_response>& answer)
{
  if (answer && answer->head.status == 200)
  {
    if (m_pieces->put(read.piece, answer->body))
    {
      return read_outcome::received;
    }
    log_warning(log_category::weights, "piece does not match its digest",
                {{"version", m_version}, {"piece", read.piece}, {"origin", read.from_origin()}});
    if (++m_mismatches % mismatches_before_manifest_retry == 0)
    {
      request_manifest();
    }
    return read_outcome::corrupt;
  }
  ++(read.from_origin() ? m_counts.failed_origin : m_counts.failed_peers);
  log_debug(log_category::weights, "failed to fetch piece",
            {{"version", m_version},
             {"piece", read.piece},
             {"source", read.from_origin() ? "origin" : read.peer},
             {"reason",
              answer ? "status " + std::to_string(answer->head.status) : answer.error().message}});
  if (!answer || read.from_origin())
  {
    return read_outcome::failed;
  }
  return answer->head.status == 503 ? read_outcome::busy : read_outcome::missing;
}

} // namespace pollenyoke::rollout
