#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "StandIns/EngineStandIn.h"
#include "StandIns/Fleet.h"
#include "StandIns/HostListStandIn.h"
#include "StandIns/LogStandIn.h"
#include "StandIns/OriginStandIn.h"
#include "StandIns/RelayStandIn.h"
#include "StandIns/ServiceStandIn.h"
#include "Transport/HttpClient.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::stand_ins;
using nlohmann::json;
using transport::http_headers;
using transport::http_response;

const transport::endpoint any_port{"127.0.0.1", 0};

result<http_response> call(const transport::endpoint& to, const std::string& method,
                           const std::string& path, const std::string& body = "",
                           http_headers query = {}, http_headers headers = {})
{
  transport::http_client client(to,
                                {.read_timeout = std::chrono::seconds(20), .keep_alive = false});
  return client.send({method, path, std::move(query), std::move(headers), body});
}

json parsed(const result<http_response>& from)
{
  CPPUNIT_ASSERT(from.has_value());
  return json::parse(from->body);
}

/// Serves weights to an engine, as an agent does.
class weights_source
{
public:
  explicit weights_source(const protocol::manifest& manifest, const origin_stand_in& origin)
  {
    for (const auto& chunk : manifest.chunks)
    {
      const auto answer = call(origin.endpoint(), "GET", "/chunks/" + to_hex(chunk.id));
      CPPUNIT_ASSERT(answer && sha256(answer->body) == chunk.id);
      m_data += answer->body;
    }
    m_server = std::move(*transport::http_server::start({any_port},
                                                        [this](const auto&)
                                                        {
                                                          http_response response;
                                                          response.body = m_data;
                                                          return response;
                                                        }));
  }

  std::string url() const
  {
    return "http://" + to_string(m_server->local_endpoint()) + "/weights/x";
  }

  std::string m_data;

private:
  std::unique_ptr<transport::http_server> m_server;
};

template <typename Predicate>
void wait_for(Predicate predicate)
{
  for (int i = 0; i < 3000 && !predicate(); ++i)
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CPPUNIT_ASSERT(predicate());
}

std::string model_state(const engine_stand_in& engine)
{
  const auto status = call(engine.endpoint(), "GET", "/status");
  if (!status)
  {
    return "unreachable";
  }
  const json models = json::parse(status->body)["models"];
  return models.empty() ? "none" : models[0]["state"].get<std::string>();
}

json load_order(const protocol::manifest& manifest, const std::string& source, int fence)
{
  return {{"order", "load"},
          {"model", "m"},
          {"version", "v1"},
          {"manifest", to_hex(manifest.id)},
          {"content", to_hex(manifest.content)},
          {"fence", fence},
          {"source", source}};
}

