#include <array>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "UnitTests/Gateway/GatewayFixture.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a caller reads; by default at about 1 MB/s.
struct reading_habits
{
  std::size_t bytes_per_turn = 12288;
  /// Stops reading once it has begun to.
  milliseconds pause{0};
};

/// A caller that reads its answer slowly, and closes when it has all of it or the gateway ends the
/// connection.
class slow_caller
{
public:
  slow_caller(async_io::event_loop& loop, std::uint16_t port, const std::string& request,
              const reading_habits& habits = {})
      : m_timer(loop), m_socket(::socket(AF_INET, SOCK_STREAM, 0)), m_habits(habits)
  {
    const int receive_bytes = 65536;
    CPPUNIT_ASSERT_EQUAL(
        0, ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes)));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(request.size()),
                         ::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL));
    CPPUNIT_ASSERT_EQUAL(0, ::fcntl(m_socket, F_SETFL, O_NONBLOCK));
    read();
  }
  ~slow_caller()
  {
    ::close(m_socket);
  }
  slow_caller(const slow_caller&) = delete;
  slow_caller& operator=(const slow_caller&) = delete;
  slow_caller(slow_caller&&) = delete;
  slow_caller& operator=(slow_caller&&) = delete;

  bool has_ended() const
  {
    return m_ended;
  }
  bool has_whole_answer() const
  {
    return m_parser.is_complete();
  }
  const std::string& body() const
  {
    return m_body;
  }
  void send(std::string_view data)
  {
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(data.size()),
                         ::send(m_socket, data.data(), data.size(), MSG_NOSIGNAL));
  }
  void end_sending()
  {
    CPPUNIT_ASSERT_EQUAL(0, ::shutdown(m_socket, SHUT_WR));
  }
  /// Reads as fast as bytes come from now on.
  void hurry()
  {
    m_habits.bytes_per_turn = m_buffer.size();
  }

private:
  static constexpr milliseconds read_interval{10};

  void read()
  {
    const ssize_t received = ::recv(m_socket, m_buffer.data(), m_habits.bytes_per_turn, 0);
    if (received > 0)
    {
      m_parser.feed({m_buffer.data(), static_cast<std::size_t>(received)});
      m_body += m_parser.take_body();
      // The first event is small; what follows fills the buffers.
      if (received > 1024 && m_habits.pause > milliseconds(0))
      {
        m_timer.start(std::exchange(m_habits.pause, milliseconds(0)), [this] { read(); });
        return;
      }
    }
    m_ended = m_parser.is_complete() || received == 0 || (received < 0 && errno != EAGAIN);
    if (m_ended)
    {
      ::shutdown(m_socket, SHUT_WR);
      return;
    }
    m_timer.start(read_interval, [this] { read(); });
  }

  async_io::timer m_timer;
  int m_socket;
  reading_habits m_habits;
  std::array<char, 131072> m_buffer{};
  async_io::http_parser m_parser{async_io::message_kind::response, {65536, 16U << 20U}};
  std::string m_body;
  bool m_ended = false;
};

/// A gateway in a thread of its own. When its stop is complete, everything that it holds ends, as
/// it would with the process.
class gateway_process
{
public:
  gateway_process(const protocol::node_settings& settings, const protocol::serving_config& config,
                  const protocol::backend_entry& server)
      : m_thread([this, &settings, config, server] { run(settings, config, server); })
  {
    m_port = m_port_promise.get_future().get();
  }
  ~gateway_process()
  {
    if (!m_stopping)
    {
      m_loop->post([this] { m_loop->stop(); });
    }
    m_thread.join();
  }
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;
  gateway_process(gateway_process&&) = delete;
  gateway_process& operator=(gateway_process&&) = delete;

  std::uint16_t port() const
  {
    return m_port;
  }
  bool has_ended() const
  {
    return m_ended;
  }
  void stop()
  {
    m_stopping = true;
    m_loop->post([this] { m_gateway->stop([this] { m_loop->stop(); }); });
  }

private:
  void run(const protocol::node_settings& settings, const protocol::serving_config& config,
           const protocol::backend_entry& server)
  {
    async_io::event_loop loop;
    gateway::gateway gateway(loop, settings,
                             {[] { return 1; },
                              []
                              {
                                return 1;
                              }},
                             [](const std::string&, std::uint32_t) {});
    CPPUNIT_ASSERT(gateway.listen({"127.0.0.1", 0}));
    gateway.set_config(config);
    gateway.put_backend(server);
    m_loop = &loop;
    m_gateway = &gateway;
    m_port_promise.set_value(gateway.port());
    loop.run();
    m_ended = true;
  }

