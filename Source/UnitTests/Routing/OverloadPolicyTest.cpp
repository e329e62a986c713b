#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Routing/OverloadPolicy.h"

namespace
{

using namespace pollenyoke::routing;
using std::chrono::milliseconds;
using time_point = overload_policy::time_point;

const time_point t0 = time_point{} + std::chrono::hours(1);

time_point at(double ms)
{
  return t0 + std::chrono::duration_cast<time_point::duration>(
                  std::chrono::duration<double, std::milli>(ms));
}

/// Part of the demand in a replay.
struct traffic
{
  urgency rank;
  std::string team;
  double per_second = 0;
};

struct totals
{
  unsigned asked = 0;
  unsigned admitted = 0;
  unsigned on_time = 0;
  unsigned late = 0;

  double share_on_time() const
  {
    return static_cast<double>(on_time) / std::max(asked, 1U);
  }
  double share_admitted() const
  {
    return static_cast<double>(admitted) / std::max(asked, 1U);
  }
};

struct replay_settings
{
  std::vector<traffic> demand;
  bool with_policy = true;
  unsigned entries = 16;
};

/// Entries in front of servers that each run `slots` requests at a time and queue the others by
/// priority. Entries know the queues as they were 0.2 s before, and their own sends since.
class replay
{
public:
  explicit replay(replay_settings settings) : m_settings(std::move(settings))
  {
    m_policies.resize(m_settings.entries);
    m_own.assign(m_settings.entries, std::vector<std::deque<double>>(servers));
    for (const traffic& part : m_settings.demand)
    {
      m_known.push_back(part.rank);
    }
    std::sort(m_known.begin(), m_known.end());
    m_known.erase(std::unique(m_known.begin(), m_known.end()), m_known.end());
  }

  static constexpr unsigned servers = 8;
  static constexpr unsigned slots = 4;
  static constexpr double work_ms = 100;
  static constexpr double objective_ms = 400;
  /// Requests a second that all servers run.
  static constexpr double capacity = servers * slots * 1000 / work_ms;

  void run(double length_ms)
  {
    for (double now = 0; now < length_ms; now += step_ms)
    {
      for (const traffic& part : m_settings.demand)
      {
        std::poisson_distribution<int> arrivals(part.per_second * step_ms / 1000);
        for (int i = arrivals(m_random); i > 0; --i)
        {
          arrive(part, now);
        }
      }
      serve(now);
      m_history.push_back(queue_lengths());
    }
  }

  std::map<urgency, totals> by_urgency;
  std::map<std::string, totals> by_team;
  totals all;

private:
  static constexpr double step_ms = 2;
  static constexpr std::size_t report_age_steps = 100;

  struct request
  {
    const traffic* part = nullptr;
    double arrived = 0;
    unsigned entry = 0;
    overload_policy::ticket ticket = 0;
  };
  struct server
  {
    std::vector<double> busy_until;
    std::multimap<unsigned, request> queue;
  };

  std::vector<std::size_t> queue_lengths() const
  {
    std::vector<std::size_t> out;
    for (const server& one : m_servers)
    {
      out.push_back(one.queue.size() + one.busy_until.size());
    }
    return out;
  }

  void count(const traffic& part, unsigned totals::*what)
  {
    ++(by_urgency[part.rank].*what);
    ++(by_team[part.team].*what);
    ++(all.*what);
  }

