#include "Rollout/RolloutAgent.h"

#include <algorithm>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Entries select engines by their reports; polling on the same host costs next to nothing.
constexpr milliseconds poll_interval{100};
constexpr milliseconds poll_timeout{500};
// Consecutive failed polls after which the engine counts as lost: 0.5 s.
constexpr unsigned max_failed_polls = 5;
// Pieces queued behind the one being sent. With a longer queue a piece would arrive later than from
// another source.
constexpr std::size_t max_queued_pieces = 2;
// Minimum time between two replies to one host. Hosts that lack pieces announce themselves every
// 40 ms while they receive some.
constexpr milliseconds reply_interval{100};
// One piece can be sent without a delay.
constexpr double uplink_burst_bytes = 49152;
// Time in which the origin's link sends one copy of the weights.
constexpr milliseconds origin_copy_time{1400};
// An entry answers the first report that reaches it. Reports follow each other every 100 ms and may
// get lost.
constexpr milliseconds proof_wait{1000};
// An engine without weights sends no answers, so pieces may use the whole link.
constexpr double idle_engine_uplink_cost = piece_uplink_fraction;
// Keeps the pieces of the serving version and of the next one for hosts that join later.
constexpr std::size_t kept_versions = 2;

milliseconds since(async_io::time_point time)
{
  return std::chrono::duration_cast<milliseconds>(current_time() - time);
}

} // namespace

rollout_agent::rollout_agent(fetch_environment environment, transport::endpoint engine,
                             rollout_handlers handlers)
    : m_environment(std::move(environment)), m_engine(std::move(engine)),
      m_handlers(std::move(handlers)), m_poll_timer(m_environment.loop),
      m_send_timer(m_environment.loop),
      m_uplink(m_environment.uplink_bytes_per_s, uplink_burst_bytes, current_time())
{
  m_environment.engine = m_engine;
  m_environment.engine_serves = [this]
  {
    return engine_has_weights();
  };
}

rollout_agent::~rollout_agent()
{
  // Pending timers keep a fetcher alive.
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

void rollout_agent::add_version(const protocol::named_version& version)
{
  if (!m_named_versions.try_emplace(version.version, current_time()).second)
  {
    return;
  }
  log_info(log_category::weights, "learned of a new version",
           {{"model", version.model}, {"version", version.version}});
  start_fetch_if_needed();
}

bool rollout_agent::engine_has_weights() const
{
  return m_report && m_report->weight_version != 0;
}

bool rollout_agent::engine_holds_all_layers() const
{
  return engine_has_weights() && protocol::holds_all(m_report->layers, m_shape.layers);
}

std::uint64_t rollout_agent::target_version() const
{
  // Version 1 is the initial version; it applies until another one is named.
  return m_named_versions.empty() ? 1 : m_named_versions.rbegin()->first;
}

void rollout_agent::poll_engine()
{
  auto call = platform::report_call(m_engine);
  call.timeout = poll_timeout;
  m_poll_begun = boot_clock::now();
  m_environment.caller.call(std::move(call), [this](const result<async_io::http_response>& answer)
                            { handle_report(answer); });
}

void rollout_agent::handle_report(const result<async_io::http_response>& answer)
{
  m_poll_timer.start(poll_interval, [this] { poll_engine(); });
  if (!answer || answer->head.status != 200)
  {
    if (++m_failed_polls == max_failed_polls)
    {
      m_report.reset();
      m_handlers.on_engine_lost();
      log_warning(log_category::weights, "engine does not answer report polls",
                  {{"reason", answer ? "status " + std::to_string(answer->head.status)
                                     : answer.error().message}});
    }
    return;
  }
  auto report = platform::decode_engine_report(answer->body);
  if (!report)
  {
    log_warning(log_category::weights, "engine report cannot be decoded",
                {{"reason", report.error().message}});
    return;
  }
  m_failed_polls = 0;
  report->leaving = platform::decode_notice(answer->head).leaving;
  if (m_engine_started_ms != 0 && m_engine_started_ms != report->started_ms)
  {
    log_info(log_category::weights, "engine restarted", {{"weights", report->weight_version}});
    forget_engine_state();
  }
  m_engine_started_ms = report->started_ms;
  m_report = std::move(*report);
  m_report_asked = m_poll_begun;
  watch_proof();
  resolve_unanswered_order();
  update_load();
  const piece_set* ready = ready_pieces();
  if (m_draining_since && m_load.version == 0 && !m_report->busy && engine_holds_all_layers() &&
      ready != nullptr && m_report->weight_version >= ready->version())
  {
    // The engine executed the order although its answer was lost.
    m_draining_since.reset();
  }
  publish_report(is_loading());
  start_fetch_if_needed();
  start_load_if_due();
}

void rollout_agent::forget_engine_state()
{
  ++m_load_attempt;
  m_order_in_flight = false;
  m_order_accepted_at.reset();
  m_unanswered_order.reset();
  m_draining_since.reset();
  m_load = {};
  m_loads_while_serving = false;
  m_load_in_doubt = false;
  m_rechecking = false;
  m_staging_is_known = m_unanswered_stagings == 0;
  m_unproven_mark.reset();
  m_rejected = false;
  m_reload.reset();
}

bool rollout_agent::is_proven() const
{
  return m_report && m_proven.covers(mark_of(*m_report));
}

bool rollout_agent::is_staging_known() const
{
  return m_staging_is_known && m_unanswered_stagings == 0;
}

bool rollout_agent::is_loading() const
{
  const bool busy = m_load.version != 0 || m_draining_since || m_report->busy;
  return (busy && !m_loads_while_serving) || m_load_in_doubt || m_rejected || m_reload;
}

void rollout_agent::watch_proof()
{
  const auto mark = mark_of(*m_report);
  if (m_proven.covers(mark))
  {
    m_unproven_mark.reset();
    if (m_load.version == 0)
    {
      m_reload.reset();
      m_rejected = false;
    }
  }
  else if (m_unproven_mark != mark || !has_settled())
  {
    // Entries that are not known yet cannot answer.
    m_unproven_mark = mark;
    m_unproven_since = current_time();
  }
}

bool rollout_agent::needs_reload() const
{
  return m_unproven_mark && !is_proven() && engine_has_weights() &&
         (m_rejected || m_reload || since(m_unproven_since) >= proof_wait);
}

void rollout_agent::add_proof(const peers::engine_mark& mark)
{
  m_proven.add(mark);
  if (!is_proven() || !m_unproven_mark || m_load.version != 0)
  {
    return;
  }
  log_info(log_category::weights, "layers of the engine were proven before this process started",
           {{"version", m_report->weight_version}, {"orders", mark.orders}});
  watch_proof();
  publish_report(is_loading());
}

std::size_t rollout_agent::position_in_region() const
{
  const auto hosts = m_environment.hosts();
  return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(),
                                                [this](const rollout_host& host) {
                                                  return host.region == m_environment.region &&
                                                         host.ip < m_environment.self;
                                                }));
}

