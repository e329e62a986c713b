#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Peers/LoadPlan.h"
#include "Peers/PeerTable.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::peers;
using std::chrono::milliseconds;

peer_record entry(const std::string& ip, std::uint64_t incarnation = 1)
{
  return {.ip = ip, .role = peer_role::entry, .incarnation = incarnation};
}

class peer_table_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(peer_table_test);
  CPPUNIT_TEST(news_reach_sixty_processes_within_six_rounds);
  CPPUNIT_TEST(load_report_crosses_a_regional_link_once);
  CPPUNIT_TEST(greeting_is_answered_once);
  CPPUNIT_TEST(greetings_of_all_leave_room_on_the_links);
  CPPUNIT_TEST(silent_process_is_not_live_and_comes_back);
  CPPUNIT_TEST(leaving_process_is_not_named);
  CPPUNIT_TEST(old_news_of_an_earlier_run_change_nothing);
  CPPUNIT_TEST(unheard_hosts_count_as_possible);
  CPPUNIT_TEST(all_are_heard_once_no_listed_host_is_missing);
  CPPUNIT_TEST(messages_survive_the_wire_and_garbage_is_an_error);
  CPPUNIT_TEST_SUITE_END();

  static std::string ip(std::size_t number)
  {
    return "10.0.0." + std::to_string(number);
  }

