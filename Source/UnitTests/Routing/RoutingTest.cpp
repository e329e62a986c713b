#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Routing/CandidateChoice.h"
#include "Routing/EntryDiscovery.h"
#include "Routing/FairQueue.h"
#include "Routing/RetryBudget.h"
#include "Routing/SuspectTable.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::routing;
using protocol::request_priority;
using protocol::routing_policy;

std::vector<candidate> make_candidates(std::size_t count)
{
  std::vector<candidate> out;
  for (std::size_t i = 0; i < count; ++i)
  {
    out.push_back({.host = {"engine-" + std::to_string(i)}, .capacity = 8});
  }
  return out;
}

waiting_request make_request(std::uint64_t number, const std::string& team,
                             request_priority priority = request_priority::interactive)
{
  return {.id = {{0, number}, 1}, .team = team, .priority = priority};
}

class choice_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(choice_test);
  CPPUNIT_TEST(same_prefix_selects_same_agent);
  CPPUNIT_TEST(overloaded_agent_loses_its_prefix);
  CPPUNIT_TEST(load_stays_within_bound);
  CPPUNIT_TEST(two_choices_avoid_loaded_agent);
  CPPUNIT_TEST(round_robin_distributes_evenly);
  CPPUNIT_TEST(discovery_prefers_near_entries_and_spreads_callers);
  CPPUNIT_TEST_SUITE_END();

  void same_prefix_selects_same_agent()
  {
    auto candidates = make_candidates(8);
    const std::string prompt = std::string(300, 'p') + "different end";
    const auto first = choose_candidate(candidates, {.prefix = affinity_prefix(prompt)});
    const auto second =
        choose_candidate(candidates, {.prefix = affinity_prefix(prompt + "x"), .draw = 99});
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT(first == second);
    CPPUNIT_ASSERT(!choose_candidate({}, {}).has_value());
  }

  // Guards against one popular prompt that overloads its agent while other agents are idle.
  void overloaded_agent_loses_its_prefix()
  {
    auto candidates = make_candidates(8);
    const auto first = *choose_candidate(candidates, {.prefix = "popular"});
    candidates[first].own_in_flight = 20;
    CPPUNIT_ASSERT(first != *choose_candidate(candidates, {.prefix = "popular"}));
  }

  void load_stays_within_bound()
  {
    const bool passed =
        rc::check("bounded load",
                  []
                  {
                    auto candidates = make_candidates(*rc::gen::inRange<std::size_t>(1, 12));
                    const auto requests = *rc::gen::inRange(1, 200);
                    for (int i = 0; i < requests; ++i)
                    {
                      // With few prefixes, affinity alone would overload some agents.
                      const std::string prefix =
                          "prefix-" + std::to_string(*rc::gen::inRange(0, 3));
                      ++candidates[*choose_candidate(candidates, {.prefix = prefix})].own_in_flight;
                    }
                    for (const candidate& c : candidates)
                    {
                      const double mean =
                          static_cast<double>(requests) / static_cast<double>(candidates.size());
                      RC_ASSERT(c.own_in_flight <= bounded_load_factor * mean + 2);
                    }
                  });
    CPPUNIT_ASSERT(passed);
  }

  void two_choices_avoid_loaded_agent()
  {
    auto candidates = make_candidates(2);
    candidates[1].reported_in_flight = 5;
    for (std::uint64_t draw = 0; draw < 16; ++draw)
    {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, *choose_candidate(candidates, {.draw = draw}));
    }
  }

  void round_robin_distributes_evenly()
  {
    const auto candidates = make_candidates(3);
    std::map<std::size_t, int> taken;
    for (std::uint64_t n = 0; n < 9; ++n)
    {
      ++taken[*choose_candidate(candidates, {.policy = routing_policy::round_robin, .draw = n})];
    }
    CPPUNIT_ASSERT((taken == std::map<std::size_t, int>{{0, 3}, {1, 3}, {2, 3}}));
  }

  // Guards against sending all callers to the same entry first, and against responses that list
  // only entries of one failure domain.
  void discovery_prefers_near_entries_and_spreads_callers()
  {
    std::vector<entry_address> entries;
    entries.reserve(13);
    for (int i = 0; i < 12; ++i)
    {
      entries.push_back({.host = "near-" + std::to_string(i),
                         .region = "western",
                         .failure_domain = "western-a"});
    }
    entries.push_back({.host = "far", .region = "central", .failure_domain = "central-a"});
    std::map<std::string, int> first;
    for (std::uint64_t draw = 0; draw < 200; ++draw)
    {
      const auto answer = order_entries(
          entries, {.region = "western", .failure_domain = "western-a", .draw = draw});
      CPPUNIT_ASSERT_EQUAL(max_discovery_entries, answer.size());
      CPPUNIT_ASSERT_EQUAL(std::string("far"), answer.back().host);
      ++first[answer.front().host];
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, first.size());
  }
};

