#include "Keys/KeyRecord.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "Common/Rendezvous.h"

namespace pollenyoke::keys
{

namespace
{

using nlohmann::json;

constexpr std::string_view minted_prefix = "pk1-";

// Accepts only unsigned integers in range: converting a floating-point or negative number to an
// unsigned type is undefined or wraps around.
result<std::uint64_t> number_member(const json& object, const char* name, std::uint64_t maximum)
{
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned() ||
      found->get<std::uint64_t>() > maximum)
  {
    return fail(error_code::malformed, std::string("key record: ") + name + " must be a number");
  }
  return found->get<std::uint64_t>();
}

result<log_offset> offset_member(const json& object, const char* name)
{
  return number_member(object, name, UINT64_MAX)
      .map([](std::uint64_t value) { return log_offset{value}; });
}

result<std::string> text_member(const json& object, const char* name)
{
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string())
  {
    return fail(error_code::malformed, std::string("key record: ") + name + " must be a string");
  }
  return found->get<std::string>();
}

result<digest> body_member(const json& object)
{
  return text_member(object, "body")
      .and_then([](const std::string& text) { return parse_digest(text); });
}

template <typename Element, typename Parse>
result<std::vector<Element>> list_member(const json& object, const char* name, Parse parse)
{
  const auto found = object.find(name);
  if (found == object.end() || !found->is_array())
  {
    return fail(error_code::malformed, std::string("key record: ") + name + " must be an array");
  }
  std::vector<Element> elements;
  for (const json& entry : *found)
  {
    result<Element> element = parse(entry);
    if (!element)
    {
      return tl::unexpected(element.error());
    }
    elements.push_back(std::move(*element));
  }
  return elements;
}

result<slot_epoch> parse_slot_epoch(const json& input)
{
  const auto slot = number_member(input, "slot", slot_count - 1);
  const auto epoch = offset_member(input, "epoch");
  if (!slot || !epoch)
  {
    return tl::unexpected(!slot ? slot.error() : epoch.error());
  }
  return slot_epoch{static_cast<std::uint32_t>(*slot), *epoch};
}

result<claimed_key> parse_claimed_key(const json& input)
{
  auto key = text_member(input, "key");
  const auto body = body_member(input);
  const auto epoch = offset_member(input, "epoch");
  if (!key || !body || !epoch)
  {
    return tl::unexpected(!key ? key.error() : !body ? body.error() : epoch.error());
  }
  return claimed_key{std::move(*key), *body, *epoch};
}

result<done_key> parse_done_key(const json& input)
{
  auto key = text_member(input, "key");
  const auto status = number_member(input, "status", UINT16_MAX);
  if (!key || !status)
  {
    return tl::unexpected(!key ? key.error() : status.error());
  }
  return done_key{std::move(*key), static_cast<std::uint16_t>(*status)};
}

result<withdrawn_key> parse_withdrawn_key(const json& input)
{
  auto key = text_member(input, "key");
  const auto claim = offset_member(input, "claim");
  if (!key || !claim)
  {
    return tl::unexpected(!key ? key.error() : claim.error());
  }
  return withdrawn_key{std::move(*key), *claim};
}

result<refused_key> parse_refused_key(const json& input)
{
  auto key = text_member(input, "key");
  const auto body = body_member(input);
  if (!key || !body)
  {
    return tl::unexpected(!key ? key.error() : body.error());
  }
  return refused_key{std::move(*key), *body};
}

template <typename Body, typename Element>
result<key_record_body> to_record_body(result<std::vector<Element>> list)
{
  if (!list)
  {
    return tl::unexpected(list.error());
  }
  return key_record_body(Body{std::move(*list)});
}

result<key_record_body> parse_claim_body(const json& input)
{
  const auto late = input.find("late");
  if (late == input.end() || !late->is_boolean())
  {
    return fail(error_code::malformed, "key record: late must be a boolean");
  }
  const bool is_late = late->get<bool>();
  return list_member<claimed_key>(input, "keys", parse_claimed_key)
      .map(
          [is_late](auto&& keys) {
            return key_record_body(claim_record{keys, is_late});
          });
}

result<key_record_body> parse_body(std::string_view kind, const json& input)
{
  if (kind == "take")
  {
    return to_record_body<acquire_record>(
        list_member<slot_epoch>(input, "slots", parse_slot_epoch));
  }
  if (kind == "claim")
  {
    return parse_claim_body(input);
  }
  if (kind == "done")
  {
    return to_record_body<done_record>(list_member<done_key>(input, "keys", parse_done_key));
  }
  if (kind == "release")
  {
    return to_record_body<release_record>(
        list_member<slot_epoch>(input, "slots", parse_slot_epoch));
  }
  if (kind == "mark")
  {
    return to_record_body<keepalive_record>(
        list_member<slot_epoch>(input, "slots", parse_slot_epoch));
  }
  if (kind == "withdraw")
  {
    return to_record_body<withdraw_record>(
        list_member<withdrawn_key>(input, "keys", parse_withdrawn_key));
  }
  if (kind == "refuse")
  {
    return to_record_body<refuse_record>(
        list_member<refused_key>(input, "keys", parse_refused_key));
  }
  return fail(error_code::malformed, "key record: unknown kind");
}

