#include "Gateway/RequestExchange.h"

#include <algorithm>

#include "Common/Log.h"
#include "Gateway/AdmissionRule.h"
#include "Gateway/UrgencyRule.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::gateway
{

namespace
{

namespace names = platform::names;

// A connection to a live host takes a few ms; a host without power never answers.
constexpr milliseconds connect_timeout{250};
// Silence of an engine after which a stream that may be resumed moves on. Admitted requests have
// their first event within the objective of about half a second; callers give up after 3 s.
constexpr milliseconds stream_silence{1400};
// Silence of a plain server after which an idempotent request is sent to another one, in
// objectives.
constexpr int plain_silence_objectives = 2;
// Engines that answer together need 0.2 s for an event instead of 0.04 s. Most answers end within
// this time; a longer one would reach the route's limit.
constexpr milliseconds pipeline_time{1200};
constexpr milliseconds pipeline_retry{300};
// The answer leaves this much before the limit, so that it reaches the caller in time.
constexpr milliseconds answer_margin{10};

/// Fields that are not passed on to servers: this system sets them or keeps them to itself.
bool is_own_field(std::string_view name)
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
                                   answer_sink sink)
    : m_context(context), m_request(std::move(request)), m_sink(std::move(sink)),
      m_deadline(context.loop), m_silence(context.loop), m_pipeline_timer(context.loop)
{
}

milliseconds request_exchange::full_time() const
{
  return std::min(m_request.labels.time_left.value_or(m_request.route->timeout),
                  m_request.route->timeout);
}

milliseconds request_exchange::time_left() const
{
  const auto used = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                                             m_request.arrived);
  return full_time() - used;
}

void request_exchange::start()
{
  m_context.budget(m_request.service).add_request(m_request.arrived);
  m_context.backends.add_request(m_request.service, m_context.live_entries(), m_request.arrived);
  auto& longest = m_context.longest_time[m_request.route->name];
  longest = std::max(longest, full_time());
  m_deadline.start(std::max(milliseconds(1), time_left() - answer_margin),
                   [self = shared_from_this()] { self->time_is_up(); });
  if (time_left() <= answer_margin)
  {
    refuse(503, milliseconds(100), "no time left");
    return;
  }
  send_next();
}

choice_request request_exchange::wanted_server()
{
  const auto* service = m_request.table->find_service(m_request.service);
  m_minimum_version =
      service != nullptr && service->engine
          ? m_context.versions.minimum(service->model, std::chrono::steady_clock::now())
          : 0;
  return {.service = m_request.service,
          .prompt_tokens = m_request.labels.prompt_tokens,
          .answer_tokens = m_request.labels.answer_tokens,
          .minimum_version = m_minimum_version,
          .newest_version = service != nullptr ? m_context.versions.newest(service->model) : 0,
          .own_domain = m_context.settings.failure_domain,
          .excluded = m_tried};
}

void request_exchange::send_next()
{
  const auto now = std::chrono::steady_clock::now();
  const auto choice = m_context.backends.choose(wanted_server(), now);
  if (m_sends == 0 || !choice)
  {
    admission_input input{.first_byte_ms = std::nullopt,
                          .objective = m_request.route->objective,
                          .time_left = time_left(),
                          .full_time = m_context.longest_time[m_request.route->name],
                          .draw = m_context.draw()};
    if (choice)
    {
      input.first_byte_ms = choice->first_byte_ms;
      input.wait_ms = choice->wait_ms;
    }
    const admission_verdict verdict = decide_admission(input);
    if (!verdict.admitted)
    {
      if (m_may_have_run > 0)
      {
        act(final_action(facts(m_last_end)));
        return;
      }
      refuse(503, verdict.retry_after, choice ? "servers are full" : "no server can be used");
      return;
    }
  }
  if (m_sends > 0 &&
      !m_context.budget(m_request.service).try_repeat(now, m_context.possible_entries()))
  {
    m_last_reason += ", repeat budget used up";
    act(final_action(facts(m_last_end)));
    return;
  }
  send_to(*choice);
}

void request_exchange::send_to(const backend_choice& choice)
{
  ++m_sends;
  m_server = choice;
  m_tried.insert(choice.id);
  m_head = {};
  m_body.clear();
  m_relaying = false;
  m_events.start_new_answer();
  m_context.backends.begin_attempt(choice, std::chrono::steady_clock::now());
  attempt_request request{
      .address = choice.address,
      .request_id = m_request.labels.id,
      .bytes = write_request(choice),
      .is_head = m_request.head.method == "HEAD",
      .may_reuse = m_request.route->repeat == protocol::repeat_rule::idempotent && m_sends == 1,
      .connect_timeout = std::min(connect_timeout, std::max(milliseconds(1), time_left()))};
  const auto self = shared_from_this();
  m_attempt = std::make_shared<backend_attempt>(
      m_context.loop, m_context.pool, std::move(request),
      backend_attempt::handlers{
          .on_head = [self](const async_io::message_head& head) { self->take_head(head); },
          .on_body = [self](const std::string& data) { self->take_body(data); },
          .on_end =
              [self](const attempt_result& result)
          {
            self->attempt_ended(result);
          }});
  restart_silence_timer();
  notify_of_send();
  if (!choice.pipeline.empty())
  {
    m_pipeline_timer.start(pipeline_time, [self] { self->leave_pipeline(); });
  }
  m_attempt->start();
}

