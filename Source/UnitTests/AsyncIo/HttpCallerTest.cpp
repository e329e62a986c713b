#include <functional>
#include <memory>
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"

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

  result<http_response> call(const std::shared_ptr<call_session>& session)
  {
    std::optional<result<http_response>> outcome;
    http_call what;
    what.address = {"127.0.0.1", m_port};
    what.target = "/";
    what.session = session;
    m_caller.call(what,
                  [&](result<http_response> got)
                  {
                    outcome = std::move(got);
                    m_loop.stop();
                  });
    CPPUNIT_ASSERT(!outcome);
    m_timer.start(seconds(30), [this] { m_loop.stop(); });
    m_loop.run();
    CPPUNIT_ASSERT(outcome);
    return *outcome;
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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_caller_test, "AsyncIo.HttpCaller");

} // namespace
