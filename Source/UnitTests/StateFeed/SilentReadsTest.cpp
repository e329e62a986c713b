#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/BootClock.h"
#include "StateFeed/StateFollower.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::state_feed;
using std::chrono::milliseconds;

/// Store stand-in that answers at once, or when a change comes, unless the test makes it silent.
class answering_store
{
public:
  explicit answering_store(async_io::event_loop& loop) : m_loop(loop) {}

  void newest(record_topic topic, page_handler done)
  {
    const auto& log = m_logs[topic];
    answer(topic, std::move(done), {log, log.size(), log.size()});
  }

  void read(record_topic topic, const record_read& what, page_handler done)
  {
    m_reads.push_back({topic, what});
    if (what.is_check && topic == record_topic::operator_records && m_lost_checks > 0)
    {
      --m_lost_checks;
      return;
    }
    if (m_answers_checks_only && topic == record_topic::operator_records && !what.is_check)
    {
      return;
    }
    if (what.is_check)
    {
      answer(topic, std::move(done), first_from(topic, what.from));
      return;
    }
    if (what.from < m_logs[topic].size() || what.wait.count() == 0)
    {
      answer(topic, std::move(done), page_from(topic, what.from));
      return;
    }
    m_waiting.push_back({topic, what.from, std::move(done)});
  }

  void put(record_topic topic, const std::string& key, const std::string& value)
  {
    auto& log = m_logs[topic];
    log.push_back({key, value, log.size()});
    for (waiting_read& read : std::exchange(m_waiting, {}))
    {
      read.topic == topic ? answer(topic, std::move(read.done), page_from(topic, read.from))
                          : m_waiting.push_back(std::move(read));
    }
  }

  /// Reads that wait now are never answered.
  void lose_waiting_reads()
  {
    m_lost.insert(m_lost.end(), m_waiting.begin(), m_waiting.end());
    m_waiting.clear();
  }

  void set_silent(record_topic topic, bool silent)
  {
    silent ? (void)m_silent.insert(topic) : (void)m_silent.erase(topic);
  }

  /// The next checks of the operator's records get no answer.
  void lose_checks(unsigned count)
  {
    m_lost_checks = count;
  }

  /// Other reads of the operator's records get no answer.
  void answer_checks_only()
  {
    m_answers_checks_only = true;
  }

  /// The store is away.
  void fail_all()
  {
    m_fails = true;
  }

  std::size_t waiting_reads(record_topic topic) const
  {
    return static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(),
                                                  [topic](const waiting_read& read)
                                                  { return read.topic == topic; }));
  }

  const std::vector<std::pair<record_topic, record_read>>& reads() const
  {
    return m_reads;
  }

private:
  struct waiting_read
  {
    record_topic topic;
    std::uint64_t from = 0;
    page_handler done;
  };

  record_page page_from(record_topic topic, std::uint64_t from)
  {
    const auto& log = m_logs[topic];
    record_page out{{}, log.size(), log.size()};
    out.records.assign(log.begin() + static_cast<std::ptrdiff_t>(from), log.end());
    return out;
  }

  /// A check brings one record at most.
  record_page first_from(record_topic topic, std::uint64_t from)
  {
    record_page out = page_from(topic, from);
    out.records.resize(std::min<std::size_t>(out.records.size(), 1));
    out.next = from + out.records.size();
    return out;
  }

  void answer(record_topic topic, page_handler done, record_page page)
  {
    if (m_fails)
    {
      m_loop.post([done = std::move(done)] { done(fail(error_code::unavailable, "away")); });
      return;
    }
    if (!m_silent.contains(topic))
    {
      m_loop.post([done = std::move(done), page = std::move(page)] { done(page); });
    }
  }

  async_io::event_loop& m_loop;
  std::map<record_topic, std::vector<record>> m_logs;
  std::vector<waiting_read> m_waiting;
  std::vector<waiting_read> m_lost;
  std::set<record_topic> m_silent;
  bool m_fails = false;
  unsigned m_lost_checks = 0;
  bool m_answers_checks_only = false;
  std::vector<std::pair<record_topic, record_read>> m_reads;
};

