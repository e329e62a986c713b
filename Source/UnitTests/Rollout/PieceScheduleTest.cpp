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
// Links and sizes of the users' sites: pieces of 49,152 bytes, hosts with 9.4 Mbit/s, an origin
// with 15 Mbit/s.
constexpr microseconds host_send{41831};
constexpr microseconds origin_send{26214};
constexpr microseconds way{2000};
// An entry with 700 Mbit/s, which holds a request for 0.4 s.
constexpr microseconds entry_send{562};
constexpr milliseconds entry_hold{400};
constexpr milliseconds entry_tick{13};
constexpr std::size_t longest_send_queue = 3;

/// Hosts that fetch a version over serial links, in virtual time.
class swarm
{
public:
  struct host
  {
    plan_host name;
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
    bool silent = false;
  };

  swarm(const std::vector<std::pair<std::string, int>>& regions, std::uint64_t seed)
      : m_random(seed)
  {
    std::vector<plan_host> names;
    int number = 100;
    for (const auto& [region, count] : regions)
    {
      for (int i = 0; i < count; ++i)
      {
        names.push_back({"10.0.0." + std::to_string(number++), region});
      }
    }
    for (const plan_host& name : names)
    {
      host& added = m_hosts[name.ip];
      added.name = name;
      added.schedule = std::make_unique<piece_schedule>(pieces, m_random(), m_now);
      added.schedule->set_plan(piece_plan(names, name.ip));
    }
  }

  struct entry
  {
    plan_host name;
    std::unique_ptr<relay_schedule> schedule;
    std::set<std::uint32_t> held;
    time_point uplink_free{};
    bool silent = false;
  };

