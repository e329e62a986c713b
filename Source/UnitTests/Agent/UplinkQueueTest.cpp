#include <cppunit/extensions/HelperMacros.h>

#include "Agent/UplinkQueue.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace std::chrono_literals;

constexpr std::size_t chunk_bytes = 1000;
const weights::time_point start{1h};

queued_reply reply_of(std::uint32_t index, bool remote = false)
{
  return {host_id{"peer"}, 1, sha256("manifest"), index, sha256(std::to_string(index)), remote};
}

class uplink_queue_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(uplink_queue_test);
  CPPUNIT_TEST(all_frames_count_against_the_rate);
  CPPUNIT_TEST(regions_take_turns_and_rarely_sent_chunks_go_first);
  CPPUNIT_TEST(a_full_queue_refuses);
  CPPUNIT_TEST_SUITE_END();

  static unsigned sent_at(uplink_queue& queue, weights::time_point now)
  {
    unsigned sent = 0;
    while (const auto next = queue.next(now))
    {
      queue.note_sent(next->chunk, chunk_bytes, now);
      ++sent;
    }
    return sent;
  }

public:
  // Guards against a queue that stands before the link because frames are not counted.
  void all_frames_count_against_the_rate()
  {
    uplink_queue queue(100e3, start);
    for (std::uint32_t i = 0; i < 10; ++i)
    {
      CPPUNIT_ASSERT(queue.offer(reply_of(i), chunk_bytes));
    }
    // The burst of 20 ms, and one reply that takes the bucket below zero.
    CPPUNIT_ASSERT_EQUAL(3U, sent_at(queue, start));
    queue.charge(2 * chunk_bytes);
    CPPUNIT_ASSERT_EQUAL(0U, sent_at(queue, start + 25ms));
    CPPUNIT_ASSERT_EQUAL(1U, sent_at(queue, start + 35ms));
    queue.drop_connection(1);
    CPPUNIT_ASSERT(queue.empty());
  }

  // Guards against neighbours that all receive the same chunks, and against a region that waits.
  void regions_take_turns_and_rarely_sent_chunks_go_first()
  {
    uplink_queue queue(1e6, start);
    queue.note_sent(reply_of(0).chunk, chunk_bytes, start);
    queue.offer(reply_of(0), chunk_bytes);
    queue.offer(reply_of(1), chunk_bytes);
    queue.offer(reply_of(2, true), chunk_bytes);
    queue.offer(reply_of(3, true), chunk_bytes);
    std::vector<std::uint32_t> order;
    while (const auto next = queue.next(start))
    {
      order.push_back(next->index);
    }
    CPPUNIT_ASSERT(order == (std::vector<std::uint32_t>{2, 1, 3, 0}));
  }

  // Guards against replies that wait so long that another host would have been faster.
  void a_full_queue_refuses()
  {
    uplink_queue queue(1e3, start);
    std::uint32_t accepted = 0;
    while (accepted < 100 && queue.offer(reply_of(accepted), chunk_bytes))
    {
      ++accepted;
    }
    CPPUNIT_ASSERT_EQUAL(12U, accepted);
    CPPUNIT_ASSERT(queue.offer(reply_of(0, true), chunk_bytes));
    queue.drop_manifest(sha256("manifest"));
    CPPUNIT_ASSERT(queue.empty());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(uplink_queue_test, "UplinkQueue");

} // namespace