json slots_to_json(const char* kind, const std::vector<slot_epoch>& slots)
{
  json list = json::array();
  for (const slot_epoch& entry : slots)
  {
    list.push_back({{"slot", entry.slot}, {"epoch", entry.epoch.value}});
  }
  return {{"kind", kind}, {"slots", std::move(list)}};
}

json body_to_json(const acquire_record& body)
{
  return slots_to_json("take", body.expected);
}

json body_to_json(const release_record& body)
{
  return slots_to_json("release", body.slots);
}

json body_to_json(const keepalive_record& body)
{
  return slots_to_json("mark", body.slots);
}

json body_to_json(const claim_record& body)
{
  json list = json::array();
  for (const claimed_key& entry : body.keys)
  {
    list.push_back(
        {{"key", entry.key}, {"body", to_hex(entry.body)}, {"epoch", entry.epoch.value}});
  }
  return {{"kind", "claim"}, {"late", body.late}, {"keys", std::move(list)}};
}

json body_to_json(const done_record& body)
{
  json list = json::array();
  for (const done_key& entry : body.keys)
  {
    list.push_back({{"key", entry.key}, {"status", entry.status}});
  }
  return {{"kind", "done"}, {"keys", std::move(list)}};
}

json body_to_json(const withdraw_record& body)
{
  json list = json::array();
  for (const withdrawn_key& entry : body.keys)
  {
    list.push_back({{"key", entry.key}, {"claim", entry.claim.value}});
  }
  return {{"kind", "withdraw"}, {"keys", std::move(list)}};
}

json body_to_json(const refuse_record& body)
{
  json list = json::array();
  for (const refused_key& entry : body.keys)
  {
    list.push_back({{"key", entry.key}, {"body", to_hex(entry.body)}});
  }
  return {{"kind", "refuse"}, {"keys", std::move(list)}};
}

} // namespace

std::uint32_t slot_of(std::string_view key)
{
  return static_cast<std::uint32_t>(stable_hash(key) % slot_count);
}

std::string recorded_key(std::string_view key)
{
  const bool plain =
      key.size() <= max_key_length &&
      std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
  return plain ? std::string(key) : "sha256-" + to_hex(sha256(key));
}

std::string stream_name(std::string_view service)
{
  return "keys." + std::string(service);
}

std::string mint_key(std::uint32_t slot, log_offset epoch)
{
  const std::string start = std::string(minted_prefix) + std::to_string(slot) + "-" +
                            std::to_string(epoch.value) + "-" + make_record_id();
  // Increments a counter after the random part until the key hashes to the slot, which takes 64
  // attempts on average.
  for (std::uint64_t counter = 0;; ++counter)
  {
    std::string key = start + std::to_string(counter);
    if (slot_of(key) == slot)
    {
      return key;
    }
  }
}

result<minted_key> parse_minted_key(std::string_view key)
{
  const auto malformed = []
  {
    return fail(error_code::malformed, "not a key issued by an agent");
  };
  if (!key.starts_with(minted_prefix))
  {
    return malformed();
  }
  minted_key parsed;
  const char* end = key.data() + key.size();
  const auto slot = std::from_chars(key.data() + minted_prefix.size(), end, parsed.slot);
  if (slot.ec != std::errc() || slot.ptr == end || *slot.ptr != '-')
  {
    return malformed();
  }
  const auto epoch = std::from_chars(slot.ptr + 1, end, parsed.epoch.value);
  if (epoch.ec != std::errc() || epoch.ptr == end || *epoch.ptr != '-' ||
      parsed.slot != slot_of(key))
  {
    return malformed();
  }
  return parsed;
}

result<key_record> parse_key_record(std::string_view json_text)
{
  const json document = json::parse(json_text, nullptr, false);
  if (!document.is_object())
  {
    return fail(error_code::malformed, "key record: not a JSON object");
  }
  auto id = text_member(document, "id");
  auto agent = text_member(document, "agent");
  const auto kind = text_member(document, "kind");
  if (!id || !agent || !kind)
  {
    return fail(error_code::malformed, "key record: id, kind and agent are required");
  }
  const auto incarnation = number_member(document, "incarnation", UINT64_MAX);
  const auto seen = offset_member(document, "seen");
  auto body = parse_body(*kind, document);
  if (!incarnation || !seen || !body)
  {
    return tl::unexpected(!incarnation ? incarnation.error() : !seen ? seen.error() : body.error());
  }
  return key_record{std::move(*id),
                    {host_id{std::move(*agent)}, incarnation_id{*incarnation}},
                    *seen,
                    std::move(*body)};
}

std::string format_key_record(const key_record& record)
{
  json out = std::visit([](const auto& body) { return body_to_json(body); }, record.body);
  out["id"] = record.id;
  out["agent"] = record.author.host.value;
  out["incarnation"] = record.author.incarnation.value;
  out["seen"] = record.seen.value;
  return out.dump();
}

} // namespace pollenyoke::keys
