#pragma once

#include <chrono>

namespace pollenyoke
{

/// Paces a flow to a rate. Not thread-safe; time is passed in.
class token_bucket
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `rate` and `burst` in units (bytes, requests) per second and units.
  token_bucket(double rate, double burst, time_point now);

  /// Takes `amount` if it is available now.
  bool try_take(double amount, time_point now);
  /// Takes `amount`, going into debt if needed, and returns how long the caller waits first.
  std::chrono::nanoseconds reserve(double amount, time_point now);
  double available(time_point now);

private:
  void refill(time_point now);

  double m_rate;
  double m_burst;
  double m_level;
  time_point m_updated;
};

} // namespace pollenyoke