  void arrive(const traffic& part, double now)
  {
    count(part, &totals::asked);
    const auto entry = static_cast<unsigned>(m_random() % m_settings.entries);
    // The better one of two servers, by the old report and the own sends.
    std::size_t chosen = 0;
    double shortest = 1e9;
    for (int draw = 0; draw < 2; ++draw)
    {
      const std::size_t drawn = m_random() % servers;
      auto& own = m_own[entry][drawn];
      while (!own.empty() && own.front() < now - static_cast<double>(report_age_steps) * step_ms)
      {
        own.pop_front();
      }
      const double reported =
          m_history.size() > report_age_steps
              ? static_cast<double>(m_history[m_history.size() - report_age_steps][drawn])
              : 0;
      const double length = reported + static_cast<double>(own.size());
      if (length < shortest)
      {
        shortest = length;
        chosen = drawn;
      }
    }
    const double wait = std::max(0.0, shortest + 1 - slots) / slots * work_ms;
    const admission_input input{.first_byte_ms = wait + work_ms / 2,
                                .wait_ms = wait,
                                .objective = milliseconds(static_cast<int>(objective_ms)),
                                .time_left = milliseconds(6000),
                                .time_limit = milliseconds(6000)};
    const demand what{.rank = part.rank, .team = part.team};
    overload_policy& policy = m_policies[entry];
    const admission_decision decision =
        m_settings.with_policy ? policy.decide(what, input, at(now)) : decide_admission(input);
    if (!decision.admitted)
    {
      policy.note_refused(what, refusal_kind::servers_full, at(now));
      return;
    }
    count(part, &totals::admitted);
    m_own[entry][chosen].push_back(now);
    const unsigned priority =
        m_settings.with_policy
            ? queue_priority(
                  {.goes_first = decision.goes_first, .rank = part.rank, .known = m_known})
            : 5;
    m_servers[chosen].queue.emplace(
        priority,
        request{&part, now, entry, policy.note_admitted(what, at(now + objective_ms), at(now))});
  }

  void serve(double now)
  {
    for (server& one : m_servers)
    {
      std::erase_if(one.busy_until, [now](double until) { return until <= now; });
      while (one.busy_until.size() < slots && !one.queue.empty())
      {
        const request next = one.queue.begin()->second;
        one.queue.erase(one.queue.begin());
        const double work = work_ms;
        one.busy_until.push_back(now + work);
        const double first_event = now + work / 2;
        m_policies[next.entry].note_answer(next.ticket, at(first_event));
        count(*next.part,
              first_event - next.arrived <= objective_ms ? &totals::on_time : &totals::late);
      }
    }
  }

  replay_settings m_settings;
  std::mt19937_64 m_random{7};
  std::vector<overload_policy> m_policies;
  std::vector<server> m_servers{servers};
  std::vector<std::vector<std::size_t>> m_history;
  std::vector<std::vector<std::deque<double>>> m_own;
  std::vector<urgency> m_known;
};

/// Admission, order and return of requests when there is more demand than room.
class overload_policy_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(overload_policy_test);
  CPPUNIT_TEST(resumed_streams_come_first_and_late_requests_last);
  CPPUNIT_TEST(urgencies_are_ordered_around_the_default_priority);
  CPPUNIT_TEST(admission_rejects_requests_that_would_be_late);
  CPPUNIT_TEST(callers_return_late_while_no_engine_has_weights);
  CPPUNIT_TEST(admission_keeps_responses_on_time_at_twice_the_capacity);
  CPPUNIT_TEST(refused_callers_return_after_a_short_overload);
  CPPUNIT_TEST(urgent_requests_are_served_first);
  CPPUNIT_TEST(requests_that_can_wait_do_not_starve);
  CPPUNIT_TEST(small_teams_keep_their_share_beside_a_large_one);
  CPPUNIT_TEST(nothing_is_held_back_without_overload);
  CPPUNIT_TEST(allowance_recovers_after_an_overload);
  CPPUNIT_TEST(refusals_without_a_server_hold_nothing_back);
  CPPUNIT_TEST(request_that_is_overdue_counts_before_its_answer);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against resumed streams that pause too long in the new server's queue, behind requests
  /// that could wait.
  void resumed_streams_come_first_and_late_requests_last()
  {
    const queue_input resumed_stream{
        .continues_stream = true, .waited = milliseconds(3000), .objective = milliseconds(400)};
    const queue_input fresh{.waited = milliseconds(30), .objective = milliseconds(400)};
    const queue_input late{.waited = milliseconds(700), .objective = milliseconds(400)};
    CPPUNIT_ASSERT(queue_priority(resumed_stream) < queue_priority(fresh));
    CPPUNIT_ASSERT(queue_priority(fresh) < queue_priority(late));
    CPPUNIT_ASSERT(queue_priority(late) <= 9);
  }

