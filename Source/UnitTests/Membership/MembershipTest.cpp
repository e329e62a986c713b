#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "Membership/HostList.h"
#include "Membership/Membership.h"
#include "Membership/PushTree.h"
#include "Membership/WatchSet.h"
#include "Protocol/Codec.h"
#include "Transport/HttpServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::membership;
using std::chrono::milliseconds;
// The class has the name of its namespace, which hides it behind the using directive.
using member_table = pollenyoke::membership::membership;

constexpr std::chrono::seconds patience{30};
const transport::endpoint any_port{"127.0.0.1", 0};

template <typename Predicate>
bool eventually(const Predicate& predicate)
{
  const auto deadline = std::chrono::steady_clock::now() + patience;
  while (!predicate())
  {
    if (std::chrono::steady_clock::now() > deadline)
    {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

listed_host host(const std::string& name, protocol::process_role role, const std::string& service,
                 const std::string& region = "western")
{
  const transport::endpoint address{"127.0.0.1", 9};
  return {host_id{name}, role,    region,  region + "-1", service,
          address,       address, address, address,       false};
}

/// A fleet of the design size: one region's domain has about 530 processes.
host_list large_list()
{
  host_list list{1, {}};
  const std::vector<std::string> regions = {"western", "central", "southern"};
  for (int i = 0; i < 3730; ++i)
  {
    const bool entry = i % 11 == 0;
    listed_host one = host("h" + std::to_string(i),
                           entry ? protocol::process_role::entry : protocol::process_role::agent,
                           entry ? "" : "assistant", regions[static_cast<std::size_t>(i) % 3]);
    one.failure_domain = "d" + std::to_string(i % 7);
    list.hosts.push_back(one);
  }
  return list;
}

protocol::settings settings_for(const listed_host& self)
{
  protocol::settings out;
  out.host = self.host;
  out.role = self.role;
  out.region = self.region;
  out.failure_domain = self.failure_domain;
  out.service = self.service;
  out.control.heartbeat_interval = milliseconds(20);
  out.control.host_list_interval = milliseconds(20);
  return out;
}

/// One process with a membership.
class process
{
public:
  explicit process(const std::string& name, std::uint64_t incarnation = 1,
                   transport::endpoint host_list_server = {"127.0.0.1", 1},
                   protocol::process_role role = protocol::process_role::agent,
                   milliseconds interval = milliseconds(20))
      : listed(host(name, role, role == protocol::process_role::agent ? "booking" : ""))
  {
    if (role == protocol::process_role::entry)
    {
      // Entries in domains of their own are no neighbours of an agent in the push tree.
      listed.failure_domain = name;
    }
    with = settings_for(listed);
    with.control.heartbeat_bytes_per_s = 1e9;
    if (role == protocol::process_role::agent)
    {
      with.backend = protocol::backend_settings{{}, protocol::backend_kind::service, 1};
    }
    with.platform.host_list = std::move(host_list_server);
    with.control.heartbeat_interval = interval;
    node = std::move(*transport::message_node::start(
        {.tcp = any_port, .udp = any_port},
        {.on_frame = [](transport::connection_id, const transport::frame&) {},
         .on_closed = [](transport::connection_id) {},
         .on_datagram =
             [this](const transport::endpoint& from, const transport::frame& message)
         {
           const std::lock_guard lock(mutex);
           count_omitted(message);
           if (members != nullptr && !muted)
           {
             members->handle_datagram(from, message);
           }
         }}));
    listed.tcp = node->tcp_endpoint();
    listed.udp = node->udp_endpoint();
    const std::lock_guard lock(mutex);
    members = std::make_unique<member_table>(
        member_table::dependencies{with, incarnation_id{incarnation}, *node, metrics,
                                   [this](protocol::heartbeat& out)
                                   {
                                     const std::lock_guard self_lock(self_mutex);
                                     out = self;
                                   }});
    members->start();
  }

  ~process()
  {
    members->stop();
    node->stop();
  }

  process(const process&) = delete;
  process& operator=(const process&) = delete;
  process(process&&) = delete;
  process& operator=(process&&) = delete;

  peer see(const process& other)
  {
    const auto view = members->view();
    const peer* found = view->find(other.listed.host);
    return found == nullptr ? peer{} : *found;
  }

  void describe(const protocol::heartbeat& as)
  {
    const std::lock_guard lock(self_mutex);
    self = as;
  }

  /// Notes heartbeats that leave out the served versions, also while muted.
  void count_omitted(const transport::frame& message)
  {
    const auto decoded = protocol::decode<protocol::heartbeat>(message);
    if (decoded && decoded->serving_omitted)
    {
      omitted_hash = decoded->serving_hash;
      ++omitted;
    }
  }

  void mute(bool on)
  {
    const std::lock_guard lock(mutex);
    muted = on;
  }

  listed_host listed;
  protocol::settings with;
  metrics_registry metrics;
  std::mutex mutex;
  std::mutex self_mutex;
  bool muted = false;
  std::atomic<std::uint32_t> omitted_hash{0};
  std::atomic<int> omitted{0};
  protocol::heartbeat self;
  std::unique_ptr<transport::message_node> node;
  std::unique_ptr<member_table> members;
};

class membership_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(membership_test);
  CPPUNIT_TEST(host_lists_are_checked);
  CPPUNIT_TEST(host_list_changes_give_the_same_list);
  CPPUNIT_TEST(watched_peers_do_not_grow_with_the_fleet);
  CPPUNIT_TEST(entry_alone_in_its_region_watches_others);
  CPPUNIT_TEST(push_tree_reaches_every_live_host);
  CPPUNIT_TEST(liveness_and_own_word);
  CPPUNIT_TEST(paused_process_calls_nobody_silent);
  CPPUNIT_TEST(restart_and_late_datagrams);
  CPPUNIT_TEST(planned_stop_and_host_list);
  CPPUNIT_TEST(served_versions_survive_loss);
  CPPUNIT_TEST(host_list_is_polled_and_kept);
  CPPUNIT_TEST(unchanged_host_list_is_not_fetched);
  CPPUNIT_TEST(relayed_agent_is_seen_by_all_entries);
  CPPUNIT_TEST_SUITE_END();

  void host_lists_are_checked()
  {
    const std::string good =
        R"({"host":"a","role":"agent","region":"r","failure_domain":"d","service":"s",)"
        R"("address":"127.0.0.1","tcp":1,"udp":"10.0.0.1:2","http":3,"admin":4,"state":"leaving"})";
    const auto list = parse_host_list(R"({"version":3,"hosts":[)" + good + "]}");
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:2"), transport::to_string(list->hosts.at(0).udp));
    CPPUNIT_ASSERT(list->hosts.at(0).leaving);
    CPPUNIT_ASSERT(parse_host_list(format_host_list(*list))->hosts == list->hosts);
    const auto with = [&](const std::string& from, const std::string& to)
    {
      std::string text = good;
      return R"({"version":3,"hosts":[)" + text.replace(text.find(from), from.size(), to) + "]}";
    };
    for (const std::string& bad :
         {std::string("[]"), std::string("{\"version\":1}"), with("agent", "boss"),
          with("leaving", "gone"), with("\"a\"", "\"../a\""), with("\"tcp\":1", "\"tcp\":70000"),
          with("10.0.0.1:2", "example:2"), R"({"version":3,"hosts":[)" + good + "," + good + "]}"})
    {
      CPPUNIT_ASSERT_MESSAGE(bad, !parse_host_list(bad));
    }
  }

  // Guards against hosts that stay or vanish when lists are passed on as changes.
  void host_list_changes_give_the_same_list()
  {
    CPPUNIT_ASSERT(rc::check(
        "a change applied to its base gives the newer list",
        []
        {
          const auto any_list = [](std::uint64_t version)
          {
            host_list list{version, {}};
            for (const char* name : {"a", "b", "c", "d"})
            {
              if (*rc::gen::arbitrary<bool>())
              {
                list.hosts.push_back(host(name, protocol::process_role::agent, "s"));
                list.hosts.back().leaving = *rc::gen::arbitrary<bool>();
              }
            }
            return list;
          };
          const host_list base = any_list(1);
          const host_list newer = any_list(2);
          const std::string change = format_host_list_change(base, newer);
          const auto result = read_host_list(base, change);
          RC_ASSERT(result.has_value() && result->version == 2 && result->hosts == newer.hosts);
          const auto other = read_host_list({7, {}}, change);
          RC_ASSERT(!other && other.error().code == error_code::conflict);
        }));
  }

  // Guards against control traffic that grows with the fleet (budget of 2 KB/s per process).
  void watched_peers_do_not_grow_with_the_fleet()
  {
    const host_list list = large_list();
    std::map<host_id, std::size_t> subscribers;
    for (const listed_host& self : list.hosts)
    {
      const watch_plan watched = plan_watches(settings_for(self), list);
      const std::size_t limit = self.role == protocol::process_role::entry ? 40 + 4 + 17 : 20 + 17;
      CPPUNIT_ASSERT(watched.size() <= limit);
      CPPUNIT_ASSERT(!watched.contains(self.host));
      for (const auto& [other, relays] : watched)
      {
        ++subscribers[other];
      }
    }
    for (const auto& [id, count] : subscribers)
    {
      CPPUNIT_ASSERT_MESSAGE(id.value, count <= 80);
    }
  }

  // Guards against discovery answers that name a dead or leaving entry: an entry that is alone in
  // its region heard no other one and named whatever was listed.
  void entry_alone_in_its_region_watches_others()
  {
    const host_list list{1,
                         {host("a", protocol::process_role::entry, "", "western"),
                          host("b", protocol::process_role::entry, "", "central"),
                          host("c", protocol::process_role::entry, "", "southern")}};
    const watch_plan watched = plan_watches(settings_for(list.hosts[0]), list);
    CPPUNIT_ASSERT(watched == (watch_plan{{host_id{"b"}, {}}, {host_id{"c"}, {}}}));
  }

  // Guards against a part of a failure domain that is cut off by dead inner hosts of the tree.
  void push_tree_reaches_every_live_host()
  {
    std::vector<host_id> hosts(300);
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
      hosts[i].value = "h" + std::to_string(i);
    }
    CPPUNIT_ASSERT(rc::check(
        "two readers, and pushes from the root reach every live host once",
        [&hosts]
        {
          const auto size = *rc::gen::inRange<std::size_t>(1, hosts.size());
          const std::vector<host_id> domain(hosts.begin(),
                                            hosts.begin() + static_cast<std::ptrdiff_t>(size));
          const std::vector<host_id> order = push_tree(domain, "d", domain[0]).order();
          const auto dead_list =
              *rc::gen::container<std::set<std::size_t>>(rc::gen::inRange<std::size_t>(0, size));
          std::set<host_id> dead;
          for (const std::size_t index : dead_list)
          {
            dead.insert(order[index]);
          }
          const auto usable = [&dead](const host_id& id)
          {
            return !dead.contains(id);
          };
          const auto first = std::find_if(order.begin(), order.end(), usable);
          RC_PRE(first != order.end());
          RC_PRE(first - order.begin() < static_cast<std::ptrdiff_t>(push_tree::candidate_count));
          std::size_t readers = 0;
          std::vector<host_id> reached = {*first};
          for (const host_id& id : order)
          {
            readers += usable(id) && push_tree(domain, "d", id).is_reader(usable) ? 1 : 0;
          }
          RC_ASSERT(readers >= 1 && readers <= push_tree::reader_count);
          for (std::size_t i = 0; i < reached.size(); ++i)
          {
            for (const host_id& id : push_tree(domain, "d", reached[i]).push_targets(usable))
            {
              RC_ASSERT(usable(id));
              RC_ASSERT(std::find(reached.begin(), reached.end(), id) == reached.end());
              reached.push_back(id);
            }
          }
          RC_ASSERT(reached.size() == size - dead.size());
        }));
  }

  static void introduce(const std::vector<process*>& all, std::uint64_t version = 1)
  {
    host_list list{version, {}};
    for (const process* one : all)
    {
      list.hosts.push_back(one->listed);
    }
    for (process* one : all)
    {
      one->members->update_host_list(list);
    }
  }

  void liveness_and_own_word()
  {
    process a("a");
    process b("b");
    std::atomic<int> changes{0};
    a.members->on_change([&](const member_view_ptr&) { ++changes; });
    introduce({&a, &b});
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).alive && b.see(a).alive; }));
    CPPUNIT_ASSERT(a.see(a).alive);
    protocol::heartbeat leaving;
    leaving.leaving = true;
    leaving.in_flight = 4;
    b.describe(leaving);
    b.members->announce();
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).leaving && a.see(b).in_flight == 4; }));
    // Silence, then heartbeats again.
    a.mute(true);
    CPPUNIT_ASSERT(eventually([&] { return !a.see(b).alive; }));
    a.mute(false);
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).alive; }));
    CPPUNIT_ASSERT(eventually([&] { return changes >= 4; }));
  }

  // Guards against an entry that refuses requests for lack of live agents when it continues after a
  // pause (SIGSTOP), because it heard nobody meanwhile.
  void paused_process_calls_nobody_silent()
  {
    const milliseconds interval(300);
    process a("a", 1, {"127.0.0.1", 1}, protocol::process_role::agent, interval);
    process b("b", 1, {"127.0.0.1", 1}, protocol::process_role::agent, interval);
    introduce({&a, &b});
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).alive; }));
    std::atomic<bool> lost = false;
    a.members->on_change([&](const member_view_ptr& view)
                         { lost = lost || !view->find(b.listed.host)->alive; });
    {
      // Without its own description the process neither sends nor checks for silence.
      const std::lock_guard paused(a.self_mutex);
      a.mute(true);
      std::this_thread::sleep_for(4 * interval);
      a.mute(false);
    }
    const auto continued = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).last_heard > continued; }));
    CPPUNIT_ASSERT(!lost);
  }

  // Guards against a view that goes back when datagrams of an earlier run arrive late.
  void restart_and_late_datagrams()
  {
    process a("a");
    auto b = std::make_unique<process>("b", 5);
    introduce({&a, b.get()});
    CPPUNIT_ASSERT(eventually([&] { return a.see(*b).incarnation.value == 5; }));
    b = std::make_unique<process>("b", 6);
    introduce({&a, b.get()}, 2);
    CPPUNIT_ASSERT(eventually([&] { return a.see(*b).incarnation.value == 6; }));
    protocol::heartbeat late;
    late.host = b->listed.host;
    late.incarnation = incarnation_id{5};
    late.leaving = true;
    a.members->handle_datagram({}, protocol::encode(late));
    CPPUNIT_ASSERT(!a.see(*b).leaving);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, a.see(*b).incarnation.value);
  }

  // Invariant I5: any of the three sources makes a host leave; an old list changes nothing.
  void planned_stop_and_host_list()
  {
    process a("a");
    process b("b");
    introduce({&a, &b}, 5);
    a.members->set_planned_stops({b.listed.host});
    CPPUNIT_ASSERT(a.see(b).leaving);
    a.members->set_planned_stops({});
    CPPUNIT_ASSERT(!a.see(b).leaving);
    b.listed.leaving = true;
    introduce({&a, &b}, 4);
    CPPUNIT_ASSERT(!a.see(b).leaving);
    introduce({&a, &b}, 6);
    CPPUNIT_ASSERT(a.see(b).leaving);
    introduce({&a}, 7);
    CPPUNIT_ASSERT(a.members->view()->find(b.listed.host) == nullptr);
  }

  // Guards against a stale list of versions: heartbeats leave it out when it has not changed.
  void served_versions_survive_loss()
  {
    process a("a");
    process b("b");
    introduce({&a, &b});
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).alive; }));
    CPPUNIT_ASSERT(eventually([&] { return a.omitted > 0; }));
    const std::uint32_t before = a.omitted_hash;
    a.mute(true);
    // Without the subscriptions of a, which b would answer with the list.
    b.mute(true);
    protocol::heartbeat serving;
    serving.serving = {{"quoter", "3"}};
    b.describe(serving);
    // a loses every heartbeat that lists the new versions: b has told its subscriber once a
    // heartbeat leaves them out.
    CPPUNIT_ASSERT(eventually([&] { return a.omitted_hash != before; }));
    a.mute(false);
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).alive; }));
    CPPUNIT_ASSERT(a.see(b).serving.empty());
    b.mute(false);
    CPPUNIT_ASSERT(eventually([&] { return a.see(b).serving == serving.serving; }));
    // Later heartbeats leave the versions out; they must not remove them from the view.
    const int taken = a.omitted;
    CPPUNIT_ASSERT(eventually([&] { return a.omitted >= taken + 5; }));
    CPPUNIT_ASSERT(a.see(b).serving == serving.serving);
  }

  // Guards against a process that never gets a list, and one that forgets it when the server fails.
  void host_list_is_polled_and_kept()
  {
    std::atomic<int> version{1};
    std::atomic<bool> down{true};
    std::atomic<int> polls{0};
    auto server = transport::http_server::start(
        {.listen = any_port},
        [&](const transport::http_request&)
        {
          ++polls;
          host_list list{static_cast<std::uint64_t>(version),
                         {host("x", protocol::process_role::agent, "booking")}};
          return down ? transport::error_response(503, "down")
                      : transport::http_response{.body = format_host_list(list)};
        });
    CPPUNIT_ASSERT(server.has_value());
    process a("a", 1, (*server)->local_endpoint());
    CPPUNIT_ASSERT(eventually([&] { return polls >= 2; }));
    CPPUNIT_ASSERT(a.members->view()->peers.empty());
    down = false;
    CPPUNIT_ASSERT(eventually([&] { return a.members->view()->host_list_version == 1; }));
    a.members->set_host_list_polling(polling::primary);
    version = 2;
    CPPUNIT_ASSERT(eventually([&] { return a.members->view()->host_list_version == 2; }));
    down = true;
    const int seen = polls;
    CPPUNIT_ASSERT(eventually([&] { return polls > seen + 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, a.members->view()->peers.size());
  }

  // Guards against 0.9 MB for each poll, and for each process that takes over polling.
  void unchanged_host_list_is_not_fetched()
  {
    std::atomic<int> whole{0};
    std::atomic<int> unchanged{0};
    std::atomic<std::uint64_t> version{1};
    const auto tag = [&]
    {
      return "\"v" + std::to_string(version) + "\"";
    };
    auto server = transport::http_server::start(
        {.listen = any_port},
        [&](const transport::http_request& request)
        {
          if (transport::find_header(request.headers, "If-None-Match") == tag())
          {
            ++unchanged;
            return transport::http_response{.status = 304};
          }
          ++whole;
          host_list list = large_list();
          list.version = version;
          return transport::http_response{.headers = {{"ETag", tag()}},
                                          .body = format_host_list(list)};
        });
    CPPUNIT_ASSERT(server.has_value());
    process a("a", 1, (*server)->local_endpoint());
    a.members->set_host_list_polling(polling::primary);
    CPPUNIT_ASSERT(eventually([&] { return unchanged >= 3; }));
    CPPUNIT_ASSERT_EQUAL(1, whole.load());
    // The whole list was compressed: the counted bytes are those of the transfer.
    const auto bytes = a.metrics.to_json()["counters"]["host_list_poll_bytes"].get<double>();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), bytes < 200000);
    version = 2;
    CPPUNIT_ASSERT(eventually([&] { return a.members->view()->host_list_version == 2; }));
    CPPUNIT_ASSERT_EQUAL(2, whole.load());
    // A process that takes this list from a peer takes the entity tag with it.
    const auto passed_on =
        read_host_list({}, format_host_list_change({}, *a.members->current_host_list()));
    CPPUNIT_ASSERT_EQUAL(tag(), passed_on->etag);
    CPPUNIT_ASSERT_EQUAL(tag(),
                         parse_host_list(format_host_list(*a.members->current_host_list()))->etag);
  }

  /// An entry whose relays were all silent subscribes by itself, which a busy machine brings about;
  /// no other entry beside the direct watchers may. Subscriptions last longer than this waits.
  static void check_subscribers(const process& agent,
                                const std::vector<std::unique_ptr<process>>& entries)
  {
    std::size_t subscribers = 0;
    std::size_t expected = 0;
    const bool planned = eventually(
        [&]
        {
          subscribers = agent.members->dump()["subscribers"].get<std::size_t>();
          expected = direct_watchers;
          for (const auto& one : entries)
          {
            expected += one->members->dump()["relays_bypassed"].get<std::size_t>();
          }
          return subscribers == expected;
        });
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(subscribers) + " subscribers, not " + std::to_string(expected), planned);
  }

  // Guards against entries that do not see an agent of a small service, or see it late or alive
  // after its death, because another entry passes its heartbeats on.
  void relayed_agent_is_seen_by_all_entries()
  {
    std::vector<std::unique_ptr<process>> all;
    std::vector<process*> known;
    for (std::size_t i = 0; i < direct_watchers + 4; ++i)
    {
      all.push_back(std::make_unique<process>("e" + std::to_string(i), 1,
                                              transport::endpoint{"127.0.0.1", 1},
                                              protocol::process_role::entry));
    }
    process agent("agent");
    known.reserve(all.size() + 1);
    for (const auto& one : all)
    {
      known.push_back(one.get());
    }
    known.push_back(&agent);
    introduce(known);
    const auto all_see = [&](const auto& predicate)
    {
      return eventually(
          [&]
          {
            return std::all_of(all.begin(), all.end(),
                               [&](const auto& one) { return predicate(one->see(agent)); });
          });
    };
    CPPUNIT_ASSERT(all_see([](const peer& one) { return one.alive; }));
    check_subscribers(agent, all);
    protocol::heartbeat changed;
    changed.leaving = true;
    changed.serving = {{"quoter", "3"}};
    agent.describe(changed);
    CPPUNIT_ASSERT(
        all_see([&](const peer& one) { return one.leaving && one.serving == changed.serving; }));
    // All relays of one entry but the last die.
    const auto relayed =
        std::find_if(all.begin(), all.end(),
                     [&](const auto& one)
                     {
                       return !plan_watches(one->with, *one->members->current_host_list())
                                   .at(agent.listed.host)
                                   .empty();
                     });
    CPPUNIT_ASSERT(relayed != all.end());
    process& observer = **relayed;
    const auto relays =
        plan_watches(observer.with, *observer.members->current_host_list()).at(agent.listed.host);
    for (std::size_t i = 0; i + 1 < relays.size(); ++i)
    {
      std::erase_if(all, [&](const auto& one) { return one->listed.host == relays[i]; });
    }
    const auto heard = [&]
    {
      return observer.see(agent).last_heard;
    };
    const auto last = heard();
    CPPUNIT_ASSERT(eventually([&] { return heard() > last + milliseconds(100); }));
    CPPUNIT_ASSERT(observer.see(agent).alive);
    // A dead agent is not kept alive by heartbeats that go round.
    agent.members->stop();
    CPPUNIT_ASSERT(all_see([](const peer& one) { return !one.alive; }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(membership_test, "Membership");

} // namespace
