// A request that crashes each server that begins to run it: the server makes the first event and ends.
// The caller sends it again and again.

#include "../common/stand_in.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace review;

namespace
{

constexpr int engines = 6;
// "The engine is back after some seconds."
constexpr double down_s = 3;
// "Such a request comes again."
constexpr double repeat_interval_s = 2.5;
constexpr double begin_s = 12;
// The users' day with such requests (deploy/days/tainted.toml) has 22 s of them.
constexpr double end_s = begin_s + 22;
constexpr double stability_window_s = 3;
constexpr int allowed_retries = 3;
constexpr int callers = 8;
constexpr double call_interval_s = 1;
constexpr int events = 20;
constexpr double event_interval_s = 0.046;
constexpr const char* deadly_body = "the plan that ends the server";

std::mutex mutex;
std::vector<double> crashes;
/// Arrivals of each attempt of the deadly request.
std::map<std::string, std::vector<double>> deadly_arrivals;
int others_cut = 0;
int others_whole = 0;
int others_refused = 0;

/// A model server that listens, ends all its connections at a crash and comes back.
class model_server
{
public:
  model_server(int number, store& platform)
      : m_name("i-model-" + std::to_string(number)), m_ip(loopback(20 + number)),
        m_platform(platform)
  {
    m_port = free_ports({m_ip}).callers;
    listen_again();
    std::thread([this] { beat(); }).detach();
  }

private:
  void listen_again()
  {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(m_port));
    inet_pton(AF_INET, m_ip.c_str(), &address.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener, 128) != 0)
    {
      finish(exit_cannot_run, "a server cannot listen");
    }
    const std::lock_guard lock(m_state);
    m_listener = listener;
    m_alive = true;
    ++m_starts;
    std::thread([this, listener] { accept_all(listener); }).detach();
  }

  void accept_all(int listener)
  {
    for (;;)
    {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0)
      {
        return;
      }
      const std::lock_guard lock(m_state);
      if (!m_alive || listener != m_listener)
      {
        reset_connection(socket);
        return;
      }
      m_connections.insert(socket);
      std::thread(
          [this, socket]
          {
            reader from(socket);
            message request;
            while (from.read(request, 1e9) == read_result::whole && serve(socket, request))
            {
            }
            const std::lock_guard ending(m_state);
            if (m_connections.erase(socket) > 0)
            {
              ::close(socket);
            }
          })
          .detach();
    }
  }

  bool serve(int socket, const message& request)
  {
    const std::string id = request.field("X-Pollenyoke-Request-Id");
    if (request.field("X-Pollenyoke-Target-Instance") != m_name)
    {
      return send_all(socket, make_answer(421, "", ""));
    }
    const bool deadly = request.body == deadly_body;
    if (deadly)
    {
      const std::lock_guard lock(mutex);
      deadly_arrivals[id].push_back(now());
      record("deadly request " + id + " reaches " + m_name);
    }
    const int first = 1 + std::atoi(request.field("Last-Event-Id").c_str());
    bool open = send_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                 "Transfer-Encoding: chunked\r\nX-Pollenyoke-Request-Id: " +
                                     id + "\r\nX-Pollenyoke-Response-Seal: seal." + id + "\r\n\r\n");
    for (int event = first; open && event <= events; ++event)
    {
      sleep_for(event_interval_s);
      const std::string text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      open = send_all(socket, size + text + "\r\n");
      if (deadly)
      {
        sleep_for(0.01);
        crash();
        return false;
      }
    }
    return open && send_all(socket, "0\r\n\r\n");
  }

  void crash()
  {
    {
      const std::lock_guard lock(mutex);
      crashes.push_back(now());
      record(m_name + " crashes, crash " + std::to_string(crashes.size()));
    }
    const std::lock_guard lock(m_state);
    if (!m_alive)
    {
      return;
    }
    m_alive = false;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    for (const int socket : m_connections)
    {
      const linger hard{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      ::close(socket);
    }
    m_connections.clear();
    std::thread(
        [this]
        {
          sleep_for(down_s);
          listen_again();
          record(m_name + " is back");
        })
        .detach();
  }

  void beat()
  {
    for (;;)
    {
      bool alive = false;
      std::uint64_t born = 0;
      {
        const std::lock_guard lock(m_state);
        alive = m_alive;
        born = 1'700'000'000'000ULL + static_cast<std::uint64_t>(m_starts);
      }
      if (alive)
      {
        m_platform.put("keyed.servers", m_name,
                       R"({"service":"plans","address":")" + m_ip + ":" + std::to_string(m_port) +
                           R"(","zone":"colombo-a","version":"v1","slots":16,"state":"ready",)"
                           R"("cold_remaining_ms":0,"sequence":0,"born":)" +
                           std::to_string(born) + "}");
      }
      sleep_for(1.2);
    }
  }

  std::string m_name;
  std::string m_ip;
  store& m_platform;
  int m_port = 0;
  std::mutex m_state;
  std::set<int> m_connections;
  int m_listener = -1;
  int m_starts = 0;
  bool m_alive = false;
};

