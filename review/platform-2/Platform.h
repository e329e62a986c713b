// Stand-ins for the scripts of this review: the platform's store, plain backend servers, callers, and the processes of
// the system with their settings. Everything listens on loopback addresses. One header, threads and blocking sockets.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void sleep_ms(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

inline std::uint64_t unix_ms()
{
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes what happened, with seconds since the start, to record.txt.
class record_file
{
public:
  explicit record_file(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
  double now() const { return std::chrono::duration<double>(clock::now() - m_start).count(); }
  template <typename... Args>
  void write(const char* format, Args... args)
  {
    const std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%8.3f ", now());
    std::fprintf(m_file, format, args...);
    std::fputc('\n', m_file);
    std::fflush(m_file);
  }

private:
  std::FILE* m_file;
  std::mutex m_mutex;
  clock::time_point m_start = clock::now();
};

struct message
{
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string field(const char* name) const
  {
    for (const auto& [key, value] : fields)
    {
      if (strcasecmp(key.c_str(), name) == 0)
      {
        return value;
      }
    }
    return {};
  }
  std::string target() const
  {
    const auto from = start_line.find(' ') + 1;
    return start_line.substr(from, start_line.rfind(' ') - from);
  }
  int status() const { return std::atoi(start_line.c_str() + 9); }
};

inline std::string query(const std::string& target, const std::string& name)
{
  for (const char* lead : {"?", "&"})
  {
    const auto at = target.find(lead + name + "=");
    if (at != std::string::npos)
    {
      const auto from = at + name.size() + 2;
      return target.substr(from, target.find('&', from) - from);
    }
  }
  return {};
}

/// A connection with a deadline for each read.
class stream
{
public:
  explicit stream(int socket) : m_socket(socket)
  {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~stream() { close(); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  static std::unique_ptr<stream> connect(const std::string& ip, int port, int timeout_ms = 1000)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
    {
      ::close(socket);
      return nullptr;
    }
    return std::make_unique<stream>(socket);
  }
  void close()
  {
    if (m_socket >= 0)
    {
      ::close(m_socket);
      m_socket = -1;
    }
  }
  /// Closes with a reset.
  void reset()
  {
    const linger hard{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  bool write(const std::string& data)
  {
    std::size_t sent = 0;
    while (sent < data.size())
    {
      const auto n = ::send(m_socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
      {
        return false;
      }
      sent += n;
    }
    return true;
  }
  /// 1 if bytes were added, 0 at the end of the stream, -1 on a reset, -2 if the time is over.
  int read_some(clock::time_point until)
  {
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd wait{m_socket, POLLIN, 0};
    if (left < 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
    {
      return -2;
    }
    char buffer[65536];
    const auto n = ::recv(m_socket, buffer, sizeof buffer, 0);
    if (n > 0)
    {
      m_data.append(buffer, n);
      return 1;
    }
    return n == 0 ? 0 : -1;
  }
  bool read_head(message& out, clock::time_point until)
  {
    std::size_t end = 0;
    while ((end = m_data.find("\r\n\r\n")) == std::string::npos)
    {
      if (read_some(until) != 1)
      {
        return false;
      }
    }
    out = {};
    std::size_t at = 0;
    while (at < end)
    {
      const auto line_end = std::min(m_data.find("\r\n", at), end);
      const std::string line = m_data.substr(at, line_end - at);
      const auto colon = line.find(": ");
      if (out.start_line.empty())
      {
        out.start_line = line;
      }
      else if (colon != std::string::npos)
      {
        out.fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
      }
      at = line_end + 2;
    }
    m_data.erase(0, end + 4);
    return true;
  }
  bool read_message(message& out, clock::time_point until)
  {
    if (!read_head(out, until))
    {
      return false;
    }
    const std::size_t length = std::strtoul(out.field("Content-Length").c_str(), nullptr, 10);
    while (m_data.size() < length)
    {
      if (read_some(until) != 1)
      {
        return false;
      }
    }
    out.body = m_data.substr(0, length);
    m_data.erase(0, length);
    return true;
  }
  int socket() const { return m_socket; }
  std::string& data() { return m_data; }

private:
  int m_socket;
  std::string m_data;
};

inline std::string response(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Accepts connections and runs a handler for each in a thread of its own. Threads end with the process.
class server
{
public:
  using handler = std::function<void(stream&)>;

  server(const std::string& ip, handler handle) : m_ip(ip)
  {
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(m_socket, 512) != 0)
    {
      std::perror("listen");
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    std::thread(
        [this, handle]
        {
          for (;;)
          {
            const int peer = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (peer < 0)
            {
              return;
            }
            std::thread(
                [peer, handle]
                {
                  stream connection(peer);
                  handle(connection);
                })
                .detach();
          }
        })
        .detach();
  }
  int port() const { return m_port; }
  std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
  std::string m_ip;
  int m_socket = -1;
  int m_port = 0;
};

inline std::string base64(const std::string& in)
{
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3)
  {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k)
    {
      value = value << 8U | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k)
    {
      out.push_back(i + k > in.size() ? '=' : digits[value >> (18 - 6 * k) & 63U]);
    }
  }
  return out;
}

inline std::string big_endian(std::uint64_t value, int bytes)
{
  std::string out;
  for (int i = bytes - 1; i >= 0; --i)
  {
    out.push_back(static_cast<char>(value >> (8 * i) & 255U));
  }
  return out;
}

/// The platform's store, as far as the system uses it: keyed topics with one partition.
class store
{
public:
  explicit store(const std::string& ip) : m_server(ip, [this](stream& peer) { serve(peer); }) {}

  std::string address() const { return m_server.address(); }
  void put(const std::string& topic, const std::string& key, const std::string& value)
  {
    const std::lock_guard lock(m_mutex);
    append(topic, key, value);
  }

private:
  struct keyed_record
  {
    std::string key;
    std::string value;
  };

  void append(const std::string& topic, const std::string& key, const std::string& value)
  {
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
  }
  void serve(stream& peer)
  {
    message request;
    while (peer.read_message(request, clock::now() + std::chrono::hours(1)))
    {
      const std::string target = request.target();
      const std::string topic = query(target, "topic");
      std::string answer;
      if (target.starts_with("/v1/log-append"))
      {
        answer = take(topic, request.body);
      }
      else if (target.starts_with("/v1/log-read"))
      {
        answer = read(topic, std::stoul(query(target, "from")), std::atoi(query(target, "wait_ms").c_str()));
      }
      else
      {
        answer = newest(topic);
      }
      if (!peer.write(answer))
      {
        return;
      }
    }
  }
  std::string take(const std::string& topic, const std::string& body)
  {
    const std::lock_guard lock(m_mutex);
    const std::size_t key_size = static_cast<unsigned char>(body.at(4));
    append(topic, body.substr(5, key_size), body.substr(5 + key_size));
    const auto end = m_topics[topic].size();
    return response(200, "Content-Type: application/json\r\n",
                    "{\"offset\":" + std::to_string(end - 1) + ",\"end\":" + std::to_string(end) + "}");
  }
  std::string read(const std::string& topic, std::size_t from, int wait_ms)
  {
    std::unique_lock lock(m_mutex);
    auto& log = m_topics[topic];
    m_changed.wait_for(lock, milliseconds(wait_ms), [&] { return log.size() > from; });
    std::string body = big_endian(log.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < log.size(); ++i)
    {
      const std::string content = big_endian(log[i].key.size(), 1) + log[i].key + log[i].value;
      body += big_endian(content.size(), 4) + content;
    }
    return response(200, "", body);
  }
  std::string newest(const std::string& topic)
  {
    const std::lock_guard lock(m_mutex);
    const auto& log = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < log.size(); ++i)
    {
      last[log[i].key] = i;
    }
    std::string items;
    for (const auto& [key, i] : last)
    {
      if (!log[i].value.empty())
      {
        items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" + base64(log[i].value) +
                 "\",\"offset\":" + std::to_string(i) + "}";
      }
    }
    return response(200, "Content-Type: application/json\r\n",
                    "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + std::to_string(log.size()) + "}");
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<keyed_record>> m_topics;
  server m_server;
};

/// Writes the record of a plain backend server every 1.2 s.
class registration
{
public:
  /// `more`: further fields, as JSON behind a comma.
  registration(store& target, std::string id, std::string service, std::string address, std::string zone,
               std::string more = {})
      : m_store(target), m_id(std::move(id)), m_service(std::move(service)), m_address(std::move(address)),
        m_zone(std::move(zone)), m_more(std::move(more)), m_born(unix_ms())
  {
    write();
    std::thread(
        [this]
        {
          for (;;)
          {
            sleep_ms(1200);
            write();
          }
        })
        .detach();
  }
  void write()
  {
    m_store.put("keyed.servers", m_id,
                "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address + "\",\"zone\":\"" + m_zone +
                    "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" +
                    std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + m_more + "}");
  }

private:
  store& m_store;
  std::string m_id, m_service, m_address, m_zone, m_more;
  std::uint64_t m_born;
  std::atomic<unsigned> m_sequence{0};
};

inline const std::vector<std::string> zones{"puget-a", "willamette-a", "inland-a"};
inline const std::vector<std::string> regions{"puget", "willamette", "inland"};

/// Ports of an entry; the same on all hosts, as in a deployment.
struct entry_ports
{
  int callers = 0, readiness = 0, lookup = 0, peers = 0;
};

inline int free_port()
{
  // Bound on all of loopback's first address only; the hosts of the test have addresses of their own.
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
  {
    std::_Exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  close(socket);
  return ntohs(address.sin_port);
}

/// deploy/entry.yaml, filled in as for a small deployment (bounds and limits of the site lumen-fleet).
inline std::string entry_settings(const std::string& name, const std::string& ip, std::size_t zone,
                                  const std::string& seeds, const std::string& store_address, const entry_ports& ports)
{
  std::string domains;
  for (std::size_t i = 0; i < zones.size(); ++i)
  {
    domains += (i == 0 ? "" : ",") + zones[i] + "=" + regions[i];
  }
  const auto at = [&ip](int port) { return "\"" + ip + ":" + std::to_string(port) + "\"\n"; };
  return "role: entry\nhost: \"" + name + "\"\nip: \"" + ip + "\"\nregion: \"" + regions[zone] +
         "\"\nfailure_domain: \"" + zones[zone] + "\"\ndomains: \"" + domains + "\"\nseeds: \"" + seeds +
         "\"\nstore: \"" + store_address +
         "\"\nmemory_mb: 182\nlink_mbit_per_s: 700.0\nstop_grace_s: 8\ndrain_limit_ms: 2000\nconfig_limit_ms: 2000\n"
         "version_limit_ms: 8000\nbackend_heartbeat_ms: 1200\nlookup_lifetime_limit_s: 5\nlog_level: info\nlisten:\n"
         "  callers: " + at(ports.callers) + "  readiness: " + at(ports.readiness) + "  lookup: " + at(ports.lookup) +
         "  peer_port: \"" + std::to_string(ports.peers) + "," + std::to_string(ports.peers) +
         "\"\nrepeats:\n  share: 0.2\n  window_s: 10\n  extra: 219\n";
}

/// Starts the program of the deploy file. Its output goes to `output`.
inline pid_t start_node(const std::string& settings_file, int output)
{
  const pid_t pid = fork();
  if (pid == 0)
  {
    // Ends with this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, 1);
    dup2(output, 2);
    setenv("POLLENYOKE_NODE_FILE", settings_file.c_str(), 1);
    execl("target/bin/pollenyoke-node", "target/bin/pollenyoke-node", "--settings-variable", "POLLENYOKE_NODE_FILE",
          nullptr);
    _exit(127);
  }
  return pid;
}

inline void write_file(const std::string& path, const std::string& text)
{
  std::FILE* file = std::fopen(path.c_str(), "w");
  std::fwrite(text.data(), 1, text.size(), file);
  std::fclose(file);
}

inline int open_log(const std::string& path)
{
  return open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
}

inline bool is_ready(const std::string& ip, int port)
{
  const auto peer = stream::connect(ip, port);
  message answer;
  return peer && peer->write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
         peer->read_message(answer, clock::now() + milliseconds(500)) && answer.status() == 200;
}

/// Ends processes by their ids and waits for them.
inline void end_processes(const std::vector<pid_t>& pids)
{
  for (const pid_t pid : pids)
  {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
  }
  for (const pid_t pid : pids)
  {
    waitpid(pid, nullptr, 0);
  }
}

} // namespace review
