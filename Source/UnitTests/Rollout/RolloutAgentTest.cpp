#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpListener.h"
#include "Common/Digest.h"
#include "Rollout/RolloutAgent.h"
#include "ScriptedHttpServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using namespace pollenyoke::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::scripted_http_server;

constexpr std::uint32_t piece_count = 4;

std::string piece_bytes(std::uint64_t version, std::uint32_t piece)
{
  return "version " + std::to_string(version) + " piece " + std::to_string(piece);
}

/// Runs an agent against stand-ins for the engine and the origin that speak the platform's HTTP
/// API.
class rollout_agent_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(rollout_agent_test);
  CPPUNIT_TEST(engine_without_weights_is_loaded_from_the_origin);
  CPPUNIT_TEST(nothing_is_fetched_before_discovery_settles);
  CPPUNIT_TEST(corrupt_origin_pieces_are_fetched_again);
  CPPUNIT_TEST(corrupt_staged_pieces_are_not_loaded);
  CPPUNIT_TEST(order_is_not_repeated_after_a_lost_answer);
  CPPUNIT_TEST(draining_ends_after_a_lost_order_answer);
  CPPUNIT_TEST(first_layers_are_loaded_before_the_others_arrive);
  CPPUNIT_TEST(host_joining_during_fetch_keeps_first_layers);
  CPPUNIT_TEST(restarted_engine_is_loaded_again);
  CPPUNIT_TEST(loss_of_the_engine_is_reported);
  CPPUNIT_TEST(peers_get_pieces_and_manifest);
  CPPUNIT_TEST(pieces_checked_before_a_freeze_are_read_again);
  CPPUNIT_TEST(check_ends_with_the_start_of_the_engine);
  CPPUNIT_TEST(order_goes_to_the_start_of_the_engine_that_reported);
  CPPUNIT_TEST(delayed_order_does_not_load_pieces_of_another_version);
  CPPUNIT_TEST(engine_that_took_bad_pieces_loads_them_again);
  CPPUNIT_TEST(restart_during_an_outage_ends_an_unanswered_order);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  timer m_timer{m_loop};
  http_caller m_caller{m_loop};
  std::unique_ptr<scripted_http_server> m_engine;
  std::unique_ptr<scripted_http_server> m_origin;
  std::unique_ptr<rollout_agent> m_agent;

  std::uint64_t m_engine_version = 0;
  std::uint64_t m_engine_started = 1;
  std::uint64_t m_engine_orders = 0;
  unsigned m_layers = 1;
  /// Layers that the engine holds; it reports no layers if this is empty.
  protocol::layer_range m_engine_layers;
  bool m_origin_refuses_second_half = false;
  /// Adds a host that sorts before this one once the first piece has been read from the origin.
  bool m_host_joins_during_fetch = false;
  std::map<std::uint32_t, std::string> m_staged;
  unsigned m_staged_to_corrupt = 0;
  unsigned m_origin_pieces_to_corrupt = 0;
  unsigned m_order_answers_to_lose = 0;
  bool m_engine_lost = false;
  /// Called after the engine has answered a read of a staged piece.
  std::function<void(std::uint32_t piece)> m_on_staged_read;
  /// Called before the engine answers a report poll; true makes it close the connection afterwards.
  std::function<bool()> m_on_report_poll;
  std::function<unsigned()> m_report_status;
  /// Called before the engine accepts an order.
  std::function<void()> m_on_order;
  /// An order that the engine has received and not yet read.
  std::optional<std::string> m_delayed_order;
  bool m_delays_order = false;
  /// Layers that were taken while a piece of them was bad.
  std::set<unsigned> m_spoilt_layers;
  bool m_spoilt_layers_offered = false;
  unsigned m_reports = 0;
  bool m_loading_reported = false;
  bool m_was_loading_reported = false;
  unsigned m_origin_reads = 0;
  std::size_t m_listed_hosts = 0;
  std::size_t m_final_hosts = 1;
  std::size_t m_hosts_at_first_read = 0;
  std::vector<std::map<std::uint32_t, std::string>> m_loaded;
  std::map<std::string, peers::piece_announcement> m_announcements;

  static std::string ok(const std::string& body)
  {
    return make_response(200, "application/json", body, true);
  }

  std::string answer_engine_call(const message_head& head, const std::string& body)
  {
    const auto path = path_of(head.target);
    if (path == "/v1/report")
    {
      const std::string model = m_engine_version == 0 ? ""
                                                      : R"({"name":"m","version":)" +
                                                            std::to_string(m_engine_version) + "}";
      const std::string layers =
          m_engine_layers.is_empty()
              ? ""
              : "\"layers\":{\"from\":" + std::to_string(m_engine_layers.from) +
                    ",\"to\":" + std::to_string(m_engine_layers.to) + "},";
      const std::string report =
          "{" + layers + "\"models\":[" + model +
          "],\"busy\":false,\"sequence\":" + std::to_string(m_engine_orders) +
          ",\"born\":" + std::to_string(m_engine_started) + "}";
      const bool ends = m_on_report_poll && m_on_report_poll();
      const unsigned status = m_report_status ? m_report_status() : 200;
      return make_response(status, "application/json", report, !ends);
    }
    if (path == "/v1/order")
    {
      if (m_delays_order)
      {
        m_delays_order = false;
        m_delayed_order = body;
        return {};
      }
      if (m_on_order)
      {
        m_on_order();
      }
      if (!accept_order(body))
      {
        return make_response(409, "", "", true);
      }
      if (m_order_answers_to_lose > 0)
      {
        --m_order_answers_to_lose;
        return {};
      }
      return make_response(202, "", "", true);
    }
    if (head.method == "GET" && query_parameter(head.target, "num").empty())
    {
      return list_staged();
    }
    std::uint64_t number = 0;
    CPPUNIT_ASSERT(parse_number(query_parameter(head.target, "num"), number));
    const auto piece = static_cast<std::uint32_t>(number);
    if (path.starts_with("/v1/stage-put/"))
    {
      m_staged[piece] = body;
      if (m_staged_to_corrupt > 0)
      {
        --m_staged_to_corrupt;
        m_staged[piece] = "bad";
      }
      return ok("");
    }
    CPPUNIT_ASSERT(path.starts_with("/v1/stage-get/"));
    std::string answer =
        m_staged.contains(piece) ? ok(m_staged[piece]) : make_response(404, "", "", true);
    if (m_on_staged_read)
    {
      m_on_staged_read(piece);
    }
    return answer;
  }

  std::string list_staged() const
  {
    std::string held;
    for (const auto& [piece, bytes] : m_staged)
    {
      held += (held.empty() ? "" : ",") + std::to_string(piece);
    }
    return ok("{\"held\":[" + held + "]}");
  }

  static std::optional<std::uint64_t> number_in(const std::string& order, const std::string& name)
  {
    const auto at = order.find("\"" + name + "\":");
    return at == std::string::npos ? std::nullopt
                                   : std::optional(std::stoull(order.substr(at + name.size() + 3)));
  }

  /// Takes the staged pieces as they are, if the engine has accepted as many orders as expected.
  bool accept_order(const std::string& order)
  {
    if (number_in(order, "expected") != m_engine_orders)
    {
      return false;
    }
    ++m_engine_orders;
    m_loaded.push_back(m_staged);
    const std::uint64_t version = number_in(order, "version").value();
    protocol::layer_range wanted{0, m_layers};
    if (const auto to = number_in(order, "to"))
    {
      wanted = {static_cast<unsigned>(number_in(order, "from").value()),
                static_cast<unsigned>(*to)};
    }
    for (unsigned layer = wanted.from; layer < wanted.to; ++layer)
    {
      const bool held = m_engine_version == version && m_engine_layers.contains({layer, layer + 1});
      const auto range = pieces_for_layers({layer, layer + 1}, {m_layers, piece_count});
      for (std::uint32_t piece = range.first; !held && piece < range.end; ++piece)
      {
        m_spoilt_layers.erase(layer);
        if (m_staged[piece] != piece_bytes(version, piece))
        {
          m_spoilt_layers.insert(layer);
          break;
        }
      }
    }
    std::erase_if(m_spoilt_layers,
                  [&](unsigned layer) {
                    return !wanted.contains({layer, layer + 1});
                  });
    m_engine_version = version;
    m_engine_layers = m_layers > 1 ? wanted : protocol::layer_range{};
    return true;
  }

  std::string answer_origin_call(const message_head& head, const std::string& /*body*/)
  {
    std::uint64_t version = 0;
    CPPUNIT_ASSERT(parse_number(query_parameter(head.target, "version"), version));
    if (path_of(head.target).starts_with("/v1/manifest/"))
    {
      std::string digests;
      for (std::uint32_t piece = 0; piece < piece_count; ++piece)
      {
        digests += (piece == 0 ? "\"" : ",\"") +
                   to_hex(sha256(std::string_view(piece_bytes(version, piece)))) + "\"";
      }
      return ok(R"({"model":"m","version":)" + std::to_string(version) +
                R"(,"chunk_bytes":100,"digests":[)" + digests + "]}");
    }
    m_hosts_at_first_read = m_origin_reads == 0 ? m_listed_hosts : m_hosts_at_first_read;
    ++m_origin_reads;
    std::uint64_t number = 0;
    CPPUNIT_ASSERT(parse_number(query_parameter(head.target, "num"), number));
    if (m_origin_refuses_second_half && number >= piece_count / 2)
    {
      return make_response(503, "", "", true);
    }
    if (m_origin_pieces_to_corrupt > 0)
    {
      --m_origin_pieces_to_corrupt;
      return ok("spoilt");
    }
    return ok(piece_bytes(version, static_cast<std::uint32_t>(number)));
  }

  void run_until(const std::function<bool()>& condition)
  {
    const auto give_up = std::chrono::steady_clock::now() + seconds(60);
    std::function<void()> check = [&]
    {
      if (condition() || std::chrono::steady_clock::now() > give_up)
      {
        m_loop.stop();
        return;
      }
      m_timer.start(milliseconds(5), check);
    };
    m_timer.start(milliseconds(0), check);
    m_loop.run();
    CPPUNIT_ASSERT(condition());
  }

  std::vector<rollout_host> list_hosts()
  {
    m_listed_hosts = std::min(m_listed_hosts + 1, m_final_hosts);
    std::vector<rollout_host> hosts = {{"127.0.0.1", "east"}};
    if (m_host_joins_during_fetch && m_origin_reads > 0)
    {
      hosts.insert(hosts.begin(), {"127.0.0.0", "east"});
    }
    for (std::size_t i = 1; i < m_listed_hosts; ++i)
    {
      hosts.push_back({"127.0.0.1" + std::to_string(i), "region " + std::to_string(i)});
    }
    return hosts;
  }

  bool serves_version_2() const
  {
    return m_engine_version == 2;
  }

  /// Checks that each load had exactly the pieces of version 2 staged.
  void check_loads() const
  {
    for (const auto& loaded : m_loaded)
    {
      CPPUNIT_ASSERT_EQUAL(std::size_t{piece_count}, loaded.size());
      for (const auto& [piece, bytes] : loaded)
      {
        CPPUNIT_ASSERT_EQUAL(piece_bytes(2, piece), bytes);
      }
    }
  }

