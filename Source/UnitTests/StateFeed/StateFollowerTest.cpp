#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/BootClock.h"
#include "StateFeed/StateFollower.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::state_feed;
using std::chrono::milliseconds;

/// Store stand-in whose reads the test completes; the others stay pending, as on a stalled
/// connection.
struct scripted_store
{
  struct call
  {
    std::string operation;
    page_handler done;
  };
  std::deque<call> calls;
  /// Checks of the operator's records, which come beside the reads.
  std::deque<page_handler> operator_checks;

  void newest(record_topic topic, page_handler done)
  {
    calls.push_back({topic == record_topic::operator_records ? "newest op" : "newest servers",
                     std::move(done)});
  }
  void read(record_topic topic, const record_read& what, page_handler done)
  {
    if (topic == record_topic::operator_records && what.is_check)
    {
      operator_checks.push_back(std::move(done));
      return;
    }
    const std::string name = topic == record_topic::operator_records ? "read op " : "read servers ";
    calls.push_back({name + std::to_string(what.from), std::move(done)});
  }

  std::string next_call() const
  {
    return calls.empty() ? "none" : calls.front().operation;
  }
  void answer(result<record_page> page)
  {
    const call first = std::move(calls.front());
    calls.pop_front();
    first.done(std::move(page));
  }
};

record_page page(std::vector<record> records, std::uint64_t end)
{
  return {std::move(records), end, end};
}

