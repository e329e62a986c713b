// The part of key_table that selects the records to append.
#include <algorithm>

#include <nlohmann/json.hpp>

#include "Common/Rendezvous.h"
#include "Keys/KeyTable.h"

namespace pollenyoke::keys
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_keys_per_record = 256;
constexpr milliseconds done_interval{250};
constexpr std::size_t done_batch = 64;
/// The host list can have thousands of entries, too many to search at each tick.
constexpr milliseconds slot_check_interval{200};

template <typename T>
std::vector<T> take_front(std::vector<T>& from)
{
  const auto count = static_cast<std::ptrdiff_t>(std::min(from.size(), max_keys_per_record));
  std::vector<T> taken(from.begin(), from.begin() + count);
  from.erase(from.begin(), from.begin() + count);
  return taken;
}

} // namespace

bool key_table::is_listed(const host_id& host) const
{
  const auto& peers = m_members->peers;
  return std::any_of(peers.begin(), peers.end(),
                     [&](const membership::peer& p) { return p.listed.host == host; });
}

/// Listed live agents of the service that are not leaving; empty if this host is not among them.
std::vector<std::string> key_table::owner_candidates() const
{
  std::vector<std::string> names;
  bool self_listed = false;
  for (const membership::peer& p : m_members->peers)
  {
    if (p.listed.role != protocol::process_role::agent || p.listed.service != m_options.service ||
        p.leaving || p.listed.leaving)
    {
      continue;
    }
    const bool is_self = p.listed.host == m_options.self.host;
    self_listed = self_listed || is_self;
    if (is_self || p.alive)
    {
      names.push_back(p.listed.host.value);
    }
  }
  return self_listed ? names : std::vector<std::string>{};
}

bool key_table::can_acquire(std::uint32_t slot, const std::set<host_id>& listed,
                            time_point now) const
{
  const slot_state& state = m_ledger.slot(slot);
  if (state.owned())
  {
    return !listed.contains(state.owner.host);
  }
  // If the oldest records have expired, the owner may become known only by its next keepalive.
  const bool log_complete = m_ledger.first().value <= 1;
  return log_complete || state.released || now - m_ready_since >= 3 * m_options.keepalive_interval;
}

std::vector<slot_epoch> key_table::slots_to_acquire(time_point now) const
{
  std::vector<slot_epoch> slots;
  if (m_members == nullptr || m_release_deadline)
  {
    return slots;
  }
  const std::vector<std::string> candidates = owner_candidates();
  if (candidates.empty())
  {
    return slots;
  }
  std::set<host_id> listed;
  for (const membership::peer& p : m_members->peers)
  {
    listed.insert(p.listed.host);
  }
  for (std::uint32_t index = 0; index < slot_count; ++index)
  {
    const slot_state& state = m_ledger.slot(index);
    // While this host is listed, no other host may acquire the slots of its earlier runs.
    const bool owned_by_previous_run = state.owned() && state.owner.host == m_options.self.host &&
                                       state.owner.incarnation < m_options.self.incarnation;
    const auto is_chosen = [&]
    {
      const std::string name = m_options.service + "/" + std::to_string(index);
      return candidates.at(rendezvous_order(name, candidates).front()) == m_options.self.host.value;
    };
    if (owned_by_previous_run || (can_acquire(index, listed, now) && is_chosen()))
    {
      slots.push_back({index, state.epoch});
    }
  }
  return slots;
}

void key_table::start_release(time_point deadline)
{
  m_release_deadline = deadline;
}

/// Whether the log contains everything that this agent knows about its keys.
bool key_table::all_state_recorded() const
{
  return m_unclaimed.empty() && m_done.empty() && m_refused.empty() && !m_in_flight;
}

bool key_table::end_release()
{
  if (!is_released())
  {
    return false;
  }
  m_release_deadline.reset();
  return true;
}

bool key_table::is_released() const
{
  return m_release_deadline && all_state_recorded() && m_ledger.slots_of(m_options.self).empty();
}

std::string key_table::mint(std::uint64_t choice) const
{
  const std::vector<slot_epoch> own = m_ledger.slots_of(m_options.self);
  if (!m_ready || own.empty() || m_release_deadline)
  {
    return {};
  }
  const slot_epoch& chosen = own.at(choice % own.size());
  return mint_key(chosen.slot, chosen.epoch);
}

