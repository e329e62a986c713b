#include "Emulator/HttpServer.h"

#include <array>
#include <cstdio>
#include <set>
#include <utility>
#include <vector>

#include "AsyncIo/HttpParser.h"

namespace pollenyoke::emulator
{

namespace
{

using async_io::message_kind;

// Above the largest piece of weights and the largest append to the store.
constexpr async_io::parse_limits request_limits{65536, 16U << 20U};
constexpr std::size_t filler_block_bytes = 16384;

std::string make_head(unsigned status, std::string_view fields)
{
  return std::string("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(async_io::reason_phrase(status))
      .append("\r\n")
      .append(fields);
}

} // namespace

struct http_server::state
{
  state(async_io::event_loop& owner, handler callback, early_handler early)
      : loop(owner), on_request(std::move(callback)), on_head(std::move(early))
  {
  }

  async_io::event_loop& loop;
  handler on_request;
  early_handler on_head;
  connection_fault fault = connection_fault::none;
  bool holds = false;
  std::unique_ptr<async_io::tcp_listener> listener;
  std::set<std::shared_ptr<session>> sessions;
  /// What arrived while the server holds, in the order in which it arrived.
  std::vector<std::pair<std::shared_ptr<session>, std::string>> held;
};

class http_server::session : public http_reply, public std::enable_shared_from_this<session>
{
public:
  session(std::weak_ptr<state> owner, async_io::tcp_connection::pointer connection)
      : m_owner(std::move(owner)), m_connection(std::move(connection)),
        m_parser(message_kind::request, request_limits)
  {
  }

  void begin()
  {
    const auto self = shared_from_this();
    m_connection->start([self](std::string_view data) { self->receive(data); },
                        [self](async_io::close_reason) { self->end(); });
  }

  void set_holding(bool holds)
  {
    m_holding = holds;
    if (holds)
    {
      return;
    }
    if (!m_held_output.empty())
    {
      write(std::move(m_held_output));
      m_held_output.clear();
    }
  }

  void receive(std::string_view data)
  {
    const auto owner = m_owner.lock();
    if (m_silent || !owner)
    {
      return;
    }
    if (m_holding)
    {
      owner->held.emplace_back(shared_from_this(), data);
      return;
    }
    m_parser.feed(data);
    serve();
  }

  void end()
  {
    m_gone = true;
    if (m_connection->is_open())
    {
      m_connection->close();
    }
    const auto gone = std::move(m_on_gone);
    m_on_gone = nullptr;
    m_answering = false;
    if (const auto owner = m_owner.lock())
    {
      owner->sessions.erase(shared_from_this());
    }
    if (gone)
    {
      gone();
    }
  }

  void send(unsigned status, std::string_view fields, std::string_view body) override
  {
    std::string out = make_head(status, fields);
    async_io::append_field(out, "Content-Length", std::to_string(body.size()));
    write(out.append("\r\n").append(body));
    finish();
  }

  void begin_stream(std::string_view fields) override
  {
    write(make_head(200, fields).append("Transfer-Encoding: chunked\r\n\r\n"));
  }

  void write_chunk(std::string_view data) override
  {
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    write(std::string(size.data(), static_cast<std::size_t>(length)).append(data).append("\r\n"));
  }

  void end_stream() override
  {
    write("0\r\n\r\n");
    finish();
  }

  void send_raw(std::string bytes) override
  {
    write(std::move(bytes));
  }

  void send_endless(std::string head, std::string filler) override
  {
    std::string block;
    while (block.size() < filler_block_bytes)
    {
      block += filler;
    }
    m_connection->set_sent_handler([connection = m_connection.get(), block]
                                   { connection->write(block); });
    write(std::move(head.append(block)));
  }

  void reset() override
  {
    m_connection->abort();
    m_on_gone = nullptr;
    end();
  }

  void silence() override
  {
    m_silent = true;
  }

  void end_connection() override
  {
    m_answering = false;
    m_on_gone = nullptr;
    m_connection->close_when_sent();
    end();
  }

  void on_caller_gone(std::function<void()> handler) override
  {
    m_on_gone = std::move(handler);
  }

