#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "FleetSimulator.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace pollenyoke::agent::testing;

const std::vector<std::string> three_regions{"west", "central", "south"};
constexpr std::uint32_t chunk_bytes = 4096;
constexpr unsigned chunk_count = 64;
const std::uint64_t total_bytes = std::uint64_t{chunk_bytes} * chunk_count;

/// One fault during the transfer of a release to 9 hosts in three regions.
struct fault_case
{
  const char* name;
  /// Hosts that can complete.
  std::size_t expect_complete;
  /// Upper bound of origin bytes in copies.
  double max_copies;
  std::function<void(fleet_simulator&)> before;
  /// Called after about a quarter of the chunks was read from the origin.
  std::function<void(fleet_simulator&)> during;
  /// The note's limit in copies.
  double limit = 1.5;
};

class weight_core_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(weight_core_test);
  CPPUNIT_TEST(faults_end_complete_and_within_the_origin_limit);
  CPPUNIT_TEST(claims_wait_while_the_log_is_down);
  CPPUNIT_TEST(origin_limit_is_never_exceeded);
  CPPUNIT_TEST(lying_manifests_are_rejected);
  CPPUNIT_TEST(withdrawal_and_version_change_during_a_transfer);
  CPPUNIT_TEST(baselines_complete);
  CPPUNIT_TEST(idle_fleet_sends_nothing);
  CPPUNIT_TEST(weights_that_do_not_fit_wait);
  CPPUNIT_TEST_SUITE_END();