std::size_t key_table::running() const
{
  return static_cast<std::size_t>(std::count_if(
      m_active.begin(), m_active.end(),
      [&](const std::string& key) { return m_entries.at(key).state == phase::running; }));
}

std::optional<append_request> key_table::next_append(time_point now)
{
  advance(now);
  if (m_in_flight || !may_append(now))
  {
    return std::nullopt;
  }
  auto body = next_body(now);
  if (!body)
  {
    return std::nullopt;
  }
  key_record record{make_record_id(), m_options.self, m_ledger.offset(), std::move(*body)};
  track_sent(record, now);
  append_request to_append{record.id, format_key_record(record)};
  m_in_flight = std::move(record);
  return to_append;
}

std::optional<key_record_body> key_table::next_body(time_point now)
{
  if (!m_unclaimed.empty())
  {
    return next_late_claim(now);
  }
  if (now - m_last_keepalive >= m_options.keepalive_interval)
  {
    m_last_keepalive = now;
    return keepalive_record{m_ledger.slots_of(m_options.self)};
  }
  if (auto claim = next_claim())
  {
    return claim;
  }
  if (!m_refused.empty())
  {
    return refuse_record{take_front(m_refused)};
  }
  if (auto withdrawal = next_withdrawal(now))
  {
    return withdrawal;
  }
  if (auto done = next_done(now))
  {
    return done;
  }
  return next_slot_change(now);
}

std::optional<key_record_body> key_table::next_late_claim(time_point now)
{
  if (m_late_claim_sent && now - *m_late_claim_sent < m_options.claim_timeout)
  {
    return std::nullopt;
  }
  claim_record late{{}, true};
  for (const std::string& key : m_unclaimed)
  {
    late.keys.push_back({key, m_entries.at(key).body, m_ledger.slot(slot_of(key)).epoch});
  }
  return late;
}

std::optional<key_record_body> key_table::next_claim()
{
  claim_record claim;
  while (!m_queue.empty() && claim.keys.size() < max_keys_per_record)
  {
    const std::string key = std::move(m_queue.front());
    m_queue.pop_front();
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.state != phase::queued)
    {
      continue;
    }
    if (!m_ledger.owns(m_options.self, slot_of(key)))
    {
      drop(key, not_owner(key));
      continue;
    }
    found->second.state = phase::claiming;
    claim.keys.push_back({key, found->second.body, m_ledger.slot(slot_of(key)).epoch});
  }
  return claim.keys.empty() ? std::nullopt : std::optional<key_record_body>(std::move(claim));
}

std::optional<key_record_body> key_table::next_withdrawal(time_point now)
{
  withdraw_record withdrawal;
  for (const std::string& key : m_active)
  {
    const key_entry& entry = m_entries.at(key);
    const bool due = entry.sent_id.empty() || now - entry.since >= m_options.claim_timeout;
    if (entry.state == phase::withdrawing && due && withdrawal.keys.size() < max_keys_per_record)
    {
      withdrawal.keys.push_back({key, entry.claim});
    }
  }
  return withdrawal.keys.empty() ? std::nullopt
                                 : std::optional<key_record_body>(std::move(withdrawal));
}

std::optional<key_record_body> key_table::next_done(time_point now)
{
  const bool due =
      now - m_last_done >= done_interval || m_done.size() >= done_batch || m_release_deadline;
  if (m_done.empty() || !due)
  {
    return std::nullopt;
  }
  m_last_done = now;
  return done_record{take_front(m_done)};
}

std::optional<key_record_body> key_table::next_slot_change(time_point now)
{
  if (m_slot_change_sent)
  {
    return std::nullopt;
  }
  if (m_release_deadline)
  {
    auto own = m_ledger.slots_of(m_options.self);
    const bool due = (m_active.empty() && all_state_recorded()) || now >= *m_release_deadline;
    return own.empty() || !due ? std::nullopt
                               : std::optional<key_record_body>(release_record{std::move(own)});
  }
  if (now - m_last_slot_check < slot_check_interval)
  {
    return std::nullopt;
  }
  m_last_slot_check = now;
  auto slots = slots_to_acquire(now);
  return slots.empty() ? std::nullopt
                       : std::optional<key_record_body>(acquire_record{std::move(slots)});
}