/// Sends one request; returns its status, negative if the answer was cut after it had begun.
int call(const std::string& ip, int port, const std::string& id, const std::string& body,
         const std::string& prefix)
{
  const int socket = connect_to(ip, port, 1);
  if (socket < 0)
  {
    return 0;
  }
  send_all(socket, "POST /plans/a HTTP/1.1\r\nHost: plans.example\r\nX-Pollenyoke-Request-Id: " + id +
                       "\r\nX-Pollenyoke-Token-Count: 1290,100\r\nX-Pollenyoke-Prompt-Prefix: " +
                       prefix + "\r\nX-Pollenyoke-Request-Deadline: 6000\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
  message answer;
  const read_result result = reader(socket).read(answer, now() + 6.5);
  ::close(socket);
  return result == read_result::whole ? answer.status() : -answer.status();
}

} // namespace

int main(int, char** arguments)
{
  open_record(std::string(arguments[1]) + "/record.txt");
  store platform(loopback(1), 0);
  std::vector<std::unique_ptr<model_server>> servers;
  for (int number = 1; number <= engines; ++number)
  {
    servers.push_back(std::make_unique<model_server>(number, platform));
  }
  const std::string ip = loopback(10);
  const entry_ports ports = free_ports({ip});
  platform.put("keyed.op", "config",
               R"({"version":3,"routes":[{"name":"r-plans","host":"plans.example",)"
               R"("path_prefix":"/plans/","kind":"streaming","timeout_ms":6000,)"
               R"("target_latency_ms":500,"priority":1,"service":"plans","max_attempts":2,)"
               R"("public":false,"sticky":true,"stream_resume":true,"target_gap_ms":400}],)"
               R"("services":[{"name":"plans","health_path":"/health","max_connections":831}],)"
               R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
               R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})");
  node entry("entry",
             entry_settings(ip, ports, loopback(1) + ":" + std::to_string(platform.port()),
                            ip + ":" + std::to_string(ports.peers)));
  entry.start();
  wait_until_ready(ip, ports.readiness);
  sleep_for(0.6);

  std::vector<std::thread> all;
  for (int caller = 0; caller < callers; ++caller)
  {
    all.emplace_back(
        [&, caller]
        {
          int number = 0;
          sleep_for(call_interval_s * caller / callers);
          while (now() < end_s)
          {
            const double began = now();
            const std::string id = make_id("other" + std::to_string(caller), ++number);
            const int status =
                call(ip, ports.callers, id, "plan " + id, "5c1e07a2:40," + id.substr(8) + ":1250");
            const std::lock_guard lock(mutex);
            others_whole += status == 200 ? 1 : 0;
            others_refused += status == 503 ? 1 : 0;
            others_cut += status < 0 ? 1 : 0;
            record("other request " + id + ": " + std::to_string(status));
            sleep_until(began + call_interval_s);
          }
        });
  }
  if (with_trouble())
  {
    sleep_until(begin_s);
    for (int number = 1; now() < end_s; ++number)
    {
      const double began = now();
      const std::string id = make_id("deadly", number);
      const int status = call(ip, ports.callers, id, deadly_body, "77aa01c3:40,0badf00d:1250");
      record("deadly request " + id + " sent at " + std::to_string(began) + ": " +
             std::to_string(status));
      sleep_until(began + repeat_interval_s);
    }
  }
  for (auto& caller : all)
  {
    caller.join();
  }
  const std::lock_guard lock(mutex);
  int late_arrivals = 0;
  int late_repeats = 0;
  if (crashes.size() >= 3)
  {
    const double bound = crashes[2] + stability_window_s;
    for (const auto& [id, times] : deadly_arrivals)
    {
      for (std::size_t index = 0; index < times.size(); ++index)
      {
        late_arrivals += times[index] > bound ? 1 : 0;
        late_repeats += times[index] > bound && index > 0 ? 1 : 0;
      }
    }
  }
  const std::string result =
      std::to_string(crashes.size()) + " crashes; after the third one and " +
      std::to_string(static_cast<int>(stability_window_s)) + " s more, the deadly request reached servers " +
      std::to_string(late_arrivals) + " times, " + std::to_string(late_repeats) +
      " of them as repeats of the system itself; other requests: " + std::to_string(others_whole) +
      " whole, " + std::to_string(others_cut) + " cut, " + std::to_string(others_refused) + " refused";
  if (others_whole == 0 || (with_trouble() && crashes.empty()))
  {
    finish(exit_cannot_run, result);
  }
  finish(late_repeats > allowed_retries ? exit_broken : exit_held, result);
}
