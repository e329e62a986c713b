#include "Protocol/LogRecord.h"

#include <limits>

#include <nlohmann/json.hpp>

namespace pollenyoke::protocol
{

namespace
{

using nlohmann::json;

// The accessors throw json::exception on a missing member or wrong type; parse_log_record turns
// that into an error value.

// json::get converts any number: a negative one wraps around, a fraction is cut off, and the
// conversion of a large floating-point number is undefined.
template <typename Integer>
Integer unsigned_member(const json& object, const char* name)
{
  const json& member = object.at(name);
  if (!member.is_number_unsigned() ||
      member.get<std::uint64_t>() > std::numeric_limits<Integer>::max())
  {
    throw json::other_error::create(501, std::string(name) + " must be an unsigned number",
                                    &object);
  }
  return member.get<Integer>();
}

json to_json(const release_key& key)
{
  return {{"note", key.note.value}, {"model", key.model}};
}

release_key to_release_key(const json& from)
{
  return {log_offset{unsigned_member<std::uint64_t>(from, "note")},
          from.at("model").get<std::string>()};
}

json to_json(const stripe_holder& holder)
{
  return {{"host", holder.host.value}, {"incarnation", holder.incarnation.value}};
}

stripe_holder to_holder(const json& from)
{
  return {host_id{from.at("host").get<std::string>()},
          incarnation_id{unsigned_member<std::uint64_t>(from, "incarnation")}};
}

json body_to_json(const release_note& body)
{
  return {{"kind", "note"}, {"note", release_note_to_json(body)}};
}

json body_to_json(const placement_record& body)
{
  json stripes = json::array();
  for (const stripe_holder& holder : body.stripes)
  {
    stripes.push_back(to_json(holder));
  }
  return {{"kind", "placement"}, {"release", to_json(body.release)}, {"stripes", stripes}};
}

json body_to_json(const origin_claim_record& body)
{
  return {{"kind", "origin_claim"},
          {"release", to_json(body.release)},
          {"stripe", body.stripe},
          {"previous", to_json(body.previous)},
          {"claimer", to_json(body.claimer)},
          {"bytes", body.bytes}};
}

json body_to_json(const origin_return_record& body)
{
  return {{"kind", "origin_return"},   {"release", to_json(body.release)}, {"stripe", body.stripe},
          {"grant", body.grant.value}, {"holder", to_json(body.holder)},   {"bytes", body.bytes}};
}

json body_to_json(const stop_record& body)
{
  return {{"kind", "stop"}, {"host", body.host.value}, {"cancelled", body.cancelled}};
}

json body_to_json(const config_record& body)
{
  return {{"kind", "config"}, {"key", body.key}, {"value", body.value}};
}

json body_to_json(const checkpoint_record& body)
{
  return {{"kind", "checkpoint"},
          {"offset", body.offset.value},
          {"digest", to_hex(body.state_digest)},
          {"state", body.state}};
}

placement_record to_placement(const json& from)
{
  placement_record body{to_release_key(from.at("release")), {}};
  for (const json& entry : from.at("stripes"))
  {
    body.stripes.push_back(to_holder(entry));
  }
  return body;
}

origin_claim_record to_claim(const json& from)
{
  return {to_release_key(from.at("release")), unsigned_member<std::uint32_t>(from, "stripe"),
          to_holder(from.at("previous")), to_holder(from.at("claimer")),
          unsigned_member<std::uint64_t>(from, "bytes")};
}

origin_return_record to_return(const json& from)
{
  return {to_release_key(from.at("release")), unsigned_member<std::uint32_t>(from, "stripe"),
          log_offset{unsigned_member<std::uint64_t>(from, "grant")}, to_holder(from.at("holder")),
          unsigned_member<std::uint64_t>(from, "bytes")};
}

result<record_body> to_checkpoint(const json& from)
{
  const auto state_digest = parse_digest(from.at("digest").get<std::string>());
  if (!state_digest)
  {
    return tl::unexpected(state_digest.error());
  }
  return checkpoint_record{log_offset{unsigned_member<std::uint64_t>(from, "offset")},
                           *state_digest, from.at("state").get<std::string>()};
}

result<record_body> to_body(const json& from)
{
  const std::string kind = from.at("kind").get<std::string>();
  if (kind == "note")
  {
    return release_note_from_json(from.at("note"))
        .map([](release_note&& note) { return record_body(std::move(note)); });
  }
  if (kind == "placement")
  {
    return to_placement(from);
  }
  if (kind == "origin_claim")
  {
    return to_claim(from);
  }
  if (kind == "origin_return")
  {
    return to_return(from);
  }
  if (kind == "stop")
  {
    return stop_record{host_id{from.at("host").get<std::string>()},
                       from.at("cancelled").get<bool>()};
  }
  if (kind == "config")
  {
    return config_record{from.at("key").get<std::string>(), from.at("value").get<std::string>()};
  }
  if (kind == "checkpoint")
  {
    return to_checkpoint(from);
  }
  return fail(error_code::malformed, "log record: unknown kind");
}

} // namespace

result<log_record> parse_log_record(std::string_view json_text)
{
  try
  {
    const json document = json::parse(json_text, nullptr, false);
    if (!document.is_object())
    {
      return fail(error_code::malformed, "log record: not a JSON object");
    }
    auto body = to_body(document);
    if (!body)
    {
      return tl::unexpected(body.error());
    }
    return log_record{document.at("id").get<std::string>(), std::move(*body)};
  }
  catch (const json::exception& e)
  {
    return fail(error_code::malformed, std::string("log record: ") + e.what());
  }
}

std::string format_log_record(const log_record& record)
{
  json out = std::visit([](const auto& body) { return body_to_json(body); }, record.body);
  out["id"] = record.id;
  return out.dump();
}

} // namespace pollenyoke::protocol
