#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Membership/ControlBudget.h"
#include "Membership/HostList.h"
#include "Membership/HostListPoller.h"
#include "Membership/PushTree.h"
#include "Membership/WatchSet.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::membership;

constexpr std::size_t fleet_size = 3730;
constexpr std::size_t domain_count = 7;
constexpr std::size_t entry_count = 330;
constexpr double day_s = 86400;

std::string region_of(std::size_t domain)
{
  return domain < 3 ? "western" : domain < 5 ? "central" : "southern";
}

/// 330 entries, 20 agents of `booking`, 5 of `yard` and 3,375 of `assistant`.
host_list make_fleet()
{
  host_list list{1, {}, "\"1\""};
  for (std::size_t i = 0; i < fleet_size; ++i)
  {
    const bool entry = i < entry_count;
    const std::size_t agent = i - std::min(i, entry_count);
    const transport::endpoint address{"10.20.30." + std::to_string(i % 250), 20000};
    list.hosts.push_back({host_id{"host-" + std::to_string(i)},
                          entry ? protocol::process_role::entry : protocol::process_role::agent,
                          region_of(i % domain_count),
                          region_of(i % domain_count) + std::to_string(i % domain_count),
                          entry        ? ""
                          : agent < 20 ? "booking"
                          : agent < 25 ? "yard"
                                       : "assistant",
                          address, address, address, address, false});
  }
  return list;
}

protocol::settings settings_of(const listed_host& self)
{
  protocol::settings out;
  out.host = self.host;
  out.role = self.role;
  out.region = self.region;
  out.failure_domain = self.failure_domain;
  out.service = self.service;
  if (self.role == protocol::process_role::agent)
  {
    const bool engine = self.service == "assistant";
    out.backend = protocol::backend_settings{
        {}, engine ? protocol::backend_kind::engine : protocol::backend_kind::service, 1};
  }
  return out;
}

std::vector<host_id> domain_of(const host_list& list, const std::string& name)
{
  std::vector<host_id> out;
  for (const listed_host& host : list.hosts)
  {
    if (host.failure_domain == name)
    {
      out.push_back(host.host);
    }
  }
  return out;
}

/// The plans of all processes and what follows from them.
struct fleet_plan
{
  explicit fleet_plan(const host_list& list)
  {
    for (const listed_host& self : list.hosts)
    {
      plans[self.host] = plan_watches(settings_of(self), list);
    }
    for (const auto& [self, plan] : plans)
    {
      load[self].watched += plan.size();
      for (const auto& [host, relays] : plan)
      {
        ++load[subscription_target(host, relays, 0)].subscribers;
      }
    }
  }

  std::map<host_id, watch_plan> plans;
  std::map<host_id, control_load> load;
};

const host_list& fleet()
{
  static const host_list list = make_fleet();
  return list;
}

const fleet_plan& whole()
{
  static const fleet_plan plan(fleet());
  return plan;
}

host_list changed_list(const host_list& from)
{
  host_list out = from;
  ++out.version;
  out.etag = "\"" + std::to_string(out.version) + "\"";
  out.hosts[out.hosts.size() / 2].leaving = true;
  return out;
}

/// Bytes per second of a process: heartbeats, subscriptions, connections of the tree, records and
/// changes of the host list received and passed on.
double traffic(const control_load& load, std::size_t children, double change_bytes)
{
  const double interval = std::chrono::duration<double>(heartbeat_interval({}, load)).count();
  const auto peers = static_cast<double>(load.watched + load.subscribers);
  const double records = 10000 / day_s * 300;
  const double lists = 2 * (43 + 630) / day_s * change_bytes;
  return peers * plain_heartbeat_bytes / interval + peers * 34 / 20 +
         static_cast<double>(load.connections) * connection_bytes_per_s +
         static_cast<double>(1 + children) * (records + lists);
}

