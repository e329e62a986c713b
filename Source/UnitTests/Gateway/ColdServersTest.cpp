#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/BackendTable.h"
#include "Gateway/ColdServers.h"
#include "Peers/KeyOwner.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using std::chrono::seconds;

const time_point t0 = time_point{} + std::chrono::hours(1);
constexpr protocol::cold_server_settings bounds{.overage = 1.5, .slack = 5};
constexpr double rate = 17;

/// An entry that sends whenever it may: the demand is far above what the server takes.
struct busy_entry
{
  busy_entry(const std::string& ip, time_point& clock)
      : view(ip), cold(bounds, [this, &clock](std::string_view server, std::size_t most)
                       { return view.sharers(server, most, clock); })
  {
  }

  peers::key_owner view;
  cold_servers cold;
};

/// Entries with views of each other, in front of one cold server.
class entry_group
{
public:
  explicit entry_group(time_point start) : m_now(start) {}

  void start(const std::string& ip)
  {
    m_entries[ip] = std::make_unique<busy_entry>(ip, m_now);
    m_entries[ip]->cold.add("server", seconds(3600), m_now);
  }
  void end(const std::string& ip)
  {
    m_entries.erase(ip);
  }

  /// All entries take `believed_live` for the live ones. Returns the requests sent.
  std::size_t run(milliseconds length, const std::vector<std::string>& believed_live)
  {
    std::vector<peers::peer_record> live;
    live.reserve(believed_live.size());
    for (const std::string& ip : believed_live)
    {
      live.push_back({.ip = ip});
    }
    std::size_t sent = 0;
    for (const time_point until = m_now + length; m_now < until; m_now += milliseconds(5))
    {
      for (const auto& [ip, entry] : m_entries)
      {
        if ((m_now - t0) % milliseconds(500) == milliseconds(0))
        {
          entry->view.observe(live, m_now);
        }
        if (entry->cold.next_send("server", rate, m_now) <= m_now)
        {
          entry->cold.note_send("server", m_now);
          m_sent.push_back(m_now);
          ++sent;
        }
      }
      while (!m_sent.empty() && m_sent.front() <= m_now - seconds(1))
      {
        m_sent.pop_front();
      }
      most_in_a_second = std::max(most_in_a_second, m_sent.size());
    }
    return sent;
  }

  std::size_t most_in_a_second = 0;

private:
  time_point m_now;
  std::map<std::string, std::unique_ptr<busy_entry>> m_entries;
  std::deque<time_point> m_sent;
};

std::vector<std::string> make_ips(int count, int first = 1)
{
  std::vector<std::string> out;
  for (int i = first; i < first + count; ++i)
  {
    out.push_back("10.0." + std::to_string(i / 100) + "." + std::to_string(i % 100));
  }
  return out;
}

const double most_allowed = rate * bounds.overage + bounds.slack;

