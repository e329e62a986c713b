#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;

/// Streams whose server breaks off behind the first event and that continue at another server.
class continued_stream_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(continued_stream_test);
  CPPUNIT_TEST(answer_without_events_is_not_written_into_the_stream);
  CPPUNIT_TEST(stream_goes_on_behind_an_answer_without_events);
  CPPUNIT_TEST_SUITE_END();

  using step = scripted_server::scripted_response;

  static inline const std::string first_event = "id: 1\ndata: a\n\n";
  static inline const std::string second_event = "id: 2\ndata: b\n\n";
  static inline const std::string signed_fields =
      "X-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: seal\r\n";

  /// The servers play the steps in the order in which requests arrive, whichever is chosen.
  void play(const std::vector<step>& steps)
  {
    while (m_servers.size() < steps.size())
    {
      add_server();
    }
    for (const auto& server : m_servers)
    {
      server->behaviour = [this, steps](const auto&)
      {
        return steps.at(std::min(total_requests(), steps.size()) - 1);
      };
    }
    send(request("/stream/a", "r1"));
  }

  static step break_off_behind(const std::string& events)
  {
    return {.bytes = stream_head("r1") + encode_chunk(events), .reset = true};
  }

  void check_cut_behind(const std::string& message, const std::string& events)
  {
    run_until([this] { return m_ended; });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, encode_chunk(events),
                                 m_received.substr(m_received.find("\r\n\r\n") + 4));
  }

  void start_again()
  {
    tearDown();
    setUp();
  }

public:
  /// Guards against a second head within the body of a response that has begun (review/7): the
  /// failure of the second server was forwarded as if nothing had been sent before.
  void answer_without_events_is_not_written_into_the_stream()
  {
    for (const std::string status :
         {"200 OK", "204 No Content", "302 Found", "404 Not Found", "409 Conflict"})
    {
      const std::string rest = status.starts_with("204") ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
      play({break_off_behind(first_event), {"HTTP/1.1 " + status + "\r\n" + signed_fields + rest}});
      check_cut_behind(status, first_event);
      start_again();
    }
  }

  void stream_goes_on_behind_an_answer_without_events()
  {
    auto config = make_config();
    config.version = 2;
    config.routes.back().max_attempts = 3;
    m_gateway->set_config(std::move(config));
    play({break_off_behind(first_event),
          {"HTTP/1.1 409 Conflict\r\n" + signed_fields + "Content-Length: 0\r\n\r\n"},
          {stream_head("r1") + encode_chunk(second_event) + "0\r\n\r\n"}});
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(200U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(first_event + second_event, reply.body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(continued_stream_test, "Gateway.ContinuedStream");

} // namespace
