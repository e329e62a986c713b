#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Peers/LoadPlan.h"
#include "Peers/PeerTable.h"
#include "Peers/ReaderOrder.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::peers;
using std::chrono::milliseconds;

peer_record make_entry(const std::string& ip, std::uint64_t incarnation = 1)
{
  return {.ip = ip, .role = peer_role::entry, .incarnation = incarnation};
}

class peer_table_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(peer_table_test);
  CPPUNIT_TEST(gossip_reaches_sixty_processes_within_twelve_rounds);
  CPPUNIT_TEST(load_report_crosses_a_regional_link_once);
  CPPUNIT_TEST(greeting_is_answered_once);
  CPPUNIT_TEST(mass_greeting_stays_within_the_link_budget);
  CPPUNIT_TEST(silent_process_times_out_and_recovers);
  CPPUNIT_TEST(leaving_process_is_not_listed_as_live);
  CPPUNIT_TEST(records_of_an_earlier_incarnation_are_ignored);
  CPPUNIT_TEST(unheard_peers_count_for_every_role);
  CPPUNIT_TEST(has_heard_all_requires_a_record_of_every_listed_host);
  CPPUNIT_TEST(entry_that_has_just_started_is_no_reader);
  CPPUNIT_TEST(one_entry_of_a_starting_domain_reads_the_store);
  CPPUNIT_TEST(readers_are_of_the_own_domain_and_few);
  CPPUNIT_TEST(messages_round_trip_and_malformed_ones_are_rejected);
  CPPUNIT_TEST_SUITE_END();

  static std::string make_ip(std::size_t number)
  {
    return "10.0.0." + std::to_string(number);
  }

  using ips = std::vector<std::string>;

  static peer_record with_state(peer_record entry)
  {
    entry.has_state = true;
    return entry;
  }

