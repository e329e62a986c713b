#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::gateway
{

/// Determines which versions of the weights may still start requests. The caller passes the current
/// time. Not thread-safe.
class version_policy
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `limit`: time within which every engine has to serve a new version; 0 for no limit.
  explicit version_policy(std::chrono::milliseconds limit);

  /// `observed`: this process saw the version being published. Otherwise the version was published
  /// at an unknown time before this process started, and counts as old until a peer reports its
  /// age.
  void add_version(const protocol::named_version& version, bool observed, time_point now);
  void merge_ages(const std::vector<peers::version_age>& ages, time_point now);
  /// Version ages known to this process.
  std::vector<peers::version_age> ages(time_point now) const;
  /// The newest published version of the model; 0 if there is none.
  std::uint64_t newest(const std::string& model) const;
  /// The oldest version of the model that may start a request now; 0 for any.
  std::uint64_t minimum(const std::string& model, time_point now) const;
  /// Time at which a request that an engine with this version has not begun is taken back from it;
  /// empty while no newer version is named.
  std::optional<time_point> withdrawal_time(const std::string& model, std::uint64_t version) const;

private:
  struct version_record
  {
    time_point published_at{};
    bool age_known = false;
  };

  std::chrono::milliseconds m_limit;
  std::map<std::string, std::map<std::uint64_t, version_record>> m_versions;
};

} // namespace pollenyoke::gateway
