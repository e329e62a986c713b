#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Emulator/History.h"

namespace pollenyoke::emulator
{

/// Bounds of the platform's rules. Times in seconds.
struct rule_bounds
{
  double stability_window = 3;
  double config_apply = 2;
  double rollback_slack = 0.25;
  double drain_timeout = 2;
  double weight_version = 8;
  double recovery = 12;
  double stop_grace = 8;
  /// A request that was read may be left without an answer if its connection ends this soon.
  double loss_slack = 0.2;
  /// After the caller has closed, a request may still be on its way for this long.
  double cancel_slack = 0.5;
  double budget_window = 10;
  double retry_budget_ratio = 0.2;
  double retry_budget_extra = 20;
  /// A request may reach a server this long after it has asked for a pause.
  double pause_slack = 0.5;
  /// A server that names a limit gets, in any span of this length, this many times what the limit
  /// allows and a few requests more, from machines that have passed its limit on some time before.
  double limit_window = 4;
  double limit_overage = 1.5;
  double limit_extra = 5;
  double limit_told = 0.5;
};

/// A promise that was broken, with what was seen.
struct violation
{
  std::string rule;
  std::string detail;
  /// The promise has a time limit, so that a machine that cannot keep up may break it.
  bool timed = false;
};

/// A check of one promise over the history of a run.
struct rule_check
{
  std::string_view name;
  bool timed = false;
  std::vector<violation> (*find)(const history&, const rule_bounds&);
};

/// All checks, in the order in which they are reported.
std::span<const rule_check> all_checks();
std::vector<violation> find_violations(const history& seen, const rule_bounds& bounds);

/// Ids that the log lines of each machine name.
using logged_ids = std::map<std::string, std::set<std::string>>;
/// Requests that were cut, allowed or not, and that the log of their machine does not name.
std::vector<violation> find_unlogged_cuts(const history& seen, const rule_bounds& bounds,
                                          const logged_ids& logged);

/// How long servers got requests after they had said that they leave, in seconds, sorted.
struct leaving_times
{
  std::vector<moment> store_up;
  /// A fault of the store began or lasted meanwhile.
  std::vector<moment> store_disturbed;
};
leaving_times measure_leaving_times(const history& seen, const rule_bounds& bounds);

/// Requests that servers got while they named a limit above 0, and those that the limits allowed.
/// The first second of each limit, in which hosts hear of it, does not count, nor the time without
/// callers.
struct limit_use
{
  double arrived = 0;
  double allowed = 0;
};
limit_use measure_limit_use(const history& seen);

/// True if nothing disturbed the machine or the store in the window before `at`, and no stop of the
/// machine was asked for.
bool in_touch(const history& seen, const std::string& machine, moment at,
              const rule_bounds& bounds);

} // namespace pollenyoke::emulator
