#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;

/// What becomes of a request whose server is sound and falls silent for a while.
class silent_server_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(silent_server_test);
  CPPUNIT_TEST(stream_is_kept_when_the_repeat_budget_is_used_up);
  CPPUNIT_TEST(stream_is_kept_when_no_attempt_is_left);
  CPPUNIT_TEST(plain_request_is_kept_when_the_repeat_budget_is_used_up);
  CPPUNIT_TEST(stream_moves_to_another_server_where_a_retry_is_allowed);
  CPPUNIT_TEST(stream_moves_as_soon_as_another_server_can_be_used);
  CPPUNIT_TEST_SUITE_END();

  // Longer than the silence after which a request may move to another server.
  static constexpr milliseconds silence{2000};
  static inline const std::string first_event = "id: 1\ndata: a\n\n";
  static inline const std::string second_event = "id: 2\ndata: b\n\n";

  /// The server that got the request last.
  scripted_server* m_serving = nullptr;

  void run_for(milliseconds time)
  {
    m_poll_timer.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// All servers refuse the first `refusals` attempts, and begin to answer the next ones with
  /// `answer`.
  void answer_with(const std::string& answer, unsigned refusals = 0)
  {
    for (const auto& server : m_servers)
    {
      server->behaviour = [this, answer, refusals, here = server.get()](const auto&)
      {
        m_serving = here;
        return scripted_server::scripted_response{total_requests() <= refusals ? not_executed
                                                                               : answer};
      };
    }
  }

  /// Runs until a server has sent the first event and has then been silent.
  void send_stream_request()
  {
    send(request("/stream/a", "r1"));
    run_until([this] { return m_received.find("data: a") != std::string::npos; });
    run_for(silence);
  }

  void check_rest_of_stream()
  {
    CPPUNIT_ASSERT(!m_ended);
    m_serving->write(encode_chunk(second_event) + "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(first_event + second_event, wait_for_response().body);
  }

public:
  /// Guards against an answer that is cut although its server would have completed it: the attempt
  /// was given up for a retry that the budget did not allow.
  void stream_is_kept_when_the_repeat_budget_is_used_up()
  {
    m_settings.repeats.share = 0;
    add_server();
    answer_with(stream_head("r1") + encode_chunk(first_event));
    send_stream_request();
    check_rest_of_stream();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
  }

  /// Guards against the same cut where earlier refusals have used up the attempts.
  void stream_is_kept_when_no_attempt_is_left()
  {
    constexpr unsigned refusals = 2;
    for (unsigned i = 0; i <= refusals; ++i)
    {
      add_server();
    }
    answer_with(stream_head("r1") + encode_chunk(first_event), refusals);
    send_stream_request();
    check_rest_of_stream();
    CPPUNIT_ASSERT_EQUAL(std::size_t{refusals + 1}, total_requests());
  }

  /// Guards against a request of unknown outcome that its server would have answered.
  void plain_request_is_kept_when_the_repeat_budget_is_used_up()
  {
    m_settings.repeats.share = 0;
    auto config = make_config();
    config.version = 2;
    for (protocol::route& route : config.routes)
    {
      route.objective = milliseconds(100);
    }
    m_gateway->set_config(std::move(config));
    add_server();
    answer_with("");
    send(request("/safe/a", "r1"));
    run_until([this] { return m_serving != nullptr; });
    run_for(milliseconds(600));
    m_serving->write(signed_response("r1", "late"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(200U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("late"), reply.body);
  }

  void stream_moves_to_another_server_where_a_retry_is_allowed()
  {
    add_server();
    answer_with(stream_head("r1") + encode_chunk(first_event));
    send(request("/stream/a", "r1"));
    run_until([this] { return m_received.find("data: a") != std::string::npos; });
    const scripted_server* first = m_serving;
    run_until([this] { return total_requests() == 2; });
    CPPUNIT_ASSERT(m_serving != first);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *m_serving->heads.front().find("Last-Event-Id"));
    check_rest_of_stream();
  }

  /// Guards against a stream that waits for one more whole silence after a retry has become
  /// possible.
  void stream_moves_as_soon_as_another_server_can_be_used()
  {
    answer_with(stream_head("r1") + encode_chunk(first_event));
    send_stream_request();
    add_server();
    answer_with(stream_head("r1") + encode_chunk(second_event) + "0\r\n\r\n");
    // Shorter than the rest of a second silence.
    run_for(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, total_requests());
    CPPUNIT_ASSERT_EQUAL(first_event + second_event, wait_for_response().body);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(silent_server_test, "Gateway.SilentServer");

} // namespace
