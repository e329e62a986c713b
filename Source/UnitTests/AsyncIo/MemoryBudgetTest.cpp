#include <map>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "AsyncIo/MemoryBudget.h"

namespace
{

using namespace pollenyoke::async_io;
using std::chrono::seconds;

const memory_budget::time_point t0 = memory_budget::time_point{} + std::chrono::hours(1);
constexpr std::size_t megabyte = 1U << 20U;

class memory_budget_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(memory_budget_test);
  CPPUNIT_TEST(longest_without_progress_is_closed_first);
  CPPUNIT_TEST(requests_in_progress_are_not_closed);
  CPPUNIT_TEST(sum_stays_within_the_limit);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an ordinary upload that is cut because it came later than those that stand
  /// still.
  void longest_without_progress_is_closed_first()
  {
    memory_budget budget(10 * megabyte, 100);
    const auto stalled = budget.add(t0);
    budget.set(stalled, 4 * megabyte, true);
    const auto active = budget.add(t0 + seconds(5));
    budget.set(active, 5 * megabyte, true);
    CPPUNIT_ASSERT(!budget.next_to_close(0, t0 + seconds(5)));
    const auto ordinary = budget.add(t0);
    budget.set(ordinary, 2000, true);
    const auto late = budget.add(t0 + seconds(6));
    budget.set(late, 2 * megabyte, true);
    CPPUNIT_ASSERT(budget.next_to_close(0, t0 + seconds(6)) == stalled);
    budget.remove(stalled);
    CPPUNIT_ASSERT(!budget.next_to_close(0, t0 + seconds(6)));
    // Room for a request is made before it is refused.
    budget.note_progress(active, t0 + seconds(20));
    CPPUNIT_ASSERT(budget.next_to_close(8 * megabyte, t0 + seconds(21)) == late);
  }

  /// Guards against answers that are cut although their callers read them.
  void requests_in_progress_are_not_closed()
  {
    memory_budget budget(10 * megabyte, 100);
    const auto request = budget.add(t0);
    budget.set(request, 12 * megabyte, false);
    CPPUNIT_ASSERT(!budget.next_to_close(0, t0 + seconds(100)));
    CPPUNIT_ASSERT(!budget.fits(megabyte));
    CPPUNIT_ASSERT(budget.fits(1000));
  }

  /// Whatever clients do: once nothing more is to be closed, the sum is within the limit, but for
  /// requests in progress and connections that hold as little as an ordinary request.
  void sum_stays_within_the_limit()
  {
    const bool holds = rc::check(
        [](const std::vector<std::tuple<unsigned, unsigned, bool>>& steps)
        {
          memory_budget budget(4 * megabyte, 64);
          std::vector<memory_budget::holder_id> holders;
          std::map<memory_budget::holder_id, std::size_t> spared;
          auto now = t0;
          for (const auto& [number, size, is_waiting] : steps)
          {
            now += std::chrono::milliseconds(number % 1000);
            if (holders.empty() || number % 3 == 0)
            {
              holders.push_back(budget.add(now));
            }
            const auto holder = holders[number % holders.size()];
            const std::size_t bytes = size % (3 * megabyte);
            budget.set(holder, bytes, is_waiting);
            spared.erase(holder);
            budget.note_progress(holder, now);
            if (!is_waiting || bytes <= 65536)
            {
              spared[holder] = bytes;
            }
            while (const auto closed = budget.next_to_close(0, now))
            {
              RC_ASSERT(!spared.contains(*closed));
              budget.remove(*closed);
              std::erase(holders, *closed);
            }
            std::size_t exempt = 0;
            for (const auto& [id, held] : spared)
            {
              exempt += held;
            }
            RC_ASSERT(budget.total() <= std::max(budget.limit(), exempt));
          }
        });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(memory_budget_test, "AsyncIo.MemoryBudget");

} // namespace
