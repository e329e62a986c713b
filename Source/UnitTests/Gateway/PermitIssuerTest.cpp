#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Gateway/PermitIssuer.h"
#include "Gateway/ServerNotices.h"

namespace
{

using namespace pollenyoke::gateway;
using std::chrono::duration;
using std::chrono::seconds;

/// Entries whose callers want more requests of one limited server than it takes. Each entry asks as
/// a request arrives, unless it was told to ask later.
class limited_fleet
{
public:
  struct traits
  {
    unsigned entries = 1;
    double limit = 1;
    /// Requests a second, as a multiple of the limit.
    double demand = 3;
    /// How long a request can wait for its turn.
    milliseconds patience{0};
    /// Share of the permits that do not arrive.
    double lost_share = 0;
  };

  explicit limited_fleet(const traits& what) : m_traits(what), m_entries(what.entries)
  {
    for (server_notices& entry : m_entries)
    {
      (void)entry.name_limit("s", 1, what.limit, time_point{}, time_point{});
    }
  }

  void run(duration<double> length)
  {
    std::exponential_distribution<double> gap(m_traits.demand * m_traits.limit);
    std::uniform_int_distribution<std::size_t> entry(0, m_entries.size() - 1);
    for (double at = 1 + gap(m_random); at < 1 + length.count(); at += gap(m_random))
    {
      ask(entry(m_random), time_point{} + to_ms(at));
    }
  }

  /// Requests that the server got, as a share of those that its limit allows in this time.
  double used_share(duration<double> length) const
  {
    return static_cast<double>(m_arrivals.size()) / (m_traits.limit * length.count());
  }

  /// Most requests in 4 s, as a share of those that the rule allows.
  double worst_share() const
  {
    auto arrivals = m_arrivals;
    std::sort(arrivals.begin(), arrivals.end());
    std::ptrdiff_t most = 0;
    for (auto last = arrivals.begin(); last != arrivals.end(); ++last)
    {
      const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), *last - seconds(4));
      most = std::max(most, last + 1 - first);
    }
    return static_cast<double>(most) / (1.5 * 4 * m_traits.limit + 5);
  }

private:
  static milliseconds to_ms(double s)
  {
    return milliseconds(static_cast<std::int64_t>(s * 1000));
  }

  double fraction()
  {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  void ask(std::size_t number, time_point now)
  {
    server_notices& entry = m_entries[number];
    if (entry.closed_until("s", 1, now))
    {
      return;
    }
    const permit_query query{.asker = std::to_string(number),
                             .server = "s",
                             .started_ms = 1,
                             .limit = m_traits.limit,
                             .heard_ago = milliseconds(100),
                             .patience = m_traits.patience};
    const auto decision = m_issuer.decide(query, fraction(), now);
    if (!decision.granted)
    {
      entry.put_off("s", 1, now + decision.ask_again_in);
      return;
    }
    if (fraction() >= m_traits.lost_share)
    {
      // A permit is used up to 0.45 s after it was granted.
      const double way = fraction() < 0.1 ? fraction() * 0.45 : 0.005;
      m_arrivals.push_back(now + decision.send_in + to_ms(way));
    }
  }

  traits m_traits;
  std::vector<server_notices> m_entries;
  permit_issuer m_issuer;
  std::vector<time_point> m_arrivals;
  std::mt19937_64 m_random{45};
};

class permit_issuer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(permit_issuer_test);
  CPPUNIT_TEST(few_and_many_entries_use_most_of_a_limit_and_keep_it);
  CPPUNIT_TEST(lost_permits_cost_no_more_than_themselves);
  CPPUNIT_TEST(first_permits_of_many_entries_do_not_add_up);
  CPPUNIT_TEST(request_gets_a_turn_that_it_can_wait_for);
  CPPUNIT_TEST(newest_limit_counts);
  CPPUNIT_TEST(server_that_takes_nothing_gets_a_request_now_and_then);
  CPPUNIT_TEST_SUITE_END();

  static permit_query query(const std::string& asker, double limit, milliseconds heard_ago = {},
                            milliseconds patience = {})
  {
    return {.asker = asker,
            .server = "s",
            .started_ms = 1,
            .limit = limit,
            .heard_ago = heard_ago,
            .patience = patience};
  }

  unsigned count_granted(permit_issuer& issuer, double limit, time_point from, seconds length)
  {
    unsigned granted = 0;
    for (time_point now = from; now < from + length; now += milliseconds(20))
    {
      granted += issuer.decide(query("a", limit), 0.5, now).granted ? 1U : 0U;
    }
    return granted;
  }

