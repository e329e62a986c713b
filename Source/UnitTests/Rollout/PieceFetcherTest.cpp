#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpListener.h"
#include "Common/Digest.h"
#include "Rollout/PieceFetcher.h"
#include "UnitTests/RunUntil.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;

constexpr std::uint32_t piece_count = 60;
// Allows for a busy machine; reading all pieces from a slow engine would take longer.
constexpr milliseconds network_fetch_limit{2000};

std::string manifest()
{
  std::string digests;
  for (std::uint32_t piece = 0; piece < piece_count; ++piece)
  {
    digests += (piece == 0 ? "\"" : ",\"") + to_hex(sha256(std::to_string(piece))) + "\"";
  }
  return R"({"model":"m","version":2,"chunk_bytes":9,"digests":[)" + digests + "]}";
}

/// A host whose engine has staged pieces, and an origin that has all pieces.
class staged_pieces_fixture
{
public:
  staged_pieces_fixture()
  {
    CPPUNIT_ASSERT(m_engine.listen({"127.0.0.1", 0}));
    CPPUNIT_ASSERT(m_origin.listen({"127.0.0.1", 0}));
  }
  ~staged_pieces_fixture()
  {
    if (m_fetcher)
    {
      m_fetcher->stop();
    }
  }
  staged_pieces_fixture(const staged_pieces_fixture&) = delete;
  staged_pieces_fixture& operator=(const staged_pieces_fixture&) = delete;
  staged_pieces_fixture(staged_pieces_fixture&&) = delete;
  staged_pieces_fixture& operator=(staged_pieces_fixture&&) = delete;

  static std::string piece_bytes(std::uint32_t piece)
  {
    return std::to_string(piece);
  }

  void stage_all()
  {
    for (std::uint32_t piece = 0; piece < piece_count; ++piece)
    {
      staged[piece] = piece_bytes(piece);
    }
  }

  void start(const piece_range& first_part = {})
  {
    m_fetcher = std::make_shared<piece_fetcher>(
        fetch_environment{.loop = m_loop,
                          .caller = m_caller,
                          .self = "127.0.0.1",
                          .peer_port = 1,
                          .region = "east",
                          .hosts =
                              [] {
                                return std::vector<rollout_host>{{"127.0.0.1", "east"}};
                              },
                          .relays = [this] { return entries; },
                          .origin =
                              [this] {
                                return transport::endpoint{"127.0.0.1", m_origin.port()};
                              },
                          .engine = transport::endpoint{"127.0.0.1", m_engine.port()},
                          .announce =
                              [this](const std::string&, const peers::piece_announcement&)
                          {
                            ++announcements;
                            reads_at_first_announcement =
                                std::min(reads_at_first_announcement, staged_reads.size());
                          }},
        "m", 2, first_part,
        piece_fetcher::handlers{.on_first_part =
                                    [this]
                                {
                                  reads_at_first_part = staged_reads.size();
                                  if (stops_at_first_part)
                                  {
                                    m_fetcher->stop();
                                  }
                                },
                                .on_complete =
                                    [this]
                                {
                                  ++completions;
                                }});
    m_started = std::chrono::steady_clock::now();
    m_fetcher->start();
  }

  void run_to_completion()
  {
    test::run_until(m_loop, [this] { return completions > 0; });
    CPPUNIT_ASSERT_EQUAL(1U, completions);
    CPPUNIT_ASSERT(m_fetcher->pieces()->is_complete());
    const fetch_counts& counts = m_fetcher->counts();
    CPPUNIT_ASSERT_EQUAL(piece_count, counts.from_engine + counts.from_origin);
  }

  /// Fetches all pieces and checks how many of them came from the engine.
  void run_to_completion(unsigned expected_from_engine)
  {
    run_to_completion();
    CPPUNIT_ASSERT_EQUAL(expected_from_engine, m_fetcher->counts().from_engine);
  }

  void run_for(milliseconds time)
  {
    timer guard(m_loop);
    guard.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// Time from the start until the first piece is read from the origin.
  milliseconds time_to_network_fetch()
  {
    test::run_until(m_loop, [this] { return !origin_reads.empty(); });
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started);
  }

  std::map<std::uint32_t, std::string> staged;
  unsigned list_status = 200;
  /// Number of calls that the engine answers.
  unsigned calls_to_answer = 1000;
  milliseconds answer_delay{0};
  bool stops_at_first_part = false;
  std::vector<rollout_host> entries;

