// The agent of a model server stands still while it reads back the staged pieces. A piece that it has
// read already turns bad meanwhile.

#include "../common/stand_in.h"

#include <csignal>
#include <cstdlib>
#include <thread>

#include <unistd.h>

using namespace review;

namespace
{

constexpr unsigned layers = 16;
constexpr unsigned pieces = 48;
constexpr std::size_t piece_bytes = 49'152;
constexpr const char* model = "m0";
// One of them is 0.11: at most 0.12 of the agents stand still, at most 0.3 of the servers lose a piece.
constexpr int hosts = 9;
// The agent stands still when it has read half of the pieces back.
constexpr unsigned freeze_at_piece = pieces / 2;
constexpr unsigned bad_piece = 5;
// Largest freeze of a side machine on the sheet.
constexpr double freeze_s = 4;
constexpr double bad_after_s = 0.1;
// RULES.md, WHOLE: a piece that turned bad in the last 3 s is excused.
constexpr double excused_s = 3;
constexpr double load_s = 0.3;

std::string make_piece(unsigned version, unsigned number)
{
  std::string out(piece_bytes, '\0');
  unsigned state = version * 1000 + number + 1;
  for (char& c : out)
  {
    state = state * 1664525U + 1013904223U;
    c = static_cast<char>(state >> 24U);
  }
  return out;
}

std::mutex mutex;
node* agent = nullptr;
struct engine
{
  int number = 0;
  unsigned version = 1;
  unsigned loading_version = 0;
  double loading_until = 0;
  unsigned orders = 0;
  std::map<unsigned, std::string> staged;
  std::map<unsigned, double> bad_since;
  std::vector<std::string> problems;
  std::vector<std::string> loaded_problems;
};
engine engines[hosts];
bool frozen = false;
double frozen_at = 0;

unsigned long number_after(const std::string& text, const std::string& key)
{
  const auto at = text.find("\"" + key + "\":");
  return at == std::string::npos ? 0 : std::strtoul(text.c_str() + at + key.size() + 3, nullptr, 10);
}

void update_load(engine& of)
{
  if (of.loading_version != 0 && now() >= of.loading_until)
  {
    of.version = of.loading_version;
    of.loading_version = 0;
    of.loaded_problems = of.problems;
    record("server " + std::to_string(of.number) + " makes tokens with version " + std::to_string(of.version) +
           (of.loaded_problems.empty() ? "" : ", loaded from bad pieces"));
  }
}

std::string report(engine& of)
{
  update_load(of);
  const unsigned shown = of.loading_version != 0 ? 0 : of.version;
  return R"({"stage":"colocated","models":[{"name":"m0","version":)" + std::to_string(shown) +
         R"(,"adapters":[]}],"layers":[{"from":0,"to":)" +
         std::to_string(shown == 0 ? 0 : layers) + R"(,"version":)" + std::to_string(shown) +
         R"(}],"busy":)" + (of.loading_version != 0 ? "true" : "false") + R"(,"sequence":)" +
         std::to_string(of.orders) +
         R"(,"waiting":0,"running":0,"kv_used":0,"kv_total":5072000,"handles":0,"pace":1.0,)"
         R"("born":1700000000000})";
}

/// Takes the of.staged pieces as they are now.
void take_staged(engine& of, unsigned wanted)
{
  of.problems.clear();
  for (unsigned number = 0; number < pieces; ++number)
  {
    if (of.staged[number] == make_piece(wanted, number))
    {
      continue;
    }
    const auto turned = of.bad_since.find(number);
    const double age = turned == of.bad_since.end() ? -1 : now() - turned->second;
    const bool excused = turned != of.bad_since.end() && age <= excused_s;
    record("server " + std::to_string(of.number) + ": order takes piece " + std::to_string(number) + ", which is bad, since " +
           std::to_string(age) + " s" + (excused ? ": excused" : ""));
    if (!excused)
    {
      of.problems.push_back("piece " + std::to_string(number) + ", bad for " + std::to_string(age) +
                         " s");
    }
  }
}

bool serve_engine(int socket, const message& request, engine& of)
{
  const std::string path = request.path();
  const auto number =
      static_cast<unsigned>(std::strtoul(request.query("num").c_str(), nullptr, 10));
  std::unique_lock lock(mutex);
  if (path == "/v1/report")
  {
    const std::string body = report(of);
    lock.unlock();
    return send_all(socket, make_answer(200, "Content-Type: application/json\r\n", body));
  }
  if (path == std::string("/v1/stage-put/") + model)
  {
    of.staged[number] = request.body;
    of.bad_since.erase(number);
    lock.unlock();
    return send_all(socket, make_answer(200, "", ""));
  }
  if (path == std::string("/v1/stage-get/") + model)
  {
    const std::string bytes = of.staged[number];
    if (with_trouble() && of.number == 0 && !frozen && number == freeze_at_piece && agent != nullptr)
    {
      frozen = true;
      frozen_at = now();
      agent->signal(SIGSTOP);
      record("agent stands still; it has read back the pieces before " + std::to_string(number));
    }
    lock.unlock();
    return send_all(socket, make_answer(200, "", bytes));
  }
  if (path == "/v1/order")
  {
    const auto wanted = static_cast<unsigned>(number_after(request.body, "version"));
    update_load(of);
    if (of.loading_version != 0 || number_after(request.body, "expected") != of.orders)
    {
      lock.unlock();
      return send_all(socket, make_answer(409, "", ""));
    }
    ++of.orders;
    record("server " + std::to_string(of.number) + ": order to load version " + std::to_string(wanted) + " accepted: " + request.body);
    take_staged(of, wanted);
    of.loading_version = wanted;
    of.loading_until = now() + load_s;
    lock.unlock();
    return send_all(socket, make_answer(202, "", ""));
  }
  lock.unlock();
  return send_all(socket, make_answer(404, "", ""));
}

bool serve_origin(int socket, const message& request)
{
  const auto wanted = static_cast<unsigned>(std::strtoul(request.query("version").c_str(), nullptr, 10));
  if (request.path() == std::string("/v1/manifest/") + model)
  {
    std::string digests;
    for (unsigned number = 0; number < pieces; ++number)
    {
      digests += (number == 0 ? "\"" : ",\"") + sha256_hex(make_piece(wanted, number)) + "\"";
    }
    return send_all(socket, make_answer(200, "Content-Type: application/json\r\n",
                                        R"({"model":"m0","version":)" + std::to_string(wanted) +
                                            R"(,"chunk_bytes":49152,"layers":16,"digests":[)" +
                                            digests + "]}"));
  }
  const auto number = static_cast<unsigned>(std::strtoul(request.query("num").c_str(), nullptr, 10));
  return send_all(socket, make_answer(200, "", make_piece(wanted, number)));
}

} // namespace

