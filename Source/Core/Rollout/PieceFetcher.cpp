#include "Rollout/PieceFetcher.h"

#include <algorithm>

#include "Common/Log.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Pieces that are on their way at the same time. A link narrowed to 1.2 Mbit/s sends eight in 2.6
// s; more would hold up requests for the engine behind them until their callers have left.
constexpr unsigned max_in_flight = 8;
// The origin's link of 15 Mbit/s sends one piece of 49 KB in 26 ms. Reads begin at this pace, so
// that the first pieces spread while the others are read.
constexpr milliseconds origin_pace{24};
// A peer waits up to 2.5 s for the piece and has up to 2.5 s of other pieces before it in its
// queue. Asking another source earlier would have the piece sent twice.
constexpr milliseconds piece_timeout{5000};
// After a loss of power all hosts may read the origin at once: its link sends what they ask for in
// some seconds, and a read that is given up has used it in vain.
constexpr milliseconds origin_timeout{6000};
constexpr unsigned max_origin_reads = 3;
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
                             std::uint64_t version, std::function<void(std::uint32_t)> on_piece)
    : m_environment(std::move(environment)), m_model(std::move(model)), m_version(version),
      m_on_piece(std::move(on_piece)), m_manifest_timer(m_environment.loop)
{
}

void piece_fetcher::start()
{
  ask_manifest();
}

void piece_fetcher::stop()
{
  m_stopped = true;
  m_waiting.clear();
  m_waiting_for_origin.clear();
  m_manifest_timer.cancel();
  m_retry_timers.clear();
}

const piece_set* piece_fetcher::pieces() const
{
  return m_pieces.get();
}

std::uint64_t piece_fetcher::version() const
{
  return m_version;
}

const std::string& piece_fetcher::manifest() const
{
  return m_manifest;
}

const fetch_counts& piece_fetcher::counts() const
{
  return m_counts;
}

async_io::http_call piece_fetcher::manifest_source()
{
  const auto hosts = m_environment.hosts();
  const unsigned tries = m_manifest_tries++;
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
      const bool first = m_pieces == nullptr;
      m_manifest = answer->body;
      if (first)
      {
        m_pieces = std::make_unique<piece_set>(std::move(*pieces));
        const auto order = fetch_order(m_environment.hosts(), m_environment.self, m_pieces->size());
        for (const std::uint32_t piece : order)
        {
          m_waiting.emplace_back(piece, 0);
        }
        log_info(log_category::weights, "fetch begins",
                 {{"version", m_version},
                  {"pieces", m_pieces->size()},
                  {"hosts", m_environment.hosts().size()}});
      }
      else
      {
        m_pieces->replace_digests(*pieces);
      }
      fill();
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

bool piece_fetcher::is_first_origin_read(std::uint32_t piece, unsigned attempt) const
{
  return attempt == 0 && choose_source(m_environment.hosts(), m_environment.self, piece, 0).origin;
}

void piece_fetcher::fill()
{
  while (!m_stopped && m_in_flight < max_in_flight && !m_waiting.empty())
  {
    const auto [piece, attempt] = m_waiting.front();
    m_waiting.pop_front();
    if (is_first_origin_read(piece, attempt) && piece > 0)
    {
      fetch_after(origin_pace * piece, piece, 0);
      continue;
    }
    fetch(piece, attempt);
  }
}

void piece_fetcher::fetch(std::uint32_t piece, unsigned attempt)
{
  if (m_stopped || m_pieces->get(piece) != nullptr)
  {
    return;
  }
  const piece_source source =
      choose_source(m_environment.hosts(), m_environment.self, piece, attempt);
  auto call =
      source.origin
          ? platform::piece_call(m_environment.origin(), m_model, m_version, piece)
          : peer_piece_call({source.ip, m_environment.peer_port}, m_model, m_version, piece);
  call.timeout = source.origin ? origin_timeout : piece_timeout;
  ++m_in_flight;
  m_environment.caller.call(std::move(call),
                            [self = shared_from_this(), piece, attempt,
                             origin = source.origin](const result<async_io::http_response>& answer)
                            { self->take_piece(piece, attempt, origin, answer); });
}

void piece_fetcher::take_piece(std::uint32_t piece, unsigned attempt, bool from_origin,
                               const result<async_io::http_response>& answer)
{
  --m_in_flight;
  m_origin_reads -= from_origin ? 1U : 0U;
  if (m_stopped)
  {
    return;
  }
  if (!m_waiting_for_origin.empty() && m_origin_reads < max_origin_reads)
  {
    // Meanwhile another host may have the piece: its source is chosen anew.
    const auto [waiting, tries] = m_waiting_for_origin.front();
    m_waiting_for_origin.pop_front();
    fetch(waiting, tries);
  }
  if (answer && answer->head.status == 200)
  {
    if (m_pieces->put(piece, answer->body))
    {
      ++(from_origin ? m_counts.from_origin : m_counts.from_peers);
      m_on_piece(piece);
      fill();
      return;
    }
    log_warning(log_category::weights, "piece does not match its digest",
                {{"version", m_version}, {"piece", piece}, {"origin", from_origin}});
    ++m_mismatches;
    if (m_mismatches % mismatches_per_manifest == 0)
    {
      ask_manifest();
    }
  }
  ++(from_origin ? m_counts.failed_origin : m_counts.failed_peers);
  log_debug(log_category::weights, "piece not received",
            {{"version", m_version},
             {"piece", piece},
             {"origin", from_origin},
             {"attempt", attempt},
             {"reason",
              answer ? "status " + std::to_string(answer->head.status) : answer.error().message}});
  // A peer that has the piece not yet is no worse a source than others; only the second such answer
  // moves on.
  const bool not_yet = answer && answer->head.status == 404 && !from_origin;
  const bool stay = not_yet && m_not_yet.insert(piece).second;
  if (!stay)
  {
    m_not_yet.erase(piece);
  }
  fetch_after(retry_pause, piece, stay ? attempt : attempt + 1);
  fill();
}

void piece_fetcher::fetch_after(milliseconds pause, std::uint32_t piece, unsigned attempt)
{
  m_retry_timers.push_back(std::make_unique<async_io::timer>(m_environment.loop));
  m_retry_timers.back()->start(pause,
                               [self = shared_from_this(), piece, attempt]
                               {
                                 // First reads of the origin have a limit of their own.
                                 if (self->is_first_origin_read(piece, attempt))
                                 {
                                   self->fetch(piece, attempt);
                                   return;
                                 }
                                 self->m_waiting.emplace_front(piece, attempt);
                                 self->fill();
                               });
}

} // namespace pollenyoke::rollout
