#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pollenyoke::emulator
{

/// Seconds since the start of a run.
using moment = double;

enum class request_kind
{
  /// A stream that may continue at another engine.
  resumable_stream,
  /// Runs at most once.
  once,
  idempotent,
};

enum class answer_state
{
  /// The connection ended without an answer, or the run ended first.
  none,
  whole,
  /// The connection ended within the answer.
  cut,
  /// Bytes that are not the answer to this request; `problem` says which.
  wrong,
};

/// One attempt of a caller, under a request id of its own.
struct attempt
{
  std::string id;
  std::string machine;
  std::string route;
  std::string service;
  request_kind kind = request_kind::idempotent;
  std::string key;
  std::string team;
  /// When its last byte was sent.
  moment sent = 0;
  moment ended = 0;
  /// Latest moment at which the caller or the route's time limit allows an answer.
  moment due = 0;
  unsigned status = 0;
  answer_state answer = answer_state::none;
  std::string problem;
  /// The caller closed before it had an answer.
  bool gave_up = false;
  /// The answer says that its server leaves.
  bool server_leaves = false;
  /// The answer names a limit of its server.
  bool server_limited = false;
  /// When its head arrived; 0 if none did.
  moment answered = 0;
  /// Sent to one machine to learn which configuration is in force there.
  bool is_probe = false;
  /// Sent on a connection that had been used before.
  bool on_kept_connection = false;
  /// The connection ended with a reset: the process may not have read the request.
  bool reset = false;
  /// Sent behind a request whose answer said that the connection closes, or that was cut: HTTP can
  /// show the latter only by closing.
  bool behind_last_answer = false;
};

/// A request that reached a backend server.
struct arrival
{
  std::string request;
  std::string server;
  std::string service;
  moment at = 0;
  /// The server began to work on it.
  bool ran = false;
  moment began = 0;
  /// 0 while it runs.
  moment ended = 0;
  /// The server ended its answer before it was complete.
  bool broken_off = false;
  std::string team;
  /// The server turned it away and wanted no requests of the machine for so long; 0 if not.
  moment pause = 0;
  /// What is not as the caller sent it; empty if nothing.
  std::string changed;
  /// Engines: version of the weights, and whether each layer was whole and of that version.
  std::uint64_t weight_version = 0;
  std::string weight_problem;
  /// What had disturbed the load of the layers with that problem.
  std::string disturbed_load;
};

/// A configuration of the operator.
struct config_change
{
  std::uint64_t version = 0;
  moment sent = 0;
  moment acknowledged = 0;
  std::set<std::string> routes;
  std::set<std::string> keys;
};

struct named_weights
{
  std::uint64_t version = 0;
  moment acknowledged = 0;
};

/// A backend server whose record says that it leaves, or whose record was removed.
struct leaving_server
{
  std::string server;
  moment acknowledged = 0;
};

/// The moment from which the answers of a server say that it leaves.
struct leaving_word
{
  std::string server;
  moment at = 0;
};

/// The moment from which the answers of a server name this limit.
struct limit_word
{
  std::string server;
  moment at = 0;
  /// Requests a second; empty: none from then on.
  std::optional<double> per_second;
};

/// Everything that a fault may affect is excused for a while.
struct disturbance
{
  /// A machine, the id of a backend server, or `store`.
  std::string scope;
  moment from = 0;
  moment to = 0;
  /// The process of a machine was stopped or paused.
  bool of_process = false;
  /// Part of a planned stop: excuses no request that the stop cuts.
  bool planned = false;
};

struct process_start
{
  std::string machine;
  moment at = 0;
};

/// The end of a process that no one had asked for.
struct process_crash
{
  std::string machine;
  moment at = 0;
  std::string reason;
};

/// A SIGTERM. A process may get several.
struct planned_stop
{
  std::string machine;
  moment asked = 0;
  /// 0 while the process runs.
  moment ended = 0;
  bool in_grace = true;
  /// When the first SIGTERM of this process was sent; its grace time counts from then.
  moment first_asked = 0;
};

/// A SIGHUP.
struct reload
{
  std::string machine;
  moment at = 0;
};

struct memory_peak
{
  std::string machine;
  std::uint64_t bytes = 0;
  std::uint64_t limit_bytes = 0;
};

/// What callers, backend servers and the operator saw in one run.
struct history
{
  std::vector<attempt> attempts;
  std::vector<arrival> arrivals;
  std::vector<config_change> configs;
  std::vector<named_weights> weights;
  std::vector<leaving_server> leaving;
  std::vector<leaving_word> leaving_words;
  std::vector<limit_word> limit_words;
  std::vector<disturbance> disturbances;
  std::vector<process_start> starts;
  std::vector<process_crash> crashes;
  std::vector<planned_stop> stops;
  std::vector<reload> reloads;
  std::vector<memory_peak> memory;
  /// When all processes ran again after all of them had been killed.
  std::vector<moment> recoveries;
  moment end = 0;
};

} // namespace pollenyoke::emulator
