#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Keys/KeyLedger.h"
#include "Keys/KeyOwner.h"
#include "LogFollower/LogClient.h"
#include "Membership/Membership.h"

namespace pollenyoke::keys
{

struct table_options
{
  agent_run self;
  std::string service;
  ledger_options ledger;
  std::chrono::milliseconds claim_timeout{3000};
  /// A period of this length without contact with the log counts as an outage; see docs/design.md,
  /// section 8.
  std::chrono::milliseconds outage_threshold{10000};
  std::chrono::milliseconds keepalive_interval{2000};
  /// Limit for the total size of the stored responses.
  std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
};

/// Identifies a request that is waiting for its decision.
using waiter_id = std::uint64_t;

struct waiter_decision
{
  waiter_id waiter = 0;
  key_decision decision;
};

/// A record to append once; the outcome is reported with append_ended().
struct append_request
{
  std::string id;
  std::string text;
};

enum class append_outcome
{
  appended,
  /// The record is guaranteed not to be in the log.
  not_appended,
  /// The response was lost; the record may be in the log.
  unknown,
};

/// Decides which requests with idempotency keys an agent runs. Does no I/O and reads no clock: the
/// inputs are events with timestamps, the outputs are decisions and records to append. Not
/// thread-safe.
class key_table
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  key_table(table_options options, time_point now);

  // Request events; see key_owner.
  void begin(waiter_id request, const std::string& caller_key, const digest& body, time_point now);
  void finished(const std::string& caller_key, stored_response response, time_point now);
  void failed(const std::string& caller_key, time_point now);
  void not_dispatched(const std::string& caller_key, time_point now);

  // Log and membership events.
  /// A read from next_offset() succeeded. `at_end`: the page reaches the end of the stream.
  void records_read(const log_follower::log_page& page, bool at_end, time_point now);
  /// Records from next_offset() on have expired: restarts from the oldest remaining one, `first`.
  void records_expired(log_offset first, time_point now);
  /// `when` is the time of the last response from the log to this process, on any stream.
  void log_answered(time_point when, time_point now);
  void append_ended(const std::string& id, append_outcome outcome, time_point now);
  void members_changed(membership::member_view_ptr view);
  void tick(time_point now);

  /// Planned stop: refuses new keys from now on and releases the slots when no key is running, or
  /// at `deadline` even if some still are.
  void start_release(time_point deadline);
  /// The process is stopping: decides all waiting requests and runs no key from now on.
  void abandon();
  /// This agent owns no slot any more and has nothing left to record.
  bool is_released() const;
  /// Ends a complete release, so that the table may acquire slots again. Returns false if the
  /// release is incomplete, since its record may still take effect.
  bool end_release();

  /// Issues a key in one of the owned slots; empty if there is none. `choice` selects the slot.
  std::string mint(std::uint64_t choice) const;

  std::vector<waiter_decision> take_decisions();
  /// The next record to append; empty if there is none or an append is in flight.
  std::optional<append_request> next_append(time_point now);
  log_offset next_offset() const
  {
    return log_offset{m_ledger.offset().value + 1};
  }
  /// Whether the stream has been read from its oldest record to its end.
  bool is_ready() const
  {
    return m_ready;
  }
  /// Whether keys may run without a claim at `now`.
  bool may_run_unclaimed(time_point now) const;
  /// Time since the last response from the log, or since this process last resumed from a pause if
  /// that is later.
  std::chrono::milliseconds log_age(time_point now) const;
  const key_ledger& ledger() const
  {
    return m_ledger;
  }
  std::size_t owned_slots() const
  {
    return m_ledger.slots_of(m_options.self).size();
  }
  /// Number of running keys.
  std::size_t running() const;
  nlohmann::json dump(time_point now) const;

private:
  enum class phase
  {
    /// The claim has not been sent yet.
    queued,
    /// The claim was sent and has not been read back yet.
    claiming,
    running,
    /// Claimed, but the executor did not dispatch the request.
    idle,
    /// The claim is being withdrawn; the withdrawal has not been read back yet.
    withdrawing,
    completed,
    failed,
    refused,
  };

