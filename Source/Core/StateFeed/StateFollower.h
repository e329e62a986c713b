#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "AsyncIo/EventLoop.h"
#include "Common/Log.h"
#include "Common/Result.h"
#include "StateFeed/PeerSnapshot.h"
#include "StateFeed/TopicRelay.h"
#include "StateFeed/TopicState.h"

namespace pollenyoke::state_feed
{

using page_handler = std::function<void(result<record_page>)>;

template <typename Store>
concept record_store = requires(Store store, record_topic topic, page_handler done)
{
  store.newest(topic, done);
  store.read(topic, std::uint64_t{}, std::chrono::milliseconds{}, done);
};

// Long polls deliver a change as soon as it is written. A shorter wait costs more calls; a longer
// wait delays the detection of a stalled connection.
constexpr std::chrono::milliseconds operator_poll_wait{10000};
// A leaving backend server must receive no requests 2 s after the store accepted its record.
// Servers write continuously, so a long poll would return immediately.
constexpr std::chrono::milliseconds backend_poll_interval{450};
constexpr std::chrono::milliseconds initial_retry_delay{250};
constexpr std::chrono::milliseconds max_retry_delay{1000};
// Processes receive a change within this time of each other; a process that has not received it by
// then reads the store and asks a peer.
constexpr std::chrono::milliseconds catch_up_delay{300};
constexpr std::chrono::milliseconds peer_request_interval{700};
// State from a reader is not relied on if the store confirmed it longer ago than this.
constexpr std::chrono::milliseconds max_relay_age{900};
// How long a failed or stale reader is bypassed before it is asked again.
constexpr std::chrono::milliseconds reader_bypass_time{3000};

struct feed_handlers
{
  std::function<void(const record&)> on_operator_record;
  /// `may_return_until`: see topic_state.
  std::function<void(const record&, std::optional<async_io::time_point> may_return_until)>
      on_backend_record;
  /// Requests the snapshot of one peer.
  std::function<void(std::function<void(result<peer_snapshot>)>)> ask_peer;
  /// Requests changes from the primary or backup reader of this failure domain. Returns false if
  /// there is none, or if this process has that role itself or is the primary reader.
  std::function<bool(reader_role, record_topic, std::uint64_t offset,
                     std::function<void(result<relay_page>)>)>
      ask_reader;
};

/// Follows the operator records and, for entries, the backend server records. Reads them from the
/// reader of the failure domain, from the store, or from any peer while both are unavailable.
template <record_store Store>
class state_follower
{
public:
  state_follower(async_io::event_loop& loop, Store& store, feed_handlers handlers,
                 bool follow_backends)
      : m_store(store), m_handlers(std::move(handlers)), m_follow_backends(follow_backends),
        m_operator(
            loop, record_topic::operator_records,
            [this](const record& change) { m_handlers.on_operator_record(change); },
            [this] { return last_confirmed(); }),
        m_backends(
            loop, record_topic::backend_servers,
            [this](const record& change)
            { m_handlers.on_backend_record(change, m_backends.state.may_return_until(now())); },
            [this] { return m_backends.state.confirmed_at(); }),
        m_catch_up_timer(loop), m_peer_timer(loop)
  {
  }

  void start()
  {
    read_next(m_operator);
    if (m_follow_backends)
    {
      read_next(m_backends);
    }
  }

  /// Called when a peer has applied the operator records up to this offset.
  void note_peer_offset(std::uint64_t offset)
  {
    m_peer_offset = std::max(m_peer_offset, offset);
    if (m_peer_offset <= m_operator.state.next_offset() || m_catch_up_pending)
    {
      return;
    }
    m_catch_up_pending = true;
    m_catch_up_timer.start(catch_up_delay, [this] { catch_up(); });
  }

  bool has_operator_records() const
  {
    return m_operator.state.is_initialized();
  }
  bool has_backends() const
  {
    return m_backends.state.is_initialized();
  }
  std::uint64_t operator_offset() const
  {
    return m_operator.state.next_offset();
  }
  /// Delay before the next attempt after a failed read of the operator records.
  std::chrono::milliseconds operator_retry_delay() const
  {
    return m_operator.retry_delay;
  }

