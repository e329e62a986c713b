#include "Rollout/RolloutAgent.h"

#include <algorithm>

#include "Common/Log.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// The engine's report costs nothing on its own host; entries choose by it.
constexpr milliseconds poll_interval{100};
constexpr milliseconds poll_timeout{500};
// Reports in a row that fail before the engine counts as lost: half a second.
constexpr unsigned lost_after_polls = 5;
// Pieces that wait for the one that is being sent. Behind more, a piece would reach its host later
// than from another source.
constexpr std::size_t max_queued_pieces = 2;
// Hosts that want pieces announce themselves every 40 ms while they receive some.
constexpr milliseconds answer_interval{100};
// One piece may leave at once.
constexpr double uplink_burst_bytes = 49152;
// The origin's link has sent one copy of the weights by then.
constexpr milliseconds handed_out_after{1400};
// An engine that is idle this long after it accepted an order will not carry it out.
constexpr milliseconds order_lifetime{2000};
// An engine without weights has no answers to send: pieces may use the whole link.
constexpr double idle_engine_cost = piece_link_share;
// Pieces of the serving version and of the next one stay, for hosts that come later.
constexpr std::size_t kept_versions = 2;

milliseconds since(async_io::time_point time)
{
  return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - time);
}

} // namespace

rollout_agent::rollout_agent(fetch_environment environment, transport::endpoint engine,
                             rollout_handlers handlers)
    : m_environment(std::move(environment)), m_engine(std::move(engine)),
      m_handlers(std::move(handlers)), m_poll_timer(m_environment.loop),
      m_send_timer(m_environment.loop),
      m_uplink(m_environment.uplink_bytes_per_s, uplink_burst_bytes,
               std::chrono::steady_clock::now())
{
  m_environment.engine_serves = [this]
  {
    return serves();
  };
}

rollout_agent::~rollout_agent()
{
  // Pending timers of a fetch keep it alive.
  for (const auto& [version, fetcher] : m_fetchers)
  {
    fetcher->stop();
  }
}

void rollout_agent::start()
{
  poll_engine();
}

void rollout_agent::set_model(const std::string& model, const weight_shape& shape)
{
  m_model = model;
  m_shape = shape;
}

void rollout_agent::name_version(const protocol::named_version& version)
{
  if (!m_named.try_emplace(version.version, std::chrono::steady_clock::now()).second)
  {
    return;
  }
  log_info(log_category::weights, "version named",
           {{"model", version.model}, {"version", version.version}});
  fetch_if_needed();
}

bool rollout_agent::serves() const
{
  return m_report && m_report->weight_version != 0;
}

bool rollout_agent::is_whole() const
{
  return serves() && protocol::holds_all(m_report->layers, m_shape.layers);
}

std::uint64_t rollout_agent::wanted_version() const
{
  // Versions start at 1, which is in force until another one is named.
  return m_named.empty() ? 1 : m_named.rbegin()->first;
}

void rollout_agent::poll_engine()
{
  auto call = platform::report_call(m_engine);
  call.timeout = poll_timeout;
  m_environment.caller.call(std::move(call), [this](const result<async_io::http_response>& answer)
                            { take_report(answer); });
}

