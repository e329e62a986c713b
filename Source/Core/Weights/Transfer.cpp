#include "Weights/Transfer.h"

#include <algorithm>

namespace pollenyoke::weights
{

transfer::transfer(const digest& manifest, time_point now)
    : started(now), last_progress(now), m_id(manifest)
{
}

void transfer::set_manifest(protocol::manifest parsed, std::string text, const chunk_store& store,
                            time_point now)
{
  m_manifest = std::move(parsed);
  m_manifest_text = std::move(text);
  m_have = chunk_bitmap(m_manifest->chunks.size());
  first_announced.assign(m_have.size(), time_point{});
  for (std::uint32_t i = 0; i < m_manifest->chunks.size(); ++i)
  {
    m_indices_by_digest[m_manifest->chunks[i].id].push_back(i);
    if (store.holds(m_manifest->chunks[i].id))
    {
      m_have.set(i);
    }
  }
  for (auto& [host, source] : sources)
  {
    source.have = chunk_bitmap(m_have.size(), source.announced);
    record_announced(source, now);
  }
}

void transfer::record_announced(const transfer_source& source, time_point now)
{
  for (std::size_t i = 0; i < m_have.size(); ++i)
  {
    if (source.have.test(i) && first_announced[i] == time_point{})
    {
      first_announced[i] = now;
    }
  }
}

bool transfer::check_content(const chunk_store& store, std::size_t max_chunks)
{
  if (!m_manifest || m_content_matches || m_content_mismatch)
  {
    return m_content_matches || m_content_mismatch;
  }
  for (std::size_t n = 0;
       n < max_chunks && m_hashed_chunks < m_have.size() && m_have.test(m_hashed_chunks); ++n)
  {
    const chunk_data data = store.get(m_manifest->chunks[m_hashed_chunks].id);
    if (!data)
    {
      return false;
    }
    m_hasher.update(std::as_bytes(std::span(*data)));
    ++m_hashed_chunks;
  }
  if (m_hashed_chunks < m_have.size())
  {
    return false;
  }
  m_content_matches = m_hasher.finish() == m_manifest->content;
  m_content_mismatch = !m_content_matches;
  return true;
}

arrival transfer::take_chunk(std::uint32_t index, const digest& computed,
                             std::vector<std::uint8_t> data, chunk_store& store, time_point now)
{
  if (!m_manifest || index >= m_manifest->chunks.size())
  {
    return arrival::unknown;
  }
  const protocol::manifest_chunk& expected = m_manifest->chunks[index];
  if (computed != expected.id || data.size() != expected.bytes)
  {
    return arrival::corrupt;
  }
  if (m_have.test(index))
  {
    return arrival::duplicate;
  }
  if (!store.put(expected.id, std::move(data)))
  {
    return arrival::unknown;
  }
  for (const std::uint32_t same : m_indices_by_digest[expected.id])
  {
    m_have.set(same);
  }
  last_progress = now;
  return arrival::stored;
}

void transfer::update_source(const host_id& host, std::vector<std::uint8_t> bitmap, time_point now)
{
  transfer_source& source = sources[host];
  source.last_update = now;
  source.announced = std::move(bitmap);
  if (m_manifest)
  {
    const std::size_t before = source.have.count();
    source.have = chunk_bitmap(m_have.size(), source.announced);
    if (source.have.count() > before)
    {
      source.last_growth = now;
      record_announced(source, now);
    }
  }
}

std::optional<time_point> transfer::end_request(const host_id& host, std::uint32_t index)
{
  const auto source = sources.find(host);
  if (source == sources.end())
  {
    return std::nullopt;
  }
  const auto request = source->second.requests.find(index);
  if (request == source->second.requests.end())
  {
    return std::nullopt;
  }
  const time_point sent = request->second;
  source->second.requests.erase(request);
  return sent;
}

bool transfer::note_corrupt(const host_id& host)
{
  transfer_source& source = sources[host];
  ++source.consecutive_corrupt;
  if (source.banned || source.consecutive_corrupt < max_consecutive_corrupt)
  {
    return false;
  }
  source.banned = true;
  source.requests.clear();
  return true;
}

void transfer::note_reply(const host_id& host, std::chrono::duration<double> latency)
{
  transfer_source& source = sources[host];
  source.consecutive_corrupt = 0;
  source.timeouts_in_row = 0;
  source.latency_s =
      source.latency_s == 0 ? latency.count() : 0.75 * source.latency_s + 0.25 * latency.count();
}

std::uint32_t transfer::first_index(std::uint32_t index) const
{
  return m_indices_by_digest.at(m_manifest->chunks[index].id).front();
}

bool transfer::is_requested(std::uint32_t index) const
{
  return reading.contains(index) ||
         std::any_of(sources.begin(), sources.end(),
                     [index](const auto& entry) { return entry.second.requests.contains(index); });
}

bool transfer::is_announced(std::uint32_t index) const
{
  return std::any_of(sources.begin(), sources.end(),
                     [index](const auto& entry)
                     { return entry.second.is_reliable() && entry.second.have.test(index); });
}

} // namespace pollenyoke::weights
