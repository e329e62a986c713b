#include "Rollout/PieceSet.h"

namespace pollenyoke::rollout
{

result<piece_set> piece_set::make(const protocol::piece_manifest& manifest)
{
  piece_set out;
  out.m_model = manifest.model;
  out.m_version = manifest.version;
  for (const std::string& hex : manifest.digests)
  {
    auto parsed = parse_digest(hex);
    if (!parsed)
    {
      return tl::unexpected(parsed.error());
    }
    out.m_digests.push_back(*parsed);
  }
  out.m_pieces.resize(out.m_digests.size());
  return out;
}

const std::string& piece_set::model() const
{
  return m_model;
}

std::uint64_t piece_set::version() const
{
  return m_version;
}

std::uint32_t piece_set::size() const
{
  return static_cast<std::uint32_t>(m_digests.size());
}

std::uint32_t piece_set::held() const
{
  return m_held;
}

bool piece_set::is_complete() const
{
  return m_held == size() && m_held > 0;
}

bool piece_set::holds(const piece_range& range) const
{
  for (std::uint32_t piece = range.first; piece < range.end; ++piece)
  {
    if (get(piece) == nullptr)
    {
      return false;
    }
  }
  return true;
}

bool piece_set::matches(std::uint32_t piece, std::string_view bytes) const
{
  return piece < m_digests.size() && sha256(bytes) == m_digests[piece];
}

bool piece_set::put(std::uint32_t piece, std::string bytes)
{
  if (!matches(piece, bytes))
  {
    return false;
  }
  m_held += m_pieces[piece] ? 0U : 1U;
  m_pieces[piece] = std::move(bytes);
  return true;
}

const std::string* piece_set::get(std::uint32_t piece) const
{
  return piece < m_pieces.size() && m_pieces[piece] ? &*m_pieces[piece] : nullptr;
}

void piece_set::replace_digests(const piece_set& other)
{
  if (other.m_version != m_version || other.size() != size())
  {
    return;
  }
  m_digests = other.m_digests;
  for (std::uint32_t i = 0; i < size(); ++i)
  {
    if (m_pieces[i] && !matches(i, *m_pieces[i]))
    {
      m_pieces[i].reset();
      --m_held;
    }
  }
}

} // namespace pollenyoke::rollout
