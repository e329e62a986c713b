#pragma once

#include <algorithm>
#include <chrono>

namespace pollenyoke::state_feed
{

/// How often the store is read and how old state may be. The defaults hold news of leaving servers
/// and of configurations to two seconds.
struct feed_timing
{
  /// Interval of the reads of the backend servers' records, which change too often for long polls,
  /// and of the checks beside a long poll for the operator's records.
  std::chrono::milliseconds poll_interval{450};
  /// Records that are older than this are checked at the store beside the read that is not
  /// answered.
  std::chrono::milliseconds max_age{1100};
  /// A check without an answer is repeated after this time.
  std::chrono::milliseconds check_patience{300};
  /// Longest time that a request among processes waits for a change. One that gets no response
  /// turns to another process early enough.
  std::chrono::milliseconds relay_wait{500};
  /// Time beyond its wait in which a reader of the same failure domain answers.
  std::chrono::milliseconds relay_margin{400};
  /// How long a request waits at a reader whose records are not current. When the first reader of a
  /// failure domain is cut off, the second one needs this long to read the store itself.
  std::chrono::milliseconds confirmation_wait{200};
  /// A process that serves state to others waits for news while its state is older than this.
  std::chrono::milliseconds max_relay_age{900};
};

/// Timing for a platform that allows news this long. Each call to the store is paid for, and a
/// longer limit allows fewer of them. `limit`: the shorter of the limits for leaving servers and
/// for configurations. Pure.
inline feed_timing make_feed_timing(std::chrono::milliseconds limit)
{
  using std::chrono::milliseconds;
  constexpr milliseconds default_limit{2000};
  // With a larger interval a reader that fails would be noticed too late by processes that ask it.
  constexpr milliseconds max_limit{4000};
  constexpr milliseconds min_limit{500};
  const milliseconds used = std::clamp(limit, min_limit, max_limit);
  const auto scaled = [used, default_limit](milliseconds time)
  {
    return time * used.count() / default_limit.count();
  };
  const feed_timing base;
  return {.poll_interval = scaled(base.poll_interval),
          .max_age = scaled(base.max_age),
          .check_patience = scaled(base.check_patience),
          .relay_wait = scaled(base.relay_wait),
          .relay_margin = scaled(base.relay_margin),
          .confirmation_wait = scaled(base.confirmation_wait),
          .max_relay_age = scaled(base.max_relay_age)};
}

/// Longest time from the acknowledgement of a record until an entry asks for it, whatever was lost
/// on its way, if this many checks over new connections are lost as well. The answer of the store,
/// the network and the event loop come on top. See docs/design/age-of-state.md. Pure.
constexpr std::chrono::milliseconds longest_delay(const feed_timing& timing, unsigned lost_checks)
{
  return timing.max_age + lost_checks * timing.check_patience;
}

} // namespace pollenyoke::state_feed
