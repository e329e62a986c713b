#include "LogFollower/StateReplica.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "Protocol/LogRecord.h"

namespace pollenyoke::log_follower
{

namespace
{

// Enough for a peer that missed pushes for a few hours on an ordinary day (10,000 records a day of
// 300 bytes); a peer that missed more gets the whole state.
constexpr std::size_t max_recent_records = 4096;
constexpr std::size_t max_recent_bytes = std::size_t{2} * 1024 * 1024;
// Records that are far ahead of the state are better fetched.
constexpr std::size_t max_waiting_records = 1024;

constexpr std::string_view checkpoint_mark = "\"checkpoint\"";

std::optional<protocol::log_record> parse_checkpoint(const protocol::stream_record& record)
{
  // Parsing is left out for the many records that cannot be checkpoints.
  if (record.text.find(checkpoint_mark) == std::string::npos)
  {
    return std::nullopt;
  }
  auto parsed = protocol::parse_log_record(record.text);
  if (!parsed || !std::holds_alternative<protocol::checkpoint_record>(parsed->body))
  {
    return std::nullopt;
  }
  return std::move(*parsed);
}

} // namespace

protocol::stream_record without_checkpoint_state(protocol::stream_record record)
{
  if (auto parsed = parse_checkpoint(record))
  {
    std::get<protocol::checkpoint_record>(parsed->body).state.clear();
    record.text = protocol::format_log_record(*parsed);
  }
  return record;
}

std::optional<fleet::fleet_state> checkpoint_state(const protocol::stream_record& record)
{
  const auto parsed = parse_checkpoint(record);
  if (!parsed)
  {
    return std::nullopt;
  }
  const auto& checkpoint = std::get<protocol::checkpoint_record>(parsed->body);
  const auto text = nlohmann::json::parse(checkpoint.state, nullptr, false);
  if (text.is_discarded() || sha256(checkpoint.state) != checkpoint.state_digest)
  {
    return std::nullopt;
  }
  auto state = fleet::from_json(text);
  if (!state || state->offset != checkpoint.offset || state->offset >= record.offset)
  {
    return std::nullopt;
  }
  return std::move(*state);
}

state_replica::state_replica() : m_state(std::make_shared<const fleet::fleet_state>()) {}

bool state_replica::fold_all(std::vector<protocol::stream_record> records)
{
  if (records.empty())
  {
    return false;
  }
  auto next = std::make_shared<fleet::fleet_state>(*m_state);
  for (protocol::stream_record& record : records)
  {
    fleet::apply(*next, record);
    protocol::stream_record kept = without_checkpoint_state(std::move(record));
    m_recent_bytes += kept.text.size();
    m_recent.push_back(std::move(kept));
  }
  while (m_recent.size() > max_recent_records || m_recent_bytes > max_recent_bytes)
  {
    m_recent_after = m_recent.front().offset;
    m_recent_bytes -= m_recent.front().text.size();
    m_recent.pop_front();
  }
  m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(next->offset));
  m_state = std::move(next);
  return true;
}

bool state_replica::take_pushed(std::span<const protocol::stream_record> records)
{
  for (const protocol::stream_record& record : records)
  {
    if (record.offset > m_state->offset)
    {
      m_waiting.emplace(record.offset, record);
    }
  }
  std::vector<protocol::stream_record> ready;
  log_offset expected{m_state->offset.value + 1};
  for (auto at = m_waiting.begin(); at != m_waiting.end() && at->first == expected;)
  {
    ready.push_back(std::move(at->second));
    ++expected.value;
    at = m_waiting.erase(at);
  }
  while (m_waiting.size() > max_waiting_records)
  {
    m_waiting.erase(std::prev(m_waiting.end()));
  }
  return fold_all(std::move(ready));
}

bool state_replica::take_run(log_offset from, std::span<const protocol::stream_record> records)
{
  if (from.value > m_state->offset.value + 1)
  {
    return false;
  }
  std::vector<protocol::stream_record> ready;
  log_offset last = m_state->offset;
  for (const protocol::stream_record& record : records)
  {
    if (record.offset > last)
    {
      last = record.offset;
      ready.push_back(record);
    }
  }
  const bool changed = fold_all(std::move(ready));
  // The run may have closed the gap before records that were pushed.
  return take_pushed({}) || changed;
}

bool state_replica::take_state(fleet::fleet_state newer)
{
  if (newer.offset <= m_state->offset)
  {
    return false;
  }
  m_state = std::make_shared<const fleet::fleet_state>(std::move(newer));
  m_recent.clear();
  m_recent_bytes = 0;
  m_recent_after = m_state->offset;
  m_waiting.erase(m_waiting.begin(), m_waiting.upper_bound(m_state->offset));
  take_pushed({});
  return true;
}

std::optional<std::vector<protocol::stream_record>>
state_replica::records_from(log_offset from, std::size_t max_bytes) const
{
  if (from <= m_recent_after)
  {
    return std::nullopt;
  }
  auto at = std::lower_bound(m_recent.begin(), m_recent.end(), from,
                             [](const protocol::stream_record& record, log_offset offset)
                             { return record.offset < offset; });
  std::vector<protocol::stream_record> out;
  for (std::size_t bytes = 0; at != m_recent.end() && (out.empty() || bytes < max_bytes); ++at)
  {
    bytes += at->text.size();
    out.push_back(*at);
  }
  return out;
}

} // namespace pollenyoke::log_follower
