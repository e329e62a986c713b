#include "Gateway/RequestExchange.h"

#include <algorithm>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Gateway/StopPolicy.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::gateway
{

namespace
{

namespace names = platform::names;

// Connecting to a live host takes a few ms; a host without power never responds.
constexpr milliseconds connect_timeout{250};
// An older choice was made before the process stood still. A server may be told at most half a
// second more than the caller has left, and the request states the time left at the choice.
constexpr milliseconds choice_lifetime = connect_timeout + milliseconds(150);
// A pipeline needs 0.2 s per event instead of 0.04 s. Most responses end within this time; a longer
// one would reach the route's time limit.
constexpr milliseconds pipeline_time_limit{1200};
// An engine with newer weights usually becomes available in this time, while engines load them.
constexpr milliseconds withdrawal_patience{300};
constexpr milliseconds withdrawal_recheck_interval{50};
// Callers state time limits that differ. A request whose limit is within this share of the longest
// one is taken for a first attempt; one that returns after a refusal has less left.
constexpr double first_attempt_share = 0.8;
// The response is sent this long before the deadline, so that it reaches the caller in time.
constexpr milliseconds response_margin{10};
// After a server was lost, a request with content that no server has answered lately waits until
// the other entries have told under which content servers crash.
constexpr milliseconds unproven_retry_delay = crash_settle_time + milliseconds(40);
// A server that crashes under a request does so when it begins to write the answer, in the pass
// that makes its first tokens; one or two events may leave it before.
constexpr milliseconds proof_delay{500};
// Each permit that is asked for takes a round trip.
constexpr unsigned max_refused_permits = 3;
constexpr std::chrono::seconds refusal_log_interval{1};
// Callers of quarantined content need not return soon.
constexpr milliseconds quarantine_retry_after{60000};

/// Fields that are not forwarded to servers: the gateway sets them itself or keeps them private.
bool is_gateway_field(std::string_view name)
{
  const auto is = [name](std::string_view own)
  {
    return async_io::equals_ignoring_case(name, own);
  };
  return is(names::time_left_ms) || is(names::caller_key) || is(names::team) ||
         is(names::expected_server) || is(names::expected_weights) || is(names::request_priority) ||
         is(names::pipeline);
}

} // namespace

request_exchange::request_exchange(gateway_context& context, accepted_request request,
                                   response_sink sink)
    : m_context(context), m_request(std::move(request)), m_sink(std::move(sink)),
      m_deadline_timer(context.loop), m_silence_timer(context.loop), m_pipeline_timer(context.loop),
      m_withdrawal_timer(context.loop), m_retry_timer(context.loop),
      m_content(make_content({.service = m_request.service,
                              .team = m_request.caller.team,
                              .target = m_request.head.target,
                              .body = m_request.body,
                              .shared_parts = m_request.labels.shared_parts}))
{
}

milliseconds request_exchange::time_limit() const
{
  return std::min(m_request.labels.time_left.value_or(m_request.route->timeout),
                  m_request.route->timeout);
}

milliseconds request_exchange::time_left() const
{
  const auto used = std::chrono::duration_cast<milliseconds>(current_time() - m_request.arrived);
  return time_limit() - used;
}

milliseconds request_exchange::waited() const
{
  const auto here = std::chrono::duration_cast<milliseconds>(current_time() - m_request.arrived);
  const auto longest = m_context.longest_time_limit.find(m_request.route->name);
  if (longest == m_context.longest_time_limit.end())
  {
    return here;
  }
  const auto first_attempt = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double, std::milli>(longest->second) * first_attempt_share);
  return std::max(here, first_attempt - time_left());
}

void request_exchange::start()
{
  m_context.budget(m_request.service).add_request(m_request.arrived);
  m_context.backends.add_request(m_request.service, m_context.live_entries(), m_request.arrived);
  if (m_request.caller.allowed_regions)
  {
    m_context.metrics.add("requests_kept_in_regions");
  }
  auto& longest = m_context.longest_time_limit[m_request.route->name];
  longest = std::max(longest, time_limit());
  m_deadline_timer.start(std::max(milliseconds(1), time_left() - response_margin),
                         [self = shared_from_this()] { self->handle_deadline(); });
  if (time_left() <= response_margin)
  {
    refuse(503, milliseconds(100), "no time left");
    return;
  }
  if (!outlasts_request())
  {
    // Other entries can serve it at once.
    refuse(503, milliseconds(0), "process stops");
    return;
  }
  send_next();
}

