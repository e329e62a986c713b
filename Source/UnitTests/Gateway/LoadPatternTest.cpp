#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/AdmissionPolicy.h"
#include "Gateway/BackendTable.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;

const time_point t0 = time_point{} + std::chrono::hours(1);

/// Load balancing and admission of entries whose load reports are 0.1 s old.
class load_pattern_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_pattern_test);
  CPPUNIT_TEST(water_filling_equalizes_the_waits);
  CPPUNIT_TEST(idle_engine_is_not_flooded);
  CPPUNIT_TEST(load_report_applies_to_the_servers_at_its_address);
  CPPUNIT_TEST(load_report_that_was_overtaken_is_ignored);
  CPPUNIT_TEST(admission_keeps_responses_on_time_at_twice_the_capacity);
  CPPUNIT_TEST(refused_callers_return_after_a_short_overload);
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

  /// Simulates a FIFO server at twice its capacity, with and without admission control. Without it
  /// the queue grows until nearly all responses are late.
  void admission_keeps_responses_on_time_at_twice_the_capacity()
  {
    constexpr double service_ms = 50;
    constexpr double interval_ms = service_ms / 2;
    constexpr double objective_ms = 400;
    constexpr int requests = 2000;
    const auto simulate = [&](bool with_admission)
    {
      double free_at = 0;
      int on_time = 0;
      for (int i = 0; i < requests; ++i)
      {
        const double now = i * interval_ms;
        const double wait = std::max(0.0, free_at - now);
        const admission_input input{.first_byte_ms = wait + service_ms,
                                    .wait_ms = wait,
                                    .objective = milliseconds(static_cast<int>(objective_ms)),
                                    .time_left = milliseconds(6000),
                                    .time_limit = milliseconds(6000)};
        if (with_admission && !decide_admission(input).admitted)
        {
          continue;
        }
        free_at = std::max(free_at, now) + service_ms;
        on_time += free_at - now <= objective_ms ? 1 : 0;
      }
      return on_time;
    };
    const int capacity = static_cast<int>(requests * interval_ms / service_ms);
    CPPUNIT_ASSERT(simulate(true) >= capacity * 95 / 100);
    CPPUNIT_ASSERT(simulate(false) < capacity / 10);
  }

  /// Guards against callers that are refused twice: during two seconds of overload, as while
  /// engines load new weights, they returned after 0.12 s each, and most of them return only once.
  void refused_callers_return_after_a_short_overload()
  {
    constexpr double service_ms = 50;
    constexpr milliseconds limit(6000);
    struct arrival
    {
      double sent_ms = 0;
      bool returned = false;
    };
    std::multimap<double, arrival> arrivals;
    int sent = 0;
    for (double at = 0; at < 10000;
         at += at >= 3000 && at < 5000 ? service_ms / 1.6 : service_ms / 0.7)
    {
      arrivals.emplace(at, arrival{at, false});
      ++sent;
    }
    refusal_average refusals;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> fraction(0, 1);
    double free_at = 0;
    int refused = 0;
    int refused_again = 0;
    int served = 0;
    while (!arrivals.empty())
    {
      const auto [now, next] = *arrivals.begin();
      arrivals.erase(arrivals.begin());
      const time_point time = t0 + std::chrono::duration_cast<time_point::duration>(
                                       std::chrono::duration<double, std::milli>(now));
      const double wait = std::max(0.0, free_at - now);
      const auto decision =
          decide_admission({.first_byte_ms = wait + service_ms,
                            .wait_ms = wait,
                            .objective = milliseconds(400),
                            .time_left = limit - milliseconds(static_cast<int>(now - next.sent_ms)),
                            .time_limit = limit,
                            .refused_share = refusals.share(time),
                            .random_fraction = fraction(random)});
      refusals.add(!decision.admitted, time);
      if (decision.admitted)
      {
        free_at = std::max(free_at, now) + service_ms;
        ++served;
      }
      else if (next.returned)
      {
        ++refused_again;
      }
      else
      {
        ++refused;
        arrivals.emplace(now + static_cast<double>(decision.retry_after.count()),
                         arrival{next.sent_ms, true});
      }
    }
    // Half of the refused callers find room when they return.
    CPPUNIT_ASSERT(refused_again * 2 <= refused);
    CPPUNIT_ASSERT_EQUAL(sent, served + refused_again);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(load_pattern_test, "Gateway.LoadPattern");

} // namespace
