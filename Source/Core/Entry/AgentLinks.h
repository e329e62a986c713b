#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "Common/Ids.h"
#include "Protocol/Messages.h"
#include "Transport/Endpoint.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::entry
{

/// An open connection on which the agent has reported its incarnation.
struct ready_link
{
  transport::connection_id connection = 0;
  incarnation_id incarnation;
};

struct link_callbacks
{
  std::function<transport::connection_id(const host_id&, const transport::endpoint&)> link;
  std::function<bool(transport::connection_id, const transport::frame&)> send;
};

/// Connections to agents. A request is sent only over a connection on which the agent has reported
/// its incarnation. If no connection is established, the request has certainly not left this
/// process; a "not run" reply is valid only from the incarnation that the request was sent to.
/// Thread-safe.
class agent_links
{
public:
  explicit agent_links(link_callbacks callbacks);

  /// Returns the open connection to an agent or opens one. Blocks until the agent has reported its
  /// incarnation; empty on failure or timeout.
  std::optional<ready_link> acquire(const host_id& host, const transport::endpoint& address,
                                    std::chrono::milliseconds timeout);
  /// Handles the reply to an outcome query without an id; false for all other replies.
  bool handle_reply(transport::connection_id from, const protocol::outcome_reply& message);
  void handle_closed(transport::connection_id connection);
  /// True for a short time after a connection attempt to the host failed.
  bool failed_recently(const host_id& host) const;
  std::size_t ready_count() const;

private:
  struct link_state
  {
    transport::connection_id connection = 0;
    std::optional<incarnation_id> incarnation;
    std::chrono::steady_clock::time_point failed_at{};
  };

  const link_callbacks m_callbacks;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<host_id, link_state> m_links;
};

} // namespace pollenyoke::entry
