#include "Emulator/Checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace pollenyoke::emulator
{

namespace
{

// Requests that cross the caller's close on their way.
constexpr std::size_t tolerated_late_arrivals = 3;
// Requests that reach a server from one machine during a pause that it asked for.
constexpr std::ptrdiff_t tolerated_pause_arrivals = 2;
// Share of the requests of callers who left at which a server may work on for longer.
constexpr double tolerated_late_work = 0.25;
// The system ends a request this long before its limit, so that the answer arrives in time.
constexpr double deadline_slack = 0.05;
constexpr double min_recovered_share = 0.25;
// Fewer requests than this say nothing about a share.
constexpr std::size_t min_sample = 8;
constexpr std::string_view store_scope = "store";

bool promises_not_run(unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// True if a fault of a machine, a server or the store overlaps this time.
bool is_disturbed(const history& seen, std::string_view scope, moment from, moment to)
{
  return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
                     [&](const disturbance& fault)
                     { return fault.scope == scope && fault.from <= to && from <= fault.to; });
}

/// The arrivals of each request that ran.
using runs_by_request = std::unordered_map<std::string, std::vector<const arrival*>>;

runs_by_request index_runs(const history& seen)
{
  runs_by_request out;
  for (const arrival& came : seen.arrivals)
  {
    if (came.ran)
    {
      out[came.request].push_back(&came);
    }
  }
  return out;
}

std::unordered_map<std::string, const attempt*> index_attempts(const history& seen)
{
  std::unordered_map<std::string, const attempt*> out;
  for (const attempt& sent : seen.attempts)
  {
    out[sent.id] = &sent;
  }
  return out;
}

std::string describe(const attempt& sent)
{
  return "request " + sent.id + " at " + sent.machine + ", sent at " + std::to_string(sent.sent) +
         ", status " + std::to_string(sent.status);
}

std::vector<violation> find_repeated_runs(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  const auto runs = index_runs(seen);
  for (const attempt& sent : seen.attempts)
  {
    const auto found = runs.find(sent.id);
    if (sent.kind == request_kind::once && found != runs.end() && found->second.size() > 1)
    {
      out.push_back(
          {"TWICE", describe(sent) + " ran " + std::to_string(found->second.size()) + " times"});
    }
  }
  return out;
}

std::vector<violation> find_wrong_answers(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  for (const attempt& sent : seen.attempts)
  {
    if (sent.answer == answer_state::wrong)
    {
      out.push_back({"MIXED", describe(sent) + ": " + sent.problem});
    }
  }
  return out;
}

std::vector<violation> find_false_refusals(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  const auto runs = index_runs(seen);
  for (const attempt& sent : seen.attempts)
  {
    if (sent.kind == request_kind::once && promises_not_run(sent.status) && runs.contains(sent.id))
    {
      out.push_back({"REFUSED", describe(sent) + " ran at " + runs.at(sent.id).front()->server});
    }
  }
  return out;
}

std::vector<violation> find_changed_requests(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  for (const arrival& came : seen.arrivals)
  {
    const auto sent = attempts.find(came.request);
    if (!came.ran)
    {
      continue;
    }
    std::string problem = came.changed;
    if (sent == attempts.end())
    {
      problem = "no caller sent it";
    }
    else if (sent->second->team != came.team)
    {
      problem = "team is " + came.team + " instead of " + sent->second->team;
    }
    else if (sent->second->service != came.service)
    {
      problem = "ran at a server of " + came.service;
    }
    if (!problem.empty())
    {
      out.push_back({"UNASKED", "request " + came.request + " at " + came.server + ": " + problem});
    }
  }
  return out;
}

/// The versions of the configuration under which an attempt may have been handled.
struct version_range
{
  std::uint64_t low = 0;
  std::uint64_t high = 0;
};

std::optional<version_range> consistent_versions(const history& seen, const attempt& sent,
                                                 bool served)
{
  const bool unknown_route = sent.status == 404;
  const bool unknown_key = sent.status == 401;
  if (!served && !unknown_route && !unknown_key)
  {
    return std::nullopt;
  }
  std::optional<version_range> range;
  for (const config_change& config : seen.configs)
  {
    const bool has_route = config.routes.contains(sent.route);
    const bool has_key = sent.key.empty() || config.keys.contains(sent.key);
    const bool fits = served          ? has_route && has_key
                      : unknown_route ? !has_route
                                      : has_route && !has_key;
    if (fits)
    {
      range = range ? version_range{range->low, config.version}
                    : version_range{config.version, config.version};
    }
  }
  return range.value_or(version_range{});
}

/// Version that every machine in touch has in force at this moment.
std::uint64_t version_due(const history& seen, moment at, const rule_bounds& bounds)
{
  std::uint64_t version = 0;
  for (const config_change& config : seen.configs)
  {
    if (config.acknowledged + bounds.config_apply < at)
    {
      version = std::max(version, config.version);
    }
  }
  return version;
}

std::vector<violation> find_late_configs(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto runs = index_runs(seen);
  for (const attempt& sent : seen.attempts)
  {
    const auto range = consistent_versions(seen, sent, runs.contains(sent.id));
    const std::uint64_t due = version_due(seen, sent.sent, bounds);
    if (range && range->high < due && in_touch(seen, sent.machine, sent.sent, bounds))
    {
      out.push_back({"CONFIG", describe(sent) + ", route " + sent.route + ": handled as version " +
                                   std::to_string(range->high) + " allows, " + std::to_string(due) +
                                   " is due"});
    }
  }
  return out;
}

/// Number of the process of a machine that was running at this moment.
std::size_t incarnation_at(const history& seen, const std::string& machine, moment at)
{
  return static_cast<std::size_t>(std::count_if(
      seen.starts.begin(), seen.starts.end(),
      [&](const process_start& start) { return start.machine == machine && start.at <= at; }));
}

std::vector<violation> find_older_configs(const history& seen, const rule_bounds& bounds)
{
  struct observation
  {
    moment known;
    std::uint64_t version;
  };
  std::vector<violation> out;
  const auto runs = index_runs(seen);
  std::map<std::pair<std::string, std::size_t>, std::vector<observation>> observed;
  std::vector<const attempt*> ordered;
  for (const attempt& sent : seen.attempts)
  {
    ordered.push_back(&sent);
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const attempt* a, const attempt* b) { return a->sent < b->sent; });
  for (const attempt* sent : ordered)
  {
    const auto range = consistent_versions(seen, *sent, runs.contains(sent->id));
    if (!range || sent->ended == 0 || range->low == 0)
    {
      continue;
    }
    const std::size_t incarnation = incarnation_at(seen, sent->machine, sent->sent);
    if (incarnation != incarnation_at(seen, sent->machine, sent->ended))
    {
      continue;
    }
    auto& earlier = observed[{sent->machine, incarnation}];
    const auto newer =
        std::find_if(earlier.begin(), earlier.end(),
                     [&](const observation& seen_before)
                     {
                       return seen_before.known + bounds.rollback_slack < sent->sent &&
                              seen_before.version > range->high;
                     });
    if (newer != earlier.end())
    {
      out.push_back({"CONFIG", describe(*sent) + ": version " + std::to_string(newer->version) +
                                   " was in force before, now at most " +
                                   std::to_string(range->high)});
    }
    earlier.push_back({sent->ended, range->low});
  }
  return out;
}

std::vector<violation> find_requests_to_leaving(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  std::map<std::string, moment> left;
  for (const leaving_server& leaving : seen.leaving)
  {
    left.try_emplace(leaving.server, leaving.acknowledged);
  }
  for (const arrival& came : seen.arrivals)
  {
    const auto server = left.find(came.server);
    const auto sent = attempts.find(came.request);
    if (server == left.end() || sent == attempts.end() ||
        came.at <= server->second + bounds.drain_timeout)
    {
      continue;
    }
    if (in_touch(seen, sent->second->machine, came.at, bounds))
    {
      out.push_back({"DRAIN", describe(*sent->second) + " reached " + came.server + " " +
                                  std::to_string(came.at - server->second) +
                                  " s after its leaving was acknowledged"});
    }
  }
  return out;
}

using words_by_server = std::unordered_map<std::string, moment>;

/// By request, the last of these servers that it reached. A stream that goes on at another server
/// keeps the head of the first one.
std::unordered_map<std::string, std::string> index_last_servers(const history& seen,
                                                                const words_by_server& words)
{
  std::unordered_map<std::string, std::string> out;
  for (const arrival& came : seen.arrivals)
  {
    if (words.contains(came.server))
    {
      out[came.request] = came.server;
    }
  }
  return out;
}

/// When each machine passed on an answer of each server that says that the server leaves.
using leaving_answers = std::map<std::pair<std::string, std::string>, moment>;

leaving_answers index_leaving_answers(const history& seen)
{
  words_by_server words;
  for (const leaving_word& word : seen.leaving_words)
  {
    words.try_emplace(word.server, word.at);
  }
  const auto last_server = index_last_servers(seen, words);
  leaving_answers out;
  for (const attempt& sent : seen.attempts)
  {
    const auto server = last_server.find(sent.id);
    if (sent.server_leaves && server != last_server.end() && words.at(server->second) <= sent.ended)
    {
      const auto [known, is_new] = out.try_emplace({sent.machine, server->second}, sent.ended);
      known->second = is_new ? sent.ended : std::min(known->second, sent.ended);
    }
  }
  return out;
}

/// True if the machine's process was started or paused in this time.
bool was_interrupted(const history& seen, const std::string& machine, moment from, moment to)
{
  return std::any_of(seen.starts.begin(), seen.starts.end(),
                     [&](const process_start& start)
                     { return start.machine == machine && from <= start.at && start.at <= to; }) ||
         std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
                     [&](const disturbance& fault) {
                       return fault.of_process && fault.scope == machine && fault.from <= to &&
                              from <= fault.to;
                     });
}