milliseconds request_exchange::since_stop() const
{
  return m_context.stop_started
             ? std::chrono::duration_cast<milliseconds>(current_time() - *m_context.stop_started)
             : milliseconds(0);
}

bool request_exchange::outlasts_request() const
{
  return !m_context.stop_started || accepts_request({.since_stop = since_stop(),
                                                     .time_limit = time_left(),
                                                     .grace = m_context.settings.stop_grace});
}

void request_exchange::answer_for_stop()
{
  if (m_ended || m_response_started)
  {
    return;
  }
  const bool may_have_run = m_may_have_run > 0 || (m_attempt && m_attempt->was_sent());
  if (m_attempt)
  {
    m_attempt->cancel();
    m_attempt = nullptr;
    m_context.backends.end_attempt(m_server, attempt_health::neutral, current_time());
  }
  if (may_have_run)
  {
    refuse(502, std::nullopt, "process stops");
    return;
  }
  // Other entries can serve it at once.
  refuse(503, milliseconds(0), "process stops");
}

choice_request request_exchange::make_choice_request()
{
  const auto* service = m_request.table->find_service(m_request.service);
  m_minimum_version = service != nullptr && service->engine
                          ? m_context.versions.minimum(service->model, current_time())
                          : 0;
  return {.service = m_request.service,
          .prompt_tokens = m_request.labels.prompt_tokens,
          .answer_tokens = m_request.labels.answer_tokens,
          .minimum_version = m_minimum_version,
          .newest_version = service != nullptr ? m_context.versions.newest(service->model) : 0,
          .own_domain = m_context.settings.failure_domain,
          .excluded = m_tried_servers,
          .without_limited = m_refused_permits >= max_refused_permits,
          .allowed_regions = m_request.caller.allowed_regions};
}

bool request_exchange::check_content()
{
  auto& quarantine = m_context.crashes.quarantine();
  const auto verdict = quarantine.judge(m_content, current_time());
  if (verdict == content_verdict::trial && !m_in_trial)
  {
    m_in_trial = true;
    quarantine.begin_trial(m_content);
    return true;
  }
  if (verdict == content_verdict::accepted)
  {
    return true;
  }
  refuse_quarantined();
  return false;
}

void request_exchange::refuse_quarantined()
{
  constexpr std::string_view reason = "servers crash under its content";
  if (m_response_started)
  {
    m_last_reason = reason;
    apply(retry_action::abort);
  }
  else if (m_may_have_run > 0)
  {
    refuse(502, std::nullopt, reason);
  }
  else
  {
    refuse(503, quarantine_retry_after, reason);
  }
}

void request_exchange::end_trial()
{
  if (m_in_trial)
  {
    m_in_trial = false;
    m_context.crashes.quarantine().end_trial(m_content);
  }
}

void request_exchange::end_if_quarantined()
{
  if (m_ended || !m_attempt || m_attempt_answered || m_in_trial ||
      !m_context.crashes.quarantine().is_certain(m_content))
  {
    return;
  }
  m_attempt->cancel();
  m_attempt = nullptr;
  m_context.backends.end_attempt(m_server, attempt_health::neutral, current_time());
  ++m_may_have_run;
  refuse_quarantined();
}

void request_exchange::leave_engines(const std::set<std::string>& engines)
{
  if (m_ended || !m_attempt || m_attempt_answered || m_head.status != 0)
  {
    return;
  }
  const bool has_it = engines.contains(m_server.id) ||
                      std::any_of(m_server.pipeline.begin(), m_server.pipeline.end(),
                                  [&engines](const protocol::pipeline_stage& stage)
                                  { return engines.contains(stage.id); });
  if (has_it)
  {
    m_attempt->abandon("engine may begin the request with other weights");
  }
}

void request_exchange::note_event()
{
  const auto now = current_time();
  if (!m_attempt_answered)
  {
    m_attempt_answered = true;
    m_answer_begun = now;
  }
  if (now - m_answer_begun >= proof_delay)
  {
    note_proof();
  }
}

void request_exchange::note_proof()
{
  if (!m_attempt_proven)
  {
    m_attempt_proven = true;
    m_context.crashes.add_answer(m_content);
  }
}

