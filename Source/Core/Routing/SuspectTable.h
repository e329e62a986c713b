#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <set>
#include <unordered_map>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Protocol/Messages.h"

namespace pollenyoke::routing
{

enum class suspect_verdict
{
  /// May run concurrently with other requests.
  clear,
  /// Was running when a backend server crashed; must run with no other request beside it.
  run_alone,
  /// Was running in at least two crashes, in one of them alone; must be refused.
  refuse,
};

/// Requests that were running when backend servers crashed, keyed by the digest of their work.
/// Bounded in number and age. Not thread-safe.
class suspect_table
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Counts a crash; returns false if it has already been counted.
  bool add(const protocol::suspect_report& report, time_point now);
  suspect_verdict verdict(const digest& work, time_point now) const;
  /// Removes work that ran to completion without a crash.
  void clear(const digest& work);
  std::size_t size() const;

private:
  struct suspect
  {
    unsigned crashes = 0;
    bool crashed_alone = false;
    time_point last_crash{};
  };

  void purge_expired(time_point now);

  std::unordered_map<digest, suspect> m_suspects;
  std::set<request_id> m_counted_crashes;
  std::deque<request_id> m_crash_order;
};

constexpr std::chrono::minutes suspect_lifetime{60};
constexpr std::size_t max_suspects = 4096;
constexpr std::size_t max_remembered_crashes = 1024;

} // namespace pollenyoke::routing