void rollout_agent::take_report(const result<async_io::http_response>& answer)
{
  m_poll_timer.start(poll_interval, [this] { poll_engine(); });
  if (!answer || answer->head.status != 200)
  {
    if (++m_failed_polls == lost_after_polls)
    {
      m_report.reset();
      m_handlers.on_engine_lost();
      log_warning(log_category::weights, "engine does not report",
                  {{"reason", answer ? "status " + std::to_string(answer->head.status)
                                     : answer.error().message}});
    }
    return;
  }
  auto report = platform::decode_engine_report(answer->body);
  if (!report)
  {
    log_warning(log_category::weights, "report cannot be read",
                {{"reason", report.error().message}});
    return;
  }
  m_failed_polls = 0;
  const bool reborn = m_report && m_report->started_ms != report->started_ms;
  if (reborn)
  {
    log_info(log_category::weights, "engine has started again",
             {{"weights", report->weight_version}});
    m_ordered_since.reset();
    m_order_unknown_since.reset();
    m_draining_since.reset();
    m_loading_version = 0;
    m_loads_beside_work = false;
  }
  m_report = std::move(*report);
  if (m_ordered_since && !m_report->busy && !has_loaded() &&
      since(*m_ordered_since) > order_lifetime)
  {
    m_ordered_since.reset();
    load_failed("engine accepted the order and does not load");
  }
  if (m_ordered_since && !m_report->busy && has_loaded())
  {
    log_info(
        log_category::weights, is_whole() ? "engine serves version" : "engine serves first layers",
        {{"version", m_report->weight_version},
         {"after_ms",
          m_named.contains(m_loading_version) ? since(m_named.at(m_loading_version)).count() : 0}});
    m_ordered_since.reset();
    m_draining_since.reset();
    m_loading_version = 0;
    m_loads_beside_work = false;
  }
  const piece_set* ready = ready_pieces();
  if (m_draining_since && m_loading_version == 0 && !m_report->busy && is_whole() &&
      ready != nullptr && m_report->weight_version >= ready->version())
  {
    // The order took effect although its answer was lost.
    m_draining_since.reset();
  }
  const bool loads = m_loading_version != 0 || m_draining_since || m_report->busy;
  report_load(loads && !m_loads_beside_work);
  fetch_if_needed();
  consider_load();
}

bool rollout_agent::has_loaded() const
{
  return m_report->weight_version > m_loading_version ||
         (m_report->weight_version == m_loading_version &&
          (!m_report->layers || m_report->layers->contains(m_loading_layers)));
}

std::size_t rollout_agent::position_in_region() const
{
  const auto hosts = m_environment.hosts();
  return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
                                                [this](const plan_host& host) {
                                                  return host.region == m_environment.region &&
                                                         host.ip < m_environment.self;
                                                }));
}

load_turn rollout_agent::turn() const
{
  const auto hosts = m_environment.hosts();
  const auto self =
      std::find_if(hosts.begin(), hosts.end(),
                   [this](const plan_host& host) { return host.ip == m_environment.self; });
  return {static_cast<std::size_t>(self - hosts.begin()), hosts.size()};
}

void rollout_agent::report_load(bool loading)
{
  std::optional<milliseconds> load_in;
  const auto named = m_named.find(wanted_version());
  if (!loading && named != m_named.end() && m_report->weight_version != 0 &&
      m_report->weight_version < named->first)
  {
    load_in = std::max(milliseconds(1), planned_load(turn()) - since(named->second));
  }
  m_handlers.on_report(*m_report, loading, load_in);
}

bool rollout_agent::has_settled()
{
  // Entries hand the pieces on; only without them the other hosts matter.
  const std::size_t entries = m_environment.relays ? m_environment.relays().size() : 0;
  const bool all_heard = m_environment.has_heard_all && m_environment.has_heard_all();
  return m_settle.has_settled(entries > 0 ? entries : m_environment.hosts().size(), all_heard,
                              std::chrono::steady_clock::now());
}

void rollout_agent::fetch_if_needed()
{
  const std::uint64_t version = wanted_version();
  if (!m_report || m_model.empty() || m_shape.pieces == 0 || m_fetchers.contains(version) ||
      (is_whole() && m_report->weight_version >= version) || m_environment.origin().port == 0 ||
      !has_settled())
  {
    return;
  }
  m_first_layers = serves() ? protocol::layer_range{} : first_layers(position_in_region(), m_shape);
  const auto first_part = pieces_of(m_first_layers, m_shape);
  const auto fetcher = std::make_shared<piece_fetcher>(
      m_environment, m_model, version, first_part,
      piece_fetcher::handlers{.on_first_part = [this, version] { first_part_complete(version); },
                              .on_complete =
                                  [this, version]
                              {
                                pieces_complete(version);
                              }});
  m_fetchers[version] = fetcher;
  drop_old_versions();
  stop_overtaken(version);
  fetcher->start();
}

