#include "Routing/RetryBudget.h"

#include <algorithm>

namespace pollenyoke::routing
{

namespace
{

// The initial budget lets an entry with little traffic retry after a single failure. The cap keeps
// retries accumulated in quiet periods from causing a retry storm during an outage.
constexpr double initial_retries = 10;
constexpr double max_retries = 100;

} // namespace

retry_budget::retry_budget(double share)
    : m_share(share), m_available_retries(share > 0 ? initial_retries : 0)
{
}

void retry_budget::add_request()
{
  m_available_retries = std::min(max_retries, m_available_retries + m_share);
}

bool retry_budget::try_retry()
{
  // Compensates for rounding, so that ten requests at a share of 0.1 allow one retry.
  constexpr double tolerance = 1e-9;
  if (m_available_retries + tolerance < 1)
  {
    return false;
  }
  m_available_retries -= 1;
  return true;
}

} // namespace pollenyoke::routing