public:
  static void use_weight_store(fleet_simulator& f)
  {
    for (auto& [host, node] : f.nodes)
    {
      node.settings.platform.weight_store.emplace();
      f.start(node);
    }
    f.publish_view();
  }

  static std::vector<fault_case> fault_cases()
  {
    const auto none = [](fleet_simulator&) {
    };
    return {
        {"no fault", 9, 1.0, none, none},
        {"stripe holder dies", 8, 1.5, none,
         [](auto& f)
         {
           f.kill(f.holder(0));
         }},
        {"stripe holder dies and is no longer listed", 8, 1.5, none,
         [](auto& f)
         {
           f.kill_and_unlist(f.holder(0));
         }},
        {"stripe holder restarts", 9, 1.5, none,
         [](auto& f)
         {
           const host_id host = f.holder(0);
           f.kill(host);
           f.restart(host);
         }},
        {"host outside the store region dies", 8, 1.0, none,
         [](auto& f)
         {
           f.kill(host_id{"host-101"});
         }},
        {"stripe holder is cut off from the origin", 9, 1.5,
         [](auto& f) { f.nodes.at(host_id{"host-103"}).origin_stalled = true; }, none},
        {"host outside the store region sends nothing any more", 8, 1.2, none,
         [](auto& f)
         {
           f.nodes.at(host_id{"host-104"}).mute = true;
         }},
        {"one peer always corrupts", 9, 1.2,
         [](auto& f) { f.nodes.at(host_id{"host-104"}).corrupts = true; }, none},
        {"a stripe holder always corrupts", 9, 1.5,
         [](auto& f) { f.nodes.at(host_id{"host-100"}).corrupts = true; }, none},
        {"origin corrupts three chunks", 9, 1.1, [](auto& f) { f.corrupt_origin = 3; }, none},
        {"origin is down for a while", 9, 1.0, [](auto& f) { f.origin_down = true; },
         [](auto& f)
         {
           f.origin_down = false;
         }},
    };
  }

  /// Faults that last for a while or hit many hosts.
  static std::vector<fault_case> outage_cases()
  {
    const auto none = [](fleet_simulator&) {
    };
    return {
        {"the only holder of a chunk dies", 8, 1.5, none,
         [](auto& f)
         {
           f.kill(f.only_holder());
         }},
        {"weight store is down", 9, 1.0,
         [](auto& f)
         {
           use_weight_store(f);
           f.store_down = true;
         },
         none},
        {"weight store goes down", 9, 1.0, use_weight_store,
         [](auto& f)
         {
           f.store_down = true;
         }},
        {"all agents restart", 9, 2.5, none, [](auto& f) { f.restart_all(); }, 2.5},
        // The grants of the ended incarnations count as read, so that nothing can be completed.
        {"all agents restart and the limit is too low", 0, 1.5, none,
         [](auto& f)
         {
           f.restart_all();
         }},
        {"a region is cut off for a minute", 9, 1.5, none,
         [](auto& f)
         {
           f.cut_region("south", 60s);
         }},
        {"the store region is cut off for a minute", 9, 1.5, none,
         [](auto& f)
         {
           f.cut_region("west", 60s);
         }},
        {"a stripe holder is paused past its takeover", 9, 1.5, none,
         [](auto& f)
         {
           f.pause(f.holder(0), 8s);
         }},
        {"a newcomer knows the release from a checkpoint", 10, 1.5, none,
         [](auto& f)
         {
           f.add_from_checkpoint(host_id{"host-200"}, "central");
         }},
    };
  }

  // Guards against a transfer that a single fault stops, and against origin bytes above the target
  // of 1.5 copies.
  void faults_end_complete_and_within_the_origin_limit()
  {
    const auto file = make_weights(seeds(1, chunk_count), chunk_bytes);
    auto cases = fault_cases();
    const auto outages = outage_cases();
    cases.insert(cases.end(), outages.begin(), outages.end());
    for (const fault_case& test : cases)
    {
      fleet_simulator fleet;
      fleet.rates = {.host_rate = 50e3, .origin_rate = 100e3, .region_rate = 50e3};
      fleet.offer(file);
      fleet.add_hosts(9, three_regions);
      test.before(fleet);
      fleet.release("v1", file.manifest.id, total_bytes, true, test.limit);
      fleet.run(10, [&] { return fleet.origin_bytes + fleet.store_bytes >= total_bytes / 4; });
      test.during(fleet);
      const double took = fleet.run(200,
                                    [&]
                                    {
                                      CPPUNIT_ASSERT_MESSAGE(test.name, fleet.within_grants());
                                      return test.expect_complete != 0 &&
                                             fleet.complete() == test.expect_complete &&
                                             fleet.running() >= test.expect_complete;
                                    });
      const double copies =
          static_cast<double>(fleet.origin_bytes) / static_cast<double>(total_bytes);
      const std::string seen = std::string(test.name) + ": " + std::to_string(fleet.complete()) +
                               " complete after " + std::to_string(took) + " s, origin copies " +
                               std::to_string(copies);
      std::puts(seen.c_str());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, test.expect_complete, fleet.complete());
      CPPUNIT_ASSERT_MESSAGE(seen, copies <= test.max_copies);
      CPPUNIT_ASSERT_MESSAGE(seen,
                             fleet.origin_bytes <= fleet.reserved_bytes() + fleet.lost_ledgers);
    }
  }

  // Guards against origin reads without a granted claim while the log is down.
  void claims_wait_while_the_log_is_down()
  {
    const auto file = make_weights(seeds(1, chunk_count), chunk_bytes);
    fleet_simulator fleet;
    fleet.rates = {.host_rate = 50e3, .origin_rate = 100e3, .region_rate = 50e3};
    fleet.offer(file);
    fleet.add_hosts(9, three_regions);
    fleet.release("v1", file.manifest.id, total_bytes);
    fleet.run(10, [&] { return fleet.origin_bytes >= total_bytes / 4; });
    fleet.log_down = true;
    fleet.kill(fleet.holder(0));
    fleet.run(30);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.complete());
    CPPUNIT_ASSERT(fleet.origin_bytes <= total_bytes);
    fleet.log_down = false;
    fleet.run(120);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fleet.complete());
  }

  // Guards against reading more than the note's limit when holders die again and again.
  void origin_limit_is_never_exceeded()
  {
    const auto file = make_weights(seeds(1, chunk_count), chunk_bytes);
    for (const double limit : {1.0, 1.1, 1.5})
    {
      fleet_simulator fleet;
      fleet.rates = {.host_rate = 50e3, .origin_rate = 100e3, .region_rate = 50e3};
      fleet.offer(file);
      fleet.add_hosts(9, three_regions);
      fleet.corrupt_origin = 100;
      fleet.release("v1", file.manifest.id, total_bytes, true, limit);
      for (int i = 0; i < 12; ++i)
      {
        fleet.run(3);
        const host_id host = fleet.holder(static_cast<std::size_t>(i));
        if (!host.value.empty())
        {
          fleet.kill(host);
          fleet.restart(host);
        }
      }
      fleet.run(60);
      CPPUNIT_ASSERT(static_cast<double>(fleet.origin_bytes) <=
                     limit * static_cast<double>(total_bytes));
      CPPUNIT_ASSERT(fleet.origin_bytes > 0);
    }
  }

  // Guards against weights that are not what the note names, and against endless retries.
  void lying_manifests_are_rejected()
  {
    const auto good = make_weights(seeds(1, 8), chunk_bytes);
    struct lie
    {
      const char* name;
      std::function<void(protocol::manifest&)> change;
      std::uint64_t note_bytes;
    };
    const std::uint64_t bytes = good.manifest.total_bytes;
    const std::vector<lie> lies{
        {"size of a chunk", [](auto& m) { m.chunks[0].bytes += 1; }, bytes},
        {"total size", [](auto& m) { m.total_bytes += 1; }, bytes},
        {"chunk count", [](auto& m) { m.chunks.pop_back(); }, bytes},
        {"content digest", [](auto& m) { m.content = sha256("other"); }, bytes},
        {"note states another size", [](auto&) {}, bytes + 1},
    };
    for (const lie& test : lies)
    {
      auto file = good;
      test.change(file.manifest);
      file.text = protocol::format_manifest(file.manifest);
      file.manifest.id = sha256(file.text);
      fleet_simulator fleet;
      fleet.offer(file);
      fleet.add_hosts(3, three_regions);
      fleet.release("v1", file.manifest.id, test.note_bytes);
      fleet.run(20);
      for (const auto& [host, node] : fleet.nodes)
      {
        CPPUNIT_ASSERT_MESSAGE(test.name, node.core->held().empty());
        const auto dump = node.core->dump(fleet.now);
        CPPUNIT_ASSERT_MESSAGE(test.name + dump.dump(), dump["releases"][0].contains("rejected"));
        CPPUNIT_ASSERT_MESSAGE(test.name, fleet.origin_bytes <= bytes);
      }
    }
  }

  // Guards against mixing versions, against keeping resources of a withdrawn release, and against
  // reading shared chunks again.
  void withdrawal_and_version_change_during_a_transfer()
  {
    const auto first = make_weights(seeds(1, chunk_count), chunk_bytes);
    auto next_seeds = seeds(1, chunk_count);
    next_seeds.back() = 1000;
    const auto second = make_weights(next_seeds, chunk_bytes);
    fleet_simulator fleet;
    fleet.offer(first);
    fleet.offer(second);
    fleet.add_hosts(6, three_regions);
    fleet.release("v1", first.manifest.id, total_bytes);
    fleet.run(10, [&] { return fleet.origin_bytes >= total_bytes / 2; });
    fleet.release("v2", second.manifest.id, total_bytes);
    fleet.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.complete());
    for (const auto& [host, node] : fleet.nodes)
    {
      CPPUNIT_ASSERT(node.core->find_transfer(first.manifest.id) == nullptr);
      CPPUNIT_ASSERT(node.core->held().front().manifest->id == second.manifest.id);
      CPPUNIT_ASSERT_EQUAL(total_bytes, node.core->store().pinned_bytes());
    }
    CPPUNIT_ASSERT(fleet.origin_bytes <= total_bytes + total_bytes / 2);
    fleet.withdraw();
    fleet.run(5, [] { return false; });
    for (const auto& [host, node] : fleet.nodes)
    {
      CPPUNIT_ASSERT(node.core->held().empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.core->store().pinned_bytes());
    }
    // A version that comes back is still held: it is not read again.
    const std::uint64_t read = fleet.origin_bytes;
    fleet.release("v2", second.manifest.id, total_bytes);
    fleet.run(1, [] { return false; });
    fleet.run(60);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.complete());
    CPPUNIT_ASSERT_EQUAL(read, fleet.origin_bytes);
  }

  // Guards against baselines that measure something else than they say.
  void baselines_complete()
  {
    const auto file = make_weights(seeds(1, chunk_count), chunk_bytes);
    for (const auto policy :
         {protocol::distribution_policy::tree, protocol::distribution_policy::origin_only})
    {
      fleet_simulator fleet;
      fleet.offer(file);
      fleet.add_hosts(6, three_regions, [&](auto& with) { with.distribution.policy = policy; });
      fleet.release("v1", file.manifest.id, total_bytes);
      fleet.run(120);
      CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.complete());
      CPPUNIT_ASSERT_EQUAL(policy == protocol::distribution_policy::tree ? total_bytes
                                                                         : 6 * total_bytes,
                           fleet.origin_bytes);
    }
  }

  // Guards against control traffic while no transfer is under way.
  void idle_fleet_sends_nothing()
  {
    const auto file = make_weights(seeds(1, 8), chunk_bytes);
    fleet_simulator fleet;
    fleet.offer(file);
    fleet.add_hosts(6, three_regions);
    fleet.release("v1", file.manifest.id, file.manifest.total_bytes);
    fleet.run(60);
    fleet.run(5, [] { return false; });
    fleet.frames_sent = 0;
    fleet.run(30, [] { return false; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fleet.frames_sent);
  }

  // Guards against exceeding the memory limit.
  void weights_that_do_not_fit_wait()
  {
    const auto file = make_weights(seeds(1, 8), chunk_bytes);
    fleet_simulator fleet;
    fleet.offer(file);
    fleet.add_hosts(3, three_regions,
                    [](auto& with) { with.distribution.memory_bytes = 7 * chunk_bytes; });
    fleet.release("v1", file.manifest.id, file.manifest.total_bytes);
    fleet.run(20);
    for (const auto& [host, node] : fleet.nodes)
    {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, node.core->store().held_bytes());
      CPPUNIT_ASSERT(node.core->dump(fleet.now)["releases"][0].contains("waiting"));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weight_core_test, "WeightCore");

} // namespace
