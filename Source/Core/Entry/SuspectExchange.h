#pragma once

#include <functional>
#include <mutex>
#include <vector>

#include "Protocol/Messages.h"
#include "Routing/SuspectTable.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::entry
{

/// Shares reports of requests that were running when a backend server crashed with the other
/// entries. Thread-safe.
class suspect_exchange
{
public:
  /// Sends a frame to the other entries.
  using broadcast = std::function<void(const transport::frame&)>;

  explicit suspect_exchange(broadcast to_entries);

  /// Records a report. A new report from an agent is broadcast to the other entries; a report from
  /// an entry is not, so that each report is sent at most once per pair of entries.
  void handle_report(const protocol::suspect_report& report, bool from_entry);
  routing::suspect_verdict verdict(const digest& work) const;
  void clear(const digest& work);
  std::size_t size() const;

private:
  const broadcast m_to_entries;
  mutable std::mutex m_mutex;
  routing::suspect_table m_table;
};

} // namespace pollenyoke::entry
