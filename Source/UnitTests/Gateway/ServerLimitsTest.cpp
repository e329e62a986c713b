#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using namespace pollenyoke::test;

/// Servers that name a limit of requests a second.
class server_limits_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(server_limits_test);
  CPPUNIT_TEST(server_gets_no_more_requests_than_the_limit_that_it_names);
  CPPUNIT_TEST(limit_ends_with_the_first_answer_that_names_none);
  CPPUNIT_TEST(answer_to_an_earlier_request_does_not_raise_or_end_a_limit);
  CPPUNIT_TEST(unreadable_limit_changes_nothing);
  CPPUNIT_TEST(request_beyond_every_limit_is_refused_at_once);
  CPPUNIT_TEST(request_waits_for_a_permit_that_comes_in_time);
  CPPUNIT_TEST(moves_need_permits);
  CPPUNIT_TEST(other_entries_learn_of_limits);
  CPPUNIT_TEST(entry_without_an_answer_of_the_owner_sends_nothing);
  CPPUNIT_TEST(late_permit_is_not_used);
  CPPUNIT_TEST(owner_that_has_not_settled_grants_nothing);
  CPPUNIT_TEST_SUITE_END();

  unsigned m_next_request = 0;
  std::vector<peers::peer_message> m_told;
  std::optional<std::string> m_owner;
  bool m_settled = true;

  /// All answers of the server say so.
  void name_limit(std::size_t server, const std::string& value)
  {
    m_servers[server]->behaviour = [value](const async_io::message_head& head)
    {
      return scripted_server::scripted_response{
          signed_response(*head.find("X-Pollenyoke-Request-Id"), "ok",
                          value.empty() ? "" : "Server-Limit: " + value + "\r\n")};
    };
  }

  static std::string limit_field(const std::string& value)
  {
    return "Server-Limit: " + value + "\r\n";
  }

  template <typename Message>
  std::vector<Message> told() const
  {
    std::vector<Message> out;
    for (const peers::peer_message& message : m_told)
    {
      if (const auto* found = std::get_if<Message>(&message))
      {
        out.push_back(*found);
      }
    }
    return out;
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

  async_io::http_response ask(const std::string& path)
  {
    send(request(path, "r" + std::to_string(++m_next_request)));
    return wait_for_response();
  }

public:
  void setUp() override
  {
    gateway_fixture::setUp();
    m_next_request = 0;
    m_told.clear();
    m_owner.reset();
    m_settled = true;
    m_servers.clear();
    const auto tell = [this](const peers::peer_message& message)
    {
      m_told.push_back(message);
    };
    m_gateway = std::make_unique<pollenyoke::gateway::gateway>(
        m_loop, m_settings,
        entry_counts{[] { return 1; },
                     []
                     {
                       return 1;
                     }},
        [](const std::string&, std::uint32_t) {},
        fleet_link{.tell_entries = tell,
                   .tell_entry = [tell](const std::string&, const peers::peer_message& message)
                   { tell(message); },
                   .permit_owner = [this](std::string_view) { return m_owner; },
                   .may_issue =
                       [this](std::string_view)
                   {
                     return m_settled;
                   }});
    CPPUNIT_ASSERT(m_gateway->listen({"127.0.0.1", 0}));
    m_gateway->set_config(make_config());
    add_server();
  }

  /// Guards against requests that go to a server by its speed alone: LIMIT.
  void server_gets_no_more_requests_than_the_limit_that_it_names()
  {
    add_server();
    name_limit(0, "1.5");
    name_limit(1, "");
    const auto begun = current_time();
    for (int i = 0; i < 300; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask(i % 2 == 0 ? "/safe/a" : "/once/a").head.status);
    }
    const std::chrono::duration<double> passed = current_time() - begun;
    const double allowed = 1.5 * 1.5 * passed.count() + 5;
    CPPUNIT_ASSERT(static_cast<double>(m_servers[0]->requests.size()) <= allowed);
  }

  void limit_ends_with_the_first_answer_that_names_none()
  {
    add_server();
    name_limit(0, "0.5");
    name_limit(1, "");
    while (m_servers[0]->requests.empty())
    {
      (void)ask("/safe/a");
    }
    name_limit(0, "");
    while (m_servers[0]->requests.size() < 30)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    }
    const auto news = told<peers::server_limit>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, news.size());
    CPPUNIT_ASSERT(!news.front().ended && news.front().per_second == 0.5);
    CPPUNIT_ASSERT(news.back().ended);
  }

  /// Guards against a limit that an answer takes back which the server gave before it named one.
  void answer_to_an_earlier_request_does_not_raise_or_end_a_limit()
  {
    server_notices notices;
    const time_point start{};
    const auto at = [start](int ms)
    {
      return start + milliseconds(ms);
    };
    CPPUNIT_ASSERT(notices.name_limit("s1", 1, 2, at(0), at(10)));
    CPPUNIT_ASSERT(!notices.name_limit("s1", 1, 2, at(5), at(20)));
    CPPUNIT_ASSERT(!notices.name_limit("s1", 1, 9, at(15), at(30)));
    CPPUNIT_ASSERT(!notices.end_limit("s1", 1, at(20)));
    CPPUNIT_ASSERT(notices.limit("s1", 1) == 2.0);
    CPPUNIT_ASSERT(notices.name_limit("s1", 1, 1, at(15), at(40)));
    CPPUNIT_ASSERT(notices.name_limit("s1", 1, 9, at(41), at(50)));
    CPPUNIT_ASSERT(notices.end_limit("s1", 1, at(51)));
    CPPUNIT_ASSERT(!notices.limit("s1", 1));
    // A limit ends with the start of the server that named it.
    CPPUNIT_ASSERT(notices.name_limit("s1", 1, 2, at(60), at(70)));
    CPPUNIT_ASSERT(!notices.limit("s1", 2));
    CPPUNIT_ASSERT(!notices.name_limit("s1", 0, 2, at(60), at(80)));
  }

  void unreadable_limit_changes_nothing()
  {
    for (const char* value : {"few", "-1", "nan", ""})
    {
      m_servers[0]->script.push_back({signed_response(
          "r" + std::to_string(m_servers[0]->script.size() + 1), "ok", limit_field(value))});
    }
    for (int i = 0; i < 4; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    }
    CPPUNIT_ASSERT(told<peers::server_limit>().empty());
    m_servers[0]->script = {{signed_response("r5", "ok", limit_field("0"))}};
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    m_servers[0]->script = {{signed_response("r6", "ok", limit_field("few"))}};
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told<peers::server_limit>().size());
    set_objective(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(503U, ask("/safe/a").head.status);
  }

  /// Callers come back when the server can take them, and do not wait for a turn that is too late.
  void request_beyond_every_limit_is_refused_at_once()
  {
    name_limit(0, "0.25");
    set_objective(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    const auto asked = current_time();
    const auto refusal = ask("/safe/a");
    const std::chrono::duration<double> passed = current_time() - asked;
    CPPUNIT_ASSERT_EQUAL(503U, refusal.head.status);
    CPPUNIT_ASSERT(passed < std::chrono::seconds(1));
    const double seconds = std::stod(*refusal.head.find("Retry-After"));
    CPPUNIT_ASSERT(seconds > 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, total_requests());
  }

  /// The objective of the route is ten seconds.
  void request_waits_for_a_permit_that_comes_in_time()
  {
    name_limit(0, "4");
    for (int i = 0; i < 6; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("/once/a").head.status);
    }
  }

  /// Guards against repeats of requests that go to a limited server beside its permits.
  void moves_need_permits()
  {
    m_servers[0]->script = {{signed_response("r1", "ok", limit_field("0"))},
                            {signed_response("r2", "ok", limit_field("0"))}};
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    set_objective(milliseconds(100));
    add_server();
    m_servers[1]->behaviour = [](const async_io::message_head&)
    {
      return scripted_server::scripted_response{not_executed};
    };
    for (int i = 0; i < 10; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(503U, ask("/safe/a").head.status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_servers[0]->requests.size());
  }

  void other_entries_learn_of_limits()
  {
    name_limit(0, "");
    set_objective(milliseconds(100));
    m_gateway->receive(peers::server_limit{.server = "s1", .per_second = 0.25});
    m_owner = "10.0.0.9";
    CPPUNIT_ASSERT_EQUAL(503U, ask("/safe/a").head.status);
    const auto requests = told<peers::permit_request>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), requests.front().server);
    CPPUNIT_ASSERT_EQUAL(0.25, requests.front().limit);
    m_gateway->receive(peers::server_limit{.server = "s1", .ended = true});
    CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
  }

  /// Guards against an entry that helps itself while the owner of the permits is out of reach.
  void entry_without_an_answer_of_the_owner_sends_nothing()
  {
    add_server();
    name_limit(0, "");
    name_limit(1, "");
    m_gateway->receive(peers::server_limit{.server = "s1", .per_second = 5});
    m_owner = "10.0.0.9";
    for (int i = 0; i < 50; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("/safe/a").head.status);
    }
    CPPUNIT_ASSERT(m_servers[0]->requests.empty());
    CPPUNIT_ASSERT(!told<peers::permit_request>().empty());
  }

  void late_permit_is_not_used()
  {
    name_limit(0, "");
    set_objective(milliseconds(100));
    m_gateway->receive(peers::server_limit{.server = "s1", .per_second = 5});
    m_owner = "10.0.0.9";
    CPPUNIT_ASSERT_EQUAL(503U, ask("/once/a").head.status);
    const auto requests = told<peers::permit_request>();
    m_gateway->receive(peers::permit_answer{.number = requests.front().number, .granted = true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }

  void owner_that_has_not_settled_grants_nothing()
  {
    m_settled = false;
    m_gateway->receive(peers::permit_request{.number = 7, .server = "s1", .limit = 5}, "10.0.0.9");
    m_settled = true;
    m_gateway->receive(peers::permit_request{.number = 8, .server = "s1", .limit = 5}, "10.0.0.9");
    const auto answers = told<peers::permit_answer>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.size());
    CPPUNIT_ASSERT(!answers[0].granted && answers[0].after_ms > 0);
    CPPUNIT_ASSERT(answers[1].granted && answers[1].number == 8);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(server_limits_test, "Gateway.ServerLimits");

} // namespace
