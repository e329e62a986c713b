#include <cppunit/extensions/HelperMacros.h>

#include "Node/StopSignals.h"

namespace
{

using namespace pollenyoke::node;
using pollenyoke::async_io::process_signal;

class stop_signals_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(stop_signals_test);
  CPPUNIT_TEST(second_terminate_does_not_cut_the_stop);
  CPPUNIT_TEST(second_interrupt_ends_at_once);
  CPPUNIT_TEST(reload_changes_nothing);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an end at once, with all requests in progress, when SIGTERM comes again.
  void second_terminate_does_not_cut_the_stop()
  {
    stop_signals signals;
    CPPUNIT_ASSERT(signals.take(process_signal::terminate) == signal_action::begin_stop);
    CPPUNIT_ASSERT(signals.take(process_signal::terminate) == signal_action::ignore);
    CPPUNIT_ASSERT(signals.take(process_signal::interrupt) == signal_action::ignore);
    CPPUNIT_ASSERT(signals.take(process_signal::terminate) == signal_action::ignore);
  }

  void second_interrupt_ends_at_once()
  {
    stop_signals signals;
    CPPUNIT_ASSERT(signals.take(process_signal::interrupt) == signal_action::begin_stop);
    CPPUNIT_ASSERT(signals.take(process_signal::terminate) == signal_action::ignore);
    CPPUNIT_ASSERT(signals.take(process_signal::interrupt) == signal_action::end_now);
  }

  void reload_changes_nothing()
  {
    stop_signals signals;
    CPPUNIT_ASSERT(signals.take(process_signal::reload) == signal_action::note_reload);
    CPPUNIT_ASSERT(signals.take(process_signal::terminate) == signal_action::begin_stop);
    CPPUNIT_ASSERT(signals.take(process_signal::reload) == signal_action::note_reload);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(stop_signals_test, "Node.StopSignals");

} // namespace
