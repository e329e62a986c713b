#include "Emulator/SelfCheck.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace pollenyoke::emulator
{

namespace
{

attempt make_attempt(const std::string& id, moment sent, request_kind kind)
{
  return {.id = id,
          .machine = "entry-a-1",
          .route = "stock",
          .service = "desk",
          .kind = kind,
          .key = "key-1",
          .team = "team-1",
          .sent = sent,
          .ended = sent + 0.1,
          .due = sent + 1.5,
          .status = 200,
          .answer = answer_state::whole};
}

arrival make_arrival(const std::string& request, moment at)
{
  return {.request = request,
          .server = "i-1",
          .service = "desk",
          .at = at,
          .ran = true,
          .began = at,
          .ended = at + 0.05,
          .team = "team-1"};
}

void repeat_run(history& seen)
{
  seen.arrivals.push_back(make_arrival("once", 20.2));
}

void mix_answer(history& seen)
{
  seen.attempts.front().answer = answer_state::wrong;
  seen.attempts.front().problem = "answer to another request";
}

void refuse_falsely(history& seen)
{
  auto once = std::find_if(seen.attempts.begin(), seen.attempts.end(),
                           [](const attempt& sent) { return sent.id == "once"; });
  once->status = 503;
}

void swap_team(history& seen)
{
  seen.arrivals.front().team = "team-2";
}

void pass_key_on(history& seen)
{
  seen.arrivals.front().changed = "the caller's key was passed on";
}

void invent_request(history& seen)
{
  seen.arrivals.push_back(make_arrival("unknown", 20));
}

void run_at_other_service(history& seen)
{
  seen.arrivals.front().service = "models";
}

/// A route that version 2 added at 10 s is not known at 20 s.
void miss_route(history& seen)
{
  attempt late = make_attempt("late", 20, request_kind::idempotent);
  late.route = "added";
  late.status = 404;
  seen.attempts.push_back(late);
}

/// A key that version 2 took away at 10 s is served at 20 s.
void serve_revoked_key(history& seen)
{
  attempt late = make_attempt("late", 20, request_kind::idempotent);
  late.key = "key-0";
  seen.attempts.push_back(late);
  seen.arrivals.push_back(make_arrival("late", 20));
}

/// Version 2 shows at 10.5 s, and version 1 at 11.5 s, before version 2 is due.
void return_to_older(history& seen)
{
  attempt newer = make_attempt("newer", 10.5, request_kind::idempotent);
  newer.route = "added";
  attempt older = newer;
  older.id = "older";
  older.sent = 11.5;
  older.ended = 11.6;
  older.status = 404;
  seen.attempts.push_back(newer);
  seen.arrivals.push_back(make_arrival("newer", 10.5));
  seen.attempts.push_back(older);
}

void use_leaving_server(history& seen)
{
  seen.leaving.push_back({"i-1", 1});
}

/// A machine passes an answer on, and sends the same server a request 3 s later.
void use_server_that_said_it_leaves(history& seen)
{
  seen.leaving_words.push_back({"i-1", 18});
  seen.attempts.front().server_leaves = true;
  seen.attempts.push_back(make_attempt("after-leaving", 22.5, request_kind::idempotent));
  seen.arrivals.push_back(make_arrival("after-leaving", 22.51));
}

void disregard_pause(history& seen)
{
  seen.arrivals.front().ran = false;
  seen.arrivals.front().pause = 2;
  for (unsigned i = 0; i < 3; ++i)
  {
    const std::string id = "in-pause-" + std::to_string(i);
    seen.attempts.push_back(make_attempt(id, 20.2 + i * 0.1, request_kind::idempotent));
    seen.arrivals.push_back(make_arrival(id, 20.21 + i * 0.1));
  }
}

/// A machine passes on a limit of one a second, and sends four a second from then on.
void disregard_limit(history& seen)
{
  seen.limit_words.push_back({"i-1", 15, 1});
  seen.attempts.front().server_limited = true;
  seen.attempts.front().answered = 19.1;
  for (unsigned i = 0; i < 16; ++i)
  {
    const std::string id = "beyond-" + std::to_string(i);
    seen.attempts.push_back(make_attempt(id, 22 + i * 0.25, request_kind::idempotent));
    seen.arrivals.push_back(make_arrival(id, 22 + i * 0.25));
  }
}

void repeat_too_often(history& seen)
{
  for (unsigned i = 0; i < 100; ++i)
  {
    seen.arrivals.push_back(make_arrival("stock-1", 20 + i * 0.01));
  }
}

void use_old_weights(history& seen)
{
  seen.weights = {{1, 0}, {2, 5}};
  seen.arrivals.front().weight_version = 1;
}

void load_spoilt_weights(history& seen)
{
  seen.arrivals.front().weight_version = 1;
  seen.arrivals.front().weight_problem = "layers were loaded without piece 3";
}

void cut_in_stop(history& seen)
{
  seen.stops.push_back({"entry-a-1", 19, 23, true, 19});
  seen.attempts.front().answer = answer_state::cut;
  seen.attempts.front().ended = 20.2;
}

/// The request came in the first seconds of the stop, and its server was done well before the end
/// of the grace time; a second SIGTERM had come.
void cut_after_second_signal(history& seen)
{
  seen.stops.push_back({"entry-a-1", 17, 20.3, true, 17});
  seen.stops.push_back({"entry-a-1", 20, 20.3, true, 17});
  seen.attempts.front().answer = answer_state::cut;
  seen.attempts.front().ended = 20.2;
}

/// The connection ended in order, and no server got the request.
void close_without_answer(history& seen)
{
  seen.stops.push_back({"entry-a-1", 20, 23, true, 20});
  attempt read = make_attempt("read", 20.5, request_kind::idempotent);
  read.answer = answer_state::none;
  read.status = 0;
  read.ended = 20.8;
  seen.attempts.push_back(read);
}

void cut_at_reload(history& seen)
{
  seen.reloads.push_back({"entry-a-1", 18});
  seen.attempts.front().answer = answer_state::cut;
}

void cut_beside_config(history& seen)
{
  seen.configs.push_back({3, 19, 19.05, {"stock", "added"}, {"key-1"}});
  seen.attempts.front().answer = answer_state::cut;
}

void close_kept_connections(history& seen)
{
  for (unsigned i = 0; i < 4; ++i)
  {
    seen.attempts[i].answer = answer_state::none;
    seen.attempts[i].on_kept_connection = true;
  }
}

void exceed_grace(history& seen)
{
  seen.stops.push_back({"entry-a-1", 25, 33, false, 25});
}

void send_after_close(history& seen)
{
  for (unsigned i = 0; i < 5; ++i)
  {
    const std::string id = "gone-" + std::to_string(i);
    attempt left = make_attempt(id, 20, request_kind::idempotent);
    left.gave_up = true;
    left.answer = answer_state::none;
    seen.attempts.push_back(left);
    seen.arrivals.push_back(make_arrival(id, 22));
  }
}

void work_after_close(history& seen)
{
  for (unsigned i = 0; i < 10; ++i)
  {
    const std::string id = "gone-" + std::to_string(i);
    attempt left = make_attempt(id, 20, request_kind::idempotent);
    left.gave_up = true;
    left.answer = answer_state::none;
    seen.attempts.push_back(left);
    arrival worked = make_arrival(id, 20.05);
    worked.ended = 22;
    seen.arrivals.push_back(worked);
  }
}

void stay_away(history& seen)
{
  seen.recoveries.push_back(30);
  for (unsigned i = 0; i < 20; ++i)
  {
    attempt refused =
        make_attempt("away-" + std::to_string(i), 43 + i * 0.1, request_kind::idempotent);
    refused.status = 503;
    seen.attempts.push_back(refused);
  }
}

void end_by_itself(history& seen)
{
  seen.crashes.push_back({"entry-a-1", 20, "signal Aborted"});
}

void outgrow_memory(history& seen)
{
  seen.memory.push_back({"entry-a-1", 200, 100});
}

constexpr std::array<altered_history, 29> alterations = {{
    {"a request that runs once ran twice", "TWICE", "repeated runs", repeat_run},
    {"an answer belongs to another request", "MIXED", "wrong answers", mix_answer},
    {"a refused request ran", "REFUSED", "false refusals", refuse_falsely},
    {"a request ran for another team", "UNASKED", "changed requests", swap_team},
    {"a key was passed on", "UNASKED", "changed requests", pass_key_on},
    {"a request that no one sent ran", "UNASKED", "changed requests", invent_request},
    {"a request ran at another service", "UNASKED", "changed requests", run_at_other_service},
    {"a new route is not known in time", "CONFIG", "late configurations", miss_route},
    {"a revoked key is served", "CONFIG", "late configurations", serve_revoked_key},
    {"a configuration came back older", "CONFIG", "older configurations", return_to_older},
    {"a leaving server got a request", "DRAIN", "requests to leaving servers", use_leaving_server},
    {"a server that said so in an answer got a request", "DRAIN", "requests after leaving answers",
     use_server_that_said_it_leaves},
    {"a server's pause was disregarded", "BUDGET", "requests in pauses", disregard_pause},
    {"a server's limit was disregarded", "LIMIT", "requests beyond limits", disregard_limit},
    {"requests are repeated too often", "BUDGET", "excess repeats", repeat_too_often},
    {"an older version is still used", "VERSION", "old weights", use_old_weights},
    {"weights were not whole", "WHOLE", "spoilt weights", load_spoilt_weights},
    {"a planned stop cut a request", "LOST", "requests cut off in a stop", cut_in_stop},
    {"a second signal cut a request", "LOST", "requests cut off in a stop",
     cut_after_second_signal},
    {"a stop closed a connection without an answer", "LOST", "requests cut off in a stop",
     close_without_answer},
    {"a reload cut a request", "LOST", "requests cut off in a stop", cut_at_reload},
    {"a new configuration cut a request", "LOST", "requests cut off in a stop", cut_beside_config},
    {"kept connections were closed without answers", "LOST", "requests cut off in a stop",
     close_kept_connections},
    {"a planned stop took too long", "LOST", "requests cut off in a stop", exceed_grace},
    {"requests arrive for callers that left", "GONE", "work for callers that left",
     send_after_close},
    {"servers work for callers that left", "GONE", "work for callers that left", work_after_close},
    {"service does not come back", "RECOVER", "missing recovery", stay_away},
    {"a process ended by itself", "PROCESS", "failures of processes", end_by_itself},
    {"a process outgrew its memory", "PROCESS", "failures of processes", outgrow_memory},
}};

bool is_reported(const altered_history& altered)
{
  history seen = make_sound_history();
  altered.alter(seen);
  for (const rule_check& check : all_checks())
  {
    const auto found = check.find(seen, rule_bounds{});
    const bool reported =
        std::any_of(found.begin(), found.end(),
                    [&altered](const violation& one) { return one.rule == altered.rule; });
    if (reported && check.name == altered.check)
    {
      return true;
    }
  }
  return false;
}

} // namespace

history make_sound_history()
{
  history seen;
  seen.configs = {{1, 0, 0, {"stock"}, {"key-0", "key-1"}},
                  {2, 10, 10, {"stock", "added"}, {"key-1"}}};
  seen.weights = {{1, 0}};
  seen.starts = {{"entry-a-1", 0}};
  for (unsigned i = 0; i < 20; ++i)
  {
    const std::string id = "stock-" + std::to_string(i);
    seen.attempts.push_back(make_attempt(id, 19 + i * 0.05, request_kind::idempotent));
    seen.arrivals.push_back(make_arrival(id, 19.01 + i * 0.05));
  }
  seen.attempts.push_back(make_attempt("once", 20, request_kind::once));
  seen.arrivals.push_back(make_arrival("once", 20.01));
  seen.end = 60;
  return seen;
}

std::span<const altered_history> altered_histories()
{
  return alterations;
}

self_check_report run_self_check()
{
  self_check_report out{all_checks().size(), {}};
  for (const violation& found : find_violations(make_sound_history(), rule_bounds{}))
  {
    out.undetected.push_back("sound history reported as " + found.rule + ": " + found.detail);
  }
  for (const altered_history& altered : alterations)
  {
    if (!is_reported(altered))
    {
      out.undetected.emplace_back(altered.name);
    }
  }
  for (const rule_check& check : all_checks())
  {
    const bool covered = std::any_of(alterations.begin(), alterations.end(),
                                     [&check](const altered_history& altered)
                                     { return altered.check == check.name; });
    if (!covered)
    {
      out.undetected.push_back("no altered history for " + std::string(check.name));
    }
  }
  return out;
}

std::string to_json(const self_check_report& report)
{
  return nlohmann::ordered_json{{"checks", report.checks}, {"undetected", report.undetected}}
      .dump();
}

} // namespace pollenyoke::emulator
