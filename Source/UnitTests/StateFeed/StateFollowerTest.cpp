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
  CPPUNIT_TEST(peer_snapshot_is_used_when_store_fails);
  CPPUNIT_TEST(peer_snapshot_keeps_its_age);
  CPPUNIT_TEST(domain_reader_is_asked_before_store);
  CPPUNIT_TEST(unresponsive_reader_is_bypassed);
  CPPUNIT_TEST(stale_reader_is_bypassed);
  CPPUNIT_TEST(backup_reader_is_asked_before_store);
  CPPUNIT_TEST(newer_peer_offset_replaces_stalled_read);
  CPPUNIT_TEST(short_outage_expires_no_record);
  CPPUNIT_TEST(no_backoff_before_initial_state);
  CPPUNIT_TEST(peer_is_asked_on_each_store_failure_without_state);
  CPPUNIT_TEST_SUITE_END();

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  scripted_store m_store;
  std::map<std::string, std::string> m_records;
  bool m_may_return = false;
  std::optional<result<relay_page>> m_reader_response;
  /// Responses of the backup reader; if there are none, this process is the backup reader.
  std::deque<result<relay_page>> m_backup_responses;
  std::optional<peer_snapshot> m_peer_snapshot;
  int m_peer_request_count = 0;

  state_follower<scripted_store> make_follower(bool follow_backends)
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
         .ask_peer =
             [this](auto done)
         {
           ++m_peer_request_count;
           if (m_peer_snapshot)
           {
             done(*m_peer_snapshot);
           }
         },
         .ask_reader =
             [this](reader_role role, record_topic, std::uint64_t, auto done)
         {
           if (role == reader_role::backup)
           {
             return answer_as_backup(done);
           }
           if (!m_reader_response)
           {
             return false;
           }
           const auto answer = *m_reader_response;
           m_reader_response.reset();
           done(answer);
           return true;
         }},
        follow_backends);
  }

  bool answer_as_backup(const std::function<void(result<relay_page>)>& done)
  {
    if (m_backup_responses.empty())
    {
      return false;
    }
    const auto answer = m_backup_responses.front();
    m_backup_responses.pop_front();
    done(answer);
    return true;
  }

  /// Runs the event loop until the store is called or `limit` has passed.
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

  /// Guards against a process that keeps an old configuration while the store rejects its reads.
  void peer_snapshot_is_used_when_store_fails()
  {
    auto follower = make_follower(false);
    m_peer_snapshot = peer_snapshot{.has_operator_records = true,
                                    .operator_records = page({{"config", "4", 3}}, 4)};
    follower.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    CPPUNIT_ASSERT_EQUAL(1, m_peer_request_count);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), m_records["config"]);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 4"), m_store.next_call());
  }

  /// Guards against readers that cannot read the store and count as current because they take
  /// snapshots from each other's followers, so that no process of their failure domains reads the
  /// store directly.
  void peer_snapshot_keeps_its_age()
  {
    auto follower = make_follower(false);
    m_peer_snapshot = peer_snapshot{.has_operator_records = true,
                                    .operator_records = page({{"config", "4", 3}}, 4),
                                    .operator_age_ms = 5000};
    follower.start();
    m_store.answer(fail(error_code::unavailable, "503"));
    std::uint64_t age_ms = 0;
    follower.serve_changes(record_topic::operator_records, 0, {},
                           [&age_ms](const std::string& body)
                           { age_ms = decode_relay_page(body).value().age_ms; });
    CPPUNIT_ASSERT(age_ms >= 5000);
    // Its own snapshot for other peers reports the same age.
    CPPUNIT_ASSERT(follower.snapshot().operator_age_ms >= 5000);
  }

  void domain_reader_is_asked_before_store()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_reader_response = relay_page{false, page({{"config", "1", 0}}, 1), 0};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), m_records["config"]);
    CPPUNIT_ASSERT_EQUAL(std::string("read op 1"), m_store.next_call());
  }

  /// Guards against a failure domain that gets no changes because its reader is unreachable.
  void unresponsive_reader_is_bypassed()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_reader_response = result<relay_page>(fail(error_code::unavailable, "frozen"));
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
    m_reader_response = relay_page{false, page({}, 0), 5000};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
    m_store.answer(page({}, 0));
    // Subsequent reads also go to the store, although the reader would respond.
    m_reader_response = relay_page{false, page({}, 0), 0};
    run_until_call();
    CPPUNIT_ASSERT(m_reader_response.has_value());
  }

  /// Guards against all processes of a failure domain reading the store at once when its reader is
  /// cut off, which saturates the regional links.
  void backup_reader_is_asked_before_store()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    m_reader_response = result<relay_page>(fail(error_code::unavailable, "cut off"));
    m_backup_responses = {relay_page{false, page({{"config", "1", 0}}, 1), 0},
                          relay_page{false, page({{"config", "2", 1}}, 2), 0},
                          result<relay_page>(fail(error_code::unavailable, "cut off as well"))};
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(std::string("2"), m_records["config"]);
    // The store is read only after the backup reader has failed too.
    CPPUNIT_ASSERT(m_backup_responses.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("read op 2"), m_store.next_call());
  }

  void newer_peer_offset_replaces_stalled_read()
  {
    auto follower = make_follower(false);
    follower.start();
    m_store.answer(page({}, 0));
    run_until_call();
    const auto stalled = std::move(m_store.calls.front());
    m_store.calls.clear();
    follower.note_peer_offset(3);
    run_until_call();
    CPPUNIT_ASSERT_EQUAL(1, m_peer_request_count);
    CPPUNIT_ASSERT_EQUAL(std::string("read op 0"), m_store.next_call());
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
