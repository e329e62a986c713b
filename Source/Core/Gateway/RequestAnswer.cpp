#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Gateway/RequestExchange.h"
#include "platform/Decode.h"

namespace pollenyoke::gateway
{

namespace
{

constexpr milliseconds pipeline_recheck_interval{300};
// While a server is silent, a server or a retry that the request may use can appear at any time.
constexpr milliseconds silence_recheck_interval{200};
// Responses that are read whole before they are forwarded. Callers may send as much.
constexpr std::size_t max_buffered_response_bytes = 4U << 20U;

} // namespace

void request_exchange::handle_notice(const protocol::server_notice& notice)
{
  const auto now = current_time();
  if (!notice.unreadable_pause.empty() && m_context.log_budget.try_take(1, now))
  {
    log_warning(log_category::requests, "pause of a backend server cannot be read",
                {{"server", m_server.id}, {"value", notice.unreadable_pause}});
  }
  handle_limit(notice);
  if (notice.cold_remaining)
  {
    m_context.backends.add_cold(m_server.id, *notice.cold_remaining, now);
  }
  if (notice.pause &&
      m_context.backends.begin_pause(m_server.id, m_server.started_ms, *notice.pause, now))
  {
    m_context.metrics.add("server_pauses");
  }
  if (notice.leaving &&
      m_context.backends.add_leaving(m_server.id, m_server.started_ms, notice_source::answer, now))
  {
    m_context.pool.drop(m_server.address);
    m_context.metrics.add("servers_leaving_by_answer");
    m_context.tell_entries(peers::server_leaving{m_server.id, m_server.started_ms});
  }
}

void request_exchange::handle_limit(const protocol::server_notice& notice)
{
  const auto now = current_time();
  if (!notice.unreadable_limit.empty() && m_context.log_budget.try_take(1, now))
  {
    log_warning(log_category::requests, "limit of a backend server cannot be read",
                {{"server", m_server.id}, {"value", notice.unreadable_limit}});
  }
  if (notice.limit && m_context.backends.name_limit(m_server.id, m_server.started_ms, *notice.limit,
                                                    m_sent_at, now))
  {
    m_context.metrics.add("server_limits");
    m_context.tell_entries(peers::server_limit{
        .server = m_server.id, .started_ms = m_server.started_ms, .per_second = *notice.limit});
  }
}

void request_exchange::handle_head(const async_io::message_head& head)
{
  m_head = head;
  const bool success = head.status >= 200 && head.status < 300;
  if (success && !platform::decode_notice(head).names_limit() &&
      m_context.backends.end_limit(m_server.id, m_server.started_ms, m_sent_at))
  {
    m_context.metrics.add("server_limits_ended");
    m_context.tell_entries(peers::server_limit{
        .server = m_server.id, .started_ms = m_server.started_ms, .ended = true});
  }
  const auto* type = head.find("Content-Type");
  m_relaying_events = head.status == 200 && m_request.route->streaming && type != nullptr &&
                      type->starts_with("text/event-stream");
  restart_silence_timer();
}

void request_exchange::handle_body(const std::string& data)
{
  if (!m_relaying_events)
  {
    restart_silence_timer();
    m_body.append(data);
    if (m_body.size() > max_buffered_response_bytes)
    {
      m_attempt->abandon("answer is too long");
    }
    return;
  }
  std::string events = m_event_relay.feed(data);
  if (!events.empty())
  {
    // Bytes that complete no event do not count as progress.
    restart_silence_timer();
    note_event();
    flush_stream_head();
    m_sink.body(std::move(events));
  }
  else if (m_event_relay.is_overlong())
  {
    m_attempt->abandon("event is too long");
  }
}

/// Delays the head until the first event, so that the request can still move to another server.
void request_exchange::flush_stream_head()
{
  if (!m_response_started)
  {
    m_response_started = true;
    m_context.overload[m_request.service].note_answer(m_admitted, current_time());
    const std::chrono::duration<double> elapsed = current_time() - m_request.arrived;
    m_context.metrics.record("first_event_seconds", elapsed.count());
    m_context.metrics.record("first_event_estimate_error_seconds",
                             elapsed.count() - m_server.first_byte_ms / 1000);
    m_sink.head(m_head, std::nullopt);
  }
}

void request_exchange::restart_silence_timer()
{
  if (m_request.route->repeat != protocol::repeat_rule::idempotent)
  {
    return;
  }
  m_silence_timer.start(silence_limit(*m_request.route),
                        [self = shared_from_this()] { self->handle_silence(); });
}

/// An attempt whose server may still respond is abandoned only where the request can really be sent
/// again: otherwise an answer that would have come is cut.
std::optional<backend_choice> request_exchange::find_replacement()
{
  const auto now = current_time();
  retry_state moved = make_retry_state(attempt_end::unknown);
  ++moved.may_have_run;
  if (!m_attempt || decide_retry(moved) != retry_action::retry ||
      !m_context.budget(m_request.service).allows_retry(now, m_context.possible_entries()))
  {
    return std::nullopt;
  }
  // Whether a limited server has a permit is not known before it is asked for.
  choice_request request = make_choice_request();
  request.without_limited = true;
  auto choice = m_context.backends.choose(request, now);
  const bool in_time = choice && choice->first_byte_ms < static_cast<double>(time_left().count());
  return in_time ? std::move(choice) : std::nullopt;
}

void request_exchange::handle_silence()
{
  if (find_replacement())
  {
    m_attempt->abandon("server is silent");
    return;
  }
  m_silence_timer.start(silence_recheck_interval,
                        [self = shared_from_this()] { self->handle_silence(); });
}

void request_exchange::leave_pipeline()
{
  if (m_ended || !m_attempt || m_server.pipeline.empty())
  {
    return;
  }
  const auto choice = find_replacement();
  if (!choice || !choice->pipeline.empty())
  {
    m_pipeline_timer.start(pipeline_recheck_interval,
                           [self = shared_from_this()] { self->leave_pipeline(); });
    return;
  }
  m_migrating = true;
  m_attempt->abandon("answer takes too long in a pipeline");
  m_migrating = false;
}

attempt_health request_exchange::health_after(const attempt_result& failed, attempt_end end) const
{
  if (failed.unreachable)
  {
    return attempt_health::unreachable;
  }
  if (failed.misdirected)
  {
    return attempt_health::misdirected;
  }
  const bool withheld = end == attempt_end::not_sent;
  const bool is_neutral =
      end == attempt_end::not_executed || failed.stale_connection || m_migrating || withheld;
  return is_neutral ? attempt_health::neutral : attempt_health::failed;
}

void request_exchange::handle_attempt_end(const attempt_result& result)
{
  m_attempt = nullptr;
  m_silence_timer.cancel();
  m_withdrawal_timer.cancel();
  const auto now = current_time();
  const bool server_error = result.complete && m_head.status >= 500;
  // An answer that ends with its connection is complete only if its server has sent events.
  const bool is_empty = result.connection_lost && !m_attempt_answered;
  const bool truncated =
      result.complete && m_relaying_events && (!m_event_relay.at_event_boundary() || is_empty);
  // The caller has the head of an earlier attempt, so that only events can follow.
  const bool not_continued =
      result.complete && !server_error && m_response_started && !m_relaying_events;
  if (result.complete && !server_error && !truncated && !not_continued)
  {
    if (m_head.status < 300)
    {
      note_proof();
    }
    m_context.backends.end_attempt(m_server, attempt_health::healthy, now);
    forward_response();
    return;
  }
  attempt_end end = server_error || not_continued ? attempt_end::server_error : result.end;
  if (truncated)
  {
    end = attempt_end::unknown;
  }
  const attempt_health health = not_continued ? attempt_health::healthy : health_after(result, end);
  m_context.backends.end_attempt(m_server, health, now, result.at_fault);
  if (result.connection_lost && !not_continued && !m_attempt_proven)
  {
    m_server_lost = !result.stale_connection;
    m_context.crashes.add_lost_request(m_server, m_content);
  }
  m_may_have_run += end == attempt_end::unknown || end == attempt_end::server_error ? 1U : 0U;
  m_last_end = end;
  m_last_reason = result.reason;
  if (end == attempt_end::server_error)
  {
    m_last_reason = (not_continued ? "stream not continued, status " : "server error ") +
                    std::to_string(m_head.status);
  }
  m_context.metrics.add("attempts_failed");
  apply(decide_retry(make_retry_state(end)));
}

void request_exchange::apply(retry_action action)
{
  switch (action)
  {
  case retry_action::retry:
    retry();
    return;
  case retry_action::refuse:
    refuse(503, milliseconds(200 + static_cast<int>(200 * m_context.random_fraction())),
           m_last_reason);
    return;
  case retry_action::outcome_unknown:
    refuse(502, std::nullopt, m_last_reason);
    return;
  case retry_action::forward_error:
    forward_response();
    return;
  case retry_action::abort:
    end_request(outcome_cut_off);
    m_sink.abort();
    return;
  }
}

void request_exchange::forward_response()
{
  if (m_relaying_events)
  {
    flush_stream_head();
  }
  else
  {
    if (m_head.status < 400)
    {
      m_context.overload[m_request.service].note_answer(m_admitted, current_time());
    }
    m_sink.head(m_head, m_body.size());
    m_sink.body(std::move(m_body));
  }
  if (m_ended)
  {
    // The connection was closed, for example for the memory that it held.
    return;
  }
  end_request(m_head.status >= 500 ? "server error passed on" : "answered");
  m_sink.finish();
}

void request_exchange::refuse(unsigned status, std::optional<milliseconds> retry_after,
                              std::string_view reason)
{
  const std::string text(reason);
  m_last_reason = text;
  end_request(status == 503 ? "refused" : "outcome unknown");
  m_sink.refuse(status, retry_after, text);
}

void request_exchange::handle_deadline()
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
    m_context.backends.end_attempt(m_server, attempt_health::failed, current_time());
  }
  m_last_reason = "time limit reached";
  if (m_response_started)
  {
    apply(retry_action::abort);
    return;
  }
  refuse(may_have_run ? 504 : 503, std::nullopt, m_last_reason);
}

