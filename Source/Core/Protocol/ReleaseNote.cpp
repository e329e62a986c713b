#include "Protocol/ReleaseNote.h"

#include <algorithm>
#include <initializer_list>
#include <set>

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace pollenyoke::protocol
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_items = 256;
constexpr std::size_t max_yaml_depth = 16;
// Aliases let a short text stand for a tree of any size. A text within the size limit has fewer
// nodes than this when it uses none.
constexpr std::size_t max_yaml_nodes = max_release_note_bytes;

tl::unexpected<error> malformed(std::string message)
{
  return fail(error_code::malformed, "release note: " + std::move(message));
}

result<void> check_members(const json& object, std::initializer_list<std::string_view> known)
{
  if (!object.is_object())
  {
    return malformed("expected a mapping");
  }
  for (const auto& [key, value] : object.items())
  {
    if (std::find(known.begin(), known.end(), key) == known.end())
    {
      return malformed("unknown field '" + key + "'");
    }
  }
  return {};
}

result<std::string> name_member(const json& object, const char* key)
{
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string() || !is_valid_name(found->get<std::string>()))
  {
    return malformed(std::string(key) + " must be a name of a-z, 0-9, '.', '_', '-'");
  }
  return found->get<std::string>();
}

result<std::vector<std::string>> services_member(const json& object)
{
  const auto found = object.find("services");
  if (found == object.end() || !found->is_array() || found->empty())
  {
    return malformed("services must be a list with at least one service");
  }
  std::vector<std::string> services;
  for (const json& entry : *found)
  {
    if (!entry.is_string() || !is_valid_name(entry.get<std::string>()))
    {
      return malformed("services must be names");
    }
    services.push_back(entry.get<std::string>());
  }
  return services;
}

result<void> parse_kind(const json& from, release_item& item)
{
  const std::string kind = from.contains("kind") && from["kind"].is_string()
                               ? from["kind"].get<std::string>()
                               : std::string("model");
  if (kind == "model" && !from.contains("base_model"))
  {
    return {};
  }
  const auto base = name_member(from, "base_model");
  if (kind != "adapter" || !base)
  {
    return malformed("kind must be model, or adapter with a base_model");
  }
  item.kind = item_kind::adapter;
  item.base_model = *base;
  return {};
}

result<void> parse_limits(const json& from, release_item& item)
{
  if (from.contains("replicas"))
  {
    const json& replicas = from["replicas"];
    if (!replicas.is_number_unsigned() || replicas.get<std::uint64_t>() > 100000)
    {
      return malformed("replicas must be a number from 0 to 100000");
    }
    item.replicas = replicas.get<std::uint32_t>();
  }
  if (from.contains("origin_limit_copies"))
  {
    const json& limit = from["origin_limit_copies"];
    if (!limit.is_number() || limit.get<double>() < 1.0 || limit.get<double>() > 100.0)
    {
      return malformed("origin_limit_copies must be a number from 1 to 100");
    }
    item.origin_limit_copies = limit.get<double>();
  }
  return {};
}

result<void> parse_weights(const json& from, release_item& item)
{
  const auto manifest = from.find("manifest");
  if (manifest == from.end() || !manifest->is_string())
  {
    return malformed("manifest must be a digest");
  }
  const auto id = parse_digest(manifest->get_ref<const std::string&>());
  if (!id)
  {
    return malformed("manifest: " + id.error().message);
  }
  item.manifest = *id;
  const auto bytes = from.find("bytes");
  if (bytes == from.end() || !bytes->is_number_unsigned() || bytes->get<std::uint64_t>() == 0)
  {
    return malformed("bytes must be the size of the weights");
  }
  item.bytes = bytes->get<std::uint64_t>();
  return {};
}

result<release_item> parse_item(const json& from)
{
  if (auto known = check_members(from, {"model", "version", "kind", "base_model", "manifest",
                                        "bytes", "services", "replicas", "origin_limit_copies"});
      !known)
  {
    return tl::unexpected(known.error());
  }
  release_item item;
  const auto model = name_member(from, "model");
  const auto version = name_member(from, "version");
  auto services = services_member(from);
  if (!model || !version || !services)
  {
    return tl::unexpected(!model ? model.error() : !version ? version.error() : services.error());
  }
  item.model = *model;
  item.version = *version;
  item.services = std::move(*services);
  for (const auto step : {parse_kind, parse_limits, parse_weights})
  {
    if (auto done = step(from, item); !done)
    {
      return tl::unexpected(done.error());
    }
  }
  return item;
}

result<std::vector<release_item>> items_member(const json& object, const char* key)
{
  std::vector<release_item> items;
  if (!object.contains(key))
  {
    return items;
  }
  const json& list = object[key];
  if (!list.is_array() || list.size() > max_items)
  {
    return malformed(std::string(key) + " must be a list of at most 256 items");
  }
  for (const json& entry : list)
  {
    auto item = parse_item(entry);
    if (!item)
    {
      return tl::unexpected(item.error());
    }
    items.push_back(std::move(*item));
  }
  return items;
}

result<std::vector<model_version>> withdraw_member(const json& object)
{
  std::vector<model_version> items;
  if (!object.contains("withdraw"))
  {
    return items;
  }
  const json& list = object["withdraw"];
  if (!list.is_array() || list.size() > max_items)
  {
    return malformed("withdraw must be a list of at most 256 items");
  }
  for (const json& entry : list)
  {
    if (auto known = check_members(entry, {"model", "version"}); !known)
    {
      return tl::unexpected(known.error());
    }
    const auto model = name_member(entry, "model");
    const auto version = name_member(entry, "version");
    if (!model || !version)
    {
      return malformed("withdraw needs model and version");
    }
    items.push_back({*model, *version});
  }
  return items;
}

