#include <optional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "StateFeed/FeedTiming.h"
#include "StateFeed/RelayPage.h"
#include "StateFeed/TopicState.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::state_feed;

const topic_state::time_point start_time{};
using std::chrono::milliseconds;
using std::chrono::seconds;

record_page page(std::vector<record> records, std::uint64_t end)
{
  return {std::move(records), end, end};
}

class topic_state_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(topic_state_test);
  CPPUNIT_TEST(older_records_are_ignored);
  CPPUNIT_TEST(key_missing_from_newest_is_removed);
  CPPUNIT_TEST(stale_newest_page_is_ignored);
  CPPUNIT_TEST(recent_changes_are_kept_for_readers);
  CPPUNIT_TEST(superseded_changes_are_not_sent);
  CPPUNIT_TEST(page_of_a_long_configuration_is_small_on_the_link);
  CPPUNIT_TEST(removal_while_confirmed_is_final);
  CPPUNIT_TEST(record_removed_in_outage_may_return);
  CPPUNIT_TEST(server_that_wrote_while_this_process_was_cut_off_has_left);
  CPPUNIT_TEST(removal_that_a_reader_knows_to_be_final_is_final);
  CPPUNIT_TEST(server_that_stopped_writing_in_an_outage_may_return);
  CPPUNIT_TEST(truncated_relay_page_is_an_error);
  CPPUNIT_TEST(offset_of_a_later_era_is_not_old);
  CPPUNIT_TEST(late_page_of_a_former_era_is_ignored);
  CPPUNIT_TEST(acknowledged_record_stays_until_the_store_has_one_that_is_not_older);
  CPPUNIT_TEST(record_that_the_copy_lacks_is_retained);
  CPPUNIT_TEST(server_that_the_copy_lacks_may_return);
  CPPUNIT_TEST(server_that_left_is_not_brought_back_by_the_copy);
  CPPUNIT_TEST(changes_of_another_era_are_not_sent);
  CPPUNIT_TEST(outage_ends_when_an_answer_comes);
  CPPUNIT_TEST(longer_limit_needs_fewer_reads);
  CPPUNIT_TEST_SUITE_END();

  std::vector<std::string> m_applied;
  topic_state::time_point m_now = start_time;
  /// Until when the server that was removed last may return.
  std::optional<topic_state::time_point> m_kept_until;
  topic_state m_state{[this](const record& change)
                      {
                        m_applied.push_back(change.key + "=" + change.value.value_or("-"));
                        m_kept_until = m_state.may_return_until(change, m_now);
                      }};

  void apply_changes(std::vector<record> records, std::uint64_t end, milliseconds since_start)
  {
    m_now = start_time + since_start;
    m_state.apply_changes(page(std::move(records), end), {m_now});
  }

