#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "Common/BootClock.h"
#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using namespace pollenyoke::test;

/// What servers say, in their answers, about the requests that they want.
class server_notices_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(server_notices_test);
  CPPUNIT_TEST(server_that_says_it_leaves_gets_no_more_requests);
  CPPUNIT_TEST(refusal_and_late_answer_may_say_that_the_server_leaves);
  CPPUNIT_TEST(kept_connection_to_a_leaving_server_is_closed);
  CPPUNIT_TEST(other_entries_learn_of_a_leaving_server);
  CPPUNIT_TEST(server_that_starts_again_is_used);
  CPPUNIT_TEST(server_that_wants_nothing_for_a_while_is_left_alone);
  CPPUNIT_TEST(refusal_names_the_end_of_the_shortest_pause);
  CPPUNIT_TEST(request_waits_for_a_short_pause);
  CPPUNIT_TEST(unreadable_pause_changes_nothing);
  CPPUNIT_TEST(entries_return_one_after_the_other);
  CPPUNIT_TEST(pause_is_limited);
  CPPUNIT_TEST_SUITE_END();

  static inline const std::string leaving_field = "Server-Leaving: 1\r\n";
  std::vector<peers::peer_message> m_told;
  unsigned m_next_request = 0;

  static std::string full_for(const std::string& seconds)
  {
    return "HTTP/1.1 503 Service Unavailable\r\nX-Pollenyoke-Not-Executed: 1\r\nRetry-After: " +
           seconds + "\r\nContent-Length: 0\r\n\r\n";
  }

  static std::string id_of(const async_io::message_head& head)
  {
    return *head.find("X-Pollenyoke-Request-Id");
  }

  void answer_all()
  {
    for (const auto& server : m_servers)
    {
      server->behaviour = [](const async_io::message_head& head)
      {
        return scripted_server::scripted_response{signed_response(id_of(head), "ok")};
      };
    }
  }

  async_io::http_response ask(const std::string& path = "/safe/a")
  {
    send(request(path, "r" + std::to_string(++m_next_request)));
    return wait_for_response();
  }

  /// Sends enough requests to reach each of a few servers.
  void ask_often()
  {
    for (int i = 0; i < 30; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    }
  }

  void put(const std::string& id, std::size_t server, std::uint64_t started_ms)
  {
    m_gateway->put_backend({.id = id,
                            .service = "desk",
                            .address = {"127.0.0.1", m_servers[server]->port()},
                            .slots = 4,
                            .started_ms = started_ms});
  }

  void set_objective(milliseconds objective)
  {
    auto config = make_config();
    config.version = 2;
    for (protocol::route& route : config.routes)
    {
      route.objective = objective;
    }
    m_gateway->set_config(std::move(config));
  }

