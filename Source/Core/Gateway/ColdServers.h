#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Gateway/ServerNotices.h"
#include "Protocol/NodeSettings.h"

namespace pollenyoke::gateway
{

/// How the entries share the requests to a cold server.
struct cold_rate
{
  /// Most entries that send; each has the same part of the rate and sends one request at a time.
  std::size_t max_sharers = 1;
  /// Requests a second of all sharers together.
  double per_second = 0;
};

/// `per_second`: rate that the service of the server names. In any second the sharers send at most
/// their rate and one request each, which stays within the settings.
cold_rate share_cold_rate(double per_second, const protocol::cold_server_settings& settings);

/// Which servers are cold, and when this entry may send the next request to each. The entries share
/// the rate of a cold server without asking each other. The caller passes the time. Not
/// thread-safe.
class cold_servers
{
public:
  /// See fleet_link::sharers.
  using sharers_function = std::function<std::size_t(std::string_view server, std::size_t most)>;

  /// Without settings no server is cold.
  cold_servers() = default;
  cold_servers(std::optional<protocol::cold_server_settings> settings, sharers_function sharers);

  /// The server is cold for `remaining` from now on, or longer if that is known. Returns true if it
  /// was warm.
  bool add(const std::string& id, milliseconds remaining, time_point now);
  bool is_cold(const std::string& id, time_point now) const;
  /// When this entry may send a request to the cold server: now, with the next part of the rate, or
  /// when the server is warm. `per_second`: requests that the server takes from all entries.
  time_point next_send(const std::string& id, double per_second, time_point now) const;
  void note_send(const std::string& id, time_point now);

private:
  struct cold_server
  {
    time_point cold_until{};
    std::optional<time_point> last_send;
  };

  std::optional<protocol::cold_server_settings> m_settings;
  sharers_function m_sharers;
  std::map<std::string, cold_server> m_servers;
};

} // namespace pollenyoke::gateway
