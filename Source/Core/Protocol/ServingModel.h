#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Transport/Endpoint.h"

namespace pollenyoke::protocol
{

/// What may be repeated after a request has reached a backend server.
enum class repeat_rule
{
  /// May run more than once.
  idempotent,
  /// Runs at most once.
  once,
};

struct route_target
{
  std::string service;
  double weight = 1;
};

/// A rule of the operator that sends requests of one host name and path prefix to a service.
struct route
{
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Requests of this route are answered with an event stream.
  bool streaming = false;
  repeat_rule repeat = repeat_rule::once;
  std::chrono::milliseconds timeout{30000};
  /// Latest first byte (streams: first event) for which the operator counts an answer as on time.
  std::chrono::milliseconds objective{1000};
  unsigned priority = 1;
  std::vector<route_target> targets;
  unsigned max_attempts = 1;
  /// No key is needed.
  bool open = false;
  /// Regions in which requests may be served; empty if there is no restriction.
  std::set<std::string> allowed_regions;
};

/// Speed of a model engine as its operator states it.
struct engine_speed
{
  /// Time of one token step and what each writing request adds to it.
  double step_ms = 10;
  double step_ms_per_request = 0;
  /// Token steps in one pass that has writing requests.
  double steps_per_pass = 1;
  double prompt_tokens_per_s = 20000;
  /// Cost of attention: ms per million pairs of tokens.
  double pairs_ms_per_million = 0;
  /// Mean tokens of prompt and answer.
  double usual_prompt = 1000;
  double usual_answer = 100;
  /// Shape of the weights.
  unsigned layers = 1;
  unsigned chunks = 0;
  std::uint32_t chunk_bytes = 0;
};

struct service
{
  std::string name;
  std::string health_path;
  unsigned max_connections = 0;
  /// Requests that one engine runs at the same time; 0 if the service is not a model engine.
  unsigned slots = 0;
  std::optional<engine_speed> engine;
  /// Model whose weights the engines serve.
  std::string model;
  /// How long a server is cold after its start under traffic, and the requests a second that it
  /// takes meanwhile from all callers together; 0: no limit.
  std::chrono::milliseconds cold_start{0};
  double cold_per_second = 0;
  /// Set for the origin of weights.
  std::optional<transport::endpoint> origin;
  std::string origin_domain;
};

struct caller_limits
{
  std::uint32_t head_bytes = 16384;
  std::uint64_t body_bytes = 4194304;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct team
{
  std::string name;
  std::optional<unsigned> priority;
  /// Regions in which requests may be served; empty if there is no restriction.
  std::set<std::string> allowed_regions;
};

/// One version of the operator's configuration, whole.
struct serving_config
{
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::map<std::string, service> services;
  caller_limits limits;
  /// False if requests need no key.
  bool has_teams = false;
  std::map<std::string, team> teams_by_key;
};

/// Contiguous layers of a model, `to` exclusive.
struct layer_range
{
  unsigned from = 0;
  unsigned to = 0;

  bool is_empty() const
  {
    return to <= from;
  }
  bool contains(const layer_range& other) const
  {
    return from <= other.from && other.to <= to;
  }
  bool operator==(const layer_range&) const = default;
};

/// True if an engine that states these layers, or none, holds all `layers` of its model.
inline bool holds_all(const std::optional<layer_range>& held, unsigned layers)
{
  return !held || held->contains({0, layers});
}

/// An engine that runs a part of the layers for a request.
struct pipeline_stage
{
  std::string id;
  transport::endpoint address;
  layer_range layers;
};

/// What a backend server says of itself in the platform's store.
struct backend_entry
{
  std::string id;
  std::string service;
  transport::endpoint address;
  std::string failure_domain;
  unsigned slots = 1;
  bool draining = false;
  /// How much longer the server stays cold, as of its writing.
  std::chrono::milliseconds cold_remaining{0};
  /// Unix milliseconds of the server's start.
  std::uint64_t started_ms = 0;
  /// Version of the weights that it holds; 0 if it holds none or is not an engine.
  std::uint64_t weight_version = 0;
  /// Layers of that version; empty if the server does not state them and holds all.
  std::optional<layer_range> layers;
};

/// What a backend server says, in an answer, about the requests that it wants.
struct server_notice
{
  /// It leaves, and wants no new requests.
  bool leaving = false;
  /// It wants no requests for so long.
  std::optional<std::chrono::milliseconds> pause;
  /// Text that should state a pause and does not; empty if there is none.
  std::string unreadable_pause;
  /// How much longer the server stays cold.
  std::optional<std::chrono::milliseconds> cold_remaining;
  /// Requests a second that it takes from all callers together; empty if no readable limit is
  /// named.
  std::optional<double> limit;
  /// Text that should state a limit and does not; empty if there is none.
  std::string unreadable_limit;

  bool names_limit() const
  {
    return limit || !unreadable_limit.empty();
  }
};

/// Load and weights of an engine by its own report.
struct engine_report
{
  unsigned waiting = 0;
  unsigned running = 0;
  std::uint64_t memory_used = 0;
  std::uint64_t memory_total = 0;
  /// An order is in progress.
  bool busy = false;
  /// Orders accepted since the engine's start.
  std::uint64_t orders = 0;
  std::uint64_t started_ms = 0;
  std::string model;
  /// Version of the layers that it holds; 0 if it holds none.
  std::uint64_t weight_version = 0;
  /// Layers of that version; empty if the engine does not state them and holds all.
  std::optional<layer_range> layers;
  /// The engine has said that it leaves.
  bool leaving = false;
  /// Above 1 while the engine is slow.
  double pace = 1;
};

/// The operator wants the engines of a model to serve this version of its weights.
struct named_version
{
  std::string model;
  std::uint64_t version = 0;
};

/// Pieces of one version of a model's weights.
struct piece_manifest
{
  std::string model;
  std::uint64_t version = 0;
  std::uint32_t chunk_bytes = 0;
  std::vector<std::string> digests;
};

/// Header fields of a request that the system reads or sets.
struct request_labels
{
  std::string id;
  std::optional<std::chrono::milliseconds> time_left;
  std::string key;
  /// Tokens of the prompt and the most that the answer may have.
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;
  /// Ids of the parts of the prompt that other requests may hold too, in order.
  std::vector<std::string> shared_parts;
};

} // namespace pollenyoke::protocol