/// Reads and requests that are never answered, while others are.
class silent_reads_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(silent_reads_test);
  CPPUNIT_TEST(configuration_behind_a_silent_read_is_found);
  CPPUNIT_TEST(configuration_behind_a_silent_reader_is_found);
  CPPUNIT_TEST(lost_checks_are_repeated_over_new_connections);
  CPPUNIT_TEST(old_records_of_servers_are_checked_over_a_new_connection);
  CPPUNIT_TEST(rest_of_a_check_is_not_read_again_and_again);
  CPPUNIT_TEST(news_for_an_agent_behind_a_silent_reader_is_found);
  CPPUNIT_TEST(age_of_the_operators_records_is_their_own);
  CPPUNIT_TEST(answer_is_as_old_as_its_read);
  CPPUNIT_TEST(page_of_a_process_is_as_old_as_its_request);
  CPPUNIT_TEST(peer_with_old_records_of_the_operator_is_left);
  CPPUNIT_TEST_SUITE_END();

  static constexpr auto operator_topic = record_topic::operator_records;
  static constexpr auto server_topic = record_topic::backend_servers;
  // Well below the 11.5 s after which a read that waits is given up.
  static constexpr milliseconds patience{5000};

  struct request
  {
    std::string ip;
    changes_request what;
    std::function<void(result<relay_page>)> done;
  };

  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  answering_store m_store{m_loop};
  std::map<std::string, std::string> m_records;
  std::vector<std::string> m_readers;
  std::vector<std::string> m_peers{"peer"};
  std::size_t m_next_peer = 0;
  std::vector<request> m_requests;
  /// Answers some requests; the others stay without an answer.
  std::function<std::optional<relay_page>(const request&)> m_answer = [](const request&)
  {
    return std::nullopt;
  };

  state_follower<answering_store> make_follower(store_use use = store_use::direct)
  {
    const auto keep = [this](const record& change)
    {
      m_records[change.key] = change.value.value_or("-");
    };
    return state_follower<answering_store>(
        m_loop, m_store,
        {.on_operator_record = keep,
         .on_backend_record = [keep](const record& change, auto) { keep(change); },
         .on_initialized = [] {},
         .readers = [this] { return m_readers; },
         .next_peer = [this] { return std::optional(m_peers[m_next_peer++ % m_peers.size()]); },
         .ask =
             [this](const std::string& ip, const changes_request& what, auto done)
         {
           m_requests.push_back({ip, what, done});
           if (auto page = m_answer(m_requests.back()))
           {
             m_loop.post([done, page = std::move(*page)] { done(page); });
           }
         }},
        use == store_use::direct, use);
  }

  bool run_until(const std::function<bool()>& condition, milliseconds limit = patience)
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
    return condition();
  }

  void run_for(milliseconds time)
  {
    run_until([] { return false; }, time);
  }

  bool applies(const std::string& key, const std::string& value)
  {
    return run_until([&] { return m_records[key] == value; });
  }

  static std::uint64_t age_ms(state_follower<answering_store>& follower, record_topic topic)
  {
    std::uint64_t age = 0;
    follower.serve_changes({topic, log_position{}, false}, {},
                           [&age](const std::string& body)
                           { age = decode_relay_page(body).value().age_ms; });
    return age;
  }

