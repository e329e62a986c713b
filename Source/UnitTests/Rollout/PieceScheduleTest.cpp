#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Rollout/PiecePlan.h"
#include "Rollout/PieceSchedule.h"
#include "Rollout/RelayPlan.h"
#include "Rollout/RelaySchedule.h"

namespace
{

using namespace pollenyoke::rollout;
using pollenyoke::peers::piece_state;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using time_point = piece_schedule::time_point;

constexpr std::uint32_t pieces = 48;
// Transmission times at production sites: pieces of 49,152 bytes, hosts with 9.4 Mbit/s, an origin
// with 15 Mbit/s.
constexpr microseconds host_send{41831};
constexpr microseconds origin_send{26214};
constexpr microseconds one_way_delay{2000};
// An entry has a 700 Mbit/s link and holds a request for 0.4 s.
constexpr microseconds entry_send{562};
constexpr milliseconds entry_hold{400};
constexpr milliseconds entry_tick{13};
constexpr std::size_t max_send_queue = 3;

/// Simulates hosts that fetch a version over serial links, in virtual time.
class fleet_simulation
{
public:
  struct host
  {
    rollout_host name;
    std::unique_ptr<piece_schedule> schedule;
    std::set<std::uint32_t> held;
    time_point uplink_free{};
    time_point downlink_free{};
    std::size_t queued = 0;
    unsigned sent = 0;
    std::vector<piece_state> announced;
    time_point announced_at{};
    time_point completed{};
    /// Frozen: neither sends nor receives.
    bool unresponsive = false;
  };

  fleet_simulation(const std::vector<std::pair<std::string, int>>& regions, std::uint64_t seed)
      : m_random(seed)
  {
    std::vector<rollout_host> names;
    int number = 100;
    for (const auto& [region, count] : regions)
    {
      for (int i = 0; i < count; ++i)
      {
        names.push_back({"10.0.0." + std::to_string(number++), region});
      }
    }
    for (const rollout_host& name : names)
    {
      host& added = m_hosts[name.ip];
      added.name = name;
      added.schedule = std::make_unique<piece_schedule>(pieces, m_random(), m_now);
      added.schedule->set_plan(piece_plan(names, name.ip));
    }
  }

  struct entry
  {
    rollout_host name;
    std::unique_ptr<relay_schedule> schedule;
    std::set<std::uint32_t> held;
    time_point uplink_free{};
    bool unresponsive = false;
  };

  /// Adds relaying entries to each region. The origin is in `origin_region`.
  void add_entries(const std::vector<std::pair<std::string, int>>& regions,
                   const std::string& origin_region)
  {
    std::vector<rollout_host> names;
    int number = 100;
    for (const auto& [region, count] : regions)
    {
      for (int i = 0; i < count; ++i)
      {
        names.push_back({"10.0.1." + std::to_string(number++), region});
      }
    }
    for (const rollout_host& name : names)
    {
      entry& added = m_entries[name.ip];
      added.name = name;
      added.schedule = std::make_unique<relay_schedule>(pieces, name.ip, m_now);
      added.schedule->set_plan(relay_plan(names, name.region, origin_region));
    }
    for (auto& [ip, member] : m_hosts)
    {
      member.schedule->set_relays(relay_plan(names, member.name.region, origin_region));
    }
  }

  std::map<std::string, entry>& entries()
  {
    return m_entries;
  }

  // Faults to inject, and read counters.
  double announcement_loss = 0;
  time_point origin_down_from = time_point::max();
  time_point origin_up_at = time_point::max();
  unsigned origin_reads = 0;
  std::map<std::string, unsigned> cross_region_reads;

  std::map<std::string, host>& hosts()
  {
    return m_hosts;
  }
  static time_point start()
  {
    return time_point{} + std::chrono::seconds(1000);
  }

  /// Runs until all responsive hosts hold all pieces. Returns the time since the start.
  milliseconds run(milliseconds limit)
  {
    for (auto& [ip, member] : m_entries)
    {
      tick(member);
    }
    for (auto& [ip, member] : m_hosts)
    {
      tick(member);
    }
    while (!m_events.empty() && m_now < start() + limit)
    {
      const event next = m_events.top();
      m_events.pop();
      m_now = next.at;
      next.action();
      if (std::all_of(m_hosts.begin(), m_hosts.end(),
                      [](const auto& item)
                      { return item.second.unresponsive || item.second.held.size() == pieces; }))
      {
        break;
      }
    }
    return std::chrono::duration_cast<milliseconds>(m_now - start());
  }