  async_io::event_loop* m_loop = nullptr;
  gateway::gateway* m_gateway = nullptr;
  std::promise<std::uint16_t> m_port_promise;
  std::uint16_t m_port = 0;
  bool m_stopping = false;
  std::atomic<bool> m_ended = false;
  std::thread m_thread;
};

/// What callers get from an entry that is about to end.
class planned_stop_test : public gateway_fixture
{
  CPPUNIT_TEST_SUITE(planned_stop_test);
  CPPUNIT_TEST(last_answer_reaches_a_slow_caller);
  CPPUNIT_TEST(process_outlasts_the_answers_that_it_still_sends);
  CPPUNIT_TEST(connection_is_not_idle_before_its_answer_is_sent);
  CPPUNIT_TEST(idle_timeout_does_not_cut_an_answer);
  CPPUNIT_TEST(request_that_may_outlast_the_process_is_refused);
  CPPUNIT_TEST(request_without_an_answer_at_the_end_gets_one);
  CPPUNIT_TEST(request_with_half_a_body_at_the_end_is_refused);
  CPPUNIT_TEST(pipelined_request_is_answered_before_the_connection_closes);
  CPPUNIT_TEST(pipelined_body_does_not_cut_the_request_in_progress);
  CPPUNIT_TEST(caller_that_has_ended_its_sending_side_gets_its_answer);
  CPPUNIT_TEST(caller_that_stops_reading_for_a_while_gets_its_answer);
  CPPUNIT_TEST(bytes_behind_the_last_request_do_not_cut_its_answer);
  CPPUNIT_TEST(age_of_the_signal_counts);
  CPPUNIT_TEST(connection_that_is_not_accepted_yet_gets_an_answer);
  CPPUNIT_TEST_SUITE_END();

  // More than the socket buffers hold, less than what the gateway keeps for a slow caller.
  static constexpr std::size_t event_bytes = 16384;
  static constexpr std::size_t event_count = 430;

  std::unique_ptr<slow_caller> m_slow_caller;
  bool m_stopped = false;

  static std::string make_event(std::size_t id, std::size_t bytes)
  {
    return "id: " + std::to_string(id) + "\ndata: " + std::string(bytes, 'e') + "\n\n";
  }

  static std::string make_events()
  {
    std::string out;
    for (std::size_t id = 2; id <= event_count; ++id)
    {
      out += make_event(id, event_bytes);
    }
    return out;
  }

  void run_for(milliseconds time)
  {
    m_poll_timer.start(time, [this] { m_loop.stop(); });
    m_loop.run();
  }

  /// The slow caller sends a request; the server answers with the first event only.
  void request_stream(std::uint16_t port, const std::string& extra_fields,
                      const reading_habits& habits = {})
  {
    script_all({{stream_head("r1") + encode_chunk(make_event(1, 1))}});
    m_slow_caller = std::make_unique<slow_caller>(m_loop, port,
                                                  request("/stream/a", "r1", extra_fields), habits);
    run_until([this] { return total_requests() == 1; });
    run_for(milliseconds(200));
  }

  void end_stream()
  {
    m_servers.front()->write(encode_chunk(make_events()) + "0\r\n\r\n");
  }

  void stop()
  {
    m_gateway->stop([this] { m_stopped = true; });
  }

  void check_whole_answer()
  {
    run_until([this] { return m_slow_caller->has_ended(); });
    CPPUNIT_ASSERT(m_slow_caller->has_whole_answer());
    CPPUNIT_ASSERT(make_event(1, 1) + make_events() == m_slow_caller->body());
  }

public:
  void tearDown() override
  {
    m_slow_caller = nullptr;
    gateway_fixture::tearDown();
  }

