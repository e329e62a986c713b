#include "stand_in.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

const auto program_start = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::ofstream record_file;
std::mutex nodes_mutex;
std::vector<pid_t> node_ids;
std::string work_folder;

const std::string& work()
{
  static std::once_flag once;
  std::call_once(once,
                 []
                 {
                   std::string pattern =
                       (std::filesystem::temp_directory_path() / "pollenyoke-review-XXXXXX").string();
                   if (mkdtemp(pattern.data()) == nullptr)
                   {
                     std::perror("mkdtemp");
                     std::_Exit(exit_cannot_run);
                   }
                   work_folder = pattern;
                 });
  return work_folder;
}

bool equal_names(const std::string& a, const std::string& b)
{
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](unsigned char x, unsigned char y)
                    { return std::tolower(x) == std::tolower(y); });
}

sockaddr_in make_address(const std::string& ip, int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void set_no_delay(int socket)
{
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string big_endian(std::uint64_t value, int bytes)
{
  std::string out;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
  {
    out.push_back(static_cast<char>(value >> shift & 0xff));
  }
  return out;
}

std::string base64(const std::string& data)
{
  std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string quote_json(const std::string& text)
{
  std::string out = "\"";
  for (const char c : text)
  {
    if (c == '"' || c == '\\')
    {
      out.push_back('\\');
    }
    out.push_back(c);
  }
  return out + "\"";
}

} // namespace

double now()
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - program_start).count();
}

void sleep_until(double time)
{
  sleep_for(time - now());
}

void sleep_for(double seconds)
{
  if (seconds > 0)
  {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

bool with_trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void open_record(const std::string& path)
{
  record_file.open(path, std::ios::trunc);
  record(std::string("disruption: ") + (with_trouble() ? "on" : "off"));
}

void record(const std::string& line)
{
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", now());
  record_file << time << line << std::endl;
}

void finish(int status, const std::string& result)
{
  record("result: " + result);
  std::printf("%s\n", result.c_str());
  std::fflush(stdout);
  {
    const std::lock_guard lock(nodes_mutex);
    for (const pid_t id : node_ids)
    {
      ::kill(id, SIGCONT);
      ::kill(id, SIGKILL);
    }
    for (const pid_t id : node_ids)
    {
      ::waitpid(id, nullptr, 0);
    }
  }
  if (!work_folder.empty() && std::getenv("KEEP") == nullptr)
  {
    std::error_code ignored;
    std::filesystem::remove_all(work_folder, ignored);
  }
  std::_Exit(status);
}

std::string message::method() const
{
  return start.substr(0, start.find(' '));
}

std::string message::target() const
{
  const auto begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}

std::string message::path() const
{
  const std::string all = target();
  return all.substr(0, all.find('?'));
}

std::string message::query(const std::string& name) const
{
  const std::string all = target();
  const auto question = all.find('?');
  std::istringstream parts(question == std::string::npos ? "" : all.substr(question + 1));
  std::string part;
  while (std::getline(parts, part, '&'))
  {
    if (part.starts_with(name + "="))
    {
      return part.substr(name.size() + 1);
    }
  }
  return {};
}

int message::status() const
{
  const auto space = start.find(' ');
  return space == std::string::npos ? 0 : std::atoi(start.c_str() + space + 1);
}

std::string message::field(const std::string& name) const
{
  for (const auto& [key, value] : fields)
  {
    if (equal_names(key, name))
    {
      return value;
    }
  }
  return {};
}

bool message::has_field(const std::string& name) const
{
  return std::any_of(fields.begin(), fields.end(),
                     [&name](const auto& item) { return equal_names(item.first, name); });
}

bool reader::fill(double deadline, read_result& failure)
{
  for (;;)
  {
    const double left = deadline - now();
    if (left <= 0)
    {
      failure = read_result::timeout;
      return false;
    }
    pollfd waiting{m_socket, POLLIN, 0};
    const int ready = ::poll(&waiting, 1, std::max(1, static_cast<int>(left * 1000)));
    if (ready <= 0)
    {
      continue;
    }
    char buffer[65536];
    const ssize_t received = ::recv(m_socket, buffer, sizeof(buffer), 0);
    if (received <= 0)
    {
      failure = m_buffer.empty() && received == 0 ? read_result::closed : read_result::cut;
      return false;
    }
    m_buffer.append(buffer, static_cast<std::size_t>(received));
    return true;
  }
}

read_result reader::read(message& out, double deadline, const std::function<void()>& on_head)
{
  out = {};
  read_result failure = read_result::whole;
  std::size_t head_end = 0;
  while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos)
  {
    if (!fill(deadline, failure))
    {
      return failure;
    }
  }
  std::istringstream head(m_buffer.substr(0, head_end + 2));
  m_buffer.erase(0, head_end + 4);
  std::string line;
  while (std::getline(head, line))
  {
    line.pop_back();
    if (out.start.empty())
    {
      out.start = line;
      continue;
    }
    const auto colon = line.find(':');
    const auto value = line.find_first_not_of(' ', colon + 1);
    out.fields.emplace_back(line.substr(0, colon),
                            value == std::string::npos ? "" : line.substr(value));
  }
  if (on_head)
  {
    on_head();
  }
  const auto need = [&](std::size_t size)
  {
    while (m_buffer.size() < size)
    {
      if (!fill(deadline, failure))
      {
        failure = failure == read_result::closed ? read_result::cut : failure;
        return false;
      }
    }
    return true;
  };
  if (out.field("Transfer-Encoding") != "chunked")
  {
    const std::size_t size = std::strtoul(out.field("Content-Length").c_str(), nullptr, 10);
    if (!need(size))
    {
      return failure;
    }
    out.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return read_result::whole;
  }
  for (;;)
  {
    std::size_t line_end = 0;
    while ((line_end = m_buffer.find("\r\n")) == std::string::npos)
    {
      if (!need(m_buffer.size() + 1))
      {
        return failure;
      }
    }
    const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
    if (!need(line_end + 2 + size + 2))
    {
      return failure;
    }
    out.body.append(m_buffer, line_end + 2, size);
    m_buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0)
    {
      return read_result::whole;
    }
  }
}

