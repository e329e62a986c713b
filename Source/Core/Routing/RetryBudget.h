#pragma once

namespace pollenyoke::routing
{

/// Limits retries to a share of the requests, so that retries cannot amplify an overload. Not
/// thread-safe.
class retry_budget
{
public:
  explicit retry_budget(double share);

  /// Counts a new request, which adds its share of a retry to the budget.
  void add_request();
  /// Consumes one retry; returns false if the budget is used up.
  bool try_retry();

private:
  double m_share;
  double m_available_retries;
};

} // namespace pollenyoke::routing