  time_point now() const
  {
    return m_now;
  }
  /// Resumes a host that was unresponsive.
  void resume(host& member)
  {
    tick(member);
  }

  void at(milliseconds when, std::function<void()> action)
  {
    m_events.push({start() + when, m_event_count++, std::move(action)});
  }

private:
  struct event
  {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const event& other) const
    {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void after(microseconds delay, std::function<void()> action)
  {
    m_events.push({m_now + delay, m_event_count++, std::move(action)});
  }

  void tick(host& member)
  {
    start_reads(member);
    after(milliseconds(50), [this, &member] { tick(member); });
  }

  void tick(entry& member)
  {
    start_reads(member);
    after(entry_tick, [this, &member] { tick(member); });
  }

  void start_reads(entry& member)
  {
    if (member.unresponsive)
    {
      return;
    }
    for (const piece_read& read : member.schedule->begin_reads(m_now))
    {
      if (read.from_origin())
      {
        read_origin(member, read);
        continue;
      }
      ++cross_region_reads[member.name.region];
      request_from_entry(read.peer, read.piece, true, m_now + entry_hold,
                         [this, &member, read](read_outcome outcome)
                         { finish_read(member, read, outcome); });
    }
  }

  void finish_read(entry& member, const piece_read& read, read_outcome outcome)
  {
    if (outcome == read_outcome::received)
    {
      member.held.insert(read.piece);
    }
    member.schedule->on_read_finished(read, outcome, m_now);
    start_reads(member);
  }

  void read_origin(entry& member, const piece_read& read)
  {
    if (m_now >= origin_down_from && m_now < origin_up_at)
    {
      after(one_way_delay * 2,
            [this, &member, read] { finish_read(member, read, read_outcome::failed); });
      return;
    }
    ++origin_reads;
    m_origin_free = std::max(m_origin_free, m_now + one_way_delay) + origin_send;
    m_events.push({m_origin_free + one_way_delay, m_event_count++,
                   [this, &member, read]
                   {
                     finish_read(member, read, read_outcome::received);
                   }});
  }

  /// Calls `done` when the entry has sent the piece, has failed or reports that it is still
  /// waiting.
  void request_from_entry(const std::string& ip, std::uint32_t piece, bool from_origin,
                          time_point expires, const std::function<void(read_outcome)>& done)
  {
    entry& source = m_entries.at(ip);
    if (source.unresponsive)
    {
      after(milliseconds(800), [done] { done(read_outcome::failed); });
      return;
    }
    if (source.held.contains(piece))
    {
      source.uplink_free = std::max(source.uplink_free, m_now + one_way_delay) + entry_send;
      m_events.push({source.uplink_free + one_way_delay, m_event_count++,
                     [done]
                     {
                       done(read_outcome::received);
                     }});
      return;
    }
    if (m_now >= expires)
    {
      after(one_way_delay * 2, [done] { done(read_outcome::busy); });
      return;
    }
    source.schedule->request_piece(piece, from_origin);
    after(entry_tick, [this, ip, piece, from_origin, expires, done]
          { request_from_entry(ip, piece, from_origin, expires, done); });
  }

  void start_reads(host& member)
  {
    if (member.unresponsive || member.held.size() == pieces)
    {
      return;
    }
    for (const piece_read& read : member.schedule->begin_reads(m_now))
    {
      read.from_origin() ? read_origin(member, read) : read_peer(member, read);
    }
    announce(member);
  }

  void announce(host& member)
  {
    const auto states = member.schedule->states();
    const bool changed = states != member.announced;
    const bool last = changed && member.held.size() == pieces;
    if (!last && m_now - member.announced_at < milliseconds(changed ? 40 : 250))
    {
      return;
    }
    member.announced = states;
    member.announced_at = m_now;
    for (auto& [ip, other] : m_hosts)
    {
      if (&other != &member)
      {
        deliver_announcement(member, other);
        if (other.held.size() == pieces)
        {
          deliver_announcement(other, member);
        }
      }
    }
  }

  void deliver_announcement(const host& from, host& to)
  {
    if (from.unresponsive ||
        std::uniform_real_distribution<double>(0, 1)(m_random) < announcement_loss)
    {
      return;
    }
    after(one_way_delay,
          [this, &to, ip = from.name.ip, states = from.schedule->states()]
          {
            to.schedule->handle_announcement(ip, states, m_now);
            start_reads(to);
          });
  }

  void read_origin(host& member, const piece_read& read)
  {
    if (m_now >= origin_down_from && m_now < origin_up_at)
    {
      after(one_way_delay * 2,
            [this, &member, read] { finish_read(member, read, read_outcome::failed); });
      return;
    }
    ++origin_reads;
    m_origin_free = std::max(m_origin_free, m_now + one_way_delay) + origin_send;
    receive(member, read, m_origin_free + one_way_delay);
  }

  void read_peer(host& member, const piece_read& read)
  {
    if (m_entries.contains(read.peer))
    {
      request_from_entry(read.peer, read.piece, false, m_now + entry_hold,
                         [this, &member, read](read_outcome outcome)
                         {
                           if (outcome == read_outcome::received)
                           {
                             receive(member, read, m_now);
                             return;
                           }
                           finish_read(member, read, outcome);
                         });
      return;
    }
    host& source = m_hosts.at(read.peer);
    if (source.unresponsive)
    {
      after(milliseconds(2500),
            [this, &member, read] { finish_read(member, read, read_outcome::failed); });
      return;
    }
    if (!source.held.contains(read.piece))
    {
      after(one_way_delay * 2,
            [this, &member, read] { finish_read(member, read, read_outcome::missing); });
      return;
    }
    if (source.queued >= max_send_queue)
    {
      after(one_way_delay * 2,
            [this, &member, read] { finish_read(member, read, read_outcome::busy); });
      return;
    }
    ++source.queued;
    ++source.sent;
    if (source.name.region != member.name.region)
    {
      ++cross_region_reads[member.name.region];
    }
    source.uplink_free = std::max(source.uplink_free, m_now + one_way_delay) + host_send;
    m_events.push({source.uplink_free, m_event_count++,
                   [&source]
                   {
                     --source.queued;
                   }});
    receive(member, read, source.uplink_free + one_way_delay);
  }

  void receive(host& member, const piece_read& read, time_point first_byte)
  {
    // Reception overlaps with sending, so that an idle downlink adds no time.
    const time_point done = std::max(first_byte, member.downlink_free + host_send);
    member.downlink_free = done;
    m_events.push({done, m_event_count++,
                   [this, &member, read]
                   {
                     finish_read(member, read, read_outcome::received);
                   }});
  }

  void finish_read(host& member, const piece_read& read, read_outcome outcome)
  {
    if (member.unresponsive)
    {
      return;
    }
    if (outcome == read_outcome::received)
    {
      member.held.insert(read.piece);
    }
    member.schedule->on_read_finished(read, outcome, m_now);
    if (member.held.size() == pieces)
    {
      member.completed = m_now;
      announce(member);
      return;
    }
    start_reads(member);
  }

  std::map<std::string, host> m_hosts;
  std::map<std::string, entry> m_entries;
  std::priority_queue<event> m_events;
  std::uint64_t m_event_count = 0;
  time_point m_now = start();
  time_point m_origin_free{};
  std::mt19937_64 m_random;
};

const std::vector<std::pair<std::string, int>> uneven_regions = {
    {"central", 10}, {"southern", 8}, {"western", 9}};
const std::vector<std::pair<std::string, int>> even_regions = {
    {"east", 5}, {"north", 5}, {"south", 5}};

const std::vector<std::pair<std::string, int>> uneven_entries = {
    {"central", 7}, {"southern", 4}, {"western", 9}};

// A host receives 48 pieces in 2.01 s; with entries, the target is 1.15 times that bound.
constexpr milliseconds relayed_fetch_target{2310};
// A host receives 48 pieces in 2.01 s; the target for a rollout is 1.5 times this bound.
constexpr milliseconds fetch_target{3012};
// At most 1.1 copies of the weights from the origin and over each regional link.
constexpr unsigned max_copies = pieces * 11 / 10;

class piece_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(piece_schedule_test);
  CPPUNIT_TEST(fetch_without_faults_is_near_the_bound);
  CPPUNIT_TEST(lost_announcements_do_not_delay_the_fetch);
  CPPUNIT_TEST(recovered_origin_is_read_at_once);
  CPPUNIT_TEST(unresponsive_hosts_are_bypassed);
  CPPUNIT_TEST(late_host_is_served_by_the_others);
  CPPUNIT_TEST(single_host_reads_the_origin);
  CPPUNIT_TEST(corrupt_source_is_avoided);
  CPPUNIT_TEST(pieces_marked_as_held_are_not_read);
  CPPUNIT_TEST(entries_relay_at_link_rate);
  CPPUNIT_TEST(unresponsive_entries_are_bypassed);
  CPPUNIT_TEST(hosts_continue_without_entries);
  CPPUNIT_TEST(entries_read_a_recovered_origin);
  CPPUNIT_TEST(hosts_with_idle_engines_start_more_reads);
  CPPUNIT_TEST_SUITE_END();

