#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"
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

  /// `witnessed`: this process saw the version being named. Otherwise it was named at some time
  /// before this process started, and counts as old until a peer tells its age.
  void name(const protocol::named_version& version, bool witnessed, time_point now);
  void take_ages(const std::vector<peers::version_age>& ages, time_point now);
  /// Ages that this process knows.
  std::vector<peers::version_age> ages(time_point now) const;
  /// The newest version of the model that was named; 0 if none was.
  std::uint64_t newest(const std::string& model) const;
  /// The oldest version of the model that may begin a request now; 0 for any.
  std::uint64_t minimum(const std::string& model, time_point now) const;

private:
  struct naming
  {
    time_point since{};
    bool age_known = false;
  };

  std::chrono::milliseconds m_limit;
  std::map<std::string, std::map<std::uint64_t, naming>> m_named;
};

} // namespace pollenyoke::gateway
