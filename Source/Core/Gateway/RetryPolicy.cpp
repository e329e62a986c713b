#include "Gateway/RetryPolicy.h"

namespace pollenyoke::gateway
{

namespace
{

using std::chrono::milliseconds;

// Limit on attempts, including refused ones: further attempts would only add load when all servers
// are overloaded.
constexpr unsigned max_total_attempts = 3;
// Sound servers may fall silent for this long and go on. A stream that moved sooner would be read
// and begun once more for nothing.
constexpr milliseconds sound_silence{1500};
// The end of the silence reaches this process a little later.
constexpr milliseconds silence_margin{100};
// Silence, in multiples of the route's objective, after which an idempotent request without
// streaming may be sent to another server.
constexpr int plain_silence_objectives = 2;

} // namespace

milliseconds silence_limit(const protocol::route& route)
{
  return route.streaming ? sound_silence + silence_margin
                         : route.objective * plain_silence_objectives;
}

retry_action final_action(const retry_state& state)
{
  if (state.response_started)
  {
    return retry_action::abort;
  }
  if (state.last == attempt_end::server_error)
  {
    return retry_action::forward_error;
  }
  return state.may_have_run == 0 ? retry_action::refuse : retry_action::outcome_unknown;
}

retry_action decide_retry(const retry_state& state)
{
  if (!state.time_remains || state.attempt_count >= max_total_attempts)
  {
    return final_action(state);
  }
  if (state.response_started && !state.can_resume)
  {
    return retry_action::abort;
  }
  if (state.may_have_run >= state.max_attempts)
  {
    return final_action(state);
  }
  const bool may_repeat =
      state.repeat == protocol::repeat_rule::idempotent || state.may_have_run == 0;
  return may_repeat ? retry_action::retry : final_action(state);
}

} // namespace pollenyoke::gateway
