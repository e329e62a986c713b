#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <openssl/evp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/HttpListener.h"

namespace
{

using namespace pollenyoke;
using async_io::http_listener;
using async_io::message_head;
using async_io::query_parameter;

// The host of the entry under test. The clients send several times as much.
constexpr std::size_t memory_mb = 48;
constexpr std::size_t max_resident_bytes = memory_mb << 20U;
constexpr int max_descriptors = 160;
constexpr int clients = 24;
constexpr std::size_t body_bytes = 4194304;
constexpr std::string_view route_path = "/plain/";

std::string encode_base64(const std::string& data)
{
  std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

/// The platform around one entry: a store with one configuration and one backend server.
class platform_stand_in
{
public:
  platform_stand_in()
      : m_store(m_loop, [this](const message_head& head, const http_listener::responder& respond)
                { serve_store(head, respond); }),
        m_server(m_loop, [](const message_head& head, const http_listener::responder& respond)
                 { answer_request(head, respond); })
  {
    CPPUNIT_ASSERT(m_store.listen({"127.0.0.1", 0}));
    CPPUNIT_ASSERT(m_server.listen({"127.0.0.1", 0}));
    m_thread = std::thread([this] { m_loop.run(); });
  }
  ~platform_stand_in()
  {
    m_loop.post([this] { m_loop.stop(); });
    m_thread.join();
  }
  platform_stand_in(const platform_stand_in&) = delete;
  platform_stand_in& operator=(const platform_stand_in&) = delete;
  platform_stand_in(platform_stand_in&&) = delete;
  platform_stand_in& operator=(platform_stand_in&&) = delete;

  std::uint16_t store_port() const
  {
    return m_store.port();
  }

private:
  static void answer_request(const message_head& head, const http_listener::responder& respond)
  {
    const auto* id = head.find("X-Pollenyoke-Request-Id");
    respond({200,
             "text/plain",
             "done",
             {{"X-Pollenyoke-Request-Id", id == nullptr ? "" : *id},
              {"X-Pollenyoke-Response-Seal", "seal"}}});
  }

  std::string newest(const std::string& topic) const
  {
    std::string key;
    std::string value;
    if (topic == "keyed.op")
    {
      key = "config";
      value = R"({"version":1,"routes":[{"name":"r","host":"a.example","path_prefix":"/plain/",
        "kind":"idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"desk",
        "public":true}],"services":[{"name":"desk"}],"limits":{"max_header_bytes":16384,
        "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    }
    else if (topic == "keyed.servers")
    {
      key = "s-1";
      value = R"({"service":"desk","address":"127.0.0.1:)" + std::to_string(m_server.port()) +
              R"(","zone":"a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,
              "sequence":1})";
    }
    if (key.empty())
    {
      return R"({"items":[],"has_more":false,"end":0})";
    }
    return R"({"items":[{"key":")" + key + R"(","value":")" + encode_base64(value) +
           R"(","offset":0}],"has_more":false,"end":1})";
  }

  void serve_store(const message_head& head, const http_listener::responder& respond)
  {
    const auto path = async_io::path_of(head.target);
    const std::string topic = query_parameter(head.target, "topic");
    if (path == "/v1/log-newest")
    {
      respond({200, "application/json", newest(topic)});
      return;
    }
    if (path == "/v1/log-read")
    {
      if (topic == "keyed.op")
      {
        // A read that waits for a change, and there is none.
        m_pending.push_back(respond);
        return;
      }
      std::string page(16, '\0');
      page[7] = '\1';
      respond({200, "application/octet-stream", page});
      return;
    }
    respond({200, "application/json", R"({"offset":0,"end":1})"});
  }

  async_io::event_loop m_loop;
  http_listener m_store;
  http_listener m_server;
  std::vector<http_listener::responder> m_pending;
  std::thread m_thread;
};

