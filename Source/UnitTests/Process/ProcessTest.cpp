#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Process/Process.h"
#include "Protocol/Codec.h"
#include "Transport/HttpClient.h"

namespace
{

using namespace pollenyoke;

constexpr std::chrono::seconds patience{30};
const transport::endpoint any_port{"127.0.0.1", 0};
// Nothing listens on the discard port: the platform is down for the whole test.
const transport::endpoint closed_port{"127.0.0.1", 9};

template <typename Predicate>
bool eventually(const Predicate& predicate)
{
  const auto deadline = std::chrono::steady_clock::now() + patience;
  while (!predicate() && std::chrono::steady_clock::now() < deadline)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return predicate();
}

protocol::settings make_settings(const transport::endpoint& host_list = closed_port)
{
  protocol::settings out;
  out.host = {"h1"};
  out.region = "western";
  out.failure_domain = "western-1";
  out.listen.tcp = out.listen.udp = out.listen.http = out.listen.admin = any_port;
  out.platform.log = out.platform.origin = closed_port;
  out.platform.host_list = host_list;
  out.control.host_list_interval = std::chrono::milliseconds(20);
  return out;
}

/// Records the steps that the base calls, and accepts only messages of type `cancel`.
class test_role final : public process::process_base
{
public:
  explicit test_role(bool fail_to_start = false, const transport::endpoint& host_list = closed_port)
      : process_base(make_settings(host_list)), m_fail_to_start(fail_to_start)
  {
  }
  ~test_role() override
  {
    stop();
  }
  test_role(const test_role&) = delete;
  test_role& operator=(const test_role&) = delete;
  test_role(test_role&&) = delete;
  test_role& operator=(test_role&&) = delete;

  void planned_stop() override
  {
    begin_planned_stop();
  }
  transport::endpoint http_endpoint() const override
  {
    return any_port;
  }
  std::string steps() const
  {
    const std::lock_guard lock(m_mutex);
    return m_steps;
  }
  bool is_known(const host_id& host)
  {
    const auto hello = links().hello_of(m_last_from);
    return hello && hello->host == host;
  }

  std::atomic<int> m_cancels{0};
  std::atomic<int> m_closed{0};
  std::atomic<transport::connection_id> m_last_from{0};

private:
  result<void> make_components() override
  {
    add(is_ready() ? "make-ready " : "make ");
    if (m_fail_to_start)
    {
      return fail(error_code::unavailable, "no components");
    }
    return {};
  }
  result<void> start_components() override
  {
    add(is_ready() ? "start " : "start-early ");
    return {};
  }
  void stop_serving() override
  {
    add(is_ready() ? "stop-serving " : "stop-serving-late ");
  }
  void stop_components() override
  {
    add(is_ready() ? "stop-ready " : "stop ");
  }
  bool handle_frame(transport::connection_id from, const transport::frame& message) override
  {
    m_last_from = from;
    const bool known = protocol::type_of(message) == protocol::message_type::cancel;
    m_cancels += known ? 1 : 0;
    return known;
  }
  void handle_closed(transport::connection_id /*connection*/) override
  {
    ++m_closed;
  }
  void handle_leaving(bool leaving) override
  {
    add(leaving ? "leave " : "stay ");
  }
  void describe_role(protocol::heartbeat& /*own*/) const override {}
  void dump_role(nlohmann::json& to) const override
  {
    to["steps"] = steps();
  }

  void add(std::string_view step)
  {
    const std::lock_guard lock(m_mutex);
    m_steps += step;
  }

  const bool m_fail_to_start;
  mutable std::mutex m_mutex;
  std::string m_steps;
};

/// A second process that only sends frames.
std::unique_ptr<transport::message_node> start_peer()
{
  return transport::message_node::start({.tcp = any_port, .udp = any_port},
                                        {[](transport::connection_id, const transport::frame&) {},
                                         [](transport::connection_id) {},
                                         [](const transport::endpoint&, const transport::frame&) {},
                                         {}})
      .value();
}

class process_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(process_test);
  CPPUNIT_TEST(steps_run_in_order_and_once);
  CPPUNIT_TEST(failed_start_can_be_destroyed);
  CPPUNIT_TEST(frames_reach_the_role_and_links);
  CPPUNIT_TEST(malformed_hello_closes_the_connection);
  CPPUNIT_TEST(admin_server_answers);
  CPPUNIT_TEST(revoked_stop_ends_the_leaving);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against handlers that run before the components exist or while they end, and against a
  // second stop that runs on ended components.
  void steps_run_in_order_and_once()
  {
    test_role role;
    CPPUNIT_ASSERT(role.start().has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("make start "), role.steps());
    role.stop();
    role.stop();
    CPPUNIT_ASSERT_EQUAL(std::string("make start stop-serving stop "), role.steps());
  }

