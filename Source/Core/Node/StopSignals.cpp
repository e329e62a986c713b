#include "Node/StopSignals.h"

#include <utility>

namespace pollenyoke::node
{

/// Platforms send SIGTERM more than once: to a process group, from several operators, in a series
/// of stops that overlaps the one before. Only a person at a terminal asks for an end at once, with
/// a second interrupt.
signal_action stop_signals::take(async_io::process_signal signal)
{
  if (signal == async_io::process_signal::reload)
  {
    return signal_action::note_reload;
  }
  const bool interrupted_before = m_interrupted;
  m_interrupted = m_interrupted || signal == async_io::process_signal::interrupt;
  if (!std::exchange(m_stopping, true))
  {
    return signal_action::begin_stop;
  }
  return interrupted_before && signal == async_io::process_signal::interrupt
             ? signal_action::end_now
             : signal_action::ignore;
}

} // namespace pollenyoke::node