  std::vector<std::uint32_t> staged_reads;
  std::set<std::uint32_t> origin_reads;
  std::size_t reads_at_first_announcement = piece_count + 1;
  std::optional<std::size_t> reads_at_first_part;
  unsigned announcements = 0;
  unsigned completions = 0;
  unsigned lists = 0;

private:
  static std::uint32_t number_in(const message_head& head)
  {
    std::uint64_t number = 0;
    CPPUNIT_ASSERT(parse_number(query_parameter(head.target, "num"), number));
    return static_cast<std::uint32_t>(number);
  }

  void answer_engine_call(const message_head& head, const http_listener::responder& respond)
  {
    CPPUNIT_ASSERT_EQUAL(std::string("/v1/stage-get/m"), std::string(path_of(head.target)));
    simple_answer answer{.status = 404};
    if (query_parameter(head.target, "num").empty())
    {
      ++lists;
      std::string held;
      for (const auto& [piece, bytes] : staged)
      {
        held += (held.empty() ? "" : ",") + std::to_string(piece);
      }
      answer = {list_status, "application/json", "{\"held\":[" + held + "]}"};
    }
    else
    {
      const auto piece = staged.find(number_in(head));
      staged_reads.push_back(number_in(head));
      if (piece != staged.end())
      {
        answer = {200, "application/octet-stream", piece->second};
      }
    }
    if (calls_to_answer == 0)
    {
      m_unanswered.push_back(respond);
      return;
    }
    --calls_to_answer;
    if (answer_delay == milliseconds(0))
    {
      respond(answer);
      return;
    }
    m_delay.start(answer_delay, [respond, answer] { respond(answer); });
  }

  void answer_origin_call(const message_head& head, const http_listener::responder& respond)
  {
    if (path_of(head.target).starts_with("/v1/manifest/"))
    {
      respond({200, "application/json", manifest()});
      return;
    }
    origin_reads.insert(number_in(head));
    respond({200, "application/octet-stream", piece_bytes(number_in(head))});
  }

  event_loop m_loop;
  timer m_delay{m_loop};
  std::vector<http_listener::responder> m_unanswered;
  http_listener m_engine{m_loop,
                         [this](const message_head& head, const http_listener::responder& respond)
                         {
                           answer_engine_call(head, respond);
                         }};
  http_listener m_origin{m_loop,
                         [this](const message_head& head, const http_listener::responder& respond)
                         {
                           answer_origin_call(head, respond);
                         }};
  http_caller m_caller{m_loop};
  std::shared_ptr<piece_fetcher> m_fetcher;
  std::chrono::steady_clock::time_point m_started;
};

class piece_fetcher_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(piece_fetcher_test);
  CPPUNIT_TEST(piece_reads_in_flight_are_bounded);
  CPPUNIT_TEST(announcements_per_round_are_bounded);
  CPPUNIT_TEST(staged_pieces_are_not_fetched);
  CPPUNIT_TEST(first_part_is_taken_from_the_engine_first);
  CPPUNIT_TEST(bad_staged_pieces_are_fetched);
  CPPUNIT_TEST(pieces_that_are_not_staged_are_fetched);
  CPPUNIT_TEST(staged_pieces_of_another_version_are_left);
  CPPUNIT_TEST(engine_without_staged_pieces_is_not_read);
  CPPUNIT_TEST(engine_that_refuses_the_list_is_not_read);
  CPPUNIT_TEST(silent_engine_does_not_hold_up_the_fetch);
  CPPUNIT_TEST(engine_that_falls_silent_does_not_hold_up_the_fetch);
  CPPUNIT_TEST(slow_engine_does_not_hold_up_the_fetch);
  CPPUNIT_TEST(stopped_fetch_reads_no_more_staged_pieces);
  CPPUNIT_TEST_SUITE_END();

  static bool is_manifest_call(const message_head& head)
  {
    return path_of(head.target).starts_with("/v1/manifest/");
  }

  /// Answers like an origin that serves the manifest but refuses all pieces, so that reads
  /// are retried.
  static void refuse_pieces(const message_head& head, const http_listener::responder& respond)
  {
    respond(is_manifest_call(head) ? simple_answer{200, "application/json", manifest()}
                                   : simple_answer{.status = 503});
  }

  static piece_fetcher::handlers no_handlers()
  {
    return {.on_first_part = [] {},
            .on_complete =
                [] {
                }};
  }

