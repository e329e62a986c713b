#include "UnitTests/Entry/RequestPath.h"
#include "UnitTests/Entry/UnresponsiveProxy.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using protocol::backend_kind;

std::string outcome_of(const transport::http_response& response)
{
  return std::string(transport::find_header(response.headers, "Pollenyoke-Outcome"));
}

/// Sends a request and reads the response stream on its own thread.
class background_call
{
public:
  background_call(test_entry& entry, const std::string& path, const json& body,
                  transport::http_headers headers = {})
      : m_thread(
            [this, &entry, path, text = body.dump(), headers = std::move(headers)]
            {
              transport::http_client client(entry.m_http->local_endpoint(),
                                            {.read_timeout = test_timeout, .keep_alive = false});
              const auto status = client.send_streaming(
                  {.method = "POST", .path = path, .headers = headers, .body = text},
                  [this](int code, const transport::http_headers& got)
                  {
                    const std::lock_guard lock(m_mutex);
                    m_status = code;
                    m_outcome = transport::find_header(got, "Pollenyoke-Outcome");
                    return true;
                  },
                  [this](std::string_view data)
                  {
                    const std::lock_guard lock(m_mutex);
                    m_body.append(data);
                    return !m_disconnect;
                  });
              m_complete = status.has_value();
            })
  {
  }
  ~background_call()
  {
    join();
  }
  background_call(const background_call&) = delete;
  background_call& operator=(const background_call&) = delete;
  background_call(background_call&&) = delete;
  background_call& operator=(background_call&&) = delete;

  void join()
  {
    if (m_thread.joinable())
    {
      m_thread.join();
    }
  }
  std::string body() const
  {
    const std::lock_guard lock(m_mutex);
    return m_body;
  }

  std::atomic<bool> m_disconnect{false};
  std::atomic<bool> m_complete{false};
  int m_status = 0;
  std::string m_outcome;

private:
  mutable std::mutex m_mutex;
  std::string m_body;
  std::thread m_thread;
};

const std::string generate_path = "/v1/models/assistant/generate";

json prompt_of(const std::string& text, std::uint32_t tokens = 4)
{
  return {{"prompt", text}, {"max_tokens", tokens}};
}

/// Returns the agent whose backend server has run a request.
test_agent& agent_that_ran(test_agent& a, test_agent& b)
{
  return a.m_backend.total_runs() > 0 ? a : b;
}

