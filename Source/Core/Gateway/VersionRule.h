#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// Which weights may still begin requests. Time is passed in. Not thread-safe.
class version_rule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `limit`: time that a new version has to serve everywhere; 0 for no limit.
  explicit version_rule(std::chrono::milliseconds limit);

  void name(const protocol::named_version& version, time_point now);
  /// The oldest version of the model that may begin a request now; 0 for any.
  std::uint64_t minimum(const std::string& model, time_point now) const;

private:
  std::chrono::milliseconds m_limit;
  /// When each version of each model became known.
  std::map<std::string, std::map<std::uint64_t, time_point>> m_named;
};

} // namespace pollenyoke::gateway