  bool caller_is_gone() const override
  {
    return m_gone;
  }

private:
  void write(std::string bytes)
  {
    if (m_holding)
    {
      m_held_output += bytes;
      return;
    }
    if (!m_silent && m_connection->is_open())
    {
      m_connection->write(std::move(bytes));
    }
  }

  void serve()
  {
    if (m_answering)
    {
      return;
    }
    if (m_parser.failure() != async_io::parse_failure::none)
    {
      send(400, {}, {});
      end();
      return;
    }
    const auto owner = m_owner.lock();
    if (!owner)
    {
      return;
    }
    if (!m_parser.is_complete())
    {
      answer_early(*owner);
      return;
    }
    m_answering = true;
    owner->on_request({m_parser.head(), m_parser.take_body()}, shared_from_this());
  }

  void answer_early(const state& owner)
  {
    if (!m_parser.has_head() || std::exchange(m_head_seen, true) || !owner.on_head)
    {
      return;
    }
    m_answering = owner.on_head(m_parser.head(), shared_from_this());
    if (m_answering && m_connection->is_open())
    {
      m_connection->pause_reading();
    }
  }

  void finish()
  {
    m_head_seen = false;
    if (!m_answering)
    {
      return;
    }
    m_answering = false;
    m_on_gone = nullptr;
    const std::string surplus = m_parser.take_surplus();
    m_parser = async_io::http_parser(message_kind::request, request_limits);
    const auto owner = m_owner.lock();
    if (!surplus.empty() && owner)
    {
      owner->loop.post([self = shared_from_this(), surplus] { self->receive(surplus); });
    }
  }

  std::weak_ptr<state> m_owner;
  async_io::tcp_connection::pointer m_connection;
  async_io::http_parser m_parser;
  std::function<void()> m_on_gone;
  bool m_answering = false;
  bool m_head_seen = false;
  bool m_gone = false;
  bool m_silent = false;
  bool m_holding = false;
  std::string m_held_output;
};

http_server::http_server(async_io::event_loop& loop, handler on_request, early_handler on_head)
    : m_state(std::make_shared<state>(loop, std::move(on_request), std::move(on_head)))
{
}

http_server::~http_server()
{
  m_state->listener.reset();
  reset_connections();
}

result<void> http_server::listen(const transport::endpoint& address)
{
  m_state->listener = std::make_unique<async_io::tcp_listener>(
      m_state->loop,
      [weak = std::weak_ptr<state>(m_state)](async_io::tcp_connection::pointer connection)
      {
        const auto owner = weak.lock();
        if (!owner || owner->fault == connection_fault::refused)
        {
          connection->abort();
          return;
        }
        const auto next = std::make_shared<session>(owner, std::move(connection));
        owner->sessions.insert(next);
        if (owner->fault == connection_fault::silent)
        {
          next->silence();
        }
        next->set_holding(owner->holds);
        next->begin();
      });
  return m_state->listener->listen(address);
}

std::uint16_t http_server::port() const
{
  return m_state->listener->port();
}

void http_server::set_fault(connection_fault fault)
{
  m_state->fault = fault;
  if (fault != connection_fault::none)
  {
    m_state->held.clear();
  }
  if (fault == connection_fault::refused)
  {
    reset_connections();
  }
  if (fault == connection_fault::silent)
  {
    silence_open_connections();
  }
}

void http_server::set_holding(bool holds)
{
  m_state->holds = holds;
  const auto open_sessions = m_state->sessions;
  for (const auto& open : open_sessions)
  {
    open->set_holding(holds);
  }
  if (holds)
  {
    return;
  }
  // A connection that was closed meanwhile keeps what had arrived on it.
  for (const auto& [receiver, data] : std::exchange(m_state->held, {}))
  {
    receiver->set_holding(false);
    receiver->receive(data);
  }
}

void http_server::silence_open_connections()
{
  for (const auto& open : m_state->sessions)
  {
    open->silence();
  }
}

void http_server::reset_connections()
{
  const auto open_sessions = std::move(m_state->sessions);
  m_state->sessions.clear();
  for (const auto& open : open_sessions)
  {
    open->reset();
  }
}

} // namespace pollenyoke::emulator
