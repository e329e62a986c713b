#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "StateFeed/PeerSnapshot.h"
#include "StateFeed/TopicState.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::state_feed;

const topic_state::time_point t0{};
using std::chrono::milliseconds;

record_page page(std::vector<record> records, std::uint64_t end)
{
  return {std::move(records), end, end};
}

class topic_state_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(topic_state_test);
  CPPUNIT_TEST(older_records_change_nothing);
  CPPUNIT_TEST(key_missing_from_the_newest_is_gone);
  CPPUNIT_TEST(stale_newest_is_ignored);
  CPPUNIT_TEST(changes_are_kept_for_readers);
  CPPUNIT_TEST(record_gone_while_confirmed_is_gone_for_good);
  CPPUNIT_TEST(record_gone_in_an_outage_may_return_after_it);
  CPPUNIT_TEST(hostile_snapshot_is_an_error);
  CPPUNIT_TEST_SUITE_END();

  std::vector<std::string> m_seen;
  topic_state m_state{[this](const record& change)
                      {
                        m_seen.push_back(change.key + "=" + change.value.value_or("-"));
                      }};

public:
  /// Guards against a configuration that goes back when a peer is behind.
  void older_records_change_nothing()
  {
    m_state.apply_newest(page({{"config", "7", 7}}, 8), t0);
    m_state.apply_changes(page({{"config", "5", 5}}, 6), t0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_seen.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, m_state.next_offset());
  }

  void key_missing_from_the_newest_is_gone()
  {
    m_state.apply_newest(page({{"a", "1", 1}, {"b", "1", 2}}, 3), t0);
    m_state.apply_newest(page({{"b", "1", 2}}, 9), t0);
    CPPUNIT_ASSERT_EQUAL(std::string("a=-"), m_seen.back());
  }

  /// Guards against servers that vanish because a peer answers with an older state.
  void stale_newest_is_ignored()
  {
    m_state.apply_newest(page({{"a", "1", 8}}, 9), t0);
    m_state.apply_newest(page({}, 5), t0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_state.newest().records.size());
  }

  void changes_are_kept_for_readers()
  {
    m_state.apply_newest(page({{"a", "1", 4}}, 5), t0);
    m_state.apply_changes(page({{"a", "2", 5}, {"a", std::nullopt, 6}}, 7), t0);
    CPPUNIT_ASSERT(!m_state.changes_since(4));
    const auto changes = m_state.changes_since(6);
    CPPUNIT_ASSERT(changes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes->records.size());
    CPPUNIT_ASSERT(!changes->records.front().value);
  }

  /// Guards against a leaving server that stays in use because this process itself could not reach
  /// the store while others could and told it so.
  void record_gone_while_confirmed_is_gone_for_good()
  {
    m_state.apply_newest(page({{"a", "1", 1}}, 2), t0);
    for (int i = 1; i <= 20; ++i)
    {
      m_state.apply_changes(page({}, 2), t0 + milliseconds(500) * i);
    }
    m_state.apply_changes(page({{"a", std::nullopt, 2}}, 3), t0 + milliseconds(10400));
    CPPUNIT_ASSERT(!m_state.may_return_until(t0 + milliseconds(10400)));
  }

  /// Guards against a server that is used for the whole window from its removal on, although the
  /// store had been back for a part of it.
  void record_gone_in_an_outage_may_return_after_it()
  {
    m_state.apply_newest(page({{"a", "1", 1}, {"b", "1", 2}}, 3), t0);
    const auto back = t0 + milliseconds(4000);
    m_state.apply_changes(page({{"a", std::nullopt, 3}}, 4), back);
    CPPUNIT_ASSERT(m_state.may_return_until(back) == back + lapse_window);
    m_state.apply_changes(page({{"b", std::nullopt, 4}}, 5), back + milliseconds(1900));
    CPPUNIT_ASSERT(m_state.may_return_until(back + milliseconds(1900)) == back + lapse_window);
    CPPUNIT_ASSERT(!m_state.may_return_until(back + lapse_window));
  }

  void hostile_snapshot_is_an_error()
  {
    const std::string good = encode_relay({true, page({{"a", "1", 1}}, 2), 5});
    CPPUNIT_ASSERT(decode_relay(good));
    for (std::size_t size = 0; size < good.size(); ++size)
    {
      CPPUNIT_ASSERT(!decode_relay(good.substr(0, size)));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(topic_state_test, "StateFeed.TopicState");

} // namespace