void request_exchange::retry()
{
  const bool wait = m_server_lost && !m_content.parts.empty() &&
                    !m_context.crashes.quarantine().is_proven(m_content, current_time());
  m_server_lost = false;
  if (!wait)
  {
    send_next();
    return;
  }
  m_retry_timer.start(unproven_retry_delay, [self = shared_from_this()] { self->send_next(); });
}

void request_exchange::send_next()
{
  if (!check_content())
  {
    return;
  }
  const auto now = current_time();
  const auto choice = m_context.backends.choose(make_choice_request(), now);
  if ((m_attempt_count == 0 || !choice) && !is_admitted(choice))
  {
    return;
  }
  if (choice->limited)
  {
    ask_permit(*choice);
    return;
  }
  begin_attempt(*choice);
}

bool request_exchange::is_admitted(const std::optional<backend_choice>& choice)
{
  const auto now = current_time();
  routing::admission_input input{.objective = m_request.route->objective,
                                 .time_left = time_left(),
                                 .time_limit = time_left() + waited(),
                                 .random_fraction = m_context.random_fraction()};
  if (choice)
  {
    input.first_byte_ms = choice->first_byte_ms;
    input.wait_ms = choice->wait_ms;
  }
  else
  {
    const choice_request request = make_choice_request();
    input.pause_left = m_context.backends.shortest_pause(request, now);
    if (m_context.backends.has_cold(request, now))
    {
      m_context.metrics.add("cold_server_waits");
    }
    input.limited = m_context.backends.has_limited(request, now);
    const auto* service = m_request.table->find_service(m_request.service);
    input.loads_weights = service != nullptr && service->engine.has_value();
  }
  auto& policy = m_context.overload[m_request.service];
  const routing::demand demand = make_demand();
  const auto decision = policy.decide(demand, input, now);
  if (decision.admitted)
  {
    m_goes_first = decision.goes_first;
    return true;
  }
  if (decision.hold_for && may_wait(since_stop()))
  {
    m_retry_timer.start(*decision.hold_for, [self = shared_from_this()] { self->send_next(); });
    return false;
  }
  if (!decision.hold_for && m_admitted == 0)
  {
    policy.note_refused(demand,
                        routing::cannot_be_on_time(input) ? routing::refusal_kind::late
                        : choice                          ? routing::refusal_kind::servers_full
                                                          : routing::refusal_kind::no_server,
                        now);
    log_refusals();
  }
  if (m_may_have_run > 0)
  {
    apply(final_action(make_retry_state(m_last_end)));
    return false;
  }
  if (decision.hold_for)
  {
    refuse(503, milliseconds(0), "process stops");
    return false;
  }
  const std::string_view reason = choice ? "servers are full"
                                  : m_request.caller.allowed_regions
                                      ? "no server of the allowed regions can be used"
                                      : "no server can be used";
  refuse(503, decision.retry_after, reason);
  return false;
}

routing::demand request_exchange::make_demand() const
{
  const auto* service = m_request.table->find_service(m_request.service);
  const double cost =
      service != nullptr && service->engine
          ? request_cost(*service, m_request.labels.prompt_tokens, m_request.labels.answer_tokens)
          : 1;
  return {.rank = m_request.caller.rank, .team = m_request.caller.team, .cost = cost};
}

void request_exchange::log_refusals()
{
  const auto now = current_time();
  auto& last = m_context.refusals_logged[m_request.service];
  if (now - last < refusal_log_interval)
  {
    return;
  }
  last = now;
  const auto& policy = m_context.overload[m_request.service];
  std::string by_urgency;
  for (const auto& [rank, counts] : policy.counts())
  {
    by_urgency.append(by_urgency.empty() ? "" : " ").append(std::to_string(rank.team));
    by_urgency.append("/").append(std::to_string(rank.route));
    by_urgency.append(":").append(std::to_string(counts.demand));
    by_urgency.append(",").append(std::to_string(counts.admitted));
    by_urgency.append(",").append(std::to_string(counts.late));
  }
  const auto [team, share] = policy.largest_team(now);
  log_info(log_category::requests, "requests are refused",
           {{"service", m_request.service},
            {"refused_share", policy.refused_share(now)},
            {"demand_admitted_late", by_urgency},
            {"largest_team", team},
            {"its_share", share}});
}

