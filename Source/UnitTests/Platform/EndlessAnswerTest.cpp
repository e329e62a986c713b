#include <functional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "UnitTests/EndlessServer.h"
#include "UnitTests/RunUntil.h"
#include "platform/EngineCalls.h"
#include "platform/StoreClient.h"

namespace
{

using namespace pollenyoke;
using std::chrono::milliseconds;
using std::chrono::seconds;

class endless_answer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(endless_answer_test);
  CPPUNIT_TEST(calls_to_the_store_end);
  CPPUNIT_TEST(health_checks_and_weight_calls_end);
  CPPUNIT_TEST_SUITE_END();

  using begin_call = std::function<void(async_io::http_caller&, const transport::endpoint&,
                                        std::function<void(bool)>)>;

  async_io::event_loop m_loop;

  void run_until(const std::function<bool()>& condition)
  {
    test::run_until(m_loop, condition);
  }

  /// The call ends without success, and the server is closed before it has sent all it can.
  void expect_failure(const std::string& name, const begin_call& begin)
  {
    for (const auto& answer : test::endless_answers(""))
    {
      const std::string message = name + ": " + answer.name;
      test::endless_server server(m_loop, answer.head, answer.filler);
      async_io::http_caller caller(m_loop);
      bool ended = false;
      bool succeeded = false;
      begin(caller, {"127.0.0.1", server.port()},
            [&](bool success)
            {
              ended = true;
              succeeded = success;
            });
      run_until([&] { return ended; });
      CPPUNIT_ASSERT_MESSAGE(message, !succeeded);
      run_until(
          [&]
          {
            return server.was_stopped_by_its_caller() ||
                   server.sent_bytes() >= test::endless_server::give_up_bytes;
          });
      CPPUNIT_ASSERT_MESSAGE(message, server.was_stopped_by_its_caller());
    }
  }

  static begin_call
  engine_call(const std::function<async_io::http_call(const transport::endpoint&)>& make)
  {
    return [make](async_io::http_caller& caller, const transport::endpoint& server,
                  const std::function<void(bool)>& done)
    {
      caller.call(make(server), [done](const result<async_io::http_response>& answer)
                  { done(answer && answer->head.status == 200); });
    };
  }

public:
  /// Guards against a store in trouble that fills the memory of every process.
  void calls_to_the_store_end()
  {
    const auto topic = state_feed::record_topic::operator_records;
    expect_failure("newest",
                   [topic](auto& caller, const auto& server, auto done)
                   {
                     auto store = std::make_shared<platform::store_client>(caller, server);
                     store->newest(topic,
                                   [store, done](const auto& page) { done(page.has_value()); });
                   });
    expect_failure("read",
                   [topic](auto& caller, const auto& server, auto done)
                   {
                     platform::store_client(caller, server)
                         .read(topic, {.wait = milliseconds(500)},
                               [done](const auto& page) { done(page.has_value()); });
                   });
  }

  /// Guards against an engine or an origin in trouble that fills the memory of an agent or an
  /// entry.
  void health_checks_and_weight_calls_end()
  {
    expect_failure("report", engine_call([](const transport::endpoint& engine)
                                         { return platform::report_call(engine); }));
    expect_failure("manifest", engine_call([](const transport::endpoint& origin)
                                           { return platform::manifest_call(origin, "m", 2); }));
    expect_failure("piece", engine_call([](const transport::endpoint& origin)
                                        { return platform::piece_call(origin, "m", 2, 1); }));
    expect_failure("staged piece",
                   engine_call([](const transport::endpoint& engine)
                               { return platform::stage_get_call(engine, "m", 1); }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_answer_test, "Platform.EndlessAnswers");

} // namespace