  static void check_copies(const fleet_simulation& hosts)
  {
    CPPUNIT_ASSERT(hosts.origin_reads <= max_copies);
    for (const auto& [region, count] : hosts.cross_region_reads)
    {
      CPPUNIT_ASSERT(count <= max_copies);
    }
  }

public:
  void fetch_without_faults_is_near_the_bound()
  {
    for (const auto& regions : {uneven_regions, even_regions})
    {
      fleet_simulation hosts(regions, 7);
      CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= fetch_target);
      check_copies(hosts);
      for (const auto& [ip, member] : hosts.hosts())
      {
        // Guards against a host that uploads the pieces for all others.
        CPPUNIT_ASSERT(member.sent <= pieces * 5 / 4);
      }
    }
  }

  void lost_announcements_do_not_delay_the_fetch()
  {
    fleet_simulation hosts(uneven_regions, 11);
    hosts.announcement_loss = 0.2;
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= fetch_target);
    check_copies(hosts);
  }

  /// Guards against origin reads that wait behind reads from peers without the piece: a version
  /// released 0.5 s before a 6 s outage of the origin was still incomplete when all processes were
  /// killed 8 s after the recovery.
  void recovered_origin_is_read_at_once()
  {
    for (const auto& regions : {uneven_regions, even_regions})
    {
      fleet_simulation hosts(regions, 13);
      hosts.origin_down_from = fleet_simulation::start() + milliseconds(500);
      hosts.origin_up_at = fleet_simulation::start() + milliseconds(6500);
      CPPUNIT_ASSERT(hosts.run(milliseconds(30000)) <= milliseconds(6500) + fetch_target);
      check_copies(hosts);
    }
  }

  /// Guards against hosts that wait for pieces assigned to an unresponsive host.
  void unresponsive_hosts_are_bypassed()
  {
    fleet_simulation hosts(even_regions, 17);
    hosts.at(milliseconds(100),
             [&hosts]
             {
               hosts.hosts().at("10.0.0.101").unresponsive = true;
               hosts.hosts().at("10.0.0.108").unresponsive = true;
             });
    // Pieces must be complete 5 s after the release, so that engines serve within 8 s.
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    check_copies(hosts);
  }

  void late_host_is_served_by_the_others()
  {
    fleet_simulation hosts(even_regions, 19);
    auto& late = hosts.hosts().at("10.0.0.100");
    late.unresponsive = true;
    hosts.run(milliseconds(20000));
    const unsigned reads = hosts.origin_reads;
    late.unresponsive = false;
    const auto began = hosts.now();
    hosts.resume(late);
    hosts.run(milliseconds(40000));
    CPPUNIT_ASSERT(late.completed - began <= fetch_target);
    CPPUNIT_ASSERT_EQUAL(reads, hosts.origin_reads);
  }

  void single_host_reads_the_origin()
  {
    fleet_simulation hosts({{"east", 1}}, 23);
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= fetch_target);
    CPPUNIT_ASSERT_EQUAL(unsigned{pieces}, hosts.origin_reads);
  }

  /// Guards against repeated reads from a host that sends corrupt pieces.
  void corrupt_source_is_avoided()
  {
    piece_schedule schedule(2, 1, fleet_simulation::start());
    const std::vector<rollout_host> hosts = {{"a", "east"}, {"b", "east"}, {"c", "east"}};
    schedule.set_plan(piece_plan(hosts, "a"));
    const std::vector<piece_state> all(2, piece_state::held);
    schedule.handle_announcement("b", all, fleet_simulation::start());
    schedule.handle_announcement("c", all, fleet_simulation::start());
    const auto reads = schedule.begin_reads(fleet_simulation::start());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reads.size());
    schedule.on_read_finished(reads[0], read_outcome::corrupt, fleet_simulation::start());
    schedule.on_read_finished(reads[1], read_outcome::received, fleet_simulation::start());
    const auto again = schedule.begin_reads(fleet_simulation::start());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(reads[1].peer, again[0].peer);
    CPPUNIT_ASSERT_EQUAL(reads[0].piece, again[0].piece);
  }

  void pieces_marked_as_held_are_not_read()
  {
    const auto started = fleet_simulation::start();
    piece_schedule schedule(3, 1, started);
    const std::vector<rollout_host> hosts = {{"a", "east"}, {"b", "east"}, {"c", "east"}};
    schedule.set_plan(piece_plan(hosts, "a"));
    schedule.mark_held(0);
    schedule.mark_held(2);
    CPPUNIT_ASSERT(schedule.states() ==
                   std::vector({piece_state::held, piece_state::absent, piece_state::held}));
    const std::vector<piece_state> all(3, piece_state::held);
    schedule.handle_announcement("b", all, started);
    schedule.handle_announcement("c", all, started);
    const auto reads = schedule.begin_reads(started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reads.size());
    CPPUNIT_ASSERT_EQUAL(1U, reads[0].piece);
    schedule.on_read_finished(reads[0], read_outcome::received, started);
    CPPUNIT_ASSERT(schedule.begin_reads(started + std::chrono::seconds(1)).empty());
    schedule.drop(2);
    schedule.handle_announcement("b", all, started + std::chrono::seconds(1));
    const auto again = schedule.begin_reads(started + std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(2U, again[0].piece);
  }

  /// Guards against slow recovery after a power loss: with three concurrent reads of 0.17 s each, a
  /// host received 17 pieces per second over a link that carries 24.
  void hosts_with_idle_engines_start_more_reads()
  {
    piece_schedule schedule(pieces, 1, fleet_simulation::start());
    std::vector<rollout_host> hosts(12);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
      hosts[i] = {"host-" + std::to_string(i), "east"};
    }
    schedule.set_plan(piece_plan(hosts, "host-0"));
    for (const rollout_host& host : hosts)
    {
      schedule.handle_announcement(host.ip, std::vector<piece_state>(pieces, piece_state::held),
                                   fleet_simulation::start());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, schedule.begin_reads(fleet_simulation::start()).size());
    schedule.set_engine_serves(false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, schedule.begin_reads(fleet_simulation::start()).size());
  }

  /// Guards against fetches that are limited by the slow uplinks of other hosts: a fetch without
  /// faults took 3.2 to 3.7 s, and engine responses queued behind the pieces that hosts sent.
  void entries_relay_at_link_rate()
  {
    for (const auto& [regions, places] :
         {std::pair(uneven_regions, uneven_entries), {even_regions, even_regions}})
    {
      fleet_simulation hosts(regions, 29);
      hosts.add_entries(places, places.back().first);
      CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= relayed_fetch_target);
      check_copies(hosts);
      for (const auto& [ip, member] : hosts.hosts())
      {
        CPPUNIT_ASSERT_EQUAL(0U, member.sent);
      }
    }
  }

  /// Guards against a fetch that waits for entries that are down or unreachable.
  void unresponsive_entries_are_bypassed()
  {
    fleet_simulation hosts(uneven_regions, 31);
    hosts.add_entries(uneven_entries, "western");
    for (const char* ip : {"10.0.1.100", "10.0.1.108", "10.0.1.111", "10.0.1.112"})
    {
      hosts.entries().at(ip).unresponsive = true;
    }
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }

  void hosts_continue_without_entries()
  {
    fleet_simulation hosts(even_regions, 37);
    hosts.add_entries(even_regions, "south");
    hosts.at(milliseconds(600),
             [&hosts]
             {
               for (auto& [ip, member] : hosts.entries())
               {
                 member.unresponsive = true;
               }
             });
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }

  void entries_read_a_recovered_origin()
  {
    fleet_simulation hosts(uneven_regions, 41);
    hosts.add_entries(uneven_entries, "western");
    hosts.origin_down_from = fleet_simulation::start() + milliseconds(500);
    hosts.origin_up_at = fleet_simulation::start() + milliseconds(6500);
    CPPUNIT_ASSERT(hosts.run(milliseconds(30000)) <= milliseconds(6500) + fetch_target);
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(piece_schedule_test, "Rollout.PieceSchedule");

} // namespace
