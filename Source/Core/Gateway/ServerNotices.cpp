#include "Gateway/ServerNotices.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

// Ids are used once, so that notices of servers that are gone would pile up.
constexpr std::size_t max_notices = 4096;
// The entries return to a server one after the other within this share of its pause.
constexpr double return_spread_share = 0.25;
constexpr milliseconds min_return_spread{100};
constexpr milliseconds max_return_spread{1000};

} // namespace

const server_notices::notice* server_notices::find(const std::string& id,
                                                   std::uint64_t started_ms) const
{
  const auto found = m_notices.find(id);
  if (found == m_notices.end())
  {
    return nullptr;
  }
  const std::uint64_t known = found->second.started_ms;
  return known == 0 || started_ms == 0 || known == started_ms ? &found->second : nullptr;
}

server_notices::notice* server_notices::find_or_add(const std::string& id, std::uint64_t started_ms)
{
  const auto [position, is_new] = m_notices.try_emplace(id);
  notice& found = position->second;
  if (is_new)
  {
    m_order.push_back(id);
    if (m_order.size() > max_notices)
    {
      m_notices.erase(m_order.front());
      m_order.pop_front();
    }
  }
  if (started_ms != 0 && started_ms < found.started_ms)
  {
    return nullptr;
  }
  if (found.started_ms != 0 && started_ms > found.started_ms)
  {
    found = {};
  }
  found.started_ms = std::max(found.started_ms, started_ms);
  return &found;
}

bool server_notices::add_leaving(const std::string& id, std::uint64_t started_ms)
{
  notice* found = find_or_add(id, started_ms);
  if (found == nullptr || found->leaving)
  {
    return false;
  }
  found->leaving = true;
  return true;
}

bool server_notices::begin_pause(const std::string& id, std::uint64_t started_ms,
                                 milliseconds length, double random_fraction, time_point now)
{
  const milliseconds pause = std::min(length, max_server_pause);
  notice* found = find_or_add(id, started_ms);
  if (found == nullptr || found->paused_until >= now + pause)
  {
    return false;
  }
  const std::chrono::duration<double, std::milli> spread =
      std::clamp(std::chrono::duration<double, std::milli>(pause) * return_spread_share,
                 std::chrono::duration<double, std::milli>(min_return_spread),
                 std::chrono::duration<double, std::milli>(max_return_spread));
  found->end_reported = false;
  found->paused_until =
      now + pause + std::chrono::duration_cast<milliseconds>(spread * random_fraction);
  return true;
}

bool server_notices::take_ended_pause(const std::string& id, std::uint64_t started_ms,
                                      time_point now)
{
  const notice* found = find(id, started_ms);
  if (found == nullptr || found->end_reported || now < found->paused_until)
  {
    return false;
  }
  m_notices.at(id).end_reported = true;
  return true;
}

/// Answers overtake each other. The one to a request that was sent after the last answer had
/// arrived is newer; of two others, the lower limit is the safe one.
bool server_notices::name_limit(const std::string& id, std::uint64_t started_ms, double per_second,
                                time_point asked, time_point now)
{
  notice* found = find_or_add(id, started_ms);
  if (found == nullptr ||
      (found->limit && per_second > *found->limit && asked <= found->limit_named))
  {
    return false;
  }
  const bool is_news = found->limit != per_second;
  found->limit = per_second;
  found->limit_named = now;
  return is_news;
}

bool server_notices::end_limit(const std::string& id, std::uint64_t started_ms, time_point asked)
{
  const notice* known = find(id, started_ms);
  if (known == nullptr || !known->limit || asked <= known->limit_named)
  {
    return false;
  }
  m_notices.at(id).limit.reset();
  return true;
}

std::optional<double> server_notices::limit(const std::string& id, std::uint64_t started_ms) const
{
  const notice* found = find(id, started_ms);
  return found == nullptr ? std::nullopt : found->limit;
}

time_point server_notices::limit_heard(const std::string& id, std::uint64_t started_ms) const
{
  const notice* found = find(id, started_ms);
  return found == nullptr ? time_point{} : found->limit_named;
}

void server_notices::put_off(const std::string& id, std::uint64_t started_ms, time_point until)
{
  if (find(id, started_ms) != nullptr)
  {
    m_notices.at(id).put_off_until = until;
  }
}

std::optional<time_point>
server_notices::closed_until(const std::string& id, std::uint64_t started_ms, time_point now) const
{
  const notice* found = find(id, started_ms);
  if (found == nullptr)
  {
    return std::nullopt;
  }
  const time_point until =
      found->limit ? std::max(found->paused_until, found->put_off_until) : found->paused_until;
  return now < until ? std::optional(until) : std::nullopt;
}

bool server_notices::is_leaving(const std::string& id, std::uint64_t started_ms) const
{
  const notice* found = find(id, started_ms);
  return found != nullptr && found->leaving;
}

std::optional<time_point>
server_notices::paused_until(const std::string& id, std::uint64_t started_ms, time_point now) const
{
  const notice* found = find(id, started_ms);
  return found != nullptr && now < found->paused_until ? std::optional(found->paused_until)
                                                       : std::nullopt;
}

} // namespace pollenyoke::gateway
