#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;

/// What a caller sees behind the first head of a response.
class response_end_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(response_end_test);
  CPPUNIT_TEST(rejected_request_gets_one_response);
  CPPUNIT_TEST(cut_stream_without_a_length_is_reset);
  CPPUNIT_TEST(stream_without_a_length_that_is_cut_by_a_stop_is_reset);
  CPPUNIT_TEST(whole_stream_without_a_length_ends_in_order);
  CPPUNIT_TEST_SUITE_END();

  static inline const std::string event = "id: 1\ndata: a\n\n";

  /// Callers of HTTP/1.0 read a stream until the connection ends.
  void send_http_1_0_request()
  {
    std::string head = request("/stream/a", "r1");
    head.replace(head.find("HTTP/1.1"), 8, "HTTP/1.0");
    send(head);
  }

  void start_stream()
  {
    script_all({{stream_head("r1") + encode_chunk(event)}});
    send_http_1_0_request();
    run_until([this] { return m_received.find("data: a") != std::string::npos; });
  }

  void check_reset()
  {
    run_until([this] { return m_ended; });
    CPPUNIT_ASSERT(m_received.ends_with(event));
    CPPUNIT_ASSERT(m_end_reason == async_io::close_reason::reset);
  }

public:
  /// Guards against a second response to a request that was rejected before its
  /// body had arrived, when the rest of the body cannot be read.
  void rejected_request_gets_one_response()
  {
    const std::string head = "POST /none/ HTTP/1.1\r\nHost: a.example\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& rest :
         {std::string("no chunk\r\n"), encode_chunk(std::string(5U << 20U, 'x'))})
    {
      send(head);
      CPPUNIT_ASSERT_EQUAL(404U, wait_for_response().head.status);
      send(rest);
      run_until([this] { return m_ended; });
      CPPUNIT_ASSERT_EQUAL(std::string(), m_received);
      tearDown();
      setUp();
    }
  }

  /// Guards against a part that looks like the whole response, as nothing but
  /// the end of the connection ends it.
  void cut_stream_without_a_length_is_reset()
  {
    start_stream();
    m_gateway->remove_backend("s1", std::nullopt);
    m_servers.clear();
    check_reset();
  }

  /// The same at the end of a planned stop.
  void stream_without_a_length_that_is_cut_by_a_stop_is_reset()
  {
    m_settings.stop_grace = std::chrono::milliseconds(1000);
    start_stream();
    m_gateway->stop([] {});
    check_reset();
  }

  void whole_stream_without_a_length_ends_in_order()
  {
    constexpr std::size_t large = 200'000;
    std::string events;
    for (int i = 1; i <= 20; ++i)
    {
      events += "id: " + std::to_string(i) + "\ndata: " + std::string(large, 'x') + "\n\n";
    }
    script_all({{stream_head("r1") + encode_chunk(events) + "0\r\n\r\n"}});
    send_http_1_0_request();
    run_until([this] { return m_received.size() > large; });
    // The end waits in the queue of the gateway meanwhile.
    m_caller->pause_reading();
    async_io::timer pause(m_loop);
    pause.start(std::chrono::milliseconds(300), [this] { m_caller->resume_reading(); });
    run_until([this] { return m_ended; });
    CPPUNIT_ASSERT(m_received.ends_with(events));
    CPPUNIT_ASSERT(m_end_reason == async_io::close_reason::end_of_stream);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(response_end_test, "Gateway.ResponseEnd");

} // namespace
