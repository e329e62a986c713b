#include <deque>
#include <map>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "StateFeed/StateFollower.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::state_feed;
using std::chrono::milliseconds;

/// Answers calls from a script; calls without an answer stay open, as on a silent connection.
struct scripted_store
{
  struct call
  {
    std::string what;
    page_handler done;
  };
  std::deque<call> calls;

  void newest(record_topic topic, page_handler done)
  {
    calls.push_back({topic == record_topic::operator_records ? "newest op" : "newest servers",
                     std::move(done)});
  }
  void read(record_topic topic, std::uint64_t from, milliseconds /*wait*/, page_handler done)
  {
    const std::string name = topic == record_topic::operator_records ? "read op " : "read servers ";
    calls.push_back({name + std::to_string(from), std::move(done)});
  }

  std::string next_call() const
  {
    return calls.empty() ? "none" : calls.front().what;
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
  CPPUNIT_TEST(follows_changes_of_the_store);
  CPPUNIT_TEST(records_no_longer_kept_are_read_anew);
  CPPUNIT_TEST(rewound_history_is_read_anew);
  CPPUNIT_TEST(failed_store_is_replaced_by_a_peer);
  CPPUNIT_TEST(state_of_a_peer_keeps_its_age);
  CPPUNIT_TEST(reader_of_the_domain_is_asked_first);
  CPPUNIT_TEST(reader_without_answer_is_passed_over);
  CPPUNIT_TEST(reader_with_old_state_is_passed_over);
  CPPUNIT_TEST(deputy_is_asked_before_the_store);
  CPPUNIT_TEST(peer_that_is_ahead_ends_a_silent_read);
  CPPUNIT_TEST(short_outage_lets_no_record_lapse);
  CPPUNIT_TEST(process_without_state_does_not_slow_down);
  CPPUNIT_TEST(peers_are_asked_as_often_as_the_store_without_state);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  scripted_store m_store;
  std::map<std::string, std::string> m_records;
  bool m_lapsed = false;
  std::optional<result<relay_page>> m_reader;
  /// Answers of the deputy of the reader; this process is the deputy if there are none.
  std::deque<result<relay_page>> m_deputy;
  std::optional<peer_snapshot> m_peer;
  int m_peer_calls = 0;

  state_follower<scripted_store> make_feed(bool follow_backends)
  {
    return state_follower<scripted_store>(
        m_loop, m_store,
        {.on_operator_record = [this](const record& change)
         { m_records[change.key] = change.value.value_or("-"); },
         .on_backend_record =
             [this](const record& change, auto may_return_until)
         {
           m_records[change.key] = change.value.value_or("-");
           m_lapsed = may_return_until.has_value();
         },
         .ask_peer =
             [this](auto done)
         {
           ++m_peer_calls;
           if (m_peer)
           {
             done(*m_peer);
           }
         },
         .ask_reader =
             [this](reader_rank rank, record_topic, std::uint64_t, auto done)
         {
           if (rank == reader_rank::deputy)
           {
             return answer_as_deputy(done);
           }
           if (!m_reader)
           {
             return false;
           }
           const auto answer = *m_reader;
           m_reader.reset();
           done(answer);
           return true;
         }},
        follow_backends);
  }

  bool answer_as_deputy(const std::function<void(result<relay_page>)>& done)
  {
    if (m_deputy.empty())
    {
      return false;
    }
    const auto answer = m_deputy.front();
    m_deputy.pop_front();
    done(answer);
    return true;
  }

  /// Lets timers of the feed run until the store is called or `limit` has passed.
  void run_until_call(milliseconds limit = milliseconds(5000))
  {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::function<void()> check = [&]
    {
      if (!m_store.calls.empty() || std::chrono::steady_clock::now() >= end)
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
  void follows_changes_of_the_store()
  {
    auto feed = make_feed(false);
    feed.start();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 1"), m_store.next_call());
    m_store.answer(page({{"config", "2", 1}}, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
  }

  /// Guards against a reader that waits for ever at an offset that the store has dropped.
  void records_no_longer_kept_are_read_anew()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::expired, "gone"));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
    m_store.answer(page({{"config", "9", 40}}, 41));
    CPPUNIT_ASSERT_EQUAL(std::string("9"), m_records["config"]);
  }

  void rewound_history_is_read_anew()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({{"config", "5", 9}}, 10));
    run_until_call();
    m_store.answer(page({}, 3));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
  }

  /// Guards against a process that keeps an old configuration while the store turns it away.
  void failed_store_is_replaced_by_a_peer()
  {
    auto feed = make_feed(false);
    m_peer = peer_snapshot{.has_operator_records = true,
                           .operator_records = page({{"config", "4", 3}}, 4)};
    feed.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    CPPUNIT_ASSERT_EQUAL(1, m_peer_calls);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), m_records["config"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 4"), m_store.next_call());
  }

