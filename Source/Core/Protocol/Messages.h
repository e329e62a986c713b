#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"
#include "Transport/Http.h"
#include "Transport/MessageNode.h"

/// The messages between our own processes. Each has a type number that is never reused.
namespace pollenyoke::protocol
{

enum class message_type : std::uint8_t
{
  hello = transport::first_message_type,
  request_open,
  request_refused,
  answer_head,
  answer_frame,
  answer_end,
  answer_failed,
  answer_ack,
  cancel,
  outcome_query,
  outcome_reply,
  resume_answer,
  heartbeat,
  subscribe,
  state_push,
  state_fetch,
  state_reply,
  have_update,
  chunk_request,
  chunk_reply,
  suspect_report,
  manifest_request,
  manifest_reply,
};

enum class process_role : std::uint8_t
{
  entry,
  agent,
};

enum class request_priority : std::uint8_t
{
  interactive,
  batch,
};

/// Sent first on every connection by the side that opened it.
struct hello
{
  static constexpr auto type = message_type::hello;
  host_id host;
  incarnation_id incarnation;
  process_role role = process_role::entry;
  std::string region;
  std::string failure_domain;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(host, incarnation, role, region, failure_domain);
  }
};

/// Identifies one attempt to run a request at one agent.
struct attempt_id
{
  request_id request;
  std::uint32_t attempt = 0;

  auto operator<=>(const attempt_id&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(request, attempt);
  }
};

/// Path of a request_open that asks for a new idempotency key instead of a call of the service.
inline constexpr std::string_view mint_key_path = "/pollenyoke/keys";

/// Entry to agent: run this request.
struct request_open
{
  static constexpr auto type = message_type::request_open;
  attempt_id id;
  std::string service;
  /// Empty for plain services.
  std::string model;
  std::string version;
  /// False: the request must not run more than once.
  bool idempotent = true;
  /// Idempotency key, empty for none.
  std::string key;
  /// Identifies the work for suspect detection: model or path, and body.
  digest body_digest;
  std::string team;
  request_priority priority = request_priority::interactive;
  /// Remaining time when sent; 0 for none.
  std::uint32_t deadline_ms = 0;
  std::string method;
  std::string path;
  transport::http_headers headers;
  std::string body;
  /// Number of tokens that the caller already has (resumed streams).
  std::uint32_t resume_from = 0;
  /// A suspect is run with no other request beside it.
  bool run_alone = false;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, service, model, version, idempotent, key, body_digest, team, priority, deadline_ms,
            method, path, headers, body, resume_from, run_alone);
  }
};

enum class refusal_reason : std::uint8_t
{
  overloaded,
  leaving,
  not_serving,
  not_owner,
  expired_deadline,
  key_conflict,
  /// The key was refused for good; it did not run and will not.
  key_refused,
  suspect,
  log_unavailable,
};

/// Agent to entry: the request did not run at this agent and will not under this attempt.
struct request_refused
{
  static constexpr auto type = message_type::request_refused;
  attempt_id id;
  refusal_reason reason = refusal_reason::overloaded;
  std::uint32_t retry_after_ms = 0;
  /// For not_owner: the owner of the key's slot, empty if unknown.
  host_id owner;
  std::string detail;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, reason, retry_after_ms, owner, detail);
  }
};

struct answer_head
{
  static constexpr auto type = message_type::answer_head;
  attempt_id id;
  incarnation_id incarnation;
  std::uint16_t status = 0;
  transport::http_headers headers;
  std::string content_type;
  std::string version;
  /// In flight at the agent divided by its limit, in thousandths.
  std::uint32_t load_permille = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, incarnation, status, headers, content_type, version, load_permille);
  }
};

struct answer_frame
{
  static constexpr auto type = message_type::answer_frame;
  attempt_id id;
  /// From 0, without gaps.
  std::uint32_t sequence = 0;
  std::string data;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, sequence, data);
  }
};

struct answer_end
{
  static constexpr auto type = message_type::answer_end;
  attempt_id id;
  std::uint32_t frames = 0;
  std::uint64_t bytes = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, frames, bytes);
  }
};

enum class failure_kind : std::uint8_t
{
  /// The backend server crashed or its connection broke; the request may have run.
  backend_lost,
  backend_error,
  cancelled,
  /// The key was claimed but what became of it is not known.
  key_unknown,
  /// The key ran; its answer is no longer held.
  key_already_ran,
  deadline,
};

/// Agent to entry: the request was dispatched and ended without a whole answer.
struct answer_failed
{
  static constexpr auto type = message_type::answer_failed;
  attempt_id id;
  failure_kind kind = failure_kind::backend_lost;
  std::string detail;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, kind, detail);
  }
};

/// Entry to agent: the answer has arrived whole; the agent may forget it.
struct answer_ack
{
  static constexpr auto type = message_type::answer_ack;
  attempt_id id;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id);
  }
};

struct cancel
{
  static constexpr auto type = message_type::cancel;
  attempt_id id;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id);
  }
};

