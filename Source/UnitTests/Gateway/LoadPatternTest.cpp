#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;

const time_point t0 = time_point{} + std::chrono::hours(1);

/// Load balancing of entries whose load reports are 0.1 s old.
class load_pattern_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_pattern_test);
  CPPUNIT_TEST(water_filling_equalizes_the_waits);
  CPPUNIT_TEST(idle_engine_is_not_flooded);
  CPPUNIT_TEST(load_report_applies_to_the_servers_at_its_address);
  CPPUNIT_TEST(load_report_that_was_overtaken_is_ignored);
  CPPUNIT_TEST_SUITE_END();

public:
  void water_filling_equalizes_the_waits()
  {
    const std::vector<double> estimates = {0, 0, 50, 500};
    const auto shares = water_filling_shares(estimates, 7, 50);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(shares[0], shares[1], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(shares[0] - 50, shares[2], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, shares[3], 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7 * 50, std::accumulate(shares.begin(), shares.end(), 0.0), 1e-9);
  }

  /// Guards against all entries sending to the one engine that the last load report shows idle.
  void idle_engine_is_not_flooded()
  {
    constexpr int entries = 20;
    std::map<std::string, int> choices;
    for (int entry = 0; entry < entries; ++entry)
    {
      backend_table table(static_cast<std::uint64_t>(entry) + 1);
      table.set_services({{"pool",
                           {.name = "pool",
                            .slots = 16,
                            .engine = protocol::engine_speed{.usual_prompt = 1000},
                            .model = "m"}}});
      for (int engine = 0; engine < 10; ++engine)
      {
        protocol::backend_entry backend{.id = std::to_string(engine),
                                        .service = "pool",
                                        .address = {"10.0.0." + std::to_string(engine), 80},
                                        .slots = 16,
                                        .weight_version = 1};
        table.put(backend, t0);
        peers::load_message load;
        load.engine = transport::to_string(backend.address);
        load.weight_version = 1;
        load.running = engine == 0 ? 0 : 10;
        load.unread_tokens = engine == 0 ? 0 : 1500;
        table.update_load(load, t0);
      }
      for (int i = 0; i < 10; ++i)
      {
        table.add_request("pool", entries, t0 - std::chrono::milliseconds(100 * i));
      }
      const auto choice =
          table.choose({.service = "pool", .prompt_tokens = 1000, .answer_tokens = 100}, t0);
      CPPUNIT_ASSERT(choice);
      ++choices[choice->id];
    }
    CPPUNIT_ASSERT(choices["0"] > 0);
    CPPUNIT_ASSERT(choices["0"] <= entries / 2);
  }

  /// Guards against reports that miss a server which has moved, or that count for one which is
  /// gone.
  void load_report_applies_to_the_servers_at_its_address()
  {
    backend_table table(1);
    table.set_services(
        {{"pool", {.name = "pool", .engine = protocol::engine_speed{}, .model = "m"}}});
    const auto put = [&table](const std::string& id, const std::string& ip)
    {
      table.put({.id = id,
                 .service = "pool",
                 .address = {ip, 80},
                 .slots = 4,
                 .started_ms = 5,
                 .weight_version = 1},
                t0);
    };
    const auto report = [&table](const std::string& engine, std::uint64_t started_ms, bool loading)
    {
      peers::load_message load;
      load.engine = engine;
      load.mark.started_ms = started_ms;
      load.weight_version = 1;
      load.loading = loading;
      table.update_load(load, t0);
    };
    const auto is_usable = [&table]
    {
      return table.choose({.service = "pool"}, t0).has_value();
    };
    put("a", "10.0.0.1");
    report("10.0.0.1:80", 5, true);
    CPPUNIT_ASSERT(!is_usable());
    put("a", "10.0.0.2");
    CPPUNIT_ASSERT(is_usable());
    report("10.0.0.1:80", 5, true);
    CPPUNIT_ASSERT(is_usable());
    report("10.0.0.2:80", 5, true);
    CPPUNIT_ASSERT(!is_usable());
    // A successor at the same address.
    put("b", "10.0.0.2");
    CPPUNIT_ASSERT(is_usable());
    table.remove("a", std::nullopt);
    report("10.0.0.2:80", 4, true);
    CPPUNIT_ASSERT(is_usable());
    report("10.0.0.2:80", 5, true);
    CPPUNIT_ASSERT(!is_usable());
    table.remove("b", std::nullopt);
    report("10.0.0.2:80", 5, true);
  }

  /// Guards against requests to an engine that drains, after an older report of it came through
  /// another entry.
  void load_report_that_was_overtaken_is_ignored()
  {
    backend_table table(1);
    table.set_services(
        {{"pool", {.name = "pool", .engine = protocol::engine_speed{}, .model = "m"}}});
    table.put({.id = "a", .service = "pool", .address = {"10.0.0.1", 80}, .weight_version = 1}, t0);
    peers::load_message newer;
    newer.engine = "10.0.0.1:80";
    newer.weight_version = 1;
    newer.loading = true;
    newer.held_ms = 5;
    table.update_load(newer, t0);
    peers::load_message older = newer;
    older.loading = false;
    older.held_ms = 100;
    table.update_load(older, t0 + milliseconds(2));
    CPPUNIT_ASSERT(!table.choose({.service = "pool"}, t0 + milliseconds(2)));
    older.held_ms = 0;
    table.update_load(older, t0 + milliseconds(3));
    CPPUNIT_ASSERT(table.choose({.service = "pool"}, t0 + milliseconds(3)));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_pattern_test, "Gateway.LoadPattern");

} // namespace