public:
  /// Guards against gossip that spreads too slowly for lookups to name new entries in time, in one
  /// failure domain and in three.
  void news_reach_sixty_processes_within_six_rounds()
  {
    for (const std::size_t domains : {1, 3})
    {
      constexpr std::size_t count = 60;
      std::vector<peer_table> tables;
      for (std::size_t i = 0; i < count; ++i)
      {
        auto self = entry(ip(i));
        self.domain = static_cast<std::uint8_t>(i % domains);
        tables.emplace_back(self, std::vector<std::string>{ip(0), ip(1)}, 7 + i);
      }
      std::size_t sent = 0;
      std::size_t sent_far = 0;
      peer_table::time_point now{};
      for (int round = 0; round < 12; ++round)
      {
        now += gossip_interval;
        for (peer_table& table : tables)
        {
          table.beat();
          for (const std::string& target : table.choose_targets(now))
          {
            const auto index = static_cast<std::size_t>(std::stoi(target.substr(7)));
            tables[index].merge(table.make_message(0, now), now);
            ++sent;
            sent_far += tables[index].self().domain == table.self().domain ? 0U : 1U;
          }
        }
      }
      for (const peer_table& table : tables)
      {
        CPPUNIT_ASSERT_EQUAL(count, table.live(peer_role::entry, now).size());
      }
      // Guards against gossip that takes a third of what is sent between regions.
      CPPUNIT_ASSERT(sent_far * 5 <= sent * 2);
    }
  }

  /// Guards against reports that fill half of what is sent between regions: 27 agents sent each of
  /// ten reports a second to 13 entries of other regions.
  void load_report_crosses_a_regional_link_once()
  {
    std::vector<peer_record> entries;
    for (std::size_t i = 0; i < 6; ++i)
    {
      entries.push_back(entry(ip(i)));
      entries.back().domain = static_cast<std::uint8_t>(i / 2);
    }
    const std::vector<load_target> first = {{ip(0)}, {ip(1)}, {ip(2), true}, {ip(4), true}};
    const std::vector<load_target> second = {{ip(0)}, {ip(1)}, {ip(3), true}, {ip(5), true}};
    CPPUNIT_ASSERT(plan_load_report(entries, 0, 0) == first);
    CPPUNIT_ASSERT(plan_load_report(entries, 0, 1) == second);
    CPPUNIT_ASSERT(plan_load_report({}, 0, 1).empty());
  }

  /// Guards against processes that know each other only after rounds of gossip when all start at
  /// once, and against answers that go on between two of them.
  void greeting_is_answered_once()
  {
    const peer_table::time_point now{};
    peer_table old(entry(ip(1)), {}, 1);
    old.merge({.peers = {entry(ip(3))}}, now);
    peer_table started(entry(ip(2)), {}, 2);
    started.add_candidate(ip(1));
    CPPUNIT_ASSERT((started.others() == std::vector<std::string>{ip(1)}));
    const auto greeting = started.make_message(0, now);
    CPPUNIT_ASSERT(old.is_newcomer(greeting, ip(2)));
    old.merge(greeting, now);
    CPPUNIT_ASSERT(!old.is_newcomer(greeting, ip(2)));
    const auto answer = old.make_message(0, now);
    CPPUNIT_ASSERT(started.is_newcomer(answer, ip(1)));
    started.merge(answer, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, started.live(peer_role::entry, now).size());
    // A host that has started again is one more newcomer.
    auto again = entry(ip(2));
    again.incarnation += 1;
    CPPUNIT_ASSERT(old.is_newcomer({.peers = {again}}, ip(2)));
  }

  /// Guards against greetings that fill the regional links after a loss of power: 170 processes in
  /// three regions greet each other within half a second. The bound is a quarter of a second of a
  /// link of 32 Mbit/s, over which a ninth of the messages goes.
  void greetings_of_all_leave_room_on_the_links()
  {
    constexpr std::size_t processes = 170;
    constexpr std::size_t link_bytes = 1'000'000;
    const peer_table::time_point now{};
    peer_table table(entry("10.100.100.100", ~std::uint64_t{0}), {}, 1);
    for (std::size_t i = 0; i < processes; ++i)
    {
      table.merge({.peers = {entry(ip(i))}}, now);
    }
    const auto greeting = table.make_greeting(7);
    CPPUNIT_ASSERT(greeting.greets_all);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, greeting.peers.size());
    // A greeting, its answer, and the answer to that.
    const std::size_t sent = processes * (processes - 1) * 3 * encode_message(greeting).size();
    CPPUNIT_ASSERT(sent / 9 <= link_bytes);
  }

  void silent_process_is_not_live_and_comes_back()
  {
    peer_table table(entry("10.0.0.1"), {}, 1);
    peer_table::time_point now{};
    peer_record other = entry("10.0.0.2");
    table.merge({.peers = {other}}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, now).size());
    now += silence_limit + milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.live(peer_role::entry, now).size());
    const auto targets = table.choose_targets(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, targets.size());
    other.heartbeat = 9;
    table.merge({.peers = {other}}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, now).size());
  }

  void leaving_process_is_not_named()
  {
    peer_table table(entry("10.0.0.1"), {}, 1);
    peer_record other = entry("10.0.0.2");
    other.leaving = true;
    table.merge({.peers = {other}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.live(peer_role::entry, {}).size());
    table.set_leaving();
    CPPUNIT_ASSERT(table.live(peer_role::entry, {}).empty());
  }

  /// Guards against a restarted process that stays "leaving" because of late news.
  void old_news_of_an_earlier_run_change_nothing()
  {
    peer_table table(entry("10.0.0.1"), {}, 1);
    table.merge({.peers = {entry("10.0.0.2", 5)}}, {});
    peer_record earlier = entry("10.0.0.2", 4);
    earlier.heartbeat = 1000;
    earlier.leaving = true;
    table.merge({.peers = {earlier}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, {}).size());
  }

  /// Guards against entries that each take the whole fleet's repeats right after a common start.
  /// Guards against a process that plans with the few hosts that it has heard of so far.
  void all_are_heard_once_no_listed_host_is_missing()
  {
    peer_table table(entry(ip(1)), {}, 1);
    CPPUNIT_ASSERT(!table.has_heard_all());
    table.add_candidate(ip(2));
    table.add_candidate(ip(3));
    table.merge({.peers = {entry(ip(2))}}, {});
    CPPUNIT_ASSERT(!table.has_heard_all());
    table.merge({.peers = {entry(ip(3))}}, {});
    CPPUNIT_ASSERT(table.has_heard_all());
  }

  void unheard_hosts_count_as_possible()
  {
    peer_table table(entry("10.0.0.1"), {"10.0.0.2", "10.0.0.3"}, 1);
    table.merge({.peers = {{.ip = "10.0.0.3", .role = peer_role::agent}}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.possible(peer_role::entry));
  }

  void messages_survive_the_wire_and_garbage_is_an_error()
  {
    load_message load;
    load.engine = "10.0.0.9:80";
    load.unread_tokens = 77;
    const std::string bytes = encode_message(load);
    const auto decoded = decode_message(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{77}, std::get<load_message>(*decoded).unread_tokens);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
      CPPUNIT_ASSERT(!decode_message(std::string_view(bytes).substr(0, size)));
    }
    CPPUNIT_ASSERT(!decode_message("\x01\xff\xff\xff\xff garbage"));
    const piece_announcement news{.model = "m",
                                  .version = 3,
                                  .states = {piece_state::held, piece_state::reading},
                                  .wants_answer = true};
    const auto same = decode_message(encode_message(news));
    CPPUNIT_ASSERT(same);
    CPPUNIT_ASSERT(std::get<piece_announcement>(*same).states == news.states);
    // A claim of four thousand million entries is not allocated for.
    using namespace std::string_view_literals;
    CPPUNIT_ASSERT(!decode_message("\x00\x00\x00\x00\xff\xff\xff\xff"sv));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_table_test, "Peers");

} // namespace