public:
  /// Guards against so many piece reads in flight that requests for the host's engine are delayed
  /// for seconds on a slow link. At 1.2 Mbit/s, 8 pieces of 49 KB take 2.6 s, which is less than
  /// the timeout of callers.
  void piece_reads_in_flight_are_bounded()
  {
    event_loop loop;
    timer guard(loop);
    http_caller caller(loop);
    std::size_t in_flight = 0;
    std::vector<http_listener::responder> unanswered;
    http_listener peer(loop,
                       [&](const message_head&, const http_listener::responder& respond)
                       {
                         ++in_flight;
                         unanswered.push_back(respond);
                       });
    CPPUNIT_ASSERT(peer.listen({"127.0.0.2", 0}));
    bool manifest_requested = false;
    http_listener origin(loop,
                         [&](const message_head& head, const http_listener::responder& respond)
                         {
                           manifest_requested = manifest_requested || is_manifest_call(head);
                           refuse_pieces(head, respond);
                         });
    CPPUNIT_ASSERT(origin.listen({"127.0.0.1", 0}));
    const auto fetcher = std::make_shared<piece_fetcher>(
        fetch_environment{
            .loop = loop,
            .caller = caller,
            .self = "127.0.0.1",
            .peer_port = peer.port(),
            .hosts =
                [] {
                  return std::vector<rollout_host>{{"127.0.0.1", "east"}, {"127.0.0.2", "east"}};
                },
            .origin =
                [&] {
                  return transport::endpoint{"127.0.0.1", origin.port()};
                },
            .announce =
                [](const std::string&, const peers::piece_announcement&) {
                }},
        "m", 2, piece_range{},
        piece_fetcher::handlers{.on_first_part = [] {},
                                .on_complete =
                                    [] {
                                    }});
    fetcher->start();
    timer announcements(loop);
    std::function<void()> announce = [&]
    {
      fetcher->handle_announcement("127.0.0.2",
                                   {.model = "m",
                                    .version = 2,
                                    .states = std::vector(piece_count, peers::piece_state::held)});
      announcements.start(milliseconds(100), announce);
    };
    announce();
    // The peer announces all pieces but never answers, so that reads stay in flight.
    guard.start(milliseconds(1500), [&] { loop.stop(); });
    loop.run();
    announcements.cancel();
    fetcher->stop();
    // Lets the open calls time out, as they refer to local objects.
    guard.start(std::chrono::seconds(7), [&] { loop.stop(); });
    loop.run();
    CPPUNIT_ASSERT(manifest_requested);
    CPPUNIT_ASSERT(in_flight > 0);
    CPPUNIT_ASSERT(in_flight <= 8);
  }

  /// Guards against announcements that saturate the regional links: 99 hosts that announce to all
  /// others 25 times per second send 30 MB/s. Without entries, a host announces to its own region
  /// and to a few of the other hosts in rotation.
  void announcements_per_round_are_bounded()
  {
    constexpr int rounds = 9;
    event_loop loop;
    timer guard(loop);
    http_caller caller(loop);
    http_listener origin(loop, refuse_pieces);
    CPPUNIT_ASSERT(origin.listen({"127.0.0.1", 0}));
    std::vector<rollout_host> hosts = {{"127.0.0.1", "east"}, {"127.0.0.2", "east"}};
    for (int i = 0; i < 60; ++i)
    {
      hosts.push_back({"127.0.1." + std::to_string(i), "west"});
    }
    std::map<std::string, int> announcements_to;
    const auto fetcher = std::make_shared<piece_fetcher>(
        fetch_environment{.loop = loop,
                          .caller = caller,
                          .self = "127.0.0.1",
                          .peer_port = 1,
                          .region = "east",
                          .hosts = [&] { return hosts; },
                          .origin =
                              [&] {
                                return transport::endpoint{"127.0.0.1", origin.port()};
                              },
                          .announce =
                              [&](const std::string& ip, const peers::piece_announcement&)
                          {
                            ++announcements_to[ip];
                            if (announcements_to["127.0.0.2"] == rounds)
                            {
                              loop.stop();
                            }
                          }},
        "m", 2, piece_range{},
        piece_fetcher::handlers{.on_first_part = [] {},
                                .on_complete =
                                    [] {
                                    }});
    fetcher->start();
    guard.start(std::chrono::seconds(30), [&] { loop.stop(); });
    loop.run();
    fetcher->stop();
    CPPUNIT_ASSERT_EQUAL(rounds, announcements_to["127.0.0.2"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{61}, announcements_to.size());
    for (const auto& [ip, times] : announcements_to)
    {
      // Each round reaches 12 of the 60 hosts, so each host once in five rounds.
      CPPUNIT_ASSERT(ip == "127.0.0.2" || times <= rounds / 5 + 1);
    }
  }

  void staged_pieces_are_not_fetched()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.entries = {{"127.0.0.9", "east"}};
    host.start();
    host.run_to_completion(piece_count);
    CPPUNIT_ASSERT(host.origin_reads.empty());
    // Entries that are told of the fetch would read the pieces from the origin.
    host.run_for(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(0U, host.announcements);
    CPPUNIT_ASSERT_EQUAL(std::size_t{piece_count}, host.staged_reads.size());
  }

  void first_part_is_taken_from_the_engine_first()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.start({30, 40});
    host.run_to_completion(piece_count);
    CPPUNIT_ASSERT(host.reads_at_first_part.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, *host.reads_at_first_part);
  }

  void bad_staged_pieces_are_fetched()
  {
    staged_pieces_fixture host;
    host.stage_all();
    const std::set<std::uint32_t> bad = {5, 6, 59};
    for (const std::uint32_t piece : bad)
    {
      host.staged[piece] = "bad";
    }
    host.entries = {{"127.0.0.9", "east"}};
    host.start();
    host.run_to_completion(piece_count - 3);
    CPPUNIT_ASSERT(bad == host.origin_reads);
    CPPUNIT_ASSERT_EQUAL(std::size_t{piece_count}, host.reads_at_first_announcement);
  }

  void pieces_that_are_not_staged_are_fetched()
  {
    staged_pieces_fixture host;
    host.stage_all();
    for (std::uint32_t piece = 20; piece < piece_count; ++piece)
    {
      host.staged.erase(piece);
    }
    host.staged[piece_count] = "a piece beyond the end";
    host.start();
    host.run_to_completion(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, host.staged_reads.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, host.origin_reads.size());
  }

  void staged_pieces_of_another_version_are_left()
  {
    staged_pieces_fixture host;
    for (std::uint32_t piece = 0; piece < piece_count; ++piece)
    {
      host.staged[piece] = "version 1 piece " + std::to_string(piece);
    }
    host.start();
    host.run_to_completion(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, host.staged_reads.size());
  }

  void engine_without_staged_pieces_is_not_read()
  {
    staged_pieces_fixture host;
    host.start();
    host.run_to_completion(0);
    CPPUNIT_ASSERT_EQUAL(1U, host.lists);
    CPPUNIT_ASSERT(host.staged_reads.empty());
  }

  void engine_that_refuses_the_list_is_not_read()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.list_status = 403;
    host.start();
    host.run_to_completion(0);
    CPPUNIT_ASSERT_EQUAL(1U, host.lists);
    CPPUNIT_ASSERT(host.staged_reads.empty());
  }

  void silent_engine_does_not_hold_up_the_fetch()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.calls_to_answer = 0;
    host.start();
    CPPUNIT_ASSERT(host.time_to_network_fetch() < network_fetch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, host.lists);
    CPPUNIT_ASSERT(host.staged_reads.empty());
  }

  void engine_that_falls_silent_does_not_hold_up_the_fetch()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.calls_to_answer = 11;
    host.start();
    CPPUNIT_ASSERT(host.time_to_network_fetch() < network_fetch_limit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, host.staged_reads.size());
    host.run_to_completion(10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, host.staged_reads.size());
  }

  /// Guards against a fetch that waits for each of many answers that come just within their limit.
  void slow_engine_does_not_hold_up_the_fetch()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.answer_delay = milliseconds(120);
    host.start();
    CPPUNIT_ASSERT(host.time_to_network_fetch() < network_fetch_limit);
    CPPUNIT_ASSERT(host.staged_reads.size() <= 5);
    host.run_to_completion();
    CPPUNIT_ASSERT(host.staged_reads.size() <= 5);
  }

  void stopped_fetch_reads_no_more_staged_pieces()
  {
    staged_pieces_fixture host;
    host.stage_all();
    host.stops_at_first_part = true;
    host.start({0, 5});
    host.run_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, host.staged_reads.size());
    CPPUNIT_ASSERT(host.origin_reads.empty());
    CPPUNIT_ASSERT_EQUAL(0U, host.announcements);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(piece_fetcher_test, "Rollout.PieceFetcher");

} // namespace
