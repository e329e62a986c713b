#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::transport;
using std::chrono::milliseconds;

constexpr std::chrono::seconds patience{30};

/// A caller that writes bytes of its choice.
class raw_caller
{
public:
  explicit raw_caller(const endpoint& to) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    CPPUNIT_ASSERT_EQUAL(
        0, ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  }
  ~raw_caller()
  {
    ::close(m_socket);
  }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;
  raw_caller(raw_caller&&) = delete;
  raw_caller& operator=(raw_caller&&) = delete;

  bool send(std::string_view data) const
  {
    return ::send(m_socket, data.data(), data.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(data.size());
  }
  /// Everything that arrives until the server closes the connection.
  std::string read_to_end() const
  {
    std::string out;
    std::array<char, 4096> part{};
    pollfd item{.fd = m_socket, .events = POLLIN, .revents = 0};
    while (::poll(&item, 1, static_cast<int>(milliseconds(patience).count())) > 0)
    {
      const ssize_t received = ::recv(m_socket, part.data(), part.size(), 0);
      if (received <= 0)
      {
        m_closed = true;
        return out;
      }
      out.append(part.data(), static_cast<std::size_t>(received));
    }
    return out;
  }
  bool closed() const
  {
    return m_closed;
  }

private:
  int m_socket;
  mutable bool m_closed = false;
};

std::unique_ptr<http_server> start(http_server_options options, http_handler handler)
{
  options.listen = {"127.0.0.1", 0};
  auto server = http_server::start(options, std::move(handler));
  CPPUNIT_ASSERT(server.has_value());
  return std::move(*server);
}

http_response plain(const http_request& /*request*/)
{
  return {};
}

bool is_refusal(const std::string& answer)
{
  return answer.empty() || answer.starts_with("HTTP/1.1 4");
}

/// The value of a line of /proc/self/status: a number, or kilobytes.
std::size_t own_status(const std::string& name)
{
  std::ifstream file("/proc/self/status");
  std::string word;
  std::size_t value = 0;
  while (file >> word)
  {
    if (word == name + ":" && file >> value)
    {
      return value;
    }
  }
  return 0;
}

/// Raises the descriptor limit of this process as far as it may, and returns it.
std::size_t raise_descriptor_limit()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

class http_limits_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_limits_test);
  CPPUNIT_TEST(silent_caller_is_closed);
  CPPUNIT_TEST(trickling_caller_is_closed);
  CPPUNIT_TEST(endless_headers_are_cut_off);
  CPPUNIT_TEST(malformed_requests_are_refused);
  CPPUNIT_TEST(connections_beyond_the_queue_are_refused);
  CPPUNIT_TEST(idle_connections_give_way);
  CPPUNIT_TEST(ten_thousand_idle_connections);
  CPPUNIT_TEST(handler_sees_a_caller_that_left);
  CPPUNIT_TEST_SUITE_END();

  // Guards against threads that are held by callers which never finish their request.
  void silent_caller_is_closed()
  {
    const auto server = start({.read_timeout = milliseconds(50)}, plain);
    const raw_caller caller(server->local_endpoint());
    CPPUNIT_ASSERT(caller.send("GET / HTTP/1.1\r\nHost:"));
    CPPUNIT_ASSERT(is_refusal(caller.read_to_end()));
    CPPUNIT_ASSERT(caller.closed());
  }

  void trickling_caller_is_closed()
  {
    const auto server =
        start({.read_timeout = milliseconds(1000), .request_timeout = milliseconds(100)}, plain);
    const raw_caller caller(server->local_endpoint());
    CPPUNIT_ASSERT(caller.send("POST / HTTP/1.1\r\n"));
    const auto until = std::chrono::steady_clock::now() + patience;
    while (caller.send("a") && std::chrono::steady_clock::now() < until)
    {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() < until);
  }

  // Guards against memory that grows with a header which never ends.
  void endless_headers_are_cut_off()
  {
    std::atomic<int> handled{0};
    const auto server = start({.max_body_bytes = 1024, .max_header_bytes = 8192},
                              [&](const http_request& request)
                              {
                                ++handled;
                                return plain(request);
                              });
    const raw_caller caller(server->local_endpoint());
    caller.send("GET / HTTP/1.1\r\n");
    std::size_t sent = 0;
    while (sent < std::size_t{4} * 1024 * 1024 &&
           caller.send("x-filler: 0123456789012345678901234567890\r\n"))
    {
      sent += 43;
    }
    CPPUNIT_ASSERT(is_refusal(caller.read_to_end()));
    CPPUNIT_ASSERT(caller.closed());
    CPPUNIT_ASSERT_EQUAL(0, handled.load());
  }

  void malformed_requests_are_refused()
  {
    std::atomic<int> handled{0};
    const auto server = start({.max_body_bytes = 1024,
                               .read_timeout = milliseconds(100),
                               .idle_timeout = milliseconds(100)},
                              [&](const http_request& request)
                              {
                                ++handled;
                                return plain(request);
                              });
    const std::string multipart = std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\n") +
                                  "Content-Type: multipart/form-data; boundary=x\r\n\r\n--x--";
    const std::vector<std::string> inputs = {
        "\r\n\r\n",
        "nonsense\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n",
        std::string("\0\1\2\3\r\n\r\n", 8),
        multipart,
    };
    for (const std::string& input : inputs)
    {
      const raw_caller caller(server->local_endpoint());
      caller.send(input);
      const std::string answer = caller.read_to_end();
      CPPUNIT_ASSERT_MESSAGE(input.substr(0, 60) + " -> " + answer.substr(0, 60),
                             is_refusal(answer));
    }
    CPPUNIT_ASSERT_EQUAL(0, handled.load());
    http_client client(server->local_endpoint());
    CPPUNIT_ASSERT_EQUAL(200, client.send({})->status);
  }

  void connections_beyond_the_queue_are_refused()
  {
    std::atomic<bool> open{false};
    std::atomic<int> running{0};
    const auto server = start({.max_threads = 1, .max_waiting = 2},
                              [&](const http_request&)
                              {
                                ++running;
                                while (!open)
                                {
                                  std::this_thread::sleep_for(milliseconds(1));
                                }
                                return http_response{};
                              });
    const raw_caller first(server->local_endpoint());
    first.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    while (running == 0)
    {
      std::this_thread::sleep_for(milliseconds(1));
    }
    const raw_caller second(server->local_endpoint());
    const raw_caller third(server->local_endpoint());
    const raw_caller fourth(server->local_endpoint());
    CPPUNIT_ASSERT(fourth.read_to_end().starts_with("HTTP/1.1 503"));
    open = true;
    CPPUNIT_ASSERT(first.read_to_end().starts_with("HTTP/1.1 200"));
  }

  // Guards against idle connections that hold all threads for the idle timeout.
  void idle_connections_give_way()
  {
    const auto server = start({.max_threads = 4, .idle_timeout = std::chrono::minutes(10)}, plain);
    constexpr int connections = 32;
    std::vector<std::unique_ptr<raw_caller>> idle;
    idle.reserve(connections);
    for (int i = 0; i < connections; ++i)
    {
      idle.push_back(std::make_unique<raw_caller>(server->local_endpoint()));
    }
    http_client client(server->local_endpoint(), {.read_timeout = patience});
    const auto answer = client.send({});
    CPPUNIT_ASSERT(answer.has_value());
  }

  // Guards against threads or memory that grow with the number of idle connections, and against a
  // server that they keep from answering. Both ends of a connection are in this process.
  void ten_thousand_idle_connections()
  {
    constexpr std::size_t max_threads = 1280;
    constexpr std::size_t spare_descriptors = 200;
    const std::size_t connections =
        std::min<std::size_t>(10000, (raise_descriptor_limit() - spare_descriptors) / 2);
    const std::size_t threads_before = own_status("Threads");
    [[maybe_unused]] const std::size_t memory_before = own_status("VmRSS");
    const auto server =
        start({.max_threads = max_threads, .idle_timeout = std::chrono::minutes(10)}, plain);
    std::vector<std::unique_ptr<raw_caller>> idle;
    idle.reserve(connections);
    for (std::size_t i = 0; i < connections; ++i)
    {
      idle.push_back(std::make_unique<raw_caller>(server->local_endpoint()));
    }
    const auto until = std::chrono::steady_clock::now() + patience;
    std::string answer;
    while (!answer.starts_with("HTTP/1.1 200") && std::chrono::steady_clock::now() < until)
    {
      const raw_caller further(server->local_endpoint());
      further.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
      answer = further.read_to_end();
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200") ||
                                         (answer.starts_with("HTTP/1.1 503") &&
                                          answer.find("Retry-After") != std::string::npos));
    }
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
    // The accepting thread comes on top of the pool.
    CPPUNIT_ASSERT(own_status("Threads") - threads_before <= max_threads + 1);
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    constexpr std::size_t max_growth_kb = std::size_t{64} * 1024;
    CPPUNIT_ASSERT(own_status("VmRSS") < memory_before + max_growth_kb);
#endif
  }

  void handler_sees_a_caller_that_left()
  {
    std::atomic<bool> was_connected{false};
    std::atomic<bool> left{false};
    const auto server = start({},
                              [&](const http_request& request)
                              {
                                was_connected = request.is_connected();
                                while (request.is_connected())
                                {
                                  std::this_thread::sleep_for(milliseconds(1));
                                }
                                left = true;
                                return http_response{};
                              });
    {
      const raw_caller caller(server->local_endpoint());
      caller.send("GET / HTTP/1.1\r\n\r\n");
      while (!was_connected)
      {
        std::this_thread::sleep_for(milliseconds(1));
      }
    }
    const auto until = std::chrono::steady_clock::now() + patience;
    while (!left && std::chrono::steady_clock::now() < until)
    {
      std::this_thread::sleep_for(milliseconds(1));
    }
    CPPUNIT_ASSERT(left);
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_limits_test, "HttpLimits");

} // namespace
