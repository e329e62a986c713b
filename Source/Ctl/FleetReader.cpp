#include "Ctl/FleetReader.h"

#include <charconv>
#include <optional>

#include "LogFollower/StateReplica.h"

namespace pollenyoke::ctl
{

namespace
{

constexpr std::size_t page_records = 500;

std::optional<fleet::fleet_state> newest_checkpoint(const log_follower::log_page& page)
{
  for (auto record = page.records.rbegin(); record != page.records.rend(); ++record)
  {
    if (auto state = log_follower::checkpoint_state(*record))
    {
      return state;
    }
  }
  return std::nullopt;
}

/// The newest checkpoint among the records that the log still holds.
result<fleet::fleet_state> read_checkpoint(log_follower::log_client& log, log_offset first)
{
  std::optional<fleet::fleet_state> newest;
  log_offset from = first;
  while (true)
  {
    const auto page = log.read(protocol::fleet_stream, from, page_records, {});
    if (!page)
    {
      return tl::unexpected(page.error());
    }
    if (auto found = newest_checkpoint(*page))
    {
      newest = std::move(found);
    }
    if (page->records.empty())
    {
      break;
    }
    from = page->next;
  }
  if (!newest)
  {
    return fail(error_code::expired, "the log has dropped old records and holds no checkpoint");
  }
  return *newest;
}

log_offset oldest_offset(const error& expired)
{
  log_offset first{1};
  const std::string& text = expired.message;
  const auto digits = text.find_first_of("0123456789");
  if (digits != std::string::npos)
  {
    std::from_chars(text.data() + digits, text.data() + text.size(), first.value);
  }
  return first;
}

} // namespace

result<fleet::fleet_state> read_fleet(log_follower::log_client& log, fleet::fleet_state state)
{
  while (true)
  {
    const log_offset from{state.offset.value + 1};
    const auto page = log.read(protocol::fleet_stream, from, page_records, {});
    if (!page && page.error().code == error_code::expired)
    {
      auto restored = read_checkpoint(log, oldest_offset(page.error()));
      if (!restored)
      {
        return restored;
      }
      state = std::move(*restored);
      continue;
    }
    if (!page)
    {
      return tl::unexpected(page.error());
    }
    if (page->records.empty())
    {
      return state;
    }
    for (const protocol::stream_record& record : page->records)
    {
      fleet::apply(state, record);
    }
  }
}

} // namespace pollenyoke::ctl
