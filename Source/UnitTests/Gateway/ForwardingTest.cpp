#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpParser.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/Gateway.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A backend server that answers each request from a script.
class scripted_server
{
public:
  /// What happens to one request: bytes to write and whether the connection ends then.
  struct step
  {
    std::string bytes;
    bool close = false;
    bool reset = false;
  };

  explicit scripted_server(event_loop& loop)
      : m_listener(loop, [this](const tcp_connection::pointer& connection) { accept(connection); })
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
  std::vector<step> script;
  std::vector<std::string> requests;
  std::vector<message_head> heads;
  unsigned closed = 0;

private:
  struct open_connection
  {
    tcp_connection::pointer connection;
    http_parser parser{message_kind::request, {65536, 8U << 20U}};
  };

  void accept(const tcp_connection::pointer& connection)
  {
    const auto open = std::make_shared<open_connection>();
    open->connection = connection;
    m_open.push_back(open);
    connection->start([this, open](std::string_view data) { receive(*open, data); },
                      [this](close_reason) { ++closed; });
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
    open.parser = http_parser(message_kind::request, {65536, 8U << 20U});
    if (script.empty())
    {
      return;
    }
    const step next = script.front();
    script.erase(script.begin());
    open.connection->write(next.bytes);
    if (next.reset)
    {
      open.connection->abort();
    }
    if (next.close)
    {
      open.connection->close_when_sent();
    }
  }

  tcp_listener m_listener;
  std::vector<std::shared_ptr<open_connection>> m_open;
};

