#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "StateFeed/FeedTiming.h"
#include "StateFeed/RelayPage.h"
#include "StateFeed/TopicState.h"

namespace pollenyoke::state_feed
{

/// Serves the records of one topic to other processes.
class topic_relay
{
public:
  using responder = std::function<void(std::string body)>;

  /// `confirmed_at` returns when the state was last confirmed to be current; each response carries
  /// its age. State that was confirmed longer ago than `max_relay_age` is not relied on.
  topic_relay(async_io::event_loop& loop, const topic_state& topic,
              std::function<async_io::time_point()> confirmed_at, const feed_timing& timing = {});

  /// Responds with the requested records, except those of the key `excluded_key`. A request that
  /// may wait is held for up to `relay_wait` if there is no change, or for `confirmation_wait` if
  /// the state is not current.
  void serve(const changes_request& request, const std::string& excluded_key, responder respond);
  /// Responds to the pending requests for which the topic has new changes.
  void notify();

private:
  struct pending_request
  {
    changes_request request;
    std::string excluded_key;
    responder respond;
    async_io::time_point received_at;
    async_io::time_point expires_at;
    bool awaits_confirmation = false;
  };
  using cache_key = std::pair<std::optional<log_position>, std::string>;

  bool has_news(const changes_request& request) const;
  std::chrono::milliseconds age() const;
  bool is_stale() const;
  /// `held`: how long the request has waited here.
  std::string make_response(const changes_request& request, const std::string& excluded_key,
                            std::chrono::milliseconds held);
  void respond_to(const pending_request& held);
  void await_expiry();
  void expire_requests();

  const topic_state& m_topic;
  std::function<async_io::time_point()> m_confirmed_at;
  feed_timing m_timing;
  async_io::timer m_timer;
  std::vector<pending_request> m_pending;
  /// Encoded records of the current state: all followers of a failure domain ask for the same ones.
  std::map<cache_key, std::string> m_encoded;
  std::uint64_t m_encoded_revision = 0;
};

} // namespace pollenyoke::state_feed