public:
  void setUp() override
  {
    m_store.put(operator_topic, "config", "1");
    m_store.put(server_topic, "s1", "ready");
  }

  /// Guards against configurations that are ten seconds late at all entries: the waiting reads of
  /// all readers went silent, and reads of the backend servers went on.
  void configuration_behind_a_silent_read_is_found()
  {
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    CPPUNIT_ASSERT(run_until([this] { return m_store.waiting_reads(operator_topic) > 0; }));
    m_store.lose_waiting_reads();
    m_store.put(operator_topic, "config", "2");
    CPPUNIT_ASSERT(applies("config", "2"));
  }

  /// Guards against an entry that waits for its reader beside a store that answers.
  void configuration_behind_a_silent_reader_is_found()
  {
    m_readers = {"reader"};
    bool silent = false;
    m_answer = [&silent](const request& asked) -> std::optional<relay_page>
    {
      if (silent && asked.what.topic == operator_topic)
      {
        return std::nullopt;
      }
      const std::string value = asked.what.topic == operator_topic ? "1" : "ready";
      const std::string key = asked.what.topic == operator_topic ? "config" : "s1";
      return asked.what.from ? std::nullopt
                             : std::optional(relay_page{true, true, {{{key, value, 0}}, 1, 1}, 0});
    };
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    silent = true;
    m_store.put(operator_topic, "config", "2");
    CPPUNIT_ASSERT(applies("config", "2"));
  }

  /// Guards against checks that take one silent idle connection after the other.
  void lost_checks_are_repeated_over_new_connections()
  {
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    CPPUNIT_ASSERT(run_until([this] { return m_store.waiting_reads(operator_topic) > 0; }));
    m_store.lose_waiting_reads();
    m_store.lose_checks(3);
    m_store.put(operator_topic, "config", "2");
    CPPUNIT_ASSERT(applies("config", "2"));
    std::vector<bool> new_connections;
    for (const auto& [topic, what] : m_store.reads())
    {
      if (topic == operator_topic && what.is_check)
      {
        new_connections.push_back(what.new_connection);
      }
    }
    // The usual check of a reader, then those that repeat it.
    CPPUNIT_ASSERT(new_connections.size() >= 4);
    CPPUNIT_ASSERT(!new_connections.front());
    CPPUNIT_ASSERT(std::all_of(new_connections.begin() + 1, new_connections.begin() + 4,
                               [](bool is_new) { return is_new; }));
  }

  void old_records_of_servers_are_checked_over_a_new_connection()
  {
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("s1", "ready"));
    m_store.set_silent(server_topic, true);
    const auto checked = [this]
    {
      return std::any_of(m_store.reads().begin(), m_store.reads().end(),
                         [](const auto& read)
                         { return read.first == server_topic && read.second.new_connection; });
    };
    CPPUNIT_ASSERT(run_until(checked, milliseconds(2000)));
    CPPUNIT_ASSERT(std::none_of(m_store.reads().begin(), m_store.reads().end(),
                                [](const auto& read) {
                                  return read.first == server_topic && read.second.is_check &&
                                         !read.second.new_connection;
                                }));
  }

  /// Guards against a full link on which each check starts another read of all that it has left.
  void rest_of_a_check_is_not_read_again_and_again()
  {
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    CPPUNIT_ASSERT(run_until([this] { return m_store.waiting_reads(operator_topic) > 0; }));
    m_store.lose_waiting_reads();
    m_store.answer_checks_only();
    for (int i = 2; i < 12; ++i)
    {
      m_store.put(operator_topic, "config", std::to_string(i));
    }
    CPPUNIT_ASSERT(applies("config", "5"));
    const auto whole_reads = std::count_if(m_store.reads().begin(), m_store.reads().end(),
                                           [](const auto& read) {
                                             return read.first == operator_topic &&
                                                    !read.second.is_check && read.second.from > 1;
                                           });
    CPPUNIT_ASSERT(whole_reads <= 2);
  }

  void news_for_an_agent_behind_a_silent_reader_is_found()
  {
    m_readers = {"reader"};
    m_answer = [](const request& asked) -> std::optional<relay_page>
    {
      if (asked.ip == "peer")
      {
        return relay_page{true, false, {{{"version", "2", 1}}, 2, 2}, 0};
      }
      return asked.what.from
                 ? std::nullopt
                 : std::optional(relay_page{true, true, {{{"version", "1", 0}}, 1, 1}, 0});
    };
    auto follower = make_follower(store_use::last_resort);
    follower.start();
    CPPUNIT_ASSERT(applies("version", "2"));
    CPPUNIT_ASSERT(m_store.reads().empty());
  }

  /// Guards against a reader that states the age of the backend servers' records for those of the
  /// operator, so that its failure domain takes old configurations for current ones.
  void age_of_the_operators_records_is_their_own()
  {
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    m_store.set_silent(operator_topic, true);
    run_for(milliseconds(1500));
    CPPUNIT_ASSERT(age_ms(follower, operator_topic) >= 1000);
    CPPUNIT_ASSERT(age_ms(follower, server_topic) < age_ms(follower, operator_topic));
  }

  /// Guards against a process that takes an answer for new which had been on its way, or unread
  /// while the process stood still, for seconds.
  void answer_is_as_old_as_its_read()
  {
    page_handler late;
    struct late_store
    {
      page_handler& late;
      void newest(record_topic /*topic*/, page_handler done)
      {
        late = std::move(done);
      }
      void read(record_topic /*topic*/, const record_read& /*what*/, const page_handler& /*done*/)
      {
      }
    } store{late};
    state_follower<late_store> follower(m_loop, store,
                                        {.on_operator_record = [](const record&) {},
                                         .on_initialized = [] {},
                                         .readers = [] { return std::vector<std::string>{}; },
                                         .next_peer =
                                             []
                                         {
                                           return std::nullopt;
                                         }},
                                        false);
    follower.start();
    run_for(milliseconds(600));
    late(record_page{{{"config", "1", 0}}, 1, 1});
    CPPUNIT_ASSERT(follower.operator_age() >= milliseconds(600));
  }

  void page_of_a_process_is_as_old_as_its_request()
  {
    m_readers = {"reader"};
    auto follower = make_follower();
    follower.start();
    run_for(milliseconds(600));
    CPPUNIT_ASSERT(m_requests.front().what.topic == operator_topic);
    m_requests.front().done(relay_page{true, true, {{{"config", "1", 0}}, 1, 1}, 100});
    CPPUNIT_ASSERT(follower.operator_age() >= milliseconds(700));
  }

  /// Guards against a peer that is asked again and again for its current records of the backend
  /// servers, while its configuration is old.
  void peer_with_old_records_of_the_operator_is_left()
  {
    m_peers = {"old", "current"};
    m_answer = [](const request& asked) -> std::optional<relay_page>
    {
      const bool is_old = asked.ip == "old" && asked.what.topic == operator_topic;
      return relay_page{true, false, {{}, 1, 1}, is_old ? 5000U : 0U};
    };
    auto follower = make_follower();
    follower.start();
    CPPUNIT_ASSERT(applies("config", "1"));
    m_store.fail_all();
    CPPUNIT_ASSERT(run_until([this] { return !m_requests.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("old"), m_requests.front().ip);
    CPPUNIT_ASSERT(run_until([this] { return m_requests.back().ip == "current"; }));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(silent_reads_test, "StateFeed.SilentReads");

} // namespace
