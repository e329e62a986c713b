#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Result.h"
#include "StateFeed/CheckSchedule.h"
#include "StateFeed/FeedHandlers.h"
#include "StateFeed/FeedTiming.h"
#include "StateFeed/RelayPage.h"
#include "StateFeed/TopicRelay.h"
#include "StateFeed/TopicState.h"

namespace pollenyoke::state_feed
{

/// Follows the operator records and, for entries, the backend server records. Reads them from the
/// readers of the failure domain, from the store, or from any peer while both are unavailable.
template <record_store Store>
class state_follower
{
public:
  state_follower(async_io::event_loop& loop, Store& store, feed_handlers handlers,
                 bool follow_backends, store_use use = store_use::direct,
                 std::chrono::milliseconds backend_heartbeat = default_heartbeat,
                 const feed_timing& timing = {})
      : m_store(store), m_handlers(std::move(handlers)), m_follow_backends(follow_backends),
        m_store_use(use), m_timing(timing),
        m_operator(
            loop, record_topic::operator_records,
            [this](const record& change) { m_handlers.on_operator_record(change); },
            [this] { return m_operator.state.confirmed_at(); }, default_heartbeat, timing,
            use == store_use::last_resort ? peer_request_interval : timing.check_patience,
            {.is_older = m_handlers.is_older_operator_record, .retains_missing = true}),
        m_backends(
            loop, record_topic::backend_servers,
            [this](const record& change) {
              m_handlers.on_backend_record(change,
                                           m_backends.state.may_return_until(change, now()));
            },
            [this] { return m_backends.state.confirmed_at(); }, backend_heartbeat, timing,
            timing.check_patience, {.is_older = m_handlers.is_older_backend_record}),
        m_catch_up_timer(loop), m_peer_timer(loop), m_check_timer(loop)
  {
  }

  void start()
  {
    m_started = now();
    read_next(m_operator);
    if (m_follow_backends)
    {
      read_next(m_backends);
    }
    check_ages();
  }

  /// Called when a peer has applied the operator records up to this position.
  void note_peer_position(const log_position& position)
  {
    m_peer_position = std::max(m_peer_position, position);
    // A process without state is not late: its first read is on its way.
    if (!m_operator.state.is_initialized() || m_peer_position <= m_operator.state.position() ||
        m_catch_up_pending)
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
  log_position operator_position() const
  {
    return m_operator.state.position();
  }
  /// Time since the operator's records, and those of the backend servers, were last confirmed.
  std::chrono::milliseconds operator_age() const
  {
    return age_of(m_operator);
  }
  std::chrono::milliseconds backend_age() const
  {
    return age_of(m_backends);
  }
  /// Delay before the next attempt after a failed read of the operator records.
  std::chrono::milliseconds operator_retry_delay() const
  {
    return m_operator.retry_delay;
  }

  void serve_changes(const changes_request& request, const std::string& excluded_key,
                     topic_relay::responder respond)
  {
    topic_feed& source = request.topic == record_topic::operator_records ? m_operator : m_backends;
    source.relay.serve(request, excluded_key, std::move(respond));
  }

private:
  struct topic_feed
  {
    topic_feed(async_io::event_loop& loop, record_topic followed,
               topic_state::change_handler on_change,
               std::function<async_io::time_point()> confirmed_at,
               std::chrono::milliseconds heartbeat, const feed_timing& timing,
               std::chrono::milliseconds check_patience, restore_rules rules)
        : topic(followed), state(std::move(on_change), heartbeat, std::move(rules)),
          relay(loop, state, std::move(confirmed_at), timing), timer(loop), checks(check_patience)
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
    /// Readers that failed or had stale state, and until when they are bypassed.
    std::map<std::string, async_io::time_point> bypassed_until;
    /// The reader that the current read asks; empty if it asks the store.
    std::string current_reader;
    check_schedule checks;
    /// When the rest of a check's page was read last.
    async_io::time_point rest_read_at{};
    /// When records were applied last.
    async_io::time_point advanced_at{};
  };

  /// Where a page of records comes from.
  struct page_origin
  {
    /// Address of a process, `store`, or `check` for a read of the store beside the current one.
    std::string source;
    /// When it was asked.
    async_io::time_point asked;
  };

  static async_io::time_point now()
  {
    return current_time();
  }

  static std::chrono::milliseconds age_of(const topic_feed& feed)
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now() - feed.state.confirmed_at());
  }