void request_exchange::cancel(std::string_view outcome)
{
  if (m_ended)
  {
    return;
  }
  if (m_attempt)
  {
    m_attempt->cancel();
    m_attempt = nullptr;
    m_context.backends.end_attempt(m_server, attempt_health::neutral, current_time());
  }
  end_request(outcome);
}

void request_exchange::end_request(std::string_view outcome)
{
  m_ended = true;
  m_context.overload[m_request.service].note_end(m_admitted);
  m_deadline_timer.cancel();
  m_silence_timer.cancel();
  m_pipeline_timer.cancel();
  m_withdrawal_timer.cancel();
  m_retry_timer.cancel();
  end_trial();
  const auto now = current_time();
  m_context.metrics.add("requests_" + std::string(outcome));
  if (outcome == "answered")
  {
    return;
  }
  // A caller that got no whole answer asks why; refusals may be too many to tell.
  const bool is_cut = outcome == outcome_cut_off || outcome == outcome_cut_by_stop;
  auto& budget =
      outcome == outcome_caller_left ? m_context.departure_log_budget : m_context.log_budget;
  if (!is_cut && !budget.try_take(1, now))
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
            {"sends", m_attempt_count},
            {"time_left_ms", time_left().count()},
            {"config", m_request.table->config().version}});
}

} // namespace pollenyoke::gateway
