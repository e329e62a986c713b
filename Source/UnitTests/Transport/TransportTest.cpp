#include <array>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/MessageNode.h"
#include "UnitTests/EarlyServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::transport;

constexpr std::chrono::seconds patience{30};
const endpoint any_port{"127.0.0.1", 0};

/// Collects what a node delivers and lets a test wait for it.
class collector
{
public:
  message_handlers handlers()
  {
    return {[this](connection_id from, frame message)
            {
              const std::lock_guard lock(m_mutex);
              m_last = from;
              m_frames.push_back(std::move(message));
              m_changed.notify_all();
            },
            [this](connection_id)
            {
              const std::lock_guard lock(m_mutex);
              ++m_closed;
              m_changed.notify_all();
            },
            [this](const endpoint&, frame message)
            {
              const std::lock_guard lock(m_mutex);
              m_datagrams.push_back(std::move(message));
              m_changed.notify_all();
            },
            {}};
  }

  template <typename Predicate>
  bool wait(Predicate predicate)
  {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, patience, predicate);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<frame> m_frames;
  std::vector<frame> m_datagrams;
  connection_id m_last = 0;
  int m_closed = 0;
};

std::unique_ptr<message_node> start_node(collector& to)
{
  auto node = message_node::start({.tcp = any_port, .udp = any_port}, to.handlers());
  CPPUNIT_ASSERT(node.has_value());
  return std::move(*node);
}

/// Answers one connection with fixed bytes.
class raw_server
{
public:
  explicit raw_server(std::string answer) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, ::bind(m_socket, generic, size));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(m_socket, 1));
    CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_socket, generic, &size));
    m_port = ntohs(address.sin_port);
    m_thread = std::thread(
        [this, answer = std::move(answer)]
        {
          const int connection = ::accept(m_socket, nullptr, nullptr);
          std::array<char, 4096> request{};
          (void)::recv(connection, request.data(), request.size(), 0);
          (void)::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
          ::shutdown(connection, SHUT_WR);
          (void)::recv(connection, request.data(), request.size(), 0);
          ::close(connection);
        });
  }
  ~raw_server()
  {
    m_thread.join();
    ::close(m_socket);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  raw_server(raw_server&&) = delete;
  raw_server& operator=(raw_server&&) = delete;

  std::uint16_t port() const
  {
    return m_port;
  }

private:
  int m_socket;
  std::uint16_t m_port = 0;
  std::thread m_thread;
};

