#include "Weights/ChunkStore.h"

#include <set>

namespace pollenyoke::weights
{

chunk_store::chunk_store(std::uint64_t limit_bytes) : m_limit_bytes(limit_bytes) {}

result<void> chunk_store::pin(const protocol::manifest& new_manifest)
{
  const std::lock_guard lock(m_mutex);
  if (m_manifests.contains(new_manifest.id))
  {
    return {};
  }
  std::map<digest, std::uint32_t> distinct;
  std::uint64_t added_bytes = 0;
  for (const protocol::manifest_chunk& chunk : new_manifest.chunks)
  {
    if (!distinct.emplace(chunk.id, chunk.bytes).second)
    {
      continue;
    }
    const auto found = m_chunks.find(chunk.id);
    added_bytes += found == m_chunks.end() || found->second.pin_count == 0 ? chunk.bytes : 0;
  }
  if (m_pinned_bytes + added_bytes > m_limit_bytes)
  {
    return fail(error_code::limit_exceeded,
                "weights need " + std::to_string(m_pinned_bytes + added_bytes) +
                    " bytes of memory, limit is " + std::to_string(m_limit_bytes));
  }
  std::vector<digest>& ids = m_manifests[new_manifest.id];
  for (const auto& [id, bytes] : distinct)
  {
    entry& chunk = m_chunks[id];
    chunk.bytes = bytes;
    if (chunk.pin_count++ == 0)
    {
      m_unpinned.erase(chunk.unpin_sequence);
    }
    ids.push_back(id);
  }
  m_pinned_bytes += added_bytes;
  return {};
}

void chunk_store::unpin(const digest& manifest_id)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_manifests.find(manifest_id);
  if (found == m_manifests.end())
  {
    return;
  }
  for (const digest& id : found->second)
  {
    const auto chunk = m_chunks.find(id);
    if (--chunk->second.pin_count != 0)
    {
      continue;
    }
    m_pinned_bytes -= chunk->second.bytes;
    if (!chunk->second.data)
    {
      m_chunks.erase(chunk);
      continue;
    }
    chunk->second.unpin_sequence = m_next_unpin_sequence++;
    m_unpinned.emplace(chunk->second.unpin_sequence, id);
  }
  m_manifests.erase(found);
}

bool chunk_store::put(const digest& id, std::vector<std::uint8_t> data)
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_chunks.find(id);
  if (found == m_chunks.end() || found->second.pin_count == 0)
  {
    return false;
  }
  if (!found->second.data)
  {
    evict_unpinned(data.size());
    m_held_bytes += data.size();
    found->second.data = std::make_shared<const std::vector<std::uint8_t>>(std::move(data));
  }
  return true;
}

chunk_data chunk_store::get(const digest& id) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_chunks.find(id);
  return found == m_chunks.end() ? nullptr : found->second.data;
}

bool chunk_store::holds(const digest& id) const
{
  return get(id) != nullptr;
}

std::uint64_t chunk_store::held_bytes() const
{
  const std::lock_guard lock(m_mutex);
  return m_held_bytes;
}

std::uint64_t chunk_store::pinned_bytes() const
{
  const std::lock_guard lock(m_mutex);
  return m_pinned_bytes;
}

void chunk_store::evict_unpinned(std::uint64_t needed_bytes)
{
  while (!m_unpinned.empty() && m_held_bytes + needed_bytes > m_limit_bytes)
  {
    const auto oldest = m_chunks.find(m_unpinned.begin()->second);
    m_held_bytes -= oldest->second.data->size();
    m_chunks.erase(oldest);
    m_unpinned.erase(m_unpinned.begin());
  }
}

} // namespace pollenyoke::weights