public:
  void setUp() override
  {
    gateway_fixture::setUp();
    m_told.clear();
    m_next_request = 0;
    m_servers.clear();
    m_gateway = std::make_unique<pollenyoke::gateway::gateway>(
        m_loop, m_settings,
        entry_counts{[] { return 1; },
                     []
                     {
                       return 1;
                     }},
        [](const std::string&, std::uint32_t) {},
        fleet_link{.tell_entries = [this](const peers::peer_message& message)
                   {
                     m_told.push_back(message);
                   }});
    CPPUNIT_ASSERT(m_gateway->listen({"127.0.0.1", 0}));
    m_gateway->set_config(make_config());
    add_server();
  }

  /// Guards against requests to a server that leaves while the store cannot tell so, or while a
  /// read of the store still calls it ready.
  void server_that_says_it_leaves_gets_no_more_requests()
  {
    m_servers[0]->script = {{signed_response("r1", "ok", leaving_field)}};
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *ask().head.find("Server-Leaving"));
    add_server();
    answer_all();
    put("s1", 0, 0);
    ask_often();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_servers[0]->requests.size());
  }

  void refusal_and_late_answer_may_say_that_the_server_leaves()
  {
    m_servers[0]->script = {
        {signed_response("r0", "late", leaving_field) + signed_response("r1", "ok")}};
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), ask().body);
    add_server();
    std::string refusal = not_executed;
    refusal.insert(refusal.find("\r\n") + 2, leaving_field);
    m_servers[1]->script = {{refusal}};
    CPPUNIT_ASSERT_EQUAL(503U, ask().head.status);
    add_server();
    answer_all();
    ask_often();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_servers[0]->requests.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_servers[1]->requests.size());
  }

  /// Guards against a request on a kept connection after the address has gone to another server.
  void kept_connection_to_a_leaving_server_is_closed()
  {
    m_servers[0]->script = {{signed_response("r1", "ok")},
                            {signed_response("r2", "ok", leaving_field)}};
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    run_until([this] { return m_servers[0]->closed == 1; });
  }

  void other_entries_learn_of_a_leaving_server()
  {
    put("s1", 0, 77);
    m_servers[0]->script = {{signed_response("r1", "ok", leaving_field)}};
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_told.size());
    const auto& told = std::get<peers::server_leaving>(m_told.front());
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), told.server);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, told.started_ms);
    add_server();
    add_server();
    answer_all();
    m_gateway->receive(peers::server_leaving{"s2", 0});
    ask_often();
    CPPUNIT_ASSERT(m_servers[1]->requests.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_told.size());
  }

  void server_that_starts_again_is_used()
  {
    put("s1", 0, 5);
    m_servers[0]->script = {{signed_response("r1", "ok", leaving_field)}};
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    CPPUNIT_ASSERT_EQUAL(503U, ask().head.status);
    put("s1", 0, 9);
    answer_all();
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    // News of the earlier start comes late.
    m_gateway->receive(peers::server_leaving{"s1", 5});
    CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
  }

  /// Guards against requests, retries among them, to a server that has asked for a pause.
  void server_that_wants_nothing_for_a_while_is_left_alone()
  {
    time_point answered;
    m_servers[0]->behaviour = [&answered](const auto&)
    {
      answered = current_time();
      return scripted_server::scripted_response{full_for("0.3")};
    };
    CPPUNIT_ASSERT_EQUAL(503U, ask("/once/a").head.status);
    const auto earliest_end = answered + milliseconds(300);
    add_server();
    answer_all();
    while (m_servers[0]->requests.size() == 1)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask().head.status);
    }
    CPPUNIT_ASSERT(current_time() >= earliest_end);
  }

  void refusal_names_the_end_of_the_shortest_pause()
  {
    add_server();
    script_all({{full_for("20")}});
    m_servers[1]->script = {{full_for("7.5")}};
    const auto asked = current_time();
    (void)ask();
    const auto refusal = ask("/once/a");
    const std::chrono::duration<double> passed = current_time() - asked;
    CPPUNIT_ASSERT_EQUAL(503U, refusal.head.status);
    const double seconds = std::stod(*refusal.head.find("Retry-After"));
    // The entry returns up to a second behind the pause, and callers up to a quarter of that later.
    CPPUNIT_ASSERT(seconds >= 7.4 - passed.count() && seconds <= (7.5 + 1) * 1.25);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, total_requests());
  }

  /// The objective of the route is ten seconds.
  void request_waits_for_a_short_pause()
  {
    m_servers[0]->script = {{full_for("0.2")}, {signed_response("r2", "ok")}};
    CPPUNIT_ASSERT_EQUAL(503U, ask("/once/a").head.status);
    CPPUNIT_ASSERT_EQUAL(200U, ask("/once/a").head.status);
  }

  void unreadable_pause_changes_nothing()
  {
    set_objective(milliseconds(100));
    for (const char* value :
         {"-1", "soon", "1e99x", "", "nan", "inf", "Fri, 31 Dec 1999 23:59:59 GMT"})
    {
      m_servers[0]->script = {{full_for(value)},
                              {signed_response("r" + std::to_string(m_next_request + 2), "ok")}};
      CPPUNIT_ASSERT_EQUAL(503U, ask("/once/a").head.status);
      CPPUNIT_ASSERT_EQUAL(200U, ask("/once/a").head.status);
    }
  }

  /// Guards against all entries returning to a server at the moment at which its pause ends.
  void entries_return_one_after_the_other()
  {
    const time_point now{};
    server_notices first;
    server_notices last;
    CPPUNIT_ASSERT(first.begin_pause("s1", 1, milliseconds(2000), 0, now));
    CPPUNIT_ASSERT(last.begin_pause("s1", 1, milliseconds(2000), 0.999, now));
    CPPUNIT_ASSERT(first.paused_until("s1", 1, now) == now + milliseconds(2000));
    CPPUNIT_ASSERT(*last.paused_until("s1", 1, now) > now + milliseconds(2400));
    CPPUNIT_ASSERT(!first.paused_until("s1", 1, now + milliseconds(2000)));
    CPPUNIT_ASSERT(!first.paused_until("s1", 2, now));
    CPPUNIT_ASSERT(!first.take_ended_pause("s1", 1, now));
    CPPUNIT_ASSERT(first.take_ended_pause("s1", 1, now + milliseconds(2000)));
    CPPUNIT_ASSERT(!first.take_ended_pause("s1", 1, now + milliseconds(2000)));
    // A shorter pause does not end a longer one.
    CPPUNIT_ASSERT(!first.begin_pause("s1", 1, milliseconds(500), 0, now));
  }

  void pause_is_limited()
  {
    const time_point now{};
    server_notices notices;
    CPPUNIT_ASSERT(notices.begin_pause("s1", 1, std::chrono::hours(1000), 0, now));
    CPPUNIT_ASSERT(notices.paused_until("s1", 1, now) == now + max_server_pause);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(server_notices_test, "Gateway.ServerNotices");

} // namespace