  /// Guards against connections that are closed a fixed time after the last byte was queued,
  /// however much the caller has yet to receive.
  void last_answer_reaches_a_slow_caller()
  {
    request_stream(m_gateway->port(), "Connection: close\r\n");
    end_stream();
    check_whole_answer();
  }

  /// Guards against a process that ends while the end of an answer is still queued.
  void process_outlasts_the_answers_that_it_still_sends()
  {
    m_settings.stop_grace = seconds(60);
    gateway_process process(m_settings, make_config(),
                            {.id = "s1",
                             .service = "desk",
                             .address = {"127.0.0.1", m_servers.front()->port()},
                             .slots = 4});
    request_stream(process.port(), "Connection: close\r\n");
    process.stop();
    run_for(milliseconds(3000));
    end_stream();
    check_whole_answer();
    run_until([&process] { return process.has_ended(); });
  }

  /// Guards against a kept connection that counts as idle, and is closed, while the end of its
  /// answer is still queued. The head of the answer was sent before the stop and promised to keep
  /// the connection.
  void connection_is_not_idle_before_its_answer_is_sent()
  {
    m_settings.stop_grace = seconds(60);
    request_stream(m_gateway->port(), "");
    stop();
    run_for(milliseconds(3000));
    end_stream();
    check_whole_answer();
    run_until([this] { return m_stopped; });
  }

  /// Guards against the same cause outside a stop: the idle time of a kept connection begins while
  /// its last answer is still queued.
  void idle_timeout_does_not_cut_an_answer()
  {
    auto config = make_config();
    config.version = 2;
    config.limits.idle_timeout = milliseconds(500);
    m_gateway->set_config(std::move(config));
    request_stream(m_gateway->port(), "");
    end_stream();
    check_whole_answer();
  }

