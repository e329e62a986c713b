#include "AsyncIo/HttpCaller.h"

#include <algorithm>
#include <set>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/IdlePool.h"
#include "Common/BootClock.h"

namespace pollenyoke::async_io
{

namespace
{

// Idle connections are dropped before the servers' own idle time-outs of a few seconds and more.
constexpr std::chrono::milliseconds idle_lifetime{4000};
constexpr std::size_t max_idle_per_address = 2;
constexpr std::uint32_t max_head_bytes = 65536;

std::string write_request(const http_call& call)
{
  std::string out = call.method + " " + call.target + " HTTP/1.1\r\n";
  append_field(out, "Host", transport::to_string(call.address));
  if (!call.content_type.empty())
  {
    append_field(out, "Content-Type", call.content_type);
  }
  if (!call.body.empty() || call.method != "GET")
  {
    append_field(out, "Content-Length", std::to_string(call.body.size()));
  }
  return out.append("\r\n").append(call.body);
}

} // namespace

call_session::~call_session()
{
  if (m_connection)
  {
    m_connection->close();
  }
}

struct http_caller::state
{
  idle_pool pool{max_idle_per_address};
  std::set<std::shared_ptr<exchange>> in_progress;
  std::map<std::string_view, std::uint64_t> received_bytes;
};

struct http_caller::exchange : std::enable_shared_from_this<exchange>
{
  exchange(event_loop& loop, std::shared_ptr<state> caller, http_call what, handler callback)
      : owner(std::move(caller)), call(std::move(what)), done(std::move(callback)), deadline(loop),
        parser(message_kind::response, {max_head_bytes, call.max_body_bytes})
  {
  }

  std::shared_ptr<state> owner;
  http_call call;
  handler done;
  timer deadline;
  time_point first_received{};
  time_point last_received{};
  http_parser parser;
  tcp_connection::pointer connection;

  void begin(event_loop& loop)
  {
    if (call.session && call.session->m_opened)
    {
      continue_session();
      return;
    }
    start_deadline(call.timeout);
    const bool may_reuse = !call.session && !call.new_connection;
    connection = may_reuse ? owner->pool.take(call.address) : nullptr;
    if (connection)
    {
      send();
      return;
    }
    if (call.session)
    {
      call.session->m_opened = true;
    }
    connection = tcp_connection::make(loop);
    connection->connect(call.address, std::min(call.connect_timeout, call.timeout),
                        [self = shared_from_this()](const result<void>& outcome)
                        {
                          if (!outcome)
                          {
                            self->finish(fail(error_code::unavailable, outcome.error().message));
                            return;
                          }
                          self->send();
                        });
  }

  void continue_session()
  {
    connection = std::move(call.session->m_connection);
    if (connection && connection->is_open())
    {
      start_deadline(call.timeout);
      send();
      return;
    }
    // The handler is not called before call() returns.
    deadline.start(std::chrono::nanoseconds(0), [self = shared_from_this()]
                   { self->finish(fail(error_code::unavailable, "session has ended")); });
  }

  void start_deadline(std::chrono::nanoseconds limit)
  {
    deadline.start(limit, [self = shared_from_this()] { self->check_deadline(); });
  }

  void check_deadline()
  {
    const auto now = current_time();
    if (call.transfer_timeout && parser.has_started())
    {
      const auto due =
          std::min(last_received + call.timeout, first_received + *call.transfer_timeout);
      if (now < due)
      {
        start_deadline(due - now);
        return;
      }
    }
    // What made this connection silent may have made the idle ones silent too.
    owner->pool.drop(call.address);
    finish(fail(error_code::timeout, "no answer in time"));
  }

  void send()
  {
    const auto self = shared_from_this();
    connection->start([self](std::string_view data) { self->receive(data); },
                      [self](close_reason reason) { self->ended(reason); });
    connection->write(write_request(call));
  }

  void receive(std::string_view data)
  {
    owner->received_bytes[call.purpose] += data.size();
    last_received = current_time();
    first_received = parser.has_started() ? first_received : last_received;
    parser.feed(data);
    if (parser.failure() != parse_failure::none)
    {
      finish(fail(error_code::malformed, "answer is not valid HTTP"));
      return;
    }
    if (parser.is_complete())
    {
      complete(parser.keep_alive() && parser.take_surplus().empty());
    }
  }

  void ended(close_reason reason)
  {
    if (reason == close_reason::end_of_stream && parser.has_head())
    {
      parser.feed_end();
      if (parser.is_complete())
      {
        complete(false);
        return;
      }
    }
    finish(fail(error_code::closed, "connection ended before the whole answer"));
  }

  void complete(bool reusable)
  {
    if (reusable && call.session)
    {
      connection->wait_idle();
      call.session->m_connection = std::move(connection);
      connection = nullptr;
    }
    else if (reusable)
    {
      owner->pool.put(call.address, connection, idle_lifetime);
      connection = nullptr;
    }
    finish(http_response{parser.head(), parser.take_body()});
  }

  void finish(result<http_response> outcome)
  {
    if (!done)
    {
      return;
    }
    const handler report = std::move(done);
    release();
    report(std::move(outcome));
  }

  /// Lets go of all that refers to this exchange. The timer and the connection hold it.
  void release()
  {
    const auto self = shared_from_this();
    done = nullptr;
    deadline.cancel();
    if (connection)
    {
      connection->close();
      connection = nullptr;
    }
    owner->in_progress.erase(self);
  }
};

http_caller::http_caller(event_loop& loop) : m_loop(loop), m_state(std::make_shared<state>()) {}

http_caller::~http_caller()
{
  const auto in_progress = std::move(m_state->in_progress);
  m_state->in_progress.clear();
  for (const auto& call : in_progress)
  {
    call->release();
  }
}

void http_caller::call(http_call call, handler done)
{
  const auto next = std::make_shared<exchange>(m_loop, m_state, std::move(call), std::move(done));
  m_state->in_progress.insert(next);
  next->begin(m_loop);
}

const std::map<std::string_view, std::uint64_t>& http_caller::received_bytes() const
{
  return m_state->received_bytes;
}

} // namespace pollenyoke::async_io