std::vector<violation> find_requests_after_leaving_answers(const history& seen,
                                                           const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  const auto told = index_leaving_answers(seen);
  for (const arrival& came : seen.arrivals)
  {
    const auto found = attempts.find(came.request);
    if (found == attempts.end())
    {
      continue;
    }
    const attempt& sent = *found->second;
    const auto answer = told.find({sent.machine, came.server});
    if (answer != told.end() && sent.sent > answer->second + bounds.drain_timeout &&
        !was_interrupted(seen, sent.machine, answer->second, came.at))
    {
      out.push_back({"DRAIN", describe(sent) + " reached " + came.server + " " +
                                  std::to_string(came.at - answer->second) +
                                  " s after the machine had passed on that it leaves"});
    }
  }
  return out;
}

std::vector<violation> find_requests_in_pauses(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  const auto machine_of = [&attempts](const arrival& came)
  {
    const auto found = attempts.find(came.request);
    return found == attempts.end() ? std::string{} : found->second->machine;
  };
  std::map<std::pair<std::string, std::string>, std::vector<const arrival*>> by_way;
  for (const arrival& came : seen.arrivals)
  {
    by_way[{machine_of(came), came.server}].push_back(&came);
  }
  for (const auto& [way, arrivals] : by_way)
  {
    for (const arrival* refused : arrivals)
    {
      const moment from = refused->at + bounds.pause_slack;
      const moment to = refused->at + refused->pause;
      const auto count = std::count_if(arrivals.begin(), arrivals.end(),
                                       [from, to](const arrival* came)
                                       { return from < came->at && came->at < to; });
      if (refused->pause > 0 && count > tolerated_pause_arrivals &&
          !is_disturbed(seen, way.first, refused->at, to) &&
          !was_interrupted(seen, way.first, refused->at, to))
      {
        out.push_back({"BUDGET", std::to_string(count) + " requests reached " + way.second +
                                     " from " + way.first + " in its pause from " +
                                     std::to_string(refused->at) + " s on"});
        break;
      }
    }
  }
  return out;
}

