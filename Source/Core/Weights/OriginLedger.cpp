#include "Weights/OriginLedger.h"

namespace pollenyoke::weights
{

void origin_ledger::add_grant(const grant_id& id, std::uint64_t bytes)
{
  if (m_grants.emplace(id, grant{bytes}).second)
  {
    m_granted_bytes += bytes;
  }
}

bool origin_ledger::has_grant(const grant_id& id) const
{
  return m_grants.contains(id);
}

bool origin_ledger::is_open(const grant_id& id) const
{
  const auto found = m_grants.find(id);
  return found != m_grants.end() && found->second.open;
}

std::uint64_t origin_ledger::remaining(const grant_id& id) const
{
  const auto found = m_grants.find(id);
  return found == m_grants.end() || !found->second.open ? 0 : found->second.remaining;
}

std::vector<std::uint64_t> origin_ledger::remaining(const protocol::release_key& release,
                                                    std::uint32_t stripe) const
{
  std::vector<std::uint64_t> out;
  for (auto it = m_grants.lower_bound({release, stripe, {}});
       it != m_grants.end() && it->first.release == release && it->first.stripe == stripe; ++it)
  {
    if (it->second.open)
    {
      out.push_back(it->second.remaining);
    }
  }
  return out;
}

bool origin_ledger::reserve(grant& from, std::uint64_t bytes)
{
  if (!from.open || from.remaining < bytes)
  {
    return false;
  }
  from.remaining -= bytes;
  ++from.active_reads;
  m_reserved_bytes += bytes;
  return true;
}

bool origin_ledger::reserve(const grant_id& id, std::uint64_t bytes)
{
  const auto found = m_grants.find(id);
  return found != m_grants.end() && reserve(found->second, bytes);
}

std::optional<origin_ledger::grant_id> origin_ledger::reserve(const protocol::release_key& release,
                                                              std::uint32_t stripe,
                                                              std::uint64_t bytes)
{
  for (auto it = m_grants.lower_bound({release, stripe, {}});
       it != m_grants.end() && it->first.release == release && it->first.stripe == stripe; ++it)
  {
    if (reserve(it->second, bytes))
    {
      return it->first;
    }
  }
  return std::nullopt;
}

void origin_ledger::settle(const grant_id& id)
{
  if (const auto found = m_grants.find(id);
      found != m_grants.end() && found->second.active_reads > 0)
  {
    --found->second.active_reads;
  }
}

void origin_ledger::refund(const grant_id& id, std::uint64_t bytes)
{
  // Each reservation ends only once; otherwise the unread bytes of a closed grant could still
  // change after its last read.
  if (const auto found = m_grants.find(id);
      found != m_grants.end() && found->second.active_reads > 0)
  {
    --found->second.active_reads;
    found->second.remaining += bytes;
    m_reserved_bytes -= bytes;
  }
}

void origin_ledger::close(const grant_id& id)
{
  if (const auto found = m_grants.find(id); found != m_grants.end())
  {
    found->second.open = false;
  }
}

std::optional<std::uint64_t> origin_ledger::unread(const grant_id& id) const
{
  const auto found = m_grants.find(id);
  if (found == m_grants.end() || found->second.open || found->second.active_reads != 0)
  {
    return std::nullopt;
  }
  return found->second.remaining;
}

} // namespace pollenyoke::weights