class cold_servers_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(cold_servers_test);
  CPPUNIT_TEST(entries_together_keep_the_rate_of_a_cold_server);
  CPPUNIT_TEST(rate_holds_while_entries_come_and_go);
  CPPUNIT_TEST(entries_that_have_just_started_send_nothing);
  CPPUNIT_TEST(rate_without_room_above_it_is_kept);
  CPPUNIT_TEST(records_tell_that_a_server_is_cold);
  CPPUNIT_TEST(choices_made_at_once_share_one_turn);
  CPPUNIT_TEST(restarted_server_is_cold);
  CPPUNIT_TEST(servers_are_cold_after_an_evacuation);
  CPPUNIT_TEST(restored_server_is_cold_if_its_connections_failed);
  CPPUNIT_TEST(choice_made_while_the_server_was_warm_is_not_sent);
  CPPUNIT_TEST(nothing_is_cold_without_a_rate_or_settings);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a crash of a cold server under the sum of what many entries send, each of which
  /// keeps the rate alone, and against a cold server that gets next to nothing.
  void entries_together_keep_the_rate_of_a_cold_server()
  {
    for (const int count : {1, 5, 48, 300})
    {
      const auto ips = make_ips(count);
      entry_group group(t0);
      for (const std::string& ip : ips)
      {
        group.start(ip);
      }
      (void)group.run(seconds(3), ips);
      const std::size_t sent = group.run(seconds(10), ips);
      const std::string text = std::to_string(count) + " entries";
      CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(group.most_in_a_second) <= most_allowed);
      CPPUNIT_ASSERT_MESSAGE(text, static_cast<double>(sent) >= 0.9 * rate * 10);
    }
  }

  /// Guards against two generations of entries that send at the same time.
  void rate_holds_while_entries_come_and_go()
  {
    auto ips = make_ips(20);
    entry_group group(t0);
    for (const std::string& ip : ips)
    {
      group.start(ip);
    }
    (void)group.run(seconds(4), ips);
    for (int round = 0; round < 10; ++round)
    {
      // The others hear of the change a second later.
      const auto believed = ips;
      const auto added = make_ips(2, 200 + 2 * round);
      group.end(ips.front());
      ips.erase(ips.begin());
      for (const std::string& ip : added)
      {
        group.start(ip);
        ips.push_back(ip);
      }
      (void)group.run(seconds(1), believed);
      (void)group.run(seconds(2), ips);
    }
    CPPUNIT_ASSERT(static_cast<double>(group.most_in_a_second) <= most_allowed);
  }

  /// Guards against entries that know only themselves after a loss of power, each of which would
  /// take the whole rate.
  void entries_that_have_just_started_send_nothing()
  {
    entry_group group(t0);
    const auto ips = make_ips(48);
    for (const std::string& ip : ips)
    {
      group.start(ip);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, group.run(milliseconds(1900), ips));
  }

  void rate_without_room_above_it_is_kept()
  {
    const cold_rate exact = share_cold_rate(10, {.overage = 1, .slack = 0});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, exact.max_sharers);
    CPPUNIT_ASSERT(exact.per_second + 1 <= 10);
    const cold_rate small = share_cold_rate(0.5, {.overage = 1, .slack = 0});
    CPPUNIT_ASSERT(small.per_second > 0);
  }

  /// Guards against the usual load at a server whose record says that it is cold, and against an
  /// older record that makes it warm too early.
  void records_tell_that_a_server_is_cold()
  {
    backend_table table = make_table();
    put(table, "1", milliseconds(2000));
    CPPUNIT_ASSERT(table.choose(m_request, t0)->cold);
    CPPUNIT_ASSERT(!table.choose(m_request, t0 + milliseconds(2000))->cold);
    // A record that is older than what is known does not make the server warm.
    put(table, "1", milliseconds(0));
    CPPUNIT_ASSERT(table.choose(m_request, t0)->cold);
    table.add_cold("1", milliseconds(5000), t0);
    CPPUNIT_ASSERT(table.choose(m_request, t0 + milliseconds(4900))->cold);
    const auto choice = table.choose(m_request, t0);
    table.begin_attempt(*choice, t0);
    CPPUNIT_ASSERT(!table.choose(m_request, t0));
    CPPUNIT_ASSERT(table.has_cold(m_request, t0));
    const auto pause = table.shortest_pause(m_request, t0);
    CPPUNIT_ASSERT(pause && *pause > milliseconds(0) && *pause < milliseconds(100));
    CPPUNIT_ASSERT(table.choose(m_request, t0 + *pause + milliseconds(1)));
  }

  /// Guards against a server that starts again and gets its usual load before its record says so.
  void restarted_server_is_cold()
  {
    backend_table table = make_table();
    put(table, "1", milliseconds(0));
    peers::load_message load;
    load.engine = "10.0.0.1:80";
    load.mark.started_ms = 5;
    load.weight_version = 1;
    table.update_load(load, t0);
    CPPUNIT_ASSERT(!table.choose(m_request, t0)->cold);
    load.mark.started_ms = 9;
    table.update_load(load, t0 + milliseconds(10));
    CPPUNIT_ASSERT(table.choose(m_request, t0 + milliseconds(10))->cold);
    table.update_load(load, t0 + milliseconds(2900));
    CPPUNIT_ASSERT(!table.choose(m_request, t0 + milliseconds(3100))->cold);
  }

  /// Guards against the whole load of a failure domain at servers that became cold meanwhile.
  void servers_are_cold_after_an_evacuation()
  {
    backend_table table = make_table();
    put(table, "1", milliseconds(0));
    table.begin_evacuation("a");
    table.end_evacuation("a", t0);
    CPPUNIT_ASSERT(table.choose(m_request, t0)->cold);
    CPPUNIT_ASSERT(!table.choose(m_request, t0 + milliseconds(3100))->cold);
  }

  /// Guards against the usual load at servers that come back cold after they were dark.
  void restored_server_is_cold_if_its_connections_failed()
  {
    for (const auto health : {attempt_health::unreachable, attempt_health::failed})
    {
      backend_table table = make_table();
      for (const std::string id : {"1", "2", "3"})
      {
        put(table, id, milliseconds(0));
      }
      choice_request only_first = m_request;
      only_first.excluded = {"2", "3"};
      time_point now = t0;
      for (int i = 0; i < 2; ++i)
      {
        const auto choice = table.choose(only_first, now);
        table.begin_attempt(*choice, now);
        table.end_attempt(*choice, health, now);
      }
      CPPUNIT_ASSERT(!table.choose(only_first, now));
      now += milliseconds(1100);
      const auto trial = table.choose(only_first, now);
      table.begin_attempt(*trial, now);
      table.end_attempt(*trial, attempt_health::healthy, now);
      CPPUNIT_ASSERT_EQUAL(health == attempt_health::unreachable,
                           table.choose(only_first, now)->cold);
    }
  }

  /// Guards against requests that all found a free turn while each of them waited for a permit.
  void choices_made_at_once_share_one_turn()
  {
    backend_table table = make_table();
    put(table, "1", milliseconds(2000));
    const auto first = table.choose(m_request, t0);
    const auto second = table.choose(m_request, t0);
    CPPUNIT_ASSERT(table.may_send_to_cold(*first, t0));
    table.begin_attempt(*first, t0);
    CPPUNIT_ASSERT(!table.may_send_to_cold(*second, t0));
  }

  /// Guards against requests whose connection was being established when the server became cold.
  void choice_made_while_the_server_was_warm_is_not_sent()
  {
    backend_table table = make_table();
    put(table, "1", milliseconds(0));
    const auto choice = table.choose(m_request, t0);
    CPPUNIT_ASSERT(table.wants_requests(*choice, t0));
    put(table, "1", milliseconds(2000));
    CPPUNIT_ASSERT(!table.wants_requests(*choice, t0));
    CPPUNIT_ASSERT(table.wants_requests(*table.choose(m_request, t0), t0));
  }

  void nothing_is_cold_without_a_rate_or_settings()
  {
    backend_table without_settings(1);
    without_settings.set_services(
        {{"pool", {.name = "pool", .cold_start = seconds(3), .cold_per_second = rate}}});
    put(without_settings, "1", milliseconds(2000));
    CPPUNIT_ASSERT(!without_settings.choose(m_request, t0)->cold);
    backend_table without_rate(1, {}, make_cold_servers());
    without_rate.set_services({{"pool", {.name = "pool", .cold_start = seconds(3)}}});
    put(without_rate, "1", milliseconds(2000));
    CPPUNIT_ASSERT(!without_rate.choose(m_request, t0)->cold);
  }

private:
  static cold_servers make_cold_servers()
  {
    return {bounds, [](std::string_view, std::size_t)
            {
              return std::size_t{1};
            }};
  }

  static backend_table make_table()
  {
    backend_table table(1, {{"a", "north"}}, make_cold_servers());
    table.set_services(
        {{"pool", {.name = "pool", .cold_start = seconds(3), .cold_per_second = rate}}});
    return table;
  }

  static void put(backend_table& table, const std::string& id, milliseconds cold_remaining)
  {
    table.put({.id = id,
               .service = "pool",
               .address = {"10.0.0." + id, 80},
               .failure_domain = "a",
               .slots = 4,
               .cold_remaining = cold_remaining,
               .started_ms = 5},
              t0);
  }

  const choice_request m_request{.service = "pool"};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(cold_servers_test, "Gateway.ColdServers");

} // namespace