void rollout_agent::drop_old_versions()
{
  while (m_fetchers.size() > kept_versions)
  {
    const auto oldest = m_fetchers.begin();
    oldest->second->stop();
    m_fetchers.erase(oldest);
  }
}

/// A version that has just begun to spread would share the link with its successor. One that the
/// origin has handed out whole by now is completed: it has its own time limit, and the origin may
/// fail before the successor is read.
void rollout_agent::stop_overtaken(std::uint64_t version)
{
  for (auto& [older, fetcher] : m_fetchers)
  {
    const piece_set* pieces = fetcher->pieces();
    const auto named = m_named.find(older);
    const bool young = named == m_named.end() || since(named->second) < handed_out_after;
    if (older < version && young && (pieces == nullptr || !pieces->is_complete()))
    {
      log_info(log_category::weights, "fetch stopped for a newer version",
               {{"version", older}, {"newer", version}});
      fetcher->stop();
    }
  }
}

void rollout_agent::first_part_complete(std::uint64_t version)
{
  log_info(log_category::weights, "pieces of the first layers held",
           {{"version", version},
            {"after_ms", m_named.contains(version) ? since(m_named.at(version)).count() : 0}});
  consider_load();
}

void rollout_agent::pieces_complete(std::uint64_t version)
{
  const fetch_counts& counts = m_fetchers.at(version)->counts();
  log_info(log_category::weights, "all pieces held",
           {{"version", version},
            {"after_ms", m_named.contains(version) ? since(m_named.at(version)).count() : 0},
            {"from_origin", counts.from_origin},
            {"from_entries", counts.from_entries},
            {"from_peers", counts.from_peers},
            {"failed_origin", counts.failed_origin},
            {"failed_peers", counts.failed_peers}});
  consider_load();
}

void rollout_agent::serve_manifest(const async_io::message_head& head,
                                   const async_io::http_listener::responder& respond)
{
  std::uint64_t version = 0;
  const bool valid =
      async_io::parse_number(async_io::query_parameter(head.target, "version"), version);
  const auto fetcher = m_fetchers.find(version);
  if (!valid || fetcher == m_fetchers.end() || fetcher->second->manifest().empty())
  {
    respond({.status = 404});
    return;
  }
  respond({200, "application/json", fetcher->second->manifest()});
}

void rollout_agent::serve_piece(const async_io::message_head& head,
                                const async_io::http_listener::responder& respond)
{
  std::uint64_t version = 0;
  std::uint64_t number = 0;
  if (!async_io::parse_number(async_io::query_parameter(head.target, "version"), version) ||
      !async_io::parse_number(async_io::query_parameter(head.target, "number"), number))
  {
    respond({.status = 400});
    return;
  }
  const auto piece = static_cast<std::uint32_t>(number);
  const auto fetcher = m_fetchers.find(version);
  const piece_set* pieces = fetcher == m_fetchers.end() ? nullptr : fetcher->second->pieces();
  if (const std::string* bytes = pieces == nullptr ? nullptr : pieces->get(piece))
  {
    send_piece(*bytes, respond);
    return;
  }
  if (fetcher == m_fetchers.end() && engine_has_staged(version))
  {
    serve_staged(piece, respond);
    return;
  }
  respond({.status = 404});
}

bool rollout_agent::engine_has_staged(std::uint64_t version) const
{
  return m_report && is_whole() && m_report->weight_version == version && m_loading_version == 0;
}

std::optional<peers::piece_announcement> rollout_agent::own_pieces(std::uint64_t version) const
{
  const auto fetcher = m_fetchers.find(version);
  if (fetcher != m_fetchers.end())
  {
    return fetcher->second->announcement();
  }
  if (!engine_has_staged(version))
  {
    return std::nullopt;
  }
  return peers::piece_announcement{
      .model = m_model,
      .version = version,
      .states = std::vector<peers::piece_state>(m_shape.pieces, peers::piece_state::held)};
}

