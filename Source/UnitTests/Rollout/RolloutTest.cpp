#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Digest.h"
#include "Rollout/LoadRule.h"
#include "Rollout/PiecePlan.h"
#include "Rollout/PieceSet.h"
#include "Rollout/ReadBacklog.h"
#include "Rollout/WeightParts.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;

constexpr std::uint32_t pieces = 48;

std::vector<plan_host> make_hosts(const std::vector<std::pair<std::string, int>>& regions)
{
  std::vector<plan_host> hosts;
  int number = 100;
  for (const auto& [region, count] : regions)
  {
    for (int i = 0; i < count; ++i)
    {
      hosts.push_back({"10.0.0." + std::to_string(number++), region});
    }
  }
  return hosts;
}

class rollout_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(rollout_test);
  CPPUNIT_TEST(each_piece_has_one_first_reader_everywhere);
  CPPUNIT_TEST(first_readers_are_spread_over_hosts);
  CPPUNIT_TEST(spoilt_pieces_are_not_kept);
  CPPUNIT_TEST(engines_take_turns_to_load);
  CPPUNIT_TEST(engine_without_weights_loads_in_two_parts);
  CPPUNIT_TEST(parts_of_the_weights_cover_all_pieces);
  CPPUNIT_TEST(engine_loads_when_its_work_has_ended);
  CPPUNIT_TEST(order_with_lost_answer_is_not_repeated_at_once);
  CPPUNIT_TEST(backlog_drains_with_time);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against extra copies from the origin and over regional links: hosts that know the same
  /// hosts agree on who reads a piece first, and who reads it if these do not.
  void each_piece_has_one_first_reader_everywhere()
  {
    for (const auto& hosts : {make_hosts({{"east", 6}, {"north", 5}, {"south", 5}}),
                              make_hosts({{"east", 1}}), make_hosts({{"east", 1}, {"north", 1}})})
    {
      for (std::uint32_t piece = 0; piece < pieces; ++piece)
      {
        std::set<std::size_t> origin_ranks;
        std::map<std::string, std::set<std::size_t>> region_ranks;
        for (const plan_host& host : hosts)
        {
          const piece_plan plan(hosts, host.ip);
          origin_ranks.insert(plan.origin_rank(piece));
          region_ranks[host.region].insert(plan.region_rank(piece));
          if (plan.origin_rank(piece) == 0)
          {
            // The first reader of the origin is its region's first as well.
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, plan.region_rank(piece));
          }
        }
        CPPUNIT_ASSERT_EQUAL(hosts.size(), origin_ranks.size());
        CPPUNIT_ASSERT_EQUAL(hosts.size() - 1, *origin_ranks.rbegin());
        for (const auto& [region, ranks] : region_ranks)
        {
          CPPUNIT_ASSERT_EQUAL(ranks.size() - 1, *ranks.rbegin());
        }
      }
    }
  }

  /// Guards against a host whose link carries the first copies of all pieces.
  void first_readers_are_spread_over_hosts()
  {
    const auto hosts = make_hosts({{"east", 6}, {"north", 5}, {"south", 5}});
    for (const plan_host& host : hosts)
    {
      const piece_plan plan(hosts, host.ip);
      unsigned first = 0;
      for (std::uint32_t piece = 0; piece < pieces; ++piece)
      {
        first += plan.origin_rank(piece) == 0 ? 1U : 0U;
      }
      CPPUNIT_ASSERT(first >= 2 && first <= 4);
    }
  }

  void spoilt_pieces_are_not_kept()
  {
    const std::string good(100, 'g');
    auto set = piece_set::make({.model = "m",
                                .version = 2,
                                .chunk_bytes = 100,
                                .digests = {to_hex(sha256(std::string_view(good)))}});
    CPPUNIT_ASSERT(set);
    CPPUNIT_ASSERT(!set->put(0, std::string(100, 'b')));
    CPPUNIT_ASSERT(!set->put(1, good));
    CPPUNIT_ASSERT(!set->is_complete());
    CPPUNIT_ASSERT(set->put(0, good));
    CPPUNIT_ASSERT(set->is_complete());
    CPPUNIT_ASSERT(!piece_set::make({.digests = {"xyz"}}));
  }

  /// Guards against all engines ending their work for new weights at the same time.
  void engines_take_turns_to_load()
  {
    constexpr std::size_t hosts = 27;
    std::map<std::int64_t, int> begun_in_half_second;
    for (std::size_t position = 0; position < hosts; ++position)
    {
      const auto turn = planned_load({position, hosts});
      ++begun_in_half_second[turn.count() / 500];
      // A second to drain and load and a second to spare are left of the eight that a version has.
      CPPUNIT_ASSERT(turn <= milliseconds(6000));
    }
    for (const auto& [half_second, count] : begun_in_half_second)
    {
      CPPUNIT_ASSERT(count <= static_cast<int>(hosts / 3));
    }
    load_facts facts;
    facts.report.weight_version = 1;
    facts.whole = true;
    facts.ready_version = 2;
    facts.turn = {14, hosts};
    facts.known_for = planned_load({0, hosts});
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.known_for = planned_load(facts.turn);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::drain);
    facts.report.busy = true;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.report = {};
    facts.whole = false;
    facts.known_for = milliseconds(0);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
  }

  /// Guards against an engine that waits for all pieces while half of them would let it serve, and
  /// against one that stays with half of its layers or ends its work to load the others.
  void engine_without_weights_loads_in_two_parts()
  {
    load_facts facts;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.first_part_ready = true;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load_first_part);
    facts.report.weight_version = 2;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.ready_version = 2;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load_rest);
    facts.report.busy = true;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.report.busy = false;
    // Layers of two versions would not make one model.
    facts.ready_version = 3;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
    facts.ready_version = 1;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.ready_version = 2;
    facts.whole = true;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
  }

  void parts_of_the_weights_cover_all_pieces()
  {
    const weight_shape shape{16, 48};
    CPPUNIT_ASSERT((first_layers(0, shape) == protocol::layer_range{0, 8}));
    CPPUNIT_ASSERT((first_layers(3, shape) == protocol::layer_range{8, 16}));
    CPPUNIT_ASSERT((pieces_of({0, 8}, shape) == piece_range{0, 24}));
    CPPUNIT_ASSERT((pieces_of({8, 16}, shape) == piece_range{24, 48}));
    // A piece at the border of two layers belongs to both.
    const weight_shape uneven{3, 8};
    CPPUNIT_ASSERT((pieces_of({0, 1}, uneven) == piece_range{0, 3}));
    CPPUNIT_ASSERT((pieces_of({1, 3}, uneven) == piece_range{2, 8}));
    // Weights of one layer have no parts.
    CPPUNIT_ASSERT((first_layers(0, {1, 8}) == protocol::layer_range{0, 1}));
    CPPUNIT_ASSERT((first_layers(1, {1, 8}) == protocol::layer_range{0, 1}));
    for (const std::uint32_t count : {1U, 2U, 7U, 48U})
    {
      const auto order = reading_order(count, {});
      const std::set<std::uint32_t> all(order.begin(), order.end());
      CPPUNIT_ASSERT_EQUAL(std::size_t{count}, all.size());
      for (std::uint32_t place = 0; place < count; ++place)
      {
        CPPUNIT_ASSERT_EQUAL(place, origin_turn(order[place], count));
      }
    }
    const auto second_half_first = reading_order(48, {24, 48});
    CPPUNIT_ASSERT_EQUAL(24U, second_half_first.front());
    CPPUNIT_ASSERT_EQUAL(0U, second_half_first[24]);
  }

  /// Guards against running work that is cut although it would have ended, and against an engine
  /// that stays idle for its last long answer.
  void engine_loads_when_its_work_has_ended()
  {
    load_facts facts;
    facts.report.weight_version = 1;
    facts.whole = true;
    facts.report.running = 3;
    facts.ready_version = 2;
    facts.known_for = planned_load({0, 1});
    facts.drained_for = milliseconds(100);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.report.running = 0;
    facts.report.waiting = 1;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.report.waiting = 0;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
    facts.report.running = 1;
    facts.drained_for = milliseconds(2000);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
  }

  void order_with_lost_answer_is_not_repeated_at_once()
  {
    load_facts facts;
    facts.ready_version = 2;
    facts.order_unknown_for = milliseconds(100);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.order_unknown_for = milliseconds(5000);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
  }

  void backlog_drains_with_time()
  {
    read_backlog backlog;
    const read_backlog::time_point t0{};
    backlog.set_rate(20000);
    backlog.add(3000, t0);
    backlog.add(1000, t0);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4000}, backlog.unread(t0));
    CPPUNIT_ASSERT(backlog.unread(t0 + milliseconds(100)) < 4000);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, backlog.unread(t0 + std::chrono::seconds(5)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rollout_test, "Rollout");

} // namespace
