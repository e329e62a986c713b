#pragma once

#include <memory>

#include "Common/Result.h"
#include "Process/RunningProcess.h"
#include "Protocol/Settings.h"

namespace pollenyoke::agent
{

/// Starts the agent of a backend server host, the one process of the system there. A planned stop
/// refuses new work, tells peers, waits for requests in progress and releases key slots.
result<std::unique_ptr<process::running_process>> start_agent(const protocol::settings& with);

} // namespace pollenyoke::agent