class transport_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(transport_test);
  CPPUNIT_TEST(frames_arrive_in_order);
  CPPUNIT_TEST(short_frames_keep_their_place);
  CPPUNIT_TEST(datagram_arrives);
  CPPUNIT_TEST(refused_connection_is_reported);
  CPPUNIT_TEST(malformed_bytes_close_the_connection);
  CPPUNIT_TEST(http_round_trip_and_stream);
  CPPUNIT_TEST(broken_stream_is_an_error);
  CPPUNIT_TEST(idle_connections_do_not_block_others);
  CPPUNIT_TEST(impossible_status_is_no_answer);
  CPPUNIT_TEST(part_of_an_answer_that_is_reset_is_an_error);
  CPPUNIT_TEST_SUITE_END();

  // Guards against reordering by the worker pool.
  void frames_arrive_in_order()
  {
    collector receiver;
    collector sender;
    const auto to = start_node(receiver);
    const auto from = start_node(sender);
    const auto connection = from->connect(to->tcp_endpoint());
    constexpr int count = 1000;
    for (int i = 0; i < count; ++i)
    {
      frame message{first_message_type,
                    {static_cast<std::byte>(i), static_cast<std::byte>(i >> 8)}};
      CPPUNIT_ASSERT(from->send(connection, message));
    }
    CPPUNIT_ASSERT(receiver.wait([&] { return receiver.m_frames.size() == count; }));
    for (int i = 0; i < count; ++i)
    {
      const auto& payload = receiver.m_frames.at(static_cast<std::size_t>(i)).payload;
      CPPUNIT_ASSERT_EQUAL(i, std::to_integer<int>(payload[0]) +
                                  256 * std::to_integer<int>(payload[1]));
    }
  }

  // Guards against a short frame that overtakes a long one of its connection, which waits for the
  // pool; an answer's end would arrive before its last token.
  void short_frames_keep_their_place()
  {
    collector receiver;
    collector sender;
    message_handlers handlers = receiver.handlers();
    handlers.is_short = [](const frame& message)
    {
      return message.type == first_message_type;
    };
    const auto to =
        message_node::start({.tcp = any_port, .udp = any_port}, std::move(handlers)).value();
    const auto from = start_node(sender);
    const auto connection = from->connect(to->tcp_endpoint());
    constexpr int count = 4000;
    for (int i = 0; i < count; ++i)
    {
      const auto type = static_cast<std::uint8_t>(first_message_type + (i % 7 == 0 ? 1 : 0));
      CPPUNIT_ASSERT(from->send(
          connection, {type, {static_cast<std::byte>(i), static_cast<std::byte>(i >> 8)}}));
    }
    CPPUNIT_ASSERT(receiver.wait([&] { return receiver.m_frames.size() == count; }));
    for (int i = 0; i < count; ++i)
    {
      const auto& payload = receiver.m_frames.at(static_cast<std::size_t>(i)).payload;
      CPPUNIT_ASSERT_EQUAL(i, std::to_integer<int>(payload[0]) +
                                  256 * std::to_integer<int>(payload[1]));
    }
  }

  void datagram_arrives()
  {
    collector receiver;
    collector sender;
    const auto to = start_node(receiver);
    const auto from = start_node(sender);
    from->send_datagram(to->udp_endpoint(), {first_message_type, {std::byte{7}}});
    CPPUNIT_ASSERT(receiver.wait([&] { return receiver.m_datagrams.size() == 1; }));
  }

  // Guards against requests that wait for ever on a connection that was never made.
  void refused_connection_is_reported()
  {
    collector sender;
    collector gone;
    endpoint closed;
    {
      const auto node = start_node(gone);
      closed = node->tcp_endpoint();
    }
    const auto from = start_node(sender);
    from->connect(closed);
    CPPUNIT_ASSERT(sender.wait([&] { return sender.m_closed == 1; }));
  }

  // Guards against a peer of another protocol holding a connection open.
  void malformed_bytes_close_the_connection()
  {
    collector receiver;
    const auto to = start_node(receiver);
    http_client client(to->tcp_endpoint(), {.read_timeout = std::chrono::seconds(10)});
    const auto answer = client.send({});
    CPPUNIT_ASSERT(!answer);
    CPPUNIT_ASSERT(receiver.wait([&] { return receiver.m_closed == 1; }));
  }

  void http_round_trip_and_stream()
  {
    const auto server = start_server(
        [](const http_request& request)
        {
          http_response response;
          response.stream = [path = request.path](const body_writer& write)
          {
            return write(path) && write(" end");
          };
          return response;
        });
    http_client client(server->local_endpoint());
    const auto answer = client.send({.path = "/a/b"});
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b end"), answer->body);
  }

  // Guards against a truncated answer that looks complete.
  void broken_stream_is_an_error()
  {
    const auto server = start_server(
        [](const http_request&)
        {
          http_response response;
          response.stream = [](const body_writer& write)
          {
            write("part");
            return false;
          };
          return response;
        });
    http_client client(server->local_endpoint());
    CPPUNIT_ASSERT(!client.send({}).has_value());
  }

  // Guards against the library's fixed pool, in which a few idle connections stop all others.
  void idle_connections_do_not_block_others()
  {
    const auto server = start_server([](const http_request&) { return http_response{}; });
    collector idle;
    const auto node = start_node(idle);
    for (int i = 0; i < 50; ++i)
    {
      node->connect(server->local_endpoint());
    }
    http_client client(server->local_endpoint());
    CPPUNIT_ASSERT(client.send({}).has_value());
  }

  // Guards against parts of answers without a length that are taken for whole ones, while the
  // request is being sent or behind it.
  void part_of_an_answer_that_is_reset_is_an_error()
  {
    constexpr std::size_t short_body = 20'000;
    constexpr std::size_t long_body = 1'500'000;
    const test::early_server broken(test::answer_end::reset);
    const test::early_server sound(test::answer_end::in_order);
    const auto send = [](const test::early_server& server, std::size_t body_bytes)
    {
      http_client client({"127.0.0.1", server.port()}, {.keep_alive = false});
      return client.send({.method = "POST", .body = std::string(body_bytes, 'b')});
    };
    constexpr unsigned calls = 30;
    for (unsigned i = 0; i < calls; ++i)
    {
      CPPUNIT_ASSERT(!send(broken, short_body).has_value());
      CPPUNIT_ASSERT(!send(broken, long_body).has_value());
      const auto whole = send(sound, short_body);
      CPPUNIT_ASSERT(whole.has_value());
      CPPUNIT_ASSERT_EQUAL(test::early_server::answer_bytes, whole->body.size());
    }
  }

  /// Guards against numbers that are no status and reach callers as one.
  void impossible_status_is_no_answer()
  {
    for (const std::string status : {"000", "001", "099", "101", "199", "600", "999"})
    {
      raw_server server("HTTP/1.1 " + status + " X\r\nContent-Length: 1\r\n\r\nx");
      bool head_seen = false;
      http_client client({"127.0.0.1", server.port()}, {.keep_alive = false});
      const auto answer = client.send_streaming(
          {},
          [&head_seen](int, const http_headers&)
          {
            head_seen = true;
            return true;
          },
          [](std::string_view) { return true; });
      CPPUNIT_ASSERT_MESSAGE(status, !answer.has_value());
      CPPUNIT_ASSERT_MESSAGE(status, answer.error().code == error_code::malformed);
      CPPUNIT_ASSERT_MESSAGE(status, !head_seen);
    }
  }

  static std::unique_ptr<http_server> start_server(http_handler handler)
  {
    auto server = http_server::start({.listen = any_port}, std::move(handler));
    CPPUNIT_ASSERT(server.has_value());
    return std::move(*server);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(transport_test, "Transport");

} // namespace