public:
  void setUp() override
  {
    m_engine = std::make_unique<scripted_http_server>(
        m_loop, [this](const message_head& head, const std::string& body)
        { return answer_engine_call(head, body); });
    m_origin = std::make_unique<scripted_http_server>(
        m_loop, [this](const message_head& head, const std::string& body)
        { return answer_origin_call(head, body); });
    m_agent = std::make_unique<rollout_agent>(
        fetch_environment{
            .loop = m_loop,
            .caller = m_caller,
            .self = "127.0.0.1",
            .peer_port = 1,
            .region = "east",
            .hosts = [this] { return list_hosts(); },
            .origin = [this] { return m_origin->address(); },
            .announce =
                [this](const std::string& ip, const peers::piece_announcement& received)
            {
              m_announcements[ip] = received;
            }},
        m_engine->address(),
        rollout_handlers{[this](const protocol::engine_report&, const engine_state& state)
                         {
                           ++m_reports;
                           m_was_loading_reported = m_was_loading_reported || state.loading;
                           m_loading_reported = state.loading;
                           m_spoilt_layers_offered = m_spoilt_layers_offered ||
                                                     (!state.loading && !m_spoilt_layers.empty());
                         },
                         [this]
                         {
                           m_engine_lost = true;
                         }});
    m_agent->set_model("m", {m_layers, piece_count});
    m_agent->add_version({"m", 2});
  }

  void engine_without_weights_is_loaded_from_the_origin()
  {
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    CPPUNIT_ASSERT_EQUAL(piece_count, m_origin_reads);
    check_loads();
  }

  /// Guards against one origin copy per host when all hosts start together.
  void nothing_is_fetched_before_discovery_settles()
  {
    // Each query of the host list returns one more host, up to eight.
    m_final_hosts = 8;
    m_agent->start();
    run_until([this] { return m_origin_reads > 0; });
    CPPUNIT_ASSERT_EQUAL(m_final_hosts, m_hosts_at_first_read);
  }

  void corrupt_origin_pieces_are_fetched_again()
  {
    m_origin_pieces_to_corrupt = 2;
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    CPPUNIT_ASSERT_EQUAL(piece_count + 2, m_origin_reads);
    check_loads();
  }

  /// Guards against tokens generated with pieces that were corrupted after staging.
  void corrupt_staged_pieces_are_not_loaded()
  {
    m_staged_to_corrupt = 1;
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    check_loads();
  }

  /// An engine whose start the agent has seen: no piece of an earlier run of the agent can reach it
  /// late.
  void start_agent_before_engine()
  {
    m_agent->start();
    run_until([this] { return m_reports > 0; });
    CPPUNIT_ASSERT(m_staged.empty());
    m_engine_started = 2;
  }

  void order_is_not_repeated_after_a_lost_answer()
  {
    m_order_answers_to_lose = 1;
    start_agent_before_engine();
    run_until([this] { return serves_version_2(); });
    const auto end = std::chrono::steady_clock::now() + milliseconds(1500);
    run_until([end] { return std::chrono::steady_clock::now() > end; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_engine_orders);
  }

  /// Guards against an engine that receives no requests although it serves the new version, because
  /// the answer to its load order was lost.
  void draining_ends_after_a_lost_order_answer()
  {
    m_engine_version = 1;
    m_order_answers_to_lose = 1;
    start_agent_before_engine();
    run_until([this] { return serves_version_2(); });
    CPPUNIT_ASSERT(m_was_loading_reported);
    run_until([this] { return !m_loading_reported; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_engine_orders);
  }

  /// Guards against an engine that serves nothing until the last piece arrives, and against one
  /// that never loads the rest of its layers.
  void first_layers_are_loaded_before_the_others_arrive()
  {
    m_layers = 2;
    m_agent->set_model("m", {m_layers, piece_count});
    m_origin_refuses_second_half = true;
    m_agent->start();
    run_until([this] { return m_engine_orders == 1; });
    CPPUNIT_ASSERT((m_engine_layers == protocol::layer_range{0, 1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{piece_count / 2}, m_loaded.front().size());
    m_origin_refuses_second_half = false;
    run_until([this] { return m_engine_layers.to == m_layers; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_engine_orders);
    CPPUNIT_ASSERT_EQUAL(std::size_t{piece_count}, m_loaded.back().size());
    m_loaded.erase(m_loaded.begin());
    check_loads();
    // The engine keeps serving with its first layers while it loads the others.
    m_loading_reported = true;
    run_until([this] { return !m_loading_reported; });
  }

  /// Guards against an agent that fetches one half of the layers and then tries to load the other
  /// one, because a host that joined meanwhile changed its position.
  void host_joining_during_fetch_keeps_first_layers()
  {
    m_layers = 2;
    m_agent->set_model("m", {m_layers, piece_count});
    m_origin_refuses_second_half = true;
    m_host_joins_during_fetch = true;
    m_agent->start();
    run_until([this] { return m_engine_orders == 1; });
    CPPUNIT_ASSERT((m_engine_layers == protocol::layer_range{0, 1}));
  }

  void restarted_engine_is_loaded_again()
  {
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    m_engine_started = 2;
    m_engine_orders = 0;
    m_engine_version = 0;
    m_staged.clear();
    run_until([this] { return serves_version_2(); });
    CPPUNIT_ASSERT_EQUAL(piece_count, m_origin_reads);
    check_loads();
  }

  /// Guards against hosts that wait for pieces from an agent whose engine is gone.
  void loss_of_the_engine_is_reported()
  {
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    m_engine.reset();
    run_until([this] { return m_engine_lost; });
  }

  /// Guards against a load of pieces that were read back before the host stood still and have
  /// turned bad since.
  void pieces_checked_before_a_freeze_are_read_again()
  {
    bool froze = false;
    m_on_staged_read = [&froze, this](std::uint32_t piece)
    {
      if (piece == 2 && !froze)
      {
        froze = true;
        m_staged[0] = "bad";
        std::this_thread::sleep_for(seconds(4));
      }
    };
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    check_loads();
  }

  /// Guards against an order to an engine that lost its staged pieces in a restart after the last
  /// of them had been read.
  void check_ends_with_the_start_of_the_engine()
  {
    m_on_staged_read = [this](std::uint32_t piece)
    {
      if (piece == piece_count - 1 && m_engine_started == 1)
      {
        m_engine_started = 2;
        m_staged.clear();
      }
    };
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    check_loads();
  }

  /// Guards against an order to an engine that restarts between its report and the order.
  void order_goes_to_the_start_of_the_engine_that_reported()
  {
    bool all_read = false;
    m_on_staged_read = [&all_read](std::uint32_t piece)
    {
      all_read = piece == piece_count - 1;
    };
    m_on_report_poll = [&all_read, this]
    {
      const bool restarts = all_read && m_engine_started == 1;
      if (restarts)
      {
        m_engine_started = 2;
        m_staged.clear();
      }
      return restarts;
    };
    m_agent->start();
    run_until([this] { return serves_version_2(); });
    check_loads();
  }

  /// Guards against an order that reaches the engine late, while pieces of the next version are
  /// being staged.
  void delayed_order_does_not_load_pieces_of_another_version()
  {
    m_layers = 2;
    m_agent->set_model("m", {m_layers, piece_count});
    m_delays_order = true;
    m_agent->start();
    run_until([this] { return m_delayed_order.has_value(); });
    m_agent->add_version({"m", 3});
    unsigned reads_since = 0;
    m_on_staged_read = [&reads_since, this](std::uint32_t)
    {
      // Pieces of the next load are staged by now.
      if (++reads_since == 1)
      {
        accept_order(*m_delayed_order);
        CPPUNIT_ASSERT(m_spoilt_layers.empty());
      }
    };
    run_until([this] { return m_engine_version == 3 && m_engine_layers.to == m_layers; });
    CPPUNIT_ASSERT(reads_since > 0);
    CPPUNIT_ASSERT(m_spoilt_layers.empty());
  }

  /// Guards against an order of an earlier start of the engine that is repeated for the next one:
  /// it cannot arrive there.
  void restart_during_an_outage_ends_an_unanswered_order()
  {
    bool is_down = false;
    m_delays_order = true;
    m_on_report_poll = [&is_down]
    {
      return is_down;
    };
    m_report_status = [&is_down]
    {
      return is_down ? 503U : 200U;
    };
    m_agent->start();
    run_until([this] { return m_delayed_order.has_value(); });
    is_down = true;
    m_agent->add_version({"m", 3});
    run_until([this] { return m_engine_lost; });
    m_engine_started = 2;
    m_staged.clear();
    is_down = false;
    run_until([this] { return m_engine_version == 3; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_loaded.size());
  }

  /// Guards against requests to an engine that stood still with an order in its queue and took
  /// pieces that had turned bad meanwhile.
  void engine_that_took_bad_pieces_loads_them_again()
  {
    m_layers = 2;
    m_agent->set_model("m", {m_layers, piece_count});
    bool froze = false;
    m_on_order = [&froze, this]
    {
      if (!froze)
      {
        froze = true;
        m_staged[0] = "bad";
        std::this_thread::sleep_for(seconds(4));
      }
    };
    m_agent->start();
    run_until([this] { return !m_spoilt_layers.empty(); });
    run_until(
        [this]
        { return m_spoilt_layers.empty() && m_engine_layers.to - m_engine_layers.from == 2; });
    run_until([this] { return !m_loading_reported; });
    CPPUNIT_ASSERT(!m_spoilt_layers_offered);
  }

  void peers_get_pieces_and_manifest()
  {
    http_listener peer_calls(
        m_loop,
        [this](const message_head& head, const http_listener::responder& respond)
        {
          if (path_of(head.target) == "/manifest")
          {
            m_agent->serve_manifest(head, respond);
            return;
          }
          m_agent->serve_piece(head, respond);
        });
    CPPUNIT_ASSERT(peer_calls.listen({"127.0.0.1", 0}));
    const transport::endpoint address{"127.0.0.1", peer_calls.port()};
    m_origin_pieces_to_corrupt = 1'000'000;
    m_agent->start();
    run_until([&] { return m_origin_reads > 0; });
    const peers::piece_announcement request{
        .model = "m",
        .version = 2,
        .states = std::vector(piece_count, peers::piece_state::absent),
        .wants_answer = true};
    const auto ask = [&](const http_call& call)
    {
      std::optional<http_response> answer;
      m_caller.call(call, [&](const result<http_response>& got) { answer = got.value(); });
      run_until([&] { return answer.has_value(); });
      return *answer;
    };
    // The agent holds no pieces yet, so it does not reply and the peer does not wait for it.
    m_agent->handle_announcement("127.0.0.9", request);
    CPPUNIT_ASSERT(!m_announcements.contains("127.0.0.9"));
    CPPUNIT_ASSERT_EQUAL(404U, ask(peer_piece_call(address, "m", 2, 3)).head.status);
    m_origin_pieces_to_corrupt = 0;
    run_until([this] { return serves_version_2(); });
    m_agent->handle_announcement("127.0.0.9", request);
    CPPUNIT_ASSERT(m_announcements.at("127.0.0.9").states ==
                   std::vector(piece_count, peers::piece_state::held));
    CPPUNIT_ASSERT_EQUAL(piece_bytes(2, 3), ask(peer_piece_call(address, "m", 2, 3)).body);
    CPPUNIT_ASSERT_EQUAL(200U, ask(peer_manifest_call(address, "m", 2)).head.status);
    // An unknown version is answered with 404.
    CPPUNIT_ASSERT_EQUAL(404U, ask(peer_piece_call(address, "m", 7, 3)).head.status);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(rollout_agent_test, "Rollout.Agent");

} // namespace
