#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What callers get from an entry that is about to end.
class planned_stop_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(planned_stop_test);
  CPPUNIT_TEST(last_answer_reaches_a_slow_caller);
  CPPUNIT_TEST(process_outlasts_the_answers_that_it_still_sends);
  CPPUNIT_TEST(connection_is_not_idle_before_its_answer_is_sent);
  CPPUNIT_TEST(request_that_may_outlast_the_process_is_refused);
  CPPUNIT_TEST_SUITE_END();

  // More than the socket buffers hold, less than what the gateway keeps for a slow caller.
  static constexpr std::size_t event_bytes = 16384;
  static constexpr std::size_t event_count = 430;

  static std::string make_events()
  {
    std::string out;
    for (std::size_t id = 1; id <= event_count; ++id)
    {
      out += "id: " + std::to_string(id) + "\ndata: " + std::string(event_bytes, 'e') + "\n\n";
    }
    return out;
  }

  void run_for(milliseconds time)
  {
    m_poll_timer.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// Sends a request for a long stream and leaves the answer unread.
  void request_without_reading(const std::string& extra_fields)
  {
    script_all({{stream_head("r1") + encode_chunk(make_events()) + "0\r\n\r\n"}});
    bool sent = false;
    m_caller = async_io::tcp_connection::make(m_loop);
    m_caller->connect({"127.0.0.1", m_gateway->port()}, seconds(10),
                      [this, &sent, &extra_fields](const result<void>& outcome)
                      {
                        CPPUNIT_ASSERT(outcome);
                        m_caller->write(request("/stream/a", "r1", extra_fields));
                        sent = true;
                      });
    run_until([this, &sent] { return sent && total_requests() == 1; });
  }

  void read_answer()
  {
    m_caller->start([this](std::string_view data) { m_received.append(data); },
                    [this](async_io::close_reason) { m_ended = true; });
    run_until([this] { return m_ended; });
    CPPUNIT_ASSERT(m_received.ends_with("\r\n0\r\n\r\n"));
    async_io::http_parser parser(async_io::message_kind::response, {65536, 16U << 20U});
    parser.feed(m_received);
    CPPUNIT_ASSERT(parser.is_complete());
    CPPUNIT_ASSERT(make_events() == parser.take_body());
  }

public:
  /// Guards against connections that are closed a fixed time after the last byte was queued,
  /// however much the caller has yet to receive.
  void last_answer_reaches_a_slow_caller()
  {
    request_without_reading("Connection: close\r\n");
    run_for(milliseconds(1500));
    read_answer();
  }

  /// Guards against a process that ends between the last event of a server and its way to the
  /// caller: "the connection is closed in the middle of the answer".
  void process_outlasts_the_answers_that_it_still_sends()
  {
    m_settings.stop_grace = seconds(60);
    bool stopped = false;
    m_gateway->stop([&stopped] { stopped = true; });
    request_without_reading("");
    run_for(milliseconds(4000));
    CPPUNIT_ASSERT(!stopped);
    read_answer();
    run_until([&stopped] { return stopped; });
  }

  /// Guards against a kept connection that counts as idle, and is closed, while the end of its
  /// answer is still queued. The head of the answer was sent before the stop and promised to keep
  /// the connection.
  void connection_is_not_idle_before_its_answer_is_sent()
  {
    m_settings.stop_grace = seconds(60);
    request_without_reading("");
    run_for(milliseconds(500));
    bool stopped = false;
    m_gateway->stop([&stopped] { stopped = true; });
    run_for(milliseconds(4000));
    read_answer();
    run_until([&stopped] { return stopped; });
  }

  /// Guards against requests that are taken late in a planned stop and cut when the process ends.
  void request_that_may_outlast_the_process_is_refused()
  {
    m_settings.stop_grace = seconds(12);
    auto config = make_config();
    config.version = 2;
    config.limits.head_timeout = seconds(60);
    m_gateway->set_config(std::move(config));
    bool connected = false;
    m_caller = async_io::tcp_connection::make(m_loop);
    m_caller->connect({"127.0.0.1", m_gateway->port()}, seconds(10),
                      [this, &connected](const result<void>& outcome)
                      {
                        CPPUNIT_ASSERT(outcome);
                        m_caller->start([this](std::string_view data) { m_received.append(data); },
                                        [this](async_io::close_reason) { m_ended = true; });
                        connected = true;
                      });
    run_until([&connected] { return connected; });
    // A connection on which a request has begun stays open.
    const std::string whole = request("/once/a", "r1");
    m_caller->write(whole.substr(0, whole.size() / 2));
    run_for(milliseconds(100));
    bool stopped = false;
    m_gateway->stop([&stopped] { stopped = true; });
    run_for(milliseconds(3000));
    m_caller->write(whole.substr(whole.size() / 2));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(503U, reply.head.status);
    CPPUNIT_ASSERT(reply.head.find("Retry-After") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *reply.head.find("Connection"));
    run_until([&stopped] { return stopped; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(planned_stop_test, "Gateway.PlannedStop");

} // namespace
