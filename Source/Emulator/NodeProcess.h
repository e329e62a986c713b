#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Common/Result.h"

namespace pollenyoke::emulator
{

/// One process of the system. Ends with this object.
class node_process
{
public:
  /// `command`: program and arguments. Output is appended to the file `log`.
  node_process(std::vector<std::string> command, std::string log);
  ~node_process();
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  node_process(node_process&&) = delete;
  node_process& operator=(node_process&&) = delete;

  /// Returns once the program runs. One that cannot be run ends with status 127.
  result<void> start();
  void signal(int number);
  /// True while the process has not been found to have ended.
  bool is_running() const
  {
    return m_pid > 0;
  }
  /// How the process ended, once, if it has ended since the last call.
  std::optional<std::string> poll_end();
  /// Resident memory; 0 if it cannot be read.
  std::uint64_t resident_bytes() const;

private:
  std::vector<std::string> m_command;
  std::string m_log;
  pid_t m_pid = -1;
};

} // namespace pollenyoke::emulator
