#include <string>
#include <thread>

#include "UnitTests/EndlessServer.h"
#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using namespace pollenyoke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

class forwarding_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(forwarding_test);
  CPPUNIT_TEST(request_and_response_are_forwarded_unchanged);
  CPPUNIT_TEST(gateway_fields_replace_those_of_the_caller);
  CPPUNIT_TEST(unknown_route_and_key_are_rejected);
  CPPUNIT_TEST(non_idempotent_request_is_not_retried);
  CPPUNIT_TEST(rejected_request_is_retried_at_another_server);
  CPPUNIT_TEST(idempotent_request_is_retried);
  CPPUNIT_TEST(invalid_responses_are_not_forwarded);
  CPPUNIT_TEST(late_duplicate_response_is_skipped);
  CPPUNIT_TEST(endless_response_ends_with_an_answer_to_the_caller);
  CPPUNIT_TEST(trickle_without_events_moves_to_another_server);
  CPPUNIT_TEST(stream_resumes_at_another_server);
  CPPUNIT_TEST(stream_that_ends_before_its_first_event_is_repeated);
  CPPUNIT_TEST(long_stream_moves_from_a_pipeline_to_one_engine);
  CPPUNIT_TEST(broken_stream_does_not_appear_complete);
  CPPUNIT_TEST(caller_disconnect_cancels_the_request);
  CPPUNIT_TEST(long_body_is_forwarded_whole);
  CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
  CPPUNIT_TEST(unresponsive_server_is_aborted_at_the_deadline);
  CPPUNIT_TEST(requests_are_served_during_a_stop);
  CPPUNIT_TEST(request_chosen_before_a_freeze_is_not_sent_as_it_was);
  CPPUNIT_TEST(first_attempt_with_a_shorter_time_limit_is_not_late);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against first attempts that go last in a server's queue because another caller of the
  /// route waits longer.
  void first_attempt_with_a_shorter_time_limit_is_not_late()
  {
    auto config = make_config();
    config.version = 2;
    config.routes[1].objective = std::chrono::milliseconds(500);
    m_gateway->set_config(config);
    script_all({{signed_response("first", "done")}, {signed_response("second", "done")}});
    send(request("/safe/x", "first"));
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    std::string shorter = request("/safe/x", "second");
    shorter.replace(shorter.find("15000"), 5, "13000");
    send(shorter);
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("5"),
                         *m_servers.back()->heads.back().find("X-Pollenyoke-Request-Priority"));
  }

  void request_and_response_are_forwarded_unchanged()
  {
    script_all({{signed_response("r1", "answer", "X-Other: 1\r\n")}});
    send(request("/once/a?b=c", "r1", "X-Mine: 2\r\n", "body"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(200U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), reply.body);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *reply.head.find("X-Other"));
    CPPUNIT_ASSERT_EQUAL(std::string("seal"), *reply.head.find("X-Pollenyoke-Response-Seal"));
    const auto& server = *m_servers.front();
    CPPUNIT_ASSERT_EQUAL(std::string("/once/a?b=c"), server.heads.front().target);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), server.requests.front());
    CPPUNIT_ASSERT_EQUAL(std::string("2"), *server.heads.front().find("X-Mine"));
  }

  /// Guards against callers that impersonate another team or choose the server.
  void gateway_fields_replace_those_of_the_caller()
  {
    script_all({{signed_response("r1", "x")}});
    send(request("/once/a", "r1",
                 "X-Pollenyoke-Tenant: red\r\nX-Pollenyoke-Target-Instance: other\r\n"
                 "X-Pollenyoke-Request-Priority: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"));
    wait_for_response();
    const auto& head = m_servers.front()->heads.front();
    CPPUNIT_ASSERT_EQUAL(std::string("blue"), *head.find("X-Pollenyoke-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.count("X-Pollenyoke-Tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), *head.find("X-Pollenyoke-Target-Instance"));
    CPPUNIT_ASSERT(head.find("Api-Key") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("5"), *head.find("X-Pollenyoke-Request-Priority"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, head.count("X-Pollenyoke-Request-Priority"));
    CPPUNIT_ASSERT(head.find("X-Hop") == nullptr);
    std::uint64_t left = 0;
    CPPUNIT_ASSERT(parse_number(*head.find("X-Pollenyoke-Request-Deadline"), left));
    CPPUNIT_ASSERT(left <= 15000);
  }

  void unknown_route_and_key_are_rejected()
  {
    send(request("/none/", "r1"));
    CPPUNIT_ASSERT_EQUAL(404U, wait_for_response().head.status);
    send("GET /once/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: wrong\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(401U, wait_for_response().head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }

  /// Guards against running a non-idempotent request twice, and against reporting "not run" when it
  /// may have run.
  void non_idempotent_request_is_not_retried()
  {
    add_server();
    script_all({{"", false, true}});
    send(request("/once/a", "r1"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(502U, reply.head.status);
    CPPUNIT_ASSERT(reply.head.find("Retry-After") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
  }

  void rejected_request_is_retried_at_another_server()
  {
    add_server();
    script_all({{not_executed}});
    send(request("/once/a", "r1"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(503U, reply.head.status);
    CPPUNIT_ASSERT(reply.head.find("Retry-After") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, total_requests());
  }

  void idempotent_request_is_retried()
  {
    add_server();
    script_all({{"", false, true}});
    m_servers.back()->script = {{signed_response("r1", "x")}};
    send(request("/safe/a", "r1"));
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    CPPUNIT_ASSERT(total_requests() <= 2);
  }

  /// Guards against forwarding responses that are unsigned, encoded, truncated, not HTTP, or have a
  /// status that is none.
  void invalid_responses_are_not_forwarded()
  {
    std::vector<scripted_server::scripted_response> cases = {
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nContent-Length: 1\r\n\r\nx"},
        {signed_response("r1", "x", "Content-Encoding: gzip\r\n")},
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: s\r\n"
         "Content-Length: 10\r\n\r\nabc",
         true},
        {"HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: "
         "s\r\n\r\nabc",
         false, true},
        {"garbage\r\n\r\n"}};
    for (const std::string status : {"000", "001", "099", "101", "600", "999"})
    {
      cases.push_back({"HTTP/1.1 " + status + " X\r\n" + signed_response("r1", "x").substr(17)});
    }
    for (const auto& invalid : cases)
    {
      script_all({invalid});
      send(request("/once/a", "r1"));
      CPPUNIT_ASSERT_EQUAL(502U, wait_for_response().head.status);
      m_gateway->remove_backend("s1", std::nullopt);
      m_servers.clear();
      add_server();
    }
  }

  /// Guards against a server in trouble that holds a request until its deadline and fills the
  /// memory of the entry.
  void endless_response_ends_with_an_answer_to_the_caller()
  {
    const std::string fields =
        "X-Pollenyoke-Request-Id: r1\r\nX-Pollenyoke-Response-Seal: seal\r\n";
    auto cases = test::endless_answers(fields);
    cases.push_back({"answers to other requests", "", signed_response("r0", "late")});
    cases.push_back({"error", "HTTP/1.1 500 Error\r\n" + fields + "\r\n", "x"});
    cases.push_back({"event without end", stream_head("r1"), encode_chunk("data: x")});
    m_gateway->remove_backend("s1", std::nullopt);
    for (const std::string path : {"/once/a", "/safe/a", "/stream/a"})
    {
      for (const auto& answer : cases)
      {
        const std::string message = path + ": " + answer.name;
        test::endless_server server(m_loop, answer.head, answer.filler);
        m_gateway->put_backend({.id = message,
                                .service = "desk",
                                .address = {"127.0.0.1", server.port()},
                                .slots = 4});
        send(request(path, "r1"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 502U, wait_for_response().head.status);
        run_until(
            [&]
            {
              return server.was_stopped_by_its_caller() ||
                     server.sent_bytes() >= test::endless_server::give_up_bytes;
            });
        CPPUNIT_ASSERT_MESSAGE(message, server.was_stopped_by_its_caller());
        m_gateway->remove_backend(message, std::nullopt);
      }
    }
  }

  /// Guards against a stream that waits for its deadline because its server keeps sending bytes
  /// that are no event.
  void trickle_without_events_moves_to_another_server()
  {
    m_gateway->remove_backend("s1", std::nullopt);
    test::endless_server server(m_loop, stream_head("r1"), encode_chunk("x"), milliseconds(20));
    m_gateway->put_backend(
        {.id = "slow", .service = "desk", .address = {"127.0.0.1", server.port()}, .slots = 4});
    send(request("/stream/a", "r1"));
    run_until([&] { return server.sent_bytes() > 0; });
    add_server();
    script_all({{stream_head("r1") + encode_chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}});
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(200U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), reply.body);
    CPPUNIT_ASSERT(server.was_stopped_by_its_caller());
  }

  void late_duplicate_response_is_skipped()
  {
    script_all({{signed_response("r0", "late") + signed_response("r1", "mine")},
                {signed_response("r2", "next")}});
    send(request("/once/a", "r1"));
    CPPUNIT_ASSERT_EQUAL(std::string("mine"), wait_for_response().body);
    send(request("/safe/a", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("next"), wait_for_response().body);
  }

  /// Guards against missing, duplicated or truncated events where a stream moves to another server.
  void stream_resumes_at_another_server()
  {
    add_server();
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    // The server that is chosen first breaks off within an event; the other one continues.
    script_all({{stream_head("r1") + encode_chunk(first + "id: 2\nda"), false, false}});
    send(request("/stream/a", "r1"));
    run_until([&] { return m_received.find("data: a") != std::string::npos; });
    auto& broken = m_servers[m_servers.front()->requests.empty() ? 1 : 0];
    auto& other = m_servers[m_servers.front()->requests.empty() ? 0 : 1];
    other->script = {{stream_head("r1") + encode_chunk(second) + "0\r\n\r\n"}};
    const auto broken_index = static_cast<std::size_t>(&broken - m_servers.data());
    m_servers[broken_index].reset();
    m_servers.erase(m_servers.begin() + static_cast<std::ptrdiff_t>(broken_index));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(first + second, reply.body);
    const auto& head = m_servers.front()->heads.front();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *head.find("Last-Event-Id"));
    // Has priority over requests whose callers have received nothing yet.
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *head.find("X-Pollenyoke-Request-Priority"));
  }

  /// Guards against a server that crashes before the first event of an answer that ends with its
  /// connection: an empty stream would look complete.
  void stream_that_ends_before_its_first_event_is_repeated()
  {
    add_server();
    unsigned count = 0;
    for (const auto& server : m_servers)
    {
      server->behaviour = [&count](const message_head&)
      {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Pollenyoke-Request-Id: r1\r\n"
                                 "X-Pollenyoke-Response-Seal: seal\r\n"
                                 "Content-Type: text/event-stream\r\n\r\n";
        const std::string event = "id: 1\ndata: a\n\n";
        return scripted_server::scripted_response{++count == 1 ? head : head + event, true};
      };
    }
    send(request("/stream/a", "r1"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\n"), reply.body);
    CPPUNIT_ASSERT_EQUAL(2U, count);
  }

  /// Guards against pipeline responses, which are five times as slow, that reach the route's time
  /// limit although an engine with all layers has become available.
  void long_stream_moves_from_a_pipeline_to_one_engine()
  {
    auto config = make_config();
    config.version = 2;
    config.services["pool"] = {
        .name = "pool", .slots = 4, .engine = protocol::engine_speed{.layers = 2}, .model = "m"};
    config.routes.back().targets = {{"pool", 1}};
    m_gateway->set_config(std::move(config));
    const auto add_engine = [this](const std::string& id, const peers::load_message& load)
    {
      m_servers.push_back(std::make_unique<scripted_server>(m_loop));
      transport::endpoint address{"127.0.0.1", m_servers.back()->port()};
      m_gateway->put_backend({.id = id, .service = "pool", .address = address, .slots = 4});
      auto report = load;
      report.engine = transport::to_string(address);
      m_gateway->update_load(report);
      return address;
    };
    const auto first = add_engine("front", {.part_version = 3, .part_from = 0, .part_to = 1});
    const auto second = add_engine("back", {.part_version = 3, .part_from = 1, .part_to = 2});
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string rest = "id: 2\ndata: b\n\n";
    m_servers[1]->script = {{stream_head("r1") + encode_chunk(event)}};
    send(request("/stream/a", "r1", "Path: 1.2.3.4:5=0-2\r\n"));
    run_until([this] { return m_received.find("data: a") != std::string::npos; });
    const auto& head = m_servers[1]->heads.front();
    CPPUNIT_ASSERT_EQUAL(transport::to_string(first) + "=0-1," + transport::to_string(second) +
                             "=1-2",
                         *head.find("Path"));
    CPPUNIT_ASSERT_EQUAL(std::string("3"), *head.find("X-Pollenyoke-Expected-Version"));
    add_engine("whole", {.weight_version = 3});
    m_servers[3]->script = {{stream_head("r1") + encode_chunk(rest) + "0\r\n\r\n"}};
    CPPUNIT_ASSERT_EQUAL(event + rest, wait_for_response().body);
    CPPUNIT_ASSERT(m_servers[3]->heads.front().find("Path") == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), *m_servers[3]->heads.front().find("Last-Event-Id"));
    CPPUNIT_ASSERT(m_servers[2]->heads.empty());
  }

  void broken_stream_does_not_appear_complete()
  {
    script_all({{stream_head("r1") + encode_chunk("id: 1\ndata: a\n\n"), false, false}});
    send(request("/stream/a", "r1"));
    run_until([&] { return m_received.find("data: a") != std::string::npos; });
    m_gateway->remove_backend("s1", std::nullopt);
    m_servers.clear();
    run_until([&] { return m_ended; });
    CPPUNIT_ASSERT(m_received.find("\r\n0\r\n") == std::string::npos);
  }

  /// Guards against servers that keep working for callers that have disconnected.
  void caller_disconnect_cancels_the_request()
  {
    send(request("/once/a", "r1"));
    run_until([&] { return total_requests() == 1; });
    m_caller->close();
    run_until([&] { return m_servers.front()->closed == 1; });
  }

  void long_body_is_forwarded_whole()
  {
    const std::string body(2'000'000, 'b');
    script_all({{signed_response("r1", "x")}, {signed_response("r2", "y")}});
    send(request("/safe/a", "r1", "", body));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), wait_for_response().body);
    send(request("/safe/a", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("y"), wait_for_response().body);
    CPPUNIT_ASSERT_EQUAL(body, m_servers.front()->requests.front());
  }

  void pipelined_requests_are_answered_in_order()
  {
    script_all({{signed_response("r1", "1")}, {signed_response("r2", "2")}});
    send(request("/safe/a", "r1") + request("/safe/b", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), wait_for_response().body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), wait_for_response().body);
  }

  void unresponsive_server_is_aborted_at_the_deadline()
  {
    send("POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Pollenyoke-Request-Id: r1\r\n"
         "X-Pollenyoke-Request-Deadline: 100\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(504U, wait_for_response().head.status);
    run_until([&] { return m_servers.front()->closed == 1; });
  }

  /// Guards against requests that are dropped during a planned stop.
  void requests_are_served_during_a_stop()
  {
    bool stopped = false;
    m_gateway->stop([&] { stopped = true; });
    CPPUNIT_ASSERT(!m_gateway->is_ready());
    script_all({{signed_response("r1", "x")}});
    send(request("/once/a", "r1"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(200U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *reply.head.find("Connection"));
    run_until([&] { return stopped; });
  }

  /// Guards against a server that is handed time that the caller no longer has, because this
  /// process stood still between choosing it and sending.
  void request_chosen_before_a_freeze_is_not_sent_as_it_was()
  {
    static constexpr std::uint64_t frozen_ms = 1500;
    bool froze = false;
    m_on_send = [&froze]
    {
      if (!froze)
      {
        froze = true;
        std::this_thread::sleep_for(std::chrono::milliseconds(frozen_ms));
      }
    };
    add_server();
    script_all({{signed_response("r1", "x")}});
    send(request("/safe/a", "r1", "X-Pollenyoke-Token-Count: 100,10\r\n"));
    CPPUNIT_ASSERT_EQUAL(200U, wait_for_response().head.status);
    for (const auto& server : m_servers)
    {
      for (const auto& head : server->heads)
      {
        std::uint64_t left = 0;
        CPPUNIT_ASSERT(async_io::parse_number(*head.find("X-Pollenyoke-Request-Deadline"), left));
        CPPUNIT_ASSERT(left <= 15000 - frozen_ms);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, total_requests());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(forwarding_test, "Gateway.Forwarding");

} // namespace
