#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "AsyncIo/TcpConnection.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using std::chrono::milliseconds;
using std::chrono::seconds;

const transport::endpoint any_port{"127.0.0.1", 0};

class tcp_connection_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(tcp_connection_test);
  CPPUNIT_TEST(data_larger_than_the_buffer_and_its_end_arrive);
  CPPUNIT_TEST(data_and_end_that_arrive_together_are_both_seen);
  CPPUNIT_TEST(refused_connection_is_reported);
  CPPUNIT_TEST(call_is_answered_on_a_kept_connection);
  CPPUNIT_TEST(call_without_answer_times_out);
  CPPUNIT_TEST(call_in_progress_ends_with_its_caller);
  CPPUNIT_TEST(answer_that_is_arriving_is_not_given_up);
  CPPUNIT_TEST(received_bytes_are_counted_by_purpose);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;
  timer m_guard{m_loop};

  /// Runs until stop(); a lost wake-up ends the test instead of hanging it.
  void run()
  {
    m_guard.start(seconds(20),
                  [this]
                  {
                    m_loop.stop();
                    CPPUNIT_FAIL("no progress");
                  });
    m_loop.run();
    m_guard.cancel();
  }

  void receive_all(std::size_t size)
  {
    tcp_connection::pointer accepted;
    std::size_t received = 0;
    bool ended = false;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            accepted->start([&](std::string_view data) { received += data.size(); },
                                            [&](close_reason reason)
                                            {
                                              ended = reason == close_reason::end_of_stream;
                                              m_loop.stop();
                                            });
                          });
    CPPUNIT_ASSERT(listener.listen(any_port));
    const auto sender = tcp_connection::make(m_loop);
    sender->connect({"127.0.0.1", listener.port()}, seconds(5),
                    [&](const result<void>& outcome)
                    {
                      CPPUNIT_ASSERT(outcome);
                      sender->start([](std::string_view) {}, [](close_reason) {});
                      sender->write(std::string(size, 'x'));
                      sender->close_when_sent();
                    });
    run();
    sender->close();
    CPPUNIT_ASSERT_EQUAL(size, received);
    CPPUNIT_ASSERT(ended);
  }

