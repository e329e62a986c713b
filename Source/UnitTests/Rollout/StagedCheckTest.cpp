#include <cppunit/extensions/HelperMacros.h>

#include "Rollout/StagedCheck.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;

/// Guards against an order that rests on an old check of the staged pieces.
class staged_check_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(staged_check_test);
  CPPUNIT_TEST(order_is_accepted_within_the_tolerance);
  CPPUNIT_TEST(check_holds_for_one_start_of_the_engine);
  CPPUNIT_TEST(acceptance_behind_the_tolerance_is_not_covered);
  CPPUNIT_TEST(every_layer_is_dropped_before_it_is_loaded_again);
  CPPUNIT_TEST_SUITE_END();

  const boot_clock::time_point m_begun = boot_clock::now();
  const staged_check m_check{m_begun, 7};

public:
  void order_is_accepted_within_the_tolerance()
  {
    for (milliseconds age{0}; age < milliseconds(6000); age += milliseconds(10))
    {
      if (m_check.allows_order(7, m_begun + age))
      {
        const auto limit = m_check.order_time_limit(m_begun + age);
        CPPUNIT_ASSERT(limit >= milliseconds(1000));
        CPPUNIT_ASSERT(age + limit <= spoilage_tolerance);
      }
    }
    CPPUNIT_ASSERT(m_check.allows_order(7, m_begun));
    CPPUNIT_ASSERT(!m_check.allows_order(7, m_begun + milliseconds(2500)));
  }

  void check_holds_for_one_start_of_the_engine()
  {
    CPPUNIT_ASSERT(!m_check.allows_order(8, m_begun));
  }

  void acceptance_behind_the_tolerance_is_not_covered()
  {
    CPPUNIT_ASSERT(m_check.covers(m_begun + spoilage_tolerance));
    CPPUNIT_ASSERT(!m_check.covers(m_begun + spoilage_tolerance + milliseconds(1)));
  }

  void every_layer_is_dropped_before_it_is_loaded_again()
  {
    constexpr unsigned model_layers = 12;
    for (unsigned from = 0; from < model_layers; ++from)
    {
      for (unsigned to = from + 1; to <= model_layers; ++to)
      {
        check_reload({from, to}, model_layers);
      }
    }
    check_reload({0, 1}, 1);
  }

private:
  static void check_reload(const protocol::layer_range& layers, unsigned model_layers)
  {
    for (const std::uint64_t version : {1U, 2U, 7U})
    {
      const auto steps = reload_steps(version, layers, model_layers);
      CPPUNIT_ASSERT(!steps.empty());
      CPPUNIT_ASSERT(steps.back() == make_load_step(version, layers));
      for (unsigned layer = layers.from; layer < layers.to; ++layer)
      {
        bool dropped = false;
        bool loaded_again = false;
        for (const auto& step : steps)
        {
          CPPUNIT_ASSERT(!step.layers.is_empty() && step.layers.to <= model_layers);
          CPPUNIT_ASSERT(step.version > 0 && step.piece_version == version);
          const bool held = step.version == version && step.layers.contains({layer, layer + 1});
          loaded_again = loaded_again || (dropped && held);
          dropped = dropped || !held;
        }
        CPPUNIT_ASSERT(loaded_again);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(staged_check_test, "Rollout.StagedCheck");

} // namespace
