#include "Emulator/PlatformMessages.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "AsyncIo/HttpMessage.h"

namespace pollenyoke::emulator
{

namespace
{

using nlohmann::json;

json encode_route(const protocol::route& route)
{
  json out{{"name", route.name},
           {"host", route.host},
           {"path_prefix", route.path_prefix},
           {"timeout_ms", route.timeout.count()},
           {"target_latency_ms", route.objective.count()},
           {"priority", route.priority},
           {"service", route.targets.front().service},
           {"max_attempts", route.max_attempts},
           {"public", route.open}};
  const bool repeatable = route.repeat == protocol::repeat_rule::idempotent;
  out["kind"] = route.streaming ? "streaming" : repeatable ? "idempotent" : "non_idempotent";
  out["stream_resume"] = route.streaming && repeatable;
  return out;
}

json encode_service(const protocol::service& service, const engine_model& engines)
{
  json out{{"name", service.name}, {"max_connections", service.max_connections}};
  if (service.origin)
  {
    out["origin"] = transport::to_string(*service.origin);
    out["zone"] = service.origin_domain;
    return out;
  }
  out["health_path"] = service.health_path;
  if (!service.model.empty())
  {
    out["engine"] = {{"slots", engines.slots},
                     {"kv_capacity_tokens", engines.memory_tokens},
                     {"stride", engines.steps_per_event},
                     {"models", json::array({{{"name", service.model}}})},
                     {"step_ms", engines.step_ms},
                     {"per_seq_ms", engines.step_ms_per_request},
                     {"read_per_s", engines.prompt_tokens_per_s},
                     {"usual", {{"prompt", 900}, {"answer", 60}}},
                     {"layers", engines.layers},
                     {"chunks", engines.pieces},
                     {"chunk_bytes", engines.piece_bytes}};
  }
  return out;
}

json encode_models(const std::string& model, std::uint64_t version)
{
  return json::array({{{"name", model}, {"version", version}, {"adapters", json::array()}}});
}

json encode_layers(const protocol::layer_range& layers, std::uint64_t version)
{
  return json::array({{{"from", layers.from}, {"to", layers.to}, {"version", version}}});
}

template <typename Decode>
auto with_json(std::string_view text, const Decode& decode) -> result<decltype(decode(json()))>
{
  try
  {
    return decode(json::parse(text));
  }
  catch (const std::exception& e)
  {
    return fail(error_code::malformed, e.what());
  }
}

} // namespace

std::string encode_base64(std::string_view data)
{
  std::string out(4 * ((data.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                   reinterpret_cast<const unsigned char*>(data.data()),
                                   static_cast<int>(data.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string encode_newest_page(const newest_page& page)
{
  json items = json::array();
  for (const keyed_record& item : page.items)
  {
    items.push_back({{"key", item.key},
                     {"value", encode_base64(item.value.value_or(""))},
                     {"offset", item.offset}});
  }
  return json{{"items", items}, {"has_more", page.has_more}, {"end", page.end}}.dump();
}

std::string encode_config(const operator_config& config, const engine_model& engines)
{
  json routes = json::array();
  for (const protocol::route& route : config.routes)
  {
    routes.push_back(encode_route(route));
  }
  json services = json::array();
  for (const protocol::service& service : config.services)
  {
    services.push_back(encode_service(service, engines));
  }
  json teams = json::array();
  for (const auto& [team, keys] : config.keys_by_team)
  {
    teams.push_back({{"name", team}, {"api_keys", keys}});
  }
  const protocol::caller_limits limits;
  return json{{"version", config.version},
              {"routes", routes},
              {"services", services},
              {"limits",
               {{"max_header_bytes", limits.head_bytes},
                {"max_body_bytes", limits.body_bytes},
                {"header_timeout_ms", limits.head_timeout.count()},
                {"idle_timeout_ms", limits.idle_timeout.count()}}},
              {"tenants", teams}}
      .dump();
}

std::string encode_server(const server_record& record)
{
  json out{{"service", record.service}, {"address", record.address},
           {"zone", record.domain},     {"version", "v1"},
           {"slots", record.slots},     {"state", record.draining ? "draining" : "ready"},
           {"cold_remaining_ms", 0},    {"sequence", record.sequence},
           {"born", record.started_ms}};
  if (!record.model.empty())
  {
    out["stage"] = "colocated";
    out["models"] = encode_models(record.model, record.weight_version);
    out["layers"] = encode_layers(record.layers, record.weight_version);
  }
  return out.dump();
}

std::string encode_engine_state(const engine_state& state)
{
  return json{{"stage", "colocated"},
              {"models", encode_models(state.model, state.weight_version)},
              {"layers", encode_layers(state.layers, state.weight_version)},
              {"busy", state.busy},
              {"sequence", state.orders},
              {"waiting", state.waiting},
              {"running", state.running},
              {"kv_used", state.memory_used},
              {"kv_total", state.memory_total},
              {"handles", 0},
              {"pace", 1.0},
              {"born", state.started_ms}}
      .dump();
}

std::string encode_manifest(const protocol::piece_manifest& manifest, unsigned layers)
{
  return json{{"model", manifest.model},
              {"version", manifest.version},
              {"chunk_bytes", manifest.chunk_bytes},
              {"layers", layers},
              {"digests", manifest.digests}}
      .dump();
}

std::string encode_named_version(const protocol::named_version& named)
{
  return json{{"model", named.model}, {"version", named.version}}.dump();
}

std::string encode_staged(const std::vector<std::uint32_t>& pieces)
{
  return json{{"held", pieces}}.dump();
}

result<load_order> decode_load_order(std::string_view body)
{
  return with_json(body,
                   [](const json& in)
                   {
                     load_order out;
                     out.operation = in.at("operation").get<std::string>();
                     out.model = in.value("model", "");
                     out.version = in.value("version", std::uint64_t{0});
                     out.cuts_running_work = in.value("mode", "pending") == "truncate";
                     if (in.contains("from"))
                     {
                       out.layers = protocol::layer_range{in.at("from").get<unsigned>(),
                                                          in.at("to").get<unsigned>()};
                     }
                     if (in.contains("expected"))
                     {
                       out.expected_orders = in.at("expected").get<std::uint64_t>();
                     }
                     return out;
                   });
}

result<std::vector<transport::endpoint>> decode_lookup(std::string_view body)
{
  return with_json(body,
                   [](const json& in)
                   {
                     std::vector<transport::endpoint> out;
                     for (const json& address : in.at("addresses"))
                     {
                       auto parsed = transport::parse_endpoint(address.get<std::string>());
                       if (!parsed)
                       {
                         throw std::invalid_argument(parsed.error().message);
                       }
                       out.push_back(std::move(*parsed));
                     }
                     return out;
                   });
}

result<std::vector<protocol::pipeline_stage>> decode_pipeline(std::string_view field)
{
  std::vector<protocol::pipeline_stage> out;
  while (!field.empty())
  {
    const std::string_view part = field.substr(0, field.find(','));
    field.remove_prefix(std::min(part.size() + 1, field.size()));
    const auto equals = part.find('=');
    const auto dash = part.find('-', equals);
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    if (dash == std::string_view::npos ||
        !async_io::parse_number(part.substr(equals + 1, dash - equals - 1), from) ||
        !async_io::parse_number(part.substr(dash + 1), to))
    {
      return fail(error_code::malformed, "part of a pipeline cannot be read");
    }
    auto address = transport::parse_endpoint(part.substr(0, equals));
    if (!address)
    {
      return tl::unexpected(address.error());
    }
    out.push_back({"", *address, {static_cast<unsigned>(from), static_cast<unsigned>(to)}});
  }
  return out;
}

} // namespace pollenyoke::emulator
