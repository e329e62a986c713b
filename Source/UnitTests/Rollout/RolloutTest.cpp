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

std::vector<rollout_host> make_hosts(const std::vector<std::pair<std::string, int>>& regions)
{
  std::vector<rollout_host> hosts;
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
  CPPUNIT_TEST(all_hosts_agree_on_the_first_reader_of_a_piece);
  CPPUNIT_TEST(first_reads_are_spread_over_hosts);
  CPPUNIT_TEST(corrupt_pieces_are_rejected);
  CPPUNIT_TEST(engine_loads_are_spread_over_time);
  CPPUNIT_TEST(loads_of_late_pieces_are_spread_over_the_time_left);
  CPPUNIT_TEST(longer_limit_gives_loads_more_time);
  CPPUNIT_TEST(engine_without_weights_loads_in_two_parts);
  CPPUNIT_TEST(layer_ranges_cover_all_pieces);
  CPPUNIT_TEST(engine_loads_once_its_requests_finish);
  CPPUNIT_TEST(unanswered_order_is_not_repeated_at_once);
  CPPUNIT_TEST(prefill_backlog_decreases_over_time);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against extra copies from the origin and over regional links: hosts with the same host
  /// list agree on who reads a piece first, and on the fallback order.
  void all_hosts_agree_on_the_first_reader_of_a_piece()
  {
    for (const auto& hosts : {make_hosts({{"east", 6}, {"north", 5}, {"south", 5}}),
                              make_hosts({{"east", 1}}), make_hosts({{"east", 1}, {"north", 1}})})
    {
      for (std::uint32_t piece = 0; piece < pieces; ++piece)
      {
        std::set<std::size_t> origin_ranks;
        std::map<std::string, std::set<std::size_t>> region_ranks;
        for (const rollout_host& host : hosts)
        {
          const piece_plan plan(hosts, host.ip);
          origin_ranks.insert(plan.origin_rank(piece));
          region_ranks[host.region].insert(plan.region_rank(piece));
          if (plan.origin_rank(piece) == 0)
          {
            // The first reader from the origin is also the first reader in its region.
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

  /// Guards against one host's link carrying the first copies of all pieces.
  void first_reads_are_spread_over_hosts()
  {
    const auto hosts = make_hosts({{"east", 6}, {"north", 5}, {"south", 5}});
    for (const rollout_host& host : hosts)
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

  void corrupt_pieces_are_rejected()
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

  /// Guards against all engines aborting their requests for new weights at the same time.
  void engine_loads_are_spread_over_time()
  {
    constexpr std::size_t hosts = 27;
    std::map<std::int64_t, int> loads_per_half_second;
    for (std::size_t position = 0; position < hosts; ++position)
    {
      const auto delay = planned_load_delay({.slot = {position, hosts}});
      ++loads_per_half_second[delay.count() / 500];
      // Leaves 1 s to drain and load and 1 s of margin within the 8 s time limit of a version.
      CPPUNIT_ASSERT(delay <= milliseconds(6000));
    }
    for (const auto& [half_second, count] : loads_per_half_second)
    {
      CPPUNIT_ASSERT(count <= static_cast<int>(hosts / 3));
    }
    load_inputs inputs;
    inputs.report.weight_version = 1;
    inputs.holds_all_layers = true;
    inputs.ready_version = 2;
    inputs.plan.slot = {14, hosts};
    inputs.version_age = planned_load_delay({.slot = {0, hosts}});
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.version_age = planned_load_delay(inputs.plan);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::drain);
    inputs.report.busy = true;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.report = {};
    inputs.holds_all_layers = false;
    inputs.version_age = milliseconds(0);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load);
  }

  /// Guards against engines that all load at once because their pieces came behind their slots.
  void loads_of_late_pieces_are_spread_over_the_time_left()
  {
    constexpr std::size_t hosts = 100;
    constexpr milliseconds ready_after{4000};
    std::map<std::int64_t, int> loads_per_half_second;
    for (std::size_t position = 0; position < hosts; ++position)
    {
      const auto delay =
          planned_load_delay({.slot = {position, hosts}, .ready_after = ready_after});
      ++loads_per_half_second[delay.count() / 500];
      CPPUNIT_ASSERT(delay >= ready_after);
      CPPUNIT_ASSERT(delay <= milliseconds(6000));
    }
    for (const auto& [half_second, count] : loads_per_half_second)
    {
      CPPUNIT_ASSERT(count <= static_cast<int>(hosts / 2));
    }
    // Nothing can be spread any more: every engine loads as soon as it can.
    CPPUNIT_ASSERT(planned_load_delay({.slot = {99, hosts}, .ready_after = milliseconds(7000)}) ==
                   milliseconds(7000));
  }

  void longer_limit_gives_loads_more_time()
  {
    const load_slot last{99, 100};
    const auto usual = planned_load_delay({.slot = last, .version_limit = milliseconds(8000)});
    const auto longer = planned_load_delay({.slot = last, .version_limit = milliseconds(10000)});
    CPPUNIT_ASSERT(longer > usual + milliseconds(1500));
    CPPUNIT_ASSERT(longer <= milliseconds(8000));
  }

  /// Guards against an engine that waits for all pieces although half of them would let it serve,
  /// and against one that never loads its second half or aborts its requests to load it.
  void engine_without_weights_loads_in_two_parts()
  {
    load_inputs inputs;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.first_part_ready = true;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load_first_part);
    inputs.report.weight_version = 2;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.ready_version = 2;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load_rest);
    inputs.report.busy = true;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.report.busy = false;
    // Layers of different versions cannot be combined.
    inputs.ready_version = 3;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load);
    inputs.ready_version = 1;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.ready_version = 2;
    inputs.holds_all_layers = true;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
  }

  void layer_ranges_cover_all_pieces()
  {
    const weight_shape shape{16, 48};
    CPPUNIT_ASSERT((first_layers(0, shape) == protocol::layer_range{0, 8}));
    CPPUNIT_ASSERT((first_layers(3, shape) == protocol::layer_range{8, 16}));
    CPPUNIT_ASSERT((pieces_for_layers({0, 8}, shape) == piece_range{0, 24}));
    CPPUNIT_ASSERT((pieces_for_layers({8, 16}, shape) == piece_range{24, 48}));
    // A piece that spans the boundary of two layers belongs to both.
    const weight_shape uneven{3, 8};
    CPPUNIT_ASSERT((pieces_for_layers({0, 1}, uneven) == piece_range{0, 3}));
    CPPUNIT_ASSERT((pieces_for_layers({1, 3}, uneven) == piece_range{2, 8}));
    // A model with one layer is not split.
    CPPUNIT_ASSERT((first_layers(0, {1, 8}) == protocol::layer_range{0, 1}));
    CPPUNIT_ASSERT((first_layers(1, {1, 8}) == protocol::layer_range{0, 1}));
    for (const std::uint32_t count : {1U, 2U, 7U, 48U})
    {
      const auto order = reading_order(count, {});
      const std::set<std::uint32_t> all(order.begin(), order.end());
      CPPUNIT_ASSERT_EQUAL(std::size_t{count}, all.size());
      for (std::uint32_t place = 0; place < count; ++place)
      {
        CPPUNIT_ASSERT_EQUAL(place, origin_read_rank(order[place], count));
      }
    }
    const auto second_half_order = reading_order(48, {24, 48});
    CPPUNIT_ASSERT_EQUAL(24U, second_half_order.front());
    CPPUNIT_ASSERT_EQUAL(0U, second_half_order[24]);
  }

  /// Guards against aborting requests that would have finished in time, and against an engine that
  /// stays idle for its last long answer.
  void engine_loads_once_its_requests_finish()
  {
    load_inputs inputs;
    inputs.report.weight_version = 1;
    inputs.holds_all_layers = true;
    inputs.report.running = 3;
    inputs.ready_version = 2;
    inputs.version_age = planned_load_delay({.slot = {0, 1}});
    inputs.draining_for = milliseconds(100);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.report.running = 0;
    inputs.report.waiting = 1;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.report.waiting = 0;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load);
    inputs.report.running = 1;
    inputs.draining_for = milliseconds(2000);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load);
    inputs.report.waiting = 1;
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
  }

  void unanswered_order_is_not_repeated_at_once()
  {
    load_inputs inputs;
    inputs.ready_version = 2;
    inputs.unanswered_order_age = milliseconds(100);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::wait);
    inputs.unanswered_order_age = milliseconds(5000);
    CPPUNIT_ASSERT(decide_load(inputs) == load_action::load);
  }

  void prefill_backlog_decreases_over_time()
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
