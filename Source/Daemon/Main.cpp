#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "Agent/Agent.h"
#include "Common/Log.h"
#include "Common/TextFile.h"
#include "Entry/Entry.h"
#include "Protocol/Settings.h"

namespace
{

using namespace pollenyoke;

constexpr int exit_failure = 1;
constexpr int exit_bad_settings = 2;

constexpr const char* usage =
    R"(pollenyoked: an entry or an agent of pollenyoke, by its settings.

Usage:
  pollenyoked --settings FILE
  pollenyoked --check FILE
  pollenyoked (-h | --help)

Options:
  --settings FILE  Run with these settings (YAML).
  --check FILE     Only check the settings; exit status 2 if they are wrong.
  -h --help        Show this text.

SIGTERM is a planned stop: the process takes no new work, finishes what is in progress and ends.
Further ones change nothing. A second SIGINT ends it at once.
)";

/// Blocks the stop signals in all threads that start later, so that only sigwait receives them.
sigset_t block_stop_signals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void wait_for_stop(const sigset_t& signals)
{
  int received = 0;
  sigwait(&signals, &received);
  if (received != SIGINT)
  {
    return;
  }
  // A person at a terminal asks again: the next one has its default action, which ends the process
  // at once. SIGTERM stays blocked, as platforms send it more than once.
  sigset_t interrupt;
  sigemptyset(&interrupt);
  sigaddset(&interrupt, SIGINT);
  pthread_sigmask(SIG_UNBLOCK, &interrupt, nullptr);
}

int run(const protocol::settings& settings, const sigset_t& signals)
{
  auto process = settings.role == protocol::process_role::entry ? entry::start_entry(settings)
                                                                : agent::start_agent(settings);
  if (!process)
  {
    log_error(log_category::process, "cannot start", {{"reason", process.error().message}});
    return exit_failure;
  }
  wait_for_stop(signals);
  log_info(log_category::process, "planned stop requested by signal");
  (*process)->planned_stop();
  log_info(log_category::process, "stopped");
  return 0;
}

int run_with_file(const std::string& path, bool check_only)
{
  const auto text = read_text_file(path);
  if (!text)
  {
    std::cerr << path << ":1: file: " << text.error().message << '\n';
    return exit_bad_settings;
  }
  const auto settings = protocol::parse_settings(*text, path);
  if (!settings)
  {
    std::cerr << settings.error().message << '\n';
    return exit_bad_settings;
  }
  if (check_only)
  {
    return 0;
  }
  initialize_logging(settings->host.value, settings->logging);
  const sigset_t signals = block_stop_signals();
  return run(*settings, signals);
}

} // namespace

int main(int argc, char** argv)
{
  try
  {
    const auto options = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    const bool check_only = static_cast<bool>(options.at("--check"));
    return run_with_file(options.at(check_only ? "--check" : "--settings").asString(), check_only);
  }
  catch (const docopt::DocoptExitHelp&)
  {
    std::cout << usage;
    return 0;
  }
  catch (const docopt::DocoptArgumentError&)
  {
    std::cerr << "pollenyoked: wrong arguments; see pollenyoked --help\n";
    return exit_bad_settings;
  }
}
