#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "Emulator/CallerAttempt.h"
#include "Emulator/EngineWork.h"
#include "Emulator/PlainWork.h"
#include "UnitTests/RunUntil.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::emulator;
using std::chrono::milliseconds;

/// An emulated engine through the system's own calls and the emulator's callers.
class engine_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_test);
  CPPUNIT_TEST(request_is_answered_whole);
  CPPUNIT_TEST(engine_without_weights_refuses);
  CPPUNIT_TEST(staged_pieces_are_loaded_as_they_are);
  CPPUNIT_TEST(pieces_that_turned_bad_lately_are_excused);
  CPPUNIT_TEST(engine_holds_the_layers_that_the_order_names);
  CPPUNIT_TEST(order_with_an_old_number_is_refused);
  CPPUNIT_TEST(crash_ends_requests_and_forgets_weights);
  CPPUNIT_TEST(silent_engine_carries_out_orders_of_callers_that_closed);
  CPPUNIT_TEST(troubles_are_seen_by_the_caller);
  CPPUNIT_TEST_SUITE_END();

  using engine_server = server_of<engine_work>;

  async_io::event_loop m_loop;
  recorder m_record;
  store_service m_store{m_loop, store_limits{}, 1};
  engine_directory m_directory;
  engine_model m_traits{.step_ms = 1, .pieces = 4, .piece_bytes = 64, .load_time = milliseconds(5)};
  async_io::http_caller m_caller{m_loop};
  async_io::idle_pool m_pool{2};
  unsigned m_next_request = 0;

  std::unique_ptr<engine_server> make_engine(std::uint64_t version)
  {
    const server_environment environment{m_loop, m_record, m_store, 1};
    for (std::uint16_t port = 24000; port < 25000; ++port)
    {
      const server_identity identity{"models", "a", {"127.61.1.1", port}, m_traits.slots};
      auto made = std::make_unique<engine_server>(environment, identity, "m1", m_traits,
                                                  m_directory, version);
      if (made->start())
      {
        return made;
      }
    }
    CPPUNIT_FAIL("no free port");
    return nullptr;
  }

  const attempt& send(const backend_server& to)
  {
    caller_request request;
    request.route.name = "draft";
    request.route.path_prefix = "/draft/";
    request.route.host = "h";
    request.route.streaming = true;
    request.route.repeat = protocol::repeat_rule::idempotent;
    request.route.targets = {{"models", 1}};
    request.route.timeout = std::chrono::minutes(2);
    // Long enough to reach the caller's limit for an answer without end, also on a slow machine.
    request.deadline = std::chrono::minutes(2);
    std::optional<std::size_t> ended;
    // The engine is called as an entry does it, but for the key, which an entry takes out.
    std::make_shared<caller_attempt>(m_loop, m_record, m_pool)
        ->start(request, "r" + std::to_string(++m_next_request), "none", to.address(), false,
                [&ended](const attempt_outcome& outcome) { ended = outcome.attempt; });
    test::run_until(m_loop, [&ended] { return ended.has_value(); });
    return m_record.attempt_at(*ended);
  }

  result<async_io::http_response> call(async_io::http_call what)
  {
    std::optional<result<async_io::http_response>> answer;
    m_caller.call(std::move(what), [&answer](result<async_io::http_response> received)
                  { answer = std::move(received); });
    test::run_until(m_loop, [&answer] { return answer.has_value(); });
    return *answer;
  }

  protocol::engine_report report(const engine_server& of)
  {
    return platform::decode_engine_report(call(platform::report_call(of.address()))->body).value();
  }

  void wait_for_version(const engine_server& of, std::uint64_t version)
  {
    constexpr int max_reports = 10000;
    int reports = 0;
    while (report(of).weight_version != version)
    {
      CPPUNIT_ASSERT(++reports < max_reports);
    }
  }

  unsigned order(const engine_server& to, std::uint64_t version, std::uint64_t expected)
  {
    return call(platform::start_call(to.address(), "m1", version, std::nullopt, expected,
                                     platform::running_work::finish))
        ->head.status;
  }

  void stage(const engine_server& at, std::uint64_t version)
  {
    for (std::uint32_t number = 0; number < m_traits.pieces; ++number)
    {
      const auto answer = call(platform::stage_put_call(
          at.address(), "m1", number, make_piece(version, number, m_traits.piece_bytes)));
      CPPUNIT_ASSERT_EQUAL(200U, answer->head.status);
    }
  }

