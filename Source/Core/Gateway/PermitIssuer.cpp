#include "Gateway/PermitIssuer.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

using seconds = std::chrono::duration<double>;

// Permits that were not asked for in time are kept up to this long, so that a short gap in the
// demand loses nothing.
constexpr seconds min_kept{0.1};
constexpr seconds max_kept{1.0};
// Hosts ask together this many times for each permit: with fewer, permits stay unused.
constexpr double queries_per_permit = 4;
constexpr seconds max_query_delay{2};
// Hosts that have not asked for longer have no demand.
constexpr seconds asker_lifetime = max_query_delay * 2;
constexpr std::size_t max_servers = 1024;
constexpr seconds server_lifetime{60};

time_point::duration to_ticks(seconds length)
{
  return std::chrono::duration_cast<time_point::duration>(length);
}

milliseconds round_up(time_point::duration length)
{
  return std::chrono::ceil<milliseconds>(std::max(length, time_point::duration::zero()));
}

} // namespace

permit_issuer::server_state& permit_issuer::find_or_add(const permit_query& query, time_point now)
{
  if (m_servers.size() >= max_servers)
  {
    std::erase_if(m_servers, [now](const auto& item)
                  { return now - item.second.last_query > to_ticks(server_lifetime); });
  }
  const auto [position, is_new] = m_servers.try_emplace(query.server);
  server_state& state = position->second;
  if (is_new || query.started_ms > state.started_ms)
  {
    state = {};
    state.started_ms = query.started_ms;
  }
  // Hosts hear of a change at different times; what was heard last is the newest.
  const time_point heard = now - query.heard_ago;
  if (heard >= state.limit_heard)
  {
    state.limit = query.limit;
    state.limit_heard = heard;
  }
  return state;
}

/// Entries whose demand exceeds the limit ask again at different times, at a rate that does not
/// grow with their number as long as the limit is not tiny.
milliseconds permit_issuer::draw_delay(server_state& state, double rate, double random_fraction,
                                       time_point now)
{
  std::erase_if(state.askers,
                [now](const auto& asker) { return now - asker.second > to_ticks(asker_lifetime); });
  const seconds mean = std::min(max_query_delay, seconds(static_cast<double>(state.askers.size()) /
                                                         (queries_per_permit * rate)));
  return round_up(to_ticks(mean * (0.5 + random_fraction)));
}

permit_decision permit_issuer::decide(const permit_query& query, double random_fraction,
                                      time_point now)
{
  server_state& state = find_or_add(query, now);
  const bool is_first = state.last_query == time_point{};
  state.last_query = now;
  state.askers[query.asker] = now;
  const double rate = std::max(min_permits_per_s, state.limit);
  const seconds interval(1 / rate);
  const auto kept = to_ticks(std::clamp(interval, min_kept, max_kept));
  // What the server got before its first permit is not known.
  state.paced_until = std::max(state.paced_until, is_first ? now + kept : now);
  const auto send_in = state.paced_until - kept - now;
  if (send_in <= query.patience)
  {
    state.paced_until += to_ticks(interval);
    return {.granted = true, .send_in = round_up(send_in)};
  }
  return {.ask_again_in =
              std::max(round_up(send_in), draw_delay(state, rate, random_fraction, now))};
}

} // namespace pollenyoke::gateway
