#include "Membership/PeerLinks.h"

#include <utility>

#include "Protocol/Codec.h"

namespace pollenyoke::membership
{

peer_links::peer_links(transport::message_node& node, protocol::hello self)
    : m_node(node), m_self(std::move(self))
{
}

transport::connection_id peer_links::link(const host_id& host, channel kind,
                                          const transport::endpoint& address)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_links.find({host, kind});
  if (found != m_links.end())
  {
    return found->second;
  }
  const transport::connection_id connection = m_node.connect(address);
  m_node.send(connection, protocol::encode(m_self));
  m_links[{host, kind}] = connection;
  m_outbound[connection] = {host, kind};
  return connection;
}

void peer_links::handle_hello(transport::connection_id from, const protocol::hello& message)
{
  const std::lock_guard lock(m_mutex);
  m_inbound[from] = message;
}

std::optional<host_id> peer_links::peer_of(transport::connection_id connection) const
{
  const std::lock_guard lock(m_mutex);
  if (const auto found = m_outbound.find(connection); found != m_outbound.end())
  {
    return found->second.first;
  }
  if (const auto found = m_inbound.find(connection); found != m_inbound.end())
  {
    return found->second.host;
  }
  return std::nullopt;
}

std::optional<protocol::hello> peer_links::hello_of(transport::connection_id connection) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_inbound.find(connection);
  return found == m_inbound.end() ? std::nullopt : std::optional(found->second);
}

void peer_links::handle_closed(transport::connection_id connection)
{
  const std::lock_guard lock(m_mutex);
  m_inbound.erase(connection);
  const auto found = m_outbound.find(connection);
  if (found == m_outbound.end())
  {
    return;
  }
  const auto link = m_links.find(found->second);
  if (link != m_links.end() && link->second == connection)
  {
    m_links.erase(link);
  }
  m_outbound.erase(found);
}

} // namespace pollenyoke::membership
