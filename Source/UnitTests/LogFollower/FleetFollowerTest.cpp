#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "LogFollower/FleetFollower.h"
#include "Membership/PushTree.h"
#include "Protocol/Codec.h"
#include "UnitTests/LogFollower/FakeLog.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::log_follower;
using std::chrono::milliseconds;
using test::fake_log;

constexpr std::chrono::seconds patience{30};
const transport::endpoint any_port{"127.0.0.1", 0};
const transport::endpoint nowhere{"127.0.0.1", 1};

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
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

protocol::settings settings_for(const std::string& name, const transport::endpoint& log)
{
  protocol::settings out;
  out.role = protocol::process_role::agent;
  out.host = host_id{name};
  out.region = "western";
  out.failure_domain = "western-1";
  out.service = "assistant";
  out.platform.log = log;
  out.platform.host_list = nowhere;
  out.control.heartbeat_interval = milliseconds(50);
  out.control.heartbeat_bytes_per_s = 1e9;
  out.control.log_poll_wait = milliseconds(50);
  out.control.orphan_timeout = milliseconds(500);
  return out;
}

/// One process: node, membership and follower.
class process
{
public:
  process(const std::string& name, const fake_log& log, std::uint32_t checkpoint_records = 1000)
      : with(settings_for(name, log.address())), client(with.platform.log)
  {
    with.control.checkpoint_records = checkpoint_records;
    node = std::move(*transport::message_node::start(
        {.tcp = any_port, .udp = any_port},
        {.on_frame = [this](transport::connection_id from, const transport::frame& message)
         { on_frame(from, message); },
         .on_closed =
             [this](transport::connection_id from)
         {
           if (ready)
           {
             links->handle_closed(from);
           }
         },
         .on_datagram =
             [this](const transport::endpoint& from, const transport::frame& message)
         {
           if (ready)
           {
             members->handle_datagram(from, message);
           }
         }}));
    links = std::make_unique<membership::peer_links>(
        *node,
        protocol::hello{with.host, incarnation_id{1}, with.role, with.region, with.failure_domain});
    members = std::make_unique<membership::membership>(
        membership::membership::dependencies{with, incarnation_id{1}, *node, metrics,
                                             [this](protocol::heartbeat& out)
                                             {
                                               out.state_offset = follower->state()->offset;
                                             }});
    follower = std::make_unique<fleet_follower>(
        fleet_follower::dependencies{with, *node, *members, *links, client, metrics});
    ready = true;
    members->start();
    follower->start();
  }

  ~process()
  {
    follower->stop();
    members->stop();
    node->stop();
  }

  process(const process&) = delete;
  process& operator=(const process&) = delete;
  process(process&&) = delete;
  process& operator=(process&&) = delete;

  void on_frame(transport::connection_id from, const transport::frame& message)
  {
    if (!ready)
    {
      return;
    }
    if (const auto greeting = protocol::decode<protocol::hello>(message))
    {
      links->handle_hello(from, *greeting);
      return;
    }
    follower->handle_frame(from, message);
  }

  membership::listed_host listed() const
  {
    return {with.host,
            with.role,
            with.region,
            with.failure_domain,
            with.service,
            node->tcp_endpoint(),
            node->udp_endpoint(),
            nowhere,
            nowhere,
            false};
  }

  std::uint64_t offset() const
  {
    return follower->state()->offset.value;
  }

  std::string state_digest() const
  {
    return to_hex(fleet::state_digest(*follower->state()));
  }

  bool is_reader() const
  {
    return follower->dump()["reader"];
  }

  protocol::settings with;
  log_client client;
  metrics_registry metrics;
  std::atomic<bool> ready{false};
  std::unique_ptr<transport::message_node> node;
  std::unique_ptr<membership::peer_links> links;
  std::unique_ptr<membership::membership> members;
  std::unique_ptr<fleet_follower> follower;
};

using process_list = std::vector<std::unique_ptr<process>>;

process_list start_processes(std::size_t count, const fake_log& log)
{
  process_list out;
  for (std::size_t i = 0; i < count; ++i)
  {
    out.push_back(std::make_unique<process>("h" + std::to_string(i), log));
  }
  return out;
}

membership::host_list list_of(const process_list& all, std::uint64_t version)
{
  membership::host_list list{version, {}};
  for (const auto& one : all)
  {
    list.hosts.push_back(one->listed());
  }
  return list;
}

void introduce(const process_list& all, std::uint64_t version = 1)
{
  for (const auto& one : all)
  {
    one->members->update_host_list(list_of(all, version));
  }
}

bool all_reach(const process_list& all, std::uint64_t offset)
{
  return eventually(
      [&]
      {
        return std::all_of(all.begin(), all.end(),
                           [&](const auto& one) { return one->offset() >= offset; });
      });
}

std::size_t reader_count(const process_list& all)
{
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [](const auto& one) { return one->is_reader(); }));
}

std::string config(int n)
{
  return protocol::format_log_record(
      {"c" + std::to_string(n), protocol::config_record{"k" + std::to_string(n % 7), "v"}});
}