  static page_origin store_origin()
  {
    return {"store", now()};
  }

  /// Applies a page and logs what it changed: how long its read took, how old the records had
  /// become meanwhile, and how long it took to put the change in force.
  template <std::invocable Apply>
  void apply_from(topic_feed& feed, const page_origin& origin, Apply apply)
  {
    const auto before = feed.state.position();
    const bool had_state = feed.state.is_initialized();
    const auto confirmed = feed.state.confirmed_at();
    const auto began = now();
    apply();
    if (had_state && feed.state.position() == before)
    {
      return;
    }
    feed.advanced_at = now();
    if (&feed != &m_operator)
    {
      return;
    }
    const auto ms = [](std::chrono::nanoseconds time)
    {
      return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    log_info(log_category::log, "operator's records changed",
             {{"source", origin.source},
              {"offset", feed.state.next_offset()},
              {"read_ms", ms(began - origin.asked)},
              {"age_ms", had_state ? ms(began - confirmed) : 0},
              {"apply_ms", ms(now() - began)}});
  }

  /// Asks the first reader that is not bypassed; without one, reads the store, or asks a peer if
  /// this process reads the store as a last resort only.
  void read_next(topic_feed& feed)
  {
    const std::uint64_t read_number = ++feed.read_number;
    feed.timer.cancel();
    const auto readers = m_handlers.readers();
    const auto reader =
        std::find_if(readers.begin(), readers.end(),
                     [&feed](const std::string& ip) { return !is_bypassed(feed, ip); });
    if (reader != readers.end())
    {
      read_from_reader(feed, read_number, *reader);
      return;
    }
    feed.current_reader.clear();
    if (!readers.empty() && m_store_use == store_use::last_resort)
    {
      request_from_peer();
      feed.timer.start(peer_request_interval, [this, &feed] { read_next(feed); });
      return;
    }
    read_from_store(feed, read_number);
  }

  static bool is_bypassed(const topic_feed& feed, const std::string& ip)
  {
    const auto until = feed.bypassed_until.find(ip);
    return until != feed.bypassed_until.end() && now() < until->second;
  }

  void read_from_store(topic_feed& feed, std::uint64_t read_number)
  {
    if (!feed.state.is_initialized() || feed.resync)
    {
      m_store.newest(feed.topic, [this, &feed, read_number,
                                  origin = store_origin()](const result<record_page>& page)
                     { on_store_page(feed, read_number, page, true, origin); });
      return;
    }
    const auto wait = feed.topic == record_topic::operator_records ? operator_poll_wait
                                                                   : std::chrono::milliseconds(0);
    m_store.read(
        feed.topic, {.from = feed.state.next_offset(), .wait = wait},
        [this, &feed, read_number, origin = store_origin()](const result<record_page>& page)
        { on_store_page(feed, read_number, page, false, origin); });
  }

  static changes_request make_request(const topic_feed& feed, bool may_wait)
  {
    const bool needs_all = !feed.state.is_initialized() || feed.resync;
    return {feed.topic, needs_all ? std::nullopt : std::optional(feed.state.position()), may_wait};
  }

  void read_from_reader(topic_feed& feed, std::uint64_t read_number, const std::string& ip)
  {
    feed.current_reader = ip;
    m_handlers.ask(
        ip, make_request(feed, true),
        [this, &feed, read_number, origin = page_origin{ip, now()}](const result<relay_page>& page)
        { on_relay_page(feed, read_number, origin, page); });
  }

  void on_relay_page(topic_feed& feed, std::uint64_t read_number, const page_origin& origin,
                     const result<relay_page>& page)
  {
    apply_from(feed, origin, [&] { apply_relay_page(feed, page, origin); });
    const bool usable = is_current(page) && page->page.era.value_or(0) >= feed.state.era();
    const bool awaits_first_state = page && !page->has_state && !feed.state.is_initialized() &&
                                    now() - m_started < first_state_patience;
    if (!usable && !awaits_first_state)
    {
      feed.bypassed_until[origin.source] = now() + reader_bypass_time;
    }
    if (read_number != feed.read_number)
    {
      return;
    }
    read_next(feed);
  }

  /// The page was made at the end of the time for which it was held, or later. What passed besides
  /// on its way counts towards its age: it may have waited in a full link, or this process may have
  /// stood still.
  static confirmation confirmed_by(const relay_page& page, const page_origin& origin)
  {
    const std::chrono::milliseconds age(page.age_ms);
    return {origin.asked + std::chrono::milliseconds(page.held_ms) - age, now() - age};
  }

  void apply_relay_page(topic_feed& feed, const result<relay_page>& page, const page_origin& origin)
  {
    if (!page || !page->has_state || is_former(feed, page->page))
    {
      return;
    }
    note_era(feed, page->page);
    const auto confirmed = confirmed_by(*page, origin);
    if (page->is_snapshot)
    {
      feed.state.apply_newest(page->page, confirmed);
      feed.resync = false;
    }
    else
    {
      feed.state.apply_changes(page->page, confirmed);
    }
    feed.relay.notify();
    report_first_state();
  }

  void report_first_state()
  {
    const bool initialized = m_operator.state.is_initialized() &&
                             (!m_follow_backends || m_backends.state.is_initialized());
    if (initialized && !m_initialized)
    {
      m_initialized = true;
      m_handlers.on_initialized();
      check_ages();
    }
  }

  void on_store_page(topic_feed& feed, std::uint64_t read_number, const result<record_page>& page,
                     bool is_snapshot, const page_origin& origin)
  {
    if (read_number != feed.read_number && !page)
    {
      return;
    }
    bool applied = false;
    apply_from(feed, origin, [&] { applied = apply_store_page(feed, page, is_snapshot, origin); });
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
      pause = needs_interval ? m_timing.poll_interval : pause;
    }
    feed.timer.start(pause, [this, &feed] { read_next(feed); });
  }