void request_exchange::ask_permit(const backend_choice& choice)
{
  const auto now = current_time();
  auto query = m_context.backends.make_permit_query(choice, now);
  const bool may_send =
      m_attempt_count == 0 ||
      m_context.budget(m_request.service).allows_retry(now, m_context.possible_entries());
  if (!query || !may_send)
  {
    begin_attempt(choice);
    return;
  }
  if (!m_context.backends.has_unlimited(make_choice_request(), now))
  {
    query->patience = routing::longest_hold(m_request.route->objective, waited());
  }
  query->asker = m_context.settings.ip;
  m_context.permits.ask(*query, [self = shared_from_this(), choice](const permit_decision& decision)
                        { self->handle_permit(choice, decision); });
}

void request_exchange::handle_permit(const backend_choice& choice, const permit_decision& decision)
{
  if (m_ended)
  {
    return;
  }
  if (!decision.granted)
  {
    ++m_refused_permits;
    m_context.metrics.add("permits_refused");
    m_context.backends.put_off(choice, current_time() + decision.ask_again_in);
    send_next();
    return;
  }
  m_context.metrics.add("permits_granted");
  const auto use = [self = shared_from_this(), choice]
  {
    auto& backends = self->m_context.backends;
    const auto sending = current_time();
    if (backends.address_of(choice.id) && backends.wants_requests(choice, sending) &&
        backends.may_send_to_cold(choice, sending))
    {
      self->begin_attempt(choice);
      return;
    }
    self->send_next();
  };
  if (decision.send_in > milliseconds(0))
  {
    m_retry_timer.start(decision.send_in, use);
    return;
  }
  use();
}

void request_exchange::begin_attempt(const backend_choice& choice)
{
  const auto now = current_time();
  if (m_attempt_count == 0)
  {
    // The wait counts from the caller's first attempt.
    const auto left = m_request.route->objective - waited();
    m_admitted = m_context.overload[m_request.service].note_admitted(
        make_demand(),
        left > m_request.route->objective / 2 ? std::optional(now + left) : std::nullopt, now);
  }
  else if (!m_context.budget(m_request.service).try_retry(now, m_context.possible_entries()))
  {
    m_last_reason += ", repeat budget used up";
    apply(final_action(make_retry_state(m_last_end)));
    return;
  }
  send_to(choice);
}

void request_exchange::send_to(const backend_choice& choice)
{
  ++m_attempt_count;
  m_refused_permits = 0;
  m_server = choice;
  m_tried_servers.insert(choice.id);
  m_head = {};
  m_body.clear();
  m_relaying_events = false;
  m_attempt_answered = false;
  m_attempt_proven = false;
  m_event_relay.start_new_response();
  m_context.backends.begin_attempt(choice, current_time());
  if (choice.cold)
  {
    m_context.metrics.add("cold_server_sends");
  }
  attempt_request request{
      .address = choice.address,
      .request_id = m_request.labels.id,
      .bytes = serialize_request(choice),
      .is_head = m_request.head.method == "HEAD",
      .may_reuse =
          m_request.route->repeat == protocol::repeat_rule::idempotent && m_attempt_count == 1,
      .connect_timeout = std::min(connect_timeout, std::max(milliseconds(1), time_left())),
      .may_send = [this, choice, chosen = current_time()]
      {
        m_sent_at = current_time();
        return m_sent_at - chosen < choice_lifetime &&
               m_context.backends.wants_requests(choice, m_sent_at) &&
               m_context.backends.holds_layers(choice, m_sent_at);
      }};
  const auto self = shared_from_this();
  m_attempt = std::make_shared<backend_attempt>(
      m_context.loop, m_context.pool, std::move(request),
      backend_attempt::handlers{
          .on_notice = [self](const protocol::server_notice& notice)
          { self->handle_notice(notice); },
          .on_head = [self](const async_io::message_head& head) { self->handle_head(head); },
          .on_body = [self](const std::string& data) { self->handle_body(data); },
          .on_end =
              [self](const attempt_result& result)
          {
            self->handle_attempt_end(result);
          }});
  restart_silence_timer();
  notify_agents();
  if (!choice.pipeline.empty())
  {
    m_pipeline_timer.start(pipeline_time_limit, [self] { self->leave_pipeline(); });
  }
  start_withdrawal_timer(choice);
  m_attempt->start();
}