/// When each process passed on an answer of each server that names a limit.
using limit_answers = std::map<std::tuple<std::string, std::size_t, std::string>, moment>;

limit_answers index_limit_answers(const history& seen)
{
  words_by_server words;
  for (const limit_word& word : seen.limit_words)
  {
    words.try_emplace(word.server, word.at);
  }
  const auto last_server = index_last_servers(seen, words);
  limit_answers out;
  for (const attempt& sent : seen.attempts)
  {
    const auto server = last_server.find(sent.id);
    if (sent.server_limited && server != last_server.end() &&
        words.at(server->second) <= sent.answered)
    {
      const auto process = incarnation_at(seen, sent.machine, sent.answered);
      const auto [known, is_new] =
          out.try_emplace({sent.machine, process, server->second}, sent.answered);
      known->second = std::min(known->second, sent.answered);
    }
  }
  return out;
}

/// The highest limit that a server named in this time, in requests a second; empty if it named none
/// for a part of it.
std::optional<double> named_limit(const std::vector<limit_word>& words, moment from, moment to)
{
  std::optional<double> before;
  std::optional<double> highest;
  bool complete = true;
  for (const limit_word& word : words)
  {
    if (word.at <= from)
    {
      before = word.per_second;
    }
    else if (word.at <= to)
    {
      complete = complete && word.per_second;
      highest = std::max(highest, word.per_second);
    }
  }
  return before && complete ? std::max(before, highest) : std::nullopt;
}

