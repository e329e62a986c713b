#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/Result.h"

namespace pollenyoke::protocol
{

enum class item_kind
{
  model,
  adapter,
};

/// One model version or adapter version that a release note adds or changes.
struct release_item
{
  std::string model;
  std::string version;
  item_kind kind = item_kind::model;
  /// For adapters: the model that it extends.
  std::string base_model;
  digest manifest;
  /// Size of the weights; the manifest must state the same.
  std::uint64_t bytes = 0;
  /// The services whose backend servers hold it.
  std::vector<std::string> services;
  /// Hosts that serve it; 0 means every host of the services.
  std::uint32_t replicas = 0;
  /// Upper bound for bytes read from the origin, in copies.
  double origin_limit_copies = 1.5;
};

struct model_version
{
  std::string model;
  std::string version;

  auto operator<=>(const model_version&) const = default;
};

struct release_note
{
  std::string name;
  /// Offset of the accepted note that this one was written against; 0 for none.
  log_offset head;
  /// Served beside other versions of the same model.
  std::vector<release_item> add;
  /// Replaces all earlier versions of the same model.
  std::vector<release_item> change;
  std::vector<model_version> withdraw;
};

constexpr std::size_t max_release_note_bytes = std::size_t{64} * 1024;

/// Names are 1 to 64 characters of a-z, 0-9, '.', '_', '-', and start with a letter or digit.
bool is_valid_name(std::string_view name);

/// Parses an operator's YAML (or JSON) file. Unknown fields, bad names, missing services and
/// duplicate items are errors; messages carry the line.
result<release_note> parse_release_note(std::string_view yaml);
result<release_note> release_note_from_json(const nlohmann::json& from);
nlohmann::json release_note_to_json(const release_note& note);

} // namespace pollenyoke::protocol
