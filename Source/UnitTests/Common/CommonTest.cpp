#include <chrono>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "Common/Compression.h"
#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Rendezvous.h"
#include "Common/TokenBucket.h"

namespace
{

using namespace pollenyoke;

class common_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(common_test);
  CPPUNIT_TEST(digest_matches_known_value);
  CPPUNIT_TEST(request_id_round_trip);
  CPPUNIT_TEST(removing_a_node_moves_only_its_keys);
  CPPUNIT_TEST(token_bucket_never_exceeds_its_rate);
  CPPUNIT_TEST(compressed_data_is_bounded_and_whole);
  CPPUNIT_TEST_SUITE_END();

  // Guards against hashing with wrong finalisation: the value is the published SHA-256 of "abc".
  void digest_matches_known_value()
  {
    CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
        to_hex(sha256("abc")));
    CPPUNIT_ASSERT(!parse_digest("xyz"));
  }

  // Guards against a small message that fills the memory, and against data that is cut off.
  void compressed_data_is_bounded_and_whole()
  {
    const std::string zeros(1'000'000, '0');
    const std::string small = compress(zeros);
    CPPUNIT_ASSERT(small.size() < 10'000);
    CPPUNIT_ASSERT(decompress(small, zeros.size()).value() == zeros);
    CPPUNIT_ASSERT(decompress(small, zeros.size() - 1).error().code == error_code::limit_exceeded);
    CPPUNIT_ASSERT(decompress(compress(""), 10).value().empty());
    for (const std::size_t size : {std::size_t{0}, std::size_t{1}, small.size() - 1})
    {
      CPPUNIT_ASSERT(decompress(small.substr(0, size), zeros.size()).error().code ==
                     error_code::malformed);
    }
  }

  void request_id_round_trip()
  {
    const request_id id = make_request_id();
    CPPUNIT_ASSERT(parse_request_id(to_string(id)) == id);
    CPPUNIT_ASSERT(!parse_request_id("12345"));
  }

  // Guards against reshuffling of all keys when one host leaves.
  void removing_a_node_moves_only_its_keys()
  {
    const std::vector<std::string> all = {"a", "b", "c", "d", "e"};
    const std::vector<std::string> fewer = {"a", "b", "c", "d"};
    const bool holds = rc::check("keys of remaining nodes stay",
                                 [&](const std::string& key)
                                 {
                                   const auto before = rendezvous_order(key, all).front();
                                   const auto after = rendezvous_order(key, fewer).front();
                                   RC_ASSERT(before == 4 || before == after);
                                 });
    CPPUNIT_ASSERT(holds);
  }

  // Guards against a pacer that lets more through than burst + rate x time.
  void token_bucket_never_exceeds_its_rate()
  {
    const auto start = std::chrono::steady_clock::time_point{};
    token_bucket bucket(100, 10, start);
    double taken = 0;
    for (int ms = 0; ms < 10000; ++ms)
    {
      if (bucket.try_take(3, start + std::chrono::milliseconds(ms)))
      {
        taken += 3;
      }
    }
    CPPUNIT_ASSERT(taken <= 1010);
    CPPUNIT_ASSERT(taken >= 990);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(common_test, "Common");

} // namespace
