#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpListener.h"
#include "Common/Digest.h"
#include "Rollout/PieceFetcher.h"
#include "Rollout/PieceRelay.h"
#include "Rollout/RelayPlan.h"
#include "Rollout/RelaySchedule.h"
#include "Rollout/SettleRule.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t pieces = 48;

const std::vector<rollout_host> entries = {
    {"10.0.0.1", "east"},  {"10.0.0.2", "east"},  {"10.0.0.3", "east"},
    {"10.0.0.4", "north"}, {"10.0.0.5", "north"},
};

relay_schedule::time_point start()
{
  return relay_schedule::time_point{} + seconds(1000);
}

class relay_plan_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(relay_plan_test);
  CPPUNIT_TEST(each_piece_is_assigned_to_one_entry_per_region);
  CPPUNIT_TEST(missing_entry_changes_only_its_own_pieces);
  CPPUNIT_TEST(few_entries_request_the_manifest_from_the_origin);
  CPPUNIT_TEST(assigned_pieces_are_read_at_the_origin_rate);
  CPPUNIT_TEST(remote_entry_tries_the_origin_region_first);
  CPPUNIT_TEST(no_reads_before_entries_are_known);
  CPPUNIT_TEST(process_settles_when_no_new_host_appears);
  CPPUNIT_TEST_SUITE_END();