class log_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(log_test);
  CPPUNIT_TEST(test_appends_reads_and_expires);
  CPPUNIT_TEST(test_long_poll_returns_a_new_record);
  CPPUNIT_TEST(test_lost_answer_keeps_the_record);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_log = std::move(*log_stand_in::start(any_port));
  }

  // Guards against wrong offsets after expiry, on which every reader's position depends.
  void test_appends_reads_and_expires()
  {
    for (int i = 1; i <= 5; ++i)
    {
      const json answer = parsed(append(i));
      CPPUNIT_ASSERT_EQUAL(i, answer["offset"].get<int>());
    }
    const json page = parsed(read("2", "2", "0"));
    CPPUNIT_ASSERT_EQUAL(4, page["next"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page["records"].size());
    CPPUNIT_ASSERT_EQUAL(3, page["records"][1]["record"]["n"].get<int>());
    CPPUNIT_ASSERT(m_log->set_faults({{"retention", 2}}));
    const auto expired = read("2", "2", "0");
    CPPUNIT_ASSERT(expired && expired->status == 410);
    CPPUNIT_ASSERT_EQUAL(4, json::parse(expired->body)["first"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed(read("4", "9", "0"))["records"].size());
    CPPUNIT_ASSERT(parsed(read("6", "9", "0"))["records"].empty());
  }

  // Guards against a poll that misses a record that arrives while it waits.
  void test_long_poll_returns_a_new_record()
  {
    std::thread writer([this] { m_log->append("s", {{"n", 1}}); });
    const json page = parsed(read("1", "9", "15000"));
    writer.join();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, page["records"].size());
  }

  // Guards against a fault that loses the record instead of the answer.
  void test_lost_answer_keeps_the_record()
  {
    CPPUNIT_ASSERT(m_log->set_faults({{"lose_answers", 1}}));
    CPPUNIT_ASSERT(!append(1));
    CPPUNIT_ASSERT(append(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed(read("1", "9", "0"))["records"].size());
    CPPUNIT_ASSERT(!m_log->set_faults({{"lose_answer", 1}}));
    CPPUNIT_ASSERT(m_log->set_faults({{"down", true}}));
    CPPUNIT_ASSERT_EQUAL(503, append(3)->status);
  }

private:
  result<http_response> append(int n)
  {
    return call(m_log->endpoint(), "POST", "/streams/s/records", json{{"n", n}}.dump());
  }

  result<http_response> read(const char* from, const char* max, const char* wait_ms)
  {
    return call(m_log->endpoint(), "GET", "/streams/s/records", "",
                {{"from", from}, {"max", max}, {"wait_ms", wait_ms}});
  }

  std::unique_ptr<log_stand_in> m_log;
};

class weights_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(weights_test);
  CPPUNIT_TEST(test_shared_chunks_and_corruption);
  CPPUNIT_TEST(test_host_list_views);
  CPPUNIT_TEST(test_host_list_conditional);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against weights whose digests or shared part differ from the recipe.
  void test_shared_chunks_and_corruption()
  {
    const auto origin = std::move(*origin_stand_in::start(any_port));
    const json recipe{{"seed", 7}, {"bytes", 100000}, {"chunk_bytes", 8192}};
    const json added = parsed(call(origin->endpoint(), "POST", "/standin/weights", recipe.dump()));
    const auto id = parse_digest(added["manifest"].get<std::string>());
    const auto text = call(origin->endpoint(), "GET", "/manifests/" + to_hex(*id));
    const auto first = protocol::parse_manifest(text->body, *id);
    CPPUNIT_ASSERT(first.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{100000}, first->total_bytes);
    const auto second = origin->add_weights({8, 100000, 8192, 7, 0.5});
    int shared = 0;
    for (std::size_t i = 0; i < first->chunks.size(); ++i)
    {
      shared += first->chunks[i].id == second.chunks[i].id ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(6, shared);
    const std::string path = "/chunks/" + to_hex(first->chunks[0].id);
    CPPUNIT_ASSERT(origin->set_faults({{"corrupt", 1}, {"rate_bytes_per_s", 1e7}}));
    CPPUNIT_ASSERT(sha256(call(origin->endpoint(), "GET", path)->body) != first->chunks[0].id);
    CPPUNIT_ASSERT(sha256(call(origin->endpoint(), "GET", path)->body) == first->chunks[0].id);
    CPPUNIT_ASSERT_EQUAL(2, origin->counters()["chunks"].get<int>());
  }

  // Guards against readers of a region that get addresses which bypass the relay.
  void test_host_list_views()
  {
    const auto list = std::move(*host_list_stand_in::start(any_port));
    const json host{{"host", "a"}, {"tcp", 1}, {"state", "live"}, {"via", {{"r2", {{"tcp", 2}}}}}};
    CPPUNIT_ASSERT(list->set_hosts({{"hosts", {host}}}));
    const auto tcp = [&](const char* region)
    {
      const json seen = parsed(call(list->endpoint(), "GET", "/hosts", "", {{"region", region}}));
      CPPUNIT_ASSERT(!seen["hosts"][0].contains("via"));
      return seen["hosts"][0]["tcp"].get<int>();
    };
    CPPUNIT_ASSERT_EQUAL(1, tcp("r1"));
    CPPUNIT_ASSERT_EQUAL(2, tcp("r2"));
    CPPUNIT_ASSERT(call(list->endpoint(), "PUT", "/hosts/a", R"({"state":"gone"})"));
    CPPUNIT_ASSERT(parsed(call(list->endpoint(), "GET", "/hosts"))["hosts"].empty());
  }

  // Guards against a changed list that is answered 304, and against a platform that is assumed to
  // know conditional requests.
  void test_host_list_conditional()
  {
    const auto list = std::move(*host_list_stand_in::start(any_port));
    CPPUNIT_ASSERT(list->set_hosts({{"hosts", json::array()}}));
    const auto get = [&](const std::string& tag)
    {
      return *transport::http_client(list->endpoint())
                  .send({.path = "/hosts", .headers = {{"If-None-Match", tag}}});
    };
    const std::string tag(transport::find_header(get("").headers, "ETag"));
    CPPUNIT_ASSERT(!tag.empty());
    CPPUNIT_ASSERT_EQUAL(304, get(tag).status);
    CPPUNIT_ASSERT(list->set_hosts({{"hosts", json::array()}}));
    CPPUNIT_ASSERT_EQUAL(200, get(tag).status);
    CPPUNIT_ASSERT(list->set_faults({{"plain", true}}));
    const auto plain = get("\"2\"");
    CPPUNIT_ASSERT_EQUAL(200, plain.status);
    CPPUNIT_ASSERT(transport::find_header(plain.headers, "ETag").empty());
    CPPUNIT_ASSERT_EQUAL(1, list->counters()["unchanged"].get<int>());
  }
};

class engine_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_test);
  CPPUNIT_TEST(test_loads_verified_weights_and_generates);
  CPPUNIT_TEST(test_wrong_content_fails);
  CPPUNIT_TEST(test_crash_breaks_connections_and_forgets);
  CPPUNIT_TEST(test_interactive_before_batch);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_origin = std::move(*origin_stand_in::start(any_port));
    m_manifest = m_origin->add_weights({3, 50000, 8192});
    m_source = std::make_unique<weights_source>(m_manifest, *m_origin);
    m_engine = std::move(*engine_stand_in::start(any_port, 1));
    CPPUNIT_ASSERT(m_engine->set_faults({{"load_ms", 1}, {"first_token_ms", 1}, {"token_ms", 1}}));
  }

  // Guards against an engine that serves an answer which callers cannot verify.
  void test_loads_verified_weights_and_generates()
  {
    CPPUNIT_ASSERT_EQUAL(404, generate("a", "hello", 3)->status);
    load(5);
    const auto answer = generate("a", "hello", 3);
    const std::string hash = token_prefix("v1", "hello");
    CPPUNIT_ASSERT_EQUAL("{\"i\":0,\"token\":\"" + hash + "-0\"}\n{\"i\":1,\"token\":\"" + hash +
                             "-1\"}\n{\"i\":2,\"token\":\"" + hash +
                             "-2\"}\n{\"end\":true,\"tokens\":3}\n",
                         answer->body);
    CPPUNIT_ASSERT_EQUAL(std::string("{\"i\":2,"), generate("b", "hello", 3, 2)->body.substr(0, 7));
    CPPUNIT_ASSERT_EQUAL(409, order(4)->status);
    CPPUNIT_ASSERT(m_engine->set_faults({{"check_fence", false}}));
    CPPUNIT_ASSERT_EQUAL(202, order(4)->status);
    const json counters = m_engine->counters();
    CPPUNIT_ASSERT_EQUAL(1, counters["runs"]["a"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, counters["prompt_runs"][hash].get<int>());
    CPPUNIT_ASSERT_EQUAL(to_hex(m_manifest.content),
                         counters["served"][0]["downloaded"].get<std::string>());
  }

  // Guards against an engine stand-in that hides partial or mixed weights (I1).
  void test_wrong_content_fails()
  {
    m_source->m_data.back() = static_cast<char>(m_source->m_data.back() ^ 1);
    CPPUNIT_ASSERT_EQUAL(202, order(5)->status);
    wait_for([this] { return model_state(*m_engine) == "failed"; });
    CPPUNIT_ASSERT_EQUAL(1, m_engine->counters()["wrong_content"].get<int>());
  }

  // Guards against a crash after which a stream looks complete or the models survive.
  void test_crash_breaks_connections_and_forgets()
  {
    load(5);
    CPPUNIT_ASSERT(m_engine->set_faults({{"crash_on", "poison"}, {"restart_ms", 10}}));
    const std::string boot = m_engine->counters()["boot"];
    std::thread running([this] { CPPUNIT_ASSERT(!generate("a", "long", 1000000)); });
    wait_for([this] { return m_engine->counters()["runs"].contains("a"); });
    // The only slot is taken, so the poisonous request runs once the crash switch is used.
    CPPUNIT_ASSERT(m_engine->set_faults({{"crash", true}}));
    running.join();
    wait_for([this] { return model_state(*m_engine) == "none"; });
    CPPUNIT_ASSERT(boot != m_engine->counters()["boot"]);
    load(5);
    CPPUNIT_ASSERT(!generate("b", "some poison here", 5));
    wait_for([this] { return model_state(*m_engine) == "none"; });
    CPPUNIT_ASSERT_EQUAL(2, m_engine->counters()["crashes"].get<int>());
  }

  // Guards against waiting requests that run in order of arrival whatever their priority.
  void test_interactive_before_batch()
  {
    load(5);
    CPPUNIT_ASSERT(m_engine->set_faults({{"hang", true}, {"report_lag_ms", 0}}));
    std::mutex mutex;
    std::string order_of_ends;
    std::vector<std::thread> callers;
    for (const char* priority : {"batch", "interactive"})
    {
      callers.emplace_back(
          [&, priority]
          {
            const auto answer = generate(priority, priority, 1, 0, priority);
            const std::lock_guard lock(mutex);
            order_of_ends += answer->status == 200 ? priority[0] : '?';
          });
      wait_for(
          [&]
          {
            const json status = parsed(call(m_engine->endpoint(), "GET", "/status"));
            return status["queued"].get<std::size_t>() == callers.size();
          });
    }
    CPPUNIT_ASSERT(m_engine->set_faults({{"hang", false}, {"first_token_ms", 30}}));
    for (std::thread& caller : callers)
    {
      caller.join();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("ib"), order_of_ends);
  }

private:
  result<http_response> order(int fence)
  {
    return call(m_engine->endpoint(), "POST", "/orders",
                load_order(m_manifest, m_source->url(), fence).dump());
  }

  void load(int fence)
  {
    CPPUNIT_ASSERT_EQUAL(202, order(fence)->status);
    wait_for([this] { return model_state(*m_engine) == "loaded"; });
  }

  result<http_response> generate(const std::string& id, const std::string& prompt, int tokens,
                                 int resume_from = 0, const std::string& priority = "interactive")
  {
    const json body{{"id", id},
                    {"model", "m"},
                    {"version", "v1"},
                    {"prompt", prompt},
                    {"max_tokens", tokens},
                    {"resume_from", resume_from},
                    {"priority", priority}};
    return call(m_engine->endpoint(), "POST", "/generate", body.dump());
  }

  std::unique_ptr<origin_stand_in> m_origin;
  protocol::manifest m_manifest;
  std::unique_ptr<weights_source> m_source;
  std::unique_ptr<engine_stand_in> m_engine;
};

