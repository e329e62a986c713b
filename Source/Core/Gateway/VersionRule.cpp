#include "Gateway/VersionRule.h"

namespace pollenyoke::gateway
{

namespace
{

// A version may be known here up to a second after the store took it, and a request may wait in an
// engine's queue before it begins.
constexpr std::chrono::milliseconds margin{1800};

} // namespace

version_rule::version_rule(std::chrono::milliseconds limit) : m_limit(limit) {}

void version_rule::name(const protocol::named_version& version, time_point now)
{
  m_named[version.model].try_emplace(version.version, now);
}

std::uint64_t version_rule::minimum(const std::string& model, time_point now) const
{
  const auto named = m_named.find(model);
  if (named == m_named.end() || m_limit.count() == 0)
  {
    return 0;
  }
  std::uint64_t oldest = 0;
  for (const auto& [version, since] : named->second)
  {
    if (now - since > m_limit - margin)
    {
      oldest = version;
    }
  }
  return oldest;
}

} // namespace pollenyoke::gateway