class request_path_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_path_test);
  CPPUNIT_TEST(model_stream_is_complete);
  CPPUNIT_TEST(service_answer_is_complete);
  CPPUNIT_TEST(newest_served_version_is_chosen);
  CPPUNIT_TEST(malformed_requests_get_4xx);
  CPPUNIT_TEST(full_agent_refuses_immediately);
  CPPUNIT_TEST(deadline_in_queue_is_not_run);
  CPPUNIT_TEST(deadline_while_running_is_unknown);
  CPPUNIT_TEST(discovery_omits_a_leaving_entry);
  CPPUNIT_TEST(entry_limits_requests_in_flight);
  CPPUNIT_TEST(request_that_may_outlast_a_planned_stop_is_refused);
  CPPUNIT_TEST(many_requests_get_their_own_answers);
  CPPUNIT_TEST_SUITE_END();

  void model_stream_is_complete()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    const auto answer = entry.generate("hello");
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(expected_stream("hello"), answer->body);
  }

  void service_answer_is_complete()
  {
    test_agent agent("desk-1", "booking", backend_kind::service);
    test_entry entry({&agent});
    const auto answer = entry.post("/v1/services/booking/reserve/7", "crate");
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), outcome_of(*answer));
    CPPUNIT_ASSERT_EQUAL(json({{"path", "/call/reserve/7"}, {"echo", "crate"}}).dump(),
                         answer->body);
    // The answer is larger than one frame.
    const std::string large(1400000, 'x');
    const auto big = entry.post("/v1/services/booking/store", large);
    CPPUNIT_ASSERT_EQUAL(200, big->status);
    CPPUNIT_ASSERT_EQUAL(large, json::parse(big->body).at("echo").get<std::string>());
  }

  // Guards against answers of a version that was not requested, and against an outage while the
  // newest release is active but no agent has loaded it.
  void newest_served_version_is_chosen()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    entry.add_release(7, "v2");
    CPPUNIT_ASSERT_EQUAL(expected_stream("a"), entry.generate("a")->body);
    agent.serve({"v1", "v2"});
    CPPUNIT_ASSERT_EQUAL(expected_stream("b", 4, "v2"), entry.generate("b")->body);
    CPPUNIT_ASSERT_EQUAL(expected_stream("c"), entry.generate("c", {{"version", "v1"}})->body);
    const auto missing = entry.generate("d", {{"version", "v9"}});
    CPPUNIT_ASSERT_EQUAL(503, missing->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(*missing));
    CPPUNIT_ASSERT_EQUAL(404, entry.post("/v1/models/other/generate", R"({"prompt":"x"})")->status);
  }

  void malformed_requests_get_4xx()
  {
    test_agent agent("desk-1", "booking", backend_kind::service);
    test_entry entry({&agent});
    struct row
    {
      std::string path;
      std::string body;
      transport::http_headers headers;
      int status;
    };
    const std::vector<row> rows = {
        {generate_path, "{", {}, 400},
        {generate_path, R"({"prompt":7})", {}, 400},
        {generate_path, R"({"prompt":"x","version":7})", {}, 400},
        {generate_path, R"({"prompt":"x"})", {{"Pollenyoke-Deadline-Ms", "-1"}}, 400},
        {generate_path, R"({"prompt":"x"})", {{"Pollenyoke-Deadline-Ms", "1e9"}}, 400},
        {generate_path, R"({"prompt":"x"})", {{"Pollenyoke-Priority", "urgent"}}, 400},
        {generate_path, R"({"prompt":"x"})", {{"Pollenyoke-Team", std::string(65, 'x')}}, 400},
        {"/v1/models/BAD NAME/generate", R"({"prompt":"x"})", {}, 400},
        {"/v1/services/booking/../status", "", {}, 400},
        {"/v1/services/booking/a", "", {{"Idempotency-Key", std::string(257, 'k')}}, 400},
        {"/v1/services/booking/a", std::string(1600000, 'x'), {}, 413},
        {"/v1/services/booking/a", std::string(5000000, 'x'), {}, 413},
        {"/v1/keys", "", {}, 400},
        {"/v1/entries", "", {}, 405},
        {"/nothing", "", {}, 404},
    };
    for (const row& r : rows)
    {
      const auto answer = entry.post(r.path, r.body, r.headers);
      CPPUNIT_ASSERT_MESSAGE(r.path, answer.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(r.path + " " + r.body.substr(0, 40), r.status, answer->status);
    }
    CPPUNIT_ASSERT_EQUAL(0, agent.m_backend.total_runs());
  }

  // Guards against an unbounded queue: a request is refused at once if all slots are taken and the
  // queue is full.
  void full_agent_refuses_immediately()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine, 1, 0);
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    background_call first(entry, generate_path, prompt_of("first"));
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    const auto refused = entry.generate("second");
    CPPUNIT_ASSERT_EQUAL(429, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(*refused));
    CPPUNIT_ASSERT(!transport::find_header(refused->headers, "Retry-After").empty());
    CPPUNIT_ASSERT_EQUAL(0, agent.m_backend.runs("second"));
    agent.m_backend.m_paused = false;
    first.join();
    CPPUNIT_ASSERT_EQUAL(expected_stream("first"), first.body());
  }

  void deadline_in_queue_is_not_run()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine, 1, 4);
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    background_call first(entry, generate_path, prompt_of("first"));
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    const auto late = entry.generate("second", json::object(), {{"Pollenyoke-Deadline-Ms", "100"}});
    CPPUNIT_ASSERT_EQUAL(503, late->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(*late));
    agent.m_backend.m_paused = false;
    first.join();
    CPPUNIT_ASSERT_EQUAL(0, agent.m_backend.runs("second"));
  }

  void deadline_while_running_is_unknown()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    const auto late = entry.generate("slow", json::object(), {{"Pollenyoke-Deadline-Ms", "100"}});
    CPPUNIT_ASSERT_EQUAL(504, late->status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         json::parse(late->body).at("outcome").get<std::string>());
    // The deadline cancels the request at the engine too.
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 0; }));
  }

  void discovery_omits_a_leaving_entry()
  {
    test_entry entry({});
    transport::http_client client(entry.m_http->local_endpoint());
    const auto names = [&]
    {
      std::set<std::string> out;
      const json body = json::parse(client.send({.path = "/v1/entries"})->body);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{10000}, body.at("lifetime_ms").get<std::int64_t>());
      for (const json& item : body.at("entries"))
      {
        out.insert(item.at("host").get<std::string>());
      }
      return out;
    };
    entry.m_change_view = [](membership::member_view& view)
    {
      for (const std::string name : {"entry-2", "entry-3"})
      {
        membership::peer peer;
        peer.listed.host = {name};
        peer.listed.http = {"127.0.0.1", 9};
        peer.alive = true;
        peer.leaving = name == "entry-3";
        view.peers.push_back(peer);
      }
    };
    CPPUNIT_ASSERT(names() == std::set<std::string>({"entry-1", "entry-2"}));
    entry.m_leaving = true;
    CPPUNIT_ASSERT(names() == std::set<std::string>({"entry-2"}));
  }

  void entry_limits_requests_in_flight()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent}, {.max_in_flight = 1});
    agent.m_backend.m_paused = true;
    background_call first(entry, generate_path, prompt_of("first"));
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    CPPUNIT_ASSERT_EQUAL(429, entry.generate("second")->status);
    agent.m_backend.m_paused = false;
    first.join();
    CPPUNIT_ASSERT(first.m_complete);
  }

  // Guards against requests that are taken late in a planned stop and cut when the process ends.
  void request_that_may_outlast_a_planned_stop_is_refused()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    const auto now = std::chrono::steady_clock::now();
    const auto generate = [&entry](const std::string& deadline_ms)
    {
      return entry.generate("x", json::object(), {{"Pollenyoke-Deadline-Ms", deadline_ms}});
    };
    entry.m_forwarder->begin_stop(now + std::chrono::hours(1), now + std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(200, generate("60000")->status);
    entry.m_forwarder->begin_stop(now, now + std::chrono::seconds(30));
    CPPUNIT_ASSERT_EQUAL(200, generate("10000")->status);
    const auto refused = generate("60000");
    CPPUNIT_ASSERT_EQUAL(503, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(*refused));
  }

  // Guards against answers delivered to the wrong caller when many requests share connections.
  void many_requests_get_their_own_answers()
  {
    test_agent a("engine-1", "assistant", backend_kind::engine, 4, 64);
    test_agent b("engine-2", "assistant", backend_kind::engine, 4, 64);
    test_entry entry({&a, &b});
    constexpr int callers = 24;
    std::vector<std::unique_ptr<background_call>> calls;
    calls.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
      calls.push_back(std::make_unique<background_call>(
          entry, generate_path, prompt_of("caller-" + std::to_string(i), 8)));
    }
    for (int i = 0; i < callers; ++i)
    {
      calls[static_cast<std::size_t>(i)]->join();
      const std::string prompt = "caller-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(expected_stream(prompt, 8), calls[static_cast<std::size_t>(i)]->body());
      CPPUNIT_ASSERT_EQUAL(1, a.m_backend.runs(prompt) + b.m_backend.runs(prompt));
    }
    CPPUNIT_ASSERT(a.m_backend.m_max_running <= 4);
    CPPUNIT_ASSERT(b.m_backend.m_max_running <= 4);
  }
};