void check_budgets(const host_list& list, const fleet_plan& plan)
{
  const double change =
      static_cast<double>(format_host_list_change(list, changed_list(list)).size());
  std::map<std::string, std::vector<host_id>> domains;
  for (const listed_host& host : list.hosts)
  {
    domains[host.failure_domain].push_back(host.host);
  }
  for (const listed_host& self : list.hosts)
  {
    const push_tree tree(domains[self.failure_domain], self.failure_domain, self.host);
    const std::size_t children = tree.children().size();
    control_load load = plan.load.at(self.host);
    load.connections = children + 1;
    const double bytes = traffic(load, children, change);
    CPPUNIT_ASSERT_MESSAGE(self.host.value + " " + std::to_string(bytes) + " B/s",
                           bytes <= control_bytes_per_s);
  }
}

class fleet_size_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_size_test);
  CPPUNIT_TEST(every_entry_learns_every_service_agent);
  CPPUNIT_TEST(no_process_exceeds_its_budget);
  CPPUNIT_TEST(lost_failure_domain);
  CPPUNIT_TEST(parted_domain_keeps_a_tree_on_each_side);
  CPPUNIT_TEST(candidates_share_the_polls);
  CPPUNIT_TEST(interval_follows_from_the_load);
  CPPUNIT_TEST_SUITE_END();

  // Guards against entries without a path to a service, and against agents that all entries watch.
  void every_entry_learns_every_service_agent()
  {
    std::map<host_id, std::size_t> direct;
    for (const listed_host& self : fleet().hosts)
    {
      if (self.role != protocol::process_role::entry)
      {
        continue;
      }
      const watch_plan& plan = whole().plans.at(self.host);
      for (const listed_host& agent : fleet().hosts)
      {
        if (agent.service != "booking" && agent.service != "yard")
        {
          continue;
        }
        const auto found = plan.find(agent.host);
        CPPUNIT_ASSERT(found != plan.end());
        direct[agent.host] += found->second.empty() ? 1 : 0;
        for (const host_id& relay : found->second)
        {
          // A relay outside the region is cut off when regions part.
          const listed_host& by = *std::find_if(fleet().hosts.begin(), fleet().hosts.end(),
                                                [&](const auto& one) { return one.host == relay; });
          CPPUNIT_ASSERT_EQUAL(self.region, by.region);
          const watch_plan& other = whole().plans.at(relay);
          CPPUNIT_ASSERT(other.contains(agent.host) && other.at(agent.host).empty());
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{25}, direct.size());
    for (const auto& [agent, count] : direct)
    {
      // Entries that are its neighbours in the push tree watch it too.
      CPPUNIT_ASSERT_MESSAGE(agent.value, count >= 3 * direct_watchers);
      CPPUNIT_ASSERT_MESSAGE(agent.value, count <= 3 * direct_watchers + push_tree::fan_out + 1 +
                                                       push_tree::candidate_count);
    }
  }

  // Guards against a role or a position in the tree that uses more than 2 KB/s.
  void no_process_exceeds_its_budget()
  {
    check_budgets(fleet(), whole());
  }

  // Guards against the loss of 533 hosts at once: entries that lose all relays of an agent, and
  // more traffic for those that remain.
  void lost_failure_domain()
  {
    const std::string lost = "central3";
    const std::vector<host_id> gone = domain_of(fleet(), lost);
    CPPUNIT_ASSERT(gone.size() >= 532);
    const std::set<host_id> dead(gone.begin(), gone.end());
    for (const auto& [self, plan] : whole().plans)
    {
      for (const auto& [host, relays] : plan)
      {
        bool reached = dead.contains(self) || dead.contains(host);
        for (std::size_t attempt = 0; attempt <= relays.size(); ++attempt)
        {
          reached = reached || !dead.contains(subscription_target(host, relays, attempt));
        }
        CPPUNIT_ASSERT_MESSAGE(self.value + " " + host.value, reached);
      }
    }
    host_list rest = fleet();
    ++rest.version;
    std::erase_if(rest.hosts, [&](const listed_host& one) { return dead.contains(one.host); });
    const fleet_plan after(rest);
    check_budgets(rest, after);
    // The other domains keep their trees.
    const std::vector<host_id> before = domain_of(fleet(), "western0");
    CPPUNIT_ASSERT(push_tree(before, "western0", before[0]).order() ==
                   push_tree(domain_of(rest, "western0"), "western0", before[0]).order());
  }

  // Guards against a part that nobody serves, and against two roots after the parts have merged.
  void parted_domain_keeps_a_tree_on_each_side()
  {
    const std::vector<host_id> domain = domain_of(fleet(), "southern5");
    const std::vector<host_id> order = push_tree(domain, "southern5", domain[0]).order();
    const auto count = [&](const push_tree::host_filter& usable)
    {
      std::size_t roots = 0;
      std::size_t primaries = 0;
      std::set<host_id> reached;
      for (const host_id& self : order)
      {
        const push_tree tree(domain, "southern5", self);
        if (!usable(self))
        {
          continue;
        }
        roots += tree.is_root(usable) ? 1 : 0;
        primaries += tree.poll_rank(7, usable) == 0U ? 1 : 0;
        if (tree.is_root(usable))
        {
          reached.insert(self);
          CPPUNIT_ASSERT(tree.root(usable) == self);
        }
        for (const host_id& to : tree.push_targets(usable))
        {
          reached.insert(to);
        }
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, roots);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, primaries);
      return reached.size();
    };
    const std::set<host_id> side = [&]
    {
      std::set<host_id> out;
      for (std::size_t i = 0; i < order.size(); i += 2)
      {
        out.insert(order[i]);
      }
      return out;
    }();
    CPPUNIT_ASSERT_EQUAL(side.size(), count([&](const auto& id) { return side.contains(id); }));
    CPPUNIT_ASSERT_EQUAL(order.size() - side.size(),
                         count([&](const auto& id) { return !side.contains(id); }));
    CPPUNIT_ASSERT_EQUAL(order.size(), count([](const auto&) { return true; }));
  }

  // Guards against one process that fetches every version of the list, and a version without
  // poller.
  void candidates_share_the_polls()
  {
    const std::vector<host_id> domain = domain_of(fleet(), "western1");
    const auto all = [](const host_id&)
    {
      return true;
    };
    constexpr std::size_t versions = std::size_t{2} * (43 + 630);
    std::map<host_id, std::size_t> primary;
    const std::vector<host_id> order = push_tree(domain, "western1", domain[0]).order();
    for (std::uint64_t version = 1; version <= versions; ++version)
    {
      std::size_t ranks = 0;
      for (std::size_t i = 0; i < push_tree::candidate_count; ++i)
      {
        const auto rank = push_tree(domain, "western1", order[i]).poll_rank(version, all);
        CPPUNIT_ASSERT(rank.has_value());
        ranks += *rank;
        primary[order[i]] += rank == 0U ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{28}, ranks);
    }
    CPPUNIT_ASSERT(!push_tree(domain, "western1", order[8]).poll_rank(1, all));
    for (const auto& [host, count] : primary)
    {
      CPPUNIT_ASSERT_MESSAGE(host.value, count > versions / 16 && count < versions * 3 / 16);
    }
  }

  // Guards against an interval that ignores subscribers or connections, or one out of its bounds.
  void interval_follows_from_the_load()
  {
    const protocol::control_settings control;
    CPPUNIT_ASSERT(heartbeat_interval(control, {}) == control.heartbeat_interval);
    CPPUNIT_ASSERT(heartbeat_interval(control, {1000, 1000, 0}) == control.max_heartbeat_interval);
    const auto few = heartbeat_interval(control, {30, 0, 0});
    CPPUNIT_ASSERT(few < heartbeat_interval(control, {30, 30, 0}));
    CPPUNIT_ASSERT(heartbeat_interval(control, {30, 30, 0}) <
                   heartbeat_interval(control, {30, 30, 20}));
    CPPUNIT_ASSERT_EQUAL(least_heartbeat_bytes_per_s, heartbeat_budget(control, 1000));
    CPPUNIT_ASSERT(poll_interval(control, polling::backup) >
                   poll_interval(control, polling::primary));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fleet_size_test, "Membership.FleetSize");

} // namespace
