#include "Agent/OriginGrants.h"

#include <utility>

#include "Distribution/Placement.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;

constexpr auto return_retry = 2000ms;

origin_grants::grant_id id_of(const fleet::active_release& release,
                              const fleet::origin_grant& given)
{
  return {release.key, given.stripe, given.since};
}

} // namespace

origin_grants::origin_grants(protocol::stripe_holder self) : m_self(std::move(self)) {}

// From the state and not from the answers to appends, which may be lost.
void origin_grants::set_state(const fleet::active_release& release)
{
  for (const fleet::origin_grant& given : release.origin.grants)
  {
    const grant_id grant = id_of(release, given);
    if (given.holder != m_self || m_ledger.has_grant(grant))
    {
      continue;
    }
    if (given.bytes)
    {
      m_ledger.add_grant(grant, *given.bytes);
    }
    else
    {
      m_unsized.insert(grant);
    }
  }
  close_lost(release);
}

void origin_grants::set_manifest(const fleet::active_release& release,
                                 const protocol::manifest& manifest)
{
  const std::size_t stripes = release.origin.holders.size();
  for (std::uint32_t s = 0; s < stripes; ++s)
  {
    const auto first = m_unsized.lower_bound({release.key, s, {}});
    if (first != m_unsized.end() && first->release == release.key && first->stripe == s)
    {
      m_ledger.add_grant(*first, distribution::stripe_bytes(manifest, s, stripes));
      m_unsized.erase(first);
    }
  }
  close_lost(release);
}

// The state may show that the stripe was lost and regained at once; then the earlier grants stay
// open and are used up first.
void origin_grants::close_lost(const fleet::active_release& release)
{
  for (const fleet::origin_grant& given : release.origin.grants)
  {
    if (given.holder == m_self && release.origin.holders[given.stripe] != m_self)
    {
      m_ledger.close(id_of(release, given));
    }
  }
}

// A holder that has its whole stripe, part of it from peers, leaves the rest to other stripes.
void origin_grants::close_finished(const fleet::active_release& release,
                                   const weights::chunk_bitmap& have)
{
  const auto stripes = static_cast<std::uint32_t>(release.origin.holders.size());
  for (const fleet::origin_grant& given : release.origin.grants)
  {
    const grant_id grant = id_of(release, given);
    if (given.holder != m_self || !m_ledger.is_open(grant))
    {
      continue;
    }
    bool whole = true;
    for (std::uint32_t i = given.stripe; whole && i < have.size(); i += stripes)
    {
      whole = have.test(i);
    }
    if (whole)
    {
      m_ledger.close(grant);
    }
  }
}

std::vector<protocol::origin_return_record>
origin_grants::due_returns(const fleet::active_release& release, time_point now)
{
  std::vector<protocol::origin_return_record> out;
  for (const fleet::origin_grant& given : release.origin.grants)
  {
    const grant_id grant = id_of(release, given);
    const auto unread = given.holder == m_self ? m_ledger.unread(grant) : std::nullopt;
    if (unread.value_or(0) == 0)
    {
      continue;
    }
    time_point& next = m_next_return.try_emplace(grant, now).first->second;
    if (now >= next)
    {
      next = time_point::max();
      out.push_back({release.key, given.stripe, given.since, given.holder, *unread});
    }
  }
  return out;
}

void origin_grants::note_answer(const grant_id& grant, time_point now)
{
  if (const auto found = m_next_return.find(grant); found != m_next_return.end())
  {
    found->second = now + return_retry;
  }
}

void origin_grants::forget(const protocol::release_key& release)
{
  std::erase_if(m_unsized, [&](const grant_id& grant) { return grant.release == release; });
  std::erase_if(m_next_return, [&](const auto& entry) { return entry.first.release == release; });
}

} // namespace pollenyoke::agent
