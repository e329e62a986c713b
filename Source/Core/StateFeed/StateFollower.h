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

// A read that waits at the store delivers a change at once; a shorter wait costs calls, a longer
// one finds a silent connection later.
constexpr std::chrono::milliseconds operator_wait{10000};
// A leaving backend server has to be out of use 2 s after the store took its record; servers write
// all the time, so that a waiting read would return at once.
constexpr std::chrono::milliseconds backend_interval{450};
constexpr std::chrono::milliseconds first_retry{250};
constexpr std::chrono::milliseconds longest_retry{1000};
// Peers hear of a change within this time of each other; after it, this process is behind.
constexpr std::chrono::milliseconds behind_tolerance{300};
constexpr std::chrono::milliseconds peer_interval{700};
// A reader whose own state is older than this does not serve its failure domain.
constexpr std::chrono::milliseconds longest_relay_age{900};
// After that, a process reads the store itself for this long.
constexpr std::chrono::milliseconds direct_time{3000};

struct feed_handlers
{
  std::function<void(const record&)> on_operator_record;
  /// `may_return_until`: see topic_state.
  std::function<void(const record&, std::optional<async_io::time_point> may_return_until)>
      on_backend_record;
  /// Asks one peer for its snapshot.
  std::function<void(std::function<void(result<peer_snapshot>)>)> ask_peer;
  /// Asks the reader of this failure domain for changes, or its deputy; false if this process is
  /// that one or comes before it.
  std::function<bool(reader_rank, record_topic, std::uint64_t offset,
                     std::function<void(result<relay_page>)>)>
      ask_reader;
};

/// Follows the operator's records and, for entries, those of the backend servers: from the store,
/// from the reader of the failure domain, or from any peer while neither serves this process.
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
            [this] { return m_backends.state.confirmed(); }),
        m_behind_timer(loop), m_peer_timer(loop)
  {
  }

  void start()
  {
    step(m_operator);
    if (m_follow_backends)
    {
      step(m_backends);
    }
  }

  /// A peer has applied the operator's records up to this offset.
  void note_peer_offset(std::uint64_t offset)
  {
    m_peer_offset = std::max(m_peer_offset, offset);
    if (m_peer_offset <= m_operator.state.next_offset() || m_behind)
    {
      return;
    }
    m_behind = true;
    m_behind_timer.start(behind_tolerance, [this] { catch_up(); });
  }

  bool has_operator_records() const
  {
    return m_operator.state.is_known();
  }
  bool has_backends() const
  {
    return m_backends.state.is_known();
  }
  std::uint64_t operator_offset() const
  {
    return m_operator.state.next_offset();
  }
  /// Pause before the next try after a failed read of the operator's records.
  std::chrono::milliseconds operator_retry() const
  {
    return m_operator.retry;
  }

  void serve_changes(record_topic topic, std::uint64_t offset, const std::string& left_out,
                     topic_relay::responder respond)
  {
    follower& source = topic == record_topic::operator_records ? m_operator : m_backends;
    source.relay.serve(offset, left_out, std::move(respond));
  }

  peer_snapshot snapshot() const
  {
    peer_snapshot out;
    out.has_operator_records = m_operator.state.is_known();
    out.operator_records = m_operator.state.newest();
    out.has_backends = m_backends.state.is_known();
    out.backends = m_backends.state.newest();
    out.operator_age_ms = age_ms(last_confirmed());
    out.backend_age_ms = age_ms(m_backends.state.confirmed());
    return out;
  }

