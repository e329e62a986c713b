#pragma once

#include <chrono>
#include <cstdint>

namespace pollenyoke::routing
{

/// Estimates run and wait times from the average time that a backend server takes for a unit of
/// work (see waiting_request::cost). Not thread-safe.
class service_estimate
{
public:
  explicit service_estimate(std::uint32_t slots);

  /// Records a finished request.
  void add(std::uint32_t cost, std::chrono::duration<double> elapsed);

  /// Estimated run time of a request of this cost; 0 without any recorded request.
  std::chrono::duration<double> run_time(std::uint32_t cost) const;
  /// Estimated time until `work` queued units have been dispatched, if all slots are busy.
  std::chrono::duration<double> wait_time(std::uint64_t work) const;

private:
  const std::uint32_t m_slots;
  // Exponentially decayed sums, so that requests are weighted by their cost.
  double m_decayed_seconds = 0;
  double m_decayed_cost = 0;
};

} // namespace pollenyoke::routing
