#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Gateway/ServerNotices.h"

namespace pollenyoke::gateway
{

// Servers that take almost nothing get a request this often, as only an answer can end the limit.
constexpr double min_permits_per_s = 0.25;

/// An entry asks whether it may send a server one request.
struct permit_query
{
  /// Address of the host that asks.
  std::string asker;
  std::string server;
  /// Start of the server, Unix time in ms; 0 if unknown.
  std::uint64_t started_ms = 0;
  /// Requests a second that the server takes, as the asker heard so long ago.
  double limit = 0;
  milliseconds heard_ago{0};
  /// The request can wait for so long before it is sent.
  milliseconds patience{0};
};

struct permit_decision
{
  bool granted = false;
  /// Time after which the request is sent.
  milliseconds send_in{0};
  /// Without a permit: the asker asks no sooner than this.
  milliseconds ask_again_in{0};
};

/// Hands out the requests that limited servers take, for all entries. A permit is used within a few
/// tenths of a second or lost. The caller passes the time. Not thread-safe.
class permit_issuer
{
public:
  /// `random_fraction`: number in [0, 1).
  permit_decision decide(const permit_query& query, double random_fraction, time_point now);

private:
  struct server_state
  {
    std::uint64_t started_ms = 0;
    double limit = 0;
    time_point limit_heard{};
    /// When the server would have taken all requests so far at the pace of its limit.
    time_point paced_until{};
    time_point last_query{};
    /// When each host asked last.
    std::map<std::string, time_point> askers;
  };

  server_state& find_or_add(const permit_query& query, time_point now);
  static milliseconds draw_delay(server_state& state, double rate, double random_fraction,
                                 time_point now);

  std::map<std::string, server_state> m_servers;
};

} // namespace pollenyoke::gateway
