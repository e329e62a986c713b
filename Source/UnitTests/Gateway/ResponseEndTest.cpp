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
  CPPUNIT_TEST_SUITE_END();

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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(response_end_test, "Gateway.ResponseEnd");

} // namespace