  /// Adds entries that hand pieces on, some in each region. The origin stands in `origin_region`.
  void add_entries(const std::vector<std::pair<std::string, int>>& regions,
                   const std::string& origin_region)
  {
    std::vector<plan_host> names;
    int number = 100;
    for (const auto& [region, count] : regions)
    {
      for (int i = 0; i < count; ++i)
      {
        names.push_back({"10.0.1." + std::to_string(number++), region});
      }
    }
    for (const plan_host& name : names)
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

  // What the test sets, and what it counts.
  double announcement_loss = 0;
  time_point origin_dark_from = time_point::max();
  time_point origin_back = time_point::max();
  unsigned origin_reads = 0;
  std::map<std::string, unsigned> brought_in;

  std::map<std::string, host>& hosts()
  {
    return m_hosts;
  }
  static time_point start()
  {
    return time_point{} + std::chrono::seconds(1000);
  }

  /// Runs until all hosts that are not silent hold everything; the time since the start.
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
                      { return item.second.silent || item.second.held.size() == pieces; }))
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
  /// A host that was silent acts again.
  void wake(host& member)
  {
    tick(member);
  }

  void at(milliseconds when, std::function<void()> action)
  {
    m_events.push({start() + when, m_count++, std::move(action)});
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
    m_events.push({m_now + delay, m_count++, std::move(action)});
  }

  void tick(host& member)
  {
    act(member);
    after(milliseconds(50), [this, &member] { tick(member); });
  }

  void tick(entry& member)
  {
    act(member);
    after(entry_tick, [this, &member] { tick(member); });
  }

  void act(entry& member)
  {
    if (member.silent)
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
      ++brought_in[member.name.region];
      ask_entry(read.peer, read.piece, true, m_now + entry_hold,
                [this, &member, read](read_end how) { end(member, read, how); });
    }
  }

  void end(entry& member, const piece_read& read, read_end how)
  {
    if (how == read_end::received)
    {
      member.held.insert(read.piece);
    }
    member.schedule->read_ended(read, how, m_now);
    act(member);
  }

  void read_origin(entry& member, const piece_read& read)
  {
    if (m_now >= origin_dark_from && m_now < origin_back)
    {
      after(way * 2, [this, &member, read] { end(member, read, read_end::failed); });
      return;
    }
    ++origin_reads;
    m_origin_free = std::max(m_origin_free, m_now + way) + origin_send;
    m_events.push({m_origin_free + way, m_count++,
                   [this, &member, read]
                   {
                     end(member, read, read_end::received);
                   }});
  }

  /// Calls `done` when the entry has sent the piece, or answers that it is still waiting.
  void ask_entry(const std::string& ip, std::uint32_t piece, bool from_origin, time_point expires,
                 const std::function<void(read_end)>& done)
  {
    entry& source = m_entries.at(ip);
    if (source.silent)
    {
      after(milliseconds(800), [done] { done(read_end::failed); });
      return;
    }
    if (source.held.contains(piece))
    {
      source.uplink_free = std::max(source.uplink_free, m_now + way) + entry_send;
      m_events.push({source.uplink_free + way, m_count++,
                     [done]
                     {
                       done(read_end::received);
                     }});
      return;
    }
    if (m_now >= expires)
    {
      after(way * 2, [done] { done(read_end::busy); });
      return;
    }
    source.schedule->want(piece, from_origin);
    after(entry_tick, [this, ip, piece, from_origin, expires, done]
          { ask_entry(ip, piece, from_origin, expires, done); });
  }

  void act(host& member)
  {
    if (member.silent || member.held.size() == pieces)
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
        tell(member, other);
        if (other.held.size() == pieces)
        {
          tell(other, member);
        }
      }
    }
  }

  void tell(const host& from, host& to)
  {
    if (from.silent || std::uniform_real_distribution<double>(0, 1)(m_random) < announcement_loss)
    {
      return;
    }
    after(way,
          [this, &to, ip = from.name.ip, states = from.schedule->states()]
          {
            to.schedule->take_announcement(ip, states, m_now);
            act(to);
          });
  }

  void read_origin(host& member, const piece_read& read)
  {
    if (m_now >= origin_dark_from && m_now < origin_back)
    {
      after(way * 2, [this, &member, read] { end(member, read, read_end::failed); });
      return;
    }
    ++origin_reads;
    m_origin_free = std::max(m_origin_free, m_now + way) + origin_send;
    receive(member, read, m_origin_free + way);
  }

  void read_peer(host& member, const piece_read& read)
  {
    if (m_entries.contains(read.peer))
    {
      ask_entry(read.peer, read.piece, false, m_now + entry_hold,
                [this, &member, read](read_end how)
                {
                  if (how == read_end::received)
                  {
                    receive(member, read, m_now);
                    return;
                  }
                  end(member, read, how);
                });
      return;
    }
    host& source = m_hosts.at(read.peer);
    if (source.silent)
    {
      after(milliseconds(2500), [this, &member, read] { end(member, read, read_end::failed); });
      return;
    }
    if (!source.held.contains(read.piece))
    {
      after(way * 2, [this, &member, read] { end(member, read, read_end::missing); });
      return;
    }
    if (source.queued >= longest_send_queue)
    {
      after(way * 2, [this, &member, read] { end(member, read, read_end::busy); });
      return;
    }
    ++source.queued;
    ++source.sent;
    if (source.name.region != member.name.region)
    {
      ++brought_in[member.name.region];
    }
    source.uplink_free = std::max(source.uplink_free, m_now + way) + host_send;
    m_events.push({source.uplink_free, m_count++,
                   [&source]
                   {
                     --source.queued;
                   }});
    receive(member, read, source.uplink_free + way);
  }

  void receive(host& member, const piece_read& read, time_point first_byte)
  {
    // The first bytes arrive while the last ones are sent, so that a free downlink adds nothing.
    const time_point done = std::max(first_byte, member.downlink_free + host_send);
    member.downlink_free = done;
    m_events.push({done, m_count++,
                   [this, &member, read]
                   {
                     end(member, read, read_end::received);
                   }});
  }

  void end(host& member, const piece_read& read, read_end how)
  {
    if (member.silent)
    {
      return;
    }
    if (how == read_end::received)
    {
      member.held.insert(read.piece);
    }
    member.schedule->read_ended(read, how, m_now);
    if (member.held.size() == pieces)
    {
      member.completed = m_now;
      announce(member);
      return;
    }
    act(member);
  }

  std::map<std::string, host> m_hosts;
  std::map<std::string, entry> m_entries;
  std::priority_queue<event> m_events;
  std::uint64_t m_count = 0;
  time_point m_now = start();
  time_point m_origin_free{};
  std::mt19937_64 m_random;
};

