#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/CrashQuarantine.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::gateway;
using std::chrono::seconds;

request_content make(const std::vector<std::string>& parts, const std::string& body)
{
  return make_content(
      {.service = "pool", .team = "blue", .target = "/a", .body = body, .shared_parts = parts});
}

peers::crash_report make_report(const std::string& server,
                                const std::vector<request_content>& suspects)
{
  peers::crash_report out{.server = server, .started_ms = 1, .suspects = {}};
  for (const auto& suspect : suspects)
  {
    out.suspects.push_back(suspect.keys());
  }
  return out;
}

/// Entries that exchange reports within a few ms over links that lose some of them, in front of
/// servers that crash when they begin to answer a prompt with a tainted part.
class simulated_fleet
{
public:
  simulated_fleet(std::size_t entries, std::size_t servers, double loss, std::uint64_t seed)
      : m_server_up(servers), m_loss(loss), m_random(seed)
  {
    for (std::size_t i = 0; i < entries; ++i)
    {
      m_entries.emplace_back([i, entries](std::uint64_t key) { return key % entries == i; });
    }
  }

  std::size_t crashes = 0;
  std::size_t tainted_sent = 0;
  std::size_t sound_sent = 0;
  std::size_t sound_refused = 0;

  void run(seconds length, double tainted_share)
  {
    const auto end = m_now + length;
    while (m_now < end)
    {
      arrive(random(1) < tainted_share);
      for (unsigned step = 0; step < arrival_interval_ms; ++step)
      {
        m_now += milliseconds(1);
        advance();
      }
    }
  }

private:
  static constexpr unsigned arrival_interval_ms = 8;
  static constexpr milliseconds prefill_time{300};
  static constexpr milliseconds report_delay{3};
  static constexpr milliseconds restart_time{3000};
  static constexpr std::size_t subjects = 60;

  struct running
  {
    std::size_t entry = 0;
    std::size_t server = 0;
    request_content content;
    bool tainted = false;
    bool in_trial = false;
  };
  struct message
  {
    std::size_t to = 0;
    peers::peer_message content;
  };

  double random(double limit)
  {
    return std::uniform_real_distribution<double>(0, limit)(m_random);
  }
  std::size_t pick(std::size_t count)
  {
    return static_cast<std::size_t>(random(static_cast<double>(count)));
  }

  void arrive(bool tainted)
  {
    running request;
    request.tainted = tainted;
    request.entry = pick(m_entries.size());
    const std::string subject = "subject" + std::to_string(pick(subjects));
    const std::string own = std::to_string(++m_requests);
    request.content = tainted ? make({"all", subject, "dead"}, own) : make({"all", subject}, own);
    auto& entry = m_entries[request.entry];
    const auto verdict = entry.judge(request.content, m_now);
    sound_sent += tainted ? 0U : 1U;
    if (verdict == content_verdict::refused)
    {
      sound_refused += tainted ? 0U : 1U;
      return;
    }
    tainted_sent += tainted ? 1U : 0U;
    request.in_trial = verdict == content_verdict::trial;
    if (request.in_trial)
    {
      entry.begin_trial(request.content);
    }
    do
    {
      request.server = pick(m_server_up.size());
    } while (m_now < m_server_up[request.server]);
    m_running.emplace(m_now + prefill_time, request);
  }

  void advance()
  {
    while (!m_messages.empty() && m_messages.begin()->first <= m_now)
    {
      const message next = m_messages.begin()->second;
      m_messages.erase(m_messages.begin());
      receive(m_entries[next.to], next);
    }
    while (!m_running.empty() && m_running.begin()->first <= m_now)
    {
      const running next = m_running.begin()->second;
      m_running.erase(m_running.begin());
      finish(next);
    }
    for (auto& entry : m_entries)
    {
      entry.evaluate(m_now);
    }
  }

  void receive(crash_quarantine& entry, const message& received)
  {
    if (const auto* report = std::get_if<peers::crash_report>(&received.content))
    {
      tell(received.to, peers::content_clearance{entry.add_crash(*report, m_now)});
    }
    if (const auto* clearance = std::get_if<peers::content_clearance>(&received.content))
    {
      entry.add_clearance(*clearance, m_now);
    }
  }

  void tell(std::size_t from, const peers::peer_message& content)
  {
    const auto* clearance = std::get_if<peers::content_clearance>(&content);
    if (clearance != nullptr && clearance->keys.empty())
    {
      return;
    }
    for (std::size_t to = 0; to < m_entries.size(); ++to)
    {
      if (to != from && random(1) >= m_loss)
      {
        m_messages.emplace(m_now + report_delay, message{to, content});
      }
    }
  }

