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
// An engine that is still idle this long after it accepted an order will not execute it.
constexpr milliseconds order_start_timeout{2000};
// An entry answers the first report that reaches it. Reports follow each other every 100 ms and may
// get lost.
constexpr milliseconds proof_wait{1000};
// Passes over the staged pieces per load. One that takes too long is repeated: the host may have
// stood still.
constexpr unsigned max_checks = 3;
// An engine that ends its connections after each answer gets the order on one of its own.
constexpr unsigned max_confirmations = 4;
// An engine without weights sends no answers, so pieces may use the whole link.
constexpr double idle_engine_uplink_cost = piece_uplink_fraction;
// Keeps the pieces of the serving version and of the next one for hosts that join later.
constexpr std::size_t kept_versions = 2;

milliseconds since(async_io::time_point time)
{
  return std::chrono::duration_cast<milliseconds>(current_time() - time);
}

peers::engine_mark mark_of(const protocol::engine_report& report)
{
  return {report.started_ms, report.orders};
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

void rollout_agent::update_load()
{
  if (!m_order_accepted_at || m_report->busy)
  {
    return;
  }
  if (!has_loaded())
  {
    if (since(*m_order_accepted_at) > order_start_timeout)
    {
      m_order_accepted_at.reset();
      m_load_in_doubt = false;
      abort_load("engine accepted the order and does not load");
    }
    return;
  }
  if (m_load_in_doubt)
  {
    recheck_load();
    return;
  }
  if (may_prove_load())
  {
    prove_load();
  }
  finish_load();
}

void rollout_agent::finish_load()
{
  log_info(log_category::weights,
           engine_holds_all_layers() ? "engine serves the version"
                                     : "engine serves the first layers of the version",
           {{"version", m_report->weight_version},
            {"after_ms", m_named_versions.contains(m_load.version)
                             ? since(m_named_versions.at(m_load.version)).count()
                             : 0}});
  if (m_reload && !m_reload->steps.empty() && m_reload->steps.front() == m_load)
  {
    m_reload->steps.pop_front();
    m_reload->mark = mark_of(*m_report);
  }
  if (is_proven())
  {
    m_reload.reset();
    m_rejected = false;
    if (engine_holds_all_layers() && m_handlers.on_proven)
    {
      m_handlers.on_proven(mark_of(*m_report));
    }
  }
  ++m_load_attempt;
  m_order_accepted_at.reset();
  m_draining_since.reset();
  m_load = {};
  m_loads_while_serving = false;
}

void rollout_agent::resolve_unanswered_order()
{
  if (!m_unanswered_order || m_order_in_flight ||
      m_report->orders <= m_unanswered_order->base.mark.orders)
  {
    return;
  }
  const unanswered_order order = *m_unanswered_order;
  m_unanswered_order.reset();
  ++m_load_attempt;
  m_load = order.step;
  m_load_base = order.base;
  m_loads_while_serving = false;
  log_info(log_category::weights, "engine accepted a load order without an answer",
           {{"version", order.step.version}});
  if (order.restaged || !order.check_is_lasting || !is_staging_known() ||
      m_report->orders != order.base.mark.orders + 1)
  {
    reject_load();
    return;
  }
  m_order_accepted_at = current_time();
  m_order_answered = false;
  m_load_in_doubt = true;
  m_rechecking = false;
}

bool rollout_agent::has_loaded() const
{
  // An engine that does not state its layers holds all of them.
  return m_report->weight_version == m_load.version &&
         (!m_report->layers || m_report->layers == m_load.layers);
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

void rollout_agent::start_load(const load_step& step)
{
  ++m_load_attempt;
  m_load = step;
  m_load_base = {.mark = mark_of(*m_report),
                 .version = m_report->weight_version,
                 .sound = !engine_has_weights() || is_proven()};
  m_checks = 0;
  if (m_unanswered_order && held_pieces(m_unanswered_order->step.piece_version,
                                        m_unanswered_order->step.layers) != nullptr)
  {
    // An order that is only delayed would load its version from the pieces of the other one, so the
    // engine is given the same order again. It accepts one of the two.
    m_load = m_unanswered_order->step;
    m_load_base = m_unanswered_order->base;
    m_unanswered_order->restaged = true;
  }
  publish_report(!m_loads_while_serving);
  stage_piece(pieces_for_layers(m_load.layers, m_shape).first);
}

async_io::http_caller::handler
rollout_agent::for_current_load(async_io::http_caller::handler handle)
{
  return [this, attempt = m_load_attempt,
          handle = std::move(handle)](const result<async_io::http_response>& answer)
  {
    if (attempt == m_load_attempt)
    {
      handle(answer);
    }
  };
}

const piece_set* rollout_agent::held_pieces(std::uint64_t version,
                                            const protocol::layer_range& layers) const
{
  const auto fetcher = m_fetchers.find(version);
  const piece_set* pieces = fetcher == m_fetchers.end() ? nullptr : fetcher->second->pieces();
  const bool held = pieces != nullptr && pieces->holds(pieces_for_layers(layers, m_shape));
  return held ? pieces : nullptr;
}

const piece_set* rollout_agent::pieces_to_stage() const
{
  return held_pieces(m_load.piece_version, m_load.layers);
}

void rollout_agent::stage_piece(std::uint32_t piece)
{
  const piece_set* pieces = pieces_to_stage();
  if (pieces == nullptr)
  {
    abort_load("pieces are no longer held");
    return;
  }
  const piece_range range = pieces_for_layers(m_load.layers, m_shape);
  if (piece == range.end)
  {
    begin_check();
    return;
  }
  ++m_unanswered_stagings;
  auto next = for_current_load(
      [this, piece](const result<async_io::http_response>& answer)
      {
        if (!answer || answer->head.status / 100 != 2)
        {
          abort_load(answer ? "staging answered " + std::to_string(answer->head.status)
                            : answer.error().message);
          return;
        }
        stage_piece(piece + 1);
      });
  m_environment.caller.call(platform::stage_put_call(m_engine, m_model, piece, *pieces->get(piece)),
                            [this, next = std::move(next)](const auto& answer)
                            {
                              --m_unanswered_stagings;
                              m_staging_is_known = m_staging_is_known && answer.has_value();
                              next(answer);
                            });
}

void rollout_agent::begin_check()
{
  ++m_checks;
  m_confirmations = 0;
  m_check.emplace(boot_clock::now(), m_load_base.mark.started_ms);
  // A piece that is still on its way may arrive behind the check, and be answered before the order.
  m_check_is_lasting = is_staging_known();
  verify_staged_piece(pieces_for_layers(m_load.layers, m_shape).first);
}

/// Reads each staged piece back right before the order, as it may have been corrupted since.
void rollout_agent::verify_staged_piece(std::uint32_t piece)
{
  if (piece == pieces_for_layers(m_load.layers, m_shape).end)
  {
    confirm_engine();
    return;
  }
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            for_current_load(
                                [this, piece](const result<async_io::http_response>& answer)
                                {
                                  const piece_set* pieces = pieces_to_stage();
                                  if (!answer || answer->head.status != 200 || pieces == nullptr ||
                                      !pieces->matches(piece, answer->body))
                                  {
                                    log_warning(log_category::weights,
                                                "staged piece differs from the manifest",
                                                {{"version", m_load.version}, {"piece", piece}});
                                    abort_load("staged piece is spoilt");
                                    return;
                                  }
                                  verify_staged_piece(piece + 1);
                                }));
}

/// The order follows on the same connection, so that it reaches the start of the engine that
/// reported, and an engine that has just answered accepts it without delay.
void rollout_agent::confirm_engine()
{
  ++m_confirmations;
  auto session = std::make_shared<async_io::call_session>();
  auto call = platform::report_call(m_engine);
  call.timeout = poll_timeout;
  call.session = session;
  m_environment.caller.call(
      std::move(call),
      for_current_load([this, session](const result<async_io::http_response>& answer)
                       { handle_confirmation(answer, session); }));
}

void rollout_agent::handle_confirmation(const result<async_io::http_response>& answer,
                                        std::shared_ptr<async_io::call_session> session)
{
  if (!answer || answer->head.status != 200)
  {
    abort_load("engine does not report");
    return;
  }
  const auto report = platform::decode_engine_report(answer->body);
  if (!report)
  {
    abort_load(report.error().message);
    return;
  }
  if (mark_of(*report) != m_load_base.mark)
  {
    abort_load("engine restarted or accepted another order");
    return;
  }
  if (report->waiting > 0 && !m_loads_while_serving)
  {
    abort_load("requests wait at the engine");
    return;
  }
  if (m_check->allows_order(report->started_ms, boot_clock::now()))
  {
    send_load_order(m_confirmations < max_confirmations ? std::move(session) : nullptr);
  }
  else if (m_checks < max_checks)
  {
    log_info(log_category::weights, "staged pieces were read back too long ago",
             {{"version", m_load.version}, {"passes", m_checks}});
    begin_check();
  }
  else
  {
    abort_load("staged pieces could not be read back in time");
  }
}

void rollout_agent::send_load_order(std::shared_ptr<async_io::call_session> session)
{
  const bool is_part = m_load.layers != protocol::layer_range{0, m_shape.layers};
  const auto layers = is_part ? std::optional(m_load.layers) : std::nullopt;
  auto call = platform::start_call(
      m_engine, m_model, m_load.version, layers, m_load_base.mark.orders,
      m_loads_while_serving ? platform::running_work::finish : platform::running_work::cut);
  call.timeout = std::min(call.timeout, m_check->order_time_limit(boot_clock::now()));
  call.session = std::move(session);
  m_order_in_flight = true;
  m_environment.caller.call(std::move(call),
                            for_current_load([this](const result<async_io::http_response>& answer)
                                             { handle_order_answer(answer); }));
}

void rollout_agent::handle_order_answer(const result<async_io::http_response>& answer)
{
  m_order_in_flight = false;
  if (!answer && answer.error().code == error_code::unavailable)
  {
    // Nothing was sent.
    if (m_confirmations < max_confirmations)
    {
      confirm_engine();
      return;
    }
    abort_load(answer.error().message);
    return;
  }
  if (!answer)
  {
    m_unanswered_order = {.step = m_load,
                          .base = m_load_base,
                          .check_is_lasting = m_check_is_lasting,
                          .lost_at = current_time()};
    abort_load("answer to the order was lost: " + answer.error().message);
    return;
  }
  // 200 says that an earlier order has loaded the same, from pieces that were checked then or not.
  if (answer->head.status != 202)
  {
    abort_load("order answered " + std::to_string(answer->head.status));
    return;
  }
  log_info(log_category::weights, "engine accepted the load order",
           {{"version", m_load.version},
            {"from_layer", m_load.layers.from},
            {"to_layer", m_load.layers.to},
            {"status", answer->head.status},
            {"running", m_report ? m_report->running : 0}});
  m_unanswered_order.reset();
  // The process or the engine may have stood still after the order was sent.
  const bool in_time = m_check->covers(boot_clock::now());
  const bool is_lasting = m_check_is_lasting && is_staging_known();
  if (!in_time && !is_lasting)
  {
    reject_load();
    return;
  }
  m_order_accepted_at = current_time();
  m_order_answered = true;
  m_load_in_doubt = !in_time || !is_lasting;
  m_rechecking = false;
  if (m_load_in_doubt)
  {
    recheck_load();
  }
  else
  {
    settle_doubt();
  }
}

/// Of an order that was answered it is known that it has been accepted. The engine may go on with
/// the layers that it held before, if they were proven.
void rollout_agent::settle_doubt()
{
  m_load_in_doubt = false;
  if (m_order_answered && m_load_base.sound && may_prove_load())
  {
    prove_load();
  }
}

bool rollout_agent::may_prove_load() const
{
  const bool ends_reload =
      m_reload && m_reload->steps.size() == 1 && m_reload->steps.front() == m_load;
  const bool keeps_no_unproven = m_load_base.sound || m_load_base.version != m_load.version;
  return ends_reload || (keeps_no_unproven && m_load.piece_version == m_load.version);
}

void rollout_agent::prove_load()
{
  m_proven.add({m_load_base.mark.started_ms, m_load_base.mark.orders + 1});
  m_rejected = false;
  if (m_report)
  {
    watch_proof();
    publish_report(is_loading());
  }
}

void rollout_agent::recheck_load()
{
  if (!m_rechecking)
  {
    m_rechecking = true;
    recheck_taken_piece(pieces_for_layers(m_load.layers, m_shape).first);
  }
}

void rollout_agent::recheck_taken_piece(std::uint32_t piece)
{
  if (piece == pieces_for_layers(m_load.layers, m_shape).end)
  {
    log_info(log_category::weights, "engine took whole pieces", {{"version", m_load.version}});
    m_rechecking = false;
    settle_doubt();
    return;
  }
  m_environment.caller.call(platform::stage_get_call(m_engine, m_model, piece),
                            for_current_load(
                                [this, piece](const result<async_io::http_response>& answer)
                                {
                                  if (!answer || answer->head.status / 100 == 5)
                                  {
                                    // The next report of the engine starts another pass.
                                    m_rechecking = false;
                                    return;
                                  }
                                  const piece_set* pieces = pieces_to_stage();
                                  if (answer->head.status == 200 && pieces != nullptr &&
                                      pieces->matches(piece, answer->body))
                                  {
                                    recheck_taken_piece(piece + 1);
                                    return;
                                  }
                                  reject_load();
                                }));
}

void rollout_agent::reject_load()
{
  log_warning(log_category::weights, "engine may have taken bad pieces",
              {{"version", m_load.version}});
  m_rejected = true;
  m_reload.reset();
  m_load_in_doubt = false;
  m_rechecking = false;
  m_order_accepted_at.reset();
  ++m_load_attempt;
  m_load = {};
  m_loads_while_serving = false;
}

void rollout_agent::abort_load(const std::string& reason)
{
  log_warning(log_category::weights, "load of a version failed",
              {{"version", m_load.version}, {"reason", reason}});
  ++m_load_attempt;
  m_load = {};
  m_loads_while_serving = false;
}

} // namespace pollenyoke::rollout
