#include <chrono>
#include <string>

#include "Common/BootClock.h"
#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;

/// What becomes of requests that wait at an engine whose weights reach their time limit.
class version_limit_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(version_limit_test);
  CPPUNIT_TEST(waiting_request_moves_to_an_engine_with_the_new_version);
  CPPUNIT_TEST(waiting_request_is_taken_back_if_no_engine_has_the_new_version);
  CPPUNIT_TEST(stream_that_has_begun_stays);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds limit{2000};

  std::chrono::steady_clock::time_point m_named;

  void put_engine(std::size_t index, std::uint64_t version)
  {
    const scripted_server& server = *m_servers.at(index);
    m_gateway->put_backend({.id = server.id,
                            .service = "desk",
                            .address = {"127.0.0.1", server.port()},
                            .slots = 4,
                            .weight_version = version});
  }

  /// Sends a request to an engine with version 1 while version 2 is being loaded elsewhere.
  void send_request(const std::string& path)
  {
    put_engine(0, 1);
    m_named = current_time();
    m_gateway->add_version({"m", 2}, true);
    send(request(path, "r1"));
    run_until([this] { return m_servers[0]->requests.size() == 1; });
  }

public:
  void setUp() override
  {
    m_settings.version_limit = limit;
    gateway_fixture::setUp();
    auto config = make_config();
    config.version = 2;
    config.services["desk"] = {
        .name = "desk", .slots = 4, .engine = protocol::engine_speed{}, .model = "m"};
    m_gateway->set_config(std::move(config));
  }

  /// Guards against requests that an engine begins behind the time limit of its weights because
  /// they had waited in its queue.
  void waiting_request_moves_to_an_engine_with_the_new_version()
  {
    // Without streaming, as a stream would move after a silence too.
    send_request("/safe/a");
    add_server();
    put_engine(1, 2);
    m_servers[1]->script = {{signed_response("r1", "new")}};
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_servers[1]->requests.size());
    CPPUNIT_ASSERT_EQUAL(1U, m_servers[0]->closed);
    CPPUNIT_ASSERT(current_time() >= m_named + milliseconds(1000));
  }

  void waiting_request_is_taken_back_if_no_engine_has_the_new_version()
  {
    send_request("/safe/a");
    CPPUNIT_ASSERT_EQUAL(502U, wait_for_response().head.status);
    run_until([this] { return m_servers[0]->closed == 1; });
  }

  void stream_that_has_begun_stays()
  {
    send_request("/stream/a");
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string last = "id: 2\ndata: b\n\n";
    m_servers[0]->write(stream_head("r1") + encode_chunk(first));
    m_poll_timer.start(limit, [this] { m_loop.stop(); });
    m_loop.run();
    m_servers[0]->write(encode_chunk(last) + "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(first + last, wait_for_response().body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(version_limit_test, "Gateway.VersionLimit");

} // namespace
