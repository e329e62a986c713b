#include "Gateway/VersionRule.h"

namespace pollenyoke::gateway
{

namespace
{

using std::chrono::milliseconds;

// A version may be known here some time after the store took it, and a request may wait in an
// engine's queue before it begins.
constexpr milliseconds margin{1300};
// Older ages say nothing more.
constexpr milliseconds longest_age{60000};

} // namespace

version_rule::version_rule(milliseconds limit) : m_limit(limit) {}

void version_rule::name(const protocol::named_version& version, bool witnessed, time_point now)
{
  const naming fresh{witnessed ? now : now - longest_age, witnessed};
  m_named[version.model].try_emplace(version.version, fresh);
}

void version_rule::take_ages(const std::vector<peers::version_age>& ages, time_point now)
{
  for (const peers::version_age& age : ages)
  {
    const time_point since = now - milliseconds(age.age_ms);
    naming& known = m_named[age.model][age.version];
    // Of two witnesses the one that heard first is nearer to the store's acknowledgement.
    if (!known.age_known || since < known.since)
    {
      known = {since, true};
    }
  }
}

std::vector<peers::version_age> version_rule::ages(time_point now) const
{
  std::vector<peers::version_age> out;
  for (const auto& [model, versions] : m_named)
  {
    for (const auto& [version, named_at] : versions)
    {
      const auto age = std::chrono::duration_cast<milliseconds>(now - named_at.since);
      if (named_at.age_known && age < longest_age)
      {
        out.push_back({model, version, static_cast<std::uint64_t>(age.count())});
      }
    }
  }
  return out;
}

std::uint64_t version_rule::newest(const std::string& model) const
{
  const auto named = m_named.find(model);
  return named == m_named.end() || named->second.empty() ? 0 : named->second.rbegin()->first;
}

std::uint64_t version_rule::minimum(const std::string& model, time_point now) const
{
  const auto named = m_named.find(model);
  if (named == m_named.end() || m_limit.count() == 0)
  {
    return 0;
  }
  std::uint64_t oldest = 0;
  for (const auto& [version, named_at] : named->second)
  {
    if (now - named_at.since > m_limit - margin)
    {
      oldest = version;
    }
  }
  return oldest;
}

} // namespace pollenyoke::gateway
