#include <array>
#include <optional>
#include <string>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/TcpConnection.h"
#include "UnitTests/EarlyServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::async_io;
using std::chrono::seconds;

/// Peers that end a connection while this side writes.
class connection_end_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(connection_end_test);
  CPPUNIT_TEST(end_and_reset_are_told_apart_in_each_order);
  CPPUNIT_TEST(call_takes_no_part_of_an_answer_for_a_whole_one);
  CPPUNIT_TEST(call_gets_a_whole_answer_before_its_body_is_sent);
  CPPUNIT_TEST(connection_that_is_reset_by_its_owner_is_no_orderly_end);
  CPPUNIT_TEST_SUITE_END();

  /// When this side writes, and so may meet the reset before a read does.
  enum class write_time
  {
    never,
    before_the_first_read,
    between_two_reads,
  };

  struct ending
  {
    std::string data;
    std::optional<close_reason> reason;
  };

  event_loop m_loop;
  timer m_guard{m_loop};

  void run()
  {
    m_guard.start(seconds(30), [this] { m_loop.stop(); });
    m_loop.run();
    m_guard.cancel();
  }

  /// A connected pair: one of the loop, and the socket of its peer.
  struct pair
  {
    tcp_connection::pointer connection;
    int peer = -1;
  };

  pair connect()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(listener, reinterpret_cast<sockaddr*>(&address), size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(listener, 1));
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    pair out{.connection = tcp_connection::make(m_loop)};
    out.connection->connect({"127.0.0.1", ntohs(address.sin_port)}, seconds(10),
                            [this](const result<void>& outcome)
                            {
                              CPPUNIT_ASSERT(outcome);
                              m_loop.stop();
                            });
    run();
    out.peer = ::accept(listener, nullptr, nullptr);
    CPPUNIT_ASSERT(out.peer >= 0);
    ::close(listener);
    return out;
  }

  /// The peer sends a part of an answer, ends its sending side if `in_order`, and then closes with
  /// unread bytes, which resets the connection.
  ending play(bool in_order, write_time when)
  {
    const auto [connection, peer] = connect();
    ending out;
    connection->start(
        [&, open = connection](std::string_view data)
        {
          out.data.append(data);
          if (when == write_time::between_two_reads)
          {
            open->write("more");
          }
        },
        [&](close_reason reason)
        {
          out.reason = reason;
          m_loop.stop();
        });
    connection->set_sent_handler([this] { m_loop.stop(); });
    connection->write("request");
    run();
    connection->set_sent_handler(nullptr);
    std::array<char, 7> request{};
    CPPUNIT_ASSERT(::recv(peer, request.data(), request.size(), MSG_PEEK | MSG_WAITALL) > 0);
    CPPUNIT_ASSERT(::send(peer, "part", 4, MSG_NOSIGNAL) == 4);
    if (in_order)
    {
      ::shutdown(peer, SHUT_WR);
    }
    ::close(peer);
    if (when == write_time::before_the_first_read)
    {
      connection->write("more");
    }
    run();
    return out;
  }

  result<http_response> call(const test::early_server& server)
  {
    http_caller caller(m_loop);
    std::optional<result<http_response>> answer;
    http_call what{.address = {"127.0.0.1", server.port()}, .method = "PUT", .target = "/x"};
    what.body.assign(3'000'000, 'b');
    what.timeout = seconds(30);
    caller.call(what,
                [&](result<http_response> got)
                {
                  answer = std::move(got);
                  m_loop.stop();
                });
    run();
    CPPUNIT_ASSERT(answer);
    return *answer;
  }

  static constexpr unsigned calls = 30;

public:
  /// Guards against a verdict that depends on whether a write or a read meets the reset first. The
  /// kernel reports it once, and reads behind it see the end of the stream.
  void end_and_reset_are_told_apart_in_each_order()
  {
    for (const auto when :
         {write_time::never, write_time::before_the_first_read, write_time::between_two_reads})
    {
      for (const bool in_order : {false, true})
      {
        const ending seen = play(in_order, when);
        CPPUNIT_ASSERT_EQUAL(std::string("part"), seen.data);
        CPPUNIT_ASSERT(seen.reason);
        CPPUNIT_ASSERT_EQUAL(in_order, *seen.reason == close_reason::end_of_stream);
      }
    }
  }

  /// Guards against parts of answers of the store or the origin that are used as whole ones.
  void call_takes_no_part_of_an_answer_for_a_whole_one()
  {
    const test::early_server server(test::answer_end::reset);
    for (unsigned i = 0; i < calls; ++i)
    {
      const auto answer = call(server);
      CPPUNIT_ASSERT(!answer);
      CPPUNIT_ASSERT(answer.error().code == error_code::closed);
    }
  }

  void call_gets_a_whole_answer_before_its_body_is_sent()
  {
    const test::early_server server(test::answer_end::in_order);
    for (unsigned i = 0; i < calls; ++i)
    {
      const auto answer = call(server);
      CPPUNIT_ASSERT(answer);
      CPPUNIT_ASSERT_EQUAL(test::early_server::answer_bytes, answer->body.size());
    }
  }

  void connection_that_is_reset_by_its_owner_is_no_orderly_end()
  {
    for (const bool all_is_sent : {false, true})
    {
      const auto [connection, peer] = connect();
      connection->start([](std::string_view) {}, [](close_reason) {});
      connection->reset_unless_all_is_sent();
      connection->write("part");
      if (all_is_sent)
      {
        connection->close_when_sent([this](close_reason) { m_loop.stop(); });
        run();
      }
      else
      {
        connection->close();
      }
      std::array<char, 8> received{};
      CPPUNIT_ASSERT(::recv(peer, received.data(), received.size(), 0) == 4);
      CPPUNIT_ASSERT_EQUAL(all_is_sent ? 0 : -1,
                           static_cast<int>(::recv(peer, received.data(), received.size(), 0)));
      ::close(peer);
    }
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(connection_end_test, "AsyncIo.ConnectionEnd");

} // namespace