  void serve_changes(record_topic topic, std::uint64_t offset, const std::string& excluded_key,
                     topic_relay::responder respond)
  {
    topic_feed& source = topic == record_topic::operator_records ? m_operator : m_backends;
    source.relay.serve(offset, excluded_key, std::move(respond));
  }

  peer_snapshot snapshot() const
  {
    peer_snapshot out;
    out.has_operator_records = m_operator.state.is_initialized();
    out.operator_records = m_operator.state.newest();
    out.has_backends = m_backends.state.is_initialized();
    out.backends = m_backends.state.newest();
    out.operator_age_ms = age_ms(last_confirmed());
    out.backend_age_ms = age_ms(m_backends.state.confirmed_at());
    return out;
  }

private:
  struct topic_feed
  {
    topic_feed(async_io::event_loop& loop, record_topic followed,
               topic_state::change_handler on_change,
               std::function<async_io::time_point()> confirmed_at)
        : topic(followed), state(std::move(on_change)), relay(loop, state, std::move(confirmed_at)),
          timer(loop)
    {
    }

    record_topic topic;
    topic_state state;
    topic_relay relay;
    async_io::timer timer;
    /// Number of the current read; a response to an earlier one does not start another read.
    std::uint64_t read_number = 0;
    std::chrono::milliseconds retry_delay = initial_retry_delay;
    bool resync = false;
    /// Until then the store is read directly, because the backup reader failed or had stale state,
    /// or because this process is behind its peers.
    async_io::time_point direct_until{};
    /// Until then the backup reader is asked, because the primary reader failed or had stale state.
    async_io::time_point backup_until{};
  };

  static async_io::time_point now()
  {
    return std::chrono::steady_clock::now();
  }

