#pragma once

#include "AsyncIo/EventLoop.h"
#include "Common/Result.h"
#include "Protocol/NodeSettings.h"

namespace pollenyoke::node
{

/// Runs an entry until it has been stopped.
result<void> run_entry(const protocol::node_settings& settings);

} // namespace pollenyoke::node