class recovery_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(recovery_test);
  CPPUNIT_TEST(closed_connection_resumes_the_stream);
  CPPUNIT_TEST(lost_frames_are_requested_again);
  CPPUNIT_TEST(stream_resumes_on_another_engine);
  CPPUNIT_TEST(truncated_stream_ends_with_an_error);
  CPPUNIT_TEST(service_call_is_not_repeated_after_a_crash);
  CPPUNIT_TEST(undispatched_service_call_is_retried_on_another_agent);
  CPPUNIT_TEST(restarted_agent_does_not_report_not_run);
  CPPUNIT_TEST(service_answer_survives_a_closed_connection);
  CPPUNIT_TEST(unresponsive_connection_is_replaced);
  CPPUNIT_TEST(leaving_agent_gets_no_new_requests);
  CPPUNIT_TEST(disconnected_caller_cancels_the_request);
  CPPUNIT_TEST(crashing_request_is_rejected_after_two_crashes);
  CPPUNIT_TEST(concurrent_requests_survive_a_crash);
  CPPUNIT_TEST(suspect_reports_are_broadcast_once);
  CPPUNIT_TEST(keyed_requests_are_redirected_to_the_owner);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a repeated run or a lost answer when the connection to the agent is replaced.
  void closed_connection_resumes_the_stream()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    agent.m_backend.m_pause_at_token = 2;
    agent.m_backend.m_paused = true;
    background_call call(entry, generate_path, prompt_of("cut", 6));
    CPPUNIT_ASSERT(wait_until([&] { return call.body().find("cut-1") != std::string::npos; }));
    agent.close_connections();
    agent.m_backend.m_paused = false;
    call.join();
    CPPUNIT_ASSERT(call.m_complete);
    CPPUNIT_ASSERT_EQUAL(expected_stream("cut", 6), call.body());
    CPPUNIT_ASSERT_EQUAL(1, agent.m_backend.runs("cut"));
  }

  void lost_frames_are_requested_again()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    agent.m_dropped_frame_types = {protocol::message_type::answer_head,
                                   protocol::message_type::answer_frame};
    CPPUNIT_ASSERT_EQUAL(expected_stream("gap", 6),
                         entry.generate("gap", {{"max_tokens", 6}})->body);
    CPPUNIT_ASSERT_EQUAL(1, agent.m_backend.runs("gap"));
  }

  // Guards against missing or repeated tokens where the second engine resumes the stream.
  void stream_resumes_on_another_engine()
  {
    test_agent a("engine-1", "assistant", backend_kind::engine);
    test_agent b("engine-2", "assistant", backend_kind::engine);
    test_entry entry({&a, &b});
    for (test_agent* agent : {&a, &b})
    {
      agent->m_backend.m_pause_at_token = 3;
      agent->m_backend.m_paused = true;
    }
    background_call call(entry, generate_path, prompt_of("long", 8));
    CPPUNIT_ASSERT(wait_until([&] { return call.body().find("long-2") != std::string::npos; }));
    test_agent& first = agent_that_ran(a, b);
    first.m_backend.crash();
    a.m_backend.m_paused = false;
    b.m_backend.m_paused = false;
    call.join();
    CPPUNIT_ASSERT(call.m_complete);
    CPPUNIT_ASSERT_EQUAL(expected_stream("long", 8), call.body());
    CPPUNIT_ASSERT_EQUAL(1, a.m_backend.runs("long"));
    CPPUNIT_ASSERT_EQUAL(1, b.m_backend.runs("long"));
  }

  void truncated_stream_ends_with_an_error()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    agent.m_backend.m_pause_at_token = 2;
    agent.m_backend.m_paused = true;
    background_call call(entry, generate_path, prompt_of("cut", 6));
    CPPUNIT_ASSERT(wait_until([&] { return call.body().find("cut-1") != std::string::npos; }));
    agent.m_backend.crash();
    call.join();
    CPPUNIT_ASSERT(!call.m_complete);
    const std::string body = call.body();
    const auto last = json::parse(body.substr(body.rfind('\n', body.size() - 2) + 1));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), last.at("outcome").get<std::string>());
    CPPUNIT_ASSERT(last.contains("error"));
  }

  // Guards against running a non-idempotent call twice.
  void service_call_is_not_repeated_after_a_crash()
  {
    test_agent a("desk-1", "booking", backend_kind::service);
    test_agent b("desk-2", "booking", backend_kind::service);
    test_entry entry({&a, &b});
    a.m_backend.m_paused = true;
    b.m_backend.m_paused = true;
    background_call call(entry, "/v1/services/booking/reserve", "crate-1");
    CPPUNIT_ASSERT(wait_until([&] { return a.m_backend.m_running + b.m_backend.m_running == 1; }));
    agent_that_ran(a, b).m_backend.crash();
    call.join();
    CPPUNIT_ASSERT_EQUAL(504, call.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), call.m_outcome);
    CPPUNIT_ASSERT_EQUAL(1, a.m_backend.total_runs() + b.m_backend.total_runs());
  }

  void undispatched_service_call_is_retried_on_another_agent()
  {
    test_agent a("desk-1", "booking", backend_kind::service);
    test_agent b("desk-2", "booking", backend_kind::service);
    test_entry entry({&a, &b});
    a.m_runner->set_leaving();
    for (int i = 0; i < 8; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200, entry.post("/v1/services/booking/reserve", "x")->status);
    }
    b.m_runner->set_leaving();
    const auto refused = entry.post("/v1/services/booking/reserve", "x");
    CPPUNIT_ASSERT_EQUAL(503, refused->status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome_of(*refused));
    CPPUNIT_ASSERT_EQUAL(0, a.m_backend.total_runs());
    CPPUNIT_ASSERT_EQUAL(8, b.m_backend.total_runs());
  }

  // Guards against a restarted agent that reports a request of its previous incarnation as not run.
  void restarted_agent_does_not_report_not_run()
  {
    test_agent agent("desk-1", "booking", backend_kind::service);
    test_agent other("desk-2", "booking", backend_kind::service);
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    background_call call(entry, "/v1/services/booking/reserve", "crate-1");
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    entry.set_agents({&agent, &other});
    agent.restart();
    call.join();
    CPPUNIT_ASSERT_EQUAL(504, call.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), call.m_outcome);
    CPPUNIT_ASSERT_EQUAL(1, agent.m_backend.total_runs());
    CPPUNIT_ASSERT_EQUAL(0, other.m_backend.total_runs());
  }

  void service_answer_survives_a_closed_connection()
  {
    test_agent agent("desk-1", "booking", backend_kind::service);
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    background_call call(entry, "/v1/services/booking/reserve", "crate-1");
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    agent.close_connections();
    agent.m_backend.m_paused = false;
    call.join();
    CPPUNIT_ASSERT_EQUAL(200, call.m_status);
    CPPUNIT_ASSERT_EQUAL(1, agent.m_backend.total_runs());
  }

  // Guards against requests that hang on a connection that stays open but forwards no data.
  void unresponsive_connection_is_replaced()
  {
    test_agent agent("desk-1", "booking", backend_kind::service);
    unresponsive_proxy proxy(agent.as_peer().listed.tcp);
    agent.m_proxy_address = proxy.address();
    test_entry entry({&agent});
    agent.m_backend.m_paused = true;
    background_call call(entry, "/v1/services/booking/reserve", "crate-1");
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 1; }));
    proxy.stop_forwarding();
    agent.m_backend.m_paused = false;
    // This request is sent over the unresponsive connection; the agent records its refusal before
    // the entry sends it elsewhere.
    const auto second = entry.post("/v1/services/booking/reserve", "crate-2");
    CPPUNIT_ASSERT(second.has_value());
    CPPUNIT_ASSERT(second->status == 200 || outcome_of(*second) == "not-run");
    call.join();
    CPPUNIT_ASSERT_EQUAL(200, call.m_status);
    CPPUNIT_ASSERT_EQUAL(1, agent.m_backend.runs("\"crate-1\""));
    CPPUNIT_ASSERT_EQUAL(second->status == 200 ? 1 : 0, agent.m_backend.runs("crate-2"));
  }

  // Guards against a planned stop that interrupts a running request or admits a new one.
  void leaving_agent_gets_no_new_requests()
  {
    test_agent a("engine-1", "assistant", backend_kind::engine);
    test_agent b("engine-2", "assistant", backend_kind::engine);
    test_entry entry({&a});
    a.m_backend.m_paused = true;
    background_call running(entry, generate_path, prompt_of("running"));
    CPPUNIT_ASSERT(wait_until([&] { return a.m_backend.m_running == 1; }));
    entry.set_agents({&a, &b});
    a.m_runner->set_leaving();
    CPPUNIT_ASSERT_EQUAL(expected_stream("new"), entry.generate("new")->body);
    CPPUNIT_ASSERT_EQUAL(0, a.m_backend.runs("new"));
    CPPUNIT_ASSERT(!a.m_runner->drain(std::chrono::milliseconds(1)));
    a.m_backend.m_paused = false;
    running.join();
    CPPUNIT_ASSERT_EQUAL(expected_stream("running"), running.body());
    CPPUNIT_ASSERT(a.m_runner->drain(test_timeout));
  }

  void disconnected_caller_cancels_the_request()
  {
    test_agent agent("engine-1", "assistant", backend_kind::engine);
    test_entry entry({&agent});
    agent.m_backend.m_pause_at_token = 1;
    agent.m_backend.m_paused = true;
    {
      transport::http_client client(entry.m_http->local_endpoint());
      const auto answer = client.send_streaming(
          {.method = "POST", .path = generate_path, .body = prompt_of("gone", 1000000).dump()},
          [](int, const transport::http_headers&) { return true; },
          [](std::string_view) { return false; });
      CPPUNIT_ASSERT(!answer);
    }
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_cancelled == 1; }));
    CPPUNIT_ASSERT(wait_until([&] { return agent.m_backend.m_running == 0; }));
    CPPUNIT_ASSERT(wait_until([&] { return entry.m_forwarder->in_flight() == 0; }));
  }

  // Guards against a request that is retried on, and crashes, one engine after another.
  void crashing_request_is_rejected_after_two_crashes()
  {
    test_agent a("engine-1", "assistant", backend_kind::engine);
    test_agent b("engine-2", "assistant", backend_kind::engine);
    test_agent c("engine-3", "assistant", backend_kind::engine);
    test_entry entry({&a, &b, &c});
    for (int i = 0; i < 5; ++i)
    {
      background_call call(entry, generate_path, prompt_of("CRASH"));
      call.join();
      CPPUNIT_ASSERT(!call.m_complete || call.m_status == 422);
      if (i > 0)
      {
        CPPUNIT_ASSERT_EQUAL(422, call.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("rejected"), call.m_outcome);
      }
    }
    const int crashes = a.m_backend.m_crashes + b.m_backend.m_crashes + c.m_backend.m_crashes;
    CPPUNIT_ASSERT_EQUAL(2, crashes);
    CPPUNIT_ASSERT_EQUAL(expected_stream("fine"), entry.generate("fine")->body);
  }

  void concurrent_requests_survive_a_crash()
  {
    test_agent a("engine-1", "assistant", backend_kind::engine, 8);
    test_agent b("engine-2", "assistant", backend_kind::engine, 8);
    test_entry entry({&a, &b});
    a.m_backend.m_pause_at_token = 2;
    b.m_backend.m_pause_at_token = 2;
    a.m_backend.m_paused = true;
    b.m_backend.m_paused = true;
    std::vector<std::unique_ptr<background_call>> concurrent;
    concurrent.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
      concurrent.push_back(std::make_unique<background_call>(
          entry, generate_path, prompt_of("innocent-" + std::to_string(i), 6)));
    }
    CPPUNIT_ASSERT(wait_until([&] { return a.m_backend.m_running + b.m_backend.m_running == 8; }));
    background_call crashing(entry, generate_path, prompt_of("CRASH", 6));
    CPPUNIT_ASSERT(wait_until([&] { return a.m_backend.m_crashes + b.m_backend.m_crashes >= 1; }));
    a.m_backend.m_paused = false;
    b.m_backend.m_paused = false;
    crashing.join();
    for (int i = 0; i < 8; ++i)
    {
      auto& call = *concurrent[static_cast<std::size_t>(i)];
      call.join();
      CPPUNIT_ASSERT_EQUAL(expected_stream("innocent-" + std::to_string(i), 6), call.body());
    }
    CPPUNIT_ASSERT(a.m_backend.m_crashes + b.m_backend.m_crashes <= 2);
    CPPUNIT_ASSERT_EQUAL(422, entry.generate("CRASH", {{"max_tokens", 6}})->status);
  }

  // Guards against suspect reports that circulate between entries.
  void suspect_reports_are_broadcast_once()
  {
    int broadcasts = 0;
    entry::suspect_exchange exchange([&](const transport::frame&) { ++broadcasts; });
    const protocol::suspect_report report{
        .crash = {1, 2}, .agent = {"engine-1"}, .running = {sha256("x")}};
    exchange.handle_report(report, false);
    exchange.handle_report(report, false);
    exchange.handle_report({.crash = {1, 3}, .agent = {"engine-2"}, .running = {}}, true);
    CPPUNIT_ASSERT_EQUAL(1, broadcasts);
    CPPUNIT_ASSERT(exchange.verdict(sha256("x")) == routing::suspect_verdict::run_alone);
  }

  void keyed_requests_are_redirected_to_the_owner()
  {
    test_agent a("desk-1", "booking", backend_kind::service);
    test_agent b("desk-2", "booking", backend_kind::service);
    test_entry entry({&a, &b});
    const auto post = [&](const std::string& key)
    {
      return entry.post("/v1/services/booking/reserve", "crate", {{"Idempotency-Key", key}});
    };
    a.m_key_decisions["k1"] = {.reason = protocol::refusal_reason::not_owner, .owner = {"desk-2"}};
    for (int i = 0; i < 6; ++i)
    {
      CPPUNIT_ASSERT_EQUAL(200, post("k1")->status);
    }
    CPPUNIT_ASSERT_EQUAL(0, a.m_backend.total_runs());
    CPPUNIT_ASSERT_EQUAL(std::string("finished k1 200"), b.m_key_events.at(0));
    for (test_agent* agent : {&a, &b})
    {
      agent->m_key_decisions["k2"] = {.reason = protocol::refusal_reason::key_conflict};
      agent->m_key_decisions["k3"] = {.action = keys::key_action::unknown};
      agent->m_key_decisions["k4"] = {.action = keys::key_action::unknown,
                                      .failure = protocol::failure_kind::key_already_ran};
      agent->m_key_decisions["k5"] = {.action = keys::key_action::replay,
                                      .response = {201, {}, "text/plain", "kept"}};
      agent->m_key_decisions["k6"] = {.reason = protocol::refusal_reason::not_owner};
    }
    CPPUNIT_ASSERT_EQUAL(422, post("k2")->status);
    CPPUNIT_ASSERT_EQUAL(504, post("k3")->status);
    CPPUNIT_ASSERT_EQUAL(410, post("k4")->status);
    CPPUNIT_ASSERT_EQUAL(201, post("k5")->status);
    CPPUNIT_ASSERT_EQUAL(std::string("kept"), post("k5")->body);
    CPPUNIT_ASSERT_EQUAL(503, post("k6")->status);
    CPPUNIT_ASSERT_EQUAL(6, b.m_backend.total_runs());
    const auto minted = entry.post("/v1/keys?service=booking", "");
    CPPUNIT_ASSERT_EQUAL(200, minted->status);
    CPPUNIT_ASSERT(json::parse(minted->body).at("key").get<std::string>().starts_with("key-of-"));
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_path_test, "RequestPath");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(recovery_test, "RequestRecovery");

} // namespace
