#include "Keys/KeyTable.h"

#include <algorithm>

#include "Common/Log.h"

namespace pollenyoke::keys
{

namespace
{

using protocol::failure_kind;
using protocol::refusal_reason;
using std::chrono::milliseconds;

/// All late claims go into one record, which is appended before any other. If they were split into
/// two records, an agent that acquires the slots between the two would not see the outage.
constexpr std::size_t max_unclaimed = 2000;
/// An agent whose last heartbeat is older than this does not confirm an outage.
constexpr milliseconds heartbeat_freshness{2000};
constexpr std::uint32_t owner_retry_ms = 200;
constexpr std::uint32_t outage_retry_ms = 1000;

key_decision refuse(refusal_reason reason, std::uint32_t retry_after_ms = 0)
{
  key_decision decision;
  decision.action = key_action::refuse;
  decision.reason = reason;
  decision.retry_after_ms = retry_after_ms;
  return decision;
}

key_decision unknown(failure_kind failure)
{
  key_decision decision;
  decision.action = key_action::unknown;
  decision.failure = failure;
  return decision;
}

key_decision log_unavailable()
{
  return refuse(refusal_reason::log_unavailable, outage_retry_ms);
}

std::size_t size_of(const stored_response& response)
{
  std::size_t bytes = sizeof(response) + response.body.size() + response.content_type.size();
  for (const auto& header : response.headers)
  {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

} // namespace

key_table::key_table(table_options options, time_point now)
    : m_options(std::move(options)), m_ledger(m_options.ledger), m_last_done(now),
      m_last_keepalive(now - m_options.keepalive_interval), m_last_event(now), m_last_contact(now),
      m_last_resume(now)
{
}

// After a pause of this process, its sockets contain old heartbeats and its own last contact with
// the log is outdated. The time of the pause is therefore no evidence that the log was unreachable.
void key_table::advance(time_point now)
{
  if (now - m_last_event > append_cutoff())
  {
    m_last_resume = now;
  }
  m_last_event = std::max(m_last_event, now);
}

// No record is sent when the log has not responded for this long. If agents kept appending while
// all responses are lost, their records would fill the gap that shows the outage to the next owner.
milliseconds key_table::append_cutoff() const
{
  return m_options.outage_threshold / 8;
}

// Appends stop at most append_cutoff() after the last response, and the last record sent may take
// as long again to reach the log. The gap in the log is therefore at least the outage threshold
// when a key runs unclaimed.
milliseconds key_table::unclaimed_run_threshold() const
{
  return m_options.outage_threshold + 2 * append_cutoff();
}

bool key_table::may_append(time_point now) const
{
  return m_ready && now - m_last_contact <= append_cutoff();
}

milliseconds key_table::log_age(time_point now) const
{
  return std::chrono::duration_cast<milliseconds>(now - std::max(m_last_contact, m_last_resume));
}

// An agent that reached the log later than this one may have read or written a change of ownership
// that is unknown here, for example while this process was paused or disconnected from the log.
bool key_table::confirms_outage(const membership::peer& agent, time_point now) const
{
  const milliseconds age(agent.log_age_ms);
  return agent.alive && now - agent.last_heard <= heartbeat_freshness &&
         age >= unclaimed_run_threshold() &&
         agent.last_heard - age <= m_last_contact + append_cutoff();
}

bool key_table::may_run_unclaimed(time_point now) const
{
  if (!m_ready || log_age(now) < unclaimed_run_threshold() || m_members == nullptr ||
      m_release_deadline || !is_listed(m_options.self.host) || m_unclaimed.size() >= max_unclaimed)
  {
    return false;
  }
  return std::all_of(m_members->peers.begin(), m_members->peers.end(),
                     [&](const membership::peer& agent)
                     {
                       return agent.listed.role != protocol::process_role::agent ||
                              agent.listed.service != m_options.service ||
                              agent.listed.host == m_options.self.host ||
                              confirms_outage(agent, now);
                     });
}

void key_table::decide(waiter_id request, key_decision decision)
{
  m_decisions.push_back({request, std::move(decision)});
}

std::vector<waiter_decision> key_table::take_decisions()
{
  return std::exchange(m_decisions, {});
}

void key_table::drop(const std::string& key, const key_decision& decision)
{
  const auto found = m_entries.find(key);
  const std::vector<waiter_id> waiting = std::move(found->second.waiting);
  m_entries.erase(found);
  m_active.erase(key);
  for (const waiter_id request : waiting)
  {
    decide(request, decision);
  }
}

key_decision key_table::not_owner(const std::string& key) const
{
  key_decision decision = refuse(refusal_reason::not_owner, owner_retry_ms);
  const slot_state& slot = m_ledger.slot(slot_of(key));
  if (slot.owned() && slot.owner != m_options.self)
  {
    decision.owner = slot.owner.host;
  }
  return decision;
}

void key_table::run_next(const std::string& key, key_entry& entry)
{
  if (entry.waiting.empty())
  {
    entry.state = phase::idle;
    entry.since = m_last_event;
    return;
  }
  entry.state = phase::running;
  key_decision decision;
  decision.action = key_action::run;
  decide(entry.waiting.front(), decision);
  entry.waiting.erase(entry.waiting.begin());
  m_active.insert(key);
}

void key_table::run_unclaimed(const std::string& key, key_entry& entry)
{
  m_unclaimed.insert(key);
  run_next(key, entry);
}

void key_table::begin(waiter_id request, const std::string& caller_key, const digest& body,
                      time_point now)
{
  advance(now);
  const std::string key = recorded_key(caller_key);
  const auto entry = m_entries.find(key);
  if (entry == m_entries.end())
  {
    begin_new(request, key, body, now);
  }
  else if (entry->second.body != body)
  {
    decide(request, refuse(refusal_reason::key_conflict));
  }
  else
  {
    begin_existing(request, key, entry->second, body);
  }
}

void key_table::begin_existing(waiter_id request, const std::string& key, key_entry& entry,
                               const digest& body)
{
  switch (entry.state)
  {
  case phase::queued:
  case phase::claiming:
  case phase::running:
    entry.waiting.push_back(request);
    return;
  case phase::idle:
    if (entry.claim.value == 0 || m_release_deadline)
    {
      // The key was started without a claim, its request was not dispatched, and the late claim has
      // not been read back yet.
      decide(request, m_release_deadline ? refuse(refusal_reason::leaving) : log_unavailable());
      return;
    }
    entry.waiting.push_back(request);
    run_next(key, entry);
    return;
  case phase::withdrawing:
    decide(request, log_unavailable());
    return;
  case phase::completed:
    if (entry.response)
    {
      key_decision decision;
      decision.action = key_action::replay;
      decision.response = *entry.response;
      decide(request, std::move(decision));
      return;
    }
    decide(request, unknown(failure_kind::key_already_ran));
    return;
  case phase::failed:
    decide(request, unknown(failure_kind::key_unknown));
    return;
  case phase::refused:
    if (m_ledger.owns(m_options.self, slot_of(key)))
    {
      decide(request, refuse(refusal_reason::key_refused));
    }
    else if (!decide_from_ledger(request, key, body))
    {
      decide(request, not_owner(key));
    }
    return;
  }
}

bool key_table::decide_from_ledger(waiter_id request, const std::string& key, const digest& body)
{
  const ledger_entry* known = m_ledger.find(key);
  if (known == nullptr)
  {
    return false;
  }
  if (known->body != body)
  {
    decide(request, refuse(refusal_reason::key_conflict));
  }
  else if (known->phase == key_phase::refused)
  {
    decide(request, refuse(refusal_reason::key_refused));
  }
  else
  {
    decide(request, unknown(known->phase == key_phase::done ? failure_kind::key_already_ran
                                                            : failure_kind::key_unknown));
  }
  return true;
}

void key_table::begin_new(waiter_id request, const std::string& key, const digest& body,
                          time_point now)
{
  if (!m_ready)
  {
    decide(request, log_unavailable());
    return;
  }
  if (!m_ledger.owns(m_options.self, slot_of(key)))
  {
    decide(request, not_owner(key));
    return;
  }
  if (decide_from_ledger(request, key, body))
  {
    return;
  }
  if (m_release_deadline)
  {
    decide(request, refuse(refusal_reason::leaving));
    return;
  }
  if (m_ledger.may_have_run_unclaimed(key))
  {
    decide(request, unknown(failure_kind::key_unknown));
    return;
  }
  key_entry& entry = m_entries[key];
  entry.body = body;
  entry.since = now;
  entry.log_time_ms = m_ledger.time_ms();
  entry.waiting.push_back(request);
  m_active.insert(key);
  if (may_run_unclaimed(now))
  {
    run_unclaimed(key, entry);
    return;
  }
  m_queue.push_back(key);
}

key_table::key_entry* key_table::find_running(const std::string& key)
{
  const auto found = m_entries.find(key);
  return found == m_entries.end() || found->second.state != phase::running ? nullptr
                                                                           : &found->second;
}

void key_table::end_run(const std::string& key, key_entry& entry, phase state)
{
  entry.state = state;
  entry.log_time_ms = m_ledger.time_ms();
  m_active.erase(key);
  m_ended.emplace_back(entry.log_time_ms, key);
}

void key_table::finished(const std::string& caller_key, stored_response response, time_point now)
{
  advance(now);
  const std::string key = recorded_key(caller_key);
  key_entry* entry = find_running(key);
  if (entry == nullptr)
  {
    return;
  }
  m_done.push_back({key, response.status});
  end_run(key, *entry, phase::completed);
  for (const waiter_id request : std::exchange(entry->waiting, {}))
  {
    key_decision decision;
    decision.action = key_action::replay;
    decision.response = response;
    decide(request, std::move(decision));
  }
  store_response(key, *entry, std::move(response));
}

void key_table::store_response(const std::string& key, key_entry& entry, stored_response response)
{
  const std::size_t bytes = size_of(response);
  if (bytes > m_options.max_response_bytes)
  {
    return;
  }
  while (m_response_bytes + bytes > m_options.max_response_bytes && !m_response_order.empty())
  {
    const auto oldest = m_entries.find(m_response_order.front());
    m_response_order.pop_front();
    if (oldest != m_entries.end() && oldest->second.response)
    {
      m_response_bytes -= size_of(*oldest->second.response);
      oldest->second.response.reset();
    }
  }
  m_response_bytes += bytes;
  entry.response = std::move(response);
  m_response_order.push_back(key);
}

void key_table::failed(const std::string& caller_key, time_point now)
{
  advance(now);
  const std::string key = recorded_key(caller_key);
  key_entry* entry = find_running(key);
  if (entry == nullptr)
  {
    return;
  }
  end_run(key, *entry, phase::failed);
  for (const waiter_id request : std::exchange(entry->waiting, {}))
  {
    decide(request, unknown(failure_kind::key_unknown));
  }
}

void key_table::not_dispatched(const std::string& caller_key, time_point now)
{
  advance(now);
  const std::string key = recorded_key(caller_key);
  key_entry* entry = find_running(key);
  if (entry == nullptr)
  {
    return;
  }
  const bool late_claim_sent = m_late_claim_sent.has_value();
  if (m_unclaimed.contains(key) && entry->waiting.empty() && !late_claim_sent)
  {
    m_unclaimed.erase(key);
    drop(key, log_unavailable());
    return;
  }
  run_next(key, *entry);
}

void key_table::records_read(const log_follower::log_page& page, bool at_end, time_point now)
{
  log_answered(now, now);
  for (const protocol::stream_record& record : page.records)
  {
    const auto applied = m_ledger.apply(record);
    if (applied && applied->author == m_options.self)
    {
      process_own_record(*applied, record.offset, now);
    }
  }
  if (at_end && !m_ready)
  {
    m_ready = true;
    m_ready_since = now;
  }
  forget_expired();
}

void key_table::records_expired(log_offset first, time_point now)
{
  log_answered(now, now);
  // Ownership may have changed in the expired records.
  m_ledger = key_ledger(m_options.ledger, first);
  m_ready = false;
}

void key_table::log_answered(time_point when, time_point now)
{
  advance(now);
  m_last_contact = std::max(m_last_contact, std::min(when, now));
}

void key_table::process_own_record(const key_record& own, log_offset at, time_point now)
{
  if (const auto* claim = std::get_if<claim_record>(&own.body))
  {
    if (claim->late)
    {
      process_late_claim(*claim);
      return;
    }
    for (const claimed_key& claimed : claim->keys)
    {
      const auto found = m_entries.find(claimed.key);
      if (found != m_entries.end() && found->second.state == phase::claiming &&
          found->second.sent_id == own.id)
      {
        process_claim(claimed.key, found->second, at, now);
      }
    }
  }
  else if (const auto* withdrawal = std::get_if<withdraw_record>(&own.body))
  {
    process_withdrawal(*withdrawal);
  }
  else if (std::holds_alternative<acquire_record>(own.body) ||
           std::holds_alternative<release_record>(own.body))
  {
    m_slot_change_sent.reset();
  }
}

void key_table::process_claim(const std::string& key, key_entry& entry, log_offset at,
                              time_point now)
{
  const ledger_entry* known = m_ledger.find(key);
  if (known != nullptr && known->claim == at && known->phase == key_phase::claimed)
  {
    entry.claim = at;
    run_next(key, entry);
    return;
  }
  // The claim has no effect: the slot has another owner or epoch, or the key was claimed before.
  const digest body = entry.body;
  const std::vector<waiter_id> waiting = std::move(entry.waiting);
  m_entries.erase(key);
  m_active.erase(key);
  for (const waiter_id request : waiting)
  {
    begin(request, key, body, now);
  }
}

void key_table::process_late_claim(const claim_record& body)
{
  m_late_claim_sent.reset();
  for (const claimed_key& claimed : body.keys)
  {
    const ledger_entry* known = m_ledger.find(claimed.key);
    if (known == nullptr || m_unclaimed.erase(claimed.key) == 0)
    {
      continue;
    }
    if (known->claimer != m_options.self)
    {
      log_error(log_category::keys, "key ran without a claim and was claimed by another agent",
                {{"key", claimed.key}, {"agent", known->claimer.host.value}});
      continue;
    }
    const auto found = m_entries.find(claimed.key);
    if (found != m_entries.end())
    {
      found->second.claim = known->claim;
    }
  }
}

void key_table::process_withdrawal(const withdraw_record& body)
{
  for (const withdrawn_key& withdrawn : body.keys)
  {
    const auto found = m_entries.find(withdrawn.key);
    if (found != m_entries.end() && found->second.state == phase::withdrawing &&
        found->second.claim == withdrawn.claim)
    {
      drop(withdrawn.key, log_unavailable());
    }
  }
}

void key_table::members_changed(membership::member_view_ptr view)
{
  m_members = std::move(view);
}

void key_table::tick(time_point now)
{
  advance(now);
  check_timeouts(now);
  const auto expired = [&](const std::optional<time_point>& sent)
  {
    return sent && now - *sent >= m_options.claim_timeout;
  };
  if (expired(m_slot_change_sent))
  {
    m_slot_change_sent.reset();
  }
}

void key_table::check_timeouts(time_point now)
{
  const std::vector<std::string> active(m_active.begin(), m_active.end());
  for (const std::string& key : active)
  {
    check_timeout(key, m_entries.at(key), now);
  }
}

void key_table::check_timeout(const std::string& key, key_entry& entry, time_point now)
{
  const bool timed_out = now - entry.since >= m_options.claim_timeout;
  if (entry.state == phase::queued)
  {
    if (!m_ledger.owns(m_options.self, slot_of(key)))
    {
      drop(key, m_ready ? not_owner(key) : log_unavailable());
    }
    else if (may_run_unclaimed(now))
    {
      run_unclaimed(key, entry);
    }
    else if (timed_out)
    {
      drop(key, log_unavailable());
    }
  }
  else if (entry.state == phase::claiming && timed_out)
  {
    // The claim may still be appended. The key is refused from now on, so that it does not run even
    // if the claim reaches the log and takes effect.
    m_refused.push_back({key, entry.body});
    const std::vector<waiter_id> waiting = std::exchange(entry.waiting, {});
    end_run(key, entry, phase::refused);
    for (const waiter_id request : waiting)
    {
      decide(request, refuse(refusal_reason::key_refused));
    }
  }
  else if (entry.state == phase::idle && entry.claim.value != 0 &&
           (timed_out || m_release_deadline))
  {
    entry.state = phase::withdrawing;
    entry.sent_id.clear();
  }
}

void key_table::abandon()
{
  for (const std::string& key : m_active)
  {
    key_entry& entry = m_entries.at(key);
    const bool runs = entry.state == phase::running;
    for (const waiter_id request : std::exchange(entry.waiting, {}))
    {
      decide(request, runs ? unknown(failure_kind::key_unknown) : refuse(refusal_reason::leaving));
    }
    if (entry.state == phase::queued || entry.state == phase::claiming)
    {
      entry.state = phase::refused;
    }
  }
  m_ready = false;
}

void key_table::forget_expired()
{
  while (!m_ended.empty() &&
         m_ended.front().first + m_options.ledger.lifetime_ms < m_ledger.time_ms())
  {
    const auto found = m_entries.find(m_ended.front().second);
    if (found != m_entries.end() && found->second.log_time_ms == m_ended.front().first &&
        !m_active.contains(found->first) && !m_unclaimed.contains(found->first))
    {
      m_response_bytes -= found->second.response ? size_of(*found->second.response) : 0;
      m_entries.erase(found);
    }
    m_ended.pop_front();
  }
}

} // namespace pollenyoke::keys
