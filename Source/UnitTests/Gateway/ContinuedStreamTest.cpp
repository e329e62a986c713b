#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;

/// Streams whose server breaks off behind the first event and that continue at
/// another server.
class continued_stream_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(continued_stream_test);
  CPPUNIT_TEST(answer_without_events_is_not_written_into_the_stream);
  CPPUNIT_TEST(stream_goes_on_behind_an_answer_without_events);
  CPPUNIT_TEST(stream_without_event_ids_is_not_begun_again);
  CPPUNIT_TEST(continuation_lost_before_its_first_event_is_not_the_end);
  CPPUNIT_TEST_SUITE_END();

  using step = scripted_server::scripted_response;

  static inline const std::string first_event = "id: 1\ndata: a\n\n";
  static inline const std::string second_event = "id: 2\ndata: b\n\n";
  static inline const std::string signed_fields =
      "X-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: seal\r\n";

  /// The servers play the steps in the order in which requests arrive,
  /// whichever is chosen.
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

  /// Bytes that are queued when the connection is closed are dropped.
  void check_cut_behind(const std::string& message, const std::string& events)
  {
    run_until([this] { return m_ended; });
    const std::string body = m_received.substr(m_received.find("\r\n\r\n") + 4);
    CPPUNIT_ASSERT_MESSAGE(message + ": " + body, encode_chunk(events).starts_with(body));
  }

  void start_again()
  {
    tearDown();
    setUp();
  }

public:
  /// Guards against a second head within the body of a response that has begun
  /// (review/7): the failure of the second server was forwarded as if nothing
  /// had been sent before.
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

  /// Guards against events that are sent twice: without an id the second server
  /// cannot be told where to go on.
  void stream_without_event_ids_is_not_begun_again()
  {
    const std::string with_comment = ": comment\n\ndata: a\n\n";
    for (const std::string& events :
         {std::string("data: a\n\n"), with_comment, first_event + "data: b\n\n"})
    {
      play({break_off_behind(events),
            {stream_head("r1") + encode_chunk(events + second_event) + "0\r\n\r\n"}});
      check_cut_behind(events, events);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
      start_again();
    }
  }

  /// Guards against a stream that looks complete because the server that should
  /// have continued it crashed at once: its answer had no length.
  void continuation_lost_before_its_first_event_is_not_the_end()
  {
    play({break_off_behind(first_event),
          {.bytes =
               "HTTP/1.1 200 OK\r\n" + signed_fields + "Content-Type: text/event-stream\r\n\r\n",
           .close = true}});
    check_cut_behind("no event", first_event);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(continued_stream_test, "Gateway.ContinuedStream");

} // namespace