public:
  void each_piece_is_assigned_to_one_entry_per_region()
  {
    std::set<std::string> used;
    for (std::uint32_t piece = 0; piece < pieces; ++piece)
    {
      const relay_plan east(entries, "east", "north");
      const relay_plan north(entries, "north", "north");
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, east.relays(piece).size());
      // East reads the piece from the entry that reads it from the origin.
      CPPUNIT_ASSERT_EQUAL(north.relays(piece).front(), east.sources(piece).front());
      CPPUNIT_ASSERT(north.sources(piece).empty());
      used.insert(east.relays(piece).front());
      used.insert(north.relays(piece).front());
    }
    CPPUNIT_ASSERT_EQUAL(entries.size(), used.size());
  }

  /// Guards against repeated origin reads of a piece because an entry joined or left.
  void missing_entry_changes_only_its_own_pieces()
  {
    const std::vector<rollout_host> fewer(entries.begin() + 1, entries.end());
    const relay_plan before(entries, "east", "north");
    const relay_plan after(fewer, "east", "north");
    for (std::uint32_t piece = 0; piece < pieces; ++piece)
    {
      const auto first = before.relays(piece).front();
      CPPUNIT_ASSERT(first == entries.front().ip || first == after.relays(piece).front());
    }
  }

  /// Guards against 80 entries that request the manifest from the origin at once: it accepts 77
  /// connections, and the responses queue behind pieces until they time out.
  void few_entries_request_the_manifest_from_the_origin()
  {
    std::vector<rollout_host> many;
    many.reserve(81);
    for (int i = 0; i < 81; ++i)
    {
      many.push_back({"10.0.0." + std::to_string(i),
                      i % 3 == 0 ? "north" : "region " + std::to_string(i % 3)});
    }
    unsigned readers = 0;
    for (const rollout_host& entry : many)
    {
      const relay_plan plan(many, entry.region, "north");
      const auto sources = plan.manifest_sources(entry.ip);
      CPPUNIT_ASSERT(sources.back().empty());
      readers += sources.front().empty() ? 1U : 0U;
      // No entry requests the manifest from itself; requests only go towards the origin.
      CPPUNIT_ASSERT(std::find(sources.begin(), sources.end(), entry.ip) == sources.end());
      CPPUNIT_ASSERT(sources.size() <= 3);
    }
    CPPUNIT_ASSERT_EQUAL(2U, readers);
    // A single entry reads from the origin.
    const relay_plan single(std::vector<rollout_host>{{"10.0.0.1", "east"}}, "east", "north");
    CPPUNIT_ASSERT(single.manifest_sources("10.0.0.1") == std::vector<std::string>{""});
  }

  /// Guards against concurrent reads of all pieces, which would all complete only at the end, and
  /// against hosts that load the second half having to wait for the first half.
  void assigned_pieces_are_read_at_the_origin_rate()
  {
    relay_schedule schedule(pieces, "10.0.0.4", start());
    schedule.set_plan(
        relay_plan(std::vector<rollout_host>{{"10.0.0.4", "north"}}, "north", "north"));
    CPPUNIT_ASSERT((schedule.begin_reads(start()) == std::vector<piece_read>{{0, {}}}));
    CPPUNIT_ASSERT((schedule.begin_reads(start() + origin_read_interval) ==
                    std::vector<piece_read>{{pieces / 2, {}}}));
    // At most two concurrent origin reads.
    CPPUNIT_ASSERT(schedule.begin_reads(start() + seconds(1)).empty());
    schedule.on_read_finished({0, {}}, read_outcome::received, start() + seconds(1));
    CPPUNIT_ASSERT(
        (schedule.begin_reads(start() + seconds(1)) == std::vector<piece_read>{{1, {}}}));
  }

  void remote_entry_tries_the_origin_region_first()
  {
    const relay_plan plan(entries, "east", "north");
    const std::uint32_t piece = 47;
    relay_schedule schedule(pieces, "10.0.0.1", start());
    schedule.set_plan(plan);
    schedule.request_piece(piece, false);
    auto now = start();
    for (const std::string& source : plan.sources(piece))
    {
      const piece_read expected{piece, source};
      const auto reads = schedule.begin_reads(now);
      CPPUNIT_ASSERT(std::find(reads.begin(), reads.end(), expected) != reads.end());
      // An entry that waits for the origin is tried again; one that fails is skipped.
      schedule.on_read_finished(expected, read_outcome::busy, now);
      const auto again = schedule.begin_reads(now);
      CPPUNIT_ASSERT(std::find(again.begin(), again.end(), expected) != again.end());
      schedule.on_read_finished(expected, read_outcome::failed, now);
      now += milliseconds(100);
    }
    const auto reads = schedule.begin_reads(now);
    CPPUNIT_ASSERT(std::find(reads.begin(), reads.end(), piece_read{piece, {}}) != reads.end());
  }

  /// Guards against all entries reading from the origin after a power loss, when none knows
  /// another.
  void no_reads_before_entries_are_known()
  {
    relay_schedule schedule(pieces, "10.0.0.1", start());
    schedule.request_piece(0, false);
    CPPUNIT_ASSERT(schedule.begin_reads(start()).empty());
  }

  void process_settles_when_no_new_host_appears()
  {
    settle_rule rule(start());
    // The host list in the store may still grow.
    CPPUNIT_ASSERT(!rule.has_settled(1, true, start() + milliseconds(50)));
    CPPUNIT_ASSERT(!rule.has_settled(3, false, start() + milliseconds(100)));
    CPPUNIT_ASSERT(!rule.has_settled(5, false, start() + milliseconds(350)));
    CPPUNIT_ASSERT(!rule.has_settled(5, false, start() + milliseconds(450)));
    CPPUNIT_ASSERT(rule.has_settled(5, false, start() + milliseconds(560)));
    CPPUNIT_ASSERT(!rule.has_settled(6, false, start() + milliseconds(570)));
    // Settles at once when all hosts listed in the store have been heard from.
    CPPUNIT_ASSERT(rule.has_settled(7, true, start() + milliseconds(580)));
    // Hosts that join or leave later do not delay a process for long.
    CPPUNIT_ASSERT(rule.has_settled(7, false, start() + seconds(4)));
  }
};

