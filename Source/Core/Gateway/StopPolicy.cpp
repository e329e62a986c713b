#include "Gateway/StopPolicy.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Callers keep the answer of a lookup for two seconds or more.
constexpr milliseconds drain_notice_time{3300};
// The process exits this long before the platform would kill it, or a sixth of the grace time if
// that is shorter.
constexpr milliseconds max_exit_margin{700};
// Requests that were sent within 3 s of SIGTERM may be cut at the end of the grace time, as callers
// cannot know of the stop yet; a process that is short of processor time sees SIGTERM a little
// later than it was sent.
constexpr milliseconds unconditional_time{2700};

} // namespace

bool has_given_notice(milliseconds since_stop)
{
  return since_stop >= drain_notice_time;
}

bool must_end(milliseconds since_stop, milliseconds grace)
{
  return since_stop >= grace - std::min(max_exit_margin, grace / 6);
}

bool accepts_request(const late_request& request)
{
  return request.since_stop < unconditional_time ||
         !must_end(request.since_stop + request.time_limit, request.grace);
}

} // namespace pollenyoke::gateway
