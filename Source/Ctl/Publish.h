#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Ctl/ExitStatus.h"
#include "Protocol/LogRecord.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::ctl
{

enum class publish_outcome
{
  accepted,
  rejected,
  /// The append's answer was lost and the log did not tell in time.
  unknown,
  /// Certainly not appended.
  not_published,
};

struct publish_report
{
  publish_outcome outcome = publish_outcome::unknown;
  /// Offset of the appended record; 0 if unknown.
  log_offset offset;
  /// Rejected: the accepted note that came first.
  log_offset winner;
  std::string winner_name;
  std::string reason;
};

/// Publishes a release note. A note with head 0 is written against the current head.
publish_report publish_note(const transport::endpoint& log, protocol::release_note note,
                            std::chrono::milliseconds patience);

/// Records a planned stop of a host, or its cancellation.
publish_report publish_stop(const transport::endpoint& log, const host_id& host, bool cancelled,
                            std::chrono::milliseconds patience);

exit_status to_exit_status(publish_outcome outcome);
std::string format_report(const publish_report& report);
std::string format_report_json(const publish_report& report);

} // namespace pollenyoke::ctl