class queue_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(queue_test);
  CPPUNIT_TEST(teams_share_equally);
  CPPUNIT_TEST(interactive_precedes_batch);
  CPPUNIT_TEST(batch_keeps_its_share);
  CPPUNIT_TEST(full_queue_evicts_from_longest_team);
  CPPUNIT_TEST(expired_and_removed_requests_are_dequeued);
  CPPUNIT_TEST(no_request_is_lost_or_repeated);
  CPPUNIT_TEST(retries_are_limited_to_share);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a large team that delays a small one by filling the queue first.
  void teams_share_equally()
  {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
      queue.push(make_request(i, "large"), 1000);
    }
    for (std::uint64_t i = 100; i < 110; ++i)
    {
      queue.push(make_request(i, "small"), 1000);
    }
    int small = 0;
    for (int i = 0; i < 20; ++i)
    {
      small += queue.pop()->team == "small" ? 1 : 0;
    }
    CPPUNIT_ASSERT(small >= 9);
  }

  void interactive_precedes_batch()
  {
    fair_queue queue;
    queue.push(make_request(1, "a", request_priority::batch), 10);
    queue.push(make_request(2, "a"), 10);
    CPPUNIT_ASSERT(queue.pop()->priority == request_priority::interactive);
    CPPUNIT_ASSERT(queue.pop()->priority == request_priority::batch);
    CPPUNIT_ASSERT(!queue.pop());
  }

  // Guards against starvation of batch requests while a busy team keeps the queue full.
  void batch_keeps_its_share()
  {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 40; ++i)
    {
      queue.push(make_request(i, "small", request_priority::batch), 1000);
    }
    int batch = 0;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
      queue.push(make_request(100 + 2 * i, "hot"), 1000);
      queue.push(make_request(101 + 2 * i, "hot"), 1000);
      batch += queue.pop()->priority == request_priority::batch ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(20, batch);
  }

  void full_queue_evicts_from_longest_team()
  {
    fair_queue queue;
    for (std::uint64_t i = 0; i < 4; ++i)
    {
      CPPUNIT_ASSERT(!queue.push(make_request(i, "large"), 4));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, queue.push(make_request(9, "large"), 4)->id.request.low);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                         queue.push(make_request(10, "small"), 4)->id.request.low);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         queue.push(make_request(11, "small"), 4)->id.request.low);
    // Both teams have two waiting requests now, so that neither can evict a request of the other.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12},
                         queue.push(make_request(12, "small"), 4)->id.request.low);
    CPPUNIT_ASSERT(queue.push(make_request(13, "x"), 0).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, queue.size());
  }

  void expired_and_removed_requests_are_dequeued()
  {
    fair_queue queue;
    const std::chrono::steady_clock::time_point now{std::chrono::seconds(10)};
    auto expiring = make_request(1, "a");
    expiring.deadline = now;
    queue.push(expiring, 10);
    queue.push(make_request(2, "a"), 10);
    queue.push(make_request(3, "b"), 10);
    CPPUNIT_ASSERT(queue.take_expired(now - std::chrono::nanoseconds(1)).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, queue.take_expired(now).at(0).id.request.low);
    CPPUNIT_ASSERT(queue.remove({{0, 3}, 1}));
    CPPUNIT_ASSERT(!queue.remove({{0, 3}, 1}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, queue.pop()->id.request.low);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.size());
  }

  void no_request_is_lost_or_repeated()
  {
    const bool passed =
        rc::check("each request leaves the queue once",
                  []
                  {
                    fair_queue queue;
                    std::map<std::uint64_t, int> times_returned;
                    const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
                    for (std::uint64_t i = 0; i < count; ++i)
                    {
                      auto request = make_request(i, std::string(1, static_cast<char>('a' + i % 5)),
                                                  *rc::gen::element(request_priority::interactive,
                                                                    request_priority::batch));
                      request.cost = *rc::gen::inRange<std::uint32_t>(0, 500);
                      if (const auto out = queue.push(request, 20))
                      {
                        ++times_returned[out->id.request.low];
                      }
                      if (*rc::gen::inRange(0, 4) == 0)
                      {
                        ++times_returned[queue.pop()->id.request.low];
                      }
                    }
                    for (const waiting_request& request : queue.take_all())
                    {
                      ++times_returned[request.id.request.low];
                    }
                    RC_ASSERT(times_returned.size() == count);
                    RC_ASSERT(std::all_of(times_returned.begin(), times_returned.end(),
                                          [](const auto& item) { return item.second == 1; }));
                  });
    CPPUNIT_ASSERT(passed);
  }

  void retries_are_limited_to_share()
  {
    retry_budget budget(0.1);
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
      budget.add_request();
      retries += budget.try_retry() ? 1 : 0;
    }
    CPPUNIT_ASSERT(retries >= 100 && retries <= 111);
    retry_budget none(0);
    none.add_request();
    CPPUNIT_ASSERT(!none.try_retry());
  }
};

