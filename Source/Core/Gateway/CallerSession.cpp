#include "Gateway/CallerSession.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::gateway
{

namespace
{

namespace names = platform::names;
using async_io::append_field;
using async_io::message_kind;
using async_io::parse_failure;

// Limit on pipelined request bytes that are buffered while a response is in progress; more is left
// to the kernel.
constexpr std::size_t max_pipelined_bytes = 65536;
// A caller that does not read its response is disconnected before unsent data exhausts memory.
constexpr std::size_t max_unsent_bytes = 8U << 20U;
// Further requests are not read while more of the answers is unsent.
constexpr std::size_t max_unread_answers = 65536;
// The caller of a request in progress does not read if more of the answer is unsent.
constexpr std::size_t max_unsent_in_progress = 1U << 20U;
// The body of a request in progress is held by its exchange, by the attempt, and by the queue of
// the connection to the server.
constexpr std::size_t body_copies = 3;
constexpr milliseconds memory_retry_after{1000};
// Maximum pause within a request body; after it the caller is assumed to be gone.
constexpr std::chrono::seconds body_idle_timeout{5};

bool has_single_host_field(const async_io::message_head& head)
{
  return head.count("Host") == 1;
}

bool is_supported_method(std::string_view method)
{
  constexpr std::array<std::string_view, 7> known = {"GET",    "HEAD",  "POST",   "PUT",
                                                     "DELETE", "PATCH", "OPTIONS"};
  return std::find(known.begin(), known.end(), method) != known.end();
}

/// Frees the buffer as well, which an assignment keeps.
void release(std::string& text)
{
  std::string().swap(text);
}

std::string encode_chunk(std::string_view data)
{
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string out(size.data(), static_cast<std::size_t>(length));
  return out.append(data).append("\r\n");
}

} // namespace

caller_session::caller_session(gateway_context& context,
                               async_io::tcp_connection::pointer connection, ended_handler on_ended)
    : m_context(context), m_connection(std::move(connection)), m_on_ended(std::move(on_ended)),
      m_timer(context.loop),
      m_parser(message_kind::request, {limits().head_bytes, limits().body_bytes}),
      m_memory_holder(context.memory.add(current_time()))
{
}

const protocol::caller_limits& caller_session::limits() const
{
  static const protocol::caller_limits default_limits;
  return m_context.routes ? m_context.routes->config().limits : default_limits;
}

void caller_session::start()
{
  const auto self = shared_from_this();
  m_connection->tolerate_paused_peer();
  m_connection->set_peer_end_handler([self] { return self->handle_caller_end(); });
  m_connection->set_sent_handler([self] { self->handle_sent(); });
  m_connection->start([self](std::string_view data) { self->receive(data); },
                      [self](async_io::close_reason) { self->close(); });
  restart_idle_timer();
}

void caller_session::restart_idle_timer()
{
  m_timer.start(limits().idle_timeout,
                [self = shared_from_this()]
                {
                  if (self->is_busy())
                  {
                    self->restart_idle_timer();
                    return;
                  }
                  self->close();
                });
}

bool caller_session::is_busy() const
{
  return m_exchange != nullptr || m_parser.has_started() || !m_surplus.empty() || m_closing ||
         m_connection->unsent_bytes() > 0;
}

async_io::memory_budget::holder_id caller_session::memory_holder() const
{
  return m_memory_holder;
}

std::size_t caller_session::held_bytes() const
{
  return m_body.capacity() + m_parser.held_bytes() + m_surplus.capacity() +
         m_connection->unsent_bytes() + m_request_bytes * body_copies;
}

void caller_session::charge_memory()
{
  if (m_closed)
  {
    return;
  }
  const bool needed =
      m_exchange != nullptr && m_connection->unsent_bytes() <= max_unsent_in_progress;
  auto& memory = m_context.memory;
  memory.set(m_memory_holder, held_bytes(), !needed);
  // The answer of a session that closes is on its way.
  if (!m_closing && memory.total() > memory.limit())
  {
    m_context.enforce_memory_limit(0);
  }
}

void caller_session::close_for_memory()
{
  m_context.memory.remove(m_memory_holder);
  if (!m_exchange && m_parser.has_head() && !m_response_begun && !has_ended())
  {
    reject(503, "callers hold too much memory", memory_retry_after);
    return;
  }
  end(m_exchange ? outcome_cut_off : outcome_caller_left);
}

void caller_session::handle_sent()
{
  m_context.memory.note_progress(m_memory_holder, current_time());
  charge_memory();
  if (!has_ended() && std::exchange(m_answers_unread, false))
  {
    m_connection->resume_reading();
    read_surplus();
  }
}

void caller_session::read_surplus()
{
  if (!m_surplus.empty())
  {
    m_context.loop.post([self = shared_from_this()]
                        { self->receive(std::exchange(self->m_surplus, {})); });
  }
}

bool caller_session::has_ended() const
{
  return m_closed || m_closing;
}

void caller_session::close_if_idle()
{
  if (!is_busy())
  {
    // A request that has arrived meanwhile is answered.
    m_connection->poll();
  }
  if (!is_busy())
  {
    close();
  }
}

void caller_session::close()
{
  end(outcome_caller_left);
}

void caller_session::end_if_quarantined()
{
  if (const auto exchange = m_exchange)
  {
    exchange->end_if_quarantined();
  }
}

void caller_session::leave_engines(const std::set<std::string>& engines)
{
  if (const auto exchange = m_exchange)
  {
    exchange->leave_engines(engines);
  }
}

/// While its server is at work, the end of the sending side is how a caller leaves.
bool caller_session::handle_caller_end()
{
  if (m_exchange || has_ended())
  {
    return false;
  }
  close_when_sent();
  return true;
}

void caller_session::answer_for_stop()
{
  if (const auto exchange = m_exchange)
  {
    exchange->answer_for_stop();
    return;
  }
  if (m_parser.has_head() && !m_parser.is_complete() && !m_response_begun && !has_ended())
  {
    m_keep_alive = false;
    respond(503, milliseconds(0), "process stops");
    close_when_sent();
  }
}

bool caller_session::cut()
{
  const bool is_cut = m_exchange != nullptr || m_connection->unsent_bytes() > 0;
  end(outcome_cut_by_stop);
  return is_cut;
}

void caller_session::end(std::string_view outcome)
{
  if (m_closed)
  {
    return;
  }
  m_closed = true;
  m_timer.cancel();
  m_context.memory.remove(m_memory_holder);
  if (m_exchange)
  {
    m_exchange->cancel(outcome);
    m_exchange = nullptr;
  }
  else if (m_connection->unsent_bytes() > 0)
  {
    log_info(log_category::requests, "answer not delivered",
             {{"id", m_answered_id},
              {"outcome", outcome},
              {"unsent_bytes", m_connection->unsent_bytes()}});
  }
  m_connection->close();
  m_on_ended(shared_from_this());
}

void caller_session::receive(std::string_view data)
{
  if (has_ended())
  {
    return;
  }
  m_context.memory.note_progress(m_memory_holder, current_time());
  if (!m_surplus.empty() || m_answers_unread)
  {
    m_surplus.append(data);
    charge_memory();
    return;
  }
  const bool first = !m_parser.has_started();
  m_parser.feed(data);
  if (m_exchange)
  {
    // Keeps reading to detect the caller's close.
    if (m_parser.surplus_bytes() > max_pipelined_bytes)
    {
      m_connection->pause_reading();
    }
    charge_memory();
    return;
  }
  if (first && !m_parser.has_head())
  {
    m_timer.start(limits().head_timeout, [self = shared_from_this()]
                  { self->reject(408, "head of the request not received in time"); });
  }
  parse();
  charge_memory();
}

void caller_session::parse()
{
  if (has_ended() || m_exchange)
  {
    return;
  }
  if (m_parser.failure() != parse_failure::none)
  {
    const auto failure = m_parser.failure();
    reject(failure == parse_failure::head_too_large   ? 431
           : failure == parse_failure::body_too_large ? 413
                                                      : 400,
           "request cannot be read");
    return;
  }
  if (!m_parser.has_head())
  {
    return;
  }
  if (!m_head_checked)
  {
    m_head_checked = true;
    check_head();
    if (has_ended())
    {
      return;
    }
  }
  std::string body = m_parser.take_body();
  if (!m_response_begun)
  {
    m_body.append(body);
  }
  if (!m_parser.is_complete())
  {
    m_timer.start(body_idle_timeout, [self = shared_from_this()]
                  { self->reject(408, "body of the request not received in time"); });
    return;
  }
  m_timer.cancel();
  if (m_response_begun)
  {
    next_request();
    return;
  }
  const std::size_t more_bytes = m_body.size() * (body_copies - 1);
  m_context.memory.set(m_memory_holder, held_bytes(), false);
  m_context.enforce_memory_limit(more_bytes);
  if (!m_context.memory.fits(more_bytes))
  {
    reject(503, "callers hold too much memory", memory_retry_after);
    return;
  }
  begin_request();
}

void caller_session::check_head()
{
  const async_io::message_head& head = m_parser.head();
  m_keep_alive = m_parser.keep_alive();
  m_request = {};
  m_request.arrived = current_time();
  m_request.labels = platform::decode_labels(head);
  m_request_id = m_request.labels.id;
  m_route_table = m_context.routes;
  if (!has_single_host_field(head) || !is_supported_method(head.method) ||
      !head.target.starts_with('/'))
  {
    reject(400, "request is not valid");
    return;
  }
  if (const auto* expect = head.find("Expect");
      expect != nullptr && async_io::equals_ignoring_case(*expect, "100-continue"))
  {
    m_connection->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!m_route_table)
  {
    respond(503, milliseconds(500), "no configuration yet");
    return;
  }
  const protocol::route* route =
      m_route_table->find(*head.find("Host"), async_io::path_of(head.target));
  if (route == nullptr)
  {
    respond(404, std::nullopt, "no route");
    return;
  }
  m_request.caller = identify_caller(m_route_table->config(), *route, m_request.labels.key);
  if (!m_request.caller.accepted)
  {
    respond(401, std::nullopt, "key is not known");
    return;
  }
  m_request.route = route;
}

void caller_session::begin_request()
{
  m_request.head = m_parser.head();
  m_request.body = std::move(m_body);
  release(m_body);
  m_request_bytes = m_request.body.size();
  m_request.table = m_route_table;
  m_request.service = choose_service(*m_request.route, m_context.random_fraction());
  m_exchange = std::make_shared<request_exchange>(m_context, std::move(m_request), make_sink());
  m_request = {};
  // start() may complete synchronously and reset m_exchange; this copy keeps the object alive.
  const auto exchange = m_exchange;
  exchange->start();
}

response_sink caller_session::make_sink()
{
  const auto self = shared_from_this();
  return {
      .head = [self](const async_io::message_head& head, std::optional<std::size_t> size)
      { self->write_head(head, size); },
      .body = [self](std::string data) { self->write_body(std::move(data)); },
      .finish = [self] { self->finish_response(); },
      .refuse =
          [self](unsigned status, std::optional<milliseconds> retry_after, std::string_view reason)
      {
        self->respond(status, retry_after, reason);
        self->m_exchange = nullptr;
        self->next_request();
      },
      .abort =
          [self]
      {
        self->close();
      }};
}

bool caller_session::has_next_request() const
{
  return !m_surplus.empty() || (m_parser.is_complete() && m_parser.surplus_bytes() > 0);
}

/// In a stop, requests that were read behind this one are answered before the connection closes.
bool caller_session::should_keep_alive() const
{
  return m_keep_alive && (!m_context.stop_started || has_next_request());
}

/// The caller would read a second head as a part of the first body, or as the response to its next
/// request. Forwarded and generated responses all pass here.
bool caller_session::begin_response(unsigned status)
{
  if (!std::exchange(m_response_begun, true))
  {
    return true;
  }
  log_warning(log_category::requests, "second response to a request; closing the connection",
              {{"id", m_request_id}, {"status", status}});
  m_context.metrics.add("second_responses");
  end(outcome_cut_off);
  return false;
}

void caller_session::write_head(const async_io::message_head& head,
                                std::optional<std::size_t> body_size)
{
  if (!begin_response(head.status))
  {
    return;
  }
  std::string out = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
  for (const async_io::header_field& field : head.fields)
  {
    if (!async_io::is_connection_field(head, field.name))
    {
      append_field(out, field.name, field.value);
    }
  }
  const bool is_http_1_0 = m_parser.head().version < 11;
  m_chunked = !body_size && !is_http_1_0;
  if (body_size)
  {
    append_field(out, "Content-Length", std::to_string(*body_size));
  }
  else if (m_chunked)
  {
    append_field(out, "Transfer-Encoding", "chunked");
  }
  else
  {
    m_keep_alive = false;
    m_connection->reset_unless_all_is_sent();
  }
  if (!should_keep_alive())
  {
    m_keep_alive = false;
    append_field(out, "Connection", "close");
  }
  m_connection->write(out.append("\r\n"));
}

void caller_session::write_body(std::string data)
{
  if (data.empty())
  {
    return;
  }
  // What is written now counts as unsent until the next turn of the loop.
  const bool is_behind = m_connection->unsent_bytes() > max_unread_answers;
  m_connection->write(m_chunked ? encode_chunk(data) : std::move(data));
  if (is_behind)
  {
    charge_memory();
    if (has_ended())
    {
      return;
    }
  }
  if (m_connection->unsent_bytes() > max_unsent_bytes)
  {
    log_warning(log_category::requests, "caller does not read its response; closing the connection",
                {{"id", m_request_id}});
    close();
  }
}

void caller_session::finish_response()
{
  if (m_chunked)
  {
    m_connection->write("0\r\n\r\n");
    m_chunked = false;
  }
  m_exchange = nullptr;
  next_request();
}

void caller_session::respond(unsigned status, std::optional<milliseconds> retry_after,
                             std::string_view reason)
{
  if (!begin_response(status))
  {
    return;
  }
  std::string extra;
  if (!m_request_id.empty())
  {
    append_field(extra, names::request_id, m_request_id);
  }
  if (retry_after)
  {
    std::array<char, 24> seconds{};
    const int length = std::snprintf(seconds.data(), seconds.size(), "%.3f",
                                     static_cast<double>(retry_after->count()) / 1000);
    append_field(extra, "Retry-After",
                 std::string_view(seconds.data(), static_cast<std::size_t>(length)));
  }
  m_keep_alive = should_keep_alive();
  m_connection->write(async_io::make_response(status, "text/plain", std::string(reason) + "\n",
                                              m_keep_alive, extra));
  if (status != 503)
  {
    m_context.metrics.add("answers_" + std::to_string(status));
  }
}

void caller_session::reject(unsigned status, std::string_view reason,
                            std::optional<milliseconds> retry_after)
{
  log_debug(log_category::requests, "request rejected",
            {{"id", m_request_id}, {"status", status}, {"reason", reason}});
  m_keep_alive = false;
  // A request that was answered by its head alone needs no answer to its body.
  if (!m_response_begun)
  {
    respond(status, retry_after, reason);
  }
  close_when_sent();
}

/// The session counts as open until then, so that a planned stop waits for it.
void caller_session::close_when_sent()
{
  if (!m_connection->is_open())
  {
    close();
    return;
  }
  m_closing = true;
  if (!m_exchange)
  {
    release(m_body);
    m_request_bytes = 0;
  }
  charge_memory();
  m_answered_id = m_request_id.empty() ? m_answered_id : m_request_id;
  m_timer.cancel();
  m_connection->close_when_sent([self = shared_from_this()](async_io::close_reason)
                                { self->close(); });
}

void caller_session::next_request()
{
  if (has_ended())
  {
    return;
  }
  if (!m_keep_alive)
  {
    close_when_sent();
    return;
  }
  m_answered_id = m_request_id;
  m_surplus = m_parser.take_surplus();
  m_request_bytes = 0;
  m_answers_unread = m_connection->unsent_bytes() > max_unread_answers;
  if (m_answers_unread)
  {
    m_connection->pause_reading();
  }
  else
  {
    m_connection->resume_reading();
  }
  m_parser =
      async_io::http_parser(message_kind::request, {limits().head_bytes, limits().body_bytes});
  m_head_checked = false;
  m_response_begun = false;
  release(m_body);
  m_request_id.clear();
  restart_idle_timer();
  if (!m_answers_unread)
  {
    read_surplus();
  }
}

} // namespace pollenyoke::gateway