  // Guards against a stop that uses components which were never made.
  void failed_start_can_be_destroyed()
  {
    test_role role(true);
    CPPUNIT_ASSERT(role.start().error().code == error_code::unavailable);
    role.stop();
  }

  // Guards against messages that the base keeps to itself, and against a lost hello, without which
  // messages from that peer are attributed to nobody.
  void frames_reach_the_role_and_links()
  {
    test_role role;
    CPPUNIT_ASSERT(role.start().has_value());
    const auto peer = start_peer();
    const auto connection = peer->connect(role.tcp_endpoint());
    peer->send(connection, protocol::encode(protocol::hello{.host = {"h2"}}));
    peer->send(connection, protocol::encode(protocol::cancel{}));
    CPPUNIT_ASSERT(eventually([&] { return role.m_cancels == 1; }));
    CPPUNIT_ASSERT(role.is_known({"h2"}));
    peer->send(connection, protocol::encode(protocol::answer_ack{}));
    CPPUNIT_ASSERT(eventually(
        [&]
        { return role.dump()["metrics"].dump().find("unexpected_frames") != std::string::npos; }));
    peer->close(connection);
    CPPUNIT_ASSERT(eventually([&] { return role.m_closed == 1; }));
    CPPUNIT_ASSERT(!role.is_known({"h2"}));
  }

  // Guards against a peer that stays connected although it cannot be identified.
  void malformed_hello_closes_the_connection()
  {
    test_role role;
    CPPUNIT_ASSERT(role.start().has_value());
    const auto peer = start_peer();
    const auto connection = peer->connect(role.tcp_endpoint());
    peer->send(connection, {static_cast<std::uint8_t>(protocol::message_type::hello), {}});
    CPPUNIT_ASSERT(eventually([&] { return role.m_closed == 1; }));
  }

  // Guards against a dump without the role's part, and against a leaving process that reports
  // itself as serving.
  void admin_server_answers()
  {
    test_role role;
    CPPUNIT_ASSERT(role.start().has_value());
    transport::http_client client(role.admin_endpoint());
    const auto dump = nlohmann::json::parse(client.send({.path = "/dump"})->body);
    CPPUNIT_ASSERT_EQUAL(std::string("make start "), dump["steps"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), dump["host"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(200, client.send({.path = "/metrics"})->status);
    CPPUNIT_ASSERT_EQUAL(404, client.send({.path = "/other"})->status);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"serving"})"),
                         client.send({.path = "/health"})->body);
    role.planned_stop();
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"leaving"})"),
                         client.send({.path = "/health"})->body);
  }

  // Guards against a host that stays out of service after its planned stop was cancelled or the
  // host list reports it as live again, and against one that comes back during its own stop.
  void revoked_stop_ends_the_leaving()
  {
    std::atomic<int> version{1};
    const auto host_list = transport::http_server::start(
        {.listen = any_port},
        [&](const transport::http_request& /*request*/)
        {
          const int now = version;
          const nlohmann::json self = {{"host", "h1"},
                                       {"role", "agent"},
                                       {"region", "western"},
                                       {"failure_domain", "western-1"},
                                       {"service", "booking"},
                                       {"address", "127.0.0.1"},
                                       {"tcp", 1},
                                       {"udp", 2},
                                       {"http", 3},
                                       {"admin", 4},
                                       {"state", now % 2 == 0 ? "leaving" : "live"}};
          return transport::http_response{
              .body = nlohmann::json{{"version", now}, {"hosts", {self}}}.dump()};
        });
    test_role role(false, (*host_list)->local_endpoint());
    CPPUNIT_ASSERT(role.start().has_value());
    version = 2;
    CPPUNIT_ASSERT(eventually([&] { return role.steps() == "make start leave "; }));
    version = 3;
    CPPUNIT_ASSERT(eventually([&] { return role.steps() == "make start leave stay "; }));
    CPPUNIT_ASSERT(!role.dump()["leaving"].get<bool>());
    role.planned_stop();
    version = 4;
    CPPUNIT_ASSERT(eventually(
        [&] {
          return role.dump()["membership"].dump().find("\"host_list_version\":4") !=
                 std::string::npos;
        }));
    version = 5;
    CPPUNIT_ASSERT(eventually(
        [&] {
          return role.dump()["membership"].dump().find("\"host_list_version\":5") !=
                 std::string::npos;
        }));
    CPPUNIT_ASSERT(role.dump()["leaving"].get<bool>());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(process_test, "Process");

} // namespace