const std::vector<std::pair<std::string, int>> kelaniya = {
    {"central", 10}, {"southern", 8}, {"western", 9}};
const std::vector<std::pair<std::string, int>> lumen = {{"east", 5}, {"north", 5}, {"south", 5}};

const std::vector<std::pair<std::string, int>> kelaniya_entries = {
    {"central", 7}, {"southern", 4}, {"western", 9}};

// A host receives 48 pieces in 2.01 s; with entries, the target is 1.15 times that bound.
constexpr milliseconds entry_target{2310};
// A host receives 48 pieces in 2.01 s; the target for a roll-out is 1.5 times the bound.
constexpr milliseconds target{3012};
// At most 1.1 copies from the origin and over each regional link.
constexpr unsigned most_origin_reads = pieces * 11 / 10;

class piece_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(piece_schedule_test);
  CPPUNIT_TEST(calm_fetch_is_near_the_bound_for_one_copy);
  CPPUNIT_TEST(lost_announcements_cost_little);
  CPPUNIT_TEST(origin_that_comes_back_is_read_at_once);
  CPPUNIT_TEST(silent_hosts_are_passed_over);
  CPPUNIT_TEST(late_host_is_served_by_the_others);
  CPPUNIT_TEST(lone_host_reads_the_origin);
  CPPUNIT_TEST(spoilt_source_is_avoided);
  CPPUNIT_TEST(entries_hand_on_at_the_rate_of_the_links);
  CPPUNIT_TEST(silent_entries_are_passed_over);
  CPPUNIT_TEST(hosts_go_on_without_any_entry);
  CPPUNIT_TEST(entries_read_an_origin_that_comes_back);
  CPPUNIT_TEST(empty_engines_leave_the_link_to_the_pieces);
  CPPUNIT_TEST_SUITE_END();

  static void check_copies(const swarm& hosts)
  {
    CPPUNIT_ASSERT(hosts.origin_reads <= most_origin_reads);
    for (const auto& [region, count] : hosts.brought_in)
    {
      CPPUNIT_ASSERT(count <= most_origin_reads);
    }
  }