public:
  /// Guards against a configuration that reverts to an older version when a peer is behind.
  void older_records_are_ignored()
  {
    m_state.apply_newest(page({{"config", "7", 7}}, 8), {start_time});
    m_state.apply_changes(page({{"config", "5", 5}}, 6), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_applied.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, m_state.next_offset());
  }

  void key_missing_from_newest_is_removed()
  {
    m_state.apply_newest(page({{"a", "1", 1}, {"b", "1", 2}}, 3), {start_time});
    m_state.apply_newest(page({{"b", "1", 2}}, 9), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("a=-"), m_applied.back());
  }

  /// Guards against removing servers because a peer responds with older state.
  void stale_newest_page_is_ignored()
  {
    m_state.apply_newest(page({{"a", "1", 8}}, 9), {start_time});
    m_state.apply_newest(page({}, 5), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state.newest().records.size());
  }

  void recent_changes_are_kept_for_readers()
  {
    m_state.apply_newest(page({{"a", "1", 4}}, 5), {start_time});
    m_state.apply_changes(page({{"a", "2", 5}, {"a", std::nullopt, 6}}, 7), {start_time});
    CPPUNIT_ASSERT(!m_state.changes_since({0, 4}));
    const auto changes = m_state.changes_since({0, 6});
    CPPUNIT_ASSERT(changes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->records.size());
    CPPUNIT_ASSERT(!changes->records.front().value);
  }

  /// Guards against a storm of configurations that is sent one by one, and kept in memory, for a
  /// follower that is a few versions behind.
  void superseded_changes_are_not_sent()
  {
    m_state.apply_newest(page({{"config", "0", 0}}, 1), {start_time});
    for (std::uint64_t offset = 1; offset <= 25; ++offset)
    {
      m_state.apply_changes(page({{"config", std::to_string(offset), offset}}, offset + 1),
                            {start_time});
    }
    const auto changes = m_state.changes_since({0, 1});
    CPPUNIT_ASSERT(changes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("25"), changes->records.front().value.value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{26}, changes->next);
  }

  /// Guards against a regional link that is filled by copies of one configuration: 60 followers may
  /// read it at once from a link of 28 Mbit/s and have to apply it within two seconds.
  void page_of_a_long_configuration_is_small_on_the_link()
  {
    std::string config;
    for (int route = 0; route < 1600; ++route)
    {
      config += R"({"name":"r-)" + std::to_string(route * 7919) +
                R"(","host":"a.example","path_prefix":"/p)" + std::to_string(route) +
                R"(/","kind":"streaming","timeout_ms":6000,"max_attempts":2,"priority":1},)";
    }
    const relay_page sent{true, true, page({{"config", config, 1}}, 2), 5};
    const std::string encoded = encode_relay_page(sent);
    CPPUNIT_ASSERT_EQUAL(config,
                         decode_relay_page(encoded).value().page.records.front().value.value());
    constexpr std::size_t followers = 60;
    constexpr std::size_t link_bytes_in_two_seconds = 7'000'000;
    CPPUNIT_ASSERT(encoded.size() * followers < link_bytes_in_two_seconds);
  }

  /// Guards against a leaving server that stays in use because this process could not reach the
  /// store itself, although peers that could kept confirming its state.
  void removal_while_confirmed_is_final()
  {
    m_state.apply_newest(page({{"a", "1", 1}}, 2), {start_time});
    for (int i = 1; i <= 20; ++i)
    {
      m_state.apply_changes(page({}, 2), {start_time + milliseconds(500) * i});
    }
    apply_changes({{"a", std::nullopt, 2}}, 3, milliseconds(10400));
    CPPUNIT_ASSERT(!m_kept_until);
  }

  /// Guards against counting the reregistration window from the removal of a server instead of from
  /// the recovery of the store, which keeps the server in use for too long.
  void record_removed_in_outage_may_return()
  {
    m_state.apply_newest(page({{"a", "1", 1}, {"b", "1", 2}}, 3), {start_time});
    const auto recovered = start_time + milliseconds(4000);
    apply_changes({{"a", std::nullopt, 3}}, 4, milliseconds(4000));
    CPPUNIT_ASSERT(m_kept_until == recovered + reregistration_window);
    apply_changes({{"b", std::nullopt, 4}}, 5, milliseconds(5900));
    CPPUNIT_ASSERT(m_kept_until == recovered + reregistration_window);
    apply_changes({{"c", std::nullopt, 5}}, 6, milliseconds(6300));
    CPPUNIT_ASSERT(!m_kept_until);
  }

  /// Guards against requests to a server that left while only this process could not reach the
  /// store: the store was up, as the server went on writing its record.
  void server_that_wrote_while_this_process_was_cut_off_has_left()
  {
    m_state.apply_newest(page({{"a", "1", 1}, {"b", "1", 2}}, 3), {start_time});
    apply_changes({{"a", "2", 3}, {"b", "2", 4}}, 5, milliseconds(1000));
    apply_changes({{"a", "3", 5}, {"b", "3", 6}, {"a", "4", 7}, {"a", std::nullopt, 8}}, 9,
                  milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string("a=-"), m_applied.back());
    CPPUNIT_ASSERT(!m_kept_until);
  }

  /// Guards against the same at processes that take their state from a reader: its pages hold only
  /// the newest change of each key.
  void removal_that_a_reader_knows_to_be_final_is_final()
  {
    m_state.apply_newest(page({{"a", "1", 1}}, 2), {start_time});
    apply_changes({{"a", std::nullopt, 8, false}}, 9, milliseconds(6000));
    CPPUNIT_ASSERT(!m_kept_until);
    const auto changes = m_state.changes_since({0, 2});
    CPPUNIT_ASSERT(changes);
    CPPUNIT_ASSERT(!changes->records.front().may_have_expired);
  }

  /// Guards against a fleet without servers after an outage of the store in which all their records
  /// expired.
  void server_that_stopped_writing_in_an_outage_may_return()
  {
    m_state.apply_newest(page({{"a", "1", 1}}, 2), {start_time});
    apply_changes({{"a", "2", 2}}, 3, milliseconds(1000));
    apply_changes({{"a", "3", 3}, {"a", std::nullopt, 4}}, 5, milliseconds(6000));
    CPPUNIT_ASSERT(m_kept_until == m_now + reregistration_window);
  }

  static record_page page_of(std::uint64_t era, std::vector<record> records, std::uint64_t end)
  {
    record_page out = page(std::move(records), end);
    out.era = era;
    return out;
  }

  /// A topic of the operator, whose records hold their versions.
  topic_state make_operator_state()
  {
    return topic_state([this](const record& change)
                       { m_applied.push_back(change.key + "=" + change.value.value_or("-")); },
                       default_heartbeat,
                       {.is_older = [](const record& known, const record& next)
                        { return std::stoi(*next.value) < std::stoi(*known.value); },
                        .retains_missing = true});
  }

  static std::string value_of(const topic_state& state, const std::string& key)
  {
    const record_page newest = state.newest();
    for (const record& item : newest.records)
    {
      if (item.key == key)
      {
        return *item.value;
      }
    }
    return {};
  }

  /// Guards against CONFIG: what is written after a restore is dropped for its offset.
  void offset_of_a_later_era_is_not_old()
  {
    m_state.apply_newest(page_of(1, {{"a", "1", 50}}, 51), {start_time});
    m_state.apply_changes(page_of(2, {{"a", "2", 60}}, 61), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("1"), value_of(m_state, "a"));
    m_state.apply_newest(page_of(2, {{"a", "2", 20}}, 21), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("2"), value_of(m_state, "a"));
    m_state.apply_changes(page_of(2, {{"a", "3", 21}}, 22), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("3"), value_of(m_state, "a"));
    CPPUNIT_ASSERT(m_state.position() == (log_position{2, 22}));
  }

  void late_page_of_a_former_era_is_ignored()
  {
    m_state.apply_newest(page_of(2, {{"a", "2", 20}}, 21), {start_time});
    m_state.apply_newest(page_of(1, {{"a", "1", 50}, {"b", "1", 51}}, 52), {start_time});
    m_state.apply_changes(page_of(1, {{"a", "1", 52}}, 53), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("2"), value_of(m_state, "a"));
    CPPUNIT_ASSERT(value_of(m_state, "b").empty());
    CPPUNIT_ASSERT(m_state.position() == (log_position{2, 21}));
  }

  /// The operator writes its records again, those of before the copy's end perhaps first.
  void acknowledged_record_stays_until_the_store_has_one_that_is_not_older()
  {
    auto state = make_operator_state();
    state.apply_newest(page_of(1, {{"config", "13", 30}}, 31), {start_time});
    m_applied.clear();
    state.apply_newest(page_of(2, {{"config", "6", 10}}, 11), {start_time});
    state.apply_changes(page_of(2, {{"config", "10", 11}}, 12), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("13"), value_of(state, "config"));
    state.apply_changes(page_of(2, {{"config", "13", 12}}, 13), {start_time});
    CPPUNIT_ASSERT(m_applied.empty());
    state.apply_changes(page_of(2, {{"config", "16", 13}}, 14), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("16"), value_of(state, "config"));
    // Within an era the store's order decides.
    state.apply_changes(page_of(2, {{"config", "15", 14}}, 15), {start_time});
    CPPUNIT_ASSERT_EQUAL(std::string("15"), value_of(state, "config"));
  }

  void record_that_the_copy_lacks_is_retained()
  {
    auto state = make_operator_state();
    state.apply_newest(page_of(1, {{"config", "6", 3}, {"version/m", "2", 30}}, 31), {start_time});
    state.apply_newest(page_of(2, {{"config", "6", 3}}, 4), {start_time});
    // Followers get it with the state of this process, also when they read the store later.
    auto follower = make_operator_state();
    follower.apply_newest(state.newest(), {start_time});
    for (topic_state* each : {&state, &follower})
    {
      each->apply_newest(page_of(2, {{"config", "6", 3}}, 6), {start_time});
      CPPUNIT_ASSERT_EQUAL(std::string("2"), value_of(*each, "version/m"));
      each->apply_changes(page_of(2, {{"version/m", "1", 6}}, 7), {start_time});
      CPPUNIT_ASSERT_EQUAL(std::string("2"), value_of(*each, "version/m"));
      each->apply_changes(page_of(2, {{"version/m", "2", 7}, {"version/m", "3", 8}}, 9),
                          {start_time});
      CPPUNIT_ASSERT_EQUAL(std::string("3"), value_of(*each, "version/m"));
    }
  }

  /// Its record was written after the copy was made; it writes it again with its next heartbeat.
  void server_that_the_copy_lacks_may_return()
  {
    m_now = start_time + seconds(100);
    m_state.apply_newest(page_of(1, {{"a", "1", 1}, {"b", "1", 2}}, 3), {m_now});
    m_now += milliseconds(500);
    m_state.apply_newest(page_of(2, {{"a", "1", 1}}, 2), {m_now});
    CPPUNIT_ASSERT_EQUAL(std::string("b=-"), m_applied.back());
    CPPUNIT_ASSERT(m_kept_until == m_now + reregistration_window);
    m_state.apply_changes(page_of(2, {{"b", "2", 2}}, 3), {m_now + milliseconds(900)});
    CPPUNIT_ASSERT_EQUAL(std::string("b=2"), m_applied.back());
  }

  /// Guards against DRAIN: the record of a server that has left is in the copy again.
  void server_that_left_is_not_brought_back_by_the_copy()
  {
    m_now = start_time + seconds(100);
    m_state.apply_newest(page_of(1, {{"a", "1", 1}, {"b", "1", 2}}, 3), {m_now});
    m_state.apply_changes(page_of(1, {{"b", std::nullopt, 3}}, 4), {m_now});
    m_applied.clear();
    m_state.apply_newest(page_of(2, {{"a", "1", 1}, {"b", "1", 2}}, 3), {m_now});
    m_state.apply_newest(page_of(2, {{"a", "1", 1}, {"b", "1", 2}}, 3), {m_now});
    CPPUNIT_ASSERT(m_applied.empty());
    // One that has only been away writes its record again.
    m_state.apply_changes(page_of(2, {{"b", "1", 3}}, 4), {m_now});
    CPPUNIT_ASSERT_EQUAL(std::string("b=1"), m_applied.back());
  }

  void changes_of_another_era_are_not_sent()
  {
    m_state.apply_newest(page_of(2, {{"a", "1", 4}}, 5), {start_time});
    CPPUNIT_ASSERT(m_state.changes_since({2, 5}));
    CPPUNIT_ASSERT(!m_state.changes_since({1, 5}));
    CPPUNIT_ASSERT(!m_state.changes_since({3, 5}));
    CPPUNIT_ASSERT(*m_state.newest().era == 2);
  }

  void truncated_relay_page_is_an_error()
  {
    const std::string good = encode_relay_page({true, true, page({{"a", "1", 1}}, 2), 5});
    CPPUNIT_ASSERT(decode_relay_page(good));
    for (std::size_t size = 0; size < good.size(); ++size)
    {
      CPPUNIT_ASSERT(!decode_relay_page(good.substr(0, size)));
    }
  }

  /// Guards against servers that go out of use before they could write their records again: the
  /// first answer after an outage was asked for well before it came.
  void outage_ends_when_an_answer_comes()
  {
    const auto back = start_time + milliseconds(6000);
    m_state.apply_newest(page({{"a", "1", 1}}, 2), {start_time});
    m_state.apply_changes(page({{"a", std::nullopt, 2}}, 3), {back - milliseconds(1500), back});
    CPPUNIT_ASSERT(m_state.confirmed_at() == back - milliseconds(1500));
    const record removal{"a", std::nullopt, 2};
    CPPUNIT_ASSERT(m_state.may_return_until(removal, back) == back + reregistration_window);
  }

  /// Guards against reads of the store that the platform's limits do not need, and against state
  /// that is out of date for longer than they allow.
  void longer_limit_needs_fewer_reads()
  {
    const feed_timing usual = make_feed_timing(std::chrono::milliseconds(2000));
    const feed_timing longer = make_feed_timing(std::chrono::milliseconds(4000));
    CPPUNIT_ASSERT(usual.poll_interval == feed_timing{}.poll_interval);
    CPPUNIT_ASSERT(longer.poll_interval == 2 * usual.poll_interval);
    for (const std::int64_t limit_ms : {500, 1000, 2000, 3000, 4000, 60000})
    {
      const std::chrono::milliseconds limit(limit_ms);
      const feed_timing timing = make_feed_timing(limit);
      CPPUNIT_ASSERT(timing.max_age + timing.poll_interval < limit);
      CPPUNIT_ASSERT(timing.poll_interval + timing.relay_wait < timing.max_age);
      CPPUNIT_ASSERT(timing.poll_interval < timing.max_relay_age);
      CPPUNIT_ASSERT(timing.max_relay_age < timing.max_age);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(topic_state_test, "StateFeed.TopicState");

} // namespace