  /// Guards against readers that the store turns away and that count as up to date because they ask
  /// each other's followers: no process of their failure domains then reads the store itself.
  void state_of_a_peer_keeps_its_age()
  {
    auto feed = make_feed(false);
    m_peer = peer_snapshot{.has_operator_records = true,
                           .operator_records = page({{"config", "4", 3}}, 4),
                           .operator_age_ms = 5000};
    feed.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    std::uint64_t age_ms = 0;
    feed.serve_changes(record_topic::operator_records, 0, {},
                       [&age_ms](const std::string& body)
                       { age_ms = decode_relay(body).value().age_ms; });
    CPPUNIT_ASSERT(age_ms >= 5000);
    // What it hands on to other peers is as old.
    CPPUNIT_ASSERT(feed.snapshot().operator_age_ms >= 5000);
  }

  void reader_of_the_domain_is_asked_first()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({}, 0));
    m_reader = relay_page{false, page({{"config", "1", 0}}, 1), 0};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_records["config"]);
    CPPUNIT_ASSERT_EQUAL(std::string("read op 1"), m_store.next_call());
  }

  /// Guards against a domain that is cut off with its reader.
  void reader_without_answer_is_passed_over()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({}, 0));
    m_reader = result<relay_page>(fail(error_code::unavailable, "frozen"));
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
  }

  /// Guards against a revoked key that stays in force where the reader of the domain is cut off
  /// from the store but not from its domain.
  void reader_with_old_state_is_passed_over()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({}, 0));
    m_reader = relay_page{false, page({}, 0), 5000};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
    m_store.answer(page({}, 0));
    // The next calls go to the store as well, although the reader would answer.
    m_reader = relay_page{false, page({}, 0), 0};
    run_until_call();
    CPPUNIT_ASSERT(m_reader.has_value());
  }

  /// Guards against all processes of a domain reading the store at once because its reader is cut
  /// off: their configurations fill the regional links.
  void deputy_is_asked_before_the_store()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({}, 0));
    m_reader = result<relay_page>(fail(error_code::unavailable, "cut off"));
    m_deputy = {relay_page{false, page({{"config", "1", 0}}, 1), 0},
                relay_page{false, page({{"config", "2", 1}}, 2), 0},
                result<relay_page>(fail(error_code::unavailable, "cut off as well"))};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
    // The store is asked only when the deputy has failed too.
    CPPUNIT_ASSERT(m_deputy.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("read op 2"), m_store.next_call());
  }

  void peer_that_is_ahead_ends_a_silent_read()
  {
    auto feed = make_feed(false);
    feed.start();
    m_store.answer(page({}, 0));
    run_until_call();
    const auto silent = std::move(m_store.calls.front());
    m_store.calls.clear();
    feed.note_peer_offset(3);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(1, m_peer_calls);
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
  }

  /// Guards against a leaving server that stays in use after a single lost answer.
  void short_outage_lets_no_record_lapse()
  {
    auto feed = make_feed(true);
    feed.start();
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
    CPPUNIT_ASSERT(!m_lapsed);
  }

  /// Guards against a process that serves nothing for up to a second after the store is back: the
  /// pause between its tries grew although it had no configuration yet.
  void process_without_state_does_not_slow_down()
  {
    auto feed = make_feed(false);
    feed.start();
    for (int tries = 0; tries < 4; ++tries)
    {
      CPPUNIT_ASSERT_EQUAL(first_retry.count(), feed.operator_retry().count());
      CPPUNIT_ASSERT_EQUAL(std::string("newest op"), m_store.next_call());
      m_store.answer(fail(error_code::closed, "reset"));
      run_until_call();
    }
    m_store.answer(page({{"config", "1", 0}}, 1));
    run_until_call();
    m_store.answer(fail(error_code::closed, "reset"));
    // With a configuration in force, tries may wait longer.
    CPPUNIT_ASSERT(feed.operator_retry() > first_retry);
  }

  /// Guards against a process that hears of its peers' configuration late because the store
  /// answers for another topic.
  void peers_are_asked_as_often_as_the_store_without_state()
  {
    auto feed = make_feed(false);
    feed.start();
    for (int tries = 1; tries <= 4; ++tries)
    {
      m_store.answer(fail(error_code::closed, "reset"));
      CPPUNIT_ASSERT_EQUAL(tries, m_peer_calls);
      run_until_call();
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(state_follower_test, "StateFeed.Follower");

} // namespace