  static std::uint64_t age_ms(async_io::time_point confirmed_at)
  {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now() - confirmed_at).count());
  }

  /// A read of the operator records can wait for ten seconds. The backend server records are read
  /// continuously and show sooner that the store is reachable.
  async_io::time_point last_confirmed() const
  {
    return std::max(m_operator.state.confirmed_at(), m_backends.state.confirmed_at());
  }

  void read_next(topic_feed& feed)
  {
    const std::uint64_t read_number = ++feed.read_number;
    if (!feed.state.is_initialized() || feed.resync)
    {
      m_store.newest(feed.topic, [this, &feed, read_number](const result<record_page>& page)
                     { on_store_page(feed, read_number, page, true); });
      return;
    }
    if (now() >= feed.direct_until && read_from_reader(feed, read_number))
    {
      return;
    }
    const auto wait = feed.topic == record_topic::operator_records ? operator_poll_wait
                                                                   : std::chrono::milliseconds(0);
    m_store.read(feed.topic, feed.state.next_offset(), wait,
                 [this, &feed, read_number](const result<record_page>& page)
                 { on_store_page(feed, read_number, page, false); });
  }

  bool read_from_reader(topic_feed& feed, std::uint64_t read_number)
  {
    const auto role = now() < feed.backup_until ? reader_role::backup : reader_role::first;
    return m_handlers.ask_reader(role, feed.topic, feed.state.next_offset(),
                                 [this, &feed, read_number, role](const result<relay_page>& page)
                                 { on_relay_page(feed, read_number, role, page); });
  }

  /// The store is read directly only if the backup reader fails as well: a configuration that each
  /// of 110 processes in other regions reads from the store saturates the regional links for a
  /// second.
  void on_relay_page(topic_feed& feed, std::uint64_t read_number, reader_role role,
                     const result<relay_page>& page)
  {
    const bool usable = page && std::chrono::milliseconds(page->age_ms) < max_relay_age;
    if (page)
    {
      const auto confirmed_at = now() - std::chrono::milliseconds(page->age_ms);
      if (page->is_snapshot)
      {
        feed.state.apply_newest(page->page, confirmed_at);
      }
      else
      {
        feed.state.apply_changes(page->page, confirmed_at);
      }
      feed.relay.notify();
    }
    if (!usable)
    {
      auto& until = role == reader_role::first ? feed.backup_until : feed.direct_until;
      until = now() + reader_bypass_time;
    }
    if (read_number == feed.read_number)
    {
      read_next(feed);
    }
  }

  void on_store_page(topic_feed& feed, std::uint64_t read_number, const result<record_page>& page,
                     bool is_snapshot)
  {
    const bool applied = apply_store_page(feed, page, is_snapshot);
    if (read_number != feed.read_number)
    {
      return;
    }
    std::chrono::milliseconds pause{0};
    if (!applied)
    {
      pause = feed.retry_delay;
      // A process without state cannot serve requests, so it retries without backoff.
      if (feed.state.is_initialized())
      {
        feed.retry_delay = std::min(feed.retry_delay * 2, max_retry_delay);
      }
    }
    else
    {
      feed.retry_delay = initial_retry_delay;
      const bool needs_interval = feed.topic == record_topic::backend_servers && !feed.resync;
      pause = needs_interval ? backend_poll_interval : pause;
    }
    feed.timer.start(pause, [this, &feed] { read_next(feed); });
  }

  /// Returns false if the read failed and has to be retried after a delay.
  bool apply_store_page(topic_feed& feed, const result<record_page>& page, bool is_snapshot)
  {
    if (!page)
    {
      if (page.error().code == error_code::expired)
      {
        feed.resync = true;
        return true;
      }
      on_read_failure(feed, page.error());
      return false;
    }
    if (m_store_unreachable)
    {
      m_store_unreachable = false;
      log_info(log_category::log, "store reachable again");
    }
    if (!is_snapshot && page->end < feed.state.next_offset())
    {
      // The store ends before the offset already read: its log was rolled back.
      feed.resync = true;
      return true;
    }
    if (is_snapshot)
    {
      feed.state.apply_newest(*page, now());
      feed.resync = false;
    }
    else
    {
      feed.state.apply_changes(*page, now());
    }
    feed.relay.notify();
    return true;
  }

  void on_read_failure(const topic_feed& feed, const error& failure)
  {
    if (!m_store_unreachable)
    {
      m_store_unreachable = true;
      log_warning(log_category::log, "store does not answer; state comes from peers",
                  {{"reason", failure.message}});
    }
    if (!m_peer_request_pending || !feed.state.is_initialized())
    {
      read_from_peer();
    }
  }

  /// Runs when peers have newer records that the current read has not delivered: its connection may
  /// be stalled, or the reader of the failure domain may be cut off from the store.
  void catch_up()
  {
    m_catch_up_pending = false;
    if (m_peer_offset <= m_operator.state.next_offset())
    {
      return;
    }
    log_warning(log_category::log, "behind the operator's records of peers",
                {{"offset", m_operator.state.next_offset()}, {"peer_offset", m_peer_offset}});
    if (!m_peer_request_pending)
    {
      read_from_peer();
    }
    m_operator.direct_until = now() + reader_bypass_time;
    read_next(m_operator);
    m_catch_up_pending = true;
    m_catch_up_timer.start(peer_request_interval, [this] { catch_up(); });
  }

  void read_from_peer()
  {
    m_peer_request_pending = true;
    m_peer_timer.start(peer_request_interval,
                       [this]
                       {
                         m_peer_request_pending = false;
                         if (m_store_unreachable)
                         {
                           read_from_peer();
                         }
                       });
    m_handlers.ask_peer([this](const result<peer_snapshot>& snapshot)
                        { on_peer_snapshot(snapshot); });
  }

  void on_peer_snapshot(const result<peer_snapshot>& snapshot)
  {
    if (!snapshot)
    {
      return;
    }
    if (snapshot->has_operator_records)
    {
      // The peer may be cut off from the store too, so the age of its state is kept.
      m_operator.state.apply_newest(snapshot->operator_records,
                                    now() - std::chrono::milliseconds(snapshot->operator_age_ms));
      m_operator.relay.notify();
    }
    if (m_follow_backends && snapshot->has_backends)
    {
      m_backends.state.apply_newest(snapshot->backends,
                                    now() - std::chrono::milliseconds(snapshot->backend_age_ms));
      m_backends.relay.notify();
    }
  }

  Store& m_store;
  feed_handlers m_handlers;
  bool m_follow_backends;
  topic_feed m_operator;
  topic_feed m_backends;
  async_io::timer m_catch_up_timer;
  async_io::timer m_peer_timer;
  std::uint64_t m_peer_offset = 0;
  bool m_store_unreachable = false;
  bool m_catch_up_pending = false;
  bool m_peer_request_pending = false;
};

} // namespace pollenyoke::state_feed
