#include <cppunit/extensions/HelperMacros.h>

#include "FleetSimulator.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace pollenyoke::agent::testing;

const std::vector<std::string> three_regions{"west", "central", "south"};
constexpr std::uint32_t chunk_bytes = 4096;
constexpr unsigned chunk_count = 96;
constexpr std::size_t host_count = 9;
const std::uint64_t total_bytes = std::uint64_t{chunk_bytes} * chunk_count;

const weights_file& release_file()
{
  static const weights_file file = make_weights(seeds(1, chunk_count), chunk_bytes);
  return file;
}

/// A release to 9 hosts in three regions; `west` is the store region.
class release_run
{
public:
  explicit release_run(unsigned seed, double limit = 1.5)
  {
    fleet.seed(seed);
    fleet.rates = {.host_rate = 50e3, .origin_rate = 100e3, .region_rate = 50e3};
    fleet.offer(release_file());
    fleet.add_hosts(host_count, three_regions);
    fleet.release("v1", release_file().manifest.id, total_bytes, true, limit);
  }

  /// Checks at each step that nothing is read without a grant.
  void wait(
      double seconds, const std::function<bool()>& until = [] { return false; })
  {
    fleet.run(seconds,
              [&]
              {
                CPPUNIT_ASSERT(fleet.within_grants());
                return until();
              });
  }

  void expect_complete(const std::string& what, std::size_t hosts = host_count)
  {
    wait(300, [&] { return fleet.complete() == hosts; });
    const std::string seen =
        what + ": " + std::to_string(fleet.complete()) + " complete, origin copies " +
        std::to_string(static_cast<double>(fleet.origin_bytes) / static_cast<double>(total_bytes));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, hosts, fleet.complete());
  }

  fleet_simulator fleet;
};

class origin_budget_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(origin_budget_test);
  CPPUNIT_TEST(region_cut_does_not_use_up_the_budget);
  CPPUNIT_TEST(cut_within_the_store_region_ends_within_the_budget);
  CPPUNIT_TEST(stripe_stays_with_its_holder_when_a_claim_cannot_cover_it);
  CPPUNIT_TEST(paused_holder_goes_on_after_its_takeover);
  CPPUNIT_TEST(bytes_of_a_lost_stripe_can_be_claimed_again);
  CPPUNIT_TEST(hosts_elsewhere_claim_when_the_store_region_is_lost);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two sides of a partition that take stripes from each other until the limit is
  // reached and chunks are missing everywhere.
  void region_cut_does_not_use_up_the_budget()
  {
    for (const auto lasts : {4s, 60s})
    {
      for (const char* region : {"south", "west"})
      {
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
          release_run run(seed);
          run.wait(0.5 * seed);
          run.fleet.cut_region(region, lasts);
          run.wait(static_cast<double>(lasts.count()));
          run.expect_complete(std::string(region) + " cut for " + std::to_string(lasts.count()) +
                              " s, seed " + std::to_string(seed));
        }
      }
    }
  }

  // Guards against bytes that stay granted to a host that lost its stripe, and against a claim for
  // a part of a stripe that takes it from a live holder: both sides of this cut may claim.
  void cut_within_the_store_region_ends_within_the_budget()
  {
    for (const auto lasts : {4s, 60s})
    {
      for (unsigned seed = 1; seed <= 10; ++seed)
      {
        for (const char* host : {"host-100", "host-103", "host-106"})
        {
          release_run run(seed);
          run.wait(0.5 * seed);
          run.fleet.cut_off({host_id{host}}, lasts);
          run.fleet.lose_answers = seed % 3;
          run.wait(static_cast<double>(lasts.count()));
          run.expect_complete(std::string(host) + " cut off for " + std::to_string(lasts.count()) +
                              " s, seed " + std::to_string(seed));
        }
      }
    }
  }

  // Guards against a claim that takes a stripe for the few bytes that the limit still allows.
  void stripe_stays_with_its_holder_when_a_claim_cannot_cover_it()
  {
    for (const char* host : {"host-100", "host-103", "host-106"})
    {
      release_run run(1, 1.05);
      run.wait(1);
      run.fleet.cut_off({host_id{host}}, 10s);
      run.wait(5);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                           run.fleet.state.releases.begin()->second.origin.claimed_bytes);
      run.expect_complete(std::string(host) + " cut off");
    }
  }

  // Guards against a stripe that stays unread because a paused holder and its successor each hold
  // a part of the limit.
  void paused_holder_goes_on_after_its_takeover()
  {
    for (const auto lasts : {3s, 20s})
    {
      for (unsigned seed = 1; seed <= 10; ++seed)
      {
        release_run run(seed);
        run.wait(0.5 * seed, [&] { return seed > 5 && run.fleet.origin_bytes != 0; });
        for (unsigned again = 0; again < 4; ++again)
        {
          if (const host_id host = run.fleet.holder(seed + again); !host.value.empty())
          {
            run.fleet.pause(host, lasts);
          }
          run.wait(static_cast<double>(lasts.count()) + 0.5);
        }
        run.expect_complete("holders paused for " + std::to_string(lasts.count()) + " s, seed " +
                            std::to_string(seed));
      }
    }
  }

  // Guards against bytes that stay granted to a host that lost its stripe: the successor dies, and
  // the limit covers another claim only with the bytes that the first holder returned.
  void bytes_of_a_lost_stripe_can_be_claimed_again()
  {
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
      // The successor holds a stripe of its own, so that two more stripes are lost with it.
      release_run run(seed, 1.8);
      run.wait(1.5);
      const host_id first = run.fleet.holder(seed);
      run.fleet.lose_answers = seed % 3;
      run.fleet.pause(first, 4s);
      run.wait(10, [&] { return run.fleet.holder(seed) != first; });
      run.fleet.kill(run.fleet.holder(seed));
      run.expect_complete("two holders lost, seed " + std::to_string(seed), host_count - 1);
    }
  }

  // Guards against a transfer that waits forever for a store region that does not come back: its
  // hosts leave the host list, or stay listed for longer than any partition.
  void hosts_elsewhere_claim_when_the_store_region_is_lost()
  {
    for (const bool listed : {false, true})
    {
      // The grants of the lost hosts count as read: up to one copy more is needed.
      release_run run(1, 2.0);
      run.wait(10, [&] { return run.fleet.origin_bytes >= total_bytes / 2; });
      for (const char* host : {"host-100", "host-103", "host-106"})
      {
        listed ? run.fleet.kill(host_id{host}) : run.fleet.kill_and_unlist(host_id{host});
      }
      run.wait(500, [&] { return run.fleet.complete() == 6; });
      CPPUNIT_ASSERT_EQUAL(std::size_t{listed ? 0U : 6U}, run.fleet.complete());
      run.wait(300, [&] { return run.fleet.complete() == 6; });
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, run.fleet.complete());
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(origin_budget_test, "OriginBudget");

} // namespace