public:
  /// The users' aim is 80 percent of a limit, with any number of entries, and never more than the
  /// rule allows. Guards against shares of a limit that entries hold by themselves.
  void few_and_many_entries_use_most_of_a_limit_and_keep_it()
  {
    constexpr seconds length{300};
    for (const unsigned entries : {1U, 20U, 300U})
    {
      for (const double limit : {0.5, 1.0, 1.7, 8.0, 60.0})
      {
        for (const double demand : {2.0, 10.0})
        {
          for (const int patience_ms : {0, 150})
          {
            limited_fleet fleet({.entries = entries,
                                 .limit = limit,
                                 .demand = demand,
                                 .patience = milliseconds(patience_ms)});
            fleet.run(length);
            const std::string what = std::to_string(entries) + " entries, limit " +
                                     std::to_string(limit) + ", demand " + std::to_string(demand) +
                                     ", patience " + std::to_string(patience_ms) + ": used " +
                                     std::to_string(fleet.used_share(length)) + ", worst span " +
                                     std::to_string(fleet.worst_share());
            CPPUNIT_ASSERT_MESSAGE(what, fleet.used_share(length) >= 0.8);
            CPPUNIT_ASSERT_MESSAGE(what, fleet.worst_share() <= 1);
          }
        }
      }
    }
  }

  void lost_permits_cost_no_more_than_themselves()
  {
    constexpr seconds length{300};
    limited_fleet fleet({.entries = 20, .limit = 1.7, .demand = 4, .lost_share = 0.1});
    fleet.run(length);
    CPPUNIT_ASSERT(fleet.used_share(length) >= 0.8 * 0.9);
  }

  /// Guards against a permit for each entry at the moment at which a limit is named.
  void first_permits_of_many_entries_do_not_add_up()
  {
    permit_issuer issuer;
    unsigned granted = 0;
    for (unsigned entry = 0; entry < 300; ++entry)
    {
      granted += issuer.decide(query(std::to_string(entry), 1), 0.5, time_point{}).granted ? 1U : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1U, granted);
  }

  void request_gets_a_turn_that_it_can_wait_for()
  {
    permit_issuer issuer;
    const time_point now{};
    CPPUNIT_ASSERT(issuer.decide(query("a", 4), 0, now).granted);
    const auto waits = issuer.decide(query("b", 4, {}, milliseconds(300)), 0, now);
    CPPUNIT_ASSERT(waits.granted && waits.send_in == milliseconds(250));
    const auto too_late = issuer.decide(query("c", 4, {}, milliseconds(300)), 0, now);
    CPPUNIT_ASSERT(!too_late.granted && too_late.ask_again_in >= milliseconds(500));
  }

  /// Guards against an entry that has missed a change and asks with the limit of before.
  void newest_limit_counts()
  {
    permit_issuer issuer;
    const time_point start{};
    CPPUNIT_ASSERT(issuer.decide(query("a", 100), 0, start).granted);
    (void)issuer.decide(query("b", 1), 0, start + seconds(1));
    unsigned granted = 0;
    for (int i = 0; i < 200; ++i)
    {
      const time_point now = start + seconds(2) + milliseconds(20 * i);
      granted += issuer.decide(query("a", 100, seconds(10)), 0, now).granted ? 1U : 0U;
    }
    CPPUNIT_ASSERT(granted <= 6);
    CPPUNIT_ASSERT(count_granted(issuer, 20, start + seconds(10), seconds(4)) >= 64);
  }

  void server_that_takes_nothing_gets_a_request_now_and_then()
  {
    permit_issuer issuer;
    const unsigned granted = count_granted(issuer, 0, time_point{}, seconds(40));
    CPPUNIT_ASSERT(granted >= 8 && granted <= 12);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(permit_issuer_test, "Gateway.PermitIssuer");

} // namespace