  void admission_rejects_requests_that_would_be_late()
  {
    admission_input input{.first_byte_ms = 100,
                          .objective = milliseconds(400),
                          .time_left = milliseconds(6000),
                          .time_limit = milliseconds(6000),
                          .random_fraction = 0.5};
    CPPUNIT_ASSERT(decide_admission(input).admitted);
    input.first_byte_ms = 900;
    input.wait_ms = 800;
    const auto rejected = decide_admission(input);
    CPPUNIT_ASSERT(!rejected.admitted);
    CPPUNIT_ASSERT(rejected.retry_after > milliseconds(0));
    CPPUNIT_ASSERT(rejected.retry_after < milliseconds(2500));
    // A long prompt at an idle engine is admitted: a retry would not be faster.
    input.wait_ms = 0;
    CPPUNIT_ASSERT(decide_admission(input).admitted);
    // A retried request that is already late gets spare capacity only.
    input = {.first_byte_ms = 250,
             .wait_ms = 150,
             .objective = milliseconds(400),
             .time_left = milliseconds(5000),
             .time_limit = milliseconds(6000)};
    CPPUNIT_ASSERT(!decide_admission(input).admitted);
    input.first_byte_ms.reset();
    CPPUNIT_ASSERT(!decide_admission(input).admitted);
  }

  /// Guards against callers that are refused twice while the fleet loads weights after a loss of
  /// power: they came back after 0.6 s, and most of them return only once.
  void callers_return_late_while_no_engine_has_weights()
  {
    constexpr milliseconds left{6000};
    admission_input input{.objective = milliseconds(400),
                          .time_left = left,
                          .time_limit = left,
                          .loads_weights = true};
    for (const double fraction : {0.0, 0.5, 0.99})
    {
      input.random_fraction = fraction;
      const auto decision = decide_admission(input);
      CPPUNIT_ASSERT(!decision.admitted);
      CPPUNIT_ASSERT(decision.retry_after <= left / 3);
      CPPUNIT_ASSERT(decision.retry_after >= left / 4);
    }
    // Servers without weights are usually back sooner.
    input.loads_weights = false;
    CPPUNIT_ASSERT(decide_admission(input).retry_after < milliseconds(1000));
  }

  /// Simulates a FIFO server at twice its capacity, with and without admission control. Without it
  /// the queue grows until nearly all responses are late.
  void admission_keeps_responses_on_time_at_twice_the_capacity()
  {
    constexpr double service_ms = 50;
    constexpr double interval_ms = service_ms / 2;
    constexpr double objective_ms = 400;
    constexpr int requests = 2000;
    const auto simulate = [&](bool with_admission)
    {
      double free_at = 0;
      int on_time = 0;
      for (int i = 0; i < requests; ++i)
      {
        const double now = i * interval_ms;
        const double wait = std::max(0.0, free_at - now);
        const admission_input input{.first_byte_ms = wait + service_ms,
                                    .wait_ms = wait,
                                    .objective = milliseconds(static_cast<int>(objective_ms)),
                                    .time_left = milliseconds(6000),
                                    .time_limit = milliseconds(6000)};
        if (with_admission && !decide_admission(input).admitted)
        {
          continue;
        }
        free_at = std::max(free_at, now) + service_ms;
        on_time += free_at - now <= objective_ms ? 1 : 0;
      }
      return on_time;
    };
    const int capacity = static_cast<int>(requests * interval_ms / service_ms);
    CPPUNIT_ASSERT(simulate(true) >= capacity * 95 / 100);
    CPPUNIT_ASSERT(simulate(false) < capacity / 10);
  }