  /// The store answered no sooner than it was asked, so that the records are as old as the read.
  /// Returns false if the next read has to wait for a delay.
  bool apply_store_page(topic_feed& feed, const result<record_page>& page, bool is_snapshot,
                        const page_origin& origin)
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
      replace_reads_of_outage(feed);
    }
    if (is_former(feed, *page))
    {
      // An answer from before the restore that arrives late.
      return false;
    }
    if (note_era(feed, *page) && !is_snapshot)
    {
      // Offsets start anew, and the topic may have grown past the one of this read already.
      feed.resync = true;
      return true;
    }
    if (!is_snapshot && page->end < feed.state.next_offset())
    {
      if (origin.asked < feed.advanced_at)
      {
        // Another read was answered after this one, and its answer came first.
        return true;
      }
      // The store ends before the offset already read, and names no other era: its log was rolled
      // back. Neither the newest records nor changes help until it has grown again.
      feed.resync = true;
      return false;
    }
    if (is_snapshot)
    {
      feed.state.apply_newest(*page, {origin.asked, now()});
      feed.resync = false;
    }
    else
    {
      feed.state.apply_changes(*page, {origin.asked, now()});
    }
    feed.relay.notify();
    report_first_state();
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
      request_from_peer();
    }
  }

  static bool is_former(const topic_feed& feed, const record_page& page)
  {
    return feed.state.is_initialized() && page.era && *page.era < feed.state.era();
  }

  /// Returns true if the page is of a later era than the state of the topic. The other topic is
  /// read anew as well: its read may wait at the store for an offset of the former era.
  bool note_era(const topic_feed& feed, const record_page& page)
  {
    const bool is_later = feed.state.is_initialized() && page.era && *page.era > feed.state.era();
    if (is_later && *page.era > m_newest_era)
    {
      m_newest_era = *page.era;
      log_warning(log_category::log, "store came back from an older copy",
                  {{"era", *page.era},
                   {"operator_offset", m_operator.state.next_offset()},
                   {"server_offset", m_backends.state.next_offset()}});
      m_handlers.on_store_restored();
      replace_reads_of_outage(feed);
    }
    return is_later;
  }

  /// Runs when peers have newer records that the current read has not delivered: its connection may
  /// be stalled, or the reader of the failure domain may be cut off from the store.
  void catch_up()
  {
    m_catch_up_pending = false;
    if (m_peer_position <= m_operator.state.position())
    {
      return;
    }
    log_warning(log_category::log, "behind the operator's records of peers",
                {{"offset", m_operator.state.next_offset()},
                 {"peer_offset", m_peer_position.offset},
                 {"era", m_operator.state.era()},
                 {"peer_era", m_peer_position.era}});
    if (!m_peer_request_pending)
    {
      request_from_peer();
    }
    replace_stalled_read();
    m_catch_up_pending = true;
    m_catch_up_timer.start(peer_request_interval, [this] { catch_up(); });
  }

  /// A read of the store is replaced once in a while only: each one may bring a whole
  /// configuration.
  void replace_stalled_read()
  {
    if (!m_operator.current_reader.empty())
    {
      m_operator.bypassed_until[m_operator.current_reader] = now() + reader_bypass_time;
    }
    else if (now() < m_stalled_read_replaced + reader_bypass_time)
    {
      return;
    }
    m_stalled_read_replaced = now();
    read_next(m_operator);
  }

  /// A read that was sent during an outage may never be answered, and the pause after a failed one
  /// is as long as a change may take. Peers cannot tell either, if it concerned all readers.
  void replace_reads_of_outage(const topic_feed& answered)
  {
    for (topic_feed* feed : {&m_operator, &m_backends})
    {
      const bool is_followed = feed == &m_operator || m_follow_backends;
      if (is_followed && feed != &answered && feed->current_reader.empty())
      {
        read_next(*feed);
      }
    }
  }

  bool asks_store(const topic_feed& feed) const
  {
    return feed.current_reader.empty() &&
           (m_store_use == store_use::direct || m_handlers.readers().empty());
  }

  /// Checks beside a long poll go on all the time.
  bool is_usual_check(const topic_feed& feed) const
  {
    return asks_store(feed) && &feed == &m_operator;
  }

  /// Age at which the records are checked. A long poll that has gone silent looks like one without
  /// news.
  std::chrono::milliseconds check_age(const topic_feed& feed) const
  {
    if (is_usual_check(feed))
    {
      return m_timing.poll_interval;
    }
    return m_timing.max_age * (m_store_use == store_use::last_resort ? last_resort_age_factor : 1);
  }

  /// Whichever read or request on the way to this process is lost, and however long its own time
  /// limit is, the records are checked before they are too old.
  void check_ages()
  {
    auto next = now() + m_timing.poll_interval;
    for (topic_feed* feed : {&m_operator, &m_backends})
    {
      if (!feed->state.is_initialized() || feed->resync)
      {
        continue;
      }
      const auto confirmed_at = feed->state.confirmed_at();
      if (now() >= feed->checks.due(confirmed_at, check_age(*feed)))
      {
        check(*feed);
      }
      next = std::min(next, feed->checks.due(confirmed_at, check_age(*feed)));
    }
    m_check_timer.start(std::max<std::chrono::nanoseconds>(next - now(), min_check_delay),
                        [this] { check_ages(); });
  }

  void check(topic_feed& feed)
  {
    const auto confirmed_at = feed.state.confirmed_at();
    const bool is_repeated = feed.checks.is_repeated(confirmed_at);
    feed.checks.note_sent(confirmed_at, now());
    if (!is_repeated && now() - confirmed_at >= m_timing.max_age)
    {
      log_warning(log_category::log, "records are old; they are checked beside the current read",
                  {{"topic", feed.topic == record_topic::operator_records ? "operator" : "servers"},
                   {"age_ms", age_of(feed).count()},
                   {"source", feed.current_reader.empty() ? "store" : feed.current_reader}});
    }
    if (m_store_use == store_use::last_resort && !m_handlers.readers().empty())
    {
      if (!m_peer_request_pending)
      {
        request_from_peer();
      }
      return;
    }
    // Only the usual checks of a reader use an idle connection, which may have gone silent too.
    read_beside(feed, {.from = feed.state.next_offset(),
                       .new_connection = is_repeated || !is_usual_check(feed),
                       .is_check = true});
  }

  /// Interval at which what a check has left is read.
  std::chrono::milliseconds rest_read_interval() const
  {
    return 2 * m_timing.check_patience;
  }

  void read_beside(topic_feed& feed, const record_read& what)
  {
    m_store.read(feed.topic, what,
                 [this, &feed, origin = page_origin{"check", now()}](
                     const result<record_page>& page) { on_check(feed, page, origin); });
  }

  void on_check(topic_feed& feed, const result<record_page>& page, const page_origin& origin)
  {
    if (!page && page.error().code != error_code::expired)
    {
      return;
    }
    const bool has_news = !page || log_position{page->era.value_or(feed.state.era()), page->end} >
                                       feed.state.position();
    const bool is_partial = page && page->next < page->end;
    // The rest may be arriving over a full link.
    const bool rest_is_read = is_partial && now() < feed.rest_read_at + rest_read_interval();
    if (is_partial && !rest_is_read)
    {
      feed.rest_read_at = now();
    }
    if (asks_store(feed) && !rest_is_read && (has_news || &feed == &m_backends))
    {
      // Takes the place of the read whose answer has not come.
      on_store_page(feed, ++feed.read_number, page, false, origin);
      return;
    }
    apply_from(feed, origin, [&] { apply_store_page(feed, page, false, origin); });
    if (feed.resync)
    {
      feed.current_reader.clear();
      read_from_store(feed, ++feed.read_number);
      return;
    }
    if (is_partial && !rest_is_read)
    {
      read_beside(feed, {.from = feed.state.next_offset(), .new_connection = true});
    }
  }

  /// Asks one peer for changes, and another one later if the store still does not answer.
  void request_from_peer()
  {
    m_peer_request_pending = true;
    m_peer_timer.start(peer_request_interval,
                       [this]
                       {
                         m_peer_request_pending = false;
                         if (m_store_unreachable)
                         {
                           request_from_peer();
                         }
                       });
    // Another peer may have the records of the operator that the current one lacks.
    const bool is_behind = m_peer_position > m_operator.state.position();
    const auto peer = m_current_peer && !is_behind ? m_current_peer : m_handlers.next_peer();
    m_current_peer.reset();
    if (!peer)
    {
      return;
    }
    const auto topics_left = std::make_shared<unsigned>(m_follow_backends ? 2 : 1);
    request_from(*peer, m_operator, topics_left);
    if (m_follow_backends)
    {
      request_from(*peer, m_backends, topics_left);
    }
  }

  /// `topics_left`: how many topics of the peer are not known to be current. It may be ahead in one
  /// and cut off from the store in the other.
  void request_from(const std::string& peer, topic_feed& feed,
                    const std::shared_ptr<unsigned>& topics_left)
  {
    // The peer may be cut off from the store too, so the age of its state is kept.
    m_handlers.ask(peer, make_request(feed, false),
                   [this, &feed, topics_left,
                    origin = page_origin{peer, now()}](const result<relay_page>& page)
                   {
                     apply_from(feed, origin, [&] { apply_relay_page(feed, page, origin); });
                     if (is_current(page) && --*topics_left == 0)
                     {
                       m_current_peer = origin.source;
                     }
                   });
  }

  bool is_current(const result<relay_page>& page) const
  {
    return page && page->has_state &&
           std::chrono::milliseconds(page->age_ms) < m_timing.max_relay_age;
  }

  Store& m_store;
  feed_handlers m_handlers;
  bool m_follow_backends;
  store_use m_store_use;
  feed_timing m_timing;
  async_io::time_point m_started{};
  async_io::time_point m_stalled_read_replaced{};
  topic_feed m_operator;
  topic_feed m_backends;
  async_io::timer m_catch_up_timer;
  async_io::timer m_peer_timer;
  async_io::timer m_check_timer;
  /// Peer that had current state when it was asked last; it is asked again before the next one.
  std::optional<std::string> m_current_peer;
  log_position m_peer_position;
  std::uint64_t m_newest_era = 0;
  bool m_initialized = false;
  bool m_store_unreachable = false;
  bool m_catch_up_pending = false;
  bool m_peer_request_pending = false;
};

} // namespace pollenyoke::state_feed