public:
  /// Guards against bytes that stay unread because the poller reports only changes.
  void data_larger_than_the_buffer_and_its_end_arrive()
  {
    receive_all(5'000'000);
  }

  void data_and_end_that_arrive_together_are_both_seen()
  {
    receive_all(10);
  }

  void refused_connection_is_reported()
  {
    std::uint16_t port = 0;
    {
      tcp_listener listener(m_loop, [](const tcp_connection::pointer&) {});
      CPPUNIT_ASSERT(listener.listen(any_port));
      port = listener.port();
    }
    const auto connection = tcp_connection::make(m_loop);
    bool refused = false;
    connection->connect({"127.0.0.1", port}, seconds(5),
                        [&](const result<void>& outcome)
                        {
                          refused = !outcome;
                          m_loop.stop();
                        });
    run();
    CPPUNIT_ASSERT(refused);
  }

  void call_is_answered_on_a_kept_connection()
  {
    http_listener listener(m_loop,
                           [](const message_head& head, const http_listener::responder& respond) {
                             respond({200, "text/plain", query_parameter(head.target, "q")});
                           });
    CPPUNIT_ASSERT(listener.listen(any_port));
    http_caller caller(m_loop);
    http_call call;
    call.address = {"127.0.0.1", listener.port()};
    call.target = "/x?q=a%20b";
    call.timeout = seconds(10);
    int answers = 0;
    std::function<void(result<http_response>)> again = [&](const result<http_response>& answer)
    {
      CPPUNIT_ASSERT(answer);
      CPPUNIT_ASSERT_EQUAL(std::string("a b"), answer->body);
      if (++answers == 3)
      {
        m_loop.stop();
        return;
      }
      caller.call(call, again);
    };
    caller.call(call, again);
    run();
    CPPUNIT_ASSERT_EQUAL(3, answers);
  }

  /// Guards against calls that keep themselves alive through their own timer and connection.
  void call_in_progress_ends_with_its_caller()
  {
    tcp_connection::pointer accepted;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            m_loop.stop();
                          });
    CPPUNIT_ASSERT(listener.listen(any_port));
    auto held = std::make_shared<int>(0);
    const std::weak_ptr<int> observer = held;
    {
      http_caller caller(m_loop);
      caller.call({.address = {"127.0.0.1", listener.port()}, .target = "/x"},
                  [held = std::move(held)](const result<http_response>&)
                  { CPPUNIT_FAIL("the caller is gone"); });
      run();
    }
    m_loop.post([this] { m_loop.stop(); });
    run();
    accepted->close();
    CPPUNIT_ASSERT(observer.expired());
  }

  /// Guards against reads over a full link that are given up shortly before their end and begin
  /// anew, so that none of them ever ends.
  void answer_that_is_arriving_is_not_given_up()
  {
    // Twice the time-out in all, a quarter of it between two parts.
    constexpr int parts = 8;
    constexpr milliseconds pause{500};
    constexpr milliseconds timeout{2000};
    tcp_connection::pointer accepted;
    timer next_part(m_loop);
    int sent = 0;
    std::function<void()> send_part = [&]
    {
      accepted->write("x");
      if (++sent < parts)
      {
        next_part.start(pause, send_part);
      }
    };
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            accepted->start(
                                [&](std::string_view)
                                {
                                  accepted->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                                                  std::to_string(parts) + "\r\n\r\n");
                                  send_part();
                                },
                                [](close_reason) {});
                          });
    CPPUNIT_ASSERT(listener.listen(any_port));
    http_caller caller(m_loop);
    std::string body;
    caller.call({.address = {"127.0.0.1", listener.port()},
                 .target = "/piece",
                 .timeout = timeout,
                 .transfer_timeout = seconds(15)},
                [&](const result<http_response>& answer)
                {
                  body = answer ? answer->body : answer.error().message;
                  m_loop.stop();
                });
    run();
    CPPUNIT_ASSERT_EQUAL(std::string(parts, 'x'), body);
  }

  /// Guards against traffic that no log shows, such as answers that arrive after their calls
  /// failed.
  void received_bytes_are_counted_by_purpose()
  {
    tcp_connection::pointer accepted;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            accepted->start([](std::string_view) {}, [](close_reason) {});
                            accepted->write("no HTTP\r\n\r\n");
                          });
    CPPUNIT_ASSERT(listener.listen(any_port));
    http_caller caller(m_loop);
    http_call call;
    call.address = {"127.0.0.1", listener.port()};
    call.target = "/";
    call.timeout = seconds(10);
    call.purpose = "state";
    caller.call(call,
                [&](const result<http_response>& answer)
                {
                  CPPUNIT_ASSERT(!answer);
                  m_loop.stop();
                });
    run();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, caller.received_bytes().at("state"));
  }

  /// Guards against a caller that waits for ever on a silent connection.
  void call_without_answer_times_out()
  {
    tcp_connection::pointer silent;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            silent = std::move(connection);
                            silent->start([](std::string_view) {}, [](close_reason) {});
                          });
    CPPUNIT_ASSERT(listener.listen(any_port));
    http_caller caller(m_loop);
    http_call call;
    call.address = {"127.0.0.1", listener.port()};
    call.target = "/";
    call.timeout = milliseconds(50);
    error_code code{};
    caller.call(call,
                [&](const result<http_response>& answer)
                {
                  code = answer.error().code;
                  m_loop.stop();
                });
    run();
    CPPUNIT_ASSERT(code == error_code::timeout);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(tcp_connection_test, "AsyncIo.TcpConnection");

} // namespace
