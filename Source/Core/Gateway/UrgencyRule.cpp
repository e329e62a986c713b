#include "Gateway/UrgencyRule.h"

namespace pollenyoke::gateway
{

namespace
{

// The platform's rank of a request that names none is 5; the others leave room on either side.
constexpr unsigned first_rank = 1;
constexpr unsigned usual_rank = 5;
constexpr unsigned late_rank = 8;

} // namespace

unsigned choose_rank(const urgency_input& input)
{
  if (input.continues_stream)
  {
    return first_rank;
  }
  return input.waited > input.objective ? late_rank : usual_rank;
}

} // namespace pollenyoke::gateway