/// Arrivals at one server from machines that had told its limit, in the order of their times.
std::vector<moment> find_limited_arrivals(const history& seen, const std::string& server,
                                          const limit_answers& told, const rule_bounds& bounds)
{
  std::vector<moment> out;
  const auto attempts = index_attempts(seen);
  for (const arrival& came : seen.arrivals)
  {
    const auto sent = attempts.find(came.request);
    if (came.server != server || sent == attempts.end())
    {
      continue;
    }
    const std::string& machine = sent->second->machine;
    const auto answer = told.find({machine, incarnation_at(seen, machine, came.at), server});
    const moment from = came.at - bounds.stability_window;
    if (answer != told.end() && answer->second + bounds.limit_told <= came.at &&
        !is_disturbed(seen, machine, from, came.at) &&
        !was_interrupted(seen, machine, from, came.at))
    {
      out.push_back(came.at);
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::vector<violation> find_requests_beyond_limits(const history& seen, const rule_bounds& bounds)
{
  std::map<std::string, std::vector<limit_word>> words;
  for (const limit_word& word : seen.limit_words)
  {
    words[word.server].push_back(word);
  }
  std::vector<violation> out;
  const auto told = words.empty() ? limit_answers{} : index_limit_answers(seen);
  for (const auto& [server, named] : words)
  {
    const auto arrivals = find_limited_arrivals(seen, server, told, bounds);
    for (auto last = arrivals.begin(); last != arrivals.end(); ++last)
    {
      const moment from = *last - bounds.limit_window;
      const auto limit = named_limit(named, from - bounds.stability_window, *last);
      const auto count = last + 1 - std::lower_bound(arrivals.begin(), arrivals.end(), from);
      const double allowed =
          bounds.limit_overage * limit.value_or(0) * bounds.limit_window + bounds.limit_extra;
      if (limit && static_cast<double>(count) > allowed)
      {
        out.push_back({"LIMIT", server + ", which had named a limit of " + std::to_string(*limit) +
                                    " a second, got " + std::to_string(count) +
                                    " requests in the " + std::to_string(bounds.limit_window) +
                                    " s before " + std::to_string(*last) + " s, allowed " +
                                    std::to_string(allowed)});
        break;
      }
    }
  }
  return out;
}

std::vector<violation> find_excess_repeats(const history& seen, const rule_bounds& bounds)
{
  struct counted
  {
    std::vector<moment> sent;
    std::vector<moment> repeats;
  };
  std::map<std::string, counted> services;
  for (const attempt& sent : seen.attempts)
  {
    services[sent.service].sent.push_back(sent.sent);
  }
  std::set<std::string> first_seen;
  for (const arrival& came : seen.arrivals)
  {
    if (!first_seen.insert(came.request).second)
    {
      services[came.service].repeats.push_back(came.at);
    }
  }
  std::vector<violation> out;
  for (auto& [service, counts] : services)
  {
    std::sort(counts.sent.begin(), counts.sent.end());
    std::sort(counts.repeats.begin(), counts.repeats.end());
    const auto between = [](const std::vector<moment>& times, moment from, moment to)
    {
      return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) -
                                 std::lower_bound(times.begin(), times.end(), from));
    };
    for (const moment begin : counts.repeats)
    {
      const moment end = begin + bounds.budget_window;
      const double requests = std::max(
          {between(counts.sent, begin, end),
           between(counts.sent, begin - bounds.budget_window, begin),
           between(counts.sent, begin - bounds.budget_window / 2, end - bounds.budget_window / 2)});
      const double allowed = requests * bounds.retry_budget_ratio + bounds.retry_budget_extra;
      const double repeats = between(counts.repeats, begin, end);
      if (repeats > allowed)
      {
        out.push_back({"BUDGET", service + " got " + std::to_string(repeats) + " repeats from " +
                                     std::to_string(begin) + " s on, allowed " +
                                     std::to_string(allowed)});
        break;
      }
    }
  }
  return out;
}

std::vector<violation> find_spoilt_weights(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  for (const arrival& came : seen.arrivals)
  {
    if (came.ran && !came.weight_problem.empty())
    {
      out.push_back(
          {"WHOLE", "request " + came.request + " at " + came.server + ": " + came.weight_problem});
    }
  }
  return out;
}

std::vector<violation> find_old_weights(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  for (const arrival& came : seen.arrivals)
  {
    if (!came.ran || came.weight_version == 0)
    {
      continue;
    }
    const auto sent = attempts.find(came.request);
    for (const named_weights& named : seen.weights)
    {
      const bool late = named.version > came.weight_version &&
                        named.acknowledged + bounds.weight_version < came.began;
      if (late && sent != attempts.end() &&
          in_touch(seen, sent->second->machine, came.began, bounds) &&
          !is_disturbed(seen, sent->second->machine, named.acknowledged, came.began) &&
          !is_disturbed(seen, store_scope, named.acknowledged, came.began))
      {
        out.push_back({"VERSION", "request " + came.request + " began at " + came.server +
                                      " with version " + std::to_string(came.weight_version) +
                                      ", " + std::to_string(came.began - named.acknowledged) +
                                      " s after version " + std::to_string(named.version)});
        break;
      }
    }
  }
  return out;
}

/// The servers that each request reached, whether they ran it or not.
runs_by_request index_arrivals(const history& seen)
{
  runs_by_request out;
  for (const arrival& came : seen.arrivals)
  {
    out[came.request].push_back(&came);
  }
  return out;
}

/// True if the caller waited and its connection ended without a whole answer, after the machine had
/// read the request: it passed it on, or it closed in order well after the last byte.
bool is_cut(const attempt& sent, bool passed_on, const rule_bounds& bounds)
{
  const bool unanswered = sent.answer == answer_state::none || sent.answer == answer_state::cut;
  const bool read = passed_on || (!sent.reset && sent.ended > sent.sent + bounds.loss_slack);
  return unanswered && read && !sent.gave_up && !sent.behind_last_answer;
}

/// True if an unplanned fault of its machine explains it.
bool is_disturbed_unplanned(const history& seen, const attempt& sent, const rule_bounds& bounds)
{
  const moment from = sent.sent - bounds.stability_window;
  return std::any_of(seen.disturbances.begin(), seen.disturbances.end(),
                     [&](const disturbance& fault)
                     {
                       return !fault.planned && fault.scope == sent.machine &&
                              fault.from <= sent.ended && from <= fault.to;
                     });
}

/// True if an unplanned fault, a server or the caller's own limit explains it.
bool is_excused(const history& seen, const attempt& sent, const std::vector<const arrival*>& runs,
                const rule_bounds& bounds)
{
  const moment from = sent.sent - bounds.stability_window;
  return sent.ended + deadline_slack >= sent.due || is_disturbed_unplanned(seen, sent, bounds) ||
         std::any_of(runs.begin(), runs.end(),
                     [&](const arrival* run) {
                       return run->broken_off || is_disturbed(seen, run->server, from, sent.ended);
                     });
}

bool is_around(const planned_stop& stop, const attempt& sent, const rule_bounds& bounds)
{
  return stop.machine == sent.machine && stop.asked <= sent.ended &&
         sent.ended <= stop.asked + bounds.stop_grace + 1;
}

/// In the last sixth of the grace time a server may still be at work on a request of the first
/// seconds of the stop.
bool outlasts_grace(const attempt& sent, const std::vector<const arrival*>& runs,
                    const planned_stop& stop, const rule_bounds& bounds)
{
  constexpr double unknowing_s = 3;
  const moment last_sixth = stop.first_asked + bounds.stop_grace * 5 / 6;
  return sent.sent <= stop.first_asked + unknowing_s &&
         std::any_of(runs.begin(), runs.end(),
                     [last_sixth](const arrival* run)
                     { return run->ran && (run->ended == 0 || run->ended >= last_sixth); });
}

/// True if the end of the grace time explains it.
bool is_excused_by_grace(const history& seen, const attempt& sent,
                         const std::vector<const arrival*>& runs, const rule_bounds& bounds)
{
  return std::any_of(seen.stops.begin(), seen.stops.end(),
                     [&](const planned_stop& stop) {
                       return is_around(stop, sent, bounds) &&
                              outlasts_grace(sent, runs, stop, bounds);
                     });
}

bool is_cut_by_stop(const history& seen, const attempt& sent, const rule_bounds& bounds)
{
  return std::any_of(seen.stops.begin(), seen.stops.end(),
                     [&](const planned_stop& stop) { return is_around(stop, sent, bounds); });
}

bool is_cut_by_reload(const history& seen, const attempt& sent, const rule_bounds& bounds)
{
  return std::any_of(seen.reloads.begin(), seen.reloads.end(),
                     [&](const reload& asked)
                     {
                       return asked.machine == sent.machine && asked.at <= sent.ended &&
                              sent.sent <= asked.at + bounds.config_apply;
                     });
}

bool is_beside_config(const history& seen, moment at, const rule_bounds& bounds)
{
  return std::any_of(seen.configs.begin(), seen.configs.end(),
                     [&](const config_change& config)
                     {
                       return config.sent <= at &&
                              (config.acknowledged < config.sent ||
                               at <= config.acknowledged + bounds.config_apply + 1);
                     });
}

std::vector<violation> find_cut_requests(const history& seen, const rule_bounds& bounds)
{
  // Beside a configuration, cuts count that are this many times as frequent as otherwise.
  constexpr double config_excess = 3;
  constexpr double config_used_share = 0.7;
  constexpr std::size_t tolerated_closes = 3;
  std::vector<violation> out;
  std::map<std::string, std::vector<const attempt*>> beside_configs;
  std::map<std::string, double> elsewhere;
  std::vector<const attempt*> closed;
  const auto arrivals = index_arrivals(seen);
  static const std::vector<const arrival*> none;
  for (const attempt& sent : seen.attempts)
  {
    const auto found = arrivals.find(sent.id);
    const auto& runs = found == arrivals.end() ? none : found->second;
    if (!is_cut(sent, !runs.empty(), bounds) || is_excused(seen, sent, runs, bounds) ||
        is_excused_by_grace(seen, sent, runs, bounds))
    {
      continue;
    }
    if (is_cut_by_stop(seen, sent, bounds))
    {
      out.push_back({"LOST", describe(sent) + ", ended at " + std::to_string(sent.ended) +
                                 ", was cut off in a planned stop"});
    }
    else if (is_cut_by_reload(seen, sent, bounds))
    {
      out.push_back({"LOST", describe(sent) + " was cut off at a reload"});
    }
    else if (sent.ended - sent.sent < config_used_share * (sent.due - sent.sent) &&
             is_beside_config(seen, sent.ended, bounds))
    {
      beside_configs[sent.machine].push_back(&sent);
    }
    else
    {
      elsewhere[sent.machine] += 1;
    }
    const bool unanswered = sent.answer == answer_state::none && sent.answered == 0;
    if (sent.on_kept_connection && unanswered && !runs.empty() &&
        in_touch(seen, sent.machine, sent.ended, bounds))
    {
      closed.push_back(&sent);
    }
  }
  for (const auto& [machine, cut] : beside_configs)
  {
    // Without times of either kind the counts are compared, which is stricter beside long ones.
    if (static_cast<double>(cut.size()) > config_excess * elsewhere[machine])
    {
      out.push_back({"LOST", describe(*cut.front()) + " was cut off beside a configuration"});
    }
  }
  if (closed.size() > tolerated_closes)
  {
    out.push_back({"LOST", describe(*closed.front()) + " and " + std::to_string(closed.size() - 1) +
                               " others were passed on and their kept connections closed"});
  }
  for (const planned_stop& stop : seen.stops)
  {
    if (!stop.in_grace)
    {
      out.push_back({"LOST", stop.machine + " did not end within the grace time of its stop at " +
                                 std::to_string(stop.asked)});
    }
  }
  return out;
}

std::vector<violation> find_work_for_gone_callers(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  const auto attempts = index_attempts(seen);
  std::size_t late_arrivals = 0;
  std::size_t gone = 0;
  std::size_t late_work = 0;
  std::string example;
  for (const arrival& came : seen.arrivals)
  {
    const auto found = attempts.find(came.request);
    if (found == attempts.end() || !found->second->gave_up ||
        !in_touch(seen, found->second->machine, came.at, bounds))
    {
      continue;
    }
    const attempt& sent = *found->second;
    const moment limit = sent.ended + bounds.cancel_slack;
    late_arrivals += came.at > limit ? 1U : 0U;
    example = came.at > limit ? describe(sent) : example;
    if (came.ran && sent.kind != request_kind::once && came.began < sent.ended)
    {
      ++gone;
      late_work += came.ended == 0 || came.ended > limit ? 1U : 0U;
    }
  }
  if (late_arrivals > tolerated_late_arrivals)
  {
    out.push_back({"GONE", std::to_string(late_arrivals) +
                               " requests reached a server after their callers had left, such as " +
                               example});
  }
  if (gone >= min_sample &&
      static_cast<double>(late_work) > tolerated_late_work * static_cast<double>(gone))
  {
    out.push_back({"GONE", "servers worked on for " + std::to_string(late_work) + " of " +
                               std::to_string(gone) + " callers that had left"});
  }
  return out;
}

std::vector<violation> find_missing_recovery(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  for (const moment back : seen.recoveries)
  {
    const moment from = back + bounds.recovery;
    moment until = seen.end;
    for (const disturbance& next : seen.disturbances)
    {
      until = next.from > back ? std::min(until, next.from) : until;
    }
    std::size_t sent_count = 0;
    std::size_t served = 0;
    for (const attempt& sent : seen.attempts)
    {
      if (sent.sent > from && sent.due < until && !sent.is_probe)
      {
        ++sent_count;
        served += sent.answer == answer_state::whole && sent.status == 200 ? 1U : 0U;
      }
    }
    if (sent_count >= min_sample &&
        static_cast<double>(served) < min_recovered_share * static_cast<double>(sent_count))
    {
      out.push_back({"RECOVER", std::to_string(served) + " of " + std::to_string(sent_count) +
                                    " requests were served more than " +
                                    std::to_string(bounds.recovery) +
                                    " s after the processes were "
                                    "back at " +
                                    std::to_string(back)});
    }
  }
  return out;
}

std::vector<violation> find_process_failures(const history& seen, const rule_bounds& /*bounds*/)
{
  std::vector<violation> out;
  for (const process_crash& crash : seen.crashes)
  {
    out.push_back({"PROCESS", crash.machine + " ended by itself at " + std::to_string(crash.at) +
                                  ": " + crash.reason});
  }
  for (const memory_peak& peak : seen.memory)
  {
    if (peak.bytes > peak.limit_bytes)
    {
      out.push_back({"PROCESS", peak.machine + " used " + std::to_string(peak.bytes) +
                                    " bytes of " + std::to_string(peak.limit_bytes)});
    }
  }
  return out;
}

constexpr std::array<rule_check, 17> checks = {
    {{"repeated runs", false, find_repeated_runs},
     {"wrong answers", false, find_wrong_answers},
     {"false refusals", false, find_false_refusals},
     {"changed requests", false, find_changed_requests},
     {"late configurations", true, find_late_configs},
     {"older configurations", true, find_older_configs},
     {"requests to leaving servers", true, find_requests_to_leaving},
     {"requests after leaving answers", true, find_requests_after_leaving_answers},
     {"requests in pauses", true, find_requests_in_pauses},
     {"requests beyond limits", true, find_requests_beyond_limits},
     {"excess repeats", true, find_excess_repeats},
     {"old weights", true, find_old_weights},
     {"spoilt weights", false, find_spoilt_weights},
     {"requests cut off in a stop", true, find_cut_requests},
     {"work for callers that left", true, find_work_for_gone_callers},
     {"missing recovery", true, find_missing_recovery},
     {"failures of processes", false, find_process_failures}}};

} // namespace

