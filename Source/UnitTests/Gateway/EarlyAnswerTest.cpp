#include <map>
#include <memory>
#include <string>
#include <vector>

#include "UnitTests/EarlyServer.h"
#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;

/// Answers without a length that arrive while their request is still being sent.
class early_answer_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(early_answer_test);
  CPPUNIT_TEST(part_of_an_answer_that_is_reset_is_not_forwarded);
  CPPUNIT_TEST(whole_answer_is_forwarded_though_the_upload_is_not);
  CPPUNIT_TEST(upload_that_its_caller_resets_is_not_forwarded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned callers = 4;
  static constexpr unsigned uploads = 60;
  static constexpr std::size_t body_bytes = 3'000'000;

  struct upload
  {
    async_io::tcp_connection::pointer connection;
    async_io::http_parser parser{async_io::message_kind::response, {}};
  };

  unsigned m_sent = 0;
  std::vector<async_io::http_response> m_answers;

  void send_next()
  {
    if (m_sent++ >= uploads)
    {
      return;
    }
    const auto next = std::make_shared<upload>();
    next->connection = async_io::tcp_connection::make(m_loop);
    next->connection->connect(
        {"127.0.0.1", m_gateway->port()}, std::chrono::seconds(10),
        [this, next](const result<void>& outcome)
        {
          CPPUNIT_ASSERT(outcome);
          next->connection->start([this, next](std::string_view data) { receive(next, data); },
                                  [](async_io::close_reason) {});
          next->connection->write(request("/once/a", "r1", "", std::string(body_bytes, 'b')));
        });
  }

  void receive(const std::shared_ptr<upload>& from, std::string_view data)
  {
    from->parser.feed(data);
    if (from->parser.is_complete())
    {
      m_answers.push_back({from->parser.head(), from->parser.take_body()});
      from->connection->close();
      send_next();
    }
  }

  void send_uploads(answer_end how)
  {
    const early_server server(how, "X-Pollenyoke-Request-Id: r1\r\n"
                                   "X-Pollenyoke-Response-Seal: seal\r\n");
    m_gateway->remove_backend("s1", std::nullopt);
    m_gateway->put_backend({.id = "early",
                            .service = "desk",
                            .address = {"127.0.0.1", server.port()},
                            .slots = callers});
    m_sent = 0;
    m_answers.clear();
    for (unsigned i = 0; i < callers; ++i)
    {
      send_next();
    }
    run_until([this] { return m_answers.size() == uploads; });
  }

public:
  /// Guards against a part of an answer that is forwarded as a whole one: a failed write took the
  /// reset from the socket, and the read behind it saw an orderly end.
  void part_of_an_answer_that_is_reset_is_not_forwarded()
  {
    send_uploads(answer_end::reset);
    for (const auto& answer : m_answers)
    {
      CPPUNIT_ASSERT_EQUAL(502U, answer.head.status);
    }
  }

  /// Guards against an answer that is dropped because a write failed before it was read.
  void whole_answer_is_forwarded_though_the_upload_is_not()
  {
    send_uploads(answer_end::in_order);
    for (const auto& answer : m_answers)
    {
      CPPUNIT_ASSERT_EQUAL(200U, answer.head.status);
      CPPUNIT_ASSERT_EQUAL(early_server::answer_bytes, answer.body.size());
    }
  }

  /// The other direction: what has arrived of a request is no request.
  void upload_that_its_caller_resets_is_not_forwarded()
  {
    for (const std::string framing : {"Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"})
    {
      send("POST /once/a HTTP/1.1\r\nHost: a.example\r\nApi-Key: key\r\n" + framing + "\r\n");
      run_until([this] { return m_caller->is_open(); });
      send("4\r\nbody");
      const auto sent = m_caller;
      run_until([&sent] { return sent->unsent_bytes() == 0; });
      m_caller->abort();
      m_caller = nullptr;
      script_all({{signed_response("r2", "x")}});
      send(request("/once/a", "r2"));
      CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
      CPPUNIT_ASSERT_EQUAL(std::string("r2"),
                           *m_servers.front()->heads.back().find("X-Pollenyoke-Request-Id"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
      tearDown();
      setUp();
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(early_answer_test, "Gateway.EarlyAnswer");

} // namespace
