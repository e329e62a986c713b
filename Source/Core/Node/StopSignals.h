#pragma once

#include "AsyncIo/EventLoop.h"

namespace pollenyoke::node
{

enum class signal_action
{
  note_reload,
  begin_stop,
  /// The stop goes on as it began.
  ignore,
  end_now,
};

/// Decides what the signals that a process gets ask of it.
class stop_signals
{
public:
  signal_action take(async_io::process_signal signal);

private:
  bool m_stopping = false;
  bool m_interrupted = false;
};

} // namespace pollenyoke::node
