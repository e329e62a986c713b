#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

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
constexpr unsigned layer_count = 2;

std::string piece_bytes(std::uint64_t version, std::uint32_t piece)
{
  return "version " + std::to_string(version) + " piece " + std::to_string(piece);
}

std::string ok(const std::string& body)
{
  return make_response(200, "application/json", body, true);
}

/// An agent whose engine may hold layers without a proof.
class unproven_layers_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(unproven_layers_test);
  CPPUNIT_TEST(proof_during_a_reload_that_fails_ends_the_reload);
  CPPUNIT_TEST(order_that_is_not_executed_proves_nothing_of_older_layers);
  CPPUNIT_TEST(waiting_request_does_not_begin_on_bad_layers);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  timer m_timer{m_loop};
  http_caller m_caller{m_loop};
  std::unique_ptr<scripted_http_server> m_engine;
  std::unique_ptr<scripted_http_server> m_origin;
  std::unique_ptr<rollout_agent> m_agent;

  std::uint64_t m_version = 0;
  std::uint64_t m_orders = 0;
  protocol::layer_range m_layers{0, layer_count};
  unsigned m_waiting = 0;
  bool m_executes_orders = true;
  bool m_waiting_began_on_bad_layers = false;
  std::map<std::uint32_t, std::string> m_staged;
  std::function<void(std::uint32_t piece)> m_on_staged;
  std::function<void()> m_on_order;

  bool m_loading = false;
  bool m_offered_old_layers = false;

  static std::uint64_t number_in(const std::string& order, const std::string& name,
                                 std::uint64_t fallback)
  {
    const auto at = order.find("\"" + name + "\":");
    return at == std::string::npos ? fallback : std::stoull(order.substr(at + name.size() + 3));
  }

  std::string answer_engine(const message_head& head, const std::string& body)
  {
    const auto path = path_of(head.target);
    if (path == "/v1/report")
    {
      return ok(R"({"models":[{"name":"m","version":)" + std::to_string(m_version) +
                R"(}],"layers":{"from":)" + std::to_string(m_layers.from) +
                ",\"to\":" + std::to_string(m_layers.to) + R"(},"busy":false,"waiting":)" +
                std::to_string(m_waiting) + ",\"sequence\":" + std::to_string(m_orders) +
                R"(,"born":1})");
    }
    if (path == "/v1/order")
    {
      return make_response(answer_order(body), "", "", true);
    }
    std::uint64_t number = 0;
    if (!parse_number(query_parameter(head.target, "num"), number))
    {
      // The list of the staged pieces: the agent fetches all of them from the origin.
      return ok(R"({"held":[]})");
    }
    const auto piece = static_cast<std::uint32_t>(number);
    if (path.starts_with("/v1/stage-put/"))
    {
      m_staged[piece] = body;
      if (m_on_staged)
      {
        m_on_staged(piece);
      }
      return ok("");
    }
    return m_staged.contains(piece) ? ok(m_staged[piece]) : make_response(404, "", "", true);
  }

  unsigned answer_order(const std::string& order)
  {
    if (number_in(order, "expected", m_orders) != m_orders)
    {
      return 409;
    }
    if (m_on_order)
    {
      m_on_order();
    }
    ++m_orders;
    if (!m_executes_orders)
    {
      return 202;
    }
    m_version = number_in(order, "version", 0);
    m_layers = {static_cast<unsigned>(number_in(order, "from", 0)),
                static_cast<unsigned>(number_in(order, "to", layer_count))};
    for (const auto& [piece, bytes] : m_staged)
    {
      // A request that was admitted to the queue begins behind the load.
      m_waiting_began_on_bad_layers = m_waiting_began_on_bad_layers ||
                                      (m_waiting > 0 && bytes != piece_bytes(m_version, piece));
    }
    m_waiting = 0;
    return 202;
  }

  static std::string answer_origin(const message_head& head)
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
    std::uint64_t number = 0;
    CPPUNIT_ASSERT(parse_number(query_parameter(head.target, "num"), number));
    return ok(piece_bytes(version, static_cast<std::uint32_t>(number)));
  }

  bool run_until(const std::function<bool()>& condition, seconds at_most)
  {
    const auto give_up = std::chrono::steady_clock::now() + at_most;
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
    return condition();
  }

public:
  void setUp() override
  {
    m_engine = std::make_unique<scripted_http_server>(
        m_loop, [this](const message_head& head, const std::string& body)
        { return answer_engine(head, body); });
    m_origin = std::make_unique<scripted_http_server>(
        m_loop,
        [](const message_head& head, const std::string& /*body*/) { return answer_origin(head); });
    m_agent = std::make_unique<rollout_agent>(
        fetch_environment{.loop = m_loop,
                          .caller = m_caller,
                          .self = "127.0.0.1",
                          .peer_port = 1,
                          .region = "east",
                          .hosts =
                              [] {
                                return std::vector<rollout_host>{{"127.0.0.1", "east"}};
                              },
                          .origin = [this] { return m_origin->address(); },
                          .announce =
                              [](const std::string&, const peers::piece_announcement&) {
                              }},
        m_engine->address(),
        rollout_handlers{
            .on_report =
                [this](const protocol::engine_report& report, const engine_state& state)
            {
              m_loading = state.loading;
              m_offered_old_layers = m_offered_old_layers ||
                                     (state.proven && !state.loading && report.weight_version == 1);
            },
            .on_engine_lost =
                [] {
                }});
    m_agent->set_model("m", {layer_count, piece_count});
    m_agent->add_version({"m", 2});
  }

  /// Guards against an engine that stays out of service because the proof of its layers arrived
  /// while they were being staged again.
  void proof_during_a_reload_that_fails_ends_the_reload()
  {
    m_version = 2;
    m_orders = 5;
    bool proven = false;
    unsigned loads = 0;
    m_on_staged = [&proven, &loads, this](std::uint32_t piece)
    {
      if (!proven)
      {
        proven = true;
        m_agent->add_proof({1, 5});
      }
      if (piece == 0)
      {
        ++loads;
        m_staged[piece] = "bad";
      }
    };
    m_agent->start();
    CPPUNIT_ASSERT(run_until([&loads] { return loads > 0; }, seconds(30)));
    m_loading = true;
    CPPUNIT_ASSERT(run_until([this] { return !m_loading; }, seconds(8)));
    CPPUNIT_ASSERT_EQUAL(1U, loads);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_orders);
  }

  /// Guards against unproven layers that are taken for proven because of an order for a newer
  /// version, which the engine has accepted and does not execute.
  void order_that_is_not_executed_proves_nothing_of_older_layers()
  {
    m_version = 1;
    m_orders = 5;
    m_executes_orders = false;
    m_agent->start();
    CPPUNIT_ASSERT(run_until([this] { return m_orders == 6; }, seconds(30)));
    run_until([] { return false; }, seconds(4));
    CPPUNIT_ASSERT(!m_offered_old_layers);
  }

  /// Guards against a request that waits at an engine while it takes bad pieces of the next
  /// version, and begins on them before the agent has looked at the pieces again.
  void waiting_request_does_not_begin_on_bad_layers()
  {
    m_version = 1;
    m_waiting = 1;
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
    // The entry takes its request back.
    timer taken_back(m_loop);
    taken_back.start(seconds(3), [this] { m_waiting = 0; });
    run_until([this] { return m_orders > 0; }, seconds(15));
    CPPUNIT_ASSERT(!m_waiting_began_on_bad_layers);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(unproven_layers_test, "Rollout.UnprovenLayers");

} // namespace
