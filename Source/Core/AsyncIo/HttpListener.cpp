#include "AsyncIo/HttpListener.h"

#include <set>
#include <utility>

#include "AsyncIo/HttpParser.h"

namespace pollenyoke::async_io
{

namespace
{

// Callers of these addresses send heads of a few hundred bytes and no bodies.
constexpr parse_limits request_limits{8192, 65536};
constexpr std::chrono::seconds idle_timeout{20};
// More connections than this at once come from faulty callers.
constexpr std::size_t max_sessions = 256;

} // namespace

struct http_listener::state
{
  state(event_loop& owner, request_handler on_request) : loop(owner), handler(std::move(on_request))
  {
  }

  event_loop& loop;
  request_handler handler;
  std::unique_ptr<tcp_listener> listener;
  std::set<std::shared_ptr<session>> sessions;
};

struct http_listener::session : std::enable_shared_from_this<session>
{
  session(std::shared_ptr<state> listener, tcp_connection::pointer peer)
      : owner(std::move(listener)), connection(std::move(peer)), idle(owner->loop),
        parser(message_kind::request, request_limits)
  {
  }

  std::shared_ptr<state> owner;
  tcp_connection::pointer connection;
  timer idle;
  http_parser parser;
  bool answering = false;
  /// The caller has not read its last answer; further requests wait.
  bool answer_unread = false;

  void begin()
  {
    const auto self = shared_from_this();
    connection->set_sent_handler([self] { self->handle_sent(); });
    connection->start([self](std::string_view data) { self->receive(data); },
                      [self](close_reason) { self->end(); });
    restart_idle();
  }

  void restart_idle()
  {
    idle.start(idle_timeout, [self = shared_from_this()] { self->end(); });
  }

  void receive(std::string_view data)
  {
    parser.feed(data);
    if ((answering || answer_unread) && parser.surplus_bytes() > request_limits.body_bytes)
    {
      end();
      return;
    }
    if (!answer_unread)
    {
      serve();
    }
  }

  void serve()
  {
    if (answering)
    {
      return;
    }
    if (parser.failure() != parse_failure::none)
    {
      connection->write(make_response(400, "", "", false));
      connection->close_when_sent();
      end();
      return;
    }
    if (!parser.is_complete())
    {
      return;
    }
    answering = true;
    restart_idle();
    const message_head head = parser.head();
    const bool keep = parser.keep_alive();
    owner->handler(head, [self = shared_from_this(), keep](const simple_answer& answer)
                   { self->respond(answer, keep); });
  }

  void respond(const simple_answer& answer, bool keep)
  {
    if (!answering)
    {
      return;
    }
    answering = false;
    std::string fields;
    for (const header_field& field : answer.fields)
    {
      append_field(fields, field.name, field.value);
    }
    connection->write(make_response(answer.status, answer.content_type, answer.body, keep, fields));
    if (!keep)
    {
      connection->close_when_sent();
      end();
      return;
    }
    // Answers that nobody reads would pile up.
    answer_unread = connection->unsent_bytes() > 0;
    if (!answer_unread)
    {
      next_request();
    }
  }

  void handle_sent()
  {
    if (std::exchange(answer_unread, false))
    {
      next_request();
    }
  }

  void next_request()
  {
    const std::string surplus = parser.take_surplus();
    parser = http_parser(message_kind::request, request_limits);
    if (!surplus.empty())
    {
      owner->loop.post([self = shared_from_this(), surplus] { self->receive(surplus); });
    }
  }

  void end()
  {
    idle.cancel();
    answering = false;
    if (connection->is_open())
    {
      connection->close();
    }
    owner->sessions.erase(shared_from_this());
  }
};

http_listener::http_listener(event_loop& loop, request_handler handler)
    : m_state(std::make_shared<state>(loop, std::move(handler)))
{
}

http_listener::~http_listener()
{
  m_state->listener.reset();
  const auto open_sessions = std::move(m_state->sessions);
  m_state->sessions.clear();
  for (const auto& open : open_sessions)
  {
    open->end();
  }
}

result<void> http_listener::listen(const transport::endpoint& address)
{
  m_state->listener = std::make_unique<tcp_listener>(
      m_state->loop,
      [weak = std::weak_ptr<state>(m_state)](tcp_connection::pointer connection)
      {
        const auto owner = weak.lock();
        if (!owner || owner->sessions.size() >= max_sessions)
        {
          connection->close();
          return;
        }
        const auto next = std::make_shared<session>(owner, std::move(connection));
        owner->sessions.insert(next);
        next->begin();
      });
  return m_state->listener->listen(address);
}

std::uint16_t http_listener::port() const
{
  return m_state->listener->port();
}

} // namespace pollenyoke::async_io