public:
  /// Guards against a failure domain whose first readers lost power together and came back without
  /// state: all others asked them in vain and then read the store, each for itself.
  void entry_that_has_just_started_is_no_reader()
  {
    const std::vector<peer_record> entries = {make_entry("10.0.0.1"), make_entry("10.0.0.2"),
                                              with_state(make_entry("10.0.0.3")),
                                              with_state(make_entry("10.0.0.4"))};
    CPPUNIT_ASSERT(reader_order(entries, entries[0]) == (ips{"10.0.0.3", "10.0.0.4"}));
    CPPUNIT_ASSERT(reader_order(entries, entries[2]).empty());
    CPPUNIT_ASSERT(reader_order(entries, entries[3]) == ips{"10.0.0.3"});
    const peer_record agent{.ip = "10.0.0.0", .role = peer_role::agent};
    CPPUNIT_ASSERT(reader_order(entries, agent) == (ips{"10.0.0.3", "10.0.0.4"}));
  }

  /// Guards against each process of a failure domain reading the whole state over the regional link
  /// after a loss of power.
  void one_entry_of_a_starting_domain_reads_the_store()
  {
    const std::vector<peer_record> entries = {make_entry("10.0.0.1"), make_entry("10.0.0.2"),
                                              make_entry("10.0.0.3")};
    CPPUNIT_ASSERT(reader_order(entries, entries[0]).empty());
    CPPUNIT_ASSERT(reader_order(entries, entries[2]) == (ips{"10.0.0.1", "10.0.0.2"}));
  }

  void readers_are_of_the_own_domain_and_few()
  {
    std::vector<peer_record> entries;
    for (std::size_t i = 10; i < 30; ++i)
    {
      entries.push_back(with_state(make_entry(make_ip(i))));
      entries.back().domain = static_cast<std::uint8_t>(i % 2);
    }
    const auto order = reader_order(entries, entries.back());
    CPPUNIT_ASSERT(order == (ips{make_ip(11), make_ip(13), make_ip(15), make_ip(17)}));
  }

  /// Guards against gossip that spreads too slowly for lookups to return new entries in time, with
  /// one failure domain and with three.
  void gossip_reaches_sixty_processes_within_twelve_rounds()
  {
    for (const std::size_t domains : {1, 3})
    {
      constexpr std::size_t count = 60;
      std::vector<peer_table> tables;
      for (std::size_t i = 0; i < count; ++i)
      {
        auto self = make_entry(make_ip(i));
        self.domain = static_cast<std::uint8_t>(i % domains);
        tables.emplace_back(self, std::vector<std::string>{make_ip(0), make_ip(1)}, 7 + i);
      }
      std::size_t sent = 0;
      std::size_t sent_across_domains = 0;
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
            sent_across_domains += tables[index].self().domain == table.self().domain ? 0U : 1U;
          }
        }
      }
      for (const peer_table& table : tables)
      {
        CPPUNIT_ASSERT_EQUAL(count, table.live(peer_role::entry, now).size());
      }
      // Guards against gossip that uses a third of the traffic between regions.
      CPPUNIT_ASSERT(sent_across_domains * 5 <= sent * 2);
    }
  }

  /// Guards against load reports that use half of the traffic between regions: 27 agents sent ten
  /// reports per second each to 13 entries in other regions.
  void load_report_crosses_a_regional_link_once()
  {
    std::vector<peer_record> entries;
    for (std::size_t i = 0; i < 6; ++i)
    {
      entries.push_back(make_entry(make_ip(i)));
      entries.back().domain = static_cast<std::uint8_t>(i / 2);
    }
    const std::vector<load_target> first = {
        {make_ip(0)}, {make_ip(1)}, {make_ip(2), true}, {make_ip(4), true}};
    const std::vector<load_target> second = {
        {make_ip(0)}, {make_ip(1)}, {make_ip(3), true}, {make_ip(5), true}};
    CPPUNIT_ASSERT(plan_load_report(entries, 0, 0) == first);
    CPPUNIT_ASSERT(plan_load_report(entries, 0, 1) == second);
    CPPUNIT_ASSERT(plan_load_report({}, 0, 1).empty());
  }

  /// Guards against processes that need several gossip rounds to discover each other when all start
  /// at once, and against two processes that reply to each other endlessly.
  void greeting_is_answered_once()
  {
    const peer_table::time_point now{};
    peer_table old(make_entry(make_ip(1)), {}, 1);
    old.merge({.peers = {make_entry(make_ip(3))}}, now);
    peer_table started(make_entry(make_ip(2)), {}, 2);
    started.add_candidate(make_ip(1));
    CPPUNIT_ASSERT((started.others() == std::vector<std::string>{make_ip(1)}));
    const auto greeting = started.make_message(0, now);
    CPPUNIT_ASSERT(old.is_newcomer(greeting, make_ip(2)));
    old.merge(greeting, now);
    CPPUNIT_ASSERT(!old.is_newcomer(greeting, make_ip(2)));
    const auto answer = old.make_message(0, now);
    CPPUNIT_ASSERT(started.is_newcomer(answer, make_ip(1)));
    started.merge(answer, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, started.live(peer_role::entry, now).size());
    // A restarted host counts as a newcomer again.
    auto restarted = make_entry(make_ip(2));
    restarted.incarnation += 1;
    CPPUNIT_ASSERT(old.is_newcomer({.peers = {restarted}}, make_ip(2)));
  }

  /// Guards against greetings that saturate the regional links after a power loss: 170 processes in
  /// three regions greet each other within 0.5 s. The limit is 0.25 s of a 32 Mbit/s link, which
  /// carries one ninth of the messages.
  void mass_greeting_stays_within_the_link_budget()
  {
    constexpr std::size_t processes = 170;
    constexpr std::size_t link_bytes = 1'000'000;
    const peer_table::time_point now{};
    peer_table table(make_entry("10.100.100.100", ~std::uint64_t{0}), {}, 1);
    for (std::size_t i = 0; i < processes; ++i)
    {
      table.merge({.peers = {make_entry(make_ip(i))}}, now);
    }
    const auto greeting = table.make_greeting(7);
    CPPUNIT_ASSERT(greeting.greets_all);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, greeting.peers.size());
    // A greeting, the reply, and the reply to that.
    const std::size_t sent = processes * (processes - 1) * 3 * encode_message(greeting).size();
    CPPUNIT_ASSERT(sent / 9 <= link_bytes);
  }

  void silent_process_times_out_and_recovers()
  {
    peer_table table(make_entry("10.0.0.1"), {}, 1);
    peer_table::time_point now{};
    peer_record other = make_entry("10.0.0.2");
    table.merge({.peers = {other}}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, now).size());
    now += peer_timeout + milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.live(peer_role::entry, now).size());
    const auto targets = table.choose_targets(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, targets.size());
    other.heartbeat = 9;
    table.merge({.peers = {other}}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, now).size());
  }

  void leaving_process_is_not_listed_as_live()
  {
    peer_table table(make_entry("10.0.0.1"), {}, 1);
    peer_record other = make_entry("10.0.0.2");
    other.leaving = true;
    table.merge({.peers = {other}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.live(peer_role::entry, {}).size());
    table.set_leaving();
    CPPUNIT_ASSERT(table.live(peer_role::entry, {}).empty());
  }

  /// Guards against a restarted process that stays "leaving" because of a late record from before
  /// the restart.
  void records_of_an_earlier_incarnation_are_ignored()
  {
    peer_table table(make_entry("10.0.0.1"), {}, 1);
    table.merge({.peers = {make_entry("10.0.0.2", 5)}}, {});
    peer_record earlier = make_entry("10.0.0.2", 4);
    earlier.heartbeat = 1000;
    earlier.leaving = true;
    table.merge({.peers = {earlier}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, {}).size());
  }

  /// Guards against a process that plans with only the few hosts it has heard from so far.
  void has_heard_all_requires_a_record_of_every_listed_host()
  {
    peer_table table(make_entry(make_ip(1)), {}, 1);
    CPPUNIT_ASSERT(!table.has_heard_all());
    table.add_candidate(make_ip(2));
    table.add_candidate(make_ip(3));
    table.merge({.peers = {make_entry(make_ip(2))}}, {});
    CPPUNIT_ASSERT(!table.has_heard_all());
    table.merge({.peers = {make_entry(make_ip(3))}}, {});
    CPPUNIT_ASSERT(table.has_heard_all());
  }

  /// Guards against entries that each use the retry budget of the whole fleet right after all start
  /// at once.
  void unheard_peers_count_for_every_role()
  {
    peer_table table(make_entry("10.0.0.1"), {"10.0.0.2", "10.0.0.3"}, 1);
    table.merge({.peers = {{.ip = "10.0.0.3", .role = peer_role::agent}}}, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.possible(peer_role::entry));
  }

  void messages_round_trip_and_malformed_ones_are_rejected()
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
    const piece_announcement announcement{.model = "m",
                                          .version = 3,
                                          .states = {piece_state::held, piece_state::reading},
                                          .wants_answer = true};
    const auto decoded_announcement = decode_message(encode_message(announcement));
    CPPUNIT_ASSERT(decoded_announcement);
    CPPUNIT_ASSERT(std::get<piece_announcement>(*decoded_announcement).states ==
                   announcement.states);
    const auto leaving = decode_message(encode_message(server_leaving{"i-1", 77}));
    CPPUNIT_ASSERT(leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), std::get<server_leaving>(*leaving).server);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, std::get<server_leaving>(*leaving).started_ms);
    // A length field of 4 billion elements must not cause an allocation.
    using namespace std::string_view_literals;
    CPPUNIT_ASSERT(!decode_message("\x00\x00\x00\x00\xff\xff\xff\xff"sv));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_table_test, "Peers");

} // namespace
