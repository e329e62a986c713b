#include <condition_variable>
#include <thread>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Agent/WeightManager.h"
#include "FleetSimulator.h"
#include "Protocol/Codec.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

// Fakes of the follower and the membership: every agent of a test shares one log and one view.
namespace pollenyoke
{

namespace
{

struct shared_fleet
{
  std::mutex mutex;
  fleet::fleet_state state;
  membership::member_view view;
  std::vector<std::function<void()>> changed;

  log_follower::fleet_state_ptr state_ptr()
  {
    const std::lock_guard lock(mutex);
    return std::make_shared<const fleet::fleet_state>(state);
  }
  void notify()
  {
    std::vector<std::function<void()>> callbacks;
    {
      const std::lock_guard lock(mutex);
      callbacks = changed;
    }
    for (const auto& callback : callbacks)
    {
      callback();
    }
  }
};

std::unique_ptr<shared_fleet> fleet_of_test;

} // namespace

namespace membership
{

const peer* member_view::find(const host_id& host) const
{
  const auto found = std::find_if(peers.begin(), peers.end(),
                                  [&](const peer& p) { return p.listed.host == host; });
  return found == peers.end() ? nullptr : &*found;
}

class membership::implementation
{
};
// The signatures below are those of the headers.
// NOLINTBEGIN(performance-unnecessary-value-param)
membership::membership(dependencies /*with*/) {}
membership::~membership() = default;
member_view_ptr membership::view() const
{
  const std::lock_guard lock(fleet_of_test->mutex);
  return std::make_shared<const member_view>(fleet_of_test->view);
}
void membership::on_change(std::function<void(member_view_ptr)> /*callback*/) {}

} // namespace membership

namespace log_follower
{

class log_client::implementation
{
};
log_client::log_client(const transport::endpoint& /*server*/) {}
log_client::~log_client() = default;

class fleet_follower::implementation
{
};
fleet_follower::fleet_follower(dependencies /*with*/) {}
fleet_follower::~fleet_follower() = default;
fleet_state_ptr fleet_follower::state() const
{
  return fleet_of_test->state_ptr();
}
void fleet_follower::on_change(std::function<void(fleet_state_ptr)> callback)
{
  const std::lock_guard lock(fleet_of_test->mutex);
  fleet_of_test->changed.push_back([callback] { callback(nullptr); });
}
result<log_offset> fleet_follower::append(protocol::record_body body,
                                          std::chrono::milliseconds /*patience*/)
{
  log_offset offset;
  {
    const std::lock_guard lock(fleet_of_test->mutex);
    agent::testing::fold_record(fleet_of_test->state, body);
    offset = fleet_of_test->state.offset;
  }
  fleet_of_test->notify();
  return offset;
}

// NOLINTEND(performance-unnecessary-value-param)

} // namespace log_follower
} // namespace pollenyoke

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using namespace pollenyoke::agent::testing;

constexpr std::chrono::seconds patience{60};
const transport::endpoint any_port{"127.0.0.1", 0};

bool wait_until(const std::function<bool()>& condition)
{
  const auto end = steady_clock::now() + patience;
  while (steady_clock::now() < end)
  {
    if (condition())
    {
      return true;
    }
    std::this_thread::sleep_for(5ms);
  }
  return false;
}

/// Serves manifests and chunks and counts chunk bytes.
struct fake_origin
{
  weights_file file;
  std::atomic<std::uint64_t> bytes{0};
  std::unique_ptr<transport::http_server> server;

  void start()
  {
    auto started = transport::http_server::start(
        {.listen = any_port},
        [this](const transport::http_request& request)
        {
          transport::http_response response;
          const std::string key = request.path.substr(request.path.rfind('/') + 1);
          if (request.path.starts_with("/manifests/") && key == to_hex(file.manifest.id))
          {
            response.body = file.text;
            return response;
          }
          const auto found = file.chunks.find(key);
          if (found == file.chunks.end())
          {
            return transport::error_response(404, "unknown");
          }
          bytes += found->second.size();
          response.body = found->second;
          return response;
        });
    CPPUNIT_ASSERT(started.has_value());
    server = std::move(*started);
  }
};

/// A model engine that loads what it is told from the given source.
struct fake_engine
{
  std::mutex mutex;
  int boot = 1;
  nlohmann::json models = nlohmann::json::array();
  int loads = 0;
  std::string loaded_content;
  std::unique_ptr<transport::http_server> server;