protocol::release_note note(const std::string& name, std::uint64_t head)
{
  protocol::release_item item;
  item.model = "m";
  item.version = name;
  item.bytes = 1;
  item.services = {"assistant"};
  return {name, log_offset{head}, {item}, {}, {}};
}

class fleet_follower_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_follower_test);
  CPPUNIT_TEST(two_readers_serve_a_failure_domain);
  CPPUNIT_TEST(racing_notes_under_lost_answers);
  CPPUNIT_TEST(log_outage);
  CPPUNIT_TEST(start_from_checkpoint_and_from_snapshot);
  CPPUNIT_TEST(log_that_lost_records_changes_nothing);
  CPPUNIT_TEST(process_without_contact_reads_the_log);
  CPPUNIT_TEST(host_list_is_passed_on);
  CPPUNIT_TEST(two_candidates_poll_the_host_list);
  CPPUNIT_TEST_SUITE_END();

  // Guards against readers that die together, and against every process polling the log.
  void two_readers_serve_a_failure_domain()
  {
    fake_log log;
    auto all = start_processes(12, log);
    introduce(all);
    const auto appended = all[0]->follower->append(protocol::config_record{"k", "v"}, patience);
    CPPUNIT_ASSERT(appended.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("v"), all[0]->follower->state()->config.at("k"));
    CPPUNIT_ASSERT(all_reach(all, 1));
    // Others take over while the two end, so that who is a reader has to be known before.
    process_list readers;
    CPPUNIT_ASSERT(eventually([&] { return reader_count(all) == 2; }));
    const auto first_reader = std::stable_partition(
        all.begin(), all.end(), [](const auto& one) { return !one->is_reader(); });
    std::move(first_reader, all.end(), std::back_inserter(readers));
    all.erase(first_reader, all.end());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, all.size());
    readers.clear();
    log.add(config(1));
    CPPUNIT_ASSERT(all_reach(all, 2));
    CPPUNIT_ASSERT(eventually([&] { return reader_count(all) == 2; }));
    for (const auto& one : all)
    {
      CPPUNIT_ASSERT_EQUAL(all[0]->state_digest(), one->state_digest());
    }
  }

  // Guards against two accepted notes, and against a lost answer that is taken for a failure.
  void racing_notes_under_lost_answers()
  {
    fake_log log;
    auto all = start_processes(3, log);
    introduce(all);
    log.change([](fake_log::faults& f) { f.lost_answers = 2; });
    std::vector<std::future<result<log_offset>>> appends;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
      appends.push_back(
          std::async(std::launch::async, [&all, i]
                     { return all[i]->follower->append(note(std::to_string(i), 0), patience); }));
    }
    for (auto& one : appends)
    {
      CPPUNIT_ASSERT(one.get().has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.records().size());
    CPPUNIT_ASSERT(all_reach(all, 3));
    for (const auto& one : all)
    {
      const auto state = one->follower->state();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state->head.value);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state->releases.size());
      CPPUNIT_ASSERT(state->notes[0].accepted && !state->notes[1].accepted &&
                     !state->notes[2].accepted);
    }
  }

  // Guards against accepted state that is lost, or guessed, while the log is down.
  void log_outage()
  {
    fake_log log;
    auto all = start_processes(3, log);
    introduce(all);
    CPPUNIT_ASSERT(all[0]->follower->append(note("n", 0), patience).has_value());
    CPPUNIT_ASSERT(
        all[0]->follower->append(protocol::stop_record{all[1]->with.host}, patience).has_value());
    CPPUNIT_ASSERT(all_reach(all, 2));
    CPPUNIT_ASSERT(
        eventually([&] { return all[2]->members->view()->find(all[1]->with.host)->leaving; }));
    log.change([](fake_log::faults& f) { f.down = true; });
    const auto refused =
        all[0]->follower->append(protocol::config_record{"k", "v"}, milliseconds(200));
    CPPUNIT_ASSERT(!refused && refused.error().code == error_code::unavailable);
    // A new process starts from the state of its peers.
    all.push_back(std::make_unique<process>("new", log));
    introduce(all, 2);
    CPPUNIT_ASSERT(all_reach(all, 2));
    CPPUNIT_ASSERT(all.back()->follower->state()->find("m", "n") != nullptr);
    log.change([](fake_log::faults& f) { f.down = false; });
    log.add(config(1));
    CPPUNIT_ASSERT(all_reach(all, 3));
  }

  // Guards against a fleet that cannot start again because early records have expired.
  void start_from_checkpoint_and_from_snapshot()
  {
    fake_log log;
    fleet::fleet_state expected;
    {
      process_list writer;
      writer.push_back(std::make_unique<process>("writer", log, 10));
      introduce(writer);
      log.change([](fake_log::faults& f) { f.retention = 40; });
      for (int i = 0; i < 120; ++i)
      {
        log.add(config(i));
        // Paced so that the writer can keep up: retention is measured in records.
        CPPUNIT_ASSERT(all_reach(writer, log.records().size()));
      }
    }
    std::uint64_t offset = 0;
    for (const std::string& text : log.records())
    {
      fleet::apply(expected, {log_offset{++offset}, 0, text});
    }
    CPPUNIT_ASSERT(expected.last_checkpoint.value > offset - 20);
    process_list all;
    all.push_back(std::make_unique<process>("lone", log));
    introduce(all, 2);
    CPPUNIT_ASSERT(all_reach(all, offset));
    CPPUNIT_ASSERT_EQUAL(to_hex(fleet::state_digest(expected)), all[0]->state_digest());
    // The first process holds no early records either; the second one gets its whole state.
    log.change([](fake_log::faults& f) { f.down = true; });
    all.push_back(std::make_unique<process>("second", log));
    introduce(all, 3);
    CPPUNIT_ASSERT(all_reach(all, offset));
    CPPUNIT_ASSERT_EQUAL(all[0]->state_digest(), all[1]->state_digest());
  }

  // Guards against a state that goes back (invariant I7).
  void log_that_lost_records_changes_nothing()
  {
    fake_log log;
    auto all = start_processes(1, log);
    introduce(all);
    log.add(config(1));
    log.add(config(2));
    CPPUNIT_ASSERT(all_reach(all, 2));
    const std::string before = all[0]->state_digest();
    log.reset();
    log.add(config(3));
    // Several reads have been answered since, with the other log's end.
    const std::uint64_t reads = log.reads();
    CPPUNIT_ASSERT(eventually([&] { return log.reads() >= reads + 4; }));
    CPPUNIT_ASSERT_EQUAL(before, all[0]->state_digest());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, all[0]->offset());
  }

  // Guards against a process that waits for ever for hosts that are listed and dead.
  void process_without_contact_reads_the_log()
  {
    fake_log log;
    auto all = start_processes(1, log);
    auto list = list_of(all, 1);
    std::vector<host_id> dead;
    for (int i = 0; i < 100; ++i)
    {
      membership::listed_host one = list.hosts[0];
      one.host = host_id{"dead" + std::to_string(i)};
      one.tcp = one.udp = nowhere;
      dead.push_back(one.host);
      list.hosts.push_back(one);
    }
    const membership::push_tree tree(dead, all[0]->with.failure_domain, all[0]->with.host);
    CPPUNIT_ASSERT(tree.rank() >= membership::push_tree::candidate_count);
    log.add(config(1));
    all[0]->members->update_host_list(list);
    CPPUNIT_ASSERT(all_reach(all, 1));
    CPPUNIT_ASSERT(!all[0]->is_reader());
  }

  // Guards against hosts that only readers know of.
  void host_list_is_passed_on()
  {
    fake_log log;
    auto all = start_processes(10, log);
    introduce(all);
    CPPUNIT_ASSERT(eventually([&] { return reader_count(all) == 2; }));
    all.push_back(std::make_unique<process>("late", log));
    for (std::uint64_t version = 2; version < 5; ++version)
    {
      auto list = list_of(all, version);
      list.hosts[0].leaving = version % 2 == 0;
      const auto root =
          std::find_if(all.begin(), all.end(),
                       [](const auto& one) { return one->follower->dump()["root"] == true; });
      CPPUNIT_ASSERT(root != all.end());
      (*root)->members->update_host_list(list);
      CPPUNIT_ASSERT(eventually(
          [&]
          {
            return std::all_of(all.begin(), all.end() - 1,
                               [&](const auto& one)
                               { return one->members->current_host_list()->version == version; });
          }));
      CPPUNIT_ASSERT(all[1]->members->current_host_list()->hosts ==
                     (*root)->members->current_host_list()->hosts);
    }
  }

  // Guards against a root that takes the missing pushes for a lost domain and always polls.
  void two_candidates_poll_the_host_list()
  {
    fake_log log;
    auto all = start_processes(10, log);
    std::vector<host_id> hosts;
    for (const auto& one : all)
    {
      hosts.push_back(one->with.host);
    }
    const auto usable = [](const host_id&)
    {
      return true;
    };
    const std::string& domain = all[0]->with.failure_domain;
    const membership::push_tree tree(hosts, domain, all[0]->with.host);
    // A version for which the root is neither primary nor backup.
    std::uint64_t version = 1;
    while (*membership::push_tree(hosts, domain, tree.order()[0]).poll_rank(version, usable) < 2)
    {
      ++version;
    }
    introduce(all, version);
    // Later than the orphan timeout of 500 ms: each read waits 50 ms, two processes read.
    CPPUNIT_ASSERT(eventually([&] { return reader_count(all) == 2; }));
    const std::uint64_t reads = log.reads();
    CPPUNIT_ASSERT(eventually([&] { return log.reads() >= reads + 40; }));
    const auto polling = [](const auto& one)
    {
      return one->members->dump()["polling"] == true;
    };
    CPPUNIT_ASSERT(eventually([&] { return std::count_if(all.begin(), all.end(), polling) == 2; }));
    const auto root = std::find_if(
        all.begin(), all.end(), [&](const auto& one) { return one->with.host == tree.order()[0]; });
    CPPUNIT_ASSERT(!polling(*root));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_follower_test, "FleetFollower");

} // namespace
