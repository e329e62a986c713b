#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Distribution/Placement.h"
#include "Distribution/Selection.h"
#include "Distribution/SwitchOver.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::distribution;
using namespace std::chrono_literals;
using weights::chunk_bitmap;

const protocol::release_key release{log_offset{7}, "m"};
const std::vector<std::string> regions{"central", "south", "west"};

std::vector<target_host> make_hosts(unsigned count, bool known_incarnations = true)
{
  std::vector<target_host> hosts;
  for (unsigned i = 0; i < count; ++i)
  {
    hosts.push_back({host_id{"host-" + std::to_string(100 + i)}, regions[i % 3],
                     incarnation_id{known_incarnations ? i + 1 : 0}, true});
  }
  return hosts;
}

chunk_bitmap make_bitmap(std::size_t size, std::initializer_list<std::size_t> set)
{
  chunk_bitmap out(size);
  for (const std::size_t index : set)
  {
    out.set(index);
  }
  return out;
}

class distribution_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(distribution_test);
  CPPUNIT_TEST(stripe_holders_are_live_hosts_of_the_store_region);
  CPPUNIT_TEST(unreachable_store_region_keeps_its_stripes);
  CPPUNIT_TEST(stripes_add_up_to_one_copy);
  CPPUNIT_TEST(lower_bound_follows_the_bottleneck);
  CPPUNIT_TEST(each_chunk_has_one_path_and_one_fetcher_per_region);
  CPPUNIT_TEST(remote_hosts_subscribe_to_the_first_holders_of_their_chunks);
  CPPUNIT_TEST(host_failure_reassigns_only_the_chunks_of_that_host);
  CPPUNIT_TEST(selection_prefers_rare_chunks_and_idle_sources);
  CPPUNIT_TEST(remote_chunks_are_fetched_by_the_responsible_host);
  CPPUNIT_TEST(rolling_update_limits_concurrent_loads);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against stripe holders that are dead, have an unknown incarnation or are outside the
  // store region.
  void stripe_holders_are_live_hosts_of_the_store_region()
  {
    auto hosts = make_hosts(12);
    hosts[2].live = false;
    hosts[5].incarnation = {};
    const auto store_region_candidates = stripe_candidates(hosts, "west", true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store_region_candidates.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, stripe_candidates(hosts, "north", false).size());
    CPPUNIT_ASSERT(stripe_candidates(make_hosts(3, false), "west", true).empty());
    CPPUNIT_ASSERT(place_stripes(release, {}, 8).empty());
    const auto holders = place_stripes(release, stripe_candidates(hosts, "north", false), 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, holders.size());
    CPPUNIT_ASSERT(holders == place_stripes(release, stripe_candidates(hosts, "north", false), 4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, choose_targets(release, 3, hosts).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, choose_targets(release, 0, hosts).size());
  }

  // Guards against hosts of other regions that claim stripes while the store region is partitioned
  // off, and against waiting for a store region whose hosts have all left.
  void unreachable_store_region_keeps_its_stripes()
  {
    auto hosts = make_hosts(12);
    for (target_host& host : hosts)
    {
      host.live = host.region != "west";
    }
    CPPUNIT_ASSERT(is_silent(hosts, "west"));
    CPPUNIT_ASSERT(stripe_candidates(hosts, "west", false).empty());
    CPPUNIT_ASSERT(!stripe_candidates(hosts, "west", true).empty());
    // Hosts without a heartbeat subscription have no known incarnation but count as live.
    auto unsubscribed = make_hosts(12);
    for (target_host& host : unsubscribed)
    {
      host.incarnation = host.region == "west" ? incarnation_id{} : host.incarnation;
    }
    CPPUNIT_ASSERT(!is_silent(unsubscribed, "west"));
    CPPUNIT_ASSERT(stripe_candidates(unsubscribed, "west", true).empty());
    for (target_host& host : hosts)
    {
      host.leaving = host.region == "west";
    }
    CPPUNIT_ASSERT(!is_silent(hosts, "west"));
    CPPUNIT_ASSERT(!stripe_candidates(hosts, "west", false).empty());
    CPPUNIT_ASSERT(!is_silent(make_hosts(12), "west"));
  }

  // Guards against grants that allow more than one copy to be read from the origin.
  void stripes_add_up_to_one_copy()
  {
    CPPUNIT_ASSERT(rc::check("stripes add up to the distinct bytes",
                             [](const std::vector<std::uint8_t>& fills)
                             {
                               protocol::manifest manifest;
                               std::set<digest> distinct;
                               for (const std::uint8_t fill : fills)
                               {
                                 manifest.chunks.push_back({sha256(std::to_string(fill % 8)), 10});
                                 distinct.insert(manifest.chunks.back().id);
                               }
                               std::uint64_t sum = 0;
                               for (std::uint32_t s = 0; s < 3; ++s)
                               {
                                 sum += stripe_bytes(manifest, s, 3);
                               }
                               RC_ASSERT(sum == 10 * distinct.size());
                             }));
  }

  void lower_bound_follows_the_bottleneck()
  {
    const lower_bound_input base{.bytes = 100,
                                 .hosts = 10,
                                 .host_rate = 10,
                                 .origin_rate = 20,
                                 .region_rate = 10,
                                 .remote_regions = 2};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, lower_bound_s(base), 1e-9);
    lower_bound_input slow_origin = base;
    slow_origin.origin_rate = 2;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, lower_bound_s(slow_origin), 1e-9);
    lower_bound_input slow_region = base;
    slow_region.region_rate = 1;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0, lower_bound_s(slow_region), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, lower_bound_s({.bytes = 100}), 1e-9);
  }

  // Guards against chunks that enter a region twice or not at all.
  void each_chunk_has_one_path_and_one_fetcher_per_region()
  {
    for (std::uint32_t chunk = 0; chunk < 8; ++chunk)
    {
      const bool direct = is_region_path(chunk, "central", "west", "west", regions);
      CPPUNIT_ASSERT(direct != is_region_path(chunk, "central", "south", "west", regions));
      CPPUNIT_ASSERT(direct != is_region_path(chunk, "south", "west", "west", regions));
      CPPUNIT_ASSERT(direct == is_region_path(chunk, "south", "central", "west", regions));
    }
    const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};
    std::vector<int> fetchers(40);
    std::map<std::string, int> chunks_per_host;
    for (const std::string& host : hosts)
    {
      const auto ranks = region_fetch_ranks({"manifest", 40, host, hosts, hosts, 2, 8});
      for (std::size_t chunk = 0; chunk < ranks.size(); ++chunk)
      {
        fetchers[chunk] += ranks[chunk] == 0 ? 1 : 0;
        chunks_per_host[host] += ranks[chunk] == 0 ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(std::all_of(fetchers.begin(), fetchers.end(), [](int n) { return n == 1; }));
    CPPUNIT_ASSERT(std::all_of(chunks_per_host.begin(), chunks_per_host.end(),
                               [](const auto& host_load) { return host_load.second == 8; }));
  }

  // Guards against subscriptions to hosts that this host does not fetch from, and against a missing
  // subscription to the first holder of a chunk.
  void remote_hosts_subscribe_to_the_first_holders_of_their_chunks()
  {
    const auto targets = make_hosts(48);
    const std::vector<std::string> holders{"host-102", "host-105", "host-108", "host-111",
                                           "host-114", "host-117", "host-120", "host-123"};
    constexpr std::size_t chunks = 128;
    std::map<std::string, std::vector<std::string>> by_region;
    for (const target_host& target : targets)
    {
      by_region[target.region].push_back(target.host.value);
    }
    std::vector<std::map<std::string, std::string>> fetchers(chunks);
    std::map<std::string, std::vector<std::string>> upstream;
    for (const target_host& target : targets)
    {
      const std::string& self = target.host.value;
      const auto ranks = region_fetch_ranks({"manifest", chunks, self, by_region[target.region],
                                             by_region[target.region], 2, holders.size()});
      upstream[self] = upstream_hosts({"manifest", target.region, "west", targets, holders, ranks});
      CPPUNIT_ASSERT(upstream[self].size() <= (target.region == "west" ? 0U : 4U));
      for (std::size_t chunk = 0; chunk < chunks && target.region != "west"; ++chunk)
      {
        if (ranks[chunk] == 0)
        {
          fetchers[chunk][target.region] = self;
        }
      }
    }
    for (std::size_t chunk = 0; chunk < chunks; ++chunk)
    {
      const std::string first = chunk % 2 == 0 ? "central" : "south";
      const std::string second = chunk % 2 == 0 ? "south" : "central";
      const auto is_upstream = [&](const std::string& host, const std::string& source)
      {
        return std::count(upstream[host].begin(), upstream[host].end(), source) == 1;
      };
      CPPUNIT_ASSERT(is_upstream(fetchers[chunk][first], holders[chunk % holders.size()]));
      CPPUNIT_ASSERT(is_upstream(fetchers[chunk][second], fetchers[chunk][first]));
    }
    const std::string& self = fetchers[0]["central"];
    const auto neighbours = choose_neighbours({self, "central", "west", targets, upstream[self]});
    CPPUNIT_ASSERT(neighbours.size() <= 15 + 2 * 2 + upstream[self].size());
    CPPUNIT_ASSERT(std::includes(neighbours.begin(), neighbours.end(), upstream[self].begin(),
                                 upstream[self].end()));
  }

  // Guards against chunks that are fetched twice or not at all while hosts disagree about which
  // hosts are dead.
  void host_failure_reassigns_only_the_chunks_of_that_host()
  {
    const std::vector<std::string> hosts{"a", "b", "c", "d", "e"};
    const std::vector<std::string> live{"a", "b", "d", "e"};
    const auto failed_host_ranks = region_fetch_ranks({"manifest", 40, "c", hosts, hosts, 2, 8});
    std::vector<int> fetchers(40);
    for (const std::string& host : live)
    {
      const auto before = region_fetch_ranks({"manifest", 40, host, hosts, hosts, 2, 8});
      const auto after = region_fetch_ranks({"manifest", 40, host, hosts, live, 2, 8});
      for (std::size_t chunk = 0; chunk < after.size(); ++chunk)
      {
        fetchers[chunk] += after[chunk] == 0 ? 1 : 0;
        CPPUNIT_ASSERT(failed_host_ranks[chunk] == 0 ||
                       (before[chunk] == 0) == (after[chunk] == 0));
      }
    }
    CPPUNIT_ASSERT(std::all_of(fetchers.begin(), fetchers.end(), [](int n) { return n == 1; }));
  }

  // Guards against requests queueing at the holder of rare chunks while other sources are idle.
  void selection_prefers_rare_chunks_and_idle_sources()
  {
    const auto have = make_bitmap(4, {0});
    const auto requested = make_bitmap(4, {1});
    const auto all = make_bitmap(4, {0, 1, 2, 3});
    const auto some = make_bitmap(4, {2});
    const std::vector<source_view> sources{{"x", "west", &all, 2, 0}, {"y", "west", &some, 2, 0}};
    selection_input in;
    in.self = "self";
    in.region = in.store_region = "west";
    in.regions = regions;
    in.have = &have;
    in.requested = &requested;
    in.sources = sources;
    in.max_picks = 8;
    const auto picks = choose_next<pollenyoke_policy>(in);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, picks.size());
    CPPUNIT_ASSERT(picks[0] == (chunk_pick{3, 0}) && picks[1] == (chunk_pick{2, 1}));
    in.max_picks = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, choose_next<pollenyoke_policy>(in).size());
    CPPUNIT_ASSERT(choose_next<origin_only_policy>(in).empty());
  }

  // Guards against several hosts of a region fetching the same chunk, and against a chunk that no
  // host fetches after the responsible host has stalled.
  void remote_chunks_are_fetched_by_the_responsible_host()
  {
    const chunk_bitmap none(4);
    const auto all = make_bitmap(4, {0, 1, 2, 3});
    const std::vector<source_view> sources{{"w", "west", &all, 8, 0}, {"s", "south", &all, 8, 0}};
    const std::vector<std::uint32_t> ranks{0, 0, 1, 2};
    const auto overdue_chunks = make_bitmap(4, {2, 3});
    selection_input in;
    in.self = "self";
    in.region = "central";
    in.store_region = "west";
    in.regions = regions;
    in.have = &none;
    in.requested = &none;
    in.sources = sources;
    in.fetch_ranks = ranks;
    in.max_picks = 8;
    in.remote_picks = {{"west", 8}, {"south", 8}};
    struct
    {
      const chunk_bitmap* overdue;
      std::uint32_t allowed_rank;
      std::set<std::uint32_t> expected;
    } const cases[] = {{nullptr, 0, {0, 1}},
                       {&overdue_chunks, 1, {0, 1, 2}},
                       {&overdue_chunks, 2, {0, 1, 2, 3}},
                       {&none, 2, {0, 1}}};
    for (const auto& test : cases)
    {
      in.overdue = test.overdue;
      in.allowed_rank = test.allowed_rank;
      std::set<std::uint32_t> chunks;
      for (const chunk_pick& pick : choose_next<pollenyoke_policy>(in))
      {
        chunks.insert(pick.chunk);
      }
      CPPUNIT_ASSERT(chunks == test.expected);
    }
    in.remote_picks = {{"west", 0}, {"south", 0}};
    CPPUNIT_ASSERT(choose_next<pollenyoke_policy>(in).empty());
  }

  // Guards against too many replicas loading at once, and against a rollout that stops.
  void rolling_update_limits_concurrent_loads()
  {
    std::vector<replica_view> replicas;
    replicas.reserve(10);
    for (int i = 0; i < 10; ++i)
    {
      replicas.push_back({host_id{"h" + std::to_string(i)}, true, true, true, false});
    }
    const auto loading = [&](std::chrono::seconds elapsed)
    {
      std::vector<std::size_t> out;
      for (std::size_t i = 0; i < replicas.size(); ++i)
      {
        if (!replicas[i].serves_new && may_load("key", replicas[i].host, replicas, 0.3, elapsed))
        {
          out.push_back(i);
        }
      }
      return out;
    };
    std::size_t rounds = 0;
    while (!loading(0s).empty())
    {
      CPPUNIT_ASSERT(loading(0s).size() <= 3);
      replicas[loading(0s).front()].serves_new = true;
      CPPUNIT_ASSERT(++rounds <= 10);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, rounds);
    for (auto& replica : replicas)
    {
      replica.serves_new = false;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, loading(61s).size());
    // A dead replica does not occupy a load slot; one without any heartbeat does until a timeout.
    const auto first = loading(0s);
    replicas[first[0]].live = false;
    replicas[first[1]].heard = false;
    const auto now = loading(0s);
    CPPUNIT_ASSERT(std::find(now.begin(), now.end(), first[1]) != now.end());
    CPPUNIT_ASSERT(loading(16s).size() >= now.size());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(distribution_test, "Distribution");

} // namespace
