#include <cppunit/extensions/HelperMacros.h>

#include "StateFeed/CheckSchedule.h"
#include "StateFeed/FeedTiming.h"

namespace
{

using namespace pollenyoke::state_feed;
using std::chrono::milliseconds;

class check_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(check_schedule_test);
  CPPUNIT_TEST(lost_checks_are_repeated_within_the_longest_delay);
  CPPUNIT_TEST(checks_grow_rare_while_the_store_is_away);
  CPPUNIT_TEST(confirmed_records_are_checked_by_their_age);
  CPPUNIT_TEST(old_pages_do_not_make_checks_rare);
  CPPUNIT_TEST_SUITE_END();

  using time_point = check_schedule::time_point;

  static constexpr time_point start{milliseconds(100000)};

  /// When the check goes out that follows this many lost ones.
  static time_point next_check(const feed_timing& timing, unsigned lost)
  {
    check_schedule checks(timing.check_patience);
    for (unsigned i = 0; i < lost; ++i)
    {
      checks.note_sent(start, checks.due(start, timing.max_age));
    }
    return checks.due(start, timing.max_age);
  }

public:
  /// Guards against records that are older than the platform allows because one read after the
  /// other is lost on its way.
  void lost_checks_are_repeated_within_the_longest_delay()
  {
    for (const std::int64_t limit_ms : {500, 1000, 2000, 3000, 4000, 60000})
    {
      const feed_timing timing = make_feed_timing(milliseconds(limit_ms));
      for (const unsigned lost : {0U, 1U, 2U})
      {
        CPPUNIT_ASSERT(next_check(timing, lost) == start + longest_delay(timing, lost));
      }
      CPPUNIT_ASSERT(longest_delay(timing, 2) <= milliseconds(limit_ms) * 85 / 100);
    }
  }

  void checks_grow_rare_while_the_store_is_away()
  {
    const feed_timing timing;
    CPPUNIT_ASSERT(next_check(timing, 10) - next_check(timing, 9) >= 10 * timing.check_patience);
    CPPUNIT_ASSERT(next_check(timing, 30) - next_check(timing, 29) <= 16 * timing.check_patience);
  }

  void confirmed_records_are_checked_by_their_age()
  {
    const feed_timing timing;
    check_schedule checks(timing.check_patience);
    checks.note_sent(start, start + milliseconds(500));
    CPPUNIT_ASSERT(checks.is_repeated(start));
    CPPUNIT_ASSERT(!checks.is_repeated(start + milliseconds(500)));
    const auto confirmed = start + milliseconds(510);
    CPPUNIT_ASSERT(checks.due(confirmed, timing.poll_interval) == confirmed + timing.poll_interval);
  }

  /// Guards against agents that ask their peers ever more rarely though each of them answers: pages
  /// of processes are older than the request.
  void old_pages_do_not_make_checks_rare()
  {
    const feed_timing timing;
    check_schedule checks(timing.check_patience);
    time_point confirmed = start;
    time_point sent = start + timing.max_age;
    for (int i = 0; i < 8; ++i)
    {
      checks.note_sent(confirmed, sent);
      confirmed = sent - timing.max_age / 2;
      const auto next = checks.due(confirmed, timing.max_age);
      CPPUNIT_ASSERT(next == confirmed + timing.max_age);
      sent = next;
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(check_schedule_test, "StateFeed.CheckSchedule");

} // namespace
