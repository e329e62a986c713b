#pragma once

#include <chrono>

namespace pollenyoke::state_feed
{

/// When the records of a topic are checked at the store, beside a read that may never be answered.
/// Not thread-safe.
class check_schedule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// A check that nothing has confirmed after `patience` is repeated.
  explicit check_schedule(std::chrono::milliseconds patience);

  /// `confirmed_at`: when the records were last known to be current; `max_age`: the age at which
  /// they are checked.
  time_point due(time_point confirmed_at, std::chrono::milliseconds max_age) const;
  /// Whether a check was sent since the records were last confirmed.
  bool is_repeated(time_point confirmed_at) const;
  void note_sent(time_point confirmed_at, time_point now);

private:
  std::chrono::milliseconds interval() const;

  std::chrono::milliseconds m_patience;
  time_point m_sent_at{};
  time_point m_confirmed_before{};
  /// Checks since the records were last confirmed.
  unsigned m_unconfirmed = 0;
};

} // namespace pollenyoke::state_feed
