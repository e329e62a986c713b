#include "Entry/AgentLinks.h"

#include <algorithm>
#include <utility>

#include "Protocol/Codec.h"

namespace pollenyoke::entry
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr std::chrono::seconds failure_retention{2};

} // namespace

agent_links::agent_links(link_callbacks callbacks) : m_callbacks(std::move(callbacks)) {}

std::optional<ready_link> agent_links::acquire(const host_id& host,
                                               const transport::endpoint& address,
                                               std::chrono::milliseconds timeout)
{
  const auto deadline = clock::now() + timeout;
  std::unique_lock lock(m_mutex);
  // The link callback returns a broken connection until its closing has been reported; the second
  // attempt opens a new one.
  for (int attempt = 0; attempt < 2; ++attempt)
  {
    bool query_sent = true;
    if (m_links[host].connection == 0)
    {
      const transport::connection_id connection = m_callbacks.link(host, address);
      m_links[host].connection = connection;
      m_links[host].incarnation.reset();
      query_sent = m_callbacks.send(connection, protocol::encode(protocol::outcome_query{}));
    }
    const transport::connection_id connection = m_links[host].connection;
    const auto is_settled = [&]
    {
      return m_links[host].connection != connection || m_links[host].incarnation;
    };
    const bool in_time = m_changed.wait_until(lock, deadline, is_settled);
    if (in_time && m_links[host].connection == connection)
    {
      return ready_link{connection, *m_links[host].incarnation};
    }
    if (query_sent || !in_time)
    {
      break;
    }
  }
  m_links[host].failed_at = clock::now();
  return std::nullopt;
}

bool agent_links::handle_reply(transport::connection_id from,
                               const protocol::outcome_reply& message)
{
  if (message.id != protocol::attempt_id{})
  {
    return false;
  }
  const std::lock_guard lock(m_mutex);
  for (auto& [host, link] : m_links)
  {
    if (link.connection == from)
    {
      link.incarnation = message.incarnation;
      link.failed_at = {};
    }
  }
  m_changed.notify_all();
  return true;
}

void agent_links::handle_closed(transport::connection_id connection)
{
  const std::lock_guard lock(m_mutex);
  for (auto& [host, link] : m_links)
  {
    if (link.connection == connection)
    {
      link.connection = 0;
      link.incarnation.reset();
    }
  }
  m_changed.notify_all();
}

bool agent_links::failed_recently(const host_id& host) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_links.find(host);
  return found != m_links.end() && found->second.failed_at != clock::time_point{} &&
         clock::now() - found->second.failed_at < failure_retention;
}

std::size_t agent_links::ready_count() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(),
                                                [](const auto& item)
                                                { return item.second.incarnation.has_value(); }));
}

} // namespace pollenyoke::entry
