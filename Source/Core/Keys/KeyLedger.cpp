#include "Keys/KeyLedger.h"

#include <algorithm>

namespace pollenyoke::keys
{

key_ledger::key_ledger(ledger_options options, log_offset first)
    : m_options(options), m_first(first), m_offset{first.value == 0 ? 0 : first.value - 1}
{
}

std::optional<key_record> key_ledger::apply(const protocol::stream_record& record)
{
  if (record.offset <= m_offset)
  {
    return std::nullopt;
  }
  advance_time(record);
  m_offset = record.offset;
  expire();
  auto parsed = parse_key_record(record.text);
  if (!parsed)
  {
    return std::nullopt;
  }
  std::visit([&](const auto& body) { apply_body(*parsed, body); }, parsed->body);
  log_offset& seen = m_seen[parsed->author];
  seen = std::max(seen, std::min(parsed->seen, record.offset));
  return std::move(*parsed);
}

// A timestamp that goes backwards does not change the log time, so that expiry is monotonic.
void key_ledger::advance_time(const protocol::stream_record& record)
{
  const std::uint64_t time_ms = std::max(m_time_ms, record.time_ms);
  const std::uint64_t size_ms = m_time_ms == 0 ? 0 : time_ms - m_time_ms;
  while (!m_gaps.empty() && m_gaps.back().size_ms <= size_ms)
  {
    m_gaps.pop_back();
  }
  m_gaps.push_back({record.offset, size_ms});
  m_time_ms = time_ms;
}

void key_ledger::expire()
{
  while (!m_insertion_order.empty() &&
         m_insertion_order.front().first + m_options.lifetime_ms < m_time_ms)
  {
    const auto found = m_keys.find(m_insertion_order.front().second);
    // The key may have been withdrawn and claimed again since it was queued for expiry.
    if (found != m_keys.end() && found->second.time_ms == m_insertion_order.front().first)
    {
      m_keys.erase(found);
    }
    m_insertion_order.pop_front();
  }
}

void key_ledger::insert(const std::string& key, ledger_entry entry)
{
  m_insertion_order.emplace_back(entry.time_ms, key);
  m_keys.insert_or_assign(key, std::move(entry));
}

std::uint64_t key_ledger::largest_gap_since(log_offset since) const
{
  const auto found =
      std::find_if(m_gaps.begin(), m_gaps.end(), [&](const gap& g) { return g.end > since; });
  return found == m_gaps.end() ? 0 : found->size_ms;
}

const ledger_entry* key_ledger::find(const std::string& key) const
{
  const auto found = m_keys.find(key);
  return found == m_keys.end() ? nullptr : &found->second;
}

bool key_ledger::owns(const agent_run& agent, std::uint32_t slot_index) const
{
  const slot_state& state = m_slots.at(slot_index);
  return state.owned() && state.owner == agent;
}

std::vector<slot_epoch> key_ledger::slots_of(const agent_run& agent) const
{
  std::vector<slot_epoch> owned;
  for (std::uint32_t index = 0; index < slot_count; ++index)
  {
    if (owns(agent, index))
    {
      owned.push_back({index, m_slots.at(index).epoch});
    }
  }
  return owned;
}

bool key_ledger::may_have_run_unclaimed(std::string_view key) const
{
  const slot_state& state = m_slots.at(slot_of(key));
  if (m_time_ms > state.ambiguous_until_ms)
  {
    return false;
  }
  const auto minted = parse_minted_key(key);
  // Keys issued in epoch `ambiguous_before` or later did not exist yet when the earlier owner could
  // have run them.
  return !minted || minted->epoch < state.ambiguous_before || minted->epoch > state.epoch;
}

void key_ledger::apply_body(const key_record& record, const acquire_record& body)
{
  const bool valid = std::all_of(body.expected.begin(), body.expected.end(),
                                 [&](const slot_epoch& entry)
                                 { return m_slots.at(entry.slot).epoch == entry.epoch; });
  if (!valid)
  {
    return;
  }
  for (const slot_epoch& entry : body.expected)
  {
    slot_state& state = m_slots.at(entry.slot);
    if (state.owned() && state.owner != record.author)
    {
      // The previous owner can have run keys without a claim only if, after its last record, no
      // agent of the service reached the log for at least the outage threshold.
      const auto seen = m_seen.find(state.owner);
      const log_offset since = seen == m_seen.end() ? state.epoch : seen->second;
      if (largest_gap_since(since) >= m_options.outage_gap_ms)
      {
        state.ambiguous_before = m_offset;
        state.ambiguous_until_ms = m_time_ms + m_options.lifetime_ms;
      }
    }
    state.epoch = m_offset;
    state.owner = record.author;
    state.released = false;
  }
}

void key_ledger::apply_body(const key_record& record, const claim_record& body)
{
  for (const claimed_key& entry : body.keys)
  {
    const std::uint32_t index = slot_of(entry.key);
    const bool current = owns(record.author, index) && m_slots.at(index).epoch == entry.epoch;
    // A late claim states that the key ran, which is true regardless of who owns the slot now.
    if ((current || body.late) && find(entry.key) == nullptr)
    {
      insert(entry.key, {entry.body, record.author, m_offset, m_time_ms, key_phase::claimed, 0});
    }
  }
}

void key_ledger::apply_body(const key_record& record, const done_record& body)
{
  for (const done_key& entry : body.keys)
  {
    const auto found = m_keys.find(entry.key);
    if (found != m_keys.end() && found->second.claimer == record.author)
    {
      found->second.phase = key_phase::done;
      found->second.status = entry.status;
    }
  }
}

void key_ledger::apply_body(const key_record& record, const release_record& body)
{
  for (const slot_epoch& entry : body.slots)
  {
    slot_state& state = m_slots.at(entry.slot);
    if (owns(record.author, entry.slot) && state.epoch == entry.epoch)
    {
      state.released = true;
    }
  }
}

// The record that acquired the slot may have expired from the log. The ownership that a keepalive
// restates is accepted only if its author had read the stream up to the oldest record that the log
// holds: the author would then know of any later acquisition that has expired too.
void key_ledger::apply_body(const key_record& record, const keepalive_record& body)
{
  for (const slot_epoch& entry : body.slots)
  {
    slot_state& state = m_slots.at(entry.slot);
    if (state.epoch.value == 0 && entry.epoch < m_first && record.seen.value + 1 >= m_first.value)
    {
      state.epoch = entry.epoch;
      state.owner = record.author;
    }
  }
}

void key_ledger::apply_body(const key_record& record, const withdraw_record& body)
{
  for (const withdrawn_key& entry : body.keys)
  {
    const auto found = m_keys.find(entry.key);
    if (found != m_keys.end() && found->second.claimer == record.author &&
        found->second.claim == entry.claim && found->second.phase == key_phase::claimed)
    {
      m_keys.erase(found);
    }
  }
}

void key_ledger::apply_body(const key_record& record, const refuse_record& body)
{
  for (const refused_key& entry : body.keys)
  {
    const auto found = m_keys.find(entry.key);
    if (found == m_keys.end())
    {
      insert(entry.key, {entry.body, record.author, m_offset, m_time_ms, key_phase::refused, 0});
    }
    else if (found->second.claimer == record.author && found->second.phase == key_phase::claimed)
    {
      found->second.phase = key_phase::refused;
    }
  }
}

} // namespace pollenyoke::keys
