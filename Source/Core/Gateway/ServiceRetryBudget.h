#pragma once

#include <chrono>
#include <deque>

#include "Protocol/NodeSettings.h"

namespace pollenyoke::gateway
{

/// This process's share of the retries that all entries together may send to one service. The
/// caller passes the current time. Not thread-safe.
class service_retry_budget
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `started`: start time of this process.
  service_retry_budget(protocol::repeat_budget_settings settings, time_point started);

  void add_request(time_point now);
  /// Takes one retry from the budget if it allows it. `entries`: number of live entries, including
  /// this one; overestimating it is safe.
  bool try_retry(time_point now, std::size_t entries);
  /// Whether try_retry() would succeed.
  bool allows_retry(time_point now, std::size_t entries);

private:
  void drop_expired(time_point now);

  protocol::repeat_budget_settings m_settings;
  time_point m_started;
  std::deque<time_point> m_requests;
  std::deque<time_point> m_retries;
};

} // namespace pollenyoke::gateway
