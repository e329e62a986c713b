#pragma once

#include "Common/Result.h"
#include "Fleet/FleetState.h"
#include "LogFollower/LogClient.h"

namespace pollenyoke::ctl
{

/// Folds all records of stream `fleet` after `state`. When records were expired, starts from the
/// newest checkpoint. Errors: those of log_client::read; `expired` when no checkpoint is left.
result<fleet::fleet_state> read_fleet(log_follower::log_client& log, fleet::fleet_state state);

} // namespace pollenyoke::ctl
