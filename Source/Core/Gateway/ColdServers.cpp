#include "Gateway/ColdServers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pollenyoke::gateway
{

namespace
{

// A rate that the settings leave no room for would keep a server without requests for good.
constexpr double min_rate_share = 0.1;

} // namespace

cold_rate share_cold_rate(double per_second, const protocol::cold_server_settings& settings)
{
  const double allowed = per_second * settings.overage + settings.slack;
  // While the live entries change, one entry more may send.
  const double sharers = std::max(1.0, std::floor(allowed - per_second - 1));
  return {.max_sharers = static_cast<std::size_t>(sharers),
          .per_second = std::clamp(allowed - sharers - 1, per_second * min_rate_share, per_second)};
}

cold_servers::cold_servers(std::optional<protocol::cold_server_settings> settings,
                           sharers_function sharers)
    : m_settings(settings), m_sharers(std::move(sharers))
{
}

/// Never shortens the time: a source that says less may be older than what is known.
bool cold_servers::add(const std::string& id, milliseconds remaining, time_point now)
{
  if (!m_settings || remaining <= milliseconds(0))
  {
    return false;
  }
  std::erase_if(m_servers, [now](const auto& item) { return item.second.cold_until <= now; });
  const auto [known, was_warm] = m_servers.try_emplace(id);
  known->second.cold_until = std::max(known->second.cold_until, now + remaining);
  return was_warm;
}

bool cold_servers::is_cold(const std::string& id, time_point now) const
{
  const auto known = m_servers.find(id);
  return known != m_servers.end() && now < known->second.cold_until;
}

time_point cold_servers::next_send(const std::string& id, double per_second, time_point now) const
{
  if (!is_cold(id, now))
  {
    return now;
  }
  const cold_server& server = m_servers.at(id);
  const cold_rate rate = share_cold_rate(per_second, *m_settings);
  const std::size_t sharers = m_sharers(id, rate.max_sharers);
  if (sharers == 0)
  {
    return server.cold_until;
  }
  const std::chrono::duration<double> interval(static_cast<double>(sharers) / rate.per_second);
  const time_point next =
      server.last_send.value_or(time_point{}) + std::chrono::ceil<time_point::duration>(interval);
  return std::clamp(next, now, server.cold_until);
}

void cold_servers::note_send(const std::string& id, time_point now)
{
  if (const auto known = m_servers.find(id); known != m_servers.end())
  {
    known->second.last_send = now;
  }
}

} // namespace pollenyoke::gateway