void rollout_agent::take_announcement(const std::string& ip, const peers::piece_announcement& news)
{
  if (news.model != m_model)
  {
    return;
  }
  const auto fetcher = m_fetchers.find(news.version);
  if (fetcher != m_fetchers.end())
  {
    fetcher->second->take_announcement(ip, news);
  }
  const auto now = std::chrono::steady_clock::now();
  auto& answered = m_answered[ip];
  if (!news.wants_answer || now - answered < answer_interval)
  {
    return;
  }
  auto own = own_pieces(news.version);
  // A host that lacks pieces itself announces what it has to all.
  if (own && !own->wants_answer)
  {
    answered = now;
    m_environment.announce(ip, *own);
  }
}

/// The engine still has what it loaded before this process held any pieces; the peer checks it.
void rollout_agent::serve_staged(std::uint32_t piece,
                                 const async_io::http_listener::responder& respond)
{
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            [this, respond](const result<async_io::http_response>& answer)
                            {
                              if (!answer || answer->head.status != 200)
                              {
                                respond({.status = 404});
                                return;
                              }
                              send_piece(answer->body, respond);
                            });
}

void rollout_agent::send_piece(std::string bytes, const async_io::http_listener::responder& respond)
{
  if (m_send_queue.size() >= max_queued_pieces)
  {
    respond({.status = 503});
    return;
  }
  m_send_queue.push_back({std::move(bytes), respond});
  if (!m_sending)
  {
    send_next_piece();
  }
}

void rollout_agent::send_next_piece()
{
  m_sending = !m_send_queue.empty();
  if (!m_sending)
  {
    return;
  }
  const double cost =
      static_cast<double>(m_send_queue.front().bytes.size()) * (serves() ? 1 : idle_engine_cost);
  const auto wait = m_uplink.reserve(cost, std::chrono::steady_clock::now());
  m_send_timer.start(wait,
                     [this]
                     {
                       queued_piece piece = std::move(m_send_queue.front());
                       m_send_queue.pop_front();
                       piece.respond({200, "application/octet-stream", std::move(piece.bytes)});
                       send_next_piece();
                     });
}

const piece_set* rollout_agent::ready_pieces() const
{
  for (auto at = m_fetchers.rbegin(); at != m_fetchers.rend(); ++at)
  {
    const piece_set* pieces = at->second->pieces();
    if (pieces != nullptr && pieces->is_complete())
    {
      return pieces;
    }
  }
  return nullptr;
}

load_facts rollout_agent::make_load_facts() const
{
  load_facts facts;
  facts.report = *m_report;
  facts.whole = is_whole();
  const auto wanted = m_fetchers.find(wanted_version());
  facts.first_part_ready = wanted != m_fetchers.end() && wanted->second->has_first_part();
  facts.turn = turn();
  if (const piece_set* pieces = ready_pieces())
  {
    const auto named = m_named.find(pieces->version());
    facts.ready_version = pieces->version();
    facts.known_for = named == m_named.end() ? milliseconds(3'600'000) : since(named->second);
  }
  if (m_draining_since)
  {
    facts.drained_for = since(*m_draining_since);
  }
  if (m_order_unknown_since)
  {
    facts.order_unknown_for = since(*m_order_unknown_since);
  }
  return facts;
}

void rollout_agent::consider_load()
{
  // Without a fetch there is nothing to load, and the facts need a look at all hosts.
  if (!m_report || m_loading_version != 0 || m_fetchers.empty())
  {
    return;
  }
  const load_facts facts = make_load_facts();
  const protocol::layer_range all{0, m_shape.layers};
  switch (decide_load(facts))
  {
  case load_action::wait:
    return;
  case load_action::drain:
    m_draining_since = std::chrono::steady_clock::now();
    log_info(log_category::weights, "engine drains for a new version",
             {{"version", facts.ready_version},
              {"after_ms", facts.known_for.count()},
              {"running", m_report->running},
              {"waiting", m_report->waiting}});
    report_load(true);
    return;
  case load_action::load:
    begin_load(facts.ready_version, all);
    return;
  case load_action::load_first_part:
    begin_load(wanted_version(), m_first_layers);
    return;
  case load_action::load_rest:
    m_loads_beside_work = true;
    begin_load(facts.ready_version, all);
    return;
  }
}

