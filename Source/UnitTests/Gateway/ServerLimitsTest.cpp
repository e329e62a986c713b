#include <algorithm>
#include <string>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using namespace pollenyoke::test;

/// Servers that name a limit of requests a second, with one entry.
class server_limits_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(server_limits_test);
  CPPUNIT_TEST(server_gets_no_more_requests_than_the_limit_that_it_names);
  CPPUNIT_TEST_SUITE_END();

  unsigned m_next_request = 0;

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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(server_limits_test, "Gateway.ServerLimits");

} // namespace
