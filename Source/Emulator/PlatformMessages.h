#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Emulator/LogStore.h"
#include "Protocol/ServingModel.h"

/// The platform's side of its wire: bodies that the store, the backend servers and the operator
/// write.
namespace pollenyoke::emulator
{

/// Speed and size of the emulated engines.
struct engine_model
{
  unsigned slots = 8;
  unsigned queue = 16;
  double step_ms = 9.27;
  double step_ms_per_request = 0.02;
  unsigned steps_per_event = 5;
  double prompt_tokens_per_s = 20700;
  std::uint64_t memory_tokens = 317000;
  unsigned layers = 16;
  unsigned pieces = 48;
  std::uint32_t piece_bytes = 4096;
  std::chrono::milliseconds load_time{300};
  /// How long a staged piece may have been spoilt when an order takes it.
  std::chrono::milliseconds spoilage_tolerance{3000};
};

/// A configuration as the operator writes it.
struct operator_config
{
  std::uint64_t version = 0;
  std::vector<protocol::route> routes;
  std::vector<protocol::service> services;
  std::vector<std::pair<std::string, std::vector<std::string>>> keys_by_team;
};

struct server_record
{
  std::string id;
  std::string service;
  std::string address;
  std::string domain;
  unsigned slots = 1;
  bool draining = false;
  std::uint64_t sequence = 0;
  std::uint64_t started_ms = 0;
  /// Engines: model and the layers that are held.
  std::string model;
  protocol::layer_range layers;
  std::uint64_t weight_version = 0;
};

struct engine_state
{
  std::string model;
  protocol::layer_range layers;
  std::uint64_t weight_version = 0;
  bool busy = false;
  std::uint64_t orders = 0;
  std::uint64_t started_ms = 0;
  unsigned waiting = 0;
  unsigned running = 0;
  std::uint64_t memory_used = 0;
  std::uint64_t memory_total = 0;
};

/// An order to load weights. Error `malformed`: fields are missing or of another type.
struct load_order
{
  std::string operation;
  std::string model;
  std::uint64_t version = 0;
  bool cuts_running_work = false;
  std::optional<protocol::layer_range> layers;
  std::optional<std::uint64_t> expected_orders;
};

std::string encode_base64(std::string_view data);
std::string encode_newest_page(const newest_page& page);
std::string encode_config(const operator_config& config, const engine_model& engines);
std::string encode_server(const server_record& record);
std::string encode_engine_state(const engine_state& state);
std::string encode_manifest(const protocol::piece_manifest& manifest, unsigned layers);
std::string encode_named_version(const protocol::named_version& named);
std::string encode_staged(const std::vector<std::uint32_t>& pieces);
result<load_order> decode_load_order(std::string_view body);
/// Addresses of a lookup answer. Error `malformed`: not such an answer.
result<std::vector<transport::endpoint>> decode_lookup(std::string_view body);
/// Engines of a request that runs through a pipeline, without their ids.
result<std::vector<protocol::pipeline_stage>> decode_pipeline(std::string_view field);

} // namespace pollenyoke::emulator
