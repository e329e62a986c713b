#include "Routing/Admission.h"

namespace pollenyoke::routing
{

namespace
{

bool ends_late(const waiting_request& request, std::chrono::duration<double> needed,
               std::chrono::steady_clock::time_point now)
{
  return request.deadline != std::chrono::steady_clock::time_point::max() &&
         request.deadline - now < needed;
}

} // namespace

// The estimate is ignored if no requests are waiting: it may be out of date and is updated only by
// requests that run.
bool would_miss_deadline(const fair_queue& queue, const service_estimate& estimate,
                         const waiting_request& request, std::chrono::steady_clock::time_point now)
{
  return queue.size() != 0 && ends_late(request,
                                        estimate.wait_time(queue.work_before(
                                            request.team, request.priority, request.cost)) +
                                            estimate.run_time(request.cost),
                                        now);
}

bool is_too_late(const service_estimate& estimate, const waiting_request& request,
                 std::chrono::steady_clock::time_point now)
{
  return ends_late(request, estimate.run_time(request.cost), now);
}

} // namespace pollenyoke::routing