private:
  struct follower
  {
    follower(async_io::event_loop& loop, record_topic followed,
             topic_state::change_handler on_change, std::function<async_io::time_point()> confirmed)
        : topic(followed), state(std::move(on_change)), relay(loop, state, std::move(confirmed)),
          timer(loop)
    {
    }

    record_topic topic;
    topic_state state;
    topic_relay relay;
    async_io::timer timer;
    /// Number of the present call; an answer to an earlier one starts no further call.
    std::uint64_t call = 0;
    std::chrono::milliseconds retry = first_retry;
    bool resync = false;
    async_io::time_point direct_until{};
    /// The first reader did not answer usefully; its deputy is asked until then.
    async_io::time_point deputy_until{};
  };

  static async_io::time_point now()
  {
    return std::chrono::steady_clock::now();
  }

  static std::uint64_t age_ms(async_io::time_point confirmed)
  {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now() - confirmed).count());
  }

  /// A read of the operator's records waits for ten seconds; those of the backend servers are read
  /// all the time and show sooner that the store answers this process.
  async_io::time_point last_confirmed() const
  {
    return std::max(m_operator.state.confirmed(), m_backends.state.confirmed());
  }

  void step(follower& topic)
  {
    const std::uint64_t call = ++topic.call;
    if (!topic.state.is_known() || topic.resync)
    {
      m_store.newest(topic.topic, [this, &topic, call](const result<record_page>& page)
                     { take_store_page(topic, call, page, true); });
      return;
    }
    if (now() >= topic.direct_until && ask_reader(topic, call))
    {
      return;
    }
    const auto wait = topic.topic == record_topic::operator_records ? operator_wait
                                                                    : std::chrono::milliseconds(0);
    m_store.read(topic.topic, topic.state.next_offset(), wait,
                 [this, &topic, call](const result<record_page>& page)
                 { take_store_page(topic, call, page, false); });
  }

  bool ask_reader(follower& topic, std::uint64_t call)
  {
    const auto rank = now() < topic.deputy_until ? reader_rank::deputy : reader_rank::first;
    return m_handlers.ask_reader(rank, topic.topic, topic.state.next_offset(),
                                 [this, &topic, call, rank](const result<relay_page>& page)
                                 { take_relay(topic, call, rank, page); });
  }

  /// The store is read directly only where the deputy fails as well: a configuration that each of
  /// 110 processes of other regions reads by itself fills the regional links for a second.
  void take_relay(follower& topic, std::uint64_t call, reader_rank rank,
                  const result<relay_page>& page)
  {
    const bool usable = page && std::chrono::milliseconds(page->age_ms) < longest_relay_age;
    if (page)
    {
      const auto confirmed = now() - std::chrono::milliseconds(page->age_ms);
      if (page->whole)
      {
        topic.state.apply_newest(page->page, confirmed);
      }
      else
      {
        topic.state.apply_changes(page->page, confirmed);
      }
      topic.relay.notify();
    }
    if (!usable)
    {
      auto& until = rank == reader_rank::first ? topic.deputy_until : topic.direct_until;
      until = now() + direct_time;
    }
    if (call == topic.call)
    {
      step(topic);
    }
  }

  void take_store_page(follower& topic, std::uint64_t call, const result<record_page>& page,
                       bool whole)
  {
    const bool good = apply_store_page(topic, page, whole);
    if (call != topic.call)
    {
      return;
    }
    std::chrono::milliseconds pause{0};
    if (!good)
    {
      pause = topic.retry;
      // A process without state serves nothing: it keeps trying at the shortest interval.
      if (topic.state.is_known())
      {
        topic.retry = std::min(topic.retry * 2, longest_retry);
      }
    }
    else
    {
      topic.retry = first_retry;
      const bool paced = topic.topic == record_topic::backend_servers && !topic.resync;
      pause = paced ? backend_interval : pause;
    }
    topic.timer.start(pause, [this, &topic] { step(topic); });
  }

  /// True if the next call may follow at once.
  bool apply_store_page(follower& topic, const result<record_page>& page, bool whole)
  {
    if (!page)
    {
      if (page.error().code == error_code::expired)
      {
        topic.resync = true;
        return true;
      }
      note_failure(topic, page.error());
      return false;
    }
    if (m_store_lost)
    {
      m_store_lost = false;
      log_info(log_category::log, "store reachable again");
    }
    if (!whole && page->end < topic.state.next_offset())
    {
      // The store holds less than was read before: its history was rewound.
      topic.resync = true;
      return true;
    }
    if (whole)
    {
      topic.state.apply_newest(*page, now());
      topic.resync = false;
    }
    else
    {
      topic.state.apply_changes(*page, now());
    }
    topic.relay.notify();
    return true;
  }

  void note_failure(const follower& topic, const error& failure)
  {
    if (!m_store_lost)
    {
      m_store_lost = true;
      log_warning(log_category::log, "store does not answer; state comes from peers",
                  {{"reason", failure.message}});
    }
    if (!m_asking || !topic.state.is_known())
    {
      ask_peer();
    }
  }

  /// Peers have newer records and the present call has not delivered them: its connection may be
  /// silent, or the reader of the failure domain cut off.
  void catch_up()
  {
    m_behind = false;
    if (m_peer_offset <= m_operator.state.next_offset())
    {
      return;
    }
    log_warning(log_category::log, "behind the operator's records of peers",
                {{"offset", m_operator.state.next_offset()}, {"peer_offset", m_peer_offset}});
    if (!m_asking)
    {
      ask_peer();
    }
    m_operator.direct_until = now() + direct_time;
    step(m_operator);
    m_behind = true;
    m_behind_timer.start(peer_interval, [this] { catch_up(); });
  }

  void ask_peer()
  {
    m_asking = true;
    m_peer_timer.start(peer_interval,
                       [this]
                       {
                         m_asking = false;
                         if (m_store_lost)
                         {
                           ask_peer();
                         }
                       });
    m_handlers.ask_peer([this](const result<peer_snapshot>& snapshot) { take_snapshot(snapshot); });
  }

  void take_snapshot(const result<peer_snapshot>& snapshot)
  {
    if (!snapshot)
    {
      return;
    }
    if (snapshot->has_operator_records)
    {
      // A peer may be cut off from the store as well.
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
  follower m_operator;
  follower m_backends;
  async_io::timer m_behind_timer;
  async_io::timer m_peer_timer;
  std::uint64_t m_peer_offset = 0;
  bool m_store_lost = false;
  bool m_behind = false;
  bool m_asking = false;
};

} // namespace pollenyoke::state_feed