class state_follower_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(state_follower_test);
  CPPUNIT_TEST(follows_store_changes);
  CPPUNIT_TEST(expired_offset_triggers_resync);
  CPPUNIT_TEST(rolled_back_log_triggers_resync);
  CPPUNIT_TEST(rolled_back_log_is_not_read_without_a_pause);
  CPPUNIT_TEST(late_answer_of_a_check_is_no_rollback);
  CPPUNIT_TEST(later_era_in_a_part_of_the_changes_is_read_from_its_beginning);
  CPPUNIT_TEST(later_era_of_the_store_is_read_from_its_beginning);
  CPPUNIT_TEST(answer_of_a_former_era_is_not_applied);
  CPPUNIT_TEST(later_era_of_one_topic_replaces_the_read_of_the_other);
  CPPUNIT_TEST(process_that_hears_of_a_later_era_asks_at_once);
  CPPUNIT_TEST(reader_of_a_former_era_is_bypassed);
  CPPUNIT_TEST(peer_is_asked_when_store_fails);
  CPPUNIT_TEST(peer_is_asked_for_changes_only);
  CPPUNIT_TEST(state_of_a_peer_keeps_its_age);
  CPPUNIT_TEST(domain_reader_is_asked_before_store);
  CPPUNIT_TEST(first_state_comes_from_the_reader);
  CPPUNIT_TEST(reader_without_state_is_waited_for);
  CPPUNIT_TEST(process_without_state_does_not_repeat_its_first_read);
  CPPUNIT_TEST(unresponsive_reader_is_bypassed);
  CPPUNIT_TEST(stale_reader_is_bypassed);
  CPPUNIT_TEST(silent_reader_does_not_delay_the_news_of_leaving_servers);
  CPPUNIT_TEST(lost_read_of_the_store_does_not_delay_the_news_of_leaving_servers);
  CPPUNIT_TEST(servers_are_read_as_soon_as_the_store_answers_another_read);
  CPPUNIT_TEST(peer_with_current_state_is_asked_again);
  CPPUNIT_TEST(process_that_is_behind_asks_the_next_peer);
  CPPUNIT_TEST(failure_of_a_replaced_read_is_no_outage);
  CPPUNIT_TEST(every_reader_is_asked_before_store);
  CPPUNIT_TEST(agents_do_not_read_the_store_when_their_readers_are_down);
  CPPUNIT_TEST(stalled_read_of_the_store_is_not_repeated_at_once);
  CPPUNIT_TEST(newer_peer_offset_replaces_stalled_read);
  CPPUNIT_TEST(long_read_lost_in_an_outage_is_replaced_afterwards);
  CPPUNIT_TEST(short_outage_expires_no_record);
  CPPUNIT_TEST(no_backoff_before_initial_state);
  CPPUNIT_TEST(peer_is_asked_on_each_store_failure_without_state);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  scripted_store m_store;
  std::map<std::string, std::string> m_records;
  bool m_may_return = false;
  std::vector<std::string> m_readers;
  /// Responses of each process; a request without one stays pending.
  std::map<std::string, std::deque<result<relay_page>>> m_responses;
  struct sent_request
  {
    std::string ip;
    changes_request request;
    std::function<void(result<relay_page>)> done;
  };
  std::vector<sent_request> m_requests;
  /// Peers that are named in turn; "peer" if empty.
  std::deque<std::string> m_peers;
  int m_peer_request_count = 0;

  state_follower<scripted_store> make_follower(bool follow_backends,
                                               store_use use = store_use::direct)
  {
    return state_follower<scripted_store>(
        m_loop, m_store,
        {.on_operator_record = [this](const record& change)
         { m_records[change.key] = change.value.value_or("-"); },
         .on_backend_record =
             [this](const record& change, auto may_return_until)
         {
           m_records[change.key] = change.value.value_or("-");
           m_may_return = may_return_until.has_value();
         },
         .on_initialized = [] {},
         .readers = [this] { return m_readers; },
         .next_peer =
             [this]
         {
           ++m_peer_request_count;
           if (m_peers.empty())
           {
             return std::optional<std::string>("peer");
           }
           const std::string next = m_peers.front();
           m_peers.pop_front();
           m_peers.push_back(next);
           return std::optional(next);
         },
         .ask =
             [this](const std::string& ip, const changes_request& request, auto done)
         {
           m_requests.push_back({ip, request, done});
           auto& responses = m_responses[ip];
           if (!responses.empty())
           {
             const auto response = responses.front();
             responses.pop_front();
             done(response);
           }
         }},
        follow_backends, use);
  }

  std::size_t requests_to(const std::string& ip) const
  {
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
                                                  [&ip](const sent_request& sent)
                                                  { return sent.ip == ip; }));
  }

  static relay_page changes(std::vector<record> records, std::uint64_t end,
                            std::uint64_t age_ms = 0)
  {
    return {true, false, page(std::move(records), end), age_ms};
  }

  static relay_page snapshot(std::vector<record> records, std::uint64_t end,
                             std::uint64_t age_ms = 0)
  {
    return {true, true, page(std::move(records), end), age_ms};
  }

  static result<relay_page> failure()
  {
    return fail(error_code::unavailable, "cut off");
  }

  /// Runs the event loop until the store is called or `limit` has passed.
  void run_until_call(milliseconds limit = milliseconds(5000))
  {
    run_until([this] { return !m_store.calls.empty(); }, limit);
  }

  void run_until(const std::function<bool()>& condition, milliseconds limit = milliseconds(5000))
  {
    const auto end = current_time() + limit;
    std::function<void()> check = [&]
    {
      if (condition() || current_time() >= end)
      {
        m_loop.stop();
        return;
      }
      m_timer.start(milliseconds(5), check);
    };
    m_timer.start(milliseconds(0), check);
    m_loop.run();
  }

