#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpListener.h"
#include "Common/Digest.h"
#include "Rollout/PieceFetcher.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;

constexpr std::uint32_t piece_count = 60;

class piece_fetcher_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(piece_fetcher_test);
  CPPUNIT_TEST(piece_reads_in_flight_are_bounded);
  CPPUNIT_TEST(announcements_per_round_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  static std::string manifest()
  {
    std::string digests;
    for (std::uint32_t piece = 0; piece < piece_count; ++piece)
    {
      digests += (piece == 0 ? "\"" : ",\"") + to_hex(sha256(std::to_string(piece))) + "\"";
    }
    return R"({"model":"m","version":2,"chunk_bytes":9,"digests":[)" + digests + "]}";
  }

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
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(piece_fetcher_test, "Rollout.PieceFetcher");

} // namespace
