#include "Peers/ReaderOrder.h"

#include <algorithm>

namespace pollenyoke::peers
{

namespace
{

// Each reader that is down costs a time-out before a change is known, and a change has to be in
// force within two seconds.
constexpr std::size_t max_readers = 4;

} // namespace

std::vector<std::string> reader_order(std::span<const peer_record> entries, const peer_record& self)
{
  const auto in_domain = [&self](const peer_record& entry)
  {
    return entry.domain == self.domain && entry.ip != self.ip;
  };
  const bool some_have_state = std::any_of(entries.begin(), entries.end(),
                                           [&in_domain](const peer_record& entry)
                                           { return in_domain(entry) && entry.has_state; });
  // An entry that has just started has no state to serve, whatever its address.
  const bool may_read_first = self.role == peer_role::entry && (self.has_state || !some_have_state);
  std::vector<std::string> order;
  for (const peer_record& entry : entries)
  {
    if (may_read_first && entry.ip >= self.ip)
    {
      break;
    }
    if (in_domain(entry) && (entry.has_state || !some_have_state) && order.size() < max_readers)
    {
      order.push_back(entry.ip);
    }
  }
  return order;
}

} // namespace pollenyoke::peers
