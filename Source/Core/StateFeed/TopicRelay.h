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

// A process that reads through another one hears from it at least this often; without an answer it
// reads the store itself, within the two seconds that a change has.
constexpr std::chrono::milliseconds relay_wait{500};

/// Hands the changes of one topic to the other processes of the failure domain.
class topic_relay
{
public:
  using responder = std::function<void(std::string body)>;

  /// `confirmed`: when the store last answered this process, so that the others know how old its
  /// state may be.
  topic_relay(async_io::event_loop& loop, const topic_state& topic,
              std::function<async_io::time_point()> confirmed);

  /// Answers with the changes from `offset` on, at once or when there are any, without those of the
  /// key `left_out`.
  void serve(std::uint64_t offset, const std::string& left_out, responder respond);
  /// The topic has changed.
  void notify();

private:
  struct waiting_reader
  {
    std::uint64_t offset = 0;
    std::string left_out;
    responder respond;
    async_io::time_point expires;
  };

  std::string answer(std::uint64_t offset, const std::string& left_out) const;
  void expire();

  const topic_state& m_topic;
  std::function<async_io::time_point()> m_confirmed;
  async_io::timer m_timer;
  std::vector<waiting_reader> m_waiting;
};

} // namespace pollenyoke::state_feed
