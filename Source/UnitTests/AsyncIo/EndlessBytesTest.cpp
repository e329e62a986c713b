#include <cerrno>
#include <optional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "UnitTests/EndlessServer.h"
#include "UnitTests/RunUntil.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A blocking socket of the test itself, so that bytes can be sent within a callback.
class raw_socket
{
public:
  explicit raw_socket(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT(
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
  }
  ~raw_socket()
  {
    ::close(m_socket);
  }
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;
  raw_socket(raw_socket&&) = delete;
  raw_socket& operator=(raw_socket&&) = delete;

  /// Returns false if the peer has closed or its buffers are full.
  bool send(std::string_view data) const
  {
    return ::send(m_socket, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
  }

  bool is_closed_by_peer() const
  {
    return ::send(m_socket, "x", 1, MSG_NOSIGNAL | MSG_DONTWAIT) < 0 && errno != EAGAIN;
  }

private:
  int m_socket;
};

class endless_bytes_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(endless_bytes_test);
  CPPUNIT_TEST(endless_sender_does_not_stop_the_event_loop);
  CPPUNIT_TEST(endless_sender_is_closed_after_the_last_answer);
  CPPUNIT_TEST(calls_end_whatever_the_server_sends);
  CPPUNIT_TEST(bytes_behind_a_request_are_bounded);
  CPPUNIT_TEST_SUITE_END();

  event_loop m_loop;

  void run_until(const std::function<bool()>& condition)
  {
    test::run_until(m_loop, condition);
  }

public:
  /// Guards against a peer that sends as fast as this process reads: no other connection and no
  /// time-out would be served.
  void endless_sender_does_not_stop_the_event_loop()
  {
    constexpr std::size_t block_bytes = 32768;
    constexpr int enough_blocks = 1000;
    tcp_connection::pointer accepted;
    std::optional<raw_socket> sender;
    int received = 0;
    int received_when_served = 0;
    const std::string block(block_bytes, 'x');
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            accepted->start(
                                [&](std::string_view)
                                {
                                  if (received == 0)
                                  {
                                    m_loop.post([&] { received_when_served = received; });
                                  }
                                  // The next block is there before this one has been handled.
                                  if (++received < enough_blocks)
                                  {
                                    sender->send(block);
                                  }
                                },
                                [](close_reason) {});
                          });
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    sender.emplace(listener.port());
    CPPUNIT_ASSERT(sender->send(block));
    run_until([&] { return received >= enough_blocks; });
    accepted->close();
    CPPUNIT_ASSERT(received_when_served > 0);
    CPPUNIT_ASSERT(received_when_served < enough_blocks / 2);
  }

  /// Guards against a connection that lingers for a peer which never stops sending.
  void endless_sender_is_closed_after_the_last_answer()
  {
    tcp_connection::pointer accepted;
    tcp_listener listener(m_loop,
                          [&](tcp_connection::pointer connection)
                          {
                            accepted = std::move(connection);
                            accepted->start([](std::string_view) {}, [](close_reason) {});
                            accepted->write("last answer");
                            accepted->close_when_sent();
                          });
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    const raw_socket sender(listener.port());
    const std::string block(65536, 'x');
    std::size_t sent = 0;
    const auto is_closed = [&]
    {
      while (sent < test::endless_server::give_up_bytes && sender.send(block))
      {
        sent += block.size();
      }
      return sender.is_closed_by_peer();
    };
    run_until([&] { return is_closed() || sent >= test::endless_server::give_up_bytes; });
    CPPUNIT_ASSERT(sent < test::endless_server::give_up_bytes);
  }

  /// Guards against memory that fills and calls that go on for as long as a server sends.
  void calls_end_whatever_the_server_sends()
  {
    for (const auto& answer : test::endless_answers(""))
    {
      test::endless_server server(m_loop, answer.head, answer.filler);
      http_caller caller(m_loop);
      const http_call call{.address = {"127.0.0.1", server.port()},
                           .target = "/report",
                           .timeout = seconds(10),
                           .max_body_bytes = 100'000};
      bool ended = false;
      bool succeeded = false;
      caller.call(call,
                  [&](const result<http_response>& received)
                  {
                    ended = true;
                    succeeded = received && received->head.status == 200;
                  });
      run_until([&] { return ended; });
      CPPUNIT_ASSERT_MESSAGE(answer.name, !succeeded);
      run_until(
          [&]
          {
            return server.was_stopped_by_its_caller() ||
                   server.sent_bytes() >= test::endless_server::give_up_bytes;
          });
      CPPUNIT_ASSERT_MESSAGE(answer.name, server.was_stopped_by_its_caller());
    }
  }

  /// Guards against a caller that goes on sending while its first request is being answered.
  void bytes_behind_a_request_are_bounded()
  {
    http_listener::responder held;
    http_listener listener(m_loop, [&](const message_head&, const http_listener::responder& respond)
                           { held = respond; });
    CPPUNIT_ASSERT(listener.listen({"127.0.0.1", 0}));
    const auto sender = tcp_connection::make(m_loop);
    const std::string block(65536, 'x');
    std::size_t sent = 0;
    bool ended = false;
    sender->connect({"127.0.0.1", listener.port()}, seconds(5),
                    [&](const result<void>& outcome)
                    {
                      CPPUNIT_ASSERT(outcome);
                      sender->start([](std::string_view) {}, [&](close_reason) { ended = true; });
                      sender->set_sent_handler(
                          [&]
                          {
                            sent += block.size();
                            sender->write(sent < test::endless_server::give_up_bytes ? block : "");
                          });
                      sender->write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                    });
    run_until([&] { return ended || sent >= test::endless_server::give_up_bytes; });
    sender->close();
    CPPUNIT_ASSERT(sent < test::endless_server::give_up_bytes);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(endless_bytes_test, "AsyncIo.EndlessBytes");

} // namespace