std::uint16_t free_port()
{
  const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  CPPUNIT_ASSERT(::bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0);
  CPPUNIT_ASSERT(::getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  ::close(probe);
  return ntohs(address.sin_port);
}

/// A blocking client with limits on the time of each call.
class client
{
public:
  explicit client(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    m_connected =
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
  }
  ~client()
  {
    ::close(m_socket);
  }
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  client(client&&) = delete;
  client& operator=(client&&) = delete;

  /// Sends until the peer takes no more for half a second, or closes. Returns what was sent.
  std::size_t send(std::string_view data)
  {
    std::size_t sent = 0;
    while (m_connected && sent < data.size())
    {
      const ssize_t size = ::send(m_socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (size > 0)
      {
        sent += static_cast<std::size_t>(size);
        continue;
      }
      pollfd writable{m_socket, POLLOUT, 0};
      if (errno != EAGAIN || ::poll(&writable, 1, 500) <= 0)
      {
        break;
      }
    }
    return sent;
  }

  /// What arrives until the peer closes, `end` has arrived, or nothing comes for ten seconds.
  std::string receive(std::string_view end)
  {
    std::string out;
    std::array<char, 4096> buffer{};
    pollfd readable{m_socket, POLLIN, 0};
    while (m_connected && out.find(end) == std::string::npos && ::poll(&readable, 1, 10000) > 0)
    {
      const ssize_t size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
      if (size <= 0)
      {
        break;
      }
      out.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return out;
  }

private:
  int m_socket;
  bool m_connected = false;
};

std::string make_head(std::string_view path, const std::string& id, const std::string& fields)
{
  return "POST " + std::string(path) +
         "x HTTP/1.1\r\nHost: a.example\r\nX-Pollenyoke-Request-Id: " + id + "\r\n" + fields +
         "\r\n";
}

/// An entry in a process of its own.
class entry_process
{
public:
  explicit entry_process(std::uint16_t store_port)
      : m_directory(std::filesystem::temp_directory_path() /
                    ("pollenyoke-memory-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_directory);
    const auto file = m_directory / "entry.yaml";
    std::ofstream(file) << "role: entry\nhost: e\nip: 127.0.0.1\nregion: north\nfailure_domain: a\n"
                        << "domains: a=north\nstore: 127.0.0.1:" << store_port
                        << "\nmemory_mb: " << memory_mb << "\nlog_level: warning\nlisten:\n"
                        << "  callers: 127.0.0.1:" << m_callers
                        << "\n  readiness: 127.0.0.1:" << m_readiness
                        << "\n  lookup: 127.0.0.1:" << free_port() << "\n  peer_port: \""
                        << free_port() << "\"\n";
    m_pid = ::fork();
    if (m_pid == 0)
    {
      const std::string path = file.string();
      const int log = ::open((m_directory / "log").c_str(), O_CREAT | O_WRONLY, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl(NODE_PROGRAM, NODE_PROGRAM, "--settings", path.c_str(), nullptr);
      ::_exit(127);
    }
    for (int i = 0; i < 200 && !is_ready(); ++i)
    {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  ~entry_process()
  {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
  }
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;
  entry_process(entry_process&&) = delete;
  entry_process& operator=(entry_process&&) = delete;

  std::uint16_t port() const
  {
    return m_callers;
  }

  bool is_ready() const
  {
    client probe(m_readiness);
    probe.send("GET /v1/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    return probe.receive("\r\n\r\n").starts_with("HTTP/1.1 200");
  }

  void check_bounds() const
  {
    CPPUNIT_ASSERT_MESSAGE("the process has ended", ::waitpid(m_pid, nullptr, WNOHANG) == 0);
    const std::size_t resident = peak_resident_bytes();
    CPPUNIT_ASSERT_MESSAGE("peak memory of " + std::to_string(resident >> 20U) + " MB",
                           resident <= max_resident_bytes);
    const std::filesystem::path files = "/proc/" + std::to_string(m_pid) + "/fd";
    const auto open = std::distance(std::filesystem::directory_iterator(files), {});
    CPPUNIT_ASSERT_MESSAGE(std::to_string(open) + " descriptors", open <= max_descriptors);
  }

  /// One ordinary request, as any caller sends it.
  void check_service() const
  {
    client caller(m_callers);
    caller.send(make_head(route_path, "ordinary", "Content-Length: 5\r\n") + "hello");
    const std::string answer = caller.receive("done");
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    check_bounds();
  }

private:
  std::size_t peak_resident_bytes() const
  {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
      if (line.starts_with("VmHWM:"))
      {
        return std::stoul(line.substr(6)) * 1024;
      }
    }
    return 0;
  }

  std::filesystem::path m_directory;
  std::uint16_t m_callers = free_port();
  std::uint16_t m_readiness = free_port();
  pid_t m_pid = -1;
};

/// Lets all clients send what `make_data` says, keeps their connections open, and checks the entry.
template <typename MakeData>
void run_clients(const MakeData& make_data)
{
  ::signal(SIGPIPE, SIG_IGN);
  const platform_stand_in platform;
  const entry_process entry(platform.store_port());
  CPPUNIT_ASSERT(entry.is_ready());
  entry.check_service();
  std::vector<std::unique_ptr<client>> open;
  std::vector<std::thread> senders;
  for (int i = 0; i < clients; ++i)
  {
    open.push_back(std::make_unique<client>(entry.port()));
    senders.emplace_back([&make_data, i, sender = open.back().get()]
                         { (void)sender->send(make_data(i)); });
  }
  for (std::thread& sender : senders)
  {
    sender.join();
  }
  entry.check_bounds();
  entry.check_service();
}

std::string chunked_body(std::size_t size, std::size_t chunk)
{
  std::ostringstream out;
  for (std::size_t sent = 0; sent < size; sent += chunk)
  {
    out << std::hex << chunk << "\r\n" << std::string(chunk, 'x') << "\r\n";
  }
  return out.str();
}

/// Guards against answers to requests that were sent ahead, which pile up while nobody reads them.
class pipelined_requests_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(pipelined_requests_test);
  CPPUNIT_TEST(unread_answers_stay_within_memory);
  CPPUNIT_TEST_SUITE_END();

public:
  void unread_answers_stay_within_memory()
  {
    run_clients(
        [](int)
        {
          std::string data;
          for (int i = 0; i < 60000; ++i)
          {
            data += "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n";
          }
          return data;
        });
  }
};

/// Guards against bodies of legal size that stop just short of their end.
class large_bodies_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(large_bodies_test);
  CPPUNIT_TEST(unfinished_bodies_stay_within_memory);
  CPPUNIT_TEST_SUITE_END();

public:
  void unfinished_bodies_stay_within_memory()
  {
    run_clients(
        [](int client)
        {
          return make_head(route_path, "c" + std::to_string(client),
                           "Content-Length: " + std::to_string(body_bytes) + "\r\n") +
                 std::string(body_bytes - 1, 'x');
        });
  }
};

/// The same in chunks of 64 KB.
class large_chunks_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(large_chunks_test);
  CPPUNIT_TEST(unfinished_bodies_stay_within_memory);
  CPPUNIT_TEST_SUITE_END();

public:
  void unfinished_bodies_stay_within_memory()
  {
    run_clients(
        [](int client)
        {
          return make_head(route_path, "c" + std::to_string(client),
                           "Transfer-Encoding: chunked\r\n") +
                 chunked_body(body_bytes, 65536);
        });
  }
};

/// The same in chunks of 16 bytes.
class small_chunks_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(small_chunks_test);
  CPPUNIT_TEST(unfinished_bodies_stay_within_memory);
  CPPUNIT_TEST_SUITE_END();

public:
  void unfinished_bodies_stay_within_memory()
  {
    run_clients(
        [](int client)
        {
          return make_head(route_path, "c" + std::to_string(client),
                           "Transfer-Encoding: chunked\r\n") +
                 chunked_body(body_bytes, 16);
        });
  }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(pipelined_requests_test, "Memory.Pipelined");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(large_bodies_test, "Memory.LargeBodies");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(large_chunks_test, "Memory.LargeChunks");
CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(small_chunks_test, "Memory.SmallChunks");

} // namespace
