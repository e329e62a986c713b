#include <functional>
#include <memory>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "StandIns/RelayLoop.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using std::chrono::milliseconds;
using std::chrono::seconds;

class http_caller_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_caller_test);
  CPPUNIT_TEST(session_keeps_its_connection);
  CPPUNIT_TEST(session_ends_with_its_connection);
  CPPUNIT_TEST(call_after_a_time_out_leaves_silent_idle_connections);
  CPPUNIT_TEST(call_on_a_new_connection_leaves_silent_idle_connections);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  timer m_timer{m_loop};
  http_caller m_caller{m_loop};
  std::uint16_t m_port = 0;
  unsigned m_calls = 0;

  std::unique_ptr<http_listener> listen()
  {
    auto server = std::make_unique<http_listener>(
        m_loop,
        [this](const message_head&, const http_listener::responder& respond)
        {
          ++m_calls;
          respond({200, "text/plain", "body"});
        });
    CPPUNIT_ASSERT(server->listen({"127.0.0.1", m_port}));
    m_port = server->port();
    return server;
  }

  result<http_response> call(const std::shared_ptr<call_session>& session,
                             bool new_connection = false)
  {
    std::optional<result<http_response>> outcome;
    http_call what;
    what.address = {"127.0.0.1", m_port};
    what.target = "/";
    what.session = session;
    what.timeout = milliseconds(500);
    what.new_connection = new_connection;
    m_caller.call(what,
                  [&](result<http_response> got)
                  {
                    outcome = std::move(got);
                    m_loop.stop();
                  });
    CPPUNIT_ASSERT(!outcome);
    run_loop();
    CPPUNIT_ASSERT(outcome);
    return *outcome;
  }

  void run_loop()
  {
    m_timer.start(seconds(30), [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// Leaves two idle connections behind a relay, which go silent.
  std::unique_ptr<stand_ins::relay_loop> make_silent_connections()
  {
    auto relay = std::make_unique<stand_ins::relay_loop>();
    const auto front =
        relay->add_route({.listen = {"127.0.0.1", 0}, .target = {"127.0.0.1", m_port}});
    CPPUNIT_ASSERT(front);
    m_port = front->port;
    unsigned answered = 0;
    for (unsigned i = 0; i < 2; ++i)
    {
      m_caller.call({.address = *front, .target = "/"},
                    [&](const result<http_response>& got)
                    {
                      answered += got ? 1U : 0U;
                      m_loop.stop();
                    });
    }
    while (answered < 2)
    {
      run_loop();
    }
    relay->silence_open_connections();
    return relay;
  }

public:
  void session_keeps_its_connection()
  {
    const auto server = listen();
    const auto session = std::make_shared<call_session>();
    for (unsigned i = 0; i < 3; ++i)
    {
      CPPUNIT_ASSERT(call(session));
    }
    CPPUNIT_ASSERT_EQUAL(3U, m_calls);
  }

  /// Guards against a call that reaches another process than the one before in its session.
  void session_ends_with_its_connection()
  {
    auto server = listen();
    const auto session = std::make_shared<call_session>();
    CPPUNIT_ASSERT(call(session));
    server = nullptr;
    server = listen();
    const auto refused = call(session);
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.error().code == error_code::unavailable ||
                   refused.error().code == error_code::closed);
    CPPUNIT_ASSERT_EQUAL(1U, m_calls);
    CPPUNIT_ASSERT(call(nullptr));
    CPPUNIT_ASSERT_EQUAL(2U, m_calls);
  }

  /// Guards against one time-out after the other while all idle connections are silent.
  void call_after_a_time_out_leaves_silent_idle_connections()
  {
    const auto server = listen();
    const auto relay = make_silent_connections();
    const auto lost = call(nullptr);
    CPPUNIT_ASSERT(!lost && lost.error().code == error_code::timeout);
    CPPUNIT_ASSERT(call(nullptr));
  }

  void call_on_a_new_connection_leaves_silent_idle_connections()
  {
    const auto server = listen();
    const auto relay = make_silent_connections();
    CPPUNIT_ASSERT(call(nullptr, true));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_caller_test, "AsyncIo.HttpCaller");

} // namespace
