#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/Rendezvous.h"
#include "Peers/HostsReads.h"
#include "Peers/LoadPlan.h"
#include "Peers/LoadRelay.h"
#include "Peers/LookupOrder.h"
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
  CPPUNIT_TEST(datagrams_of_load_reports_are_bounded_in_a_large_fleet);
  CPPUNIT_TEST(fleet_reads_the_list_of_hosts_at_a_constant_rate);
  CPPUNIT_TEST(lookups_spread_callers_over_all_domains);
  CPPUNIT_TEST(restricted_lookups_name_the_region_of_the_caller);
  CPPUNIT_TEST(relaying_entries_change_over_time);
  CPPUNIT_TEST(relayed_load_reports_are_batched_and_aged);
  CPPUNIT_TEST(gossip_keeps_three_hundred_processes_live);
  CPPUNIT_TEST(processes_that_are_gone_do_not_lengthen_the_time_out);
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

  static std::vector<peer_record> make_large_fleet(std::size_t domains, std::size_t per_domain)
  {
    std::vector<peer_record> entries;
    for (std::size_t i = 0; i < domains * per_domain; ++i)
    {
      entries.push_back(make_entry(make_ip(i)));
      entries.back().domain = static_cast<std::uint8_t>(i / per_domain);
    }
    return entries;
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
    CPPUNIT_ASSERT(plan_load_report(entries, {}, 0) == first);
    CPPUNIT_ASSERT(plan_load_report(entries, {}, 1) == second);
    CPPUNIT_ASSERT(plan_load_report({}, {}, 1).empty());
  }

  /// Guards against datagrams that grow with the product of agents and entries: 156 agents sent
  /// 1,560 reports per second to each of 149 entries.
  void datagrams_of_load_reports_are_bounded_in_a_large_fleet()
  {
    constexpr std::size_t agents = 156;
    constexpr std::size_t domains = 5;
    constexpr std::size_t entries_per_domain = 30;
    constexpr int reports_per_s = 10;
    const auto entries = make_large_fleet(domains, entries_per_domain);
    std::map<std::string, std::set<std::size_t>> agents_by_relay;
    for (std::size_t agent = 0; agent < agents; ++agent)
    {
      const load_sender sender{static_cast<std::uint8_t>(agent % domains),
                               stable_hash(make_ip(agent))};
      std::set<std::string> relays;
      for (std::uint64_t turn = 0; turn < reports_per_s; ++turn)
      {
        const auto targets = plan_load_report(entries, sender, turn);
        CPPUNIT_ASSERT_EQUAL(domains, targets.size());
        for (const load_target& target : targets)
        {
          CPPUNIT_ASSERT(target.passes_on);
          relays.insert(target.ip);
          agents_by_relay[target.ip].insert(agent);
        }
      }
      // One that is down costs every second report of an agent only.
      CPPUNIT_ASSERT_EQUAL(2 * domains, relays.size());
    }
    // The work of a relay is shared by several entries of each domain.
    CPPUNIT_ASSERT(agents_by_relay.size() >= 4 * domains);
    for (const auto& [relay, senders] : agents_by_relay)
    {
      CPPUNIT_ASSERT(senders.size() <= agents / 2);
    }
    const double batches_per_s = 1000.0 / load_batch_interval.count();
    // A tenth of what each entry would get directly.
    double received_per_s = 0;
    for (const auto& [relay, senders] : agents_by_relay)
    {
      const double loads_per_batch =
          static_cast<double>(senders.size()) * reports_per_s / 2 / batches_per_s;
      received_per_s += batches_per_s * std::ceil(loads_per_batch / max_loads_per_batch) / domains;
    }
    CPPUNIT_ASSERT(received_per_s <= agents);
  }

  /// Guards against calls to the store that grow with the fleet: each of 305 processes read the
  /// whole list every six seconds.
  void fleet_reads_the_list_of_hosts_at_a_constant_rate()
  {
    for (const std::size_t processes : {2, 36, 305, 3730})
    {
      const double interval_s =
          std::chrono::duration<double>(hosts_read_interval(processes - 1)).count();
      CPPUNIT_ASSERT(static_cast<double>(processes) / interval_s <= 1);
    }
    CPPUNIT_ASSERT(hosts_read_interval(0) <= hosts_check_interval);
  }

  /// Guards against requests that pass through a region where they must not be, and against an
  /// answer without entries when the region of the caller has none.
  void restricted_lookups_name_the_region_of_the_caller()
  {
    auto entries = make_large_fleet(3, 4);
    const auto in_domain = [](std::uint8_t domain)
    {
      return [domain](const peer_record& entry)
      {
        return entry.domain == domain;
      };
    };
    auto kept = entries;
    keep_region_for_lookup(kept, in_domain(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, kept.size());
    CPPUNIT_ASSERT(std::all_of(kept.begin(), kept.end(), in_domain(2)));
    keep_region_for_lookup(entries, in_domain(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, entries.size());
  }

  /// Guards against entries of one failure domain that get callers of all of them.
  void lookups_spread_callers_over_all_domains()
  {
    constexpr std::size_t listed = 64;
    auto entries = make_large_fleet(5, 30);
    std::mt19937_64 random(1);
    std::map<std::uint8_t, std::size_t> listed_by_domain;
    for (int lookup = 0; lookup < 100; ++lookup)
    {
      auto order = entries;
      order_for_lookup(
          order, [](const peer_record& entry) { return entry.domain == 3; }, random);
      for (std::size_t i = 0; i < listed; ++i)
      {
        ++listed_by_domain[order[i].domain];
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3000}, listed_by_domain[3]);
    for (const std::uint8_t other : {0, 1, 2, 4})
    {
      CPPUNIT_ASSERT(listed_by_domain[other] > 700 && listed_by_domain[other] < 1000);
    }
  }

  void relaying_entries_change_over_time()
  {
    const auto entries = make_large_fleet(1, 30);
    std::set<std::string> relays;
    for (std::uint64_t turn = 0; turn < std::uint64_t{15} * 300; ++turn)
    {
      relays.insert(plan_load_report(entries, {}, turn).front().ip);
    }
    CPPUNIT_ASSERT_EQUAL(entries.size(), relays.size());
  }

  void relayed_load_reports_are_batched_and_aged()
  {
    load_relay relay;
    const load_relay::time_point start{};
    CPPUNIT_ASSERT(relay.take(start).empty());
    CPPUNIT_ASSERT(relay.add({.engine = "e", .running = 1, .pass_on = true}, start));
    CPPUNIT_ASSERT(!relay.add({.engine = "e", .running = 2}, start + milliseconds(30)));
    for (std::size_t i = 0; i < max_loads_per_batch; ++i)
    {
      CPPUNIT_ASSERT(!relay.add({.engine = make_ip(i)}, start + load_batch_interval));
    }
    const auto batches = relay.take(start + load_batch_interval);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, batches.size());
    CPPUNIT_ASSERT_EQUAL(max_loads_per_batch, batches[0].loads.size());
    // The newest report of each engine, in the order of their addresses.
    const load_message& last = batches[1].loads.front();
    CPPUNIT_ASSERT_EQUAL(2U, last.running);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{70}, last.held_ms);
    CPPUNIT_ASSERT(!last.pass_on);
    CPPUNIT_ASSERT(encode_message(batches[0]).size() < 1450);
    CPPUNIT_ASSERT(relay.take(start + load_batch_interval).empty());
  }

  /// Guards against live processes that time out because gossip carries too few of them: with 305
  /// processes each message holds a sixth of them.
  void gossip_keeps_three_hundred_processes_live()
  {
    constexpr std::size_t count = 305;
    constexpr std::size_t domains = 5;
    std::vector<peer_table> tables;
    std::map<std::string, std::size_t> index;
    for (std::size_t i = 0; i < count; ++i)
    {
      auto self = make_entry(make_ip(i));
      self.domain = static_cast<std::uint8_t>(i % domains);
      index[self.ip] = i;
      tables.emplace_back(self, std::vector<std::string>{make_ip(0), make_ip(1)}, 7 + i);
    }
    peer_table::time_point now{};
    for (peer_table& table : tables)
    {
      for (peer_table& other : tables)
      {
        other.merge({.peers = {table.self()}}, now);
      }
    }
    constexpr int rounds = 40;
    std::size_t missing = 0;
    for (int round = 0; round < rounds; ++round)
    {
      now += gossip_interval;
      for (peer_table& table : tables)
      {
        table.beat();
        const auto message = table.make_message(0, now);
        for (const std::string& target : table.choose_targets(now))
        {
          tables[index.at(target)].merge(message, now);
        }
      }
      for (const peer_table& table : tables)
      {
        missing += count - table.live(peer_role::entry, now).size();
      }
    }
    // One wrong time-out in ten thousand would take one process in three out of somebody's list.
    CPPUNIT_ASSERT(missing * 10'000 <= count * count * rounds);
  }

  /// Guards against a fleet whose hosts were replaced over months and that notices lost ones later
  /// and later.
  void processes_that_are_gone_do_not_lengthen_the_time_out()
  {
    peer_table table(make_entry("10.1.0.1"), {}, 1);
    peer_table::time_point now{};
    for (std::size_t i = 0; i < 3 * max_prompt_processes; ++i)
    {
      auto gone = make_entry(make_ip(i));
      gone.domain = 1;
      table.merge({.peers = {gone}}, now);
    }
    table.make_message(0, now);
    now += peer_timeout + milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(3 * max_prompt_processes + 1, table.live(peer_role::entry, now).size());
    now += recent_time;
    auto other = make_entry("10.2.0.1");
    other.domain = 1;
    table.merge({.peers = {other}}, now);
    table.make_message(0, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.live(peer_role::entry, now).size());
    now += peer_timeout + milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.live(peer_role::entry, now).size());
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
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2"), table.leaving(peer_role::entry, {}).front().ip);
    CPPUNIT_ASSERT(table.leaving(peer_role::agent, {}).empty());
    table.set_leaving();
    CPPUNIT_ASSERT(table.live(peer_role::entry, {}).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.leaving(peer_role::entry, {}).size());
    const peer_table::time_point later = peer_table::time_point{} + std::chrono::minutes(1);
    CPPUNIT_ASSERT(table.leaving(peer_role::entry, later).empty());
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
    load.mark = {1796000000123, 9};
    load.proven = true;
    const std::string bytes = encode_message(load);
    const auto decoded = decode_message(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{77}, std::get<load_message>(*decoded).unread_tokens);
    CPPUNIT_ASSERT(std::get<load_message>(*decoded).mark == load.mark);
    CPPUNIT_ASSERT(std::get<load_message>(*decoded).proven);
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
    const std::string proof = encode_message(layer_proof{"10.0.0.9:80", load.mark});
    const auto decoded_proof = decode_message(proof);
    CPPUNIT_ASSERT(decoded_proof);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:80"), std::get<layer_proof>(*decoded_proof).engine);
    CPPUNIT_ASSERT(std::get<layer_proof>(*decoded_proof).mark == load.mark);
    for (std::size_t size = 0; size < proof.size(); ++size)
    {
      CPPUNIT_ASSERT(!decode_message(std::string_view(proof).substr(0, size)));
    }
    // A length field of 4 billion elements must not cause an allocation.
    using namespace std::string_view_literals;
    CPPUNIT_ASSERT(!decode_message("\x00\x00\x00\x00\xff\xff\xff\xff"sv));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_table_test, "Peers");

} // namespace
