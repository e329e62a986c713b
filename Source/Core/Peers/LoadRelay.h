#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// Longest time that a report waits for others before it is forwarded with them.
constexpr std::chrono::milliseconds load_batch_interval{100};
// Keeps a datagram below the usual MTU of 1,500 bytes.
constexpr std::size_t max_loads_per_batch = 14;

/// Collects the load reports that an entry forwards to its failure domain. The caller passes the
/// current time and sends the batches. Not thread-safe.
class load_relay
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Replaces an earlier report of the engine. Returns true if it is the first one of a batch,
  /// which is then due after `load_batch_interval`.
  bool add(const load_message& load, time_point now);
  /// Takes the collected reports, each with the time that it has waited.
  std::vector<load_batch> take(time_point now);

private:
  struct pending_load
  {
    load_message load;
    time_point received{};
  };

  std::map<std::string, pending_load> m_pending;
};

} // namespace pollenyoke::peers
