#include <csignal>
#include <cstdlib>
#include <iostream>

#include <malloc.h>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "Common/Log.h"
#include "Common/TextFile.h"
#include "Node/AgentNode.h"
#include "Node/EntryNode.h"
#include "Protocol/NodeSettings.h"

namespace
{

using namespace pollenyoke;

constexpr int exit_failure = 1;
// Buffers from this size on go back to the system when they are freed. By default the limit grows
// with the largest buffer that was freed, and the bodies of requests then leave holes in the heap.
constexpr int large_buffer_bytes = 131072;
constexpr int exit_bad_settings = 2;

constexpr const char* usage =
    R"(pollenyoke-node: an entry or an agent on a platform that keeps the fleet's state in its store.

Usage:
  pollenyoke-node --settings FILE
  pollenyoke-node --settings-variable NAME
  pollenyoke-node --check FILE
  pollenyoke-node (-h | --help)

Options:
  --settings FILE           Run with these settings (YAML).
  --settings-variable NAME  Run with the settings file whose path this environment variable holds.
  --check FILE              Only check the settings; exit status 2 if they are wrong.
  -h --help                 Show this text.

SIGTERM is a planned stop: the process leaves the lookup answers, serves on for some seconds,
finishes what is in progress and ends; further ones change nothing. A second SIGINT ends it at once.
)";

int run_with_file(const std::string& path, bool check_only)
{
  const auto text = read_text_file(path);
  if (!text)
  {
    std::cerr << path << ":1: file: " << text.error().message << '\n';
    return exit_bad_settings;
  }
  const auto settings = protocol::parse_node_settings(*text, path);
  if (!settings)
  {
    std::cerr << settings.error().message << '\n';
    return exit_bad_settings;
  }
  if (check_only)
  {
    return 0;
  }
  initialize_logging(settings->host, settings->logging);
  std::signal(SIGPIPE, SIG_IGN);
  const bool entry = settings->role == protocol::process_role::entry;
  log_info(log_category::process, "started",
           {{"role", entry ? "entry" : "agent"}, {"domain", settings->failure_domain}});
  const auto outcome = entry ? node::run_entry(*settings) : node::run_agent(*settings);
  if (!outcome)
  {
    log_error(log_category::process, "cannot start", {{"reason", outcome.error().message}});
    return exit_failure;
  }
  return 0;
}

int run(const std::map<std::string, docopt::value>& options)
{
  if (const auto& variable = options.at("--settings-variable"))
  {
    const char* path = std::getenv(variable.asString().c_str());
    if (path == nullptr)
    {
      std::cerr << "pollenyoke-node: " << variable.asString() << " is not set\n";
      return exit_bad_settings;
    }
    return run_with_file(path, false);
  }
  const bool check_only = static_cast<bool>(options.at("--check"));
  return run_with_file(options.at(check_only ? "--check" : "--settings").asString(), check_only);
}

} // namespace

int main(int argc, char** argv)
{
  // Its default action ends a process that gets it before the settings are read.
  std::signal(SIGHUP, SIG_IGN);
  (void)::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
  try
  {
    return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false));
  }
  catch (const docopt::DocoptExitHelp&)
  {
    std::cout << usage;
    return 0;
  }
  catch (const docopt::DocoptArgumentError&)
  {
    std::cerr << "pollenyoke-node: wrong arguments; see pollenyoke-node --help\n";
    return exit_bad_settings;
  }
}
