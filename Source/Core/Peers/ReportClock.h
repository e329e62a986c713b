#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace pollenyoke::peers
{

/// When a report was made, by the clock of its sender.
struct report_stamp
{
  /// Drawn by each run of a sending process; 0 if the report bears no stamp.
  std::uint16_t run = 0;
  /// Boot time of the host, in ms, modulo 2^32.
  std::uint32_t made_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(run, made_ms);
  }
};

/// Tells how old the reports of one sender are when they are read, without a common clock: the
/// fastest report of the last while sets the difference of the two clocks. Delays of the sender,
/// the network, forwarding processes and the receiver count alike; what all reports have in common
/// does not show. Time is passed in. Not thread-safe.
class report_clock
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Age of a report that is read now, in ms; empty if a later report has been read before.
  /// `same_boot`: the host has not started since the report before.
  std::optional<std::chrono::milliseconds> age(const report_stamp& stamp, bool same_boot,
                                               time_point now);

private:
  std::uint16_t m_run = 0;
  std::uint32_t m_last_made_ms = 0;
  /// Smallest differences of the clocks, modulo 2^32, in the current and the previous period.
  std::uint32_t m_smallest = 0;
  std::uint32_t m_previous_smallest = 0;
  time_point m_period_begun{};
};

} // namespace pollenyoke::peers
