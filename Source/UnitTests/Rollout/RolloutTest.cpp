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
  CPPUNIT_TEST(each_piece_leaves_the_origin_once_and_crosses_each_link_once);
  CPPUNIT_TEST(sends_are_spread_over_hosts);
  CPPUNIT_TEST(failed_sources_are_replaced_until_the_origin_is_asked);
  CPPUNIT_TEST(fetch_order_has_each_piece_once_and_own_ones_first);
  CPPUNIT_TEST(spoilt_pieces_are_not_kept);
  CPPUNIT_TEST(engines_load_in_groups);
  CPPUNIT_TEST(order_with_lost_answer_is_not_repeated_at_once);
  CPPUNIT_TEST(backlog_drains_with_time);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against extra copies from the origin and over regional links.
  void each_piece_leaves_the_origin_once_and_crosses_each_link_once()
  {
    const auto hosts = make_hosts({{"east", 6}, {"north", 5}, {"south", 5}});
    std::map<std::string, std::string> region;
    for (const plan_host& host : hosts)
    {
      region[host.ip] = host.region;
    }
    for (std::uint32_t piece = 0; piece < pieces; ++piece)
    {
      int origin = 0;
      std::map<std::string, int> crossings;
      for (const plan_host& host : hosts)
      {
        const auto source = choose_source(hosts, host.ip, piece, 0);
        origin += source.origin ? 1 : 0;
        if (!source.origin && region[source.ip] != host.region)
        {
          ++crossings[host.region];
        }
      }
      CPPUNIT_ASSERT_EQUAL(1, origin);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crossings.size());
      for (const auto& [name, count] : crossings)
      {
        CPPUNIT_ASSERT_EQUAL(1, count);
      }
    }
  }

  /// Guards against a host whose link carries the pieces of all others.
  void sends_are_spread_over_hosts()
  {
    const auto hosts = make_hosts({{"east", 6}, {"north", 5}, {"south", 5}});
    std::map<std::string, unsigned> sends;
    for (const plan_host& host : hosts)
    {
      for (std::uint32_t piece = 0; piece < pieces; ++piece)
      {
        const auto source = choose_source(hosts, host.ip, piece, 0);
        sends[source.ip] += source.origin ? 0 : 1;
      }
    }
    for (const plan_host& host : hosts)
    {
      CPPUNIT_ASSERT(sends[host.ip] <= pieces * 5 / 4);
    }
  }

  void failed_sources_are_replaced_until_the_origin_is_asked()
  {
    for (const auto& hosts : {make_hosts({{"east", 6}, {"north", 5}}), make_hosts({{"east", 1}}),
                              make_hosts({{"east", 1}, {"north", 1}})})
    {
      for (const plan_host& host : hosts)
      {
        bool origin = false;
        for (unsigned attempt = 0; attempt < 4; ++attempt)
        {
          const auto source = choose_source(hosts, host.ip, 5, attempt);
          CPPUNIT_ASSERT(source.origin || source.ip != host.ip);
          origin = origin || source.origin;
        }
        CPPUNIT_ASSERT(origin);
      }
    }
  }

  void fetch_order_has_each_piece_once_and_own_ones_first()
  {
    const auto hosts = make_hosts({{"east", 3}, {"north", 2}});
    const auto order = fetch_order(hosts, hosts[1].ip, pieces);
    CPPUNIT_ASSERT_EQUAL(std::size_t{pieces},
                         std::set<std::uint32_t>(order.begin(), order.end()).size());
    bool own_ended = false;
    for (const std::uint32_t piece : order)
    {
      const bool own = choose_source(hosts, hosts[1].ip, piece, 0).origin;
      CPPUNIT_ASSERT(!own || !own_ended);
      own_ended = own_ended || !own;
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
  void engines_load_in_groups()
  {
    load_facts facts;
    facts.report.weight_version = 1;
    facts.report.whole = true;
    facts.ready_version = 2;
    facts.position = 2;
    facts.known_for = planned_load(0);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.known_for = planned_load(2);
    CPPUNIT_ASSERT(decide_load(facts) == load_action::load);
    facts.report.busy = true;
    CPPUNIT_ASSERT(decide_load(facts) == load_action::wait);
    facts.report = {};
    facts.known_for = milliseconds(0);
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
