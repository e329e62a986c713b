#include "Membership/ControlBudget.h"

#include <algorithm>

namespace pollenyoke::membership
{

using std::chrono::milliseconds;

double heartbeat_budget(const protocol::control_settings& control, std::size_t connections)
{
  const double left = control_bytes_per_s - other_control_bytes_per_s -
                      static_cast<double>(connections) * connection_bytes_per_s;
  // A setting above the limit is meant for small fleets and tests; it replaces the limit.
  if (control.heartbeat_bytes_per_s > control_bytes_per_s)
  {
    return control.heartbeat_bytes_per_s;
  }
  return std::min(std::max(left, least_heartbeat_bytes_per_s), control.heartbeat_bytes_per_s);
}

milliseconds heartbeat_interval(const protocol::control_settings& control, const control_load& load)
{
  const double seconds = static_cast<double>(load.watched + load.subscribers) * heartbeat_bytes /
                         heartbeat_budget(control, load.connections);
  const milliseconds needed(static_cast<milliseconds::rep>(
      std::min(seconds * 1000, static_cast<double>(control.max_heartbeat_interval.count()))));
  return std::clamp(needed, control.heartbeat_interval, control.max_heartbeat_interval);
}

} // namespace pollenyoke::membership
