#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "StateFeed/PeerSnapshot.h"
#include "StateFeed/TopicState.h"

namespace pollenyoke::state_feed
{

// Longest time that a read waits for a change. A process that gets no response falls back to the
// backup reader or the store early enough to receive a change within two seconds.
constexpr std::chrono::milliseconds relay_wait{500};

/// Serves the changes of one topic to the other processes of the failure domain.
class topic_relay
{
public:
  using responder = std::function<void(std::string body)>;

  /// `confirmed_at` returns when the state was last confirmed to be current; each response carries
  /// its age.
  topic_relay(async_io::event_loop& loop, const topic_state& topic,
              std::function<async_io::time_point()> confirmed_at);

  /// Responds with the changes from `offset` on, except those of the key `excluded_key`. Waits up
  /// to relay_wait if there are none yet.
  void serve(std::uint64_t offset, const std::string& excluded_key, responder respond);
  /// Responds to the pending reads for which the topic has new changes.
  void notify();

private:
  struct pending_read
  {
    std::uint64_t offset = 0;
    std::string excluded_key;
    responder respond;
    async_io::time_point expires_at;
  };

  std::string make_response(std::uint64_t offset, const std::string& excluded_key) const;
  void expire_reads();

  const topic_state& m_topic;
  std::function<async_io::time_point()> m_confirmed_at;
  async_io::timer m_timer;
  std::vector<pending_read> m_pending_reads;
};

} // namespace pollenyoke::state_feed