class suspect_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(suspect_test);
  CPPUNIT_TEST(second_crash_alone_is_refused);
  CPPUNIT_TEST(two_crashes_beside_others_are_not_refused);
  CPPUNIT_TEST(duplicate_report_is_counted_once);
  CPPUNIT_TEST(table_is_bounded);
  CPPUNIT_TEST_SUITE_END();

  static protocol::suspect_report report(std::uint64_t crash, std::vector<digest> running)
  {
    return {.crash = {0, crash}, .agent = {"engine"}, .running = std::move(running)};
  }

  void second_crash_alone_is_refused()
  {
    suspect_table table;
    table.add(report(1, {m_crashing, m_harmless}), m_now);
    CPPUNIT_ASSERT(table.verdict(m_crashing, m_now) == suspect_verdict::run_alone);
    CPPUNIT_ASSERT(table.verdict(m_harmless, m_now) == suspect_verdict::run_alone);
    table.add(report(2, {m_crashing}), m_now);
    table.clear(m_harmless);
    CPPUNIT_ASSERT(table.verdict(m_crashing, m_now) == suspect_verdict::refuse);
    CPPUNIT_ASSERT(table.verdict(m_harmless, m_now) == suspect_verdict::clear);
    CPPUNIT_ASSERT(table.verdict(m_crashing, m_now + suspect_lifetime + std::chrono::seconds(1)) ==
                   suspect_verdict::clear);
  }

  void two_crashes_beside_others_are_not_refused()
  {
    suspect_table table;
    table.add(report(1, {m_crashing, m_harmless}), m_now);
    table.add(report(2, {sha256("other"), m_harmless}), m_now);
    CPPUNIT_ASSERT(table.verdict(m_harmless, m_now) == suspect_verdict::run_alone);
  }

  void duplicate_report_is_counted_once()
  {
    suspect_table table;
    CPPUNIT_ASSERT(table.add(report(1, {m_crashing}), m_now));
    CPPUNIT_ASSERT(!table.add(report(1, {m_crashing}), m_now));
    CPPUNIT_ASSERT(table.verdict(m_crashing, m_now) == suspect_verdict::run_alone);
  }

  void table_is_bounded()
  {
    suspect_table table;
    for (std::uint64_t i = 0; i < max_suspects + 100; ++i)
    {
      table.add(report(i, {sha256(std::to_string(i))}), m_now + std::chrono::milliseconds(i));
    }
    CPPUNIT_ASSERT(table.size() <= max_suspects);
  }

  const digest m_crashing = sha256("crashing");
  const digest m_harmless = sha256("innocent");
  const suspect_table::time_point m_now{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(choice_test, "RoutingChoice");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(queue_test, "RoutingQueue");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(suspect_test, "RoutingSuspects");

} // namespace
