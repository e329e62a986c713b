#include "Gateway/BackendAttempt.h"

#include <algorithm>

#include "Common/BootClock.h"
#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::gateway
{

namespace
{

namespace names = platform::names;
using async_io::message_head;
using async_io::message_kind;
using std::chrono::milliseconds;

constexpr async_io::parse_limits response_limits{65536, 16U << 20U};
constexpr unsigned switching_protocols = 101;
// Interim responses and late responses to other requests come singly; a server that sends more of
// them than this is faulty.
constexpr unsigned max_skipped_messages = 16;
// Bytes before the response to the request itself.
constexpr std::size_t max_skipped_bytes = 1U << 20U;
// Used when the server does not state its keep-alive timeout; servers keep idle connections for at
// least a few seconds.
constexpr milliseconds default_idle_timeout{2000};
constexpr milliseconds max_idle_timeout{8000};
// A request on a pooled connection meets the server's close within a round trip.
constexpr milliseconds stale_close_time{30};
// Subtracted from the stated timeout, so that a request does not race with the server's close.
constexpr milliseconds idle_margin{1000};

/// How long the connection may stay in the pool after this response.
milliseconds pool_lifetime(const message_head& head)
{
  const auto* keep_alive = head.find("Keep-Alive");
  if (keep_alive == nullptr)
  {
    return default_idle_timeout;
  }
  constexpr std::string_view parameter = "timeout=";
  const auto at = keep_alive->find(parameter);
  if (at == std::string::npos)
  {
    return default_idle_timeout;
  }
  std::string_view digits = std::string_view(*keep_alive).substr(at + parameter.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  std::uint64_t seconds = 0;
  if (!async_io::parse_number(digits, seconds))
  {
    return default_idle_timeout;
  }
  const milliseconds stated = std::chrono::seconds(std::min<std::uint64_t>(seconds, 3600));
  return std::min(max_idle_timeout, stated - idle_margin);
}

/// A 2xx response is valid only if it is signed, carries the request id and has no content
/// encoding.
bool is_invalid(const message_head& head)
{
  const bool success = head.status >= 200 && head.status < 300;
  return success &&
         (head.find(names::signature) == nullptr || head.find(names::request_id) == nullptr ||
          head.find("Content-Encoding") != nullptr);
}

} // namespace

backend_attempt::backend_attempt(async_io::event_loop& loop, async_io::idle_pool& pool,
                                 attempt_request request, handlers callbacks)
    : m_loop(loop), m_pool(pool), m_request(std::move(request)), m_handlers(std::move(callbacks)),
      m_parser(message_kind::response, response_limits)
{
}

void backend_attempt::start()
{
  if (m_request.may_reuse)
  {
    m_connection = m_pool.take(m_request.address);
  }
  if (m_connection)
  {
    m_reused = true;
    send();
    return;
  }
  m_connection = async_io::tcp_connection::make(m_loop);
  m_connection->connect(m_request.address, m_request.connect_timeout,
                        [self = shared_from_this()](const result<void>& outcome)
                        {
                          if (self->m_ended)
                          {
                            return;
                          }
                          if (!outcome)
                          {
                            self->end({.end = attempt_end::not_sent,
                                       .unreachable = true,
                                       .reason = outcome.error().message});
                            return;
                          }
                          self->send();
                        });
}

void backend_attempt::send()
{
  if (!m_request.may_send())
  {
    end({.end = attempt_end::not_sent, .reason = "server wants no more requests"});
    return;
  }
  const auto self = shared_from_this();
  if (m_request.is_head)
  {
    m_parser.expect_no_body();
  }
  m_sent = true;
  m_sent_at = current_time();
  m_connection->start([self](std::string_view data) { self->receive(data); },
                      [self](async_io::close_reason reason) { self->connection_ended(reason); });
  m_connection->write(m_request.bytes);
}

void backend_attempt::receive(std::string_view data)
{
  if (m_ended)
  {
    return;
  }
  m_data_received = true;
  m_skipped_bytes += m_head_accepted ? 0 : data.size();
  if (m_skipped_bytes > max_skipped_bytes)
  {
    end({.reason = "server sends other bytes than an answer"});
    return;
  }
  m_parser.feed(data);
  process();
}

void backend_attempt::process()
{
  while (!m_ended)
  {
    if (m_parser.failure() != async_io::parse_failure::none)
    {
      end({.reason = "answer is not valid HTTP"});
      return;
    }
    if (!m_parser.has_head() || (!m_head_accepted && !m_skip_message && !process_head()))
    {
      return;
    }
    std::string body = m_parser.take_body();
    if (!m_skip_message && !body.empty())
    {
      // The handler may end the attempt, which clears the handlers.
      const auto on_body = m_handlers.on_body;
      on_body(std::move(body));
    }
    if (m_ended || !m_parser.is_complete())
    {
      return;
    }
    if (!m_skip_message)
    {
      complete();
      return;
    }
    if (++m_skipped_messages > max_skipped_messages)
    {
      end({.reason = "server sends answers to other requests"});
      return;
    }
    start_next_message();
  }
}

bool backend_attempt::process_head()
{
  const message_head& head = m_parser.head();
  if (head.status == switching_protocols)
  {
    end({.reason = "server changes to a protocol that no one asked for"});
    return false;
  }
  if (head.status < 200)
  {
    m_skip_message = true;
    return true;
  }
  take_notice(head);
  const auto* id = head.find(names::request_id);
  if (id != nullptr && *id != m_request.request_id)
  {
    // A late duplicate response to an earlier request; the response to this one may follow.
    m_skip_message = true;
    m_reusable = false;
    return true;
  }
  if (platform::says_not_executed(head))
  {
    const auto* at_fault = head.find(names::server_at_fault);
    end({.end = attempt_end::not_executed,
         .misdirected = head.status == 421,
         .at_fault = at_fault == nullptr ? std::string{} : *at_fault,
         .reason = "server refused with status " + std::to_string(head.status)});
    return false;
  }
  if (is_invalid(head))
  {
    end({.reason = "answer without signature or with an encoding"});
    return false;
  }
  m_head_accepted = true;
  m_handlers.on_head(head);
  return !m_ended;
}

void backend_attempt::take_notice(const message_head& head)
{
  const protocol::server_notice notice = platform::decode_notice(head);
  m_reusable = m_reusable && !notice.leaving;
  if (notice.leaving || notice.pause || !notice.unreadable_pause.empty() || notice.names_limit() ||
      notice.cold_remaining)
  {
    m_handlers.on_notice(notice);
  }
}

void backend_attempt::start_next_message()
{
  const std::string surplus = m_parser.take_surplus();
  m_parser = async_io::http_parser(message_kind::response, response_limits);
  if (m_request.is_head)
  {
    m_parser.expect_no_body();
  }
  m_skip_message = false;
  m_parser.feed(surplus);
}

void backend_attempt::connection_ended(async_io::close_reason reason)
{
  if (m_ended)
  {
    return;
  }
  m_connection_lost = true;
  if (reason == async_io::close_reason::end_of_stream && m_head_accepted)
  {
    m_reusable = false;
    m_parser.feed_end();
    process();
    if (m_ended)
    {
      return;
    }
  }
  // A server that closes an idle connection does so before it has read the request.
  const bool at_once = current_time() - m_sent_at < stale_close_time;
  const bool was_reset = reason == async_io::close_reason::reset;
  end({.stale_connection = m_reused && !m_data_received && at_once,
       .reason = std::string(was_reset ? "connection reset" : "connection ended") +
                 (m_data_received ? " within the answer" : " before the answer")});
}

void backend_attempt::complete()
{
  const bool reusable = m_reusable && m_parser.keep_alive() && m_connection->is_open() &&
                        m_connection->unsent_bytes() == 0 && m_parser.take_surplus().empty();
  if (reusable)
  {
    m_pool.put(m_request.address, m_connection, pool_lifetime(m_parser.head()));
    m_connection = nullptr;
  }
  end({.complete = true});
}

void backend_attempt::abandon(const std::string& reason)
{
  end({.end = m_sent ? attempt_end::unknown : attempt_end::not_sent,
       .unreachable = !m_sent,
       .reason = reason});
}

void backend_attempt::cancel()
{
  m_ended = true;
  m_handlers = {};
  if (m_connection)
  {
    // Aborts instead of closing, so that request bytes still in the send buffer do not reach the
    // server.
    m_connection->abort();
    m_connection = nullptr;
  }
}

void backend_attempt::end(attempt_result result)
{
  if (m_ended)
  {
    return;
  }
  result.connection_lost = m_connection_lost;
  const auto on_end = std::move(m_handlers.on_end);
  cancel();
  on_end(result);
}

} // namespace pollenyoke::gateway
