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
constexpr const char* server_id = "i-model-1";
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
unsigned version = 1;
unsigned loading_version = 0;
double loading_until = 0;
unsigned orders = 0;
std::map<unsigned, std::string> staged;
std::map<unsigned, double> bad_since;
bool frozen = false;
double frozen_at = 0;
std::vector<std::string> problems;
std::vector<std::string> loaded_problems;

unsigned long number_after(const std::string& text, const std::string& key)
{
  const auto at = text.find("\"" + key + "\":");
  return at == std::string::npos ? 0 : std::strtoul(text.c_str() + at + key.size() + 3, nullptr, 10);
}

void update_load()
{
  if (loading_version != 0 && now() >= loading_until)
  {
    version = loading_version;
    loading_version = 0;
    loaded_problems = problems;
    record("server makes tokens with version " + std::to_string(version) +
           (loaded_problems.empty() ? "" : ", loaded from bad pieces"));
  }
}

std::string report()
{
  update_load();
  const unsigned shown = loading_version != 0 ? 0 : version;
  return R"({"stage":"colocated","models":[{"name":"m0","version":)" + std::to_string(shown) +
         R"(,"adapters":[]}],"layers":[{"from":0,"to":)" +
         std::to_string(shown == 0 ? 0 : layers) + R"(,"version":)" + std::to_string(shown) +
         R"(}],"busy":)" + (loading_version != 0 ? "true" : "false") + R"(,"sequence":)" +
         std::to_string(orders) +
         R"(,"waiting":0,"running":0,"kv_used":0,"kv_total":5072000,"handles":0,"pace":1.0,)"
         R"("born":1700000000000})";
}

/// Takes the staged pieces as they are now.
void take_staged(unsigned wanted)
{
  problems.clear();
  for (unsigned number = 0; number < pieces; ++number)
  {
    if (staged[number] == make_piece(wanted, number))
    {
      continue;
    }
    const auto turned = bad_since.find(number);
    const double age = turned == bad_since.end() ? -1 : now() - turned->second;
    const bool excused = turned != bad_since.end() && age <= excused_s;
    record("order takes piece " + std::to_string(number) + ", which is bad, since " +
           std::to_string(age) + " s" + (excused ? ": excused" : ""));
    if (!excused)
    {
      problems.push_back("piece " + std::to_string(number) + ", bad for " + std::to_string(age) +
                         " s");
    }
  }
}

bool serve_engine(int socket, const message& request)
{
  const std::string path = request.path();
  const auto number =
      static_cast<unsigned>(std::strtoul(request.query("num").c_str(), nullptr, 10));
  std::unique_lock lock(mutex);
  if (path == "/v1/report")
  {
    const std::string body = report();
    lock.unlock();
    return send_all(socket, make_answer(200, "Content-Type: application/json\r\n", body));
  }
  if (path == std::string("/v1/stage-put/") + model)
  {
    staged[number] = request.body;
    bad_since.erase(number);
    lock.unlock();
    return send_all(socket, make_answer(200, "", ""));
  }
  if (path == std::string("/v1/stage-get/") + model)
  {
    const std::string bytes = staged[number];
    if (with_trouble() && !frozen && number == freeze_at_piece && agent != nullptr)
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
    update_load();
    if (loading_version != 0 || number_after(request.body, "expected") != orders)
    {
      lock.unlock();
      return send_all(socket, make_answer(409, "", ""));
    }
    ++orders;
    record("order to load version " + std::to_string(wanted) + " accepted: " + request.body);
    take_staged(wanted);
    loading_version = wanted;
    loading_until = now() + load_s;
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
  for (unsigned number = 0; number < pieces; ++number)
  {
    staged[number] = make_piece(1, number);
  }
  store platform(loopback(1), 0);
  const std::string ip = loopback(10);
  server engine(ip, 0, serve_engine);
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
  platform.keep_server(server_id,
                       R"({"service":"yoke-models","address":")" + ip + ":" +
                           std::to_string(engine.port()) +
                           R"(","zone":"colombo-a","version":"v1","slots":16,"state":"ready",)"
                           R"("cold_remaining_ms":0,"sequence":0,"born":1700000000000})");
  const int peer_port = free_ports({ip}).peers;
  node process("agent",
               agent_settings(ip, peer_port, loopback(1) + ":" + std::to_string(platform.port()),
                              loopback(11) + ":" + std::to_string(peer_port),
                              ip + ":" + std::to_string(engine.port()), "yoke-models"));
  process.start();
  {
    const std::lock_guard lock(mutex);
    agent = &process;
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
    update_load();
    if (frozen && !spoilt && now() > frozen_at + bad_after_s)
    {
      spoilt = true;
      staged[bad_piece][100] = static_cast<char>(staged[bad_piece][100] ^ 1);
      bad_since[bad_piece] = now();
      record("staged piece " + std::to_string(bad_piece) + " turns bad");
    }
    if (frozen && !woken && now() > frozen_at + freeze_s)
    {
      woken = true;
      process.signal(SIGCONT);
      record("agent goes on");
    }
    if (version == 2)
    {
      break;
    }
  }
  const std::lock_guard lock(mutex);
  if (version != 2)
  {
    finish(exit_cannot_run, "the server did not get version 2");
  }
  if (with_trouble() && !woken)
  {
    finish(exit_cannot_run, "the agent did not read the staged pieces back");
  }
  finish(loaded_problems.empty() ? exit_held : exit_broken,
         loaded_problems.empty() ? "all layers were taken from whole pieces"
                                 : "layers were taken from " + loaded_problems.front());
}