void request_exchange::start_withdrawal_timer(const backend_choice& choice)
{
  const auto* service = m_request.table->find_service(m_request.service);
  const auto at = service != nullptr && service->engine && choice.weight_version != 0
                      ? m_context.versions.withdrawal_time(service->model, choice.weight_version)
                      : std::nullopt;
  if (!at)
  {
    m_withdrawal_timer.cancel();
    return;
  }
  const auto delay = std::chrono::ceil<milliseconds>(*at - current_time());
  m_withdrawal_timer.start(std::max(milliseconds(1), delay),
                           [self = shared_from_this(), at = *at] { self->withdraw(at); });
}

/// Load pattern: an engine whose load is late has a queue, and begins requests that were sent in
/// time behind the time limit of its weights.
void request_exchange::withdraw(time_point due)
{
  if (m_ended || !m_attempt || m_attempt_answered || m_head.status != 0)
  {
    return;
  }
  const auto now = current_time();
  if (now - due < withdrawal_patience && !find_replacement())
  {
    m_withdrawal_timer.start(withdrawal_recheck_interval,
                             [self = shared_from_this(), due] { self->withdraw(due); });
    return;
  }
  m_migrating = true;
  m_attempt->abandon("weights of the engine are too old to begin the request");
  m_migrating = false;
}

/// Tells the agents of the chosen engines how many prompt tokens the request adds.
void request_exchange::notify_agents() const
{
  const std::uint32_t tokens = m_request.labels.prompt_tokens;
  if (tokens == 0)
  {
    return;
  }
  if (m_server.pipeline.empty())
  {
    m_context.on_send(m_server.address.ip, tokens);
    return;
  }
  const unsigned layers = std::max(1U, m_server.pipeline.back().layers.to);
  for (const auto& stage : m_server.pipeline)
  {
    m_context.on_send(stage.address.ip, tokens * (stage.layers.to - stage.layers.from) / layers);
  }
}

std::string request_exchange::serialize_request(const backend_choice& choice) const
{
  const async_io::message_head& head = m_request.head;
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto resume_after = m_event_relay.last_id();
  for (const async_io::header_field& field : head.fields)
  {
    if (async_io::is_connection_field(head, field.name) || is_gateway_field(field.name) ||
        (resume_after && async_io::equals_ignoring_case(field.name, names::last_event)))
    {
      continue;
    }
    async_io::append_field(out, field.name, field.value);
  }
  if (resume_after)
  {
    async_io::append_field(out, names::last_event, std::to_string(*resume_after));
  }
  const routing::queue_input queue{.continues_stream = resume_after.has_value(),
                                   .goes_first = m_goes_first,
                                   .waited = waited(),
                                   .objective = m_request.route->objective,
                                   .rank = m_request.caller.rank,
                                   .known = m_request.table->urgencies(m_request.service)};
  async_io::append_field(out, names::request_priority,
                         std::to_string(routing::queue_priority(queue)));
  const auto left = std::max<std::int64_t>(1, time_left().count());
  async_io::append_field(out, names::time_left_ms, std::to_string(left));
  async_io::append_field(out, names::expected_server, choice.id);
  if (!m_request.caller.team.empty())
  {
    async_io::append_field(out, names::team, m_request.caller.team);
  }
  const bool in_pipeline = !choice.pipeline.empty();
  // The engine may load weights meanwhile that are not known to be whole.
  if (choice.weight_version != 0)
  {
    async_io::append_field(out, names::expected_weights, std::to_string(choice.weight_version));
  }
  if (in_pipeline)
  {
    async_io::append_field(out, names::pipeline, platform::encode_pipeline(choice.pipeline));
  }
  if (!m_request.body.empty() || (head.method != "GET" && head.method != "HEAD"))
  {
    async_io::append_field(out, "Content-Length", std::to_string(m_request.body.size()));
  }
  return out.append("\r\n").append(m_request.body);
}

retry_state request_exchange::make_retry_state(attempt_end last) const
{
  return {.last = last,
          .repeat = m_request.route->repeat,
          .may_have_run = m_may_have_run,
          .max_attempts = m_request.route->max_attempts,
          .attempt_count = m_attempt_count,
          .response_started = m_response_started,
          .can_resume = m_request.route->streaming && m_event_relay.can_resume(),
          .time_remains = time_left() > response_margin};
}

} // namespace pollenyoke::gateway