/// One entry with simulated callers and a simulated origin.
class piece_relay_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(piece_relay_test);
  CPPUNIT_TEST(callers_share_one_origin_read);
  CPPUNIT_TEST(hung_manifest_request_is_retried);
  CPPUNIT_TEST(corrupt_piece_is_not_relayed);
  CPPUNIT_TEST(caller_gets_503_while_the_origin_fails);
  CPPUNIT_TEST(announcement_starts_assigned_reads);
  CPPUNIT_TEST(models_do_not_evict_each_other);
  CPPUNIT_TEST(relayed_pieces_respect_the_uplink_limit);
  CPPUNIT_TEST(invalid_requests_fail_at_once);
  CPPUNIT_TEST_SUITE_END();

  std::string bytes_of(std::uint32_t piece) const
  {
    return "piece " + std::to_string(piece) + std::string(m_padding, '.');
  }

  std::string manifest(std::uint32_t count) const
  {
    std::string digests;
    for (std::uint32_t piece = 0; piece < count; ++piece)
    {
      digests += (piece == 0 ? "\"" : ",\"") + to_hex(sha256(bytes_of(piece))) + "\"";
    }
    return R"({"model":"m","version":2,"chunk_bytes":9,"digests":[)" + digests + "]}";
  }

  static std::string piece_target(std::uint32_t piece)
  {
    return "/piece?model=m&version=2&number=" + std::to_string(piece);
  }

  piece_relay make_relay()
  {
    return piece_relay({.loop = m_loop,
                        .caller = m_caller,
                        .self = "127.0.0.1",
                        .region = "east",
                        .peer_port = 1,
                        .uplink_bytes_per_s = m_uplink_bytes_per_s,
                        .entries =
                            [] {
                              return std::vector<rollout_host>{{"127.0.0.1", "east"}};
                            },
                        .origin =
                            [this]
                        {
                          return weight_origin{{"127.0.0.1", m_origin.port()}, "east"};
                        }});
  }

  /// Sends one request; the loop stops after `expected` answers in total.
  void send_request(piece_relay& relay, const std::string& target, std::size_t expected)
  {
    message_head head;
    head.target = target;
    relay.serve(head,
                [this, expected](simple_answer answer)
                {
                  m_answers.push_back(std::move(answer));
                  if (m_answers.size() == expected)
                  {
                    m_loop.stop();
                  }
                });
  }

  void run()
  {
    m_guard.start(seconds(20), [this] { m_loop.stop(); });
    m_loop.run();
  }

  event_loop m_loop;
  timer m_guard{m_loop};
  http_caller m_caller{m_loop};
  std::uint32_t m_piece_count = 3;
  double m_uplink_bytes_per_s = 1e9;
  std::size_t m_padding = 0;
  bool m_origin_fails = false;
  unsigned m_corrupt_answers = 0;
  unsigned m_unanswered_manifests = 0;
  std::vector<http_listener::responder> m_unanswered;
  std::map<std::string, unsigned> m_reads;
  std::map<std::string, unsigned> m_manifests;
  std::vector<simple_answer> m_answers;
  http_listener m_origin{
      m_loop, [this](const message_head& head, const http_listener::responder& respond)
      {
        if (path_of(head.target).starts_with("/v1/manifest/"))
        {
          ++m_manifests[std::string(path_of(head.target))];
          if (m_unanswered_manifests > 0)
          {
            --m_unanswered_manifests;
            m_unanswered.push_back(respond);
            return;
          }
          respond({200, "application/json", manifest(m_piece_count)});
          return;
        }
        const std::string number = query_parameter(head.target, "num");
        ++m_reads[number];
        if (m_origin_fails)
        {
          respond({.status = 500});
          return;
        }
        const bool corrupt = m_corrupt_answers > 0;
        m_corrupt_answers -= corrupt ? 1U : 0U;
        respond(
            {200, "application/octet-stream",
             corrupt ? "other bytes" : bytes_of(static_cast<std::uint32_t>(std::stoul(number)))});
        if (m_reads.size() == m_expected_reads)
        {
          m_loop.stop();
        }
      }};
  std::size_t m_expected_reads = 0;

