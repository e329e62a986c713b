#pragma once

#include <chrono>

#include "Routing/FairQueue.h"
#include "Routing/ServiceEstimate.h"

namespace pollenyoke::routing
{

/// True if the request would have to queue and is then estimated to end after its deadline.
bool would_miss_deadline(const fair_queue& queue, const service_estimate& estimate,
                         const waiting_request& request, std::chrono::steady_clock::time_point now);

/// True if a request that is about to be dispatched is estimated to end after its deadline.
bool is_too_late(const service_estimate& estimate, const waiting_request& request,
                 std::chrono::steady_clock::time_point now);

} // namespace pollenyoke::routing