/// Tells the agents of the servers how much they have to read for the request.
void request_exchange::notify_of_send() const
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

std::string request_exchange::write_request(const backend_choice& choice) const
{
  const async_io::message_head& head = m_request.head;
  std::string out = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto resume_after = m_events.last_id();
  for (const async_io::header_field& field : head.fields)
  {
    if (async_io::is_connection_field(head, field.name) || is_own_field(field.name) ||
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
  const urgency_input urgency{.continues_stream = resume_after.has_value(),
                              .waited = m_context.longest_time[m_request.route->name] - time_left(),
                              .objective = m_request.route->objective};
  async_io::append_field(out, names::request_priority, std::to_string(choose_rank(urgency)));
  const auto left = std::max<std::int64_t>(1, time_left().count());
  async_io::append_field(out, names::time_left_ms, std::to_string(left));
  async_io::append_field(out, names::expected_server, choice.id);
  if (!m_request.caller.team.empty())
  {
    async_io::append_field(out, names::team, m_request.caller.team);
  }
  const bool together = !choice.pipeline.empty();
  if ((m_minimum_version != 0 || together) && choice.weight_version != 0)
  {
    async_io::append_field(out, names::expected_weights, std::to_string(choice.weight_version));
  }
  if (together)
  {
    async_io::append_field(out, names::pipeline, platform::encode_pipeline(choice.pipeline));
  }
  if (!m_request.body.empty() || (head.method != "GET" && head.method != "HEAD"))
  {
    async_io::append_field(out, "Content-Length", std::to_string(m_request.body.size()));
  }
  return out.append("\r\n").append(m_request.body);
}

void request_exchange::take_head(const async_io::message_head& head)
{
  m_head = head;
  const auto* type = head.find("Content-Type");
  m_relaying = head.status == 200 && m_request.route->streaming && type != nullptr &&
               type->starts_with("text/event-stream");
  restart_silence_timer();
}

void request_exchange::take_body(const std::string& data)
{
  restart_silence_timer();
  if (!m_relaying)
  {
    m_body.append(data);
    return;
  }
  std::string events = m_events.feed(data);
  if (!events.empty())
  {
    flush_stream_head();
    m_sink.body(std::move(events));
  }
}

/// The head waits for the first event: until then the request can move to another server.
void request_exchange::flush_stream_head()
{
  if (!m_answer_started)
  {
    m_answer_started = true;
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - m_request.arrived;
    m_context.metrics.record("first_event_seconds", took.count());
    m_context.metrics.record("first_event_estimate_error_seconds",
                             took.count() - m_server.first_byte_ms / 1000);
    m_sink.head(m_head, std::nullopt);
  }
}

void request_exchange::restart_silence_timer()
{
  if (m_request.route->repeat != protocol::repeat_rule::idempotent)
  {
    return;
  }
  const milliseconds limit = m_request.route->streaming
                                 ? stream_silence
                                 : m_request.route->objective * plain_silence_objectives;
  m_silence.start(limit, [self = shared_from_this()] { self->server_is_silent(); });
}

/// Moves on if that needs no attempt or server that is not there; otherwise the server may still
/// answer.
void request_exchange::server_is_silent()
{
  const auto choice = m_context.backends.choose(wanted_server(), std::chrono::steady_clock::now());
  const bool can_move = m_attempt && choice && m_may_have_run + 1 < m_request.route->max_attempts &&
                        choice->first_byte_ms < static_cast<double>(time_left().count());
  if (can_move)
  {
    m_attempt->abandon("server is silent");
    return;
  }
  restart_silence_timer();
}

void request_exchange::leave_pipeline()
{
  const auto now = std::chrono::steady_clock::now();
  if (m_ended || !m_attempt || m_server.pipeline.empty())
  {
    return;
  }
  retry_facts moved = facts(attempt_end::unknown);
  ++moved.may_have_run;
  const auto choice = m_context.backends.choose(wanted_server(), now);
  const bool can_move =
      choice && choice->pipeline.empty() && decide_retry(moved) == retry_action::again &&
      m_context.budget(m_request.service).allows_repeat(now, m_context.possible_entries());
  if (!can_move)
  {
    m_pipeline_timer.start(pipeline_retry, [self = shared_from_this()] { self->leave_pipeline(); });
    return;
  }
  m_moving = true;
  m_attempt->abandon("answer takes too long in a pipeline");
  m_moving = false;
}

retry_facts request_exchange::facts(attempt_end last) const
{
  return {.last = last,
          .repeat = m_request.route->repeat,
          .may_have_run = m_may_have_run,
          .max_attempts = m_request.route->max_attempts,
          .sends = m_sends,
          .answer_started = m_answer_started,
          .streaming = m_request.route->streaming,
          .caller_waits = time_left() > answer_margin};
}

void request_exchange::attempt_ended(const attempt_result& result)
{
  m_attempt = nullptr;
  m_silence.cancel();
  const auto now = std::chrono::steady_clock::now();
  const bool server_error = result.complete && m_head.status >= 500;
  const bool cut_off = result.complete && m_relaying && !m_events.at_boundary();
  if (result.complete && !server_error && !cut_off)
  {
    m_context.backends.end_attempt(m_server, attempt_health::good, now);
    answer_complete();
    return;
  }
  attempt_end end = server_error ? attempt_end::server_error : result.end;
  if (cut_off)
  {
    end = attempt_end::unknown;
  }
  attempt_health health = attempt_health::failed;
  if (end == attempt_end::not_executed || result.stale_connection || m_moving)
  {
    health = attempt_health::full;
  }
  if (result.misdirected)
  {
    health = attempt_health::misdirected;
  }
  if (result.unreachable)
  {
    health = attempt_health::unreachable;
  }
  m_context.backends.end_attempt(m_server, health, now, result.at_fault);
  m_may_have_run += end == attempt_end::unknown || end == attempt_end::server_error ? 1U : 0U;
  m_last_end = end;
  m_last_reason = server_error ? "server error " + std::to_string(m_head.status) : result.reason;
  m_context.metrics.add("attempts_failed");
  act(decide_retry(facts(end)));
}

void request_exchange::act(retry_action action)
{
  switch (action)
  {
  case retry_action::again:
    send_next();
    return;
  case retry_action::refuse:
    refuse(503, milliseconds(200 + static_cast<int>(200 * m_context.draw())), m_last_reason);
    return;
  case retry_action::outcome_unknown:
    refuse(502, std::nullopt, m_last_reason);
    return;
  case retry_action::pass_on:
    answer_complete();
    return;
  case retry_action::cut:
    close("cut off");
    m_sink.cut();
    return;
  }
}

void request_exchange::answer_complete()
{
  if (m_relaying)
  {
    flush_stream_head();
  }
  else
  {
    m_sink.head(m_head, m_body.size());
    m_sink.body(std::move(m_body));
  }
  close(m_head.status >= 500 ? "server error passed on" : "answered");
  m_sink.finish();
}

void request_exchange::refuse(unsigned status, std::optional<milliseconds> retry_after,
                              std::string_view reason)
{
  const std::string text(reason);
  m_last_reason = text;
  close(status == 503 ? "refused" : "outcome unknown");
  m_sink.refuse(status, retry_after, text);
}

void request_exchange::time_is_up()
{
  if (m_ended)
  {
    return;
  }
  const bool may_have_run = m_may_have_run > 0 || m_attempt != nullptr;
  if (m_attempt)
  {
    m_attempt->cancel();
    m_attempt = nullptr;
    m_context.backends.end_attempt(m_server, attempt_health::failed,
                                   std::chrono::steady_clock::now());
  }
  m_last_reason = "time limit reached";
  if (m_answer_started)
  {
    act(retry_action::cut);
    return;
  }
  refuse(may_have_run ? 504 : 503, std::nullopt, m_last_reason);
}

void request_exchange::cancel()
{
  if (m_ended)
  {
    return;
  }
  if (m_attempt)
  {
    m_attempt->cancel();
    m_attempt = nullptr;
    m_context.backends.end_attempt(m_server, attempt_health::full,
                                   std::chrono::steady_clock::now());
  }
  close("caller left");
}

void request_exchange::close(std::string_view outcome)
{
  m_ended = true;
  m_deadline.cancel();
  m_silence.cancel();
  m_pipeline_timer.cancel();
  const auto now = std::chrono::steady_clock::now();
  m_context.metrics.add("requests_" + std::string(outcome));
  if (outcome == "answered")
  {
    return;
  }
  if (!m_context.log_budget.try_take(1, now))
  {
    ++m_context.dropped_log_lines;
    return;
  }
  log_info(log_category::requests, "request ended",
           {{"id", m_request.labels.id},
            {"outcome", outcome},
            {"reason", m_last_reason},
            {"route", m_request.route->name},
            {"service", m_request.service},
            {"server", m_server.id},
            {"sends", m_sends},
            {"time_left_ms", time_left().count()},
            {"config", m_request.table->config().version}});
}

} // namespace pollenyoke::gateway