int main(int, char** arguments)
{
  open_record(std::string(arguments[1]) + "/record.txt");
  for (int host = 0; host < hosts; ++host)
  {
    engines[host].number = host;
    for (unsigned number = 0; number < pieces; ++number)
    {
      engines[host].staged[number] = make_piece(1, number);
    }
  }
  store platform(loopback(1), 0);
  std::vector<std::string> ips;
  std::vector<std::unique_ptr<server>> servers;
  for (int host = 0; host < hosts; ++host)
  {
    ips.push_back(loopback(10 + host));
    servers.push_back(std::make_unique<server>(ips.back(), 0,
                                               [host](int socket, const message& request)
                                               { return serve_engine(socket, request, engines[host]); }));
  }
  server origin(loopback(2), 0, serve_origin);
  platform.put(
      "keyed.op", "config",
      R"({"version":3,"routes":[{"name":"r-plans","host":"plans.example","path_prefix":"/plans/",)"
      R"("kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,)"
      R"("service":"yoke-models","max_attempts":2,"public":false,"sticky":true,)"
      R"("stream_resume":true,"target_gap_ms":400}],"services":[{"name":"yoke-models",)"
      R"("health_path":"/health","max_connections":831,"engine":{"slots":16,"stride":5,)"
      R"("models":[{"name":"m0","pace":1.0,"load_s":4.0,"warmup_s":0.3}],"megabytes":149000.0,)"
      R"("step_ms":9.27,"per_seq_ms":0.0232,"read_per_s":20700.0,"pairs_per_m":1.18,)"
      R"("layers":16,"layer_mb":4090.0,"chunks":48,"chunk_bytes":49152,)"
      R"("usual":{"prompt":979,"answer":92}}},{"name":"weights","origin":")" +
          loopback(2) + ":" + std::to_string(origin.port()) +
          R"(","zone":"galle-a","link_mbps":15.0,"max_connections":107}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})");
  const int peer_port = free_ports(ips).peers;
  std::vector<std::unique_ptr<node>> processes;
  for (int host = 0; host < hosts; ++host)
  {
    const std::string address = ips[host] + ":" + std::to_string(servers[host]->port());
    platform.keep_server("i-model-" + std::to_string(host),
                         R"({"service":"yoke-models","address":")" + address +
                             R"(","zone":"colombo-a","version":"v1","slots":16,"state":"ready",)"
                             R"("cold_remaining_ms":0,"sequence":0,"born":1700000000000})");
    processes.push_back(std::make_unique<node>(
        "agent-" + std::to_string(host),
        agent_settings(ips[host], peer_port, loopback(1) + ":" + std::to_string(platform.port()),
                       ips[0] + ":" + std::to_string(peer_port), address, "yoke-models")));
    processes.back()->start();
  }
  {
    const std::lock_guard lock(mutex);
    agent = processes.front().get();
  }
  sleep_for(4);
  platform.put("keyed.op", "version/m0", R"({"model":"m0","version":2})");
  record("store has acknowledged version 2");
  const double limit = now() + 40;
  bool spoilt = false;
  bool woken = false;
  while (now() < limit)
  {
    sleep_for(0.02);
    const std::lock_guard lock(mutex);
    bool all_loaded = true;
    for (engine& of : engines)
    {
      update_load(of);
      all_loaded = all_loaded && of.version == 2;
    }
    engine& first = engines[0];
    if (frozen && !spoilt && now() > frozen_at + bad_after_s)
    {
      spoilt = true;
      first.staged[bad_piece][100] = static_cast<char>(first.staged[bad_piece][100] ^ 1);
      first.bad_since[bad_piece] = now();
      record("staged piece " + std::to_string(bad_piece) + " turns bad");
    }
    if (frozen && !woken && now() > frozen_at + freeze_s)
    {
      woken = true;
      agent->signal(SIGCONT);
      record("agent goes on");
    }
    if (all_loaded)
    {
      break;
    }
  }
  const std::lock_guard lock(mutex);
  std::vector<std::string> loaded_problems;
  for (const engine& of : engines)
  {
    if (of.version != 2)
    {
      finish(exit_cannot_run, "a server did not get version 2");
    }
    loaded_problems.insert(loaded_problems.end(), of.loaded_problems.begin(),
                           of.loaded_problems.end());
  }
  if (with_trouble() && !woken)
  {
    finish(exit_cannot_run, "the agent did not read the staged pieces back");
  }
  finish(loaded_problems.empty() ? exit_held : exit_broken,
         loaded_problems.empty() ? "all layers were taken from whole pieces"
                                 : "layers were taken from " + loaded_problems.front());
}
