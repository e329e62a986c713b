// A server that fails some of the requests that it has run, and says so with 503 without the header
// that states that a request was not run.

#include "../common/stand_in.h"

#include <cstdlib>
#include <thread>

#include <unistd.h>

using namespace review;

namespace
{

constexpr int requests = 150;
constexpr double request_interval_s = 0.06;
// Largest dose on the sheet: 0.45 of the requests of a server fail while its health is good.
constexpr int failing_percent = 45;
constexpr int servers = 3;

std::mutex mutex;
std::map<std::string, int> runs;

bool serve(int socket, const message& request, const std::string& server, bool is_grey)
{
  const std::string id = request.field("X-Pollenyoke-Request-Id");
  if (request.path() == "/health")
  {
    return send_all(socket, make_answer(200, "X-Pollenyoke-Instance-Id: " + server + "\r\n", ""));
  }
  if (request.field("X-Pollenyoke-Target-Instance") != server)
  {
    return send_all(socket, make_answer(421, "X-Pollenyoke-Instance-Id: " + server + "\r\n", ""));
  }
  {
    const std::lock_guard lock(mutex);
    ++runs[id];
    record("server " + server + " runs request " + id);
  }
  sleep_for(0.015);
  const std::string fields = "X-Pollenyoke-Request-Id: " + id +
                             "\r\nX-Pollenyoke-Response-Seal: seal." + id + "\r\n";
  const bool fails = is_grey && with_trouble() &&
                     std::hash<std::string>()(id) % 100 < static_cast<std::size_t>(failing_percent);
  return send_all(socket, fails ? make_answer(503, fields, "the billing system did not answer\n")
                                : make_answer(200, fields, std::string(800, 'a')));
}

} // namespace

int main(int, char** arguments)
{
  open_record(std::string(arguments[1]) + "/record.txt");
  store platform(loopback(1), 0);
  std::vector<std::unique_ptr<server>> desks;
  for (int number = 1; number <= servers; ++number)
  {
    const std::string id = "i-desk-" + std::to_string(number);
    desks.push_back(std::make_unique<server>(
        loopback(1 + number), 0, [id, number](int socket, const message& request)
        { return serve(socket, request, id, number == 1); }));
    platform.keep_server(id, R"({"service":"desk","address":")" + loopback(1 + number) + ":" +
                                 std::to_string(desks.back()->port()) +
                                 R"(","zone":"colombo-a","version":"v1","slots":6,)"
                                 R"("state":"ready","cold_remaining_ms":0,"sequence":0})");
  }
  const std::string ip = loopback(10);
  const entry_ports ports = free_ports({ip});
  platform.put("keyed.op", "config",
               R"({"version":3,"routes":[{"name":"r-reserve","host":"desk.example",)"
               R"("path_prefix":"/reserve/","kind":"non_idempotent","timeout_ms":600,)"
               R"("target_latency_ms":100,"priority":2,"service":"desk","max_attempts":1,)"
               R"("public":false}],"services":[{"name":"desk","health_path":"/health",)"
               R"("max_connections":244}],"limits":{"max_header_bytes":16384,)"
               R"("max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000}})");
  node entry("entry",
             entry_settings(ip, ports, loopback(1) + ":" + std::to_string(platform.port()),
                            ip + ":" + std::to_string(ports.peers)));
  entry.start();
  wait_until_ready(ip, ports.readiness);
  sleep_for(0.6);

  std::map<int, int> statuses;
  int false_refusals = 0;
  for (int number = 1; number <= requests; ++number)
  {
    const double began = now();
    const std::string id = make_id("reserve", number);
    const int socket = connect_to(ip, ports.callers, 1);
    message answer;
    int status = 0;
    if (socket >= 0)
    {
      send_all(socket, "POST /reserve/a HTTP/1.1\r\nHost: desk.example\r\n"
                       "X-Pollenyoke-Request-Id: " +
                           id + "\r\nX-Pollenyoke-Request-Deadline: 600\r\nContent-Length: 600\r\n\r\n" +
                           std::string(600, 'b'));
      status = reader(socket).read(answer, now() + 1.2) == read_result::whole ? answer.status() : 0;
      ::close(socket);
    }
    ++statuses[status];
    const std::lock_guard lock(mutex);
    const bool promise = status == 503 || status == 429 || status == 408 || status == 421;
    const bool broken = promise && runs[id] > 0;
    false_refusals += broken ? 1 : 0;
    record("request " + id + " answered " + std::to_string(status) + ", run " +
           std::to_string(runs[id]) + " times" + (broken ? ": the promise is broken" : ""));
    sleep_until(began + request_interval_s);
  }
  std::string result = std::to_string(false_refusals) + " of " + std::to_string(requests) +
                       " requests were answered with a promise that they have not run, and had run;";
  for (const auto& [status, count] : statuses)
  {
    result += " status " + std::to_string(status) + ": " + std::to_string(count);
  }
  if (statuses[200] == 0)
  {
    finish(exit_cannot_run, "nothing was served; " + result);
  }
  finish(false_refusals > 0 ? exit_broken : exit_held, result);
}