public:
  void request_is_answered_whole()
  {
    const auto engine = make_engine(1);
    const attempt& sent = send(*engine);
    CPPUNIT_ASSERT_EQUAL(std::string(), sent.problem);
    CPPUNIT_ASSERT(sent.answer == answer_state::whole);
    CPPUNIT_ASSERT_EQUAL(200U, sent.status);
    const arrival& came = m_record.arrival_at(0);
    CPPUNIT_ASSERT(came.ran && came.ended >= came.began);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, came.weight_version);
    CPPUNIT_ASSERT_EQUAL(std::string(), came.weight_problem);
    CPPUNIT_ASSERT_EQUAL(std::string("the caller's key was passed on"), came.changed);
  }

  void engine_without_weights_refuses()
  {
    const auto engine = make_engine(0);
    CPPUNIT_ASSERT_EQUAL(421U, send(*engine).status);
    CPPUNIT_ASSERT(!m_record.arrival_at(0).ran);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report(*engine).weight_version);
  }

  void staged_pieces_are_loaded_as_they_are()
  {
    const auto engine = make_engine(1);
    stage(*engine, 2);
    CPPUNIT_ASSERT_EQUAL(202U, order(*engine, 2, 0));
    wait_for_version(*engine, 2);
    (void)send(*engine);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_record.arrival_at(0).weight_problem);
    // The pieces that are staged belong to version 2, not to 3.
    CPPUNIT_ASSERT_EQUAL(202U, order(*engine, 3, 1));
    wait_for_version(*engine, 3);
    (void)send(*engine);
    CPPUNIT_ASSERT_EQUAL(std::string("layers were loaded from a wrong piece 0"),
                         m_record.arrival_at(1).weight_problem);
  }

  void pieces_that_turned_bad_lately_are_excused()
  {
    m_traits.spoilage_tolerance = std::chrono::minutes(5);
    const auto lenient = make_engine(1);
    m_traits.spoilage_tolerance = milliseconds(0);
    const auto strict = make_engine(1);
    for (auto* engine : {lenient.get(), strict.get()})
    {
      stage(*engine, 2);
      engine->work().spoil_staged(1, 1);
      std::this_thread::sleep_for(milliseconds(5));
      CPPUNIT_ASSERT_EQUAL(202U, order(*engine, 2, 0));
      wait_for_version(*engine, 2);
      (void)send(*engine);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), m_record.arrival_at(0).weight_problem);
    CPPUNIT_ASSERT(m_record.arrival_at(1).weight_problem.find("had been bad") != std::string::npos);
    // A piece that is staged again is whole.
    stage(*strict, 3);
    CPPUNIT_ASSERT_EQUAL(202U, order(*strict, 3, 1));
    wait_for_version(*strict, 3);
    (void)send(*strict);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_record.arrival_at(2).weight_problem);
  }

  /// Guards against spoilt layers that stay although the engine was ordered to drop them.
  void engine_holds_the_layers_that_the_order_names()
  {
    const auto engine = make_engine(1);
    stage(*engine, 3);
    CPPUNIT_ASSERT_EQUAL(202U, order(*engine, 2, 0));
    wait_for_version(*engine, 2);
    stage(*engine, 2);
    const unsigned half = m_traits.layers / 2;
    std::uint64_t orders = 1;
    for (const protocol::layer_range layers :
         {protocol::layer_range{0, half}, protocol::layer_range{half, m_traits.layers},
          protocol::layer_range{0, m_traits.layers}})
    {
      const auto answer = call(platform::start_call(engine->address(), "m1", 2, layers, orders++,
                                                    platform::running_work::finish));
      CPPUNIT_ASSERT_EQUAL(202U, answer->head.status);
      while (report(*engine).busy)
      {
      }
      CPPUNIT_ASSERT(report(*engine).layers == layers);
    }
    (void)send(*engine);
    CPPUNIT_ASSERT_EQUAL(std::string(), m_record.arrival_at(0).weight_problem);
  }

  void order_with_an_old_number_is_refused()
  {
    const auto engine = make_engine(1);
    stage(*engine, 2);
    CPPUNIT_ASSERT_EQUAL(409U, order(*engine, 2, 5));
    CPPUNIT_ASSERT_EQUAL(200U, order(*engine, 1, 0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report(*engine).orders);
  }

  void crash_ends_requests_and_forgets_weights()
  {
    const auto engine = make_engine(1);
    const auto before = report(*engine);
    const std::string id = engine->id();
    engine->crash(milliseconds(20), connection_fault::refused, false);
    CPPUNIT_ASSERT(!engine->is_up());
    test::run_until(m_loop, [&engine] { return engine->is_up(); });
    CPPUNIT_ASSERT(engine->id() != id);
    const auto after = report(*engine);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, after.weight_version);
    CPPUNIT_ASSERT(after.started_ms > before.started_ms);
  }

  void silent_engine_carries_out_orders_of_callers_that_closed()
  {
    const auto engine = make_engine(1);
    stage(*engine, 2);
    // The connection is there before the engine falls silent.
    (void)report(*engine);
    engine->fall_silent(milliseconds(200));
    auto late = platform::start_call(engine->address(), "m1", 2, std::nullopt, 0,
                                     platform::running_work::finish);
    late.timeout = milliseconds(50);
    CPPUNIT_ASSERT(!call(std::move(late)));
    wait_for_version(*engine, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report(*engine).orders);
  }

  /// Guards against faults that the soak counts as injected and that no one can notice.
  void troubles_are_seen_by_the_caller()
  {
    const auto engine = make_engine(1);
    engine->set_fault(server_fault::errors, 1);
    CPPUNIT_ASSERT_EQUAL(500U, send(*engine).status);
    engine->set_fault(server_fault::loses_answers, 1);
    CPPUNIT_ASSERT(send(*engine).answer == answer_state::none);
    engine->set_fault(server_fault::garbage, 1);
    CPPUNIT_ASSERT(send(*engine).answer != answer_state::whole);
    engine->set_fault(server_fault::endless_head, 1);
    CPPUNIT_ASSERT(send(*engine).answer == answer_state::wrong);
    engine->set_fault(server_fault::endless_body, 1);
    CPPUNIT_ASSERT(send(*engine).answer == answer_state::wrong);
    engine->set_fault(server_fault::extra_answer, 1);
    CPPUNIT_ASSERT(send(*engine).answer == answer_state::wrong);
    engine->set_fault(server_fault::none, 0);
    CPPUNIT_ASSERT_EQUAL(200U, send(*engine).status);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_test, "Emulator.Engine");

} // namespace