void key_table::track_sent(const key_record& record, time_point now)
{
  const auto set_sent_id = [&](const std::string& key)
  {
    key_entry& entry = m_entries.at(key);
    entry.sent_id = record.id;
    entry.since = now;
  };
  if (const auto* claim = std::get_if<claim_record>(&record.body))
  {
    if (claim->late)
    {
      m_late_claim_sent = now;
      return;
    }
    std::for_each(claim->keys.begin(), claim->keys.end(),
                  [&](const claimed_key& claimed) { set_sent_id(claimed.key); });
  }
  else if (const auto* withdrawal = std::get_if<withdraw_record>(&record.body))
  {
    std::for_each(withdrawal->keys.begin(), withdrawal->keys.end(),
                  [&](const withdrawn_key& withdrawn) { set_sent_id(withdrawn.key); });
  }
  else if (std::holds_alternative<acquire_record>(record.body) ||
           std::holds_alternative<release_record>(record.body))
  {
    m_slot_change_sent = now;
  }
}

void key_table::append_ended(const std::string& id, append_outcome outcome, time_point now)
{
  advance(now);
  if (!m_in_flight || m_in_flight->id != id)
  {
    return;
  }
  const key_record record = std::move(*m_in_flight);
  m_in_flight.reset();
  if (outcome == append_outcome::appended)
  {
    m_last_contact = std::max(m_last_contact, now);
    return;
  }
  // These records are idempotent: appending one twice has the same effect as appending it once.
  if (const auto* done = std::get_if<done_record>(&record.body))
  {
    m_done.insert(m_done.begin(), done->keys.begin(), done->keys.end());
  }
  else if (const auto* refused = std::get_if<refuse_record>(&record.body))
  {
    m_refused.insert(m_refused.begin(), refused->keys.begin(), refused->keys.end());
  }
  if (outcome == append_outcome::not_appended)
  {
    requeue_unsent(record);
  }
}

// A claim that is guaranteed not to be in the log returns to the queue with its waiting requests.
// The next attempt is a new claim, with which its timeout restarts.
void key_table::requeue_unsent(const key_record& record)
{
  if (const auto* claim = std::get_if<claim_record>(&record.body))
  {
    if (claim->late)
    {
      m_late_claim_sent.reset();
      return;
    }
    for (auto key = claim->keys.rbegin(); key != claim->keys.rend(); ++key)
    {
      const auto found = m_entries.find(key->key);
      if (found != m_entries.end() && found->second.state == phase::claiming &&
          found->second.sent_id == record.id)
      {
        found->second.state = phase::queued;
        found->second.sent_id.clear();
        m_queue.push_front(key->key);
      }
    }
  }
  else if (std::holds_alternative<acquire_record>(record.body) ||
           std::holds_alternative<release_record>(record.body))
  {
    m_slot_change_sent.reset();
  }
}

nlohmann::json key_table::dump(time_point now) const
{
  std::size_t owned = 0;
  std::size_t ambiguous = 0;
  nlohmann::json owners = nlohmann::json::object();
  for (std::uint32_t index = 0; index < slot_count; ++index)
  {
    const slot_state& state = m_ledger.slot(index);
    owned += m_ledger.owns(m_options.self, index) ? 1 : 0;
    ambiguous +=
        state.ambiguous_until_ms >= m_ledger.time_ms() && state.ambiguous_before.value != 0;
    if (state.owned())
    {
      owners[state.owner.host.value].push_back(index);
    }
  }
  return {{"ready", m_ready},
          {"offset", m_ledger.offset().value},
          {"slots_owned", owned},
          {"slots_unclear", ambiguous},
          {"owners", owners},
          {"ledger_keys", m_ledger.size()},
          {"running", running()},
          {"waiting_for_claim", m_active.size() - running()},
          {"unclaimed", m_unclaimed.size()},
          {"answer_bytes", m_response_bytes},
          {"log_age_ms", log_age(now).count()},
          {"runs_unclaimed_allowed", may_run_unclaimed(now)},
          {"releasing", m_release_deadline.has_value()}};
}

} // namespace pollenyoke::keys
