#include <sstream>

#include <cppunit/extensions/HelperMacros.h>

#include "FleetSimulator.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace pollenyoke::agent::testing;

const std::vector<std::string> three_regions{"west", "central", "south"};
// Targets of docs/design.md, section 6.
constexpr double max_ratio = 1.5;
constexpr double max_growth = 1.1;
constexpr double max_region_copies = 1.1;

struct transfer_size
{
  unsigned chunks;
  std::uint32_t chunk_bytes;
  fleet_simulator::sizes rates;
};

// The second one is the fleet of Tools/bench-distribution.sh.
const std::vector<transfer_size> sizes{
    {128, 16384, {.host_rate = 800e3, .origin_rate = 1600e3, .region_rate = 800e3}},
    {366, 32768, {.host_rate = 2e6, .origin_rate = 4e6, .region_rate = 2e6}}};

/// Seconds after the release at which some part of the transfer was done.
struct phase_times
{
  double placed = 0;
  double manifest_everywhere = 0;
  double origin_read = 0;
  /// All chunks are in the remote region that has them last.
  double remote_whole = 0;
  double first_host = 0;
  double half_of_hosts = 0;
  double last_host = 0;
  std::uint64_t region_bytes = 0;
  std::uint64_t region_control_bytes = 0;

  std::string text() const
  {
    std::ostringstream out;
    out << "placed " << placed << ", manifest " << manifest_everywhere << ", origin read "
        << origin_read << ", remote regions " << remote_whole << ", hosts " << first_host << " / "
        << half_of_hosts << " / " << last_host;
    return out.str();
  }
};

class weight_core_bound_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(weight_core_bound_test);
  CPPUNIT_TEST(all_hosts_complete_near_the_lower_bound);
  CPPUNIT_TEST_SUITE_END();

  static bool region_holds_all(const fleet_simulator& fleet, const std::string& region,
                               const digest& manifest, std::size_t chunks)
  {
    std::size_t held = 0;
    for (std::size_t i = 0; i < chunks; ++i)
    {
      held += std::any_of(fleet.nodes.begin(), fleet.nodes.end(),
                          [&](const auto& entry)
                          {
                            const auto* t = entry.second.core->find_transfer(manifest);
                            return entry.second.settings.region == region && t != nullptr &&
                                   t->has_manifest() && t->have().test(i);
                          });
    }
    return held == chunks;
  }

  static phase_times measure(fleet_simulator& fleet, const weights_file& file)
  {
    const digest& id = file.manifest.id;
    const auto begin = fleet.now;
    phase_times seen;
    const auto note = [&](double& phase, auto&& done)
    {
      if (phase == 0 && done())
      {
        phase = duration<double>(fleet.now - begin).count();
      }
    };
    const auto until = [&]
    {
      note(seen.placed, [&] { return !fleet.holder(0).value.empty(); });
      note(seen.manifest_everywhere,
           [&]
           {
             return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                                [&](const auto& entry)
                                {
                                  const auto* t = entry.second.core->find_transfer(id);
                                  return t != nullptr && t->has_manifest();
                                });
           });
      const std::size_t chunks = file.manifest.chunks.size();
      note(seen.origin_read, [&] { return region_holds_all(fleet, three_regions[0], id, chunks); });
      note(seen.remote_whole,
           [&]
           {
             return region_holds_all(fleet, three_regions[1], id, chunks) &&
                    region_holds_all(fleet, three_regions[2], id, chunks);
           });
      const std::size_t complete = fleet.complete();
      note(seen.first_host, [&] { return complete != 0; });
      note(seen.half_of_hosts, [&] { return 2 * complete >= fleet.nodes.size(); });
      return complete == fleet.nodes.size();
    };
    seen.last_host = fleet.run(60, until);
    seen.region_bytes = fleet.region_bytes;
    seen.region_control_bytes = fleet.region_control_bytes;
    return seen;
  }

  static double ratio_of(const transfer_size& size, unsigned hosts, std::string& report)
  {
    const auto file = make_weights(seeds(1, size.chunks), size.chunk_bytes);
    const auto bytes = static_cast<double>(file.manifest.total_bytes);
    fleet_simulator fleet;
    fleet.rates = size.rates;
    fleet.offer(file);
    fleet.add_hosts(hosts, three_regions);
    fleet.release("v1", file.manifest.id, file.manifest.total_bytes);
    const phase_times seen = measure(fleet, file);
    const double bound = distribution::lower_bound_s({.bytes = bytes,
                                                      .hosts = hosts,
                                                      .host_rate = size.rates.host_rate,
                                                      .origin_rate = size.rates.origin_rate,
                                                      .region_rate = size.rates.region_rate,
                                                      .remote_regions = 2});
    const double ratio = seen.last_host / bound;
    const double copies =
        static_cast<double>(seen.region_bytes + seen.region_control_bytes) / (2 * bytes);
    std::ostringstream line;
    line << hosts << " hosts, " << size.chunks << " chunks: ratio " << ratio << ", bound " << bound
         << " s; " << seen.text() << "; copies per remote region " << copies << ", chunks alone "
         << static_cast<double>(seen.region_bytes) / (2 * bytes);
    std::puts(line.str().c_str());
    report += line.str() + "\n";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report, std::size_t{hosts}, fleet.complete());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report, file.manifest.total_bytes, fleet.origin_bytes);
    CPPUNIT_ASSERT_MESSAGE(report, static_cast<double>(fleet.region_bytes) <=
                                       2 * max_region_copies * bytes);
    return ratio;
  }

public:
  // Guards against a slower topology and against chunks that cross a region link twice. The time
  // is virtual, so the figures do not depend on the machine.
  void all_hosts_complete_near_the_lower_bound()
  {
    std::string report;
    std::vector<std::map<unsigned, double>> ratios;
    for (const transfer_size& size : sizes)
    {
      ratios.emplace_back();
      for (const unsigned hosts : {8U, 32U, 64U})
      {
        ratios.back()[hosts] = ratio_of(size, hosts, report);
      }
    }
    for (const auto& by_hosts : ratios)
    {
      for (const auto& [hosts, ratio] : by_hosts)
      {
        CPPUNIT_ASSERT_MESSAGE(report, ratio <= max_ratio);
      }
      CPPUNIT_ASSERT_MESSAGE(report, by_hosts.at(64) <= max_growth * by_hosts.at(8));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weight_core_bound_test, "WeightCoreBound");

} // namespace
