#include <cppunit/extensions/HelperMacros.h>

#include "Weights/ChunkStore.h"
#include "Weights/OriginLedger.h"
#include "Weights/Transfer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::weights;

const time_point t0{std::chrono::hours(1)};

std::vector<std::uint8_t> make_chunk(std::uint8_t fill)
{
  return std::vector<std::uint8_t>(100, fill);
}

digest chunk_digest(std::uint8_t fill)
{
  const auto data = make_chunk(fill);
  return sha256(std::as_bytes(std::span(data)));
}

/// Builds a manifest of 100-byte chunks, each filled with the given byte.
protocol::manifest make_manifest(const std::vector<std::uint8_t>& fills)
{
  protocol::manifest out;
  sha256_hasher content;
  for (const std::uint8_t fill : fills)
  {
    const auto data = make_chunk(fill);
    content.update(std::as_bytes(std::span(data)));
    out.chunks.push_back({chunk_digest(fill), 100});
    out.total_bytes += 100;
  }
  out.content = content.finish();
  out.id = sha256(protocol::format_manifest(out));
  return out;
}

class weights_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(weights_test);
  CPPUNIT_TEST(bitmap_ignores_surplus_bits);
  CPPUNIT_TEST(store_shares_chunks_and_enforces_limit);
  CPPUNIT_TEST(reads_never_exceed_grant);
  CPPUNIT_TEST(unread_bytes_are_final_after_last_read);
  CPPUNIT_TEST(transfer_accepts_only_matching_chunks);
  CPPUNIT_TEST(source_is_banned_after_consecutive_corrupt_chunks);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against counting bits past the manifest's last chunk when a peer sends a longer bitmap.
  void bitmap_ignores_surplus_bits()
  {
    const std::vector<std::uint8_t> bytes{0xFF, 0xFF, 0xFF};
    const chunk_bitmap bitmap(10, bytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, bitmap.count());
    CPPUNIT_ASSERT(bitmap.all() && !bitmap.test(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chunk_bitmap(10, {}).count());
    chunk_bitmap changed(9);
    changed.set(8);
    changed.set(8);
    changed.set(9);
    changed.set(3);
    changed.set(3, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changed.count());
  }

  // Guards against storing a shared chunk twice, evicting it while it is pinned, and exceeding the
  // memory limit.
  void store_shares_chunks_and_enforces_limit()
  {
    const auto first = make_manifest({1, 2, 2});
    const auto second = make_manifest({2, 3});
    const auto large = make_manifest({4, 5, 6, 7});
    chunk_store store(300);
    CPPUNIT_ASSERT(!store.put(chunk_digest(1), make_chunk(1)));
    CPPUNIT_ASSERT(store.pin(first).has_value() && store.pin(second).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, store.pinned_bytes());
    CPPUNIT_ASSERT(store.put(chunk_digest(1), make_chunk(1)) &&
                   store.put(chunk_digest(2), make_chunk(2)));
    CPPUNIT_ASSERT(!store.pin(large).has_value());
    store.unpin(first.id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, store.held_bytes());
    // Chunk 1 was unpinned before chunk 2, so it is evicted first to make room for chunks 4 and 5.
    store.unpin(second.id);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.pinned_bytes());
    CPPUNIT_ASSERT(!store.pin(large).has_value());
    const auto next = make_manifest({4, 5, 6});
    CPPUNIT_ASSERT(store.pin(next).has_value());
    CPPUNIT_ASSERT(store.put(chunk_digest(4), make_chunk(4)) && store.holds(chunk_digest(1)));
    CPPUNIT_ASSERT(store.put(chunk_digest(5), make_chunk(5)));
    CPPUNIT_ASSERT(!store.holds(chunk_digest(1)) && store.holds(chunk_digest(2)));
    CPPUNIT_ASSERT(store.put(chunk_digest(6), make_chunk(6)) && !store.holds(chunk_digest(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, store.held_bytes());
    // A chunk that is pinned again is not evicted.
    store.unpin(next.id);
    const auto last = make_manifest({6, 7, 8});
    CPPUNIT_ASSERT(store.pin(last).has_value());
    CPPUNIT_ASSERT(store.put(chunk_digest(7), make_chunk(7)) &&
                   store.put(chunk_digest(8), make_chunk(8)));
    CPPUNIT_ASSERT(store.holds(chunk_digest(6)) && !store.holds(chunk_digest(4)) &&
                   !store.holds(chunk_digest(5)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, store.held_bytes());
  }

  // Guards against reading more than was granted when a grant is added again, also after it was
  // closed.
  void reads_never_exceed_grant()
  {
    origin_ledger ledger;
    const origin_ledger::grant_id grant{{log_offset{5}, "m"}, 0, log_offset{6}};
    CPPUNIT_ASSERT(!ledger.reserve(grant, 1));
    ledger.add_grant(grant, 100);
    ledger.add_grant(grant, 100);
    CPPUNIT_ASSERT(ledger.reserve(grant, 60) && !ledger.reserve(grant, 60));
    ledger.refund(grant, 60);
    CPPUNIT_ASSERT(ledger.reserve(grant, 100) && !ledger.reserve(grant, 1));
    ledger.close(grant);
    ledger.add_grant(grant, 100);
    CPPUNIT_ASSERT(!ledger.reserve(grant, 1));
  }

  // Guards against handing back unread bytes of a grant while a read can still consume them.
  void unread_bytes_are_final_after_last_read()
  {
    origin_ledger ledger;
    const origin_ledger::grant_id first{{log_offset{5}, "m"}, 0, log_offset{6}};
    const origin_ledger::grant_id second{{log_offset{5}, "m"}, 0, log_offset{9}};
    ledger.add_grant(second, 100);
    ledger.add_grant(first, 50);
    CPPUNIT_ASSERT(ledger.reserve(first.release, 0, 30) == first);
    CPPUNIT_ASSERT(ledger.reserve(first.release, 0, 30) == second);
    CPPUNIT_ASSERT(!ledger.reserve(first.release, 1, 1));
    CPPUNIT_ASSERT(!ledger.unread(first));
    ledger.close(first);
    CPPUNIT_ASSERT(!ledger.unread(first) && !ledger.is_open(first));
    ledger.refund(first, 30);
    CPPUNIT_ASSERT(ledger.unread(first) == 50U);
    ledger.refund(first, 30);
    CPPUNIT_ASSERT(ledger.unread(first) == 50U && !ledger.reserve(first, 1));
    CPPUNIT_ASSERT(ledger.remaining(first.release, 0) == std::vector<std::uint64_t>{70});
    ledger.settle(second);
    ledger.close(second);
    CPPUNIT_ASSERT(ledger.unread(second) == 70U);
  }

  // Guards against storing chunks that differ from the manifest, and against reporting a transfer
  // as complete when the digest of the whole content does not match.
  void transfer_accepts_only_matching_chunks()
  {
    for (const bool content_matches : {true, false})
    {
      auto manifest = make_manifest({1, 2, 1});
      manifest.content = content_matches ? manifest.content : sha256("other");
      chunk_store store(1000);
      CPPUNIT_ASSERT(store.pin(manifest).has_value());
      transfer t(manifest.id, t0);
      CPPUNIT_ASSERT(t.take_chunk(0, chunk_digest(1), make_chunk(1), store, t0) ==
                     arrival::unknown);
      t.set_manifest(manifest, "text", store, t0);
      CPPUNIT_ASSERT(t.take_chunk(0, chunk_digest(2), make_chunk(2), store, t0) ==
                     arrival::corrupt);
      CPPUNIT_ASSERT(t.take_chunk(3, chunk_digest(1), make_chunk(1), store, t0) ==
                     arrival::unknown);
      CPPUNIT_ASSERT(t.take_chunk(0, chunk_digest(1), make_chunk(1), store, t0) == arrival::stored);
      CPPUNIT_ASSERT(t.have().test(2));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, t.first_index(2));
      CPPUNIT_ASSERT(t.take_chunk(2, chunk_digest(1), make_chunk(1), store, t0) ==
                     arrival::duplicate);
      CPPUNIT_ASSERT(!t.check_content(store, 10));
      CPPUNIT_ASSERT(t.take_chunk(1, chunk_digest(2), make_chunk(2), store, t0) == arrival::stored);
      CPPUNIT_ASSERT(t.check_content(store, 10));
      CPPUNIT_ASSERT(t.complete() == content_matches && t.content_mismatch() != content_matches);
    }
  }

  // Guards against requesting from a source that sends only corrupt chunks, and against banning one
  // that sent a valid chunk in between.
  void source_is_banned_after_consecutive_corrupt_chunks()
  {
    transfer t(sha256("m"), t0);
    const host_id host{"host-1"};
    CPPUNIT_ASSERT(!t.note_corrupt(host) && !t.note_corrupt(host));
    t.note_reply(host, std::chrono::seconds(1));
    CPPUNIT_ASSERT(!t.note_corrupt(host) && !t.note_corrupt(host));
    CPPUNIT_ASSERT(t.sources.at(host).is_reliable());
    CPPUNIT_ASSERT(t.note_corrupt(host));
    CPPUNIT_ASSERT(!t.note_corrupt(host) && !t.sources.at(host).is_reliable());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weights_test, "Weights");

} // namespace