  /// Guards against callers that are refused twice: during two seconds of overload, as while
  /// engines load new weights, they returned after 0.12 s each, and most of them return only once.
  void refused_callers_return_after_a_short_overload()
  {
    constexpr double service_ms = 50;
    constexpr milliseconds limit(6000);
    struct arrival
    {
      double sent_ms = 0;
      bool returned = false;
    };
    std::multimap<double, arrival> arrivals;
    int sent = 0;
    for (double at = 0; at < 10000;
         at += at >= 3000 && at < 5000 ? service_ms / 1.6 : service_ms / 0.7)
    {
      arrivals.emplace(at, arrival{at, false});
      ++sent;
    }
    refusal_average refusals;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> fraction(0, 1);
    double free_at = 0;
    int refused = 0;
    int refused_again = 0;
    int served = 0;
    while (!arrivals.empty())
    {
      const auto [now, next] = *arrivals.begin();
      arrivals.erase(arrivals.begin());
      const time_point time = t0 + std::chrono::duration_cast<time_point::duration>(
                                       std::chrono::duration<double, std::milli>(now));
      const double wait = std::max(0.0, free_at - now);
      const auto decision =
          decide_admission({.first_byte_ms = wait + service_ms,
                            .wait_ms = wait,
                            .objective = milliseconds(400),
                            .time_left = limit - milliseconds(static_cast<int>(now - next.sent_ms)),
                            .time_limit = limit,
                            .refused_share = refusals.share(time),
                            .random_fraction = fraction(random)});
      refusals.add(!decision.admitted, time);
      if (decision.admitted)
      {
        free_at = std::max(free_at, now) + service_ms;
        ++served;
      }
      else if (next.returned)
      {
        ++refused_again;
      }
      else
      {
        ++refused;
        arrivals.emplace(now + static_cast<double>(decision.retry_after.count()),
                         arrival{next.sent_ms, true});
      }
    }
    // Half of the refused callers find room when they return.
    CPPUNIT_ASSERT(refused_again * 2 <= refused);
    CPPUNIT_ASSERT_EQUAL(sent, served + refused_again);
  }

  /// Guards against urgencies that servers cannot tell apart, and against a change of the priority
  /// where a service has one urgency.
  void urgencies_are_ordered_around_the_default_priority()
  {
    const std::vector<urgency> one{{1, 1}};
    CPPUNIT_ASSERT_EQUAL(5U, queue_priority({.rank = {1, 1}, .known = one}));
    CPPUNIT_ASSERT_EQUAL(5U, queue_priority({.rank = {1, 1}}));
    std::vector<urgency> many;
    for (unsigned team = 0; team < 2; ++team)
    {
      for (unsigned route = 0; route < 3; ++route)
      {
        many.push_back({team, route});
      }
    }
    unsigned before = 1;
    for (const urgency& rank : many)
    {
      const unsigned priority = queue_priority({.rank = rank, .known = many});
      CPPUNIT_ASSERT(priority > before);
      before = priority;
    }
    const unsigned late = queue_priority({.waited = milliseconds(500),
                                          .objective = milliseconds(400),
                                          .rank = many.front(),
                                          .known = many});
    CPPUNIT_ASSERT(before < late);
    std::vector<urgency> very_many;
    for (unsigned route = 0; route < 40; ++route)
    {
      very_many.push_back({0, route});
      CPPUNIT_ASSERT(queue_priority({.rank = {0, route}, .known = very_many}) < late);
    }
  }

  /// Load pattern: demand of 1.5 times the capacity, a third of it urgent. Guards against servers
  /// that are full of what could wait while urgent requests are refused or late.
  void urgent_requests_are_served_first()
  {
    const auto play = [](bool with_policy)
    {
      replay run({.demand = {{{1, 0}, "a", 0.5 * replay::capacity},
                             {{1, 1}, "a", 0.5 * replay::capacity},
                             {{1, 2}, "a", 0.5 * replay::capacity}},
                  .with_policy = with_policy});
      run.run(20000);
      return run;
    };
    replay with = play(true);
    replay without = play(false);
    CPPUNIT_ASSERT(with.by_urgency[(urgency{1, 0})].share_on_time() >= 0.9);
    CPPUNIT_ASSERT(without.by_urgency[(urgency{1, 0})].share_on_time() < 0.8);
    const double first = with.by_urgency[(urgency{1, 0})].share_on_time();
    const double second = with.by_urgency[(urgency{1, 1})].share_on_time();
    const double third = with.by_urgency[(urgency{1, 2})].share_on_time();
    CPPUNIT_ASSERT(first > second && second > third);
    // The servers do as much as before.
    CPPUNIT_ASSERT(with.all.on_time >= without.all.on_time * 95 / 100);
  }

  /// Load pattern: the urgent demand alone exceeds the capacity. Each urgency keeps half of the
  /// share that all get.
  void requests_that_can_wait_do_not_starve()
  {
    replay run(
        {.demand = {{{1, 0}, "a", 1.5 * replay::capacity}, {{1, 2}, "a", 0.5 * replay::capacity}}});
    run.run(20000);
    const double all = run.all.share_admitted();
    CPPUNIT_ASSERT(run.by_urgency[(urgency{1, 2})].share_admitted() >= 0.5 * all);
    CPPUNIT_ASSERT(run.by_urgency[(urgency{1, 0})].share_admitted() >=
                   run.by_urgency[(urgency{1, 2})].share_admitted());
  }