  void restart()
  {
    const std::lock_guard lock(mutex);
    ++boot;
    models = nlohmann::json::array();
  }

  transport::http_response handle(const transport::http_request& request)
  {
    transport::http_response response;
    if (request.path == "/status")
    {
      const std::lock_guard lock(mutex);
      response.body =
          nlohmann::json{{"boot", "b" + std::to_string(boot)}, {"running", 0}, {"models", models}}
              .dump();
      return response;
    }
    auto order = nlohmann::json::parse(request.body);
    response.status = 202;
    if (order["order"] == "unload")
    {
      const std::lock_guard lock(mutex);
      models = nlohmann::json::array();
      return response;
    }
    const std::string source = order["source"];
    const auto slash = source.find('/', 7);
    transport::http_client client(*transport::parse_endpoint(source.substr(7, slash - 7)));
    transport::http_request get;
    get.path = source.substr(slash);
    const auto answer = client.send(get);
    const std::lock_guard lock(mutex);
    ++loads;
    loaded_content = answer ? to_hex(sha256(answer->body)) : "";
    order["state"] = loaded_content == order["content"] ? "loaded" : "failed";
    models = nlohmann::json::array({order});
    return response;
  }

  void start()
  {
    auto started = transport::http_server::start({.listen = any_port}, [this](const auto& request)
                                                 { return handle(request); });
    CPPUNIT_ASSERT(started.has_value());
    server = std::move(*started);
  }
};

struct test_agent
{
  protocol::settings settings;
  incarnation_id incarnation;
  fake_engine engine;
  metrics_registry metrics;
  std::unique_ptr<transport::message_node> node;
  std::unique_ptr<membership::peer_links> links;
  std::unique_ptr<membership::membership> members;
  std::unique_ptr<log_follower::log_client> log;
  std::unique_ptr<log_follower::fleet_follower> follower;
  std::unique_ptr<transport::http_server> http;
  std::unique_ptr<weight_manager> weights;
  std::atomic<int> changes{0};
  // Set once all members above exist; frames that come earlier are dropped.
  std::atomic<bool> ready{false};

  void start(unsigned number, const std::string& region, const transport::endpoint& origin)
  {
    engine.start();
    settings.host = host_id{"host-" + std::to_string(number)};
    settings.role = protocol::process_role::agent;
    settings.region = region;
    settings.failure_domain = region;
    settings.service = "assistant";
    settings.platform.origin = origin;
    settings.backend = protocol::backend_settings{engine.server->local_endpoint()};
    settings.distribution.store_region = "west";
    settings.distribution.uplink_bytes_per_s = 50e6;
    settings.distribution.downlink_bytes_per_s = 50e6;
    settings.distribution.region_bytes_per_s = 50e6;
    incarnation = incarnation_id{number};
    auto started = transport::message_node::start(
        {.tcp = any_port, .udp = any_port},
        {[this](transport::connection_id from, const transport::frame& message)
         { on_frame(from, message); },
         [this](transport::connection_id connection)
         {
           if (ready)
           {
             links->handle_closed(connection);
             weights->handle_closed(connection);
           }
         },
         [](const transport::endpoint&, const transport::frame&) {
         }});
    CPPUNIT_ASSERT(started.has_value());
    node = std::move(*started);
    links = std::make_unique<membership::peer_links>(
        *node, protocol::hello{settings.host, incarnation, settings.role, region, region});
    members = std::make_unique<membership::membership>(
        membership::membership::dependencies{settings, incarnation, *node, metrics, {}});
    log = std::make_unique<log_follower::log_client>(origin);
    follower =
        std::make_unique<log_follower::fleet_follower>(log_follower::fleet_follower::dependencies{
            settings, *node, *members, *links, *log, metrics});
    auto server = transport::http_server::start({.listen = any_port},
                                                [this](const transport::http_request& request)
                                                { return weights->serve_weights(request); });
    CPPUNIT_ASSERT(server.has_value());
    http = std::move(*server);
    weights = std::make_unique<weight_manager>(
        weight_manager::dependencies{settings, incarnation, *node, *members, *links, *follower,
                                     metrics, http->local_endpoint()});
    weights->on_change([this] { ++changes; });
    ready = true;
  }

  void on_frame(transport::connection_id from, const transport::frame& message)
  {
    if (!ready)
    {
      return;
    }
    if (protocol::type_of(message) == protocol::message_type::hello)
    {
      links->handle_hello(from, *protocol::decode<protocol::hello>(message));
      return;
    }
    weights->handle_frame(from, message);
  }

