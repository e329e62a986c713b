#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "Common/Result.h"
#include "StateFeed/Records.h"
#include "StateFeed/RelayPage.h"
#include "StateFeed/TopicState.h"

namespace pollenyoke::state_feed
{

using page_handler = std::function<void(result<record_page>)>;

template <typename Store>
concept record_store = requires(Store store, record_topic topic, page_handler done)
{
  store.newest(topic, done);
  store.read(topic, record_read{}, done);
};

// Long polls deliver a change as soon as it is written. A shorter wait costs more calls; a longer
// wait delays the detection of a stalled connection.
constexpr std::chrono::milliseconds operator_poll_wait{10000};
constexpr std::chrono::milliseconds initial_retry_delay{250};
constexpr std::chrono::milliseconds max_retry_delay{1000};
// Processes receive a change within this time of each other; a process that has not received it by
// then asks another process.
constexpr std::chrono::milliseconds catch_up_delay{300};
constexpr std::chrono::milliseconds peer_request_interval{700};
// How long a failed or stale reader is bypassed before it is asked again.
constexpr std::chrono::milliseconds reader_bypass_time{3000};
// After a loss of power a reader needs up to this long for its first state. Until then the others
// wait for it: if each of them read the whole state, the regional link would be full for longer.
constexpr std::chrono::milliseconds first_state_patience{4000};

// A process that reads the store as a last resort can do without the newest records for this many
// times as long as others.
constexpr int last_resort_age_factor = 2;
constexpr std::chrono::milliseconds min_check_delay{5};

enum class store_use
{
  /// Reads the store if no reader of the failure domain has current state.
  direct,
  /// Reads the store only if the failure domain has no reader: processes that can do without the
  /// newest records for a while should not fill the regional link when the readers fail.
  last_resort,
};

struct feed_handlers
{
  std::function<void(const record&)> on_operator_record;
  /// `may_return_until`: see topic_state.
  std::function<void(const record&, std::optional<async_io::time_point> may_return_until)>
      on_backend_record;
  /// All followed topics have state.
  std::function<void()> on_initialized;
  /// Processes of this failure domain to ask before the store, in this order.
  std::function<std::vector<std::string>()> readers;
  /// A process of any failure domain to ask while the readers and the store do not answer, another
  /// one on each call.
  std::function<std::optional<std::string>()> next_peer;
  /// Asks one process for changes.
  std::function<void(const std::string& ip, const changes_request&,
                     std::function<void(result<relay_page>)>)>
      ask;
  /// The store has come back from an older copy; what this process wrote there may be gone.
  std::function<void()> on_store_restored = [] {
  };
  /// See restore_rules.
  std::function<bool(const record& known, const record& next)> is_older_operator_record =
      restore_rules{}.is_older;
  std::function<bool(const record& known, const record& next)> is_older_backend_record =
      restore_rules{}.is_older;
};

} // namespace pollenyoke::state_feed
