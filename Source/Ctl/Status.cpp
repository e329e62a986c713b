#include "Ctl/Status.h"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

#include "Ctl/FleetReader.h"
#include "Membership/Membership.h"
#include "Transport/HttpClient.h"

namespace pollenyoke::ctl
{

namespace
{

using nlohmann::json;

constexpr std::size_t query_threads = 16;
constexpr std::chrono::milliseconds query_timeout{2000};

/// What one agent serves; `answered` is false if it did not answer.
struct agent_report
{
  membership::listed_host host;
  bool answered = false;
  std::set<protocol::model_version> serving;
};

result<membership::host_list> read_hosts(const transport::endpoint& address)
{
  transport::http_client client(address);
  const auto answer = client.send({.path = "/hosts"});
  if (!answer)
  {
    return tl::unexpected(answer.error());
  }
  return membership::parse_host_list(answer->body);
}

void query_agent(agent_report& report)
{
  transport::http_client client(report.host.admin,
                                {.connect_timeout = query_timeout, .read_timeout = query_timeout});
  const auto answer = client.send({.path = "/dump"});
  const json document = answer ? json::parse(answer->body, nullptr, false) : json();
  const auto serving = document.is_object() ? document.find("serving") : document.end();
  if (serving == document.end() || !serving->is_array())
  {
    return;
  }
  report.answered = true;
  for (const json& entry : *serving)
  {
    report.serving.insert({entry.value("model", ""), entry.value("version", "")});
  }
}

std::vector<agent_report> query_agents(const membership::host_list& list)
{
  std::vector<agent_report> reports;
  for (const membership::listed_host& host : list.hosts)
  {
    if (host.role == protocol::process_role::agent)
    {
      reports.push_back({host, false, {}});
    }
  }
  std::atomic<std::size_t> next{0};
  const auto work = [&]
  {
    for (std::size_t i = next++; i < reports.size(); i = next++)
    {
      query_agent(reports[i]);
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < std::min(query_threads, reports.size()); ++i)
  {
    threads.emplace_back(work);
  }
  threads.clear();
  return reports;
}

bool is_for(const protocol::release_item& item, const membership::listed_host& host)
{
  return std::find(item.services.begin(), item.services.end(), host.service) != item.services.end();
}

release_progress progress_of(const fleet::active_release& release,
                             const std::vector<agent_report>& reports)
{
  const protocol::release_item& item = release.item;
  release_progress progress{item.model, item.version, release.key.note, 0, 0, {}};
  for (const agent_report& report : reports)
  {
    if (!is_for(item, report.host))
    {
      continue;
    }
    region_progress& region = progress.regions[report.host.region];
    const bool serves = report.serving.contains({item.model, item.version});
    ++region.hosts;
    ++progress.wanted;
    region.serving += serves ? 1U : 0U;
    progress.serving += serves ? 1U : 0U;
  }
  if (item.replicas != 0)
  {
    progress.wanted = std::min<std::size_t>(progress.wanted, item.replicas);
  }
  return progress;
}

std::string bar(std::size_t part, std::size_t whole, std::size_t width)
{
  const std::size_t filled = whole == 0 ? 0 : std::min(width, part * width / whole);
  return "[" + std::string(filled, '#') + std::string(width - filled, '.') + "]";
}

std::string join(const std::vector<std::string>& names)
{
  std::string text;
  for (const std::string& name : names)
  {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

} // namespace

result<fleet_status> read_status(const transport::endpoint& log,
                                 const transport::endpoint& host_list)
{
  log_follower::log_client client(log);
  const auto state = read_fleet(client, {});
  if (!state)
  {
    return fail(state.error().code, "log: " + state.error().message);
  }
  const auto hosts = read_hosts(host_list);
  if (!hosts)
  {
    return fail(hosts.error().code, "host list: " + hosts.error().message);
  }
  const auto reports = query_agents(*hosts);
  fleet_status status;
  status.offset = state->offset;
  status.head = state->head;
  status.notes = state->notes;
  for (const auto& [key, release] : state->releases)
  {
    status.releases.push_back(progress_of(release, reports));
  }
  for (const auto& [host, offset] : state->planned_stops)
  {
    status.planned_stops.push_back(host.value);
  }
  for (const agent_report& report : reports)
  {
    if (!report.answered)
    {
      status.silent.push_back(report.host.host.value);
    }
  }
  return status;
}

bool is_complete(const fleet_status& status)
{
  return std::all_of(status.releases.begin(), status.releases.end(),
                     [](const release_progress& release)
                     { return release.serving >= release.wanted; });
}

std::string format_status(const fleet_status& status, std::size_t width)
{
  std::string text = "log offset " + std::to_string(status.offset.value) + ", release head " +
                     std::to_string(status.head.value) + "\n";
  for (const release_progress& release : status.releases)
  {
    text += release.model + " " + release.version + " " +
            bar(release.serving, release.wanted, width) + " " + std::to_string(release.serving) +
            "/" + std::to_string(release.wanted);
    for (const auto& [region, progress] : release.regions)
    {
      text += "  " + region + " " + std::to_string(progress.serving) + "/" +
              std::to_string(progress.hosts);
    }
    text += "\n";
  }
  if (!status.planned_stops.empty())
  {
    text += "planned stops: " + join(status.planned_stops) + "\n";
  }
  if (!status.silent.empty())
  {
    text += "no answer from: " + join(status.silent) + "\n";
  }
  return text;
}

std::string format_status_json(const fleet_status& status)
{
  json releases = json::array();
  for (const release_progress& release : status.releases)
  {
    json regions = json::object();
    for (const auto& [region, progress] : release.regions)
    {
      regions[region] = {{"serving", progress.serving}, {"hosts", progress.hosts}};
    }
    releases.push_back({{"model", release.model},
                        {"version", release.version},
                        {"note", release.note.value},
                        {"serving", release.serving},
                        {"wanted", release.wanted},
                        {"regions", regions}});
  }
  json notes = json::array();
  for (const fleet::note_outcome& note : status.notes)
  {
    notes.push_back(
        {{"offset", note.offset.value}, {"name", note.name}, {"accepted", note.accepted}});
  }
  return json{{"offset", status.offset.value},
              {"head", status.head.value},
              {"releases", releases},
              {"notes", notes},
              {"planned_stops", status.planned_stops},
              {"silent", status.silent},
              {"complete", is_complete(status)}}
      .dump();
}

result<std::string> read_dump(const transport::endpoint& admin)
{
  transport::http_client client(admin);
  const auto answer = client.send({.path = "/dump"});
  if (!answer)
  {
    return tl::unexpected(answer.error());
  }
  const json document = json::parse(answer->body, nullptr, false);
  if (answer->status != 200 || document.is_discarded())
  {
    return fail(error_code::unavailable, "status " + std::to_string(answer->status));
  }
  constexpr int indent = 2;
  return document.dump(indent);
}

} // namespace pollenyoke::ctl
