#include "Gateway/PriorityPolicy.h"

namespace pollenyoke::gateway
{

namespace
{

// The platform's default priority is 5; the other values leave room on either side.
constexpr unsigned resumed_priority = 1;
constexpr unsigned default_priority = 5;
constexpr unsigned late_priority = 8;

} // namespace

unsigned choose_priority(const priority_input& input)
{
  if (input.continues_stream)
  {
    return resumed_priority;
  }
  return input.waited > input.objective ? late_priority : default_priority;
}

} // namespace pollenyoke::gateway
