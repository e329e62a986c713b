#pragma once

#include <memory>

#include "Common/Result.h"
#include "Process/RunningProcess.h"
#include "Protocol/Settings.h"

namespace pollenyoke::entry
{

/// Starts an entry, which accepts requests of callers over HTTP and forwards them to agents. A
/// planned stop removes the entry from discovery responses at once. The entry keeps serving until
/// earlier discovery responses have expired and no request is in flight, or until drain_timeout.
result<std::unique_ptr<process::running_process>> start_entry(const protocol::settings& config);

} // namespace pollenyoke::entry