/// Entry to agent: what became of this attempt? If the agent has not seen it, it records a refusal
/// first, so that a copy that is still on its way is refused too.
struct outcome_query
{
  static constexpr auto type = message_type::outcome_query;
  attempt_id id;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id);
  }
};

enum class request_outcome : std::uint8_t
{
  not_run,
  running,
  answered,
  failed,
};

struct outcome_reply
{
  static constexpr auto type = message_type::outcome_reply;
  attempt_id id;
  incarnation_id incarnation;
  request_outcome outcome = request_outcome::not_run;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, incarnation, outcome);
  }
};

/// Entry to agent, on a new connection: send the answer again from this frame on.
struct resume_answer
{
  static constexpr auto type = message_type::resume_answer;
  attempt_id id;
  std::uint32_t next_sequence = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(id, next_sequence);
  }
};

/// What a heartbeat says about one model version that the sender serves.
struct served_version
{
  std::string model;
  std::string version;

  auto operator<=>(const served_version&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(model, version);
  }
};

/// Datagram: the sender is alive.
struct heartbeat
{
  static constexpr auto type = message_type::heartbeat;
  host_id host;
  incarnation_id incarnation;
  log_offset state_offset;
  std::uint64_t host_list_version = 0;
  bool leaving = false;
  /// Agents: admitted requests and the limit. Entries: connections and their limit.
  std::uint32_t in_flight = 0;
  std::uint32_t capacity = 0;
  /// Milliseconds since the sender last reached the log.
  std::uint32_t log_age_ms = 0;
  std::vector<served_version> serving;
  /// True: `serving` is left out, it has not changed since `serving_hash` was last the same.
  bool serving_omitted = false;
  std::uint32_t serving_hash = 0;
  /// The sender's interval for this receiver.
  std::uint16_t interval_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(host, incarnation, state_offset, host_list_version, leaving, in_flight, capacity,
            log_age_ms, serving, serving_omitted, serving_hash, interval_ms);
  }
};

/// Datagram: send heartbeats to the source address for `seconds`.
struct subscribe
{
  static constexpr auto type = message_type::subscribe;
  host_id host;
  std::uint16_t seconds = 0;
  /// Wanted interval; 0 leaves it to the sender of the heartbeats.
  std::uint16_t interval_ms = 0;
  /// Not empty: the receiver passes on the heartbeats of this host instead of sending its own.
  host_id about;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(host, seconds, interval_ms, about);
  }
};

/// A record of the log as one process passes it to another.
struct stream_record
{
  log_offset offset;
  std::uint64_t time_ms = 0;
  /// The record's JSON text.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(offset, time_ms, text);
  }
};

/// New records of stream `fleet`, passed down the push tree.
struct state_push
{
  static constexpr auto type = message_type::state_push;
  std::vector<stream_record> records;
  /// JSON of a changed host list; empty for none.
  std::string host_list;
  std::uint64_t host_list_version = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(records, host_list, host_list_version);
  }
};

/// Asks a peer for records from an offset on, or for its whole state.
struct state_fetch
{
  static constexpr auto type = message_type::state_fetch;
  log_offset from;
  std::uint64_t host_list_version = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(from, host_list_version);
  }
};

struct state_reply
{
  static constexpr auto type = message_type::state_reply;
  std::vector<stream_record> records;
  /// JSON of the folded state when the records asked for are no longer held; empty for none.
  std::string snapshot;
  std::string host_list;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(records, snapshot, host_list);
  }
};

/// The chunks of one manifest that the sender holds and has checked.
struct have_update
{
  static constexpr auto type = message_type::have_update;
  digest manifest;
  host_id host;
  /// One bit per chunk, least significant bit first.
  std::vector<std::uint8_t> bitmap;
  bool wants_reply = false;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(manifest, host, bitmap, wants_reply);
  }
};

struct chunk_request
{
  static constexpr auto type = message_type::chunk_request;
  digest manifest;
  std::uint32_t index = 0;
  digest chunk;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(manifest, index, chunk);
  }
};

enum class chunk_status : std::uint8_t
{
  ok,
  not_held,
  busy,
};

struct chunk_reply
{
  static constexpr auto type = message_type::chunk_reply;
  digest manifest;
  std::uint32_t index = 0;
  digest chunk;
  chunk_status status = chunk_status::not_held;
  std::vector<std::uint8_t> data;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(manifest, index, chunk, status, data);
  }
};

/// A request whose work crashed a backend server, or is suspected of it.
struct suspect_report
{
  static constexpr auto type = message_type::suspect_report;
  /// Distinguishes crashes, so that a repeated report counts once.
  request_id crash;
  host_id agent;
  std::vector<digest> running;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(crash, agent, running);
  }
};

struct manifest_request
{
  static constexpr auto type = message_type::manifest_request;
  digest manifest;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(manifest);
  }
};

struct manifest_reply
{
  static constexpr auto type = message_type::manifest_reply;
  digest manifest;
  /// The manifest's JSON text; empty if not held.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(manifest, text);
  }
};

} // namespace pollenyoke::protocol