  void finish(const running& request)
  {
    auto& entry = m_entries[request.entry];
    if (request.in_trial)
    {
      entry.end_trial(request.content);
    }
    if (request.tainted)
    {
      crash(request);
      return;
    }
    tell(request.entry, peers::content_clearance{entry.add_answer(request.content, m_now)});
  }

  /// All requests at the server lose it; those that it had not begun to answer are suspects.
  void crash(const running& cause)
  {
    ++crashes;
    m_server_up[cause.server] = m_now + restart_time;
    std::map<std::size_t, std::vector<request_content>> suspects;
    suspects[cause.entry].push_back(cause.content);
    for (auto item = m_running.begin(); item != m_running.end();)
    {
      if (item->second.server != cause.server)
      {
        ++item;
        continue;
      }
      suspects[item->second.entry].push_back(item->second.content);
      if (item->second.in_trial)
      {
        m_entries[item->second.entry].end_trial(item->second.content);
      }
      item = m_running.erase(item);
    }
    auto report = make_report(std::to_string(cause.server), {});
    report.started_ms = crashes;
    for (const auto& [entry, contents] : suspects)
    {
      report.suspects.clear();
      for (const auto& content : contents)
      {
        report.suspects.push_back(content.keys());
      }
      if (const auto own = m_entries[entry].add_own_crash(report, m_now))
      {
        tell(entry, *own);
      }
    }
  }

  std::vector<crash_quarantine> m_entries;
  /// From when on each server is up.
  std::vector<time_point> m_server_up;
  double m_loss;
  std::mt19937_64 m_random;
  time_point m_now = time_point{} + seconds(1000);
  std::multimap<time_point, running> m_running;
  std::multimap<time_point, message> m_messages;
  std::size_t m_requests = 0;
};

class crash_quarantine_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(crash_quarantine_test);
  CPPUNIT_TEST(content_of_two_crashes_is_refused);
  CPPUNIT_TEST(content_that_is_always_present_together_waits_for_a_trial);
  CPPUNIT_TEST(content_that_only_comes_together_is_tried_by_one_entry);
  CPPUNIT_TEST(answered_content_is_not_blamed);
  CPPUNIT_TEST(explained_crashes_blame_no_other_content);
  CPPUNIT_TEST(entry_that_missed_the_reports_learns_from_a_digest);
  CPPUNIT_TEST(one_entry_tries_quarantined_content_again);
  CPPUNIT_TEST(repeated_request_is_refused_as_a_whole);
  CPPUNIT_TEST(failed_trials_of_content_that_only_comes_together_become_rare);
  CPPUNIT_TEST(tainted_part_costs_few_servers_of_a_fleet);
  CPPUNIT_TEST_SUITE_END();

  time_point m_now = time_point{} + seconds(1000);
  crash_quarantine m_quarantine{[](std::uint64_t)
                                {
                                  return false;
                                }};

  void add_crash(const std::string& server, const std::vector<request_content>& suspects)
  {
    m_quarantine.add_own_crash(make_report(server, suspects), m_now);
    m_now += crash_settle_time;
    m_quarantine.evaluate(m_now);
  }

  content_verdict judge(const std::vector<std::string>& parts)
  {
    return m_quarantine.judge(make(parts, "new"), m_now);
  }

