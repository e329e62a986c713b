#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Agent/AttemptTable.h"
#include "Agent/BackendCaller.h"
#include "Agent/RequestRunner.h"
#include "Protocol/Codec.h"
#include "Transport/HttpServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::agent;
using nlohmann::json;
using protocol::message_type;
using protocol::refusal_reason;

constexpr std::chrono::seconds patience{30};
constexpr transport::connection_id entry_a = 1;
constexpr transport::connection_id entry_b = 2;
const incarnation_id self{77};

/// A runner in front of a plain service whose calls wait until the test lets them go.
class runner_fixture
{
public:
  explicit runner_fixture(std::uint32_t slots = 1, std::uint32_t queue = 2)
  {
    auto server = transport::http_server::start({.listen = {"127.0.0.1", 0}},
                                                [this](const transport::http_request& request)
                                                {
                                                  std::unique_lock lock(m_mutex);
                                                  m_calls.push_back(request.body);
                                                  m_changed.notify_all();
                                                  m_changed.wait(lock, [this] { return m_open; });
                                                  transport::http_response response;
                                                  response.body = "answer to " + request.body;
                                                  return response;
                                                });
    CPPUNIT_ASSERT(server.has_value());
    m_server = std::move(*server);
    m_settings.role = protocol::process_role::agent;
    m_settings.host = {"desk-1"};
    m_settings.service = "booking";
    m_settings.requests.queue = queue;
    m_settings.backend = protocol::backend_settings{m_server->local_endpoint(),
                                                    protocol::backend_kind::service, slots};
    m_runner = std::make_unique<request_runner>(m_settings, self, environment(), m_metrics);
  }
  ~runner_fixture()
  {
    release();
    m_runner->stop();
    m_server->stop();
  }
  runner_fixture(const runner_fixture&) = delete;
  runner_fixture& operator=(const runner_fixture&) = delete;
  runner_fixture(runner_fixture&&) = delete;
  runner_fixture& operator=(runner_fixture&&) = delete;

  template <typename Message>
  bool give(transport::connection_id from, const Message& message)
  {
    return m_runner->handle_frame(from, protocol::encode(message));
  }
  protocol::attempt_id open(std::uint64_t number, const std::string& body,
                            const std::string& team = "a", const std::string& key = {})
  {
    const protocol::attempt_id id{{0, number}, 1};
    give(entry_a, protocol::request_open{.id = id,
                                         .service = "booking",
                                         .idempotent = false,
                                         .key = key,
                                         .team = team,
                                         .method = "POST",
                                         .path = "reserve",
                                         .body = body});
    return id;
  }
  void release()
  {
    const std::lock_guard lock(m_mutex);
    m_open = true;
    m_changed.notify_all();
  }
  template <typename Predicate>
  bool wait(Predicate predicate)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, patience, predicate);
  }
  bool wait_calls(std::size_t count)
  {
    return wait([&] { return m_calls.size() == count; });
  }

  /// The last message of a type sent for an attempt over a connection.
  template <typename Message>
  std::optional<Message> sent(transport::connection_id to, const protocol::attempt_id& id)
  {
    std::optional<Message> out;
    const std::lock_guard lock(m_mutex);
    for (const auto& [connection, frame] : m_sent)
    {
      if (connection == to && protocol::type_of(frame) == Message::type)
      {
        const auto message = protocol::decode<Message>(frame);
        if (message->id == id)
        {
          out = *message;
        }
      }
    }
    return out;
  }
  template <typename Message>
  bool wait_sent(transport::connection_id to, const protocol::attempt_id& id)
  {
    return wait([&] { return sent<Message>(to, id).has_value(); });
  }

  /// Recursive, since predicates that wait() checks under the lock also look for messages.
  std::recursive_mutex m_mutex;
  std::condition_variable_any m_changed;
  std::vector<std::string> m_calls;
  std::vector<std::pair<transport::connection_id, transport::frame>> m_sent;
  std::vector<std::string> m_key_events;
  std::vector<transport::connection_id> m_closed;
  std::unique_ptr<transport::http_server> m_server;
  std::unique_ptr<request_runner> m_runner;

