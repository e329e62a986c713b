#pragma once

#include <chrono>

namespace pollenyoke::gateway
{

// Agents report every 100 ms. An older report is less accurate than this process's own count of
// requests in flight.
constexpr std::chrono::milliseconds load_report_lifetime{700};
// An engine replaces its layers 0.3 s after the order at the earliest, so an older report does not
// prove that it still holds them.
constexpr std::chrono::milliseconds partial_report_lifetime{250};

} // namespace pollenyoke::gateway