  ~test_agent()
  {
    if (weights)
    {
      weights->stop();
      node->stop();
      http->stop();
    }
  }
};

class weight_manager_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(weight_manager_test);
  CPPUNIT_TEST(releases_reach_all_engines_over_sockets);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    fleet_of_test = std::make_unique<shared_fleet>();
  }

  void tearDown() override
  {
    fleet_of_test.reset();
  }

  static bool all_serve(std::vector<std::unique_ptr<test_agent>>& agents)
  {
    return std::all_of(agents.begin(), agents.end(),
                       [](const auto& a) { return a->weights->is_serving("m", "v1"); });
  }

  // Guards against faults in the threads and sockets around the core: a release is fetched, loaded
  // and confirmed, loaded again after a restart of the engine, and unloaded when withdrawn.
  void releases_reach_all_engines_over_sockets()
  {
    fake_origin origin;
    origin.file = make_weights(seeds(1, 40), 32768);
    origin.start();
    const std::vector<std::string> regions{"west", "west", "central", "south"};
    std::vector<std::unique_ptr<test_agent>> agents;
    for (unsigned i = 0; i < regions.size(); ++i)
    {
      agents.push_back(std::make_unique<test_agent>());
      agents.back()->start(i + 1, regions[i], origin.server->local_endpoint());
      membership::peer peer;
      peer.listed.host = agents.back()->settings.host;
      peer.listed.role = protocol::process_role::agent;
      peer.listed.region = regions[i];
      peer.listed.service = "assistant";
      peer.listed.tcp = agents.back()->node->tcp_endpoint();
      peer.incarnation = agents.back()->incarnation;
      peer.last_heard = steady_clock::now();
      peer.alive = true;
      fleet_of_test->view.peers.push_back(peer);
    }
    for (auto& agent : agents)
    {
      agent->weights->start();
    }
    publish(origin.file);
    CPPUNIT_ASSERT(wait_until([&] { return all_serve(agents); }));
    CPPUNIT_ASSERT_EQUAL(origin.file.manifest.total_bytes, origin.bytes.load());
    for (auto& agent : agents)
    {
      CPPUNIT_ASSERT_EQUAL(to_hex(origin.file.manifest.content), agent->engine.loaded_content);
      CPPUNIT_ASSERT_EQUAL(1, agent->engine.loads);
      CPPUNIT_ASSERT(wait_until([&] { return agent->changes.load() != 0; }));
    }
    agents[0]->engine.restart();
    agents[0]->weights->backend_lost();
    CPPUNIT_ASSERT(wait_until([&] { return all_serve(agents); }));
    {
      const std::lock_guard lock(agents[0]->engine.mutex);
      CPPUNIT_ASSERT_EQUAL(2, agents[0]->engine.loads);
    }
    agents[1]->weights->report_answer("m", "v1", to_hex(sha256("other weights")));
    CPPUNIT_ASSERT(!agents[1]->weights->is_serving("m", "v1") || agents[1]->changes.load() > 1);
    CPPUNIT_ASSERT(wait_until([&] { return all_serve(agents); }));
    withdraw();
    CPPUNIT_ASSERT(wait_until(
        [&]
        {
          return std::all_of(agents.begin(), agents.end(),
                             [](const auto& a) { return a->weights->serving().empty(); });
        }));
    transport::http_request request;
    request.path = "/weights/" + to_hex(origin.file.manifest.id);
    CPPUNIT_ASSERT(
        wait_until([&] { return agents[0]->weights->serve_weights(request).status == 404; }));
  }

private:
  static void publish(const weights_file& file)
  {
    {
      const std::lock_guard lock(fleet_of_test->mutex);
      auto& state = fleet_of_test->state;
      state.head = log_offset{++state.offset.value};
      fleet::active_release release;
      release.key = {state.offset, "m"};
      release.item = {.model = "m",
                      .version = "v1",
                      .manifest = file.manifest.id,
                      .bytes = file.manifest.total_bytes,
                      .services = {"assistant"}};
      state.releases[release.key] = release;
    }
    fleet_of_test->notify();
  }

  static void withdraw()
  {
    {
      const std::lock_guard lock(fleet_of_test->mutex);
      fleet_of_test->state.head = log_offset{++fleet_of_test->state.offset.value};
      fleet_of_test->state.releases.clear();
    }
    fleet_of_test->notify();
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weight_manager_test, "WeightManager");

} // namespace
