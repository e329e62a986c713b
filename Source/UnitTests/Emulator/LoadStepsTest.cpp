#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Emulator/AnswerContent.h"
#include "Emulator/EngineWork.h"
#include "Emulator/LoadPlan.h"
#include "UnitTests/RunUntil.h"
#include "platform/Decode.h"
#include "platform/EngineCalls.h"
#include "platform/Names.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::emulator;
using std::chrono::milliseconds;

class recorded_reply : public http_reply
{
public:
  void send(unsigned status, std::string_view /*fields*/, std::string_view body) override
  {
    m_status = status;
    m_body = body;
    m_ended = true;
  }
  void begin_stream(std::string_view /*fields*/) override
  {
    m_status = 200;
  }
  void write_chunk(std::string_view data) override
  {
    m_body += data;
    ++m_chunks;
  }
  void end_stream() override
  {
    m_ended = true;
  }
  void send_raw(std::string bytes) override
  {
    m_body = std::move(bytes);
  }
  void send_endless(std::string /*head*/, std::string /*filler*/) override {}
  void end_connection() override {}
  void silence() override {}
  void reset() override
  {
    m_reset = true;
  }
  void on_caller_gone(std::function<void()> /*handler*/) override {}
  bool caller_is_gone() const override
  {
    return false;
  }

  /// 0: no answer.
  unsigned status() const
  {
    return m_status;
  }
  const std::string& body() const
  {
    return m_body;
  }
  unsigned chunks() const
  {
    return m_chunks;
  }
  bool is_ended() const
  {
    return m_ended;
  }
  bool is_reset() const
  {
    return m_reset;
  }

private:
  unsigned m_status = 0;
  std::string m_body;
  unsigned m_chunks = 0;
  bool m_ended = false;
  bool m_reset = false;
};

using reply_pointer = std::shared_ptr<recorded_reply>;

/// The steps of a load at an emulated engine, and what disturbs them.
class load_steps_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_steps_test);
  CPPUNIT_TEST(steps_are_named_in_their_order);
  CPPUNIT_TEST(late_order_takes_the_pieces_as_they_are_then);
  CPPUNIT_TEST(late_order_is_refused_if_another_was_accepted);
  CPPUNIT_TEST(order_without_an_answer_is_in_effect);
  CPPUNIT_TEST(order_on_a_reset_connection_is_not_accepted);
  CPPUNIT_TEST(pieces_that_were_read_back_turn_bad);
  CPPUNIT_TEST(problems_belong_to_their_layers);
  CPPUNIT_TEST(each_event_is_judged);
  CPPUNIT_TEST(waiting_request_for_the_old_version_is_refused);
  CPPUNIT_TEST(continuation_after_the_last_event_only_ends);
  CPPUNIT_TEST(plan_follows_from_the_seed);
  CPPUNIT_TEST(plan_spares_an_engine);
  CPPUNIT_TEST(plan_comes_to_each_step);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  recorder m_record;
  store_service m_store{m_loop, store_limits{}, 1};
  engine_directory m_directory;
  engine_model m_traits{.step_ms = 1, .pieces = 4, .piece_bytes = 64, .load_time = milliseconds(5)};
  const transport::endpoint m_address{"127.61.1.1", 24000};
  unsigned m_next_request = 0;

  std::unique_ptr<engine_work> make_engine(std::uint64_t version)
  {
    const server_environment environment{m_loop, m_record, m_store, 1};
    return std::make_unique<engine_work>(environment, "m1", m_traits, m_directory, version);
  }

  static reply_pointer call(engine_work& engine, const async_io::http_call& what)
  {
    auto reply = std::make_shared<recorded_reply>();
    http_request request;
    request.head.method = what.method;
    request.head.target = what.target;
    request.body = what.body;
    CPPUNIT_ASSERT(engine.answer_call(request, reply));
    return reply;
  }

  protocol::engine_report report(engine_work& engine) const
  {
    return platform::decode_engine_report(call(engine, platform::report_call(m_address))->body())
        .value();
  }

  void stage(engine_work& engine, std::uint64_t version, unsigned pieces) const
  {
    for (std::uint32_t number = 0; number < pieces; ++number)
    {
      call(engine, platform::stage_put_call(m_address, "m1", number,
                                            make_piece(version, number, m_traits.piece_bytes)));
    }
  }

  void read_back(engine_work& engine, unsigned pieces) const
  {
    for (std::uint32_t number = 0; number < pieces; ++number)
    {
      call(engine, platform::stage_get_call(m_address, "m1", number));
    }
  }

  reply_pointer order(engine_work& engine, std::uint64_t version, std::uint64_t expected,
                      const std::optional<protocol::layer_range>& layers = {}) const
  {
    return call(engine, platform::start_call(m_address, "m1", version, layers, expected,
                                             platform::running_work::finish));
  }

  void wait_for_load(engine_work& engine)
  {
    test::run_until(m_loop, [&] { return !report(engine).busy; });
  }

  /// A request with these header fields.
  std::shared_ptr<server_job> send(engine_work& engine, const reply_pointer& reply,
                                   std::vector<async_io::header_field> fields = {})
  {
    auto job = std::make_shared<server_job>();
    job->id = "r" + std::to_string(++m_next_request);
    job->run = 1;
    job->reply = reply;
    job->due = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    job->arrival = m_record.add_arrival({.request = job->id, .server = "i-1"});
    job->request.head.fields = std::move(fields);
    engine.accept(job);
    return job;
  }

  std::string problem_of(const server_job& job)
  {
    return m_record.arrival_at(job.arrival).weight_problem;
  }

  /// What is wrong with the layers of a request that runs through all of them.
  std::string run_request(engine_work& engine)
  {
    const auto reply = std::make_shared<recorded_reply>();
    const auto job = send(engine, reply);
    test::run_until(m_loop, [&reply] { return reply->is_ended(); });
    CPPUNIT_ASSERT_EQUAL(200U, reply->status());
    return problem_of(*job);
  }

  /// Observes all steps; the effect is that of the given one.
  static void disturb(engine_work& engine, load_step at, const step_effect& effect)
  {
    engine.observe_loads([at, effect](load_step step, double /*progress*/)
                         { return step == at ? effect : step_effect{}; });
  }

