#include "Entry/SuspectExchange.h"

#include <utility>

#include "Protocol/Codec.h"

namespace pollenyoke::entry
{

suspect_exchange::suspect_exchange(broadcast to_entries) : m_to_entries(std::move(to_entries)) {}

void suspect_exchange::handle_report(const protocol::suspect_report& report, bool from_entry)
{
  bool added = false;
  {
    const std::lock_guard lock(m_mutex);
    added = m_table.add(report, std::chrono::steady_clock::now());
  }
  if (added && !from_entry)
  {
    m_to_entries(protocol::encode(report));
  }
}

routing::suspect_verdict suspect_exchange::verdict(const digest& work) const
{
  const std::lock_guard lock(m_mutex);
  return m_table.verdict(work, std::chrono::steady_clock::now());
}

void suspect_exchange::clear(const digest& work)
{
  const std::lock_guard lock(m_mutex);
  m_table.clear(work);
}

std::size_t suspect_exchange::size() const
{
  const std::lock_guard lock(m_mutex);
  return m_table.size();
}

} // namespace pollenyoke::entry
