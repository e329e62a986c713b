#include "Protocol/Manifest.h"

#include <nlohmann/json.hpp>

namespace pollenyoke::protocol
{

namespace
{

using nlohmann::json;

result<digest> digest_member(const json& object, const char* key)
{
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string())
  {
    return fail(error_code::malformed, std::string("manifest: ") + key + " must be a digest");
  }
  return parse_digest(found->get_ref<const std::string&>());
}

result<std::uint64_t> size_member(const json& object, const char* key)
{
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_unsigned())
  {
    return fail(error_code::malformed, std::string("manifest: ") + key + " must be a size");
  }
  return found->get<std::uint64_t>();
}

result<manifest_chunk> parse_chunk(const json& from)
{
  if (!from.is_object())
  {
    return fail(error_code::malformed, "manifest: a chunk must be an object");
  }
  const auto id = digest_member(from, "id");
  const auto bytes = size_member(from, "bytes");
  if (!id || !bytes)
  {
    return fail(error_code::malformed, "manifest: a chunk needs id and bytes");
  }
  if (*bytes == 0 || *bytes > max_chunk_bytes)
  {
    return fail(error_code::limit_exceeded, "manifest: chunk size out of range");
  }
  return manifest_chunk{*id, static_cast<std::uint32_t>(*bytes)};
}

} // namespace

result<manifest> parse_manifest(std::string_view text, const digest& expected)
{
  if (text.size() > max_manifest_bytes)
  {
    return fail(error_code::limit_exceeded, "manifest larger than the limit");
  }
  if (sha256(text) != expected)
  {
    return fail(error_code::corrupt, "manifest does not match its digest");
  }
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("chunks") || !document["chunks"].is_array())
  {
    return fail(error_code::malformed, "manifest: not an object with chunks");
  }
  const auto content = digest_member(document, "content");
  const auto total = size_member(document, "total_bytes");
  if (!content || !total)
  {
    return fail(error_code::malformed, "manifest: content and total_bytes are required");
  }
  manifest parsed{expected, *content, *total, {}};
  std::uint64_t sum = 0;
  for (const json& entry : document["chunks"])
  {
    const auto chunk = parse_chunk(entry);
    if (!chunk)
    {
      return tl::unexpected(chunk.error());
    }
    sum += chunk->bytes;
    parsed.chunks.push_back(*chunk);
  }
  if (parsed.chunks.empty() || sum != parsed.total_bytes)
  {
    return fail(error_code::malformed, "manifest: chunk sizes do not add up to total_bytes");
  }
  return parsed;
}

std::string format_manifest(const manifest& from)
{
  json document;
  document["content"] = to_hex(from.content);
  document["total_bytes"] = from.total_bytes;
  document["chunks"] = json::array();
  for (const manifest_chunk& chunk : from.chunks)
  {
    document["chunks"].push_back({{"id", to_hex(chunk.id)}, {"bytes", chunk.bytes}});
  }
  return document.dump();
}

} // namespace pollenyoke::protocol
