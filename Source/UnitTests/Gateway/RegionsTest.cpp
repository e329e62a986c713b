#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "Gateway/RouteTable.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;

const time_point t0 = time_point{} + std::chrono::hours(1);
using region_set = std::set<std::string>;

/// Where requests may run: allowed regions of routes and teams, and evacuated failure domains.
class regions_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(regions_test);
  CPPUNIT_TEST(route_and_team_both_restrict_regions);
  CPPUNIT_TEST(lookups_are_restricted_by_host_or_team);
  CPPUNIT_TEST(requests_stay_in_allowed_regions);
  CPPUNIT_TEST(pipelines_stay_in_allowed_regions);
  CPPUNIT_TEST(evacuated_domain_gets_no_requests);
  CPPUNIT_TEST(choice_made_before_an_evacuation_is_not_sent);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a team whose requests leave its regions because the route allows more, and the
  /// reverse.
  void route_and_team_both_restrict_regions()
  {
    protocol::serving_config config;
    config.has_teams = true;
    config.teams_by_key["none"] = {"a", std::nullopt, {}};
    config.teams_by_key["north-west"] = {"b", std::nullopt, {"north", "west"}};
    config.teams_by_key["south"] = {"c", std::nullopt, {"south"}};
    protocol::route open_route{.name = "r", .open = true};
    protocol::route north_south{.name = "s", .open = true, .allowed_regions = {"north", "south"}};
    const auto regions = [&config](const protocol::route& route, const std::string& key)
    {
      return identify_caller(config, route, key).allowed_regions;
    };
    CPPUNIT_ASSERT(!regions(open_route, "none"));
    CPPUNIT_ASSERT(regions(open_route, "south") == region_set{"south"});
    CPPUNIT_ASSERT((regions(north_south, "none") == region_set{"north", "south"}));
    CPPUNIT_ASSERT((regions(north_south, "unknown") == region_set{"north", "south"}));
    CPPUNIT_ASSERT(regions(north_south, "north-west") == region_set{"north"});
    north_south.allowed_regions = {"west"};
    // No region satisfies both: nowhere, not everywhere.
    CPPUNIT_ASSERT(regions(north_south, "south") == region_set{});
  }

  /// Guards against lookups that send callers of restricted routes through other regions.
  void lookups_are_restricted_by_host_or_team()
  {
    protocol::serving_config config;
    config.routes = {
        {.name = "a", .host = "a.example", .path_prefix = "/"},
        {.name = "b", .host = "b.example", .path_prefix = "/"},
        {.name = "c", .host = "b.example", .path_prefix = "/c/", .allowed_regions = {"north"}}};
    CPPUNIT_ASSERT(!route_table(config).restricts_regions("a.example"));
    CPPUNIT_ASSERT(route_table(config).restricts_regions("B.example:80"));
    CPPUNIT_ASSERT(!route_table(config).restricts_regions("unknown.example"));
    config.teams_by_key["key"] = {"team", std::nullopt, {"north"}};
    CPPUNIT_ASSERT(route_table(config).restricts_regions("a.example"));
  }

  /// Guards against requests that reach servers of other regions, or of a domain whose region is
  /// not known.
  void requests_stay_in_allowed_regions()
  {
    backend_table table = make_table();
    put_plain(table, "1", "a");
    put_plain(table, "2", "b");
    put_plain(table, "3", "unknown");
    choice_request request{.service = "desk", .allowed_regions = region_set{"west"}};
    for (int i = 0; i < 50; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), table.choose(request, t0)->id);
    }
    request.excluded = {"2"};
    CPPUNIT_ASSERT(!table.choose(request, t0));
    CPPUNIT_ASSERT(!table.shortest_pause(request, t0));
    request = {.service = "desk", .allowed_regions = region_set{}};
    CPPUNIT_ASSERT(!table.choose(request, t0));
  }

  /// Guards against a pipeline whose second engine is in another region.
  void pipelines_stay_in_allowed_regions()
  {
    backend_table table = make_table();
    put_half(table, "1", "a", 0, 8);
    put_half(table, "2", "b", 8, 16);
    choice_request request{.service = "pool", .minimum_version = 1, .newest_version = 1};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.choose(request, t0)->pipeline.size());
    request.allowed_regions = region_set{"north"};
    CPPUNIT_ASSERT(!table.choose(request, t0));
    request.allowed_regions = region_set{"north", "west"};
    CPPUNIT_ASSERT(table.choose(request, t0));
  }

  /// Guards against requests to servers that the operator empties, and against a domain that stays
  /// unused afterwards.
  void evacuated_domain_gets_no_requests()
  {
    backend_table table = make_table();
    put_plain(table, "1", "a");
    put_plain(table, "2", "b");
    CPPUNIT_ASSERT(table.begin_evacuation("a"));
    CPPUNIT_ASSERT(!table.begin_evacuation("a"));
    // A server that registers meanwhile.
    put_plain(table, "3", "a");
    for (int i = 0; i < 50; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(std::string("2"), table.choose({.service = "desk"}, t0)->id);
    }
    CPPUNIT_ASSERT(table.begin_evacuation("b"));
    CPPUNIT_ASSERT(!table.choose({.service = "desk"}, t0));
    CPPUNIT_ASSERT(table.end_evacuation("a", t0));
    CPPUNIT_ASSERT(!table.end_evacuation("a", t0));
    CPPUNIT_ASSERT(table.choose({.service = "desk"}, t0)->id != "2");
  }

  /// Guards against requests whose connection was being established when the evacuation began.
  void choice_made_before_an_evacuation_is_not_sent()
  {
    backend_table table = make_table();
    put_plain(table, "1", "a");
    put_half(table, "2", "b", 0, 8);
    put_half(table, "3", "a", 8, 16);
    const auto plain = table.choose({.service = "desk"}, t0);
    const auto pipeline =
        table.choose({.service = "pool", .minimum_version = 1, .newest_version = 1}, t0);
    CPPUNIT_ASSERT(plain && pipeline);
    CPPUNIT_ASSERT(table.wants_requests(*plain, t0) && table.wants_requests(*pipeline, t0));
    table.begin_evacuation("a");
    CPPUNIT_ASSERT(!table.wants_requests(*plain, t0));
    CPPUNIT_ASSERT(!table.wants_requests(*pipeline, t0));
  }

private:
  static backend_table make_table()
  {
    backend_table table(1, {{"a", "north"}, {"b", "west"}});
    protocol::engine_speed speed;
    speed.layers = 16;
    table.set_services({{"desk", {.name = "desk"}},
                        {"pool", {.name = "pool", .slots = 4, .engine = speed, .model = "m"}}});
    return table;
  }

  static void put_plain(backend_table& table, const std::string& id, const std::string& domain)
  {
    table.put({.id = id,
               .service = "desk",
               .address = {"10.0.0." + id, 80},
               .failure_domain = domain,
               .slots = 4,
               .started_ms = 1},
              t0);
  }

  static void put_half(backend_table& table, const std::string& id, const std::string& domain,
                       unsigned from, unsigned to)
  {
    protocol::backend_entry entry{.id = id,
                                  .service = "pool",
                                  .address = {"10.0.1." + id, 80},
                                  .failure_domain = domain,
                                  .slots = 4,
                                  .started_ms = 1};
    table.put(entry, t0);
    peers::load_message load;
    load.engine = transport::to_string(entry.address);
    load.mark.started_ms = 1;
    load.part_version = 1;
    load.part_from = from;
    load.part_to = to;
    table.update_load(load, t0);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(regions_test, "Gateway.Regions");

} // namespace
