#include <cppunit/extensions/HelperMacros.h>

#include "Peers/ReportClock.h"

namespace
{

using namespace pollenyoke::peers;
using std::chrono::milliseconds;
using std::chrono::seconds;
using time_point = report_clock::time_point;

/// Guards against an old report that counts as new because it has only just been read.
class report_clock_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(report_clock_test);
  CPPUNIT_TEST(delays_beyond_the_smallest_one_show);
  CPPUNIT_TEST(reports_read_after_a_freeze_are_old);
  CPPUNIT_TEST(overtaken_report_is_recognized);
  CPPUNIT_TEST(new_run_of_the_sender_has_its_own_clock);
  CPPUNIT_TEST(runs_on_a_host_that_stayed_up_share_a_clock);
  CPPUNIT_TEST(stamps_may_wrap_around);
  CPPUNIT_TEST(drift_of_the_clocks_does_not_add_up);
  CPPUNIT_TEST_SUITE_END();

  const time_point m_start = time_point{} + std::chrono::hours(5);
  report_clock m_clock;

  std::optional<milliseconds> age(std::uint32_t made_ms, milliseconds read_at,
                                  std::uint16_t run = 1, bool same_boot = false)
  {
    return m_clock.age({.run = run, .made_ms = made_ms}, same_boot, m_start + read_at);
  }

public:
  void delays_beyond_the_smallest_one_show()
  {
    CPPUNIT_ASSERT(age(1000, milliseconds(0)) == milliseconds(0));
    CPPUNIT_ASSERT(age(1100, milliseconds(130)) == milliseconds(30));
    CPPUNIT_ASSERT(age(1200, milliseconds(195)) == milliseconds(0));
    CPPUNIT_ASSERT(age(1300, milliseconds(300)) == milliseconds(5));
  }

  void reports_read_after_a_freeze_are_old()
  {
    CPPUNIT_ASSERT(age(1000, milliseconds(0)));
    for (std::uint32_t sent = 100; sent <= 4000; sent += 100)
    {
      CPPUNIT_ASSERT(age(1000 + sent, milliseconds(4000)) == milliseconds(4000 - sent));
    }
  }

  void overtaken_report_is_recognized()
  {
    CPPUNIT_ASSERT(age(1000, milliseconds(0)));
    CPPUNIT_ASSERT(age(1200, milliseconds(200)));
    CPPUNIT_ASSERT(!age(1100, milliseconds(210)));
    // Two ways to this process, or a change between two polls of the engine.
    CPPUNIT_ASSERT(age(1200, milliseconds(220)) == milliseconds(20));
  }

  void new_run_of_the_sender_has_its_own_clock()
  {
    CPPUNIT_ASSERT(age(900'000, milliseconds(0)));
    CPPUNIT_ASSERT(age(500, milliseconds(3000), 2) == milliseconds(0));
    CPPUNIT_ASSERT(age(600, milliseconds(3150), 2) == milliseconds(50));
  }

  /// Guards against the first report of a run that counts as fresh although it has waited, and
  /// against a late one of the run before.
  void runs_on_a_host_that_stayed_up_share_a_clock()
  {
    CPPUNIT_ASSERT(age(1000, milliseconds(0)));
    CPPUNIT_ASSERT(age(2000, milliseconds(4000), 2, true) == milliseconds(3000));
    CPPUNIT_ASSERT(!age(1500, milliseconds(4010), 1, true));
    CPPUNIT_ASSERT(age(5010, milliseconds(4020), 2, true) == milliseconds(10));
  }

  void stamps_may_wrap_around()
  {
    const std::uint32_t last = ~std::uint32_t{0};
    CPPUNIT_ASSERT(age(last - 50, milliseconds(0)));
    CPPUNIT_ASSERT(age(49, milliseconds(120)) == milliseconds(20));
  }

  void drift_of_the_clocks_does_not_add_up()
  {
    std::int64_t read_ms = 0;
    for (std::uint32_t sent = 0; sent < 4'000'000; sent += 100)
    {
      // The sender's clock is slower by 200 ppm.
      read_ms = static_cast<std::int64_t>(sent) + sent / 5000;
      CPPUNIT_ASSERT(age(1000 + sent, milliseconds(read_ms)) <= milliseconds(10));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(report_clock_test, "Peers.ReportClock");

} // namespace
