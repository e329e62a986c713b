#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace pollenyoke::gateway
{

using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// Longest time for which a server can refuse requests in advance; a longer one is cut to it.
constexpr milliseconds max_server_pause{300'000};

/// What servers have said about the requests that they want: none any more, none for a while, or so
/// many a second. A notice concerns one start of a server and holds whatever other sources say of
/// it. The caller passes the time. Not thread-safe.
class server_notices
{
public:
  /// `started_ms`: start of the server, Unix time in ms; 0 if unknown. Returns false if it was
  /// known that the server leaves.
  bool add_leaving(const std::string& id, std::uint64_t started_ms);
  /// The server wants no requests for `length`. Returns false if a pause that ends no sooner has
  /// begun already. `random_fraction`: number in [0, 1) that tells the entries apart.
  bool begin_pause(const std::string& id, std::uint64_t started_ms, milliseconds length,
                   double random_fraction, time_point now);

  /// The server takes so many requests a second from all callers together. `asked`: when the
  /// request was sent whose answer says so. Returns false if that was known, or if a lower limit
  /// was named since.
  bool name_limit(const std::string& id, std::uint64_t started_ms, double per_second,
                  time_point asked, time_point now);
  /// The answer to a request that was sent at `asked` names no limit. Returns false if none was
  /// known, or if the answer may be older than the last one that named it.
  bool end_limit(const std::string& id, std::uint64_t started_ms, time_point asked);

  bool is_leaving(const std::string& id, std::uint64_t started_ms) const;
  /// Requests a second that the server takes; empty if it names no limit.
  std::optional<double> limit(const std::string& id, std::uint64_t started_ms) const;
  /// When an answer or another entry last named the limit.
  time_point limit_heard(const std::string& id, std::uint64_t started_ms) const;
  /// No permit for a request to this limited server is to be had until then.
  void put_off(const std::string& id, std::uint64_t started_ms, time_point until);
  /// Until when the server gets no requests, for its pause or its limit; empty if it may get one.
  std::optional<time_point> closed_until(const std::string& id, std::uint64_t started_ms,
                                         time_point now) const;
  /// End of the pause of a server; empty if it takes requests.
  std::optional<time_point> paused_until(const std::string& id, std::uint64_t started_ms,
                                         time_point now) const;
  /// True once after a pause has ended.
  bool take_ended_pause(const std::string& id, std::uint64_t started_ms, time_point now);

private:
  struct notice
  {
    std::uint64_t started_ms = 0;
    bool leaving = false;
    time_point paused_until{};
    bool end_reported = true;
    std::optional<double> limit;
    /// When an answer last named the limit.
    time_point limit_named{};
    time_point put_off_until{};
  };

  const notice* find(const std::string& id, std::uint64_t started_ms) const;
  /// Null if the server is known to have started again since.
  notice* find_or_add(const std::string& id, std::uint64_t started_ms);

  std::map<std::string, notice> m_notices;
  /// Ids in the order of their first notice; the oldest are forgotten first.
  std::deque<std::string> m_order;
};

} // namespace pollenyoke::gateway
