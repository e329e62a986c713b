#include <csignal>
#include <iostream>
#include <map>
#include <string>

#include <docopt/docopt.h>

#include "Common/Log.h"
#include "Common/TextFile.h"
#include "Emulator/SelfCheck.h"
#include "Emulator/Soak.h"
#include "Protocol/YamlSection.h"

namespace
{

using namespace pollenyoke;

constexpr int exit_violation = 1;
constexpr int exit_bad_arguments = 2;
constexpr int exit_cannot_run = 3;
// The value that CTest is told to count as a skipped test.
constexpr int exit_not_run = 77;

constexpr const char* usage =
    R"(pollenyoke-emulator: the platform of pollenyoke-node on loopback, with real processes.

Usage:
  pollenyoke-emulator run [options]
  pollenyoke-emulator soak [options]
  pollenyoke-emulator self-check
  pollenyoke-emulator (-h | --help)

Commands:
  run         Start store, engines, services, callers and the processes of the system; no faults.
  soak        The same, with faults drawn from the seed; checks what callers and servers saw.
  self-check  Give each check a history that it must report.

Options:
  --deployment FILE  What is emulated (YAML); without it, 3 entries and 6 engines.
  --node PATH        Program of the system [default: build/release/bin/pollenyoke-node].
  --templates DIR    Templates of its settings [default: deploy].
  --work DIR         Folder for settings and logs [default: /tmp/pollenyoke-emulator].
  --seed N           Seed of everything that is drawn [default: 1].
  --plan PLAN        Faults that are drawn: mixed, loads (disturbances at the steps of loads),
                     stops (planned stops in series), answers (early, broken and failed ones), or
                     connections (that go silent while new ones work) [default: mixed].
  --duration S       Seconds with callers [default: 60].
  --processes N      Processes of the system, a third of them entries.
  --log-level LEVEL  Lowest level of this program's own log lines [default: warning].
  -h --help          Show this text.

The last line of the output is one JSON object. Exit status: 0 kept, 1 violation, 2 wrong arguments
or file, 3 cannot run, 77 the machine could not keep up and nothing can be said.
)";

using options = std::map<std::string, docopt::value>;

/// Error `invalid_argument`: the file or an option is wrong.
result<emulator::deployment> read_deployment(const options& given)
{
  emulator::deployment what;
  if (const auto& path = given.at("--deployment"))
  {
    auto parsed = read_text_file(path.asString())
                      .and_then([&path](const std::string& text)
                                { return emulator::parse_deployment(text, path.asString()); });
    if (!parsed)
    {
      return parsed;
    }
    what = std::move(*parsed);
  }
  if (const auto& processes = given.at("--processes"))
  {
    constexpr unsigned max_processes = 400;
    const auto count = protocol::integer<unsigned>(2, max_processes)(processes.asString());
    if (!count)
    {
      return fail(error_code::invalid_argument, "--processes: " + count.error().message);
    }
    what.entries = std::max(1U, *count / 3);
    what.engines = *count - what.entries;
  }
  return what;
}

result<emulator::soak_options> read_options(const options& given)
{
  emulator::soak_options out;
  out.run = {.node_program = given.at("--node").asString(),
             .templates = given.at("--templates").asString(),
             .work_directory = given.at("--work").asString()};
  out.faults = given.at("soak").asBool();
  const auto seed = protocol::integer<std::uint64_t>(0, 1ULL << 50U)(given.at("--seed").asString());
  const auto duration = protocol::number(1, 86400)(given.at("--duration").asString());
  if (!seed || !duration)
  {
    return fail(error_code::invalid_argument, seed ? "--duration: " + duration.error().message
                                                   : "--seed: " + seed.error().message);
  }
  static const std::map<std::string, emulator::soak_plan> plans = {
      {"mixed", emulator::soak_plan::mixed},
      {"loads", emulator::soak_plan::loads},
      {"stops", emulator::soak_plan::stops},
      {"answers", emulator::soak_plan::answers},
      {"connections", emulator::soak_plan::connections}};
  const auto plan = plans.find(given.at("--plan").asString());
  if (plan == plans.end())
  {
    return fail(error_code::invalid_argument,
                "--plan: must be mixed, loads, stops, answers or connections");
  }
  out.plan = plan->second;
  out.run.seed = *seed;
  out.duration = *duration;
  return out;
}

int fail_with(int status, const std::string& message)
{
  std::cerr << "pollenyoke-emulator: " << message << '\n';
  return status;
}

int soak(const options& given)
{
  const auto what = read_deployment(given);
  const auto chosen = read_options(given);
  const auto level = parse_log_level(given.at("--log-level").asString());
  if (!what || !chosen || !level)
  {
    return fail_with(exit_bad_arguments, !what     ? what.error().message
                                         : !chosen ? chosen.error().message
                                                   : "--log-level: " + level.error().message);
  }
  initialize_logging("emulator", *level);
  const auto report = emulator::run_soak(*what, *chosen);
  if (!report)
  {
    return fail_with(exit_cannot_run, report.error().message);
  }
  for (const emulator::violation& found : report->violations)
  {
    std::cout << found.rule << ": " << found.detail << '\n';
  }
  std::cout << emulator::to_json(*report) << std::endl;
  switch (report->verdict)
  {
  case emulator::soak_verdict::passed:
    return 0;
  case emulator::soak_verdict::violated:
    return exit_violation;
  case emulator::soak_verdict::not_run:
    break;
  }
  return exit_not_run;
}

int self_check()
{
  const auto report = emulator::run_self_check();
  std::cout << emulator::to_json(report) << std::endl;
  return report.undetected.empty() ? 0 : exit_violation;
}

} // namespace

int main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  try
  {
    const auto given = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
    return given.at("self-check").asBool() ? self_check() : soak(given);
  }
  catch (const docopt::DocoptExitHelp&)
  {
    std::cout << usage;
    return 0;
  }
  catch (const docopt::DocoptArgumentError&)
  {
    return fail_with(exit_bad_arguments, "wrong arguments; see pollenyoke-emulator --help");
  }
}