  /// Guards against requests that are taken late in a planned stop and cut when the process ends.
  void request_that_may_outlast_the_process_is_refused()
  {
    m_settings.stop_grace = seconds(12);
    auto config = make_config();
    config.version = 2;
    config.limits.head_timeout = seconds(60);
    m_gateway->set_config(std::move(config));
    bool connected = false;
    m_caller = async_io::tcp_connection::make(m_loop);
    m_caller->connect({"127.0.0.1", m_gateway->port()}, seconds(10),
                      [this, &connected](const result<void>& outcome)
                      {
                        CPPUNIT_ASSERT(outcome);
                        m_caller->start([this](std::string_view data) { m_received.append(data); },
                                        [this](async_io::close_reason) { m_ended = true; });
                        connected = true;
                      });
    run_until([&connected] { return connected; });
    // A connection on which a request has begun stays open.
    const std::string whole = request("/once/a", "r1");
    m_caller->write(whole.substr(0, whole.size() / 2));
    run_for(milliseconds(100));
    stop();
    run_for(milliseconds(3000));
    m_caller->write(whole.substr(whole.size() / 2));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(503U, reply.head.status);
    CPPUNIT_ASSERT(reply.head.find("Retry-After") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *reply.head.find("Connection"));
    run_until([this] { return m_stopped; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }

  /// Guards against connections that are closed without an answer when the process ends.
  void request_without_an_answer_at_the_end_gets_one()
  {
    m_settings.stop_grace = seconds(2);
    send(request("/once/a", "r1"));
    run_until([this] { return total_requests() == 1; });
    stop();
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(502U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *reply.head.find("Connection"));
    run_until([this] { return m_stopped; });
  }

  /// The same for a request that the process has not read whole: it has not run.
  void request_with_half_a_body_at_the_end_is_refused()
  {
    m_settings.stop_grace = seconds(2);
    const std::string whole = request("/once/a", "r1", "", std::string(100, 'b'));
    send(whole.substr(0, whole.size() - 50));
    run_for(milliseconds(200));
    stop();
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(503U, reply.head.status);
    run_until([this] { return m_stopped; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }

  /// Guards against requests that were read behind the one in progress and are dropped when its
  /// answer says that the connection closes.
  void pipelined_request_is_answered_before_the_connection_closes()
  {
    send(request("/safe/a", "r1") + request("/safe/b", "r2"));
    run_until([this] { return total_requests() == 1; });
    stop();
    m_servers.front()->script = {{signed_response("r2", "second")}};
    m_servers.front()->write(signed_response("r1", "first"));
    CPPUNIT_ASSERT_EQUAL(std::string("first"), wait_for_response().body);
    const auto second = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(std::string("second"), second.body);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), *second.head.find("Connection"));
  }

  /// Guards against a limit on pipelined bytes that ends the connection, and with it the request in
  /// progress.
  void pipelined_body_does_not_cut_the_request_in_progress()
  {
    const std::string body(300000, 'b');
    send(request("/safe/a", "r1"));
    run_until([this] { return total_requests() == 1; });
    send(request("/safe/b", "r2", "", body));
    run_for(milliseconds(300));
    m_servers.front()->script = {{signed_response("r2", "second")}};
    m_servers.front()->write(signed_response("r1", "first"));
    CPPUNIT_ASSERT_EQUAL(std::string("first"), wait_for_response().body);
    CPPUNIT_ASSERT_EQUAL(std::string("second"), wait_for_response().body);
    CPPUNIT_ASSERT(body == m_servers.front()->requests.back());
  }

  /// Guards against a caller that has ended its sending side being taken for one that left, when
  /// only its answer has yet to be sent.
  void caller_that_has_ended_its_sending_side_gets_its_answer()
  {
    request_stream(m_gateway->port(), "");
    end_stream();
    // The server is done by then, and the caller has read a small part.
    run_for(milliseconds(1000));
    m_slow_caller->end_sending();
    check_whole_answer();
  }

  /// Guards against time limits for dead peers that hit a caller that does not read for a while.
  void caller_that_stops_reading_for_a_while_gets_its_answer()
  {
    request_stream(m_gateway->port(), "", {.pause = milliseconds(3500)});
    end_stream();
    check_whole_answer();
  }

  /// Guards against a reset that discards the end of an answer on its way: the connection was
  /// closed while the caller had yet to receive it, and the caller sent more.
  void bytes_behind_the_last_request_do_not_cut_its_answer()
  {
    constexpr std::size_t slow_turn = 2048;
    request_stream(m_gateway->port(), "Connection: close\r\n", {.bytes_per_turn = slow_turn});
    // Small enough for the kernel to take all of it at once.
    std::string events;
    for (std::size_t id = 2; id <= event_count / 5; ++id)
    {
      events += make_event(id, event_bytes);
    }
    m_servers.front()->write(encode_chunk(events) + "0\r\n\r\n");
    run_for(milliseconds(1500));
    m_slow_caller->send(request("/stream/a", "r2"));
    run_for(milliseconds(300));
    m_slow_caller->hurry();
    run_until([this] { return m_slow_caller->has_ended(); });
    CPPUNIT_ASSERT(m_slow_caller->has_whole_answer());
    CPPUNIT_ASSERT(make_event(1, 1) + events == m_slow_caller->body());
  }

  /// Guards against a reset of connections that the kernel has established, with requests on them,
  /// when the listener closes.
  void connection_that_is_not_accepted_yet_gets_an_answer()
  {
    m_settings.stop_grace = seconds(8);
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_gateway->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(caller, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    const std::string whole = request("/once/a", "r1");
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(whole.size()),
                         ::send(caller, whole.data(), whole.size(), MSG_NOSIGNAL));
    m_gateway->stop([this] { m_stopped = true; }, milliseconds(3500));
    run_for(milliseconds(500));
    std::array<char, 4096> answer{};
    const ssize_t received = ::recv(caller, answer.data(), answer.size(), MSG_DONTWAIT);
    ::close(caller);
    CPPUNIT_ASSERT(received > 0);
    CPPUNIT_ASSERT(std::string_view(answer.data()).starts_with("HTTP/1.1 503 "));
    run_until([this] { return m_stopped; });
  }

  /// Guards against times of a stop that begin when a late process handles the signal.
  void age_of_the_signal_counts()
  {
    m_settings.stop_grace = seconds(8);
    m_gateway->stop([this] { m_stopped = true; }, milliseconds(3000));
    send(request("/once/a", "r1"));
    const auto reply = wait_for_response();
    CPPUNIT_ASSERT_EQUAL(503U, reply.head.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, total_requests());
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(planned_stop_test, "Gateway.PlannedStop");

} // namespace
