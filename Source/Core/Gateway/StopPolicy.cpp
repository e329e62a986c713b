#include "Gateway/StopPolicy.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Callers keep the answer of a lookup for two seconds or more.
constexpr milliseconds drain_notice_time{3300};
// Requests in progress are answered this long before the platform would kill the process, or a
// sixth of the grace time if that is shorter.
constexpr milliseconds max_answer_margin{700};
// Time for the last system calls; answers that callers still read, and streams, go on until then.
constexpr milliseconds max_exit_margin{200};
constexpr int shortest_exit_share = 16;
// Requests that were sent within 3 s of SIGTERM may be cut at the end of the grace time, as callers
// cannot know of the stop yet; a process that is short of processor time sees SIGTERM a little
// later than it was sent.
constexpr milliseconds unconditional_time{2700};

} // namespace

bool has_given_notice(milliseconds since_stop)
{
  return since_stop >= drain_notice_time;
}

bool must_answer(milliseconds since_stop, milliseconds grace)
{
  return since_stop >= grace - std::min(max_answer_margin, grace / 6);
}

bool must_end(milliseconds since_stop, milliseconds grace)
{
  return since_stop >= grace - std::min(max_exit_margin, grace / shortest_exit_share);
}

bool accepts_request(const late_request& request)
{
  return request.since_stop < unconditional_time ||
         !must_answer(request.since_stop + request.time_limit, request.grace);
}

bool may_wait(milliseconds since_stop)
{
  return since_stop < unconditional_time;
}

} // namespace pollenyoke::gateway