public:
  void calm_fetch_is_near_the_bound_for_one_copy()
  {
    for (const auto& regions : {kelaniya, lumen})
    {
      swarm hosts(regions, 7);
      CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= target);
      check_copies(hosts);
      for (const auto& [ip, member] : hosts.hosts())
      {
        // Guards against a host whose link carries the pieces of all others.
        CPPUNIT_ASSERT(member.sent <= pieces * 5 / 4);
      }
    }
  }

  void lost_announcements_cost_little()
  {
    swarm hosts(kelaniya, 11);
    hosts.announcement_loss = 0.2;
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= target);
    check_copies(hosts);
  }

  /// Guards against reads of the origin that wait behind reads of peers which have nothing: a
  /// version named half a second before the origin went dark for six seconds was not complete when
  /// all processes were killed eight seconds after its return.
  void origin_that_comes_back_is_read_at_once()
  {
    for (const auto& regions : {kelaniya, lumen})
    {
      swarm hosts(regions, 13);
      hosts.origin_dark_from = swarm::start() + milliseconds(500);
      hosts.origin_back = swarm::start() + milliseconds(6500);
      CPPUNIT_ASSERT(hosts.run(milliseconds(30000)) <= milliseconds(6500) + target);
      check_copies(hosts);
    }
  }

  /// Guards against hosts that wait for what a frozen host was to read or bring in.
  void silent_hosts_are_passed_over()
  {
    swarm hosts(lumen, 17);
    hosts.at(milliseconds(100),
             [&hosts]
             {
               hosts.hosts().at("10.0.0.101").silent = true;
               hosts.hosts().at("10.0.0.108").silent = true;
             });
    // Pieces have to be there 5 s after the naming, so that engines serve within 8 s.
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    check_copies(hosts);
  }

  void late_host_is_served_by_the_others()
  {
    swarm hosts(lumen, 19);
    auto& late = hosts.hosts().at("10.0.0.100");
    late.silent = true;
    hosts.run(milliseconds(20000));
    const unsigned reads = hosts.origin_reads;
    late.silent = false;
    const auto began = hosts.now();
    hosts.wake(late);
    hosts.run(milliseconds(40000));
    CPPUNIT_ASSERT(late.completed - began <= target);
    CPPUNIT_ASSERT_EQUAL(reads, hosts.origin_reads);
  }

  void lone_host_reads_the_origin()
  {
    swarm hosts({{"east", 1}}, 23);
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= target);
    CPPUNIT_ASSERT_EQUAL(unsigned{pieces}, hosts.origin_reads);
  }

  /// Guards against asking a host again and again that hands out spoilt pieces.
  void spoilt_source_is_avoided()
  {
    piece_schedule schedule(2, 1, swarm::start());
    const std::vector<plan_host> hosts = {{"a", "east"}, {"b", "east"}, {"c", "east"}};
    schedule.set_plan(piece_plan(hosts, "a"));
    const std::vector<piece_state> all(2, piece_state::held);
    schedule.take_announcement("b", all, swarm::start());
    schedule.take_announcement("c", all, swarm::start());
    const auto reads = schedule.begin_reads(swarm::start());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reads.size());
    schedule.read_ended(reads[0], read_end::spoilt, swarm::start());
    schedule.read_ended(reads[1], read_end::received, swarm::start());
    const auto again = schedule.begin_reads(swarm::start());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(reads[1].peer, again[0].peer);
    CPPUNIT_ASSERT_EQUAL(reads[0].piece, again[0].piece);
  }

  /// Guards against weights that come back late after a loss of power: with three reads at a time,
  /// of 0.17 s each, a host received 17 pieces a second over a link for 24.
  void empty_engines_leave_the_link_to_the_pieces()
  {
    piece_schedule schedule(pieces, 1, swarm::start());
    std::vector<plan_host> hosts(12);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
      hosts[i] = {"host-" + std::to_string(i), "east"};
    }
    schedule.set_plan(piece_plan(hosts, "host-0"));
    for (const plan_host& host : hosts)
    {
      schedule.take_announcement(host.ip, std::vector<piece_state>(pieces, piece_state::held),
                                 swarm::start());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, schedule.begin_reads(swarm::start()).size());
    schedule.set_engine_serves(false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, schedule.begin_reads(swarm::start()).size());
  }

  /// Guards against hosts that wait for each other's narrow links: a calm fetch took 3.2 to 3.7 s,
  /// and answers of the engines waited behind the pieces that their hosts sent.
  void entries_hand_on_at_the_rate_of_the_links()
  {
    for (const auto& [regions, places] : {std::pair(kelaniya, kelaniya_entries), {lumen, lumen}})
    {
      swarm hosts(regions, 29);
      hosts.add_entries(places, places.back().first);
      CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= entry_target);
      check_copies(hosts);
      for (const auto& [ip, member] : hosts.hosts())
      {
        CPPUNIT_ASSERT_EQUAL(0U, member.sent);
      }
    }
  }

  /// Guards against a fetch that waits for the pieces of entries that are dead or cut off.
  void silent_entries_are_passed_over()
  {
    swarm hosts(kelaniya, 31);
    hosts.add_entries(kelaniya_entries, "western");
    for (const char* ip : {"10.0.1.100", "10.0.1.108", "10.0.1.111", "10.0.1.112"})
    {
      hosts.entries().at(ip).silent = true;
    }
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }

  void hosts_go_on_without_any_entry()
  {
    swarm hosts(lumen, 37);
    hosts.add_entries(lumen, "south");
    hosts.at(milliseconds(600),
             [&hosts]
             {
               for (auto& [ip, member] : hosts.entries())
               {
                 member.silent = true;
               }
             });
    CPPUNIT_ASSERT(hosts.run(milliseconds(20000)) <= milliseconds(5000));
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }

  void entries_read_an_origin_that_comes_back()
  {
    swarm hosts(kelaniya, 41);
    hosts.add_entries(kelaniya_entries, "western");
    hosts.origin_dark_from = swarm::start() + milliseconds(500);
    hosts.origin_back = swarm::start() + milliseconds(6500);
    CPPUNIT_ASSERT(hosts.run(milliseconds(30000)) <= milliseconds(6500) + target);
    CPPUNIT_ASSERT(hosts.origin_reads <= pieces * 3 / 2);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(piece_schedule_test, "Rollout.PieceSchedule");

} // namespace