public:
  void steps_are_named_in_their_order()
  {
    const auto engine = make_engine(1);
    std::vector<load_step> steps;
    std::vector<double> progress;
    engine->observe_loads(
        [&](load_step step, double share)
        {
          steps.push_back(step);
          progress.push_back(share);
          return step_effect{};
        });
    stage(*engine, 2, 4);
    (void)report(*engine);
    read_back(*engine, 4);
    (void)report(*engine);
    order(*engine, 2, 0);
    wait_for_load(*engine);
    (void)run_request(*engine);
    const std::vector<load_step> expected{
        load_step::piece_staged,      load_step::piece_staged,      load_step::piece_staged,
        load_step::piece_staged,      load_step::piece_read_back,   load_step::piece_read_back,
        load_step::piece_read_back,   load_step::piece_read_back,   load_step::report_after_check,
        load_step::order_received,    load_step::order_accepted,    load_step::load_begun,
        load_step::report_after_load, load_step::request_after_load};
    CPPUNIT_ASSERT(expected == steps);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, progress[0], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, progress[3], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, progress[5], 1e-9);
  }

  void late_order_takes_the_pieces_as_they_are_then()
  {
    m_traits.spoilage_tolerance = milliseconds(10);
    const auto engine = make_engine(1);
    disturb(*engine, load_step::order_received, {.delay = milliseconds(50)});
    stage(*engine, 2, 4);
    engine->set_disturbance("late");
    const auto answer = order(*engine, 2, 0);
    engine->spoil_staged(1, 1);
    CPPUNIT_ASSERT_EQUAL(0U, answer->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report(*engine).orders);
    test::run_until(m_loop, [&answer] { return answer->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(202U, answer->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report(*engine).orders);
    wait_for_load(*engine);
    CPPUNIT_ASSERT(run_request(*engine).find("had been bad") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("late"), m_record.arrival_at(0).disturbed_load);
  }

  void late_order_is_refused_if_another_was_accepted()
  {
    const auto engine = make_engine(1);
    disturb(*engine, load_step::order_received, {.delay = milliseconds(30)});
    stage(*engine, 2, 4);
    const auto late = order(*engine, 2, 0);
    engine->observe_loads(nullptr);
    stage(*engine, 3, 4);
    CPPUNIT_ASSERT_EQUAL(202U, order(*engine, 3, 0)->status());
    test::run_until(m_loop, [&late] { return late->status() != 0; });
    CPPUNIT_ASSERT_EQUAL(409U, late->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, report(*engine).weight_version);
    CPPUNIT_ASSERT_EQUAL(std::string(), run_request(*engine));
  }

  void order_without_an_answer_is_in_effect()
  {
    const auto engine = make_engine(1);
    disturb(*engine, load_step::order_accepted, {.answer = answer_fate::lost});
    stage(*engine, 2, 4);
    const auto lost = order(*engine, 2, 0);
    wait_for_load(*engine);
    CPPUNIT_ASSERT_EQUAL(0U, lost->status());
    CPPUNIT_ASSERT(!lost->is_reset());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report(*engine).weight_version);
    CPPUNIT_ASSERT_EQUAL(200U, order(*engine, 2, 1)->status());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report(*engine).orders);
  }

  void order_on_a_reset_connection_is_not_accepted()
  {
    const auto engine = make_engine(1);
    disturb(*engine, load_step::order_received, {.answer = answer_fate::reset});
    stage(*engine, 2, 4);
    CPPUNIT_ASSERT(order(*engine, 2, 0)->is_reset());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, report(*engine).orders);
    CPPUNIT_ASSERT(!report(*engine).busy);
    // The engine accepts an order whose answer is reset.
    disturb(*engine, load_step::order_accepted, {.answer = answer_fate::reset});
    CPPUNIT_ASSERT(order(*engine, 2, 0)->is_reset());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, report(*engine).orders);
  }

  void pieces_that_were_read_back_turn_bad()
  {
    m_traits.spoilage_tolerance = milliseconds(0);
    const auto engine = make_engine(1);
    stage(*engine, 2, 4);
    read_back(*engine, 1);
    engine->spoil_read_back(1, 1);
    const auto is_whole = [&](std::uint32_t number)
    {
      return call(*engine, platform::stage_get_call(m_address, "m1", number))->body() ==
             make_piece(2, number, m_traits.piece_bytes);
    };
    CPPUNIT_ASSERT(!is_whole(0));
    CPPUNIT_ASSERT(is_whole(1));
    CPPUNIT_ASSERT(is_whole(3));
  }

  /// A layer that is whole is not blamed for another one.
  void problems_belong_to_their_layers()
  {
    m_traits.spoilage_tolerance = milliseconds(0);
    const auto engine = make_engine(0);
    m_directory[m_address] = engine.get();
    const unsigned half = m_traits.layers / 2;
    stage(*engine, 2, 4);
    order(*engine, 2, 0, protocol::layer_range{0, half});
    wait_for_load(*engine);
    engine->spoil_staged(1, 1);
    std::this_thread::sleep_for(milliseconds(3));
    order(*engine, 2, 1, protocol::layer_range{0, m_traits.layers});
    wait_for_load(*engine);
    const auto run = [&](const std::string& layers)
    {
      const auto reply = std::make_shared<recorded_reply>();
      const auto job = send(
          *engine, reply,
          {{std::string(platform::names::pipeline), transport::to_string(m_address) + "=" + layers},
           {std::string(platform::names::expected_weights), "2"}});
      test::run_until(m_loop, [&reply] { return reply->is_ended(); });
      return problem_of(*job);
    };
    CPPUNIT_ASSERT_EQUAL(std::string(), run("0-" + std::to_string(half)));
    CPPUNIT_ASSERT(!run(std::to_string(half) + "-" + std::to_string(m_traits.layers)).empty());
    CPPUNIT_ASSERT(!run_request(*engine).empty());
    // Layers that are dropped take their problem with them.
    order(*engine, 2, 2, protocol::layer_range{0, half});
    wait_for_load(*engine);
    stage(*engine, 2, 4);
    order(*engine, 2, 3, protocol::layer_range{0, m_traits.layers});
    wait_for_load(*engine);
    CPPUNIT_ASSERT_EQUAL(std::string(), run_request(*engine));
  }

  /// A request began with whole layers, of which one is loaded again from bad pieces.
  void each_event_is_judged()
  {
    m_traits.spoilage_tolerance = milliseconds(0);
    m_traits.step_ms = 20;
    const transport::endpoint second_address{"127.61.1.2", 24000};
    const auto first = make_engine(1);
    const auto second = make_engine(1);
    m_directory = {{m_address, first.get()}, {second_address, second.get()}};
    const unsigned half = m_traits.layers / 2;
    const auto reply = std::make_shared<recorded_reply>();
    const auto job = send(*first, reply,
                          {{std::string(platform::names::pipeline),
                            transport::to_string(m_address) + "=0-" + std::to_string(half) + "," +
                                transport::to_string(second_address) + "=" + std::to_string(half) +
                                "-" + std::to_string(m_traits.layers)},
                           {std::string(platform::names::expected_weights), "1"}});
    test::run_until(m_loop, [&reply] { return reply->chunks() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string(), problem_of(*job));
    second->spoil_staged(1, 1);
    std::this_thread::sleep_for(milliseconds(3));
    order(*second, 1, 0, protocol::layer_range{0, half});
    wait_for_load(*second);
    order(*second, 1, 1, protocol::layer_range{0, m_traits.layers});
    wait_for_load(*second);
    test::run_until(m_loop, [&reply] { return reply->chunks() > 1 || reply->is_reset(); });
    CPPUNIT_ASSERT(!reply->is_reset());
    CPPUNIT_ASSERT(problem_of(*job).find("had been bad") != std::string::npos);
  }

  void waiting_request_for_the_old_version_is_refused()
  {
    m_traits.load_time = milliseconds(30);
    const auto engine = make_engine(1);
    stage(*engine, 2, 4);
    const auto kept = std::make_shared<recorded_reply>();
    const auto refused = std::make_shared<recorded_reply>();
    const auto first = std::make_shared<recorded_reply>();
    (void)send(*engine, first);
    order(*engine, 2, 0);
    (void)send(*engine, kept);
    (void)send(*engine, refused, {{std::string(platform::names::expected_weights), "1"}});
    test::run_until(m_loop, [&] { return kept->is_ended() && refused->is_ended(); });
    CPPUNIT_ASSERT_EQUAL(200U, kept->status());
    CPPUNIT_ASSERT_EQUAL(421U, refused->status());
    CPPUNIT_ASSERT(!m_record.arrival_at(2).ran);
  }

  void continuation_after_the_last_event_only_ends()
  {
    const auto engine = make_engine(1);
    const auto reply = std::make_shared<recorded_reply>();
    const std::string id = "r" + std::to_string(m_next_request + 1);
    (void)send(*engine, reply,
               {{std::string(platform::names::last_event), std::to_string(event_count(id))}});
    test::run_until(m_loop, [&reply] { return reply->is_ended(); });
    CPPUNIT_ASSERT_EQUAL(200U, reply->status());
    CPPUNIT_ASSERT_EQUAL(0U, reply->chunks());
  }

  void plan_follows_from_the_seed()
  {
    const load_plan first = draw_load_plan(7, 25, 6);
    const load_plan again = draw_load_plan(7, 25, 6);
    CPPUNIT_ASSERT_EQUAL(first.loads.size(), again.loads.size());
    CPPUNIT_ASSERT(first.versions == again.versions);
    for (std::size_t i = 0; i < first.loads.size(); ++i)
    {
      CPPUNIT_ASSERT_EQUAL(first.loads[i].at, again.loads[i].at);
      CPPUNIT_ASSERT_EQUAL(first.loads[i].choice, again.loads[i].choice);
    }
    CPPUNIT_ASSERT(draw_load_plan(8, 25, 6).loads.front().choice != first.loads.front().choice);
  }

  void plan_spares_an_engine()
  {
    constexpr std::size_t engines = 6;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
      std::map<moment, std::set<std::size_t>> struck;
      for (const planned_load& load : draw_load_plan(seed, 25, engines).loads)
      {
        CPPUNIT_ASSERT(load.engine < engines);
        CPPUNIT_ASSERT(load.duration >= 3.2 && load.duration <= 4.5);
        CPPUNIT_ASSERT(struck[load.at].insert(load.engine).second);
      }
      for (const auto& [at, members] : struck)
      {
        CPPUNIT_ASSERT(members.size() < engines);
      }
    }
  }

  void plan_comes_to_each_step()
  {
    std::set<load_step> steps;
    std::set<load_strike> strikes;
    std::set<load_cause> causes;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
      for (const planned_load& load : draw_load_plan(seed, 25, 6).loads)
      {
        steps.insert(load.step);
        strikes.insert(load.strike);
        causes.insert(load.cause);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, steps.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, strikes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, causes.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_steps_test, "Emulator.LoadSteps");

} // namespace
