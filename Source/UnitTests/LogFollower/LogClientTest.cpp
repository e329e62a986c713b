#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "LogFollower/LogClient.h"
#include "LogFollower/StateReplica.h"
#include "Protocol/LogRecord.h"
#include "UnitTests/LogFollower/FakeLog.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::log_follower;
using std::chrono::milliseconds;
using test::fake_log;

struct append_case
{
  std::string name;
  std::function<void(fake_log::faults&)> fault;
  /// Offset of the append, or the error.
  std::uint64_t offset = 0;
  std::optional<error_code> failure;
  /// Records with the id in the log afterwards.
  int copies = 0;
};

class log_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(log_client_test);
  CPPUNIT_TEST(append_once_under_faults);
  CPPUNIT_TEST(reads);
  CPPUNIT_TEST(deliveries_in_any_order_give_the_same_state);
  CPPUNIT_TEST(checkpoints_with_a_wrong_digest_are_refused);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an append that is reported as failed and took effect, or the reverse.
  void append_once_under_faults()
  {
    const std::vector<append_case> cases = {
        {"no fault", [](fake_log::faults&) {}, 2, {}, 1},
        {"slow", [](fake_log::faults& f) { f.delay = milliseconds(100); }, 2, {}, 1},
        {"busy at first", [](fake_log::faults& f) { f.refused_appends = 3; }, 2, {}, 1},
        {"lost answer", [](fake_log::faults& f) { f.lost_answers = 1; }, 2, {}, 1},
        // The first copy counts, because the fold drops the second one.
        {"late effect", [](fake_log::faults& f) { f.late_appends = 1; }, 2, {}, 2},
        {"down", [](fake_log::faults& f) { f.down = true; }, 0, error_code::unavailable, 0},
        {"lost answer, then down",
         [](fake_log::faults& f)
         {
           f.lost_answers = 1;
           f.down_after_lost_answer = true;
         },
         0, error_code::timeout, 1},
        {"lost answer, then expired",
         [](fake_log::faults& f)
         {
           f.lost_answers = 1;
           f.records_after_lost_answer = 3;
           f.retention = 2;
         },
         0, error_code::timeout, 1},
    };
    for (const append_case& entry : cases)
    {
      fake_log log;
      log.add(R"({"id":"other"})");
      log.change(entry.fault);
      log_client client(log.address());
      const auto result = client.append_once("fleet", "mine", R"({"id":"mine"})", log_offset{1},
                                             milliseconds(entry.failure ? 500 : 10000));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.name, !entry.failure, result.has_value());
      if (result)
      {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.name, entry.offset, result->offset.value);
      }
      else
      {
        CPPUNIT_ASSERT_MESSAGE(entry.name + ": " + result.error().message,
                               result.error().code == *entry.failure);
      }
      const auto records = log.records();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          entry.name, entry.copies,
          static_cast<int>(std::count(records.begin(), records.end(), R"({"id":"mine"})")));
    }
    fake_log log;
    log_client client(log.address());
    const auto refused = client.append_once("fleet", "x", "no JSON", {}, milliseconds(10000));
    CPPUNIT_ASSERT(!refused && refused.error().code == error_code::invalid_argument);
  }

  void reads()
  {
    fake_log log;
    log_client client(log.address());
    for (int i = 0; i < 5; ++i)
    {
      log.add(R"({"n":)" + std::to_string(i) + "}");
    }
    auto page = client.read("fleet", log_offset{2}, 3, milliseconds(0));
    CPPUNIT_ASSERT(page.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, page->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"n":1})"), page->records[0].text);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, page->next.value);
    log.change([](fake_log::faults& f) { f.retention = 2; });
    page = client.read("fleet", log_offset{2}, 3, milliseconds(0));
    CPPUNIT_ASSERT(!page && page.error().code == error_code::expired);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), page.error().message);
    log.change([](fake_log::faults& f) { f.down = true; });
    page = client.read("fleet", log_offset{4}, 3, milliseconds(0));
    CPPUNIT_ASSERT(!page && page.error().code == error_code::unavailable);
  }

  // Guards against processes that end in different states, or go back, because messages were
  // lost, repeated, late or out of order.
  void deliveries_in_any_order_give_the_same_state()
  {
    CPPUNIT_ASSERT(rc::check(
        "the state is that of the sequential fold and never goes back",
        []
        {
          const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
          std::vector<protocol::stream_record> log;
          std::vector<fleet::fleet_state> states(1);
          for (std::uint64_t i = 1; i <= count; ++i)
          {
            const std::string id = std::to_string(*rc::gen::inRange(0, 15));
            const std::string value = std::to_string(i);
            log.push_back({log_offset{i}, 0,
                           protocol::format_log_record(
                               {id, protocol::config_record{"k" + std::to_string(i % 3), value}})});
            states.push_back(states.back());
            fleet::apply(states.back(), log.back());
          }
          state_replica replica;
          log_offset last;
          const auto check = [&]
          {
            RC_ASSERT(replica.state()->offset >= last);
            last = replica.state()->offset;
            RC_ASSERT(fleet::state_digest(*replica.state()) ==
                      fleet::state_digest(states[last.value]));
          };
          const int steps = *rc::gen::inRange(0, 30);
          for (int step = 0; step < steps; ++step)
          {
            const auto any = *rc::gen::inRange<std::uint64_t>(1, count + 1);
            const int kind = *rc::gen::inRange(0, 6);
            if (kind == 0)
            {
              replica.take_state(states[any]);
            }
            else if (kind == 1)
            {
              const auto from =
                  static_cast<std::ptrdiff_t>(std::min(any, replica.state()->offset.value + 1) - 1);
              replica.take_run(
                  log_offset{static_cast<std::uint64_t>(from) + 1},
                  std::vector(log.begin() + from,
                              log.end() - *rc::gen::inRange(std::ptrdiff_t{0},
                                                            static_cast<std::ptrdiff_t>(count) -
                                                                from + 1)));
            }
            else
            {
              const auto other = *rc::gen::inRange<std::uint64_t>(1, count + 1);
              replica.take_pushed(std::vector{log[any - 1], log[other - 1]});
            }
            check();
            if (const auto held = replica.records_from(log_offset{any}, 1000000))
            {
              RC_ASSERT(held->size() == (any > last.value ? 0 : last.value - any + 1));
            }
          }
          std::reverse(log.begin(), log.end());
          replica.take_pushed(log);
          check();
          RC_ASSERT(last.value == count);
          RC_ASSERT(!replica.has_gap());
        }));
  }

  void checkpoints_with_a_wrong_digest_are_refused()
  {
    fleet::fleet_state state;
    fleet::apply(state, {log_offset{3}, 0,
                         protocol::format_log_record({"i", protocol::config_record{"k", "v"}})});
    const std::string text = fleet::to_json(state).dump();
    const auto record = [&](const digest& as, std::uint64_t offset)
    {
      return protocol::stream_record{
          log_offset{9}, 0,
          protocol::format_log_record(
              {"c", protocol::checkpoint_record{log_offset{offset}, as, text}})};
    };
    const auto good = record(sha256(text), 3);
    CPPUNIT_ASSERT(checkpoint_state(good).has_value());
    CPPUNIT_ASSERT(!checkpoint_state(record(sha256("other"), 3)));
    CPPUNIT_ASSERT(!checkpoint_state(record(sha256(text), 4)));
    CPPUNIT_ASSERT(!checkpoint_state(without_checkpoint_state(good)));
    // The fold must not depend on the text that is left out between peers.
    fleet::fleet_state a = state;
    fleet::fleet_state b = state;
    fleet::apply(a, good);
    fleet::apply(b, without_checkpoint_state(good));
    CPPUNIT_ASSERT(fleet::state_digest(a) == fleet::state_digest(b));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, a.last_checkpoint.value);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(log_client_test, "LogClient");

} // namespace