public:
  void follows_store_changes()
  {
    auto follower = make_follower(false);
    follower.start();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 1"), m_store.next_call());
    m_store.answer(page({{"config", "2", 1}}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
  }

  /// Guards against a reader that waits forever at an offset that the store no longer retains.
  void expired_offset_triggers_resync()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::expired, "gone"));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    m_store.answer(page({{"config", "9", 40}}, 41));
    CPPUNIT_ASSERT_EQUAL(std::string("9"), m_records["config"]);
  }

  void rolled_back_log_triggers_resync()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "5", 9}}, 10));
    run_until_call();
    m_store.answer(page({}, 3));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
  }

  /// Guards against a process that asks for the newest records and for changes in turn, as fast as
  /// the store answers, until its log has grown to the old offset again.
  void rolled_back_log_is_not_read_without_a_pause()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "5", 9}}, 10));
    run_until_call();
    m_store.answer(page({}, 3));
    CPPUNIT_ASSERT(follower.operator_retry_delay() > initial_retry_delay);
  }

  /// Guards against a read of the whole state because a check was answered before the last change
  /// and its answer comes after it.
  void late_answer_of_a_check_is_no_rollback()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    run_until([this] { return !m_store.operator_checks.empty(); });
    m_store.answer(page({{"config", "2", 1}}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
    m_store.operator_checks.front()(page({}, 1));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 2"), m_store.next_call());
  }

  static record_page page_of(std::uint64_t era, std::vector<record> records, std::uint64_t end)
  {
    record_page out = page(std::move(records), end);
    out.era = era;
    return out;
  }

  /// Guards against a topic that is never read anew because two checks in a row brought a part of
  /// it.
  void later_era_in_a_part_of_the_changes_is_read_from_its_beginning()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page_of(1, {{"config", "1", 0}}, 1));
    const auto answer_check = [this](record_page part)
    {
      m_store.operator_checks.clear();
      run_until([this] { return !m_store.operator_checks.empty(); });
      part.next = part.records.back().offset + 1;
      m_store.operator_checks.front()(std::move(part));
    };
    answer_check(page_of(1, {{"config", "2", 1}}, 9));
    answer_check(page_of(2, {{"config", "3", 2}}, 9));
    run_until([this] { return m_store.calls.back().operation == "newest op"; });
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.calls.back().operation);
  }

  /// The topic has grown past its old end before anybody has read it.
  void later_era_of_the_store_is_read_from_its_beginning()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page_of(1, {{"config", "5", 9}}, 10));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 10"), m_store.next_call());
    m_store.answer(page_of(2, {{"other", "1", 10}}, 11));
    CPPUNIT_ASSERT(!m_records.contains("other"));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    m_store.answer(page_of(2, {{"config", "7", 4}, {"other", "1", 10}}, 11));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), m_records["config"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 11"), m_store.next_call());
  }

  void answer_of_a_former_era_is_not_applied()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page_of(2, {{"config", "5", 9}}, 10));
    run_until_call();
    m_store.answer(page_of(1, {{"config", "4", 30}}, 31));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), m_records["config"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 10"), m_store.next_call());
  }

  /// Guards against a long read that waits for an offset which the store will reach much later.
  void later_era_of_one_topic_replaces_the_read_of_the_other()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page_of(1, {{"config", "1", 5}}, 6));
    m_store.answer(page_of(1, {{"s1", "up", 5}}, 6));
    const auto is_pending = [this](const std::string& operation)
    {
      return std::any_of(m_store.calls.begin(), m_store.calls.end(),
                         [&operation](const scripted_store::call& call)
                         { return call.operation == operation; });
    };
    run_until([&] { return is_pending("read op 6") && is_pending("read servers 6"); });
    const auto servers =
        std::find_if(m_store.calls.begin(), m_store.calls.end(),
                     [](const auto& call) { return call.operation == "read servers 6"; });
    const auto answer = servers->done;
    m_store.calls.clear();
    answer(page_of(2, {}, 6));
    run_until([&] { return is_pending("read op 6") && is_pending("newest servers"); });
    CPPUNIT_ASSERT(is_pending("read op 6") && is_pending("newest servers"));
  }

  void process_that_hears_of_a_later_era_asks_at_once()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page_of(1, {{"config", "1", 8}}, 9));
    run_until_call();
    m_store.calls.clear();
    relay_page news = snapshot({{"config", "2", 3}}, 4);
    news.page.era = 2;
    m_responses["peer"] = {news};
    follower.note_peer_position({2, 4});
    run_until([this] { return m_records["config"] == "2"; });
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
    CPPUNIT_ASSERT(follower.operator_position() == (log_position{2, 4}));
  }

  /// It is cut off from the store, and does not know of the restore.
  void reader_of_a_former_era_is_bypassed()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page_of(2, {{"config", "7", 3}}, 4));
    m_readers = {"reader"};
    relay_page former = snapshot({{"config", "5", 30}}, 31);
    former.page.era = 1;
    m_responses["reader"] = {former, former};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 4"), m_store.next_call());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("reader"));
    CPPUNIT_ASSERT_EQUAL(std::string("7"), m_records["config"]);
  }

  /// Guards against a process that keeps an old configuration while the store rejects its reads.
  void peer_is_asked_when_store_fails()
  {
    auto follower = make_follower(false);
    m_responses["peer"] = {snapshot({{"config", "4", 3}}, 4)};
    follower.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    CPPUNIT_ASSERT_EQUAL(1, m_peer_request_count);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), m_records["config"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 4"), m_store.next_call());
  }

  /// Guards against the outage in which 142 processes asked for the whole state of a peer every
  /// 0.7 s and filled the regional links.
  void peer_is_asked_for_changes_only()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "4", 3}}, 4));
    run_until_call();
    m_store.answer(fail(error_code::unavailable, "503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_requests.size());
    CPPUNIT_ASSERT(m_requests.front().request.from == std::optional(log_position{0, 4}));
    CPPUNIT_ASSERT(!m_requests.front().request.may_wait);
  }

  /// Guards against readers that cannot read the store and count as current because they take
  /// state from each other's followers, so that no process of their failure domains reads the
  /// store directly.
  void state_of_a_peer_keeps_its_age()
  {
    auto follower = make_follower(false);
    m_responses["peer"] = {snapshot({{"config", "4", 3}}, 4, 5000)};
    follower.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    std::uint64_t age_ms = 0;
    follower.serve_changes({record_topic::operator_records, log_position{}, false}, {},
                           [&age_ms](const std::string& body)
                           { age_ms = decode_relay_page(body).value().age_ms; });
    CPPUNIT_ASSERT(age_ms >= 5000);
  }

  void domain_reader_is_asked_before_store()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_readers = {"reader"};
    m_responses["reader"] = {changes({{"config", "1", 0}}, 1)};
    run_until([this] { return requests_to("reader") == 2; });
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_records["config"]);
    CPPUNIT_ASSERT(m_store.calls.empty());
  }

  /// Guards against the herd after a loss of power: each process of a failure domain read the whole
  /// state from the store over the same regional link.
  void first_state_comes_from_the_reader()
  {
    auto follower = make_follower(false);
    m_readers = {"reader"};
    m_responses["reader"] = {snapshot({{"config", "1", 0}}, 1)};
    follower.start();
    CPPUNIT_ASSERT(m_store.calls.empty());
    CPPUNIT_ASSERT(!m_requests.front().request.from);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_records["config"]);
  }

  /// Guards against processes that read the store because their reader has just started as well.
  void reader_without_state_is_waited_for()
  {
    auto follower = make_follower(false);
    m_readers = {"reader"};
    const relay_page nothing{.has_state = false};
    m_responses["reader"] = {nothing, nothing, nothing, snapshot({{"config", "1", 0}}, 1)};
    follower.start();
    CPPUNIT_ASSERT(m_store.calls.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_records["config"]);
  }

  /// Guards against a whole read that is started again every 0.7 s while the first one is still
  /// arriving over a full link.
  void process_without_state_does_not_repeat_its_first_read()
  {
    auto follower = make_follower(false);
    follower.start();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    const auto first = std::move(m_store.calls.front());
    m_store.calls.clear();
    follower.note_peer_position({0, 16});
    run_until_call(milliseconds(500));
    CPPUNIT_ASSERT(m_store.calls.empty());
    CPPUNIT_ASSERT_EQUAL(0, m_peer_request_count);
  }

  /// Guards against a failure domain that gets no changes because its reader is unreachable.
  void unresponsive_reader_is_bypassed()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_readers = {"reader"};
    m_responses["reader"] = {failure()};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
  }

  /// Guards against a revoked key that stays valid because the reader of the failure domain is cut
  /// off from the store but still reachable within the domain.
  void stale_reader_is_bypassed()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_readers = {"reader"};
    m_responses["reader"] = {changes({}, 0, 5000), changes({}, 0)};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
    m_store.answer(page({}, 0));
    // Subsequent reads also go to the store, although the reader would respond.
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("reader"));
  }

  /// Guards against requests to a server that has said that it leaves, while one reader after the
  /// other is asked and does not answer.
  void silent_reader_does_not_delay_the_news_of_leaving_servers()
  {
    m_readers = {"reader"};
    auto follower = make_follower(true);
    follower.start();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_requests.size());
    CPPUNIT_ASSERT(m_requests[1].request.topic == record_topic::backend_servers);
    m_requests[1].done(snapshot({{"s1", "ready", 4}}, 5));
    CPPUNIT_ASSERT_EQUAL(std::string("ready"), m_records["s1"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read servers 5"), m_store.next_call());
    m_store.answer(page({{"s1", "draining", 5}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), m_records["s1"]);
    // The reader is still waited for, and no second read follows the one of the store.
    CPPUNIT_ASSERT_EQUAL(std::string("none"), m_store.next_call());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests_to("reader"));
  }

  /// Guards against requests to a server that has said that it leaves, while the reader of the
  /// failure domain waits for an answer of the store that was lost.
  void lost_read_of_the_store_does_not_delay_the_news_of_leaving_servers()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page({}, 0));
    m_store.answer(page({{"s1", "ready", 4}}, 5));
    const auto reads_of_servers = [this]
    {
      return std::count_if(m_store.calls.begin(), m_store.calls.end(),
                           [](const scripted_store::call& call)
                           { return call.operation == "read servers 5"; });
    };
    run_until([&] { return reads_of_servers() == 2; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, reads_of_servers());
    m_store.calls.back().done(page({{"s1", "draining", 5}}, 6));
    CPPUNIT_ASSERT_EQUAL(std::string("draining"), m_records["s1"]);
  }

  /// Guards against state of the servers that stays old for another second after the store is back,
  /// because their read waits for its pause.
  void servers_are_read_as_soon_as_the_store_answers_another_read()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    m_store.answer(page({{"s1", "up", 0}}, 1));
    std::optional<scripted_store::call> long_read;
    // The read of the servers fails until its pause has grown.
    for (int failures = 0; failures < 4;)
    {
      run_until_call();
      if (m_store.next_call() == "read op 1")
      {
        long_read = std::move(m_store.calls.front());
        m_store.calls.pop_front();
        continue;
      }
      m_store.answer(fail(error_code::timeout, "silent"));
      ++failures;
    }
    CPPUNIT_ASSERT(long_read);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), m_store.next_call());
    long_read->done(page({{"config", "2", 1}}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("read servers 1"), m_store.next_call());
  }

  /// Guards against state that grows old beside a current peer, because the next peers in turn are
  /// as cut off from the store as this process.
  void peer_with_current_state_is_asked_again()
  {
    m_peers = {"cut off", "current", "cut off too"};
    m_responses["cut off"] = {changes({}, 1, 5000)};
    m_responses["current"] = {changes({}, 1), changes({}, 1)};
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::unavailable, "503"));
    run_until([this] { return m_requests.size() >= 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("cut off"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests_to("current"));
    // A peer that has fallen behind is left.
    m_responses["current"] = {changes({}, 1, 5000)};
    run_until([this] { return requests_to("cut off too") == 1; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("cut off too"));
  }

  /// Guards against a peer that has current state of the servers, and an old configuration, and is
  /// asked again and again.
  void process_that_is_behind_asks_the_next_peer()
  {
    m_peers = {"current", "newer"};
    m_responses["current"] = {changes({}, 1)};
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::unavailable, "503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("current"));
    follower.note_peer_position({0, 2});
    run_until([this] { return m_requests.size() >= 2; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_to("newer"));
  }

  /// Guards against a process that turns to its peers although the store answers, because a read
  /// that was replaced fails in the end.
  void failure_of_a_replaced_read_is_no_outage()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page({}, 0));
    m_store.answer(page({{"s1", "ready", 4}}, 5));
    const auto is_read_of_servers = [](const scripted_store::call& call)
    {
      return call.operation == "read servers 5";
    };
    run_until(
        [&] {
          return std::count_if(m_store.calls.begin(), m_store.calls.end(), is_read_of_servers) == 2;
        });
    const auto lost = std::find_if(m_store.calls.begin(), m_store.calls.end(), is_read_of_servers);
    m_store.calls.back().done(page({}, 5));
    lost->done(fail(error_code::timeout, "lost"));
    CPPUNIT_ASSERT_EQUAL(0, m_peer_request_count);
  }

  /// Guards against all processes of a failure domain reading the store at once when its first
  /// readers are cut off or have lost power together, which saturates the regional links.
  void every_reader_is_asked_before_store()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_readers = {"first", "second", "third"};
    m_responses["first"] = {failure()};
    m_responses["second"] = {failure()};
    m_responses["third"] = {changes({{"config", "1", 0}}, 1), changes({{"config", "2", 1}}, 2),
                            failure()};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
    // The store is read only after the last reader has failed too.
    CPPUNIT_ASSERT(m_responses["third"].empty());
    CPPUNIT_ASSERT_EQUAL(std::string("read op 2"), m_store.next_call());
  }

  /// Guards against the agents of a failure domain reading each configuration from the store while
  /// its readers are down; they do not need it.
  void agents_do_not_read_the_store_when_their_readers_are_down()
  {
    auto follower = make_follower(false, store_use::last_resort);
    follower.start();
    m_store.answer(page({}, 0));
    m_readers = {"first", "second"};
    m_responses["first"] = {failure()};
    m_responses["second"] = {failure()};
    m_responses["peer"] = {changes({{"version", "3", 0}}, 1)};
    run_until([this] { return m_peer_request_count > 0; });
    CPPUNIT_ASSERT_EQUAL(std::string("3"), m_records["version"]);
    CPPUNIT_ASSERT(m_store.calls.empty());
  }

  /// Guards against a read of the store that is started every 0.7 s and brings all records since
  /// each time once its link is no longer full. Checks bring one record, and grow rare.
  void stalled_read_of_the_store_is_not_repeated_at_once()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    run_until_call();
    m_store.calls.clear();
    follower.note_peer_position({0, 3});
    run_until([this] { return m_peer_request_count >= 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_store.calls.size());
    CPPUNIT_ASSERT(m_store.operator_checks.size() <= 6);
  }

  void newer_peer_offset_replaces_stalled_read()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    run_until_call();
    const auto stalled = std::move(m_store.calls.front());
    m_store.calls.clear();
    follower.note_peer_position({0, 3});
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(1, m_peer_request_count);
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
  }

  /// Guards against configurations that are ten seconds late after an outage in which the store
  /// took calls and answered none: the long reads of all readers were lost, and no peer knew more.
  void long_read_lost_in_an_outage_is_replaced_afterwards()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    m_store.answer(page({{"s1", "up", 0}}, 1));
    const auto is_pending = [this](const std::string& operation)
    {
      return std::any_of(m_store.calls.begin(), m_store.calls.end(),
                         [&operation](const scripted_store::call& call)
                         { return call.operation == operation; });
    };
    run_until([&] { return is_pending("read op 1") && is_pending("read servers 1"); });
    std::erase_if(m_store.calls,
                  [](const scripted_store::call& call) { return call.operation == "read op 1"; });
    m_store.answer(fail(error_code::timeout, "silent"));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read servers 1"), m_store.next_call());
    m_store.answer(page({}, 1));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 1"), m_store.next_call());
  }

  /// Guards against a leaving server that stays in use after a single lost response.
  void short_outage_expires_no_record()
  {
    auto follower = make_follower(true);
    follower.start();
    m_store.answer(page({}, 0));
    m_store.answer(page({{"s1", "up", 0}}, 1));
    m_store.calls.clear();
    run_until_call();
    while (m_store.next_call() != "read servers 1")
    {
      m_store.calls.pop_front();
      run_until_call();
    }
    m_store.answer(fail(error_code::closed, "lost"));
    run_until_call();
    while (m_store.next_call() != "read servers 1")
    {
      m_store.calls.pop_front();
      run_until_call();
    }
    m_store.answer(page({{"s1", std::nullopt, 1}}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("-"), m_records["s1"]);
    CPPUNIT_ASSERT(!m_may_return);
  }

  /// Guards against a process that serves no requests for up to a second after the store recovers,
  /// because its retry delay grew although it had no configuration yet.
  void no_backoff_before_initial_state()
  {
    auto follower = make_follower(false);
    follower.start();
    for (int attempt = 0; attempt < 4; ++attempt)
    {
      CPPUNIT_ASSERT_EQUAL(initial_retry_delay.count(), follower.operator_retry_delay().count());
      CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
      m_store.answer(fail(error_code::closed, "reset"));
      run_until_call();
    }
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::closed, "reset"));
    // With a configuration applied, the retry delay may grow.
    CPPUNIT_ASSERT(follower.operator_retry_delay() > initial_retry_delay);
  }

  /// Guards against a process that gets its peers' configuration late because successful reads of
  /// another topic make the store count as reachable.
  void peer_is_asked_on_each_store_failure_without_state()
  {
    auto follower = make_follower(false);
    follower.start();
    for (int attempt = 1; attempt <= 4; ++attempt)
    {
      m_store.answer(fail(error_code::closed, "reset"));
      CPPUNIT_ASSERT_EQUAL(attempt, m_peer_request_count);
      run_until_call();
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(state_follower_test, "StateFeed.Follower");

} // namespace
