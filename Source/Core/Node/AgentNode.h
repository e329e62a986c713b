#pragma once

#include "Common/Result.h"
#include "Protocol/NodeSettings.h"

namespace pollenyoke::node
{

/// Runs the agent of an engine until it has been stopped.
result<void> run_agent(const protocol::node_settings& settings);

} // namespace pollenyoke::node