std::string signed_answer(const std::string& id, const std::string& body,
                          const std::string& extra = "")
{
  return "HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: " + id +
         "\r\nX-Pollenyoke-Response-Seal: seal\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& id)
{
  return "HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: " + id +
         "\r\nX-Pollenyoke-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& data)
{
  std::string size;
  for (std::size_t rest = data.size(); rest > 0; rest /= 16)
  {
    size.insert(size.begin(), "0123456789abcdef"[rest % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

const std::string not_executed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Pollenyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

class forwarding_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(forwarding_test);
  CPPUNIT_TEST(request_and_answer_pass_unchanged);
  CPPUNIT_TEST(own_fields_are_set_whatever_the_caller_sent);
  CPPUNIT_TEST(unknown_route_and_key_are_refused);
  CPPUNIT_TEST(request_that_runs_once_is_not_repeated);
  CPPUNIT_TEST(refusal_of_the_server_moves_to_another);
  CPPUNIT_TEST(idempotent_request_is_repeated);
  CPPUNIT_TEST(spoilt_answers_do_not_reach_the_caller);
  CPPUNIT_TEST(late_second_answer_belongs_to_no_request);
  CPPUNIT_TEST(stream_continues_at_another_server);
  CPPUNIT_TEST(long_answer_leaves_its_pair_of_engines);
  CPPUNIT_TEST(broken_stream_does_not_look_complete);
  CPPUNIT_TEST(caller_that_leaves_cancels_the_request);
  CPPUNIT_TEST(early_answer_to_a_long_body);
  CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
  CPPUNIT_TEST(server_without_answer_is_cut_at_the_limit);
  CPPUNIT_TEST(stop_serves_what_was_sent);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  timer m_guard{m_loop};
  protocol::node_settings m_settings;
  std::unique_ptr<gateway::gateway> m_gateway;
  std::vector<std::unique_ptr<scripted_server>> m_servers;
  tcp_connection::pointer m_caller;
  std::string m_received;
  bool m_ended = false;

  void run_until(const std::function<bool()>& condition)
  {
    const auto give_up = std::chrono::steady_clock::now() + seconds(30);
    std::function<void()> check = [&]
    {
      if (condition() || std::chrono::steady_clock::now() > give_up)
      {
        m_loop.stop();
        return;
      }
      m_guard.start(milliseconds(2), check);
    };
    m_guard.start(milliseconds(0), check);
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
                               .timeout = milliseconds(20000),
                               .objective = milliseconds(10000),
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
    m_caller = tcp_connection::make(m_loop);
    m_caller->connect({"127.0.0.1", m_gateway->port()}, seconds(10),
                      [this, bytes](const result<void>& outcome)
                      {
                        CPPUNIT_ASSERT(outcome);
                        m_caller->start([this](std::string_view data) { m_received.append(data); },
                                        [this](close_reason) { m_ended = true; });
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

  http_response wait_for_answer()
  {
    http_parser parser(message_kind::response, {});
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

  std::size_t all_requests() const
  {
    std::size_t count = 0;
    for (const auto& server : m_servers)
    {
      count += server->requests.size();
    }
    return count;
  }

  /// The same script at every server, as the choice among them is random.
  void script_all(const std::vector<scripted_server::step>& steps)
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
    m_settings.stop_grace = milliseconds(8000);
    // Repeats need a budget that a process that has just started does not have from `extra`.
    m_settings.repeats.share = 10;
    m_gateway = std::make_unique<gateway::gateway>(m_loop, m_settings,
                                                   gateway::entry_counts{[] { return 1; },
                                                                         []
                                                                         {
                                                                           return 1;
                                                                         }},
                                                   [](const std::string&, std::uint32_t) {});
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

  void request_and_answer_pass_unchanged()
  {
    script_all({{signed_answer("r1", "answer", "X-Other: 1\r\n")}});
    send(request("/once/a?b=c", "r1", "X-Mine: 2\r\n", "body"));
    const auto answer = wait_for_answer();
    CPPUNIT_ASSERT_EQUAL(200U, answer.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), answer.body);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *answer.head.find("X-Other"));
    CPPUNIT_ASSERT_EQUAL(std::string("seal"), *answer.head.find("X-Pollenyoke-Response-Seal"));
    const auto& server = *m_servers.front();
    CPPUNIT_ASSERT_EQUAL(std::string("/once/a?b=c"), server.heads.front().target);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), server.requests.front());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *server.heads.front().find("X-Mine"));
  }

  /// Guards against callers that pass as another team or pick the server.
  void own_fields_are_set_whatever_the_caller_sent()
  {
    script_all({{signed_answer("r1", "x")}});
    send(request("/once/a", "r1",
                 "X-Pollenyoke-Tenant: red\r\nX-Pollenyoke-Target-Instance: other\r\n"
                 "X-Pollenyoke-Request-Priority: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    wait_for_answer();
    const auto& head = m_servers.front()->heads.front();
    CPPUNIT_ASSERT_EQUAL(std::string("blue"), *head.find("X-Pollenyoke-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.count("X-Pollenyoke-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), *head.find("X-Pollenyoke-Target-Instance"));
    CPPUNIT_ASSERT(head.find("Api-Key") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), *head.find("X-Pollenyoke-Request-Priority"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.count("X-Pollenyoke-Request-Priority"));
    CPPUNIT_ASSERT(head.find("X-Hop") == nullptr);
    std::uint64_t left = 0;
    CPPUNIT_ASSERT(parse_number(*head.find("X-Pollenyoke-Request-Deadline"), left));
    CPPUNIT_ASSERT(left <= 15000);
  }

  void unknown_route_and_key_are_refused()
  {
    send(request("/none/", "r1"));
    CPPUNIT_ASSERT_EQUAL(404U, wait_for_answer().head.status);
    send("GET /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: wrong\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(401U, wait_for_answer().head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, all_requests());
  }

  /// Guards against a reservation that runs twice, and against "not run" when it may have run.
  void request_that_runs_once_is_not_repeated()
  {
    add_server();
    script_all({{"", false, true}});
    send(request("/once/a", "r1"));
    const auto answer = wait_for_answer();
    CPPUNIT_ASSERT_EQUAL(502U, answer.head.status);
    CPPUNIT_ASSERT(answer.head.find("Retry-After") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all_requests());
  }

  void refusal_of_the_server_moves_to_another()
  {
    add_server();
    script_all({{not_executed}});
    send(request("/once/a", "r1"));
    const auto answer = wait_for_answer();
    CPPUNIT_ASSERT_EQUAL(503U, answer.head.status);
    CPPUNIT_ASSERT(answer.head.find("Retry-After") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all_requests());
  }

  void idempotent_request_is_repeated()
  {
    add_server();
    script_all({{"", false, true}});
    m_servers.back()->script = {{signed_answer("r1", "x")}};
    send(request("/safe/a", "r1"));
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_answer().head.status);
    CPPUNIT_ASSERT(all_requests() <= 2);
  }

  /// Guards against answers that are unsigned, encoded, cut off or no HTTP passing as good ones.
  void spoilt_answers_do_not_reach_the_caller()
  {
    const std::vector<scripted_server::step> cases = {
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx"},
        {signed_answer("r1", "x", "Content-Encoding: gzip\r\n")},
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: s\r\n"
         "Content-Length: 10\r\n\r\nabc",
         true},
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: "
         "s\r\n\r\nabc",
         false, true},
        {"garbage\r\n\r\n"}};
    for (const auto& spoilt : cases)
    {
      script_all({spoilt});
      send(request("/once/a", "r1"));
      CPPUNIT_ASSERT_EQUAL(502U, wait_for_answer().head.status);
      m_gateway->remove_backend("s1", std::nullopt);
      m_servers.clear();
      add_server();
    }
  }

  void late_second_answer_belongs_to_no_request()
  {
    script_all({{signed_answer("r0", "late") + signed_answer("r1", "mine")},
                {signed_answer("r2", "next")}});
    send(request("/once/a", "r1"));
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), wait_for_answer().body);
    send(request("/safe/a", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("next"), wait_for_answer().body);
  }

  /// Guards against missing, repeated or cut events where a stream moves to another server.
  void stream_continues_at_another_server()
  {
    add_server();
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    // Whichever server is chosen first breaks off within an event; the other one continues.
    script_all({{stream_head("r1") + chunk(first + "id: 2\nda"), false, false}});
    send(request("/stream/a", "r1"));
    run_until([&] { return m_received.find("data: a") != std::string::npos; });
    auto& broken = m_servers[m_servers.front()->requests.empty() ? 1 : 0];
    auto& other = m_servers[m_servers.front()->requests.empty() ? 0 : 1];
    other->script = {{stream_head("r1") + chunk(second) + "0\r\n\r\n"}};
    const auto broken_index = static_cast<std::size_t>(&broken - m_servers.data());
    m_servers[broken_index].reset();
    m_servers.erase(m_servers.begin() + static_cast<std::ptrdiff_t>(broken_index));
    const auto answer = wait_for_answer();
    CPPUNIT_ASSERT_EQUAL(first + second, answer.body);
    const auto& head = m_servers.front()->heads.front();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *head.find("Last-Event-Id"));
    // Ahead of requests whose callers have nothing yet.
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *head.find("X-Pollenyoke-Request-Priority"));
  }

  /// Guards against answers of pairs of engines, five times as slow, that reach the route's limit
  /// although an engine with all layers has become free.
  void long_answer_leaves_its_pair_of_engines()
  {
    auto config = make_config();
    config.version = 2;
    config.services["pool"] = {
        .name = "pool", .slots = 4, .engine = protocol::engine_speed{.layers = 2}, .model = "m"};
    config.routes.back().targets = {{"pool", 1}};
    m_gateway->set_config(std::move(config));
    const auto add_engine = [this](const std::string& id, const peers::load_message& load)
    {
      m_servers.push_back(std::make_unique<scripted_server>(m_loop));
      transport::endpoint address{"127.0.0.1", m_servers.back()->port()};
      m_gateway->put_backend({.id = id, .service = "pool", .address = address, .slots = 4});
      auto report = load;
      report.engine = transport::to_string(address);
      m_gateway->take_load(report);
      return address;
    };
    const auto first = add_engine("front", {.part_version = 3, .part_from = 0, .part_to = 1});
    const auto second = add_engine("back", {.part_version = 3, .part_from = 1, .part_to = 2});
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string rest = "id: 2\ndata: b\n\n";
    m_servers[1]->script = {{stream_head("r1") + chunk(event)}};
    send(request("/stream/a", "r1", "Path: 1.2.3.4:5=0-2\r\n"));
    run_until([this] { return m_received.find("data: a") != std::string::npos; });
    const auto& head = m_servers[1]->heads.front();
    CPPUNIT_ASSERT_EQUAL(transport::to_string(first) + "=0-1," + transport::to_string(second) +
                             "=1-2",
                         *head.find("Path"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), *head.find("X-Pollenyoke-Expected-Version"));
    add_engine("whole", {.weight_version = 3});
    m_servers[3]->script = {{stream_head("r1") + chunk(rest) + "0\r\n\r\n"}};
    CPPUNIT_ASSERT_EQUAL(event + rest, wait_for_answer().body);
    CPPUNIT_ASSERT(m_servers[3]->heads.front().find("Path") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *m_servers[3]->heads.front().find("Last-Event-Id"));
    CPPUNIT_ASSERT(m_servers[2]->heads.empty());
  }

  void broken_stream_does_not_look_complete()
  {
    script_all({{stream_head("r1") + chunk("id: 1\ndata: a\n\n"), false, false}});
    send(request("/stream/a", "r1"));
    run_until([&] { return m_received.find("data: a") != std::string::npos; });
    m_gateway->remove_backend("s1", std::nullopt);
    m_servers.clear();
    run_until([&] { return m_ended; });
    CPPUNIT_ASSERT(m_received.find("\r\n0\r\n") == std::string::npos);
  }

  /// Guards against servers that work on for callers that have gone.
  void caller_that_leaves_cancels_the_request()
  {
    send(request("/once/a", "r1"));
    run_until([&] { return all_requests() == 1; });
    m_caller->close();
    run_until([&] { return m_servers.front()->closed == 1; });
  }

  void early_answer_to_a_long_body()
  {
    const std::string body(2'000'000, 'b');
    script_all({{signed_answer("r1", "x")}, {signed_answer("r2", "y")}});
    send(request("/safe/a", "r1", "", body));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), wait_for_answer().body);
    send(request("/safe/a", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), wait_for_answer().body);
    CPPUNIT_ASSERT_EQUAL(body, m_servers.front()->requests.front());
  }

  void pipelined_requests_are_answered_in_order()
  {
    script_all({{signed_answer("r1", "1")}, {signed_answer("r2", "2")}});
    send(request("/safe/a", "r1") + request("/safe/b", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), wait_for_answer().body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), wait_for_answer().body);
  }

  void server_without_answer_is_cut_at_the_limit()
  {
    send("POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Pollenyoke-Request-Id: r1\r\n"
         "X-Pollenyoke-Request-Deadline: 100\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(504U, wait_for_answer().head.status);
    run_until([&] { return m_servers.front()->closed == 1; });
  }

  /// Guards against requests that are cut because the process is stopped as planned.
  void stop_serves_what_was_sent()
  {
    bool stopped = false;
    m_gateway->stop([&] { stopped = true; });
    CPPUNIT_ASSERT(!m_gateway->is_ready());
    script_all({{signed_answer("r1", "x")}});
    send(request("/once/a", "r1"));
    const auto answer = wait_for_answer();
    CPPUNIT_ASSERT_EQUAL(200U, answer.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *answer.head.find("Connection"));
    run_until([&] { return stopped; });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(forwarding_test, "Gateway.Forwarding");

} // namespace
