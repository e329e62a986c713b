#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;

/// Backend servers that crash when they begin to answer a prompt with a certain part.
class tainted_prompt_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(tainted_prompt_test);
  CPPUNIT_TEST(part_that_crashes_servers_is_refused_and_its_neighbours_are_served);
  CPPUNIT_TEST(part_that_crashes_servers_behind_their_first_event_is_refused);
  CPPUNIT_TEST(request_that_crashes_servers_behind_their_first_event_is_put_aside);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t server_count = 12;
  static constexpr const char* tainted_part = "dead";

  std::size_t m_crashes = 0;
  /// Servers send the first event of the answer before they crash.
  bool m_answers_before_crash = false;
  unsigned m_request_count = 0;

  /// Adds a server for each one that has crashed, as the platform would.
  void add_engines()
  {
    for (const auto& server : m_servers)
    {
      if (server->crashed)
      {
        m_gateway->remove_backend(server->id, std::nullopt);
      }
    }
    while (m_servers.size() < server_count + m_crashes)
    {
      add_server();
      m_servers.back()->behaviour = [this](const async_io::message_head& head)
      {
        return respond(head);
      };
    }
  }

  scripted_server::scripted_response respond(const async_io::message_head& head)
  {
    if (head.find("X-Pollenyoke-Prompt-Prefix")->find(tainted_part) != std::string::npos)
    {
      ++m_crashes;
      const std::string& id = *head.find("X-Pollenyoke-Request-Id");
      return {.bytes = m_answers_before_crash ? stream_head(id) + encode_chunk("id: 1\ndata: a\n\n")
                                              : "",
              .crash = true};
    }
    return {stream_head(*head.find("X-Pollenyoke-Request-Id")) +
            encode_chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"};
  }

  /// Sends a request whose prompt has the parts, and one of its own, and returns the status; 0 if
  /// the answer was cut.
  unsigned ask(const std::string& parts)
  {
    return ask_for("/stream/" + std::to_string(m_request_count + 1), parts);
  }

  unsigned ask_for(const std::string& path, const std::string& parts)
  {
    const std::string number = std::to_string(++m_request_count);
    m_caller = nullptr;
    m_received.clear();
    m_ended = false;
    add_engines();
    send(request(path, "r" + number,
                 "X-Pollenyoke-Prompt-Prefix: " + parts + ",f" + number + ":30\r\n"));
    async_io::http_parser parser(async_io::message_kind::response, {});
    std::size_t fed = 0;
    run_until(
        [&]
        {
          parser.feed(std::string_view(m_received).substr(fed));
          fed = m_received.size();
          return parser.is_complete() || m_ended;
        });
    m_caller->close();
    return parser.is_complete() ? parser.head().status : 0;
  }

  void run_for(milliseconds time)
  {
    m_poll_timer.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

public:
  /// Guards against prompts of which no two are alike, that crash one backend server after the
  /// other because they share one part.
  void part_that_crashes_servers_is_refused_and_its_neighbours_are_served()
  {
    check_part_is_refused();
  }

  /// Guards against a first event that is taken for proof that its server survives the request.
  void part_that_crashes_servers_behind_their_first_event_is_refused()
  {
    m_answers_before_crash = true;
    check_part_is_refused();
  }

  /// The same request comes again and again.
  void request_that_crashes_servers_behind_their_first_event_is_put_aside()
  {
    // The crashes that it takes to know the request, and one that is under way by then.
    constexpr std::size_t max_crashes = 4;
    m_answers_before_crash = true;
    for (unsigned i = 0; i < 8; ++i)
    {
      CPPUNIT_ASSERT(ask_for("/stream/same", std::string(tainted_part) + ":200") != 200U);
      run_for(milliseconds(150));
    }
    CPPUNIT_ASSERT(m_crashes <= max_crashes);
  }

private:
  void check_part_is_refused()
  {
    // Crashes after which the part is known, and those of requests that are under way by then.
    constexpr std::size_t max_crashes = 5;
    m_gateway->remove_backend("s1", std::nullopt);
    for (unsigned i = 0; i < 4; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("a1:40,b2:200"));
    }
    for (unsigned i = 0; i < 8; ++i)
    {
      const std::string own_part = "c" + std::to_string(i) + ":100";
      CPPUNIT_ASSERT(ask("a1:40," + std::string(tainted_part) + ":200," + own_part) != 200U);
      run_for(milliseconds(150));
    }
    CPPUNIT_ASSERT(m_crashes <= max_crashes);
    const std::size_t crashes = m_crashes;
    CPPUNIT_ASSERT_EQUAL(503U, ask("a1:40," + std::string(tainted_part) + ":200"));
    CPPUNIT_ASSERT_EQUAL(crashes, m_crashes);
    // Whatever else the crashing requests held is served on.
    CPPUNIT_ASSERT_EQUAL(200U, ask("a1:40,b2:200"));
    for (unsigned i = 0; i < 8; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200U, ask("a1:40,c" + std::to_string(i) + ":100"));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(tainted_prompt_test, "Gateway.TaintedPrompt");

} // namespace