std::span<const rule_check> all_checks()
{
  return checks;
}

std::vector<violation> find_violations(const history& seen, const rule_bounds& bounds)
{
  std::vector<violation> out;
  for (const rule_check& check : checks)
  {
    for (violation& found : check.find(seen, bounds))
    {
      found.timed = check.timed;
      out.push_back(std::move(found));
    }
  }
  return out;
}

std::vector<violation> find_unlogged_cuts(const history& seen, const rule_bounds& bounds,
                                          const logged_ids& logged)
{
  std::vector<violation> out;
  const auto arrivals = index_arrivals(seen);
  for (const attempt& sent : seen.attempts)
  {
    const auto ids = logged.find(sent.machine);
    const bool named = ids != logged.end() && ids->second.contains(sent.id);
    // The run ends with some requests in progress.
    const bool ended = sent.ended > 0;
    if (ended && !named && !is_disturbed_unplanned(seen, sent, bounds) &&
        is_cut(sent, arrivals.contains(sent.id), bounds))
    {
      out.push_back({"LOG", describe(sent) + ", ended at " + std::to_string(sent.ended) +
                                ", was cut and is not in the log of its machine"});
    }
  }
  return out;
}

leaving_times measure_leaving_times(const history& seen, const rule_bounds& bounds)
{
  std::unordered_map<std::string, moment> last_arrival;
  for (const arrival& came : seen.arrivals)
  {
    last_arrival[came.server] = std::max(last_arrival[came.server], came.at);
  }
  leaving_times out;
  for (const leaving_word& word : seen.leaving_words)
  {
    const bool disturbed = is_disturbed(seen, store_scope, word.at, word.at + bounds.drain_timeout);
    auto& times = disturbed ? out.store_disturbed : out.store_up;
    times.push_back(std::max(0.0, last_arrival[word.server] - word.at));
  }
  std::sort(out.store_up.begin(), out.store_up.end());
  std::sort(out.store_disturbed.begin(), out.store_disturbed.end());
  return out;
}