class relay_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(relay_test);
  CPPUNIT_TEST(test_forwards_tcp_and_udp);
  CPPUNIT_TEST(test_cut_and_silence);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_service = std::move(*service_stand_in::start(any_port, "shop"));
    m_relay = std::move(*relay_stand_in::start(any_port));
    const auto made = m_relay->add_route({false, any_port, m_service->endpoint(), true});
    CPPUNIT_ASSERT(made.has_value());
    m_through = *made;
  }

  // Guards against traffic that passes the relay uncounted, in the wrong direction or changed.
  void test_forwards_tcp_and_udp()
  {
    CPPUNIT_ASSERT(m_relay->set_faults({{"rate_bytes_per_s", 1e7}, {"delay_ms", 1}}));
    const std::string body(100000, 'x');
    const json answer =
        parsed(call(m_through, "POST", "/call/book", body, {}, {{"Idempotency-Key", "k1"}}));
    CPPUNIT_ASSERT_EQUAL(to_hex(sha256(body)), answer["echo"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("/book"), answer["path"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, m_service->counters()["runs"]["k1"].get<int>());
    CPPUNIT_ASSERT(m_relay->counters()["bytes_backward"].get<int>() > 100000);
    CPPUNIT_ASSERT(m_relay->counters()["bytes_forward"].get<int>() < 2000);

    const int receiver = udp_socket();
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(receiver, reinterpret_cast<sockaddr*>(&address), &size);
    const auto route =
        m_relay->add_route({true, any_port, {"127.0.0.1", ntohs(address.sin_port)}, false});
    const int sender = udp_socket();
    address.sin_port = htons(route->port);
    ::sendto(sender, "ping", 4, 0, reinterpret_cast<sockaddr*>(&address), size);
    std::array<char, 16> buffer{};
    CPPUNIT_ASSERT_EQUAL(ssize_t{4}, ::recvfrom(receiver, buffer.data(), buffer.size(), 0,
                                                reinterpret_cast<sockaddr*>(&address), &size));
    ::sendto(receiver, "pong!", 5, 0, reinterpret_cast<sockaddr*>(&address), size);
    CPPUNIT_ASSERT_EQUAL(ssize_t{5}, ::recv(sender, buffer.data(), buffer.size(), 0));
    ::close(receiver);
    ::close(sender);
  }

  // Guards against a cut that lets connections through and a silence that hits new connections.
  void test_cut_and_silence()
  {
    transport::http_client client(m_through, {.read_timeout = std::chrono::milliseconds(200)});
    CPPUNIT_ASSERT(client.send({"POST", "/call/a"}));
    CPPUNIT_ASSERT(m_relay->set_faults({{"silence_open", true}}));
    CPPUNIT_ASSERT(!client.send({"POST", "/call/b"}));
    CPPUNIT_ASSERT(call(m_through, "POST", "/call/c"));
    CPPUNIT_ASSERT(m_relay->set_faults({{"cut", true}}));
    CPPUNIT_ASSERT(!call(m_through, "POST", "/call/d"));
    CPPUNIT_ASSERT(m_relay->set_faults({{"cut", false}}));
    CPPUNIT_ASSERT(call(m_through, "POST", "/call/e"));
  }

private:
  static int udp_socket()
  {
    const int made = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    const timeval patience{20, 0};
    setsockopt(made, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    return made;
  }

  std::unique_ptr<service_stand_in> m_service;
  std::unique_ptr<relay_stand_in> m_relay;
  transport::endpoint m_through;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(log_test, "StandIns.Log");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(weights_test, "StandIns.Weights");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(engine_test, "StandIns.Engine");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(relay_test, "StandIns.Relay");

} // namespace