private:
  void note_key(std::string event)
  {
    const std::lock_guard lock(m_mutex);
    m_key_events.push_back(std::move(event));
    m_changed.notify_all();
  }

  runner_environment environment()
  {
    runner_environment out;
    out.send = [this](transport::connection_id to, const transport::frame& message)
    {
      const std::lock_guard lock(m_mutex);
      m_sent.emplace_back(to, message);
      m_changed.notify_all();
      return true;
    };
    out.close = [this](transport::connection_id connection)
    {
      m_closed.push_back(connection);
    };
    out.begin_key =
        [](const std::string&, const digest&, const keys::key_owner::decision_callback& decided)
    {
      decided({.action = keys::key_action::run});
    };
    out.key_finished = [this](const std::string& key, const keys::stored_response& answer)
    {
      note_key("finished " + key + ": " + answer.body);
    };
    out.key_failed = [this](const std::string& key)
    {
      note_key("failed " + key);
    };
    out.key_not_dispatched = [this](const std::string& key)
    {
      note_key("not_dispatched " + key);
    };
    return out;
  }

  bool m_open = false;
  protocol::settings m_settings;
  metrics_registry m_metrics;
};

class runner_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(runner_test);
  CPPUNIT_TEST(query_before_the_request_forbids_the_run);
  CPPUNIT_TEST(second_copy_does_not_run);
  CPPUNIT_TEST(outcome_follows_the_request);
  CPPUNIT_TEST(probe_tells_the_incarnation);
  CPPUNIT_TEST(full_queue_refuses);
  CPPUNIT_TEST(cancelled_request_does_not_run);
  CPPUNIT_TEST(keys_are_given_back_when_not_dispatched);
  CPPUNIT_TEST(answer_moves_to_a_new_connection);
  CPPUNIT_TEST(unreachable_service_means_not_run);
  CPPUNIT_TEST(leaving_runner_drains);
  CPPUNIT_TEST(malformed_message_closes_the_connection);
  CPPUNIT_TEST_SUITE_END();

  // Guards against "not run" for a request whose copy is still on its way.
  void query_before_the_request_forbids_the_run()
  {
    runner_fixture f;
    f.release();
    const protocol::attempt_id id{{0, 1}, 1};
    f.give(entry_b, protocol::outcome_query{.id = id});
    CPPUNIT_ASSERT(f.sent<protocol::outcome_reply>(entry_b, id)->outcome ==
                   protocol::request_outcome::not_run);
    f.open(1, "late");
    CPPUNIT_ASSERT(f.wait_sent<protocol::request_refused>(entry_a, id));
    f.open(2, "other");
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, {{0, 2}, 1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.m_calls.size());
  }

  void second_copy_does_not_run()
  {
    runner_fixture f;
    f.release();
    const auto id = f.open(1, "once");
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, id));
    f.open(1, "once");
    f.give(entry_a, protocol::answer_ack{.id = id});
    f.open(1, "once");
    f.open(2, "other");
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, {{0, 2}, 1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.m_calls.size());
  }

  void outcome_follows_the_request()
  {
    runner_fixture f;
    const auto id = f.open(1, "x");
    CPPUNIT_ASSERT(f.wait_calls(1));
    f.give(entry_a, protocol::outcome_query{.id = id});
    CPPUNIT_ASSERT(f.sent<protocol::outcome_reply>(entry_a, id)->outcome ==
                   protocol::request_outcome::running);
    f.release();
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, id));
    f.give(entry_a, protocol::outcome_query{.id = id});
    CPPUNIT_ASSERT(f.sent<protocol::outcome_reply>(entry_a, id)->outcome ==
                   protocol::request_outcome::answered);
  }

  void probe_tells_the_incarnation()
  {
    runner_fixture f;
    f.give(entry_a, protocol::outcome_query{});
    CPPUNIT_ASSERT(f.sent<protocol::outcome_reply>(entry_a, {})->incarnation == self);
    CPPUNIT_ASSERT(f.m_runner->drain(std::chrono::milliseconds(0)));
  }

  void full_queue_refuses()
  {
    runner_fixture f(1, 2);
    f.open(1, "running");
    CPPUNIT_ASSERT(f.wait_calls(1));
    f.open(2, "waiting");
    f.open(3, "waiting");
    const auto id = f.open(4, "too many");
    const auto refusal = f.sent<protocol::request_refused>(entry_a, id);
    CPPUNIT_ASSERT(refusal && refusal->reason == refusal_reason::overloaded);
    CPPUNIT_ASSERT(refusal->retry_after_ms > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, f.m_runner->in_flight());
    // A team without waiting requests gets the place of the team with two.
    f.open(5, "small team", "b");
    CPPUNIT_ASSERT(f.sent<protocol::request_refused>(entry_a, {{0, 3}, 1}).has_value());
    f.release();
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, {{0, 5}, 1}));
  }

  void cancelled_request_does_not_run()
  {
    runner_fixture f;
    f.open(1, "running");
    CPPUNIT_ASSERT(f.wait_calls(1));
    const auto id = f.open(2, "waiting", "a", "key-2");
    f.give(entry_a, protocol::cancel{.id = id});
    CPPUNIT_ASSERT(f.wait_sent<protocol::request_refused>(entry_a, id));
    CPPUNIT_ASSERT(f.wait([&] { return !f.m_key_events.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("not_dispatched key-2"), f.m_key_events[0]);
    f.release();
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, {{0, 1}, 1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.m_calls.size());
  }

  // Guards against keys that stay claimed by a request which never ran.
  void keys_are_given_back_when_not_dispatched()
  {
    runner_fixture f(1, 1);
    f.open(1, "running", "a", "key-1");
    CPPUNIT_ASSERT(f.wait_calls(1));
    f.open(2, "waiting", "a", "key-2");
    f.open(3, "refused", "a", "key-3");
    CPPUNIT_ASSERT(f.wait([&] { return !f.m_key_events.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("not_dispatched key-3"), f.m_key_events[0]);
    f.release();
    CPPUNIT_ASSERT(f.wait([&] { return f.m_key_events.size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string("finished key-1: answer to running"), f.m_key_events[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("finished key-2: answer to waiting"), f.m_key_events[2]);
  }

  void answer_moves_to_a_new_connection()
  {
    runner_fixture f;
    const auto id = f.open(1, "x");
    CPPUNIT_ASSERT(f.wait_calls(1));
    f.m_runner->handle_closed(entry_a);
    f.release();
    CPPUNIT_ASSERT(!f.m_runner->drain(std::chrono::milliseconds(50)));
    f.give(entry_b, protocol::resume_answer{.id = id});
    CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_b, id));
    CPPUNIT_ASSERT_EQUAL(std::string("answer to x"),
                         f.sent<protocol::answer_frame>(entry_b, id)->data);
    f.give(entry_b, protocol::answer_ack{.id = id});
    CPPUNIT_ASSERT(f.m_runner->drain(patience));
  }

  void unreachable_service_means_not_run()
  {
    runner_fixture f;
    f.m_server->stop();
    const auto id = f.open(1, "x", "a", "key");
    CPPUNIT_ASSERT(f.wait_sent<protocol::request_refused>(entry_a, id));
    CPPUNIT_ASSERT_EQUAL(std::string("not_dispatched key"), f.m_key_events.at(0));
  }

  void leaving_runner_drains()
  {
    runner_fixture f;
    const auto running = f.open(1, "running");
    CPPUNIT_ASSERT(f.wait_calls(1));
    const auto waiting = f.open(2, "waiting");
    f.m_runner->set_leaving();
    const auto late = f.open(3, "late");
    CPPUNIT_ASSERT(f.sent<protocol::request_refused>(entry_a, late)->reason ==
                   refusal_reason::leaving);
    f.release();
    for (const auto& id : {running, waiting})
    {
      CPPUNIT_ASSERT(f.wait_sent<protocol::answer_end>(entry_a, id));
      f.give(entry_a, protocol::answer_ack{.id = id});
    }
    CPPUNIT_ASSERT(f.m_runner->drain(patience));
  }

  void malformed_message_closes_the_connection()
  {
    runner_fixture f;
    const transport::frame broken{static_cast<std::uint8_t>(message_type::request_open),
                                  {std::byte{255}, std::byte{1}}};
    CPPUNIT_ASSERT(f.m_runner->handle_frame(entry_b, broken));
    CPPUNIT_ASSERT_EQUAL(entry_b, f.m_closed.at(0));
    CPPUNIT_ASSERT(!f.give(entry_a, protocol::hello{}));
  }
};

class attempt_table_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(attempt_table_test);
  CPPUNIT_TEST(answers_are_kept_within_bounds);
  CPPUNIT_TEST(old_attempts_are_forgotten);
  CPPUNIT_TEST(token_stream_accepts_only_whole_streams);
  CPPUNIT_TEST_SUITE_END();

  // Guards against memory that grows with answers which no entry acknowledges.
  void answers_are_kept_within_bounds()
  {
    attempt_table table({.answer_bytes = 100, .total_bytes = 250});
    const attempt::time_point now{std::chrono::seconds(1)};
    std::vector<attempt_ptr> attempts;
    for (std::uint64_t i = 0; i < 5; ++i)
    {
      attempts.push_back(table.add({.id = {{0, i}, 1}}, entry_a, now));
      for (int frame = 0; frame < 8; ++frame)
      {
        table.append(attempts.back(), std::string(30, 'x'));
      }
      CPPUNIT_ASSERT(attempts.back()->kept_bytes <= 100);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, attempts.back()->next_sequence());
      table.end(attempts.back(), attempt_phase::answered, now);
      CPPUNIT_ASSERT(table.kept_bytes() <= 250);
    }
    CPPUNIT_ASSERT(attempts.front()->frames.empty());
    CPPUNIT_ASSERT(!attempts.back()->frames.empty());
    table.acknowledge(attempts.back());
    CPPUNIT_ASSERT(attempts.back()->frames.empty());
  }

  void old_attempts_are_forgotten()
  {
    attempt_table table({.remembered = 3});
    const attempt::time_point now{std::chrono::seconds(1)};
    for (std::uint64_t i = 0; i < 5; ++i)
    {
      const auto added = table.add({.id = {{0, i}, 1}}, entry_a, now);
      table.refuse(added, {.id = added->open.id}, now);
    }
    table.forget_old(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.size());
    CPPUNIT_ASSERT(table.find({{0, 4}, 1}) != nullptr);
    table.forget_old(now + std::chrono::seconds(121));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
    CPPUNIT_ASSERT(table.idle());
  }

  void token_stream_accepts_only_whole_streams()
  {
    const auto line = [](int i)
    {
      return json{{"i", i}, {"token", "t"}}.dump() + "\n";
    };
    const auto end = [](int n)
    {
      return json{{"end", true}, {"tokens", n}}.dump() + "\n";
    };
    struct row
    {
      std::string input;
      std::uint32_t resume_from;
      bool complete;
      bool broken;
    };
    for (const row& r : std::vector<row>{{line(0) + line(1) + end(2), 0, true, false},
                                         {line(5) + end(6), 5, true, false},
                                         {line(5) + end(1), 5, true, false},
                                         {line(0) + line(1), 0, false, false},
                                         {line(0) + line(2), 0, false, true},
                                         {line(0) + end(2), 0, false, true},
                                         {line(0) + end(1) + line(1), 0, true, true},
                                         {"garbage\n", 0, false, true},
                                         {std::string(70000, 'x'), 0, false, true}})
    {
      token_stream bytewise(r.resume_from);
      std::string lines;
      for (const char c : r.input)
      {
        lines += bytewise.add(std::string_view(&c, 1));
      }
      CPPUNIT_ASSERT_EQUAL(r.complete, bytewise.complete());
      CPPUNIT_ASSERT_EQUAL(r.broken, bytewise.broken());
      token_stream at_once(r.resume_from);
      CPPUNIT_ASSERT_EQUAL(lines, at_once.add(r.input));
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(runner_test, "RequestRunner");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(attempt_table_test, "AttemptTable");

} // namespace