  /// Load pattern: one team sends ten times as much as each of the others.
  void small_teams_keep_their_share_beside_a_large_one()
  {
    const auto play = [](bool with_policy)
    {
      std::vector<traffic> demand{{{1, 1}, "large", 1.2 * replay::capacity}};
      for (const char* team : {"a", "b", "c", "d", "e"})
      {
        demand.push_back({{1, 1}, team, 0.1 * replay::capacity});
      }
      replay run({.demand = demand, .with_policy = with_policy, .entries = 4});
      run.run(20000);
      return run;
    };
    replay with = play(true);
    replay without = play(false);
    for (const char* team : {"a", "b", "c", "d", "e"})
    {
      CPPUNIT_ASSERT(with.by_team[team].share_admitted() >
                     1.2 * with.by_team["large"].share_admitted());
      CPPUNIT_ASSERT(with.by_team[team].share_admitted() > without.by_team[team].share_admitted());
    }
    CPPUNIT_ASSERT(with.by_team["large"].share_admitted() >= 0.5 * with.all.share_admitted());
  }

  void nothing_is_held_back_without_overload()
  {
    replay run(
        {.demand = {{{1, 0}, "a", 0.2 * replay::capacity}, {{1, 2}, "b", 0.3 * replay::capacity}}});
    run.run(10000);
    CPPUNIT_ASSERT_EQUAL(run.all.asked, run.all.admitted);
    overload_policy policy;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, policy.wait_allowance({.rank = {1, 2}, .team = "b"}, t0), 0);
  }

  /// Guards against teams and urgencies that are held back after an overload has ended.
  void allowance_recovers_after_an_overload()
  {
    overload_policy policy;
    const demand urgent{.rank = {0, 0}, .team = "a"};
    const demand patient{.rank = {0, 2}, .team = "b"};
    for (int i = 0; i < 50; ++i)
    {
      policy.note_refused(urgent, refusal_kind::servers_full, at(20.0 * i));
      policy.note_admitted(patient, at(20.0 * i + 400), at(20.0 * i));
    }
    CPPUNIT_ASSERT(policy.wait_allowance(patient, at(1000)) < 0.1);
    CPPUNIT_ASSERT(policy.wait_allowance(urgent, at(1000)) > 0.5);
    CPPUNIT_ASSERT(policy.wait_allowance(patient, at(11000)) > 0.9);
  }

  /// Guards against requests that are held back although no server was full: urgent ones found none
  /// that they may use, for example in their region.
  void refusals_without_a_server_hold_nothing_back()
  {
    overload_policy policy;
    const demand urgent{.rank = {0, 0}, .team = "a"};
    const demand patient{.rank = {0, 2}, .team = "b"};
    for (int i = 0; i < 50; ++i)
    {
      policy.note_refused(urgent, refusal_kind::no_server, t0);
      (void)policy.note_admitted(patient, at(400), t0);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, policy.wait_allowance(patient, t0), 0);
  }

  /// Guards against lateness of urgent requests that is noticed only when the late answers arrive,
  /// seconds after the servers have filled up.
  void request_that_is_overdue_counts_before_its_answer()
  {
    overload_policy policy;
    const demand urgent{.rank = {0, 0}, .team = "a"};
    const demand patient{.rank = {0, 2}, .team = "a"};
    for (int i = 0; i < 20; ++i)
    {
      (void)policy.note_admitted(urgent, at(400), t0);
      policy.note_end(policy.note_admitted(patient, at(400), t0));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, policy.wait_allowance(patient, at(399)), 0.01);
    (void)policy.decide(patient, {.objective = milliseconds(400)}, at(401));
    CPPUNIT_ASSERT(policy.wait_allowance(patient, at(401)) < 0.5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, policy.wait_allowance(urgent, at(401)), 0.01);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, policy.counts().at({0, 0}).late);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, policy.counts().at({0, 2}).late);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(overload_policy_test, "Routing.OverloadPolicy");

} // namespace