load_slot rollout_agent::own_load_slot() const
{
  const auto hosts = m_environment.hosts();
  const auto self =
      std::find_if(hosts.begin(), hosts.end(),
                   [this](const rollout_host& host) { return host.ip == m_environment.self; });
  return {static_cast<std::size_t>(self - hosts.begin()), hosts.size()};
}

load_plan rollout_agent::make_load_plan(std::uint64_t version) const
{
  const auto ready = m_ready_after.find(version);
  return {.slot = own_load_slot(),
          .version_limit = m_environment.version_limit,
          .ready_after = ready == m_ready_after.end() ? milliseconds(0) : ready->second};
}

void rollout_agent::publish_report(bool loading)
{
  std::optional<milliseconds> load_in;
  const auto named = m_named_versions.find(target_version());
  if (!loading && named != m_named_versions.end() && m_report->weight_version != 0 &&
      m_report->weight_version < named->first)
  {
    load_in = std::max(milliseconds(1),
                       planned_load_delay(make_load_plan(named->first)) - since(named->second));
  }
  m_handlers.on_report(
      *m_report,
      {.loading = loading, .proven = is_proven(), .load_in = load_in, .asked = m_report_asked});
}

bool rollout_agent::has_settled()
{
  // Pieces are relayed by the entries; the other hosts only matter if there are none.
  const std::size_t entries = m_environment.relays ? m_environment.relays().size() : 0;
  const bool all_known = m_environment.has_heard_all && m_environment.has_heard_all();
  return m_settle.has_settled(entries > 0 ? entries : m_environment.hosts().size(), all_known,
                              current_time());
}