  struct key_entry
  {
    phase state = phase::queued;
    digest body;
    std::vector<waiter_id> waiting;
    /// Id of the claim or withdrawal that was sent; empty until it is sent.
    std::string sent_id;
    /// Offset of the claim; 0 until it has been read back.
    log_offset claim;
    time_point since{};
    std::uint64_t log_time_ms = 0;
    std::optional<stored_response> response;
  };

  void advance(time_point now);
  std::chrono::milliseconds append_cutoff() const;
  std::chrono::milliseconds unclaimed_run_threshold() const;
  bool may_append(time_point now) const;
  bool confirms_outage(const membership::peer& agent, time_point now) const;

  void decide(waiter_id request, key_decision decision);
  /// Removes the entry of a key that never ran and passes the decision to all waiting requests.
  void drop(const std::string& key, const key_decision& decision);
  void run_next(const std::string& key, key_entry& entry);
  void begin_existing(waiter_id request, const std::string& key, key_entry& entry,
                      const digest& body);
  void begin_new(waiter_id request, const std::string& key, const digest& body, time_point now);
  bool decide_from_ledger(waiter_id request, const std::string& key, const digest& body);
  key_decision not_owner(const std::string& key) const;
  void run_unclaimed(const std::string& key, key_entry& entry);
  key_entry* find_running(const std::string& key);
  void end_run(const std::string& key, key_entry& entry, phase state);
  void store_response(const std::string& key, key_entry& entry, stored_response response);

  void process_own_record(const key_record& own, log_offset at, time_point now);
  void process_claim(const std::string& key, key_entry& entry, log_offset at, time_point now);
  void process_late_claim(const claim_record& body);
  void process_withdrawal(const withdraw_record& body);
  void requeue_unsent(const key_record& record);
  void check_timeouts(time_point now);
  void check_timeout(const std::string& key, key_entry& entry, time_point now);
  void forget_expired();

  bool is_listed(const host_id& host) const;
  std::vector<std::string> owner_candidates() const;
  bool can_acquire(std::uint32_t slot, const std::set<host_id>& listed, time_point now) const;
  std::vector<slot_epoch> slots_to_acquire(time_point now) const;

  std::optional<key_record_body> next_body(time_point now);
  std::optional<key_record_body> next_late_claim(time_point now);
  std::optional<key_record_body> next_claim();
  std::optional<key_record_body> next_withdrawal(time_point now);
  std::optional<key_record_body> next_done(time_point now);
  std::optional<key_record_body> next_slot_change(time_point now);
  void track_sent(const key_record& record, time_point now);
  bool all_state_recorded() const;

  table_options m_options;
  key_ledger m_ledger;
  bool m_ready = false;
  time_point m_ready_since{};
  std::unordered_map<std::string, key_entry> m_entries;
  /// Keys in the phases from queued to withdrawing.
  std::set<std::string> m_active;
  /// Keys whose claim is to be sent, in order. May contain keys that left the queued phase.
  std::deque<std::string> m_queue;
  /// Keys that ran without a claim and whose late claim has not been read back yet.
  std::set<std::string> m_unclaimed;
  std::vector<done_key> m_done;
  std::vector<refused_key> m_refused;
  /// Log time and key of ended runs in order of time, for expiry.
  std::deque<std::pair<std::uint64_t, std::string>> m_ended;
  /// Keys with a stored response, oldest first.
  std::deque<std::string> m_response_order;
  std::size_t m_response_bytes = 0;

  /// The record whose append is in progress.
  std::optional<key_record> m_in_flight;
  std::optional<time_point> m_late_claim_sent;
  std::optional<time_point> m_slot_change_sent;
  time_point m_last_done;
  time_point m_last_keepalive;
  time_point m_last_slot_check{};
  time_point m_last_event;
  time_point m_last_contact;
  /// End of the last pause of this process.
  time_point m_last_resume;
  membership::member_view_ptr m_members;
  std::optional<time_point> m_release_deadline;
  std::vector<waiter_decision> m_decisions;
};

} // namespace pollenyoke::keys