int connect_to(const std::string& ip, int port, double timeout)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = make_address(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
  {
    pollfd waiting{socket, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeout * 1000)) <= 0 ||
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0)
    {
      ::close(socket);
      return -1;
    }
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  set_no_delay(socket);
  return socket;
}

bool send_all(int socket, const std::string& data)
{
  std::size_t sent = 0;
  while (sent < data.size())
  {
    const ssize_t written =
        ::send(socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (written <= 0)
    {
      return false;
    }
    sent += static_cast<std::size_t>(written);
  }
  return true;
}

void reset_connection(int socket)
{
  const linger hard{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  ::close(socket);
}

std::string make_answer(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

namespace
{

/// Runs `on_connection` in a thread of its own for each connection. Returns the port.
int listen_on(const std::string& ip, int port, std::function<void(int socket)> on_connection)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = make_address(ip, port);
  socklen_t size = sizeof(address);
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(listener, 512) != 0)
  {
    finish(exit_cannot_run, "cannot listen on " + ip + ": " + std::strerror(errno));
  }
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread(
      [listener, on_connection]
      {
        for (;;)
        {
          const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
          if (socket < 0)
          {
            sleep_for(0.01);
            continue;
          }
          set_no_delay(socket);
          std::thread(on_connection, socket).detach();
        }
      })
      .detach();
  return ntohs(address.sin_port);
}

} // namespace

server::server(const std::string& ip, int port, handler on_request)
    : m_port(listen_on(ip, port,
                       [on_request](int socket)
                       {
                         reader from(socket);
                         message request;
                         while (from.read(request, 1e9) == read_result::whole &&
                                on_request(socket, request))
                         {
                         }
                         ::close(socket);
                       }))
{
}

proxy::proxy(const std::string& ip, std::string to_ip, int to_port)
    : m_port(listen_on(ip, 0,
                       [this, to_ip, to_port](int caller)
                       {
                         const int callee = connect_to(to_ip, to_port, 1);
                         if (callee < 0)
                         {
                           reset_connection(caller);
                           return;
                         }
                         const auto state = std::make_shared<link>();
                         state->last_bytes = now();
                         {
                           const std::lock_guard lock(m_mutex);
                           m_links.push_back(state);
                         }
                         std::thread back([state, caller, callee] { pass(state, callee, caller, false); });
                         pass(state, caller, callee, true);
                         back.join();
                         ::close(caller);
                         ::close(callee);
                       }))
{
}

void proxy::pass(const std::shared_ptr<link>& state, int from, int to, bool is_request)
{
  char buffer[65536];
  for (;;)
  {
    const ssize_t received = ::recv(from, buffer, sizeof(buffer), 0);
    if (received <= 0)
    {
      break;
    }
    if (state->silent)
    {
      continue;
    }
    state->last_bytes = now();
    state->awaits_answer = is_request;
    if (!send_all(to, std::string(buffer, static_cast<std::size_t>(received))))
    {
      break;
    }
  }
  if (state->silent)
  {
    // Not even the end of the connection reaches the other side.
    return;
  }
  state->open = false;
  ::shutdown(to, SHUT_WR);
}

int proxy::silence_waiting(double idle)
{
  const std::lock_guard lock(m_mutex);
  int count = 0;
  for (const auto& state : m_links)
  {
    if (state->open && state->awaits_answer && now() - state->last_bytes >= idle)
    {
      state->silent = true;
      ++count;
    }
  }
  return count;
}

int proxy::open_connections()
{
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(std::count_if(m_links.begin(), m_links.end(),
                                        [](const auto& state) { return state->open.load(); }));
}

store::store(const std::string& ip, int port)
    : m_server(std::make_unique<server>(ip, port, [this](int socket, const message& request)
                                        { return handle(socket, request); }))
{
}

int store::port() const
{
  return m_server->port();
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
  const std::lock_guard lock(m_mutex);
  m_topics[topic].push_back({key, value});
  m_changed.notify_all();
}

void store::keep_server(const std::string& id, const std::string& value)
{
  std::thread(
      [this, id, value]
      {
        for (;;)
        {
          put("keyed.servers", id, value);
          sleep_for(1.2);
        }
      })
      .detach();
}

bool store::handle(int socket, const message& request)
{
  sleep_for(0.004);
  const std::string path = request.path();
  if (path == "/v1/log-append")
  {
    return append(socket, request);
  }
  if (path == "/v1/log-read")
  {
    return read(socket, request);
  }
  if (path == "/v1/log-newest")
  {
    return newest(socket, request);
  }
  return send_all(socket, make_answer(404, "", ""));
}

bool store::append(int socket, const message& request)
{
  const std::string topic = request.query("topic");
  std::size_t at = 0;
  std::unique_lock lock(m_mutex);
  auto& log = m_topics[topic];
  const std::size_t offset = log.size();
  while (at + 5 <= request.body.size())
  {
    const auto byte = [&request](std::size_t index)
    {
      return static_cast<std::size_t>(static_cast<unsigned char>(request.body[index]));
    };
    const std::size_t length =
        byte(at) << 24U | byte(at + 1) << 16U | byte(at + 2) << 8U | byte(at + 3);
    const std::size_t key_length = byte(at + 4);
    log.push_back({request.body.substr(at + 5, key_length),
                   request.body.substr(at + 5 + key_length, length - 1 - key_length)});
    at += 4 + length;
  }
  m_changed.notify_all();
  const std::size_t end = log.size();
  lock.unlock();
  return send_all(socket, make_answer(200, "Content-Type: application/json\r\n",
                                      "{\"offset\":" + std::to_string(offset) +
                                          ",\"end\":" + std::to_string(end) + "}"));
}

bool store::read(int socket, const message& request)
{
  const std::string topic = request.query("topic");
  const std::size_t from = std::strtoul(request.query("from").c_str(), nullptr, 10);
  const double wait = std::strtod(request.query("wait_ms").c_str(), nullptr) / 1000;
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, std::chrono::duration<double>(wait),
                     [&] { return m_topics[topic].size() > from; });
  const auto& log = m_topics[topic];
  std::string body = big_endian(log.size(), 8) + big_endian(0, 8);
  for (std::size_t offset = from; offset < log.size() && body.size() < 1U << 20U; ++offset)
  {
    const keyed_record& item = log[offset];
    body += big_endian(1 + item.key.size() + item.value.size(), 4);
    body += static_cast<char>(item.key.size());
    body += item.key + item.value;
  }
  lock.unlock();
  return send_all(socket, make_answer(200, "", body));
}