void rollout_agent::begin_load(std::uint64_t version, const protocol::layer_range& layers)
{
  m_order_unknown_since.reset();
  m_loading_version = version;
  m_loading_layers = layers;
  report_load(!m_loads_beside_work);
  stage(pieces_of(layers, m_shape).first);
}

const piece_set* rollout_agent::pieces_to_stage() const
{
  const auto fetcher = m_fetchers.find(m_loading_version);
  const piece_set* pieces = fetcher == m_fetchers.end() ? nullptr : fetcher->second->pieces();
  const bool held = pieces != nullptr && pieces->holds(pieces_of(m_loading_layers, m_shape));
  return held ? pieces : nullptr;
}

void rollout_agent::stage(std::uint32_t piece)
{
  const piece_set* pieces = pieces_to_stage();
  if (pieces == nullptr)
  {
    load_failed("pieces are no longer held");
    return;
  }
  const piece_range range = pieces_of(m_loading_layers, m_shape);
  if (piece == range.end)
  {
    check_staged(range.first);
    return;
  }
  m_environment.caller.call(platform::stage_put_call(m_engine, m_model, piece, *pieces->get(piece)),
                            [this, piece](const result<async_io::http_response>& answer)
                            {
                              if (!answer || answer->head.status / 100 != 2)
                              {
                                load_failed(answer ? "staging answered " +
                                                         std::to_string(answer->head.status)
                                                   : answer.error().message);
                                return;
                              }
                              stage(piece + 1);
                            });
}

/// Staged pieces may turn bad, so each is read back right before the order.
void rollout_agent::check_staged(std::uint32_t piece)
{
  if (piece == pieces_of(m_loading_layers, m_shape).end)
  {
    order();
    return;
  }
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            [this, piece](const result<async_io::http_response>& answer)
                            {
                              const piece_set* pieces = pieces_to_stage();
                              if (!answer || answer->head.status != 200 || pieces == nullptr ||
                                  !pieces->matches(piece, answer->body))
                              {
                                log_warning(log_category::weights,
                                            "staged piece is not what was staged",
                                            {{"version", m_loading_version}, {"piece", piece}});
                                load_failed("staged piece is spoilt");
                                return;
                              }
                              check_staged(piece + 1);
                            });
}

void rollout_agent::order()
{
  if (!m_report)
  {
    load_failed("engine does not report");
    return;
  }
  const bool is_part = m_loading_layers != protocol::layer_range{0, m_shape.layers};
  const auto layers = is_part ? std::optional(m_loading_layers) : std::nullopt;
  m_environment.caller.call(
      platform::start_call(m_engine, m_model, m_loading_version, layers, m_report->orders,
                           m_loads_beside_work ? platform::running_work::finish
                                               : platform::running_work::cut),
      [this](const result<async_io::http_response>& answer)
      {
        if (!answer && answer.error().code != error_code::unavailable)
        {
          m_order_unknown_since = std::chrono::steady_clock::now();
          load_failed("answer to the order was lost: " + answer.error().message);
          return;
        }
        if (!answer || answer->head.status / 100 != 2)
        {
          load_failed(answer ? "order answered " + std::to_string(answer->head.status)
                             : answer.error().message);
          return;
        }
        log_info(log_category::weights, "order accepted",
                 {{"version", m_loading_version},
                  {"from_layer", m_loading_layers.from},
                  {"to_layer", m_loading_layers.to},
                  {"status", answer->head.status},
                  {"running", m_report ? m_report->running : 0}});
        m_ordered_since = std::chrono::steady_clock::now();
      });
}

void rollout_agent::load_failed(const std::string& reason)
{
  log_warning(log_category::weights, "load not ordered",
              {{"version", m_loading_version}, {"reason", reason}});
  m_loading_version = 0;
  m_loads_beside_work = false;
}

} // namespace pollenyoke::rollout