result<void> check_unique(const release_note& note)
{
  std::set<model_version> seen;
  const auto add = [&seen](std::string_view model, std::string_view version)
  {
    return seen.insert({std::string(model), std::string(version)}).second;
  };
  for (const auto* list : {&note.add, &note.change})
  {
    for (const release_item& item : *list)
    {
      if (!add(item.model, item.version))
      {
        return malformed("model '" + item.model + "' version '" + item.version + "' stands twice");
      }
    }
  }
  for (const model_version& item : note.withdraw)
  {
    if (!add(item.model, item.version))
    {
      return malformed("model '" + item.model + "' version '" + item.version + "' stands twice");
    }
  }
  return seen.empty() ? result<void>(malformed("nothing to add, change or withdraw"))
                      : result<void>();
}

json scalar_to_json(const YAML::Node& node, std::string_view key)
{
  const std::string& text = node.Scalar();
  // Versions and names stay text even when they look like numbers.
  constexpr std::string_view numeric[] = {"bytes", "replicas", "head", "origin_limit_copies"};
  const bool quoted = node.Tag() == "!";
  if (!quoted && std::find(std::begin(numeric), std::end(numeric), key) != std::end(numeric))
  {
    json parsed = json::parse(text, nullptr, false);
    if (parsed.is_number())
    {
      return parsed;
    }
  }
  return text;
}

result<json> yaml_to_json(const YAML::Node& node, std::string_view key, std::size_t depth,
                          std::size_t& nodes)
{
  if (depth > max_yaml_depth)
  {
    return malformed("nested too deeply");
  }
  if (++nodes > max_yaml_nodes)
  {
    return malformed("too many nodes");
  }
  if (node.IsSequence())
  {
    json list = json::array();
    for (const YAML::Node& entry : node)
    {
      auto item = yaml_to_json(entry, key, depth + 1, nodes);
      if (!item)
      {
        return item;
      }
      list.push_back(std::move(*item));
    }
    return list;
  }
  if (node.IsMap())
  {
    json object = json::object();
    for (const auto& entry : node)
    {
      const std::string name = entry.first.as<std::string>();
      if (object.contains(name))
      {
        return malformed("line " + std::to_string(entry.first.Mark().line + 1) +
                         ": duplicate field '" + name + "'");
      }
      auto item = yaml_to_json(entry.second, name, depth + 1, nodes);
      if (!item)
      {
        return item;
      }
      object[name] = std::move(*item);
    }
    return object;
  }
  return node.IsScalar() ? scalar_to_json(node, key) : json();
}

json item_to_json(const release_item& item)
{
  json out = {{"model", item.model},       {"version", item.version},
              {"bytes", item.bytes},       {"manifest", to_hex(item.manifest)},
              {"services", item.services}, {"replicas", item.replicas},
              {"kind", "model"},           {"origin_limit_copies", item.origin_limit_copies}};
  if (item.kind == item_kind::adapter)
  {
    out["kind"] = "adapter";
    out["base_model"] = item.base_model;
  }
  return out;
}

} // namespace

bool is_valid_name(std::string_view name)
{
  constexpr std::size_t max_name = 64;
  const auto alphanumeric = [](char c)
  {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  if (name.empty() || name.size() > max_name || !alphanumeric(name.front()))
  {
    return false;
  }
  return std::all_of(name.begin(), name.end(),
                     [&](char c) { return alphanumeric(c) || c == '.' || c == '_' || c == '-'; });
}

result<release_note> release_note_from_json(const json& from)
{
  if (auto known = check_members(from, {"name", "head", "add", "change", "withdraw"}); !known)
  {
    return tl::unexpected(known.error());
  }
  release_note note;
  const auto name = name_member(from, "name");
  if (!name)
  {
    return tl::unexpected(name.error());
  }
  note.name = *name;
  if (from.contains("head") && !from["head"].is_number_unsigned())
  {
    return malformed("head must be an offset");
  }
  note.head.value = from.value("head", std::uint64_t{0});
  auto add = items_member(from, "add");
  auto change = items_member(from, "change");
  auto withdraw = withdraw_member(from);
  if (!add || !change || !withdraw)
  {
    return tl::unexpected(!add ? add.error() : !change ? change.error() : withdraw.error());
  }
  note.add = std::move(*add);
  note.change = std::move(*change);
  note.withdraw = std::move(*withdraw);
  if (auto unique = check_unique(note); !unique)
  {
    return tl::unexpected(unique.error());
  }
  return note;
}

result<release_note> parse_release_note(std::string_view yaml)
{
  if (yaml.size() > max_release_note_bytes)
  {
    return fail(error_code::limit_exceeded, "release note larger than 64 KiB");
  }
  try
  {
    std::size_t nodes = 0;
    const auto document = yaml_to_json(YAML::Load(std::string(yaml)), "", 0, nodes);
    if (!document)
    {
      return tl::unexpected(document.error());
    }
    return release_note_from_json(*document);
  }
  catch (const YAML::Exception& e)
  {
    return malformed("line " + std::to_string(e.mark.line + 1) + ": " + e.msg);
  }
}

json release_note_to_json(const release_note& note)
{
  json out = {{"name", note.name}, {"head", note.head.value}};
  for (const auto& [key, list] : {std::pair("add", &note.add), std::pair("change", &note.change)})
  {
    out[key] = json::array();
    for (const release_item& item : *list)
    {
      out[key].push_back(item_to_json(item));
    }
  }
  out["withdraw"] = json::array();
  for (const model_version& item : note.withdraw)
  {
    out["withdraw"].push_back({{"model", item.model}, {"version", item.version}});
  }
  return out;
}

} // namespace pollenyoke::protocol