bool store::newest(int socket, const message& request)
{
  std::unique_lock lock(m_mutex);
  const auto& log = m_topics[request.query("topic")];
  std::map<std::string, std::size_t> last;
  for (std::size_t offset = 0; offset < log.size(); ++offset)
  {
    last[log[offset].key] = offset;
  }
  std::string items;
  for (const auto& [key, offset] : last)
  {
    if (!log[offset].value.empty())
    {
      items += (items.empty() ? "" : ",") + std::string("{\"key\":") + quote_json(key) +
               ",\"value\":\"" + base64(log[offset].value) +
               "\",\"offset\":" + std::to_string(offset) + "}";
    }
  }
  const std::string body =
      "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + std::to_string(log.size()) + "}";
  lock.unlock();
  return send_all(socket, make_answer(200, "Content-Type: application/json\r\n", body));
}

node::node(std::string name, const std::string& settings, int output)
    : m_name(std::move(name)), m_settings_file(work() + "/" + m_name + ".yaml"), m_output(output)
{
  std::ofstream(m_settings_file) << settings;
}

void node::start()
{
  const std::string log = work() + "/" + m_name + ".log";
  // Only what the deployment passes on, prepared before the fork, as other threads may hold locks.
  const std::string variable = "POLLENYOKE_NODE_FILE=" + m_settings_file;
  const char* path = std::getenv("PATH");
  const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
  const char* const environment[] = {variable.c_str(), path_variable.c_str(), nullptr};
  const char* const arguments[] = {"target/bin/pollenyoke-node", "--settings-variable",
                                   "POLLENYOKE_NODE_FILE", nullptr};
  const pid_t id = ::fork();
  if (id < 0)
  {
    finish(exit_cannot_run, "cannot start a process");
  }
  if (id == 0)
  {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = m_output >= 0 ? m_output : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execve(arguments[0], const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
  }
  m_id = id;
  const std::lock_guard lock(nodes_mutex);
  node_ids.push_back(id);
}

void node::signal(int number) const
{
  ::kill(m_id, number);
}

bool node::is_running()
{
  if (m_id < 0)
  {
    return false;
  }
  if (::waitpid(m_id, nullptr, WNOHANG) != m_id)
  {
    return true;
  }
  const std::lock_guard lock(nodes_mutex);
  std::erase(node_ids, m_id);
  m_id = -1;
  return false;
}

double node::resident_mb() const
{
  std::ifstream statm("/proc/" + std::to_string(m_id) + "/statm");
  double size = 0;
  double resident = 0;
  statm >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string loopback(int number)
{
  // Runs beside each other use other addresses.
  const int run = static_cast<int>(::getpid());
  return "127." + std::to_string(30 + run / 200 % 200) + "." + std::to_string(1 + run % 200) + "." +
         std::to_string(number);
}

entry_ports free_ports(const std::vector<std::string>& ips)
{
  // All sockets stay open until the end, so that no port is found twice.
  std::vector<int> sockets;
  const auto bind_to = [&sockets](const std::string& ip, int port, int type)
  {
    const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockets.push_back(socket);
    sockaddr_in address = make_address(ip, port);
    socklen_t size = sizeof(address);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
    {
      return 0;
    }
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return static_cast<int>(ntohs(address.sin_port));
  };
  const auto find = [&]
  {
    for (int attempt = 0; attempt < 50; ++attempt)
    {
      const int port = bind_to(ips.front(), 0, SOCK_STREAM);
      bool is_free = port != 0 && bind_to(ips.front(), port, SOCK_DGRAM) == port;
      for (std::size_t other = 1; is_free && other < ips.size(); ++other)
      {
        is_free = bind_to(ips[other], port, SOCK_STREAM) == port &&
                  bind_to(ips[other], port, SOCK_DGRAM) == port;
      }
      if (is_free)
      {
        return port;
      }
    }
    finish(exit_cannot_run, "no free port");
  };
  entry_ports out;
  for (int* port : {&out.callers, &out.readiness, &out.lookup, &out.peers})
  {
    *port = find();
  }
  for (const int socket : sockets)
  {
    ::close(socket);
  }
  return out;
}

namespace
{

std::string common_settings(const std::string& ip, const std::string& store_address,
                            const std::string& seeds, const std::string& zone)
{
  const std::string region = zone == "kandy-a" ? "central" : zone == "galle-a" ? "southern" : "western";
  return "host: \"" + ip + "\"\nip: \"" + ip + "\"\nregion: \"" + region +
         "\"\nfailure_domain: \"" + zone + "\"\n"
         "domains: \"colombo-a=western,kandy-a=central,galle-a=southern\"\nseeds: \"" +
         seeds + "\"\nstore: \"" + store_address +
         "\"\nstop_grace_s: 8\ndrain_limit_ms: 2000\nconfig_limit_ms: 2000\nversion_limit_ms: 8000\n"
         "log_level: info\n";
}

} // namespace

std::string entry_settings(const std::string& ip, const entry_ports& ports,
                           const std::string& store_address, const std::string& seeds,
                           const std::string& zone)
{
  const auto address = [&ip](int port)
  {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  return "role: entry\n" + common_settings(ip, store_address, seeds, zone) +
         "memory_mb: 182\nlink_mbit_per_s: 700.0\nbackend_heartbeat_ms: 1200\n"
         "lookup_lifetime_limit_s: 5\nlisten:\n  callers: " +
         address(ports.callers) + "  readiness: " + address(ports.readiness) +
         "  lookup: " + address(ports.lookup) + "  peer_port: \"" + std::to_string(ports.peers) +
         "\"\nrepeats:\n  share: 0.2\n  window_s: 10\n  extra: 236\n";
}

std::string agent_settings(const std::string& ip, int peer_port, const std::string& store_address,
                           const std::string& seeds, const std::string& engine,
                           const std::string& service)
{
  return "role: agent\n" + common_settings(ip, store_address, seeds, "colombo-a") +
         "memory_mb: 128\nlink_mbit_per_s: 9.4\nengine: \"" + engine + "\"\nservice: \"" + service +
         "\"\nlisten:\n  peer_port: \"" + std::to_string(peer_port) + "\"\n";
}

void wait_until_ready(const std::string& ip, int readiness_port)
{
  const double limit = now() + 15;
  while (now() < limit)
  {
    const int socket = connect_to(ip, readiness_port, 0.5);
    if (socket >= 0)
    {
      message answer;
      send_all(socket, "GET /v1/readiness HTTP/1.1\r\nHost: readiness\r\n\r\n");
      const bool ready =
          reader(socket).read(answer, now() + 1) == read_result::whole && answer.status() == 200;
      ::close(socket);
      if (ready)
      {
        return;
      }
    }
    sleep_for(0.05);
  }
  for (const auto& file : std::filesystem::directory_iterator(work()))
  {
    std::ifstream log(file.path());
    std::string line;
    while (file.path().extension() == ".log" && std::getline(log, line))
    {
      record(line);
    }
  }
  finish(exit_cannot_run, "entry " + ip + " does not become ready");
}

std::string make_id(const std::string& prefix, int number)
{
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(std::hash<std::string>()(prefix)),
                static_cast<unsigned>(number));
  return text;
}

std::string sha256_hex(const std::string& data)
{
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned size = 0;
  EVP_Digest(data.data(), data.size(), digest, &size, EVP_sha256(), nullptr);
  std::string out;
  for (unsigned i = 0; i < size; ++i)
  {
    char hex[3];
    std::snprintf(hex, sizeof(hex), "%02x", digest[i]);
    out += hex;
  }
  return out;
}

} // namespace review
