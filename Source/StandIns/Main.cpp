#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

#include "StandIns/Fleet.h"

namespace
{

using namespace pollenyoke;
using nlohmann::json;

constexpr char usage[] =
    R"(Test doubles of the platform and of the backend servers.

Usage:
  pollenyoke-standins (log|hostlist|origin|store|service|relay) [--listen=ADDRESS] [--faults=JSON]
                      [--hosts=FILE] [--service=NAME] [--routes=JSON]
  pollenyoke-standins engine [--listen=ADDRESS] [--faults=JSON] [--slots=N]
  pollenyoke-standins fleet --config=FILE
  pollenyoke-standins (-h | --help)

Options:
  --listen=ADDRESS  Address and port; port 0 picks a free one [default: 127.0.0.1:0].
  --faults=JSON     Faults from the start [default: {}].
  --hosts=FILE      Host list, {"hosts":[...]}.
  --service=NAME    Name of the plain service [default: service].
  --routes=JSON     Routes of the relay, an array [default: []].
  --slots=N         Requests that run at the same time [default: 8].
  --config=FILE     {"standins":[{"name","kind","listen",...},...]}.
)";

json read_json(const std::string& path)
{
  std::ifstream file(path);
  return json::parse(file, nullptr, false);
}

json describe(std::map<std::string, docopt::value>& arguments)
{
  json with;
  for (const char* kind : {"log", "hostlist", "origin", "store", "engine", "service", "relay"})
  {
    if (arguments[kind].asBool())
    {
      with["kind"] = kind;
    }
  }
  with["name"] = with["kind"];
  with["listen"] = arguments["--listen"].asString();
  with["faults"] = json::parse(arguments["--faults"].asString(), nullptr, false);
  with["routes"] = json::parse(arguments["--routes"].asString(), nullptr, false);
  with["service"] = arguments["--service"].asString();
  with["slots"] = arguments["--slots"].asLong();
  if (arguments["--hosts"])
  {
    with["hosts"] = read_json(arguments["--hosts"].asString()).value("hosts", json::array());
  }
  return json{{"standins", json::array({with})}};
}

int run(std::map<std::string, docopt::value>& arguments)
{
  // Blocked before any thread starts, so that only sigwait() below receives them.
  sigset_t stop_signals;
  sigemptyset(&stop_signals);
  sigaddset(&stop_signals, SIGTERM);
  sigaddset(&stop_signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
  const json config = arguments["fleet"].asBool() ? read_json(arguments["--config"].asString())
                                                  : describe(arguments);
  const auto running = stand_ins::fleet::start(config);
  if (!running)
  {
    std::cerr << "pollenyoke-standins: " << running.error().message << '\n';
    return 2;
  }
  for (const json& with : config["standins"])
  {
    const std::string name = with.value("name", "");
    std::cout << name << ' ' << transport::to_string((*running)->find(name)->endpoint()) << '\n';
  }
  std::cout << "ready" << std::endl;
  int signal = 0;
  sigwait(&stop_signals, &signal);
  return 0;
}

} // namespace

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  try
  {
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    return run(arguments);
  }
  catch (const std::exception& problem)
  {
    std::cerr << "pollenyoke-standins: " << problem.what() << '\n';
    return 2;
  }
}
