#include "Gateway/RetryRule.h"

namespace pollenyoke::gateway
{

namespace
{

// Servers that refuse are tried at most this often; more sends would add load where all are full.
constexpr unsigned max_sends = 3;

} // namespace

retry_action final_action(const retry_facts& facts)
{
  if (facts.answer_started)
  {
    return retry_action::cut;
  }
  if (facts.last == attempt_end::server_error)
  {
    return retry_action::pass_on;
  }
  return facts.may_have_run == 0 ? retry_action::refuse : retry_action::outcome_unknown;
}

retry_action decide_retry(const retry_facts& facts)
{
  if (!facts.caller_waits || facts.sends >= max_sends)
  {
    return final_action(facts);
  }
  if (facts.answer_started && !facts.streaming)
  {
    return retry_action::cut;
  }
  if (facts.may_have_run >= facts.max_attempts)
  {
    return final_action(facts);
  }
  const bool may_repeat =
      facts.repeat == protocol::repeat_rule::idempotent || facts.may_have_run == 0;
  return may_repeat ? retry_action::again : final_action(facts);
}

} // namespace pollenyoke::gateway
