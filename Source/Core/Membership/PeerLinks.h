#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "Common/Ids.h"
#include "Protocol/Messages.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::membership
{

/// Separate connections keep bulk transfers from delaying requests.
enum class channel
{
  control,
  requests,
  weights,
};

/// Keeps one connection per peer and channel, opened on first use. Thread-safe.
class peer_links
{
public:
  peer_links(transport::message_node& node, protocol::hello self);

  /// The open connection to a peer, or a new one to `address`. The hello is sent first.
  transport::connection_id link(const host_id& host, channel kind,
                                const transport::endpoint& address);
  /// Notes who opened an inbound connection.
  void handle_hello(transport::connection_id from, const protocol::hello& message);
  /// The peer at the other end, empty before its hello.
  std::optional<host_id> peer_of(transport::connection_id connection) const;
  std::optional<protocol::hello> hello_of(transport::connection_id connection) const;
  void handle_closed(transport::connection_id connection);

private:
  transport::message_node& m_node;
  const protocol::hello m_self;
  mutable std::mutex m_mutex;
  std::map<std::pair<host_id, channel>, transport::connection_id> m_links;
  std::unordered_map<transport::connection_id, std::pair<host_id, channel>> m_outbound;
  std::unordered_map<transport::connection_id, protocol::hello> m_inbound;
};

} // namespace pollenyoke::membership