void rollout_agent::start_fetch_if_needed()
{
  const std::uint64_t version = target_version();
  if (!m_report || m_model.empty() || m_shape.pieces == 0 || m_fetchers.contains(version) ||
      (engine_holds_all_layers() && m_report->weight_version >= version && !needs_reload()) ||
      m_environment.origin().port == 0 || !has_settled())
  {
    return;
  }
  m_first_layers =
      engine_has_weights() ? protocol::layer_range{} : first_layers(position_in_region(), m_shape);
  const auto first_part = pieces_for_layers(m_first_layers, m_shape);
  const auto fetcher = std::make_shared<piece_fetcher>(
      m_environment, m_model, version, first_part,
      piece_fetcher::handlers{.on_first_part = [this, version] { on_first_part_complete(version); },
                              .on_complete =
                                  [this, version]
                              {
                                on_pieces_complete(version);
                              }});
  m_fetchers[version] = fetcher;
  drop_old_fetchers();
  stop_superseded_fetches(version);
  fetcher->start();
}

void rollout_agent::drop_old_fetchers()
{
  while (m_fetchers.size() > kept_versions)
  {
    auto oldest = m_fetchers.begin();
    if (m_unanswered_order && oldest->first == m_unanswered_order->step.piece_version)
    {
      ++oldest;
    }
    oldest->second->stop();
    m_fetchers.erase(oldest);
  }
}

/// Stops the fetches of older versions that have only just started, as they would share the link
/// with the new one. A version that the origin has had time to send in full is completed: it has
/// its own time limit, and the origin may fail before the newer version has been fetched.
void rollout_agent::stop_superseded_fetches(std::uint64_t version)
{
  for (auto& [older, fetcher] : m_fetchers)
  {
    const piece_set* pieces = fetcher->pieces();
    const auto named = m_named_versions.find(older);
    const bool young = named == m_named_versions.end() || since(named->second) < origin_copy_time;
    if (older < version && young && (pieces == nullptr || !pieces->is_complete()))
    {
      log_info(log_category::weights, "fetch of an older version stopped in favor of a newer one",
               {{"version", older}, {"newer", version}});
      fetcher->stop();
    }
  }
}

void rollout_agent::on_first_part_complete(std::uint64_t version)
{
  log_info(
      log_category::weights, "all pieces of the first layers fetched",
      {{"version", version},
       {"after_ms",
        m_named_versions.contains(version) ? since(m_named_versions.at(version)).count() : 0}});
  start_load_if_due();
}

void rollout_agent::on_pieces_complete(std::uint64_t version)
{
  if (const auto named = m_named_versions.find(version); named != m_named_versions.end())
  {
    m_ready_after.try_emplace(version, since(named->second));
  }
  const fetch_counts& counts = m_fetchers.at(version)->counts();
  log_info(log_category::weights, "all pieces fetched",
           {{"version", version},
            {"after_ms",
             m_named_versions.contains(version) ? since(m_named_versions.at(version)).count() : 0},
            {"from_origin", counts.from_origin},
            {"from_entries", counts.from_entries},
            {"from_peers", counts.from_peers},
            {"from_engine", counts.from_engine},
            {"failed_origin", counts.failed_origin},
            {"failed_peers", counts.failed_peers}});
  start_load_if_due();
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
  if (fetcher == m_fetchers.end() && engine_can_serve_pieces(version))
  {
    serve_piece_from_engine(piece, respond);
    return;
  }
  respond({.status = 404});
}

bool rollout_agent::engine_can_serve_pieces(std::uint64_t version) const
{
  return m_report && engine_holds_all_layers() && m_report->weight_version == version &&
         m_load.version == 0;
}

std::optional<peers::piece_announcement>
rollout_agent::own_announcement(std::uint64_t version) const
{
  const auto fetcher = m_fetchers.find(version);
  if (fetcher != m_fetchers.end())
  {
    return fetcher->second->announcement();
  }
  if (!engine_can_serve_pieces(version))
  {
    return std::nullopt;
  }
  return peers::piece_announcement{
      .model = m_model,
      .version = version,
      .states = std::vector<peers::piece_state>(m_shape.pieces, peers::piece_state::held)};
}

void rollout_agent::handle_announcement(const std::string& ip,
                                        const peers::piece_announcement& received)
{
  if (received.model != m_model)
  {
    return;
  }
  const auto fetcher = m_fetchers.find(received.version);
  if (fetcher != m_fetchers.end())
  {
    fetcher->second->handle_announcement(ip, received);
  }
  const auto now = current_time();
  auto& last_reply = m_last_replies[ip];
  if (!received.wants_answer || now - last_reply < reply_interval)
  {
    return;
  }
  auto own = own_announcement(received.version);
  // A host that lacks pieces already announces its own pieces to all hosts.
  if (own && !own->wants_answer)
  {
    last_reply = now;
    m_environment.announce(ip, *own);
  }
}

