#include <charconv>
#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <unistd.h>

#include <docopt/docopt.h>

#include "Common/TextFile.h"
#include "Ctl/ExitStatus.h"
#include "Ctl/Publish.h"
#include "Ctl/Status.h"
#include "Protocol/ReleaseNote.h"
#include "Protocol/Settings.h"

namespace
{

using namespace pollenyoke;
using namespace pollenyoke::ctl;

constexpr const char* usage =
    R"(pollenyokectl: operate a pollenyoke fleet.

Usage:
  pollenyokectl publish FILE --log ADDRESS [--timeout SECONDS] [--json]
  pollenyokectl stop HOST --log ADDRESS [--cancel] [--timeout SECONDS] [--json]
  pollenyokectl status --log ADDRESS --host-list ADDRESS [--json]
  pollenyokectl watch --log ADDRESS --host-list ADDRESS [--timeout SECONDS]
  pollenyokectl dump ADDRESS
  pollenyokectl check FILE
  pollenyokectl (-h | --help)

Options:
  --log ADDRESS        The platform's log, IP:PORT.
  --host-list ADDRESS  The platform's host list, IP:PORT.
  --cancel             Cancel the planned stop of the host.
  --timeout SECONDS    Longest wait [default: 30].
  --json               Print one line of JSON.
  -h --help            Show this text.

publish  Publishes a release note and says whether it was accepted. A note without `head` is written
         against the note in force at this moment.
stop     Plans a stop: the host gets no new work and finishes what is in progress.
status   Shows how far each release in force has come, per region.
watch    Shows the status until every release serves everywhere, or the time is over.
dump     Prints the state of the process with this admin address.
check    Checks a settings file or a release note.

Exit status: 0 done or accepted; 1 rejected, wrong, or not complete; 2 wrong arguments;
3 unknown whether it took effect; 4 not done, the platform or process does not answer.

Examples:
  pollenyokectl publish spring.yaml --log 10.0.0.1:7000
  pollenyokectl stop west-07 --log 10.0.0.1:7000
  pollenyokectl watch --log 10.0.0.1:7000 --host-list 10.0.0.2:7001
  pollenyokectl dump 10.0.1.7:7104
)";

using arguments = std::map<std::string, docopt::value>;

struct usage_error
{
  std::string message;
};

int fail_with(exit_status status, const std::string& message)
{
  std::cerr << "pollenyokectl: " << message << '\n';
  return status;
}

std::string read_file(const std::string& path)
{
  auto text = read_text_file(path);
  if (!text)
  {
    throw usage_error{path + ": " + text.error().message};
  }
  return std::move(*text);
}

transport::endpoint address_of(const arguments& options, const std::string& name)
{
  const std::string text = options.at(name).asString();
  auto parsed = transport::parse_endpoint(text);
  if (!parsed)
  {
    throw usage_error{name + " '" + text + "': " + parsed.error().message};
  }
  return *parsed;
}

std::chrono::milliseconds timeout_of(const arguments& options)
{
  const std::string text = options.at("--timeout").asString();
  unsigned seconds = 0;
  const auto end = std::from_chars(text.data(), text.data() + text.size(), seconds);
  constexpr unsigned max_seconds = 86400;
  if (end.ptr != text.data() + text.size() || seconds == 0 || seconds > max_seconds)
  {
    throw usage_error{"--timeout must be a number of seconds from 1 to 86400"};
  }
  return std::chrono::seconds(seconds);
}

int print_report(const publish_report& report, const arguments& options)
{
  std::cout << (options.at("--json").asBool() ? format_report_json(report) : format_report(report))
            << '\n';
  return to_exit_status(report.outcome);
}

int publish(const arguments& options)
{
  const std::string path = options.at("FILE").asString();
  const auto note = protocol::parse_release_note(read_file(path));
  if (!note)
  {
    return fail_with(exit_rejected, path + ": " + note.error().message);
  }
  return print_report(publish_note(address_of(options, "--log"), *note, timeout_of(options)),
                      options);
}

int stop(const arguments& options)
{
  const std::string host = options.at("HOST").asString();
  if (!protocol::is_valid_name(host))
  {
    throw usage_error{"HOST must be a host id"};
  }
  return print_report(publish_stop(address_of(options, "--log"), host_id{host},
                                   options.at("--cancel").asBool(), timeout_of(options)),
                      options);
}

result<fleet_status> status_of(const arguments& options)
{
  return read_status(address_of(options, "--log"), address_of(options, "--host-list"));
}

constexpr std::size_t bar_width = 30;

int status(const arguments& options)
{
  const auto current = status_of(options);
  if (!current)
  {
    return fail_with(exit_unavailable, current.error().message);
  }
  std::cout << (options.at("--json").asBool() ? format_status_json(*current) + "\n"
                                              : format_status(*current, bar_width));
  return is_complete(*current) ? exit_ok : exit_rejected;
}

int watch(const arguments& options)
{
  const auto end = std::chrono::steady_clock::now() + timeout_of(options);
  const bool terminal = isatty(STDOUT_FILENO) == 1;
  while (true)
  {
    const auto current = status_of(options);
    if (terminal)
    {
      std::cout << "\x1b[H\x1b[J";
    }
    std::cout << (current ? format_status(*current, bar_width)
                          : "no status: " + current.error().message + "\n")
              << std::flush;
    if (current && is_complete(*current))
    {
      return exit_ok;
    }
    if (std::chrono::steady_clock::now() >= end)
    {
      return current ? exit_rejected : exit_unavailable;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
}

int dump(const arguments& options)
{
  const auto text = read_dump(address_of(options, "ADDRESS"));
  if (!text)
  {
    return fail_with(exit_unavailable, text.error().message);
  }
  std::cout << *text << '\n';
  return exit_ok;
}

int check(const arguments& options)
{
  const std::string path = options.at("FILE").asString();
  const std::string text = read_file(path);
  // Settings have a role; release notes have a name.
  const bool is_settings = text.starts_with("role:") || text.find("\nrole:") != std::string::npos;
  if (is_settings)
  {
    const auto parsed = protocol::parse_settings(text, path);
    return parsed ? exit_ok : fail_with(exit_rejected, parsed.error().message);
  }
  const auto note = protocol::parse_release_note(text);
  return note ? exit_ok : fail_with(exit_rejected, path + ": " + note.error().message);
}

int run(const arguments& options)
{
  using command = int (*)(const arguments&);
  const std::pair<const char*, command> commands[] = {{"publish", publish}, {"stop", stop},
                                                      {"status", status},   {"watch", watch},
                                                      {"dump", dump},       {"check", check}};
  for (const auto& [name, action] : commands)
  {
    if (options.at(name).asBool())
    {
      return action(options);
    }
  }
  return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
  try
  {
    return run(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false));
  }
  catch (const docopt::DocoptExitHelp&)
  {
    std::cout << usage;
    return exit_ok;
  }
  catch (const docopt::DocoptArgumentError&)
  {
    return fail_with(exit_usage, "wrong arguments; see pollenyokectl --help");
  }
  catch (const usage_error& e)
  {
    return fail_with(exit_usage, e.message);
  }
}
