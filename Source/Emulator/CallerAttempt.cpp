#include "Emulator/CallerAttempt.h"

#include <algorithm>
#include <cstdlib>

#include "Emulator/Deployment.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;
using std::chrono::milliseconds;

// The servers' answers have a few kilobytes.
constexpr async_io::parse_limits response_limits{65536, 1U << 20U};
constexpr milliseconds connect_timeout{1000};
// Servers close idle connections after a stated time; callers use them up to four fifths of it.
constexpr milliseconds idle_lifetime{12000};
constexpr unsigned most_answer_tokens = 100;

bool is_refusal(unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::optional<milliseconds> read_retry_after(const async_io::message_head& head)
{
  const auto* text = head.find("Retry-After");
  if (text == nullptr)
  {
    return std::nullopt;
  }
  return milliseconds(static_cast<std::int64_t>(std::strtod(text->c_str(), nullptr) * 1000));
}

} // namespace

request_kind kind_of(const protocol::route& route)
{
  if (route.repeat != protocol::repeat_rule::idempotent)
  {
    return request_kind::once;
  }
  return route.streaming ? request_kind::resumable_stream : request_kind::idempotent;
}

caller_attempt::caller_attempt(async_io::event_loop& loop, recorder& record,
                               async_io::idle_pool& pool)
    : m_loop(loop), m_record(record), m_pool(pool), m_deadline(loop),
      m_parser(async_io::message_kind::response, response_limits)
{
}

attempt& caller_attempt::entry()
{
  return m_record.attempt_at(m_attempt);
}

void caller_attempt::start(const caller_request& request, const std::string& id,
                           const std::string& machine, const transport::endpoint& address,
                           bool may_reuse, handler done)
{
  m_request = request;
  m_id = id;
  m_address = address;
  m_done = std::move(done);
  const moment now = m_record.now();
  const auto limit = std::min(request.deadline, request.route.timeout);
  m_attempt = m_record.add_attempt({.id = id,
                                    .machine = machine,
                                    .route = request.route.name,
                                    .service = request.route.targets.front().service,
                                    .kind = kind_of(request.route),
                                    .key = request.key,
                                    .team = request.team,
                                    .sent = now,
                                    .due = now + std::chrono::duration<double>(limit).count(),
                                    .is_probe = request.is_probe});
  const auto self = shared_from_this();
  // Callers wait a little beyond the deadline that they state.
  const auto wait = request.patience.value_or(request.deadline + milliseconds(500));
  m_deadline.start(wait,
                   [self]
                   {
                     self->entry().gave_up = true;
                     self->end(answer_state::none);
                   });
  m_connection = may_reuse ? m_pool.take(address) : nullptr;
  if (m_connection)
  {
    send();
    return;
  }
  m_connection = async_io::tcp_connection::make(m_loop);
  m_connection->connect(address, connect_timeout,
                        [self](const result<void>& outcome)
                        {
                          if (!outcome)
                          {
                            self->end(answer_state::none);
                            return;
                          }
                          self->send();
                        });
}

void caller_attempt::send()
{
  if (m_ended)
  {
    return;
  }
  const auto self = shared_from_this();
  m_connection->start(
      [self](std::string_view data) { self->receive(data); },
      [self](async_io::close_reason reason)
      {
        if (reason == async_io::close_reason::end_of_stream && self->m_parser.has_head())
        {
          self->m_parser.feed_end();
        }
        if (self->m_parser.is_complete())
        {
          self->finish_answer();
          return;
        }
        self->end(self->m_parser.has_started() ? answer_state::cut : answer_state::none);
      });
  const bool has_body = kind_of(m_request.route) != request_kind::idempotent;
  std::string out = (has_body ? "POST " : "GET ") + m_request.route.path_prefix + "x?of=" + m_id +
                    " HTTP/1.1\r\n";
  async_io::append_field(out, "Host", m_request.route.host);
  async_io::append_field(out, names::request_id, m_id);
  async_io::append_field(out, names::time_left_ms, std::to_string(m_request.deadline.count()));
  async_io::append_field(out, names::caller_key, m_request.key);
  if (m_request.route.streaming)
  {
    async_io::append_field(out, names::token_counts,
                           std::to_string(m_request.prompt_tokens) + "," +
                               std::to_string(most_answer_tokens));
  }
  const std::string body = has_body ? make_body(m_id, 0) : "";
  if (has_body)
  {
    async_io::append_field(out, "Content-Length", std::to_string(body.size()));
  }
  m_connection->write(out.append("\r\n").append(body));
}

void caller_attempt::receive(std::string_view data)
{
  m_parser.feed(data);
  if (m_parser.failure() != async_io::parse_failure::none)
  {
    end(answer_state::wrong, "bytes that are no answer");
    return;
  }
  if (!m_parser.has_head())
  {
    return;
  }
  if (!m_head_checked)
  {
    check_head();
  }
  const std::string body = m_parser.take_body();
  if (m_stream)
  {
    m_stream->feed(body);
    if (!m_stream->problem().empty())
    {
      end(answer_state::wrong, m_stream->problem());
      return;
    }
  }
  else
  {
    m_body.append(body);
  }
  if (m_parser.is_complete())
  {
    finish_answer();
  }
}

void caller_attempt::check_head()
{
  m_head_checked = true;
  const async_io::message_head& head = m_parser.head();
  entry().status = head.status;
  const protocol::server_notice notice = platform::decode_notice(head);
  entry().server_leaves = notice.leaving;
  entry().server_limited = notice.limit.has_value();
  entry().answered = m_record.now();
  if (head.status == 200 && m_request.route.streaming)
  {
    m_stream.emplace(m_id);
  }
}

void caller_attempt::finish_answer()
{
  if (m_ended)
  {
    return;
  }
  if (!m_head_checked)
  {
    check_head();
  }
  const async_io::message_head& head = m_parser.head();
  const auto* signature = head.find(names::signature);
  if (m_stream)
  {
    m_stream->end();
  }
  std::string problem;
  if (head.status == 200)
  {
    problem = signature == nullptr ? "success without a signature"
              : m_stream           ? m_stream->problem()
                                   : check_body(m_id, *signature, m_body);
  }
  else if (signature != nullptr && head.status != 500)
  {
    problem = "failure with a signature that no server gave to it";
  }
  if (m_parser.surplus_bytes() > 0)
  {
    problem = "bytes after the answer";
  }
  if (m_parser.keep_alive() && problem.empty() && m_connection->is_open())
  {
    m_pool.put(m_address, m_connection, idle_lifetime);
    m_connection = nullptr;
  }
  end(problem.empty() ? answer_state::whole : answer_state::wrong, problem);
}

void caller_attempt::end(answer_state state, const std::string& problem)
{
  if (m_ended)
  {
    return;
  }
  m_ended = true;
  m_deadline.cancel();
  if (m_connection && m_connection->is_open())
  {
    m_connection->close();
  }
  attempt& sent = entry();
  sent.ended = m_record.now();
  sent.answer = state;
  sent.problem = problem;
  attempt_outcome outcome{m_attempt, std::nullopt};
  if (state == answer_state::whole && is_refusal(sent.status))
  {
    outcome.retry_after = read_retry_after(m_parser.head());
  }
  // The handler may hold the last reference to this object.
  const auto done = std::move(m_done);
  m_done = nullptr;
  done(outcome);
}

} // namespace pollenyoke::emulator
