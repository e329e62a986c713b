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