public:
  void setUp() override
  {
    CPPUNIT_ASSERT(m_origin.listen({"127.0.0.1", 0}));
  }

  void callers_share_one_origin_read()
  {
    auto relay = make_relay();
    send_request(relay, piece_target(1), 4);
    send_request(relay, piece_target(1), 4);
    send_request(relay, "/manifest?model=m&version=2", 4);
    send_request(relay, piece_target(1) + "&from_origin=1", 4);
    run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_answers.size());
    CPPUNIT_ASSERT_EQUAL(1U, m_reads["1"]);
    for (const simple_answer& answer : m_answers)
    {
      CPPUNIT_ASSERT_EQUAL(200U, answer.status);
      CPPUNIT_ASSERT(answer.body == bytes_of(1) || answer.body == manifest(m_piece_count));
    }
  }

  /// Guards against an entry that delays its assigned pieces in all regions because its manifest
  /// request hangs (2 s with a faulty origin).
  void hung_manifest_request_is_retried()
  {
    m_unanswered_manifests = 1;
    auto relay = make_relay();
    send_request(relay, "/manifest?model=m&version=2", 1);
    run();
    CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(0).status);
    m_unanswered.clear();
  }

  void corrupt_piece_is_not_relayed()
  {
    m_corrupt_answers = 1;
    auto relay = make_relay();
    send_request(relay, piece_target(2), 1);
    run();
    CPPUNIT_ASSERT_EQUAL(bytes_of(2), m_answers.at(0).body);
  }

  /// Guards against hosts that cannot tell an entry that waits for the origin from one that is
  /// down.
  void caller_gets_503_while_the_origin_fails()
  {
    m_origin_fails = true;
    auto relay = make_relay();
    send_request(relay, piece_target(0), 1);
    run();
    CPPUNIT_ASSERT_EQUAL(503U, m_answers.at(0).status);
    // The piece is relayed once the origin has recovered.
    m_origin_fails = false;
    send_request(relay, piece_target(0), 2);
    run();
    CPPUNIT_ASSERT_EQUAL(bytes_of(0), m_answers.at(1).body);
  }

  void announcement_starts_assigned_reads()
  {
    m_expected_reads = m_piece_count;
    auto relay = make_relay();
    relay.handle_announcement({.model = "m", .version = 2, .states = {}, .wants_answer = true});
    run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{m_piece_count}, m_reads.size());
  }

  /// Guards against models that evict each other's versions at a site with several models, so that
  /// they are read from the origin repeatedly.
  void models_do_not_evict_each_other()
  {
    auto relay = make_relay();
    send_request(relay, "/manifest?model=m&version=2", 1);
    run();
    for (const char* other : {"a", "b", "c"})
    {
      relay.handle_announcement({.model = other, .version = 9, .states = {}, .wants_answer = true});
    }
    send_request(relay, "/manifest?model=m&version=2", 2);
    if (m_answers.size() < 2)
    {
      run();
    }
    CPPUNIT_ASSERT_EQUAL(200U, m_answers.at(1).status);
    CPPUNIT_ASSERT_EQUAL(1U, m_manifests["/v1/manifest/m"]);
  }

  /// Guards against an entry with a slow link whose responses to callers queue behind the pieces
  /// for all hosts of its region, and whose pieces time out because they are all sent at once.
  void relayed_pieces_respect_the_uplink_limit()
  {
    m_uplink_bytes_per_s = 1;
    m_padding = 49'000;
    auto relay = make_relay();
    constexpr std::size_t callers = 6;
    for (std::size_t i = 1; i < callers; ++i)
    {
      send_request(relay, piece_target(1), callers);
    }
    send_request(relay, piece_target(1) + "&from_origin=1", callers);
    run();
    CPPUNIT_ASSERT_EQUAL(callers, m_answers.size());
    // Two pieces may be sent back to back, first to an entry of another region; the rest get 503.
    const auto sent =
        std::count_if(m_answers.begin(), m_answers.end(),
                      [](const simple_answer& answer) { return answer.status == 200; });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, static_cast<std::ptrdiff_t>(sent));
    CPPUNIT_ASSERT_EQUAL(503U, m_answers.back().status);
  }

  void invalid_requests_fail_at_once()
  {
    auto relay = make_relay();
    send_request(relay, "/piece?model=m&version=x&number=1", 3);
    send_request(relay, "/piece?version=2&number=1", 3);
    send_request(relay, piece_target(m_piece_count), 3);
    run();
    CPPUNIT_ASSERT_EQUAL(400U, m_answers.at(0).status);
    CPPUNIT_ASSERT_EQUAL(400U, m_answers.at(1).status);
    CPPUNIT_ASSERT_EQUAL(404U, m_answers.at(2).status);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(relay_plan_test, "Rollout.RelayPlan");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(piece_relay_test, "Rollout.PieceRelay");

} // namespace
