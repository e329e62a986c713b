#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Emulator/DelayedCalls.h"
#include "Emulator/Deployment.h"
#include "Emulator/NodeProcess.h"
#include "Emulator/Recorder.h"

namespace pollenyoke::emulator
{

/// The processes of the system: started from filled templates, restarted when they end, and sent
/// signals. Records what happens to them.
class process_fleet
{
public:
  process_fleet(async_io::event_loop& loop, recorder& record, const rule_bounds& bounds,
                std::uint64_t memory_limit_bytes);

  result<void> add(const machine& at, std::vector<std::string> command, const std::string& log);
  void start_watching();
  void kill(const std::string& machine);
  void kill_all();
  /// Sends SIGTERM, also to a process that stops already. A process that does not end within the
  /// grace time of the first one is killed.
  void stop(const std::string& machine);
  void pause(const std::string& machine, std::chrono::nanoseconds time);
  void reload(const std::string& machine);
  /// Ends all processes for good.
  void shut_down();
  /// Longest time from a SIGKILL to the end of the process: only the machine can delay it.
  std::chrono::milliseconds longest_end() const
  {
    return m_longest_end;
  }

private:
  struct member
  {
    std::unique_ptr<node_process> process;
    /// The end of the process was asked for.
    bool end_expected = false;
    bool paused = false;
    moment started_at = 0;
    std::optional<moment> killed_at;
    /// Numbers of the SIGTERMs that the process got.
    std::vector<std::size_t> stops;
    std::optional<std::size_t> disturbance;
    std::uint64_t peak_bytes = 0;
  };

  void start(const std::string& machine, member& of);
  void watch();
  void handle_end(const std::string& machine, member& of, const std::string& reason);
  void begin_disturbance(const std::string& machine, member& of);
  void end_disturbance(member& of);
  void kill_now(member& target);
  void enforce_grace(const std::string& machine, std::size_t stop);

  recorder& m_record;
  rule_bounds m_bounds;
  std::uint64_t m_memory_limit_bytes;
  delayed_calls m_later;
  std::map<std::string, member> m_members;
  std::chrono::milliseconds m_longest_end{0};
  bool m_recovering = false;
  bool m_shut_down = false;
};

} // namespace pollenyoke::emulator