limit_use measure_limit_use(const history& seen)
{
  constexpr double hearing_time = 1;
  limit_use out;
  if (seen.attempts.empty())
  {
    return out;
  }
  const moment first_sent = seen.attempts.front().sent;
  const moment last_sent = seen.attempts.back().sent;
  for (auto word = seen.limit_words.begin(); word != seen.limit_words.end(); ++word)
  {
    const auto next =
        std::find_if(word + 1, seen.limit_words.end(),
                     [word](const limit_word& later) { return later.server == word->server; });
    const moment from = std::max(word->at, first_sent) + hearing_time;
    const moment to = next == seen.limit_words.end() ? last_sent : std::min(next->at, last_sent);
    if (word->per_second.value_or(0) <= 0 || to <= from)
    {
      continue;
    }
    const auto arrived =
        std::count_if(seen.arrivals.begin(), seen.arrivals.end(),
                      [word, from, to](const arrival& came)
                      { return came.server == word->server && from <= came.at && came.at < to; });
    out.arrived += static_cast<double>(arrived);
    out.allowed += *word->per_second * (to - from);
  }
  return out;
}

bool in_touch(const history& seen, const std::string& machine, moment at, const rule_bounds& bounds)
{
  const moment from = at - bounds.stability_window;
  return !is_disturbed(seen, machine, from, at) && !is_disturbed(seen, store_scope, from, at) &&
         std::none_of(seen.stops.begin(), seen.stops.end(),
                      [&](const planned_stop& stop) {
                        return stop.machine == machine && stop.asked <= at &&
                               (stop.ended == 0 || stop.ended >= from);
                      });
}

} // namespace pollenyoke::emulator