public:
  void content_of_two_crashes_is_refused()
  {
    add_crash("s1", {make({"a", "dead"}, "1"), make({"a", "b"}, "2")});
    m_quarantine.add_answer(make({"a"}, "3"), m_now);
    CPPUNIT_ASSERT(judge({"dead"}) == content_verdict::accepted);
    add_crash("s2", {make({"a", "dead"}, "4")});
    CPPUNIT_ASSERT(judge({"dead", "x"}) == content_verdict::refused);
    CPPUNIT_ASSERT(m_quarantine.is_certain(make({"dead"}, "new")));
    CPPUNIT_ASSERT(judge({"a", "b"}) == content_verdict::accepted);
  }

  /// Guards against a neighbour that is refused for good because it was present in each crash.
  void content_that_is_always_present_together_waits_for_a_trial()
  {
    for (const auto* server : {"s1", "s2"})
    {
      add_crash(server, {make({"dead", "neighbour"}, server)});
    }
    CPPUNIT_ASSERT(judge({"neighbour"}) == content_verdict::accepted);
    add_crash("s3", {make({"dead", "neighbour"}, "s3")});
    CPPUNIT_ASSERT(judge({"dead", "neighbour"}) == content_verdict::refused);
    CPPUNIT_ASSERT(judge({"neighbour"}) == content_verdict::trial);
    const auto trial = make({"neighbour"}, "trial");
    m_quarantine.begin_trial(trial);
    CPPUNIT_ASSERT(judge({"neighbour"}) == content_verdict::refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_quarantine.add_answer(trial, m_now).size());
    CPPUNIT_ASSERT(judge({"neighbour"}) == content_verdict::accepted);
    m_quarantine.evaluate(m_now);
    CPPUNIT_ASSERT(judge({"dead"}) != content_verdict::accepted);
    add_crash("s4", {make({"dead"}, "s4")});
    CPPUNIT_ASSERT(judge({"dead"}) == content_verdict::refused);
  }

  /// Guards against a route whose requests all hold the same two parts, and which is refused for
  /// good after the loss of all its servers.
  void content_that_only_comes_together_is_tried_by_one_entry()
  {
    crash_quarantine owner([](std::uint64_t) { return true; });
    for (const auto* server : {"s1", "s2", "s3"})
    {
      const auto report = make_report(server, {make({"f", "g"}, server)});
      owner.add_own_crash(report, m_now);
      m_quarantine.add_crash(report, m_now);
    }
    m_now += crash_settle_time;
    CPPUNIT_ASSERT(owner.evaluate(m_now));
    CPPUNIT_ASSERT(m_quarantine.evaluate(m_now));
    CPPUNIT_ASSERT(owner.judge(make({"f", "g"}, "1"), m_now) == content_verdict::refused);
    m_now += seconds(5);
    CPPUNIT_ASSERT(owner.judge(make({"f", "g"}, "1"), m_now) == content_verdict::trial);
    CPPUNIT_ASSERT(judge({"f", "g"}) == content_verdict::refused);
    const auto trial = make({"f", "g"}, "2");
    owner.begin_trial(trial);
    CPPUNIT_ASSERT(owner.judge(make({"f", "g"}, "3"), m_now) == content_verdict::refused);
    m_quarantine.add_clearance({owner.add_answer(trial, m_now)}, m_now);
    CPPUNIT_ASSERT(judge({"f", "g"}) == content_verdict::accepted);
  }

  /// Guards against popular content that is refused when several servers are lost at once.
  void answered_content_is_not_blamed()
  {
    const auto popular = make({"popular"}, "1");
    m_quarantine.add_answer(popular, m_now);
    m_now += milliseconds(300);
    for (const auto* server : {"s1", "s2", "s3"})
    {
      m_quarantine.add_own_crash(make_report(server, {make({"popular"}, server)}), m_now);
    }
    m_now += crash_settle_time;
    CPPUNIT_ASSERT(!m_quarantine.evaluate(m_now));
    m_now += seconds(5);
    for (const auto* server : {"s4", "s5", "s6"})
    {
      m_quarantine.add_own_crash(make_report(server, {make({"popular"}, server)}), m_now);
    }
    m_now += crash_settle_time;
    CPPUNIT_ASSERT(m_quarantine.evaluate(m_now));
    // Another entry has seen an answer.
    m_quarantine.add_clearance({popular.keys()}, m_now);
    CPPUNIT_ASSERT(judge({"popular"}) == content_verdict::accepted);
    const auto report = make_report("s7", {popular});
    // An entry tells of the answers that it has seen itself, once.
    CPPUNIT_ASSERT(m_quarantine.add_crash(report, m_now).empty());
    m_quarantine.add_answer(popular, m_now);
    m_now += milliseconds(300);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_quarantine.add_crash(report, m_now).size());
    CPPUNIT_ASSERT(m_quarantine.add_crash(report, m_now).empty());
  }

  void explained_crashes_blame_no_other_content()
  {
    add_crash("s1", {make({"dead"}, "1")});
    add_crash("s2", {make({"dead"}, "2")});
    for (const auto* server : {"s3", "s4", "s5"})
    {
      add_crash(server, {make({"dead"}, server), make({"bystander"}, "b" + std::string(server))});
    }
    CPPUNIT_ASSERT(judge({"bystander"}) == content_verdict::accepted);
    add_crash("s6", {make({"other"}, "6")});
    add_crash("s7", {make({"other"}, "7")});
    CPPUNIT_ASSERT(judge({"other"}) == content_verdict::refused);
  }

  void entry_that_missed_the_reports_learns_from_a_digest()
  {
    add_crash("s1", {make({"dead"}, "1"), make({"b"}, "b1")});
    add_crash("s2", {make({"dead"}, "2")});
    crash_quarantine other([](std::uint64_t) { return false; });
    CPPUNIT_ASSERT(other.merge(*m_quarantine.make_digest(m_now), m_now).empty());
    CPPUNIT_ASSERT(other.judge(make({"dead"}, "3"), m_now) == content_verdict::refused);
    // Ages that no clock can have are cut.
    crash_quarantine strange([](std::uint64_t) { return false; });
    strange.merge({{{make({"x"}, "1").parts.front(), ~std::uint64_t{0}, true}}}, m_now);
    CPPUNIT_ASSERT(strange.judge(make({"x"}, "2"), m_now) == content_verdict::refused);
    // An entry that has seen an answer since the last crash knows better.
    m_now += seconds(2);
    crash_quarantine third([](std::uint64_t) { return false; });
    third.add_answer(make({"dead"}, "4"), m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         third.merge(*m_quarantine.make_digest(m_now), m_now).size());
    CPPUNIT_ASSERT(third.judge(make({"dead"}, "5"), m_now) == content_verdict::accepted);
  }

  /// Guards against all entries that try again at the same time, each at another server.
  void one_entry_tries_quarantined_content_again()
  {
    crash_quarantine owner([](std::uint64_t) { return true; });
    add_crash("s1", {make({"dead"}, "1"), make({"b"}, "b1")});
    add_crash("s2", {make({"dead"}, "2")});
    owner.merge(*m_quarantine.make_digest(m_now), m_now);
    m_now += seconds(29);
    CPPUNIT_ASSERT(owner.judge(make({"dead"}, "3"), m_now) == content_verdict::refused);
    m_now += seconds(2);
    CPPUNIT_ASSERT(owner.judge(make({"dead"}, "3"), m_now) == content_verdict::trial);
    CPPUNIT_ASSERT(judge({"dead"}) == content_verdict::refused);
    owner.add_own_crash(make_report("s3", {make({"dead"}, "3")}), m_now);
    CPPUNIT_ASSERT(owner.judge(make({"dead"}, "4"), m_now) == content_verdict::refused);
    // A second report of the same crash does not postpone the next trial.
    owner.add_crash(make_report("s3", {make({"dead"}, "x"), make({"dead"}, "y")}), m_now);
    m_now += seconds(31);
    CPPUNIT_ASSERT(owner.judge(make({"dead"}, "4"), m_now) == content_verdict::refused);
    m_now += seconds(31);
    CPPUNIT_ASSERT(owner.judge(make({"dead"}, "4"), m_now) == content_verdict::trial);
  }

  /// A request without shared parts that comes again and again.
  void repeated_request_is_refused_as_a_whole()
  {
    add_crash("s1", {make({}, "same"), make({}, "other")});
    add_crash("s2", {make({}, "same")});
    CPPUNIT_ASSERT(m_quarantine.judge(make({}, "same"), m_now) == content_verdict::refused);
    CPPUNIT_ASSERT(m_quarantine.judge(make({}, "other"), m_now) == content_verdict::accepted);
  }

  /// Guards against a request that comes again and again, and is tried each time that it has not
  /// crashed a server for a while.
  void failed_trials_of_content_that_only_comes_together_become_rare()
  {
    // Of all that the same request reaches servers after it has crashed three of them.
    constexpr unsigned max_trials = 3;
    crash_quarantine owner([](std::uint64_t) { return true; });
    const auto request = make({"f"}, "same");
    for (const auto* server : {"s1", "s2", "s3"})
    {
      owner.add_own_crash(make_report(server, {request}), m_now);
    }
    m_now += crash_settle_time;
    CPPUNIT_ASSERT(owner.evaluate(m_now));
    unsigned trials = 0;
    for (const auto end = m_now + seconds(120); m_now < end; m_now += milliseconds(500))
    {
      owner.evaluate(m_now);
      if (owner.judge(request, m_now) == content_verdict::trial)
      {
        owner.begin_trial(request);
        owner.end_trial(request);
        owner.add_own_crash(make_report("t" + std::to_string(++trials), {request}), m_now);
      }
    }
    CPPUNIT_ASSERT(trials > 0);
    CPPUNIT_ASSERT(trials <= max_trials);
  }

  /// Few requests with the part reach servers, however many come, and sound ones that share their
  /// other parts are served; also where some reports are lost.
  void tainted_part_costs_few_servers_of_a_fleet()
  {
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
      for (const double share : {0.02, 0.1, 0.3})
      {
        simulated_fleet fleet(20, 64, 0.02, seed);
        fleet.run(seconds(5), 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.crashes);
        fleet.run(seconds(8), share);
        const std::size_t crashes = fleet.crashes;
        fleet.run(seconds(20), share);
        // Those that are under way when the second crash becomes known come on top of the two.
        CPPUNIT_ASSERT(fleet.crashes <= 20);
        CPPUNIT_ASSERT(fleet.crashes - crashes <= 3);
        CPPUNIT_ASSERT(fleet.sound_refused * 50 <= fleet.sound_sent);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crash_quarantine_test, "Gateway.CrashQuarantine");

} // namespace
