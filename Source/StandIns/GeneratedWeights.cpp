#include "StandIns/GeneratedWeights.h"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace pollenyoke::stand_ins
{

namespace
{

/// Bytes of one chunk, from a 64-bit linear congruential generator with output mixing.
std::string generate(std::uint64_t seed, std::uint64_t index, std::uint32_t bytes)
{
  std::string out(bytes, '\0');
  std::uint64_t state = (seed + 1) * 0x9E3779B97F4A7C15ULL ^ (index + 1) * 0xD1B54A32D192ED03ULL;
  for (std::size_t at = 0; at < out.size(); at += sizeof(state))
  {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::uint64_t mixed = state ^ (state >> 29U);
    std::memcpy(out.data() + at, &mixed, std::min(sizeof(mixed), out.size() - at));
  }
  return out;
}

} // namespace

protocol::manifest generated_weights::add(const weights_recipe& recipe)
{
  protocol::manifest made;
  sha256_hasher content;
  std::unordered_map<digest, chunk_source> chunks;
  for (std::uint64_t index = 0; made.total_bytes < recipe.bytes; ++index)
  {
    const auto size = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(recipe.chunk_bytes, recipe.bytes - made.total_bytes));
    const auto position = static_cast<double>(index);
    const bool shared = std::floor((position + 1) * recipe.share_fraction) >
                        std::floor(position * recipe.share_fraction);
    const chunk_source source{shared ? recipe.share_with : recipe.seed, index, size};
    const std::string data = generate(source.seed, source.index, source.bytes);
    content.update(data);
    const digest id = sha256(data);
    made.chunks.push_back({id, size});
    chunks.emplace(id, source);
    made.total_bytes += size;
  }
  made.content = content.finish();
  std::string text = protocol::format_manifest(made);
  made.id = sha256(text);
  const std::lock_guard lock(m_mutex);
  m_manifests.emplace(made.id, std::move(text));
  m_chunks.merge(chunks);
  return made;
}

std::optional<std::string> generated_weights::manifest_text(const digest& id) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_manifests.find(id);
  return found == m_manifests.end() ? std::nullopt : std::optional(found->second);
}

std::optional<std::string> generated_weights::chunk(const digest& id) const
{
  std::unique_lock lock(m_mutex);
  const auto found = m_chunks.find(id);
  if (found == m_chunks.end())
  {
    return std::nullopt;
  }
  const chunk_source source = found->second;
  lock.unlock();
  return generate(source.seed, source.index, source.bytes);
}

} // namespace pollenyoke::stand_ins