/// Reads the piece back from the engine, which loaded it before this process held any pieces. The
/// peer verifies its digest.
void rollout_agent::serve_piece_from_engine(std::uint32_t piece,
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
  const double cost = static_cast<double>(m_send_queue.front().bytes.size()) *
                      (engine_has_weights() ? 1 : idle_engine_uplink_cost);
  const auto wait = m_uplink.reserve(cost, current_time());
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

load_inputs rollout_agent::make_load_inputs() const
{
  load_inputs inputs;
  inputs.report = *m_report;
  inputs.holds_all_layers = engine_holds_all_layers();
  const auto wanted = m_fetchers.find(target_version());
  inputs.first_part_ready = wanted != m_fetchers.end() && wanted->second->has_first_part();
  if (const piece_set* pieces = ready_pieces())
  {
    const auto named = m_named_versions.find(pieces->version());
    inputs.ready_version = pieces->version();
    inputs.plan = make_load_plan(pieces->version());
    inputs.version_age =
        named == m_named_versions.end() ? milliseconds(3'600'000) : since(named->second);
  }
  if (m_draining_since)
  {
    inputs.draining_for = since(*m_draining_since);
  }
  if (m_unanswered_order)
  {
    inputs.unanswered_order_age = since(m_unanswered_order->lost_at);
  }
  return inputs;
}

void rollout_agent::start_load_if_due()
{
  // Without a fetch there is nothing to load; this also avoids scanning all hosts for the inputs.
  if (!m_report || m_load.version != 0 || m_fetchers.empty())
  {
    return;
  }
  if (!is_proven() && engine_has_weights())
  {
    replace_unproven_layers();
    return;
  }
  const load_inputs inputs = make_load_inputs();
  const protocol::layer_range all{0, m_shape.layers};
  switch (decide_load(inputs))
  {
  case load_action::wait:
    return;
  case load_action::drain:
    m_draining_since = current_time();
    log_info(log_category::weights, "draining the engine before it loads a new version",
             {{"version", inputs.ready_version},
              {"after_ms", inputs.version_age.count()},
              {"running", m_report->running},
              {"waiting", m_report->waiting}});
    publish_report(true);
    return;
  case load_action::load:
    start_load(make_load_step(inputs.ready_version, all));
    return;
  case load_action::load_first_part:
    start_load(make_load_step(target_version(), m_first_layers));
    return;
  case load_action::load_rest:
    m_loads_while_serving = true;
    start_load(make_load_step(inputs.ready_version, all));
    return;
  }
}

void rollout_agent::replace_unproven_layers()
{
  const bool order_may_show =
      m_unanswered_order && since(m_unanswered_order->lost_at) < order_report_delay;
  if (m_report->busy || order_may_show || !needs_reload())
  {
    return;
  }
  const piece_set* ready = ready_pieces();
  // The only layer of version 1 is dropped by an order for version 2, which may not exist yet.
  const bool may_be_dropped = m_shape.layers == 1 && target_version() == 1;
  if (ready != nullptr &&
      (ready->version() > m_report->weight_version ||
       (may_be_dropped && ready->version() == 1 && m_report->weight_version == 2)))
  {
    m_reload.reset();
    start_load(make_load_step(ready->version(), {0, m_shape.layers}));
    return;
  }
  if (!m_reload || m_reload->mark != mark_of(*m_report) || m_reload->steps.empty())
  {
    begin_reload();
  }
  const load_step step = m_reload->steps.front();
  if (held_pieces(step.piece_version, step.layers) != nullptr)
  {
    start_load(step);
  }
}

void rollout_agent::begin_reload()
{
  log_warning(log_category::weights, "engine may have taken bad pieces and loads them again",
              {{"version", m_report->weight_version}, {"orders", m_report->orders}});
  const auto layers = m_report->layers.value_or(protocol::layer_range{0, m_shape.layers});
  const auto steps = reload_steps(m_report->weight_version, layers, m_shape.layers);
  m_reload = reload{.steps = {steps.begin(), steps.end()}, .mark = mark_of(*m_report)};
}

const piece_set* rollout_agent::held_pieces(std::uint64_t version,
                                            const protocol::layer_range& layers) const
{
  const auto fetcher = m_fetchers.find(version);
  const piece_set* pieces = fetcher == m_fetchers.end() ? nullptr : fetcher->second->pieces();
  const bool held = pieces != nullptr && pieces->holds(pieces_for_layers(layers, m_shape));
  return held ? pieces : nullptr;
}

} // namespace pollenyoke::rollout
