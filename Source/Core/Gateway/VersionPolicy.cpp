#include "Gateway/VersionPolicy.h"

#include <algorithm>

namespace pollenyoke::gateway
{

namespace
{

using std::chrono::milliseconds;

// Covers the delay until this process learns of a version that the store has accepted, and the time
// that a request waits in an engine's queue.
constexpr milliseconds propagation_margin{1300};
// Covers the delay until this process learns of a version, and the time that the end of a
// connection takes to reach the engine.
constexpr milliseconds withdrawal_margin{600};
// Versions older than this are not reported; the exact age no longer matters.
constexpr milliseconds max_reported_age{60000};

} // namespace

version_policy::version_policy(milliseconds limit) : m_limit(limit) {}

void version_policy::add_version(const protocol::named_version& version, bool observed,
                                 time_point now)
{
  const version_record fresh{observed ? now : now - max_reported_age, observed};
  m_versions[version.model].try_emplace(version.version, fresh);
}

void version_policy::merge_ages(const std::vector<peers::version_age>& ages, time_point now)
{
  for (const peers::version_age& age : ages)
  {
    const time_point published_at = now - milliseconds(age.age_ms);
    version_record& known = m_versions[age.model][age.version];
    // The process that learned of the version first is closest to the store's acknowledgement.
    if (!known.age_known || published_at < known.published_at)
    {
      known = {published_at, true};
    }
  }
}

std::vector<peers::version_age> version_policy::ages(time_point now) const
{
  std::vector<peers::version_age> out;
  for (const auto& [model, versions] : m_versions)
  {
    for (const auto& [version, record] : versions)
    {
      const auto age = std::chrono::duration_cast<milliseconds>(now - record.published_at);
      if (record.age_known && age < max_reported_age)
      {
        out.push_back({model, version, static_cast<std::uint64_t>(age.count())});
      }
    }
  }
  return out;
}

std::uint64_t version_policy::newest(const std::string& model) const
{
  const auto named = m_versions.find(model);
  return named == m_versions.end() || named->second.empty() ? 0 : named->second.rbegin()->first;
}

std::uint64_t version_policy::minimum(const std::string& model, time_point now) const
{
  const auto named = m_versions.find(model);
  if (named == m_versions.end() || m_limit.count() == 0)
  {
    return 0;
  }
  std::uint64_t oldest = 0;
  for (const auto& [version, record] : named->second)
  {
    if (now - record.published_at > m_limit - propagation_margin)
    {
      oldest = version;
    }
  }
  return oldest;
}

std::optional<version_policy::time_point>
version_policy::withdrawal_time(const std::string& model, std::uint64_t version) const
{
  const auto named = m_versions.find(model);
  if (named == m_versions.end() || m_limit.count() == 0)
  {
    return std::nullopt;
  }
  std::optional<time_point> earliest;
  for (auto newer = named->second.upper_bound(version); newer != named->second.end(); ++newer)
  {
    const time_point limit = newer->second.published_at + m_limit - withdrawal_margin;
    earliest = std::min(earliest.value_or(limit), limit);
  }
  return earliest;
}

} // namespace pollenyoke::gateway
