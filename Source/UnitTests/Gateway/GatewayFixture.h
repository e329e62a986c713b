#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"
#include "Common/BootClock.h"
#include "Gateway/Gateway.h"

namespace pollenyoke::test
{

/// A backend server that responds to each request from a script.
class scripted_server
{
public:
  /// Response to one request: the bytes to write, and whether to close or reset the connection
  /// afterwards, or to end as after a crash once the bytes have left.
  struct scripted_response
  {
    std::string bytes;
    bool close = false;
    bool reset = false;
    bool crash = false;
  };

  explicit scripted_server(async_io::event_loop& loop)
      : m_crash_timer(loop),
        m_listener(loop, [this](const async_io::tcp_connection::pointer& connection)
                   { accept(connection); })
  {
    CPPUNIT_ASSERT(m_listener.listen({"127.0.0.1", 0}));
  }

  ~scripted_server()
  {
    for (const auto& open : m_open)
    {
      open->connection->close();
    }
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  scripted_server(scripted_server&&) = delete;
  scripted_server& operator=(scripted_server&&) = delete;

  std::uint16_t port() const
  {
    return m_listener.port();
  }
  /// Writes more bytes on the newest connection.
  void write(const std::string& bytes)
  {
    m_open.back()->connection->write(bytes);
  }

  std::vector<scripted_response> script;
  /// Used instead of the script if set.
  std::function<scripted_response(const async_io::message_head&)> behaviour;
  std::vector<std::string> requests;
  std::vector<async_io::message_head> heads;
  unsigned closed = 0;
  bool crashed = false;
  std::string id;

private:
  struct open_connection
  {
    async_io::tcp_connection::pointer connection;
    async_io::http_parser parser{async_io::message_kind::request, {65536, 8U << 20U}};
  };

  void accept(const async_io::tcp_connection::pointer& connection)
  {
    const auto open = std::make_shared<open_connection>();
    open->connection = connection;
    m_open.push_back(open);
    connection->start([this, open](std::string_view data) { receive(*open, data); },
                      [this](async_io::close_reason) { ++closed; });
  }

  void receive(open_connection& open, std::string_view data)
  {
    open.parser.feed(data);
    if (!open.parser.is_complete())
    {
      return;
    }
    heads.push_back(open.parser.head());
    requests.push_back(open.parser.take_body());
    open.parser = async_io::http_parser(async_io::message_kind::request, {65536, 8U << 20U});
    scripted_response next;
    if (behaviour)
    {
      next = behaviour(heads.back());
    }
    else if (!script.empty())
    {
      next = script.front();
      script.erase(script.begin());
    }
    else
    {
      return;
    }
    open.connection->write(next.bytes);
    if (next.crash)
    {
      // A reset discards bytes that have not left yet.
      m_crash_timer.start(std::chrono::milliseconds(next.bytes.empty() ? 0 : 10),
                          [this] { crash(); });
      return;
    }
    if (next.reset)
    {
      open.connection->abort();
    }
    if (next.close)
    {
      open.connection->close_when_sent();
    }
  }

  void crash()
  {
    crashed = true;
    m_listener.close();
    for (const auto& open : m_open)
    {
      open->connection->abort();
    }
  }

  async_io::timer m_crash_timer;
  async_io::tcp_listener m_listener;
  std::vector<std::shared_ptr<open_connection>> m_open;
};

inline std::string signed_response(const std::string& id, const std::string& body,
                                   const std::string& extra = "")
{
  return "HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: " + id +
         "\r\nX-Pollenyoke-Response-Seal: seal\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string stream_head(const std::string& id)
{
  return "HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: " + id +
         "\r\nX-Pollenyoke-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string encode_chunk(const std::string& data)
{
  std::string size;
  for (std::size_t rest = data.size(); rest > 0; rest /= 16)
  {
    size.insert(size.begin(), "0123456789abcdef"[rest % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

inline const std::string not_executed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Pollenyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A gateway with scripted servers and one caller, all on one loop.
class gateway_fixture : public CppUnit::TestFixture
{
protected:
  async_io::event_loop m_loop;
  async_io::timer m_poll_timer{m_loop};
  protocol::node_settings m_settings;
  std::unique_ptr<gateway::gateway> m_gateway;
  std::vector<std::unique_ptr<scripted_server>> m_servers;
  async_io::tcp_connection::pointer m_caller;
  std::string m_received;
  bool m_ended = false;
  async_io::close_reason m_end_reason{};
  /// Called when a server with a known prompt has been chosen, before it is connected to.
  std::function<void()> m_on_send;

  void run_until(const std::function<bool()>& condition)
  {
    const auto deadline = current_time() + std::chrono::seconds(30);
    std::function<void()> check = [&]
    {
      if (condition() || current_time() > deadline)
      {
        m_loop.stop();
        return;
      }
      m_poll_timer.start(std::chrono::milliseconds(2), check);
    };
    m_poll_timer.start(std::chrono::milliseconds(0), check);
    m_loop.run();
    CPPUNIT_ASSERT(condition());
  }

  static protocol::serving_config make_config()
  {
    protocol::serving_config config;
    config.version = 1;
    config.has_teams = true;
    config.teams_by_key["key"] = {"blue", std::nullopt};
    const auto add = [&config](const std::string& prefix, protocol::repeat_rule repeat,
                               unsigned attempts, bool streaming)
    {
      config.routes.push_back({.name = prefix,
                               .host = "a.example",
                               .path_prefix = prefix,
                               .streaming = streaming,
                               .repeat = repeat,
                               .timeout = std::chrono::milliseconds(20000),
                               .objective = std::chrono::milliseconds(10000),
                               .targets = {{"desk", 1}},
                               .max_attempts = attempts});
    };
    add("/once/", protocol::repeat_rule::once, 1, false);
    add("/safe/", protocol::repeat_rule::idempotent, 2, false);
    add("/stream/", protocol::repeat_rule::idempotent, 2, true);
    config.services["desk"] = {.name = "desk"};
    return config;
  }

  void add_server()
  {
    m_servers.push_back(std::make_unique<scripted_server>(m_loop));
    const std::string id = "s" + std::to_string(m_servers.size());
    m_servers.back()->id = id;
    m_gateway->put_backend({.id = id,
                            .service = "desk",
                            .address = {"127.0.0.1", m_servers.back()->port()},
                            .slots = 4});
  }

  void send(const std::string& bytes)
  {
    if (m_caller)
    {
      m_caller->write(bytes);
      return;
    }
    m_caller = async_io::tcp_connection::make(m_loop);
    m_caller->connect({"127.0.0.1", m_gateway->port()}, std::chrono::seconds(10),
                      [this, bytes](const result<void>& outcome)
                      {
                        CPPUNIT_ASSERT(outcome);
                        m_caller->start([this](std::string_view data) { m_received.append(data); },
                                        [this](async_io::close_reason reason)
                                        {
                                          m_ended = true;
                                          m_end_reason = reason;
                                        });
                        m_caller->write(bytes);
                      });
  }

  static std::string request(const std::string& path, const std::string& id,
                             const std::string& extra = "", const std::string& body = "")
  {
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Pollenyoke-Request-Id: " + id +
           "\r\nX-Pollenyoke-Request-Deadline: 15000\r\nApi-Key: key\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  async_io::http_response wait_for_response()
  {
    async_io::http_parser parser(async_io::message_kind::response, {});
    std::size_t fed = 0;
    run_until(
        [&]
        {
          parser.feed(std::string_view(m_received).substr(fed));
          fed = m_received.size();
          return parser.is_complete();
        });
    m_received = parser.take_surplus();
    return {parser.head(), parser.take_body()};
  }

  std::size_t total_requests() const
  {
    std::size_t count = 0;
    for (const auto& server : m_servers)
    {
      count += server->requests.size();
    }
    return count;
  }

  /// Sets the same script at every server, as the choice among them is random.
  void script_all(const std::vector<scripted_server::scripted_response>& steps)
  {
    for (const auto& server : m_servers)
    {
      server->script = steps;
    }
  }

public:
  void setUp() override
  {
    m_settings.failure_domain = "a";
    m_settings.stop_grace = std::chrono::milliseconds(8000);
    // A process that has just started gets no retries from `extra`, so `share` has to provide them.
    m_settings.repeats.share = 10;
    m_gateway = std::make_unique<gateway::gateway>(m_loop, m_settings,
                                                   gateway::entry_counts{[] { return 1; },
                                                                         []
                                                                         {
                                                                           return 1;
                                                                         }},
                                                   [this](const std::string&, std::uint32_t)
                                                   {
                                                     if (m_on_send)
                                                     {
                                                       m_on_send();
                                                     }
                                                   });
    CPPUNIT_ASSERT(m_gateway->listen({"127.0.0.1", 0}));
    m_gateway->set_config(make_config());
    add_server();
  }

  void tearDown() override
  {
    if (m_caller)
    {
      m_caller->close();
    }
    m_caller = nullptr;
    m_gateway = nullptr;
    m_servers.clear();
    m_received.clear();
    m_ended = false;
  }
};

} // namespace pollenyoke::test
