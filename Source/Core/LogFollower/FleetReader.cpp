#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "LogFollower/FleetFollowerImpl.h"

namespace pollenyoke::log_follower
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds longest_backoff{2000};
// Readers of different domains write checkpoints one after another, so that normally one is
// written.
constexpr milliseconds checkpoint_stagger{2000};
constexpr milliseconds checkpoint_retry{5000};

} // namespace

bool fleet_follower::implementation::may_read(clock::time_point now)
{
  const std::lock_guard lock(m_mutex);
  if (m_reader)
  {
    return true;
  }
  m_caught_up = false;
  if (now - m_last_contact <= m_control.orphan_timeout ||
      now - m_last_orphan_read <= m_control.orphan_timeout)
  {
    return false;
  }
  m_last_orphan_read = now;
  return true;
}

void fleet_follower::implementation::run_reader()
{
  milliseconds backoff = first_backoff;
  while (true)
  {
    const bool read = may_read(clock::now());
    milliseconds pause = control_tick;
    if (read)
    {
      const auto started = clock::now();
      const auto count = read_log(m_control.log_poll_wait);
      report_log(count.has_value());
      backoff = count ? first_backoff : std::min(backoff * 2, longest_backoff);
      // A log that answers without records and without waiting is not polled in a tight loop.
      const bool waited = clock::now() - started > m_control.log_poll_wait / 2;
      pause = !count ? backoff : *count > 0 || waited ? milliseconds(0) : control_tick;
      if (count)
      {
        m_caught_up = *count < page_records;
        write_checkpoint_if_due(clock::now());
      }
    }
    std::unique_lock lock(m_mutex);
    if (m_wake.wait_for(lock, pause, [this] { return m_stopping; }))
    {
      return;
    }
  }
}

void fleet_follower::implementation::report_log(bool reachable)
{
  // An outage is reported once it is longer than a restart of the log service.
  if (reachable == m_log_reachable ||
      (!reachable && m_log.age() < m_settings.keys.log_outage_threshold))
  {
    return;
  }
  m_log_reachable = reachable;
  reachable
      ? log_info(log_category::log, "log is reachable again")
      : log_warning(log_category::log, "log is not reachable; accepted state stays in effect");
}

result<std::size_t> fleet_follower::implementation::read_log(milliseconds wait)
{
  const log_offset from{state()->offset.value + 1};
  auto page = m_log.read(protocol::fleet_stream, from, page_records, wait);
  if (!page)
  {
    if (page.error().code != error_code::expired)
    {
      return tl::unexpected(page.error());
    }
    const log_offset first{std::stoull(page.error().message)};
    if (auto started = start_from_checkpoint(first); !started)
    {
      return tl::unexpected(started.error());
    }
    return page_records;
  }
  check_end_of_log(*page, from);
  m_log_first = page->first;
  change_replica([&](state_replica& replica) { return replica.take_run(from, page->records); });
  return page->records.size();
}

void fleet_follower::implementation::check_end_of_log(const log_page& page, log_offset from)
{
  const bool behind = page.records.empty() && page.next < from;
  if (behind && !std::exchange(m_log_behind_reported, true))
  {
    log_error(log_category::log,
              "the log ends before the folded state: it has lost accepted records",
              {{"log_next", page.next.value}, {"state_offset", from.value - 1}});
  }
  m_log_behind_reported = behind;
}

result<void> fleet_follower::implementation::start_from_checkpoint(log_offset first)
{
  std::vector<protocol::stream_record> records;
  std::optional<fleet::fleet_state> newest;
  log_offset next = first;
  while (true)
  {
    auto page = m_log.read(protocol::fleet_stream, next, page_records, milliseconds(0));
    if (!page)
    {
      return tl::unexpected(page.error());
    }
    if (page->records.empty())
    {
      break;
    }
    for (protocol::stream_record& record : page->records)
    {
      next.value = record.offset.value + 1;
      auto state = checkpoint_state(record);
      records.push_back(without_checkpoint_state(std::move(record)));
      // Every record after the checkpoint's offset must still be there.
      if (state && state->offset.value + 1 >= first.value)
      {
        newest = std::move(state);
        std::erase_if(records, [&newest](const protocol::stream_record& one)
                      { return one.offset <= newest->offset; });
      }
    }
  }
  if (!newest)
  {
    if (!std::exchange(m_no_checkpoint_reported, true))
    {
      log_error(log_category::log,
                "records have expired from the log and it holds no checkpoint; waiting for the "
                "state of a peer",
                {{"oldest_offset", first.value}});
    }
    return fail(error_code::expired, "log: no checkpoint");
  }
  m_no_checkpoint_reported = false;
  const log_offset start{newest->offset.value + 1};
  log_info(log_category::log, "state starts from a checkpoint", {{"offset", start.value - 1}});
  change_replica(
      [&](state_replica& replica)
      {
        const bool taken = replica.take_state(std::move(*newest));
        return replica.take_run(start, records) || taken;
      });
  return {};
}

milliseconds fleet_follower::implementation::checkpoint_delay(log_offset last_checkpoint) const
{
  const std::lock_guard lock(m_mutex);
  std::set<std::string> domains = {m_settings.failure_domain};
  if (!m_host_lists.empty())
  {
    for (const membership::listed_host& host : m_host_lists.back()->hosts)
    {
      domains.insert(host.failure_domain);
    }
  }
  const std::vector<std::string> names(domains.begin(), domains.end());
  const auto order = rendezvous_order("checkpoint/" + std::to_string(last_checkpoint.value), names);
  const auto own =
      std::find_if(order.begin(), order.end(),
                   [&](std::size_t index) { return names[index] == m_settings.failure_domain; });
  return checkpoint_stagger * (2 * (own - order.begin()) + (m_root ? 0 : 1));
}

void fleet_follower::implementation::write_checkpoint_if_due(clock::time_point now)
{
  const fleet_state_ptr current = state();
  const std::uint64_t end = current->offset.value;
  const std::uint64_t last = current->last_checkpoint.value;
  const std::uint64_t first = m_log_first.value;
  if (current->last_checkpoint != std::exchange(m_checkpoint_seen, current->last_checkpoint))
  {
    m_checkpoint_time = now;
    m_checkpoint_waiting = false;
  }
  // Without records expiring, a checkpoint bounds the records that a new process reads. Once they
  // expire, the newest checkpoint must be in the younger half of what the log still holds.
  const bool due = m_caught_up && end > 0 &&
                   (end - last >= m_control.checkpoint_records ||
                    now - m_checkpoint_time > m_control.checkpoint_interval ||
                    (first > 1 && last < end && last < first + (end - std::min(end, first)) / 2));
  if (!due)
  {
    m_checkpoint_waiting = false;
    return;
  }
  if (!std::exchange(m_checkpoint_waiting, true))
  {
    m_checkpoint_due = now + checkpoint_delay(current->last_checkpoint);
  }
  if (now < m_checkpoint_due)
  {
    return;
  }
  m_checkpoint_due = now + checkpoint_retry;
  std::string text = fleet::to_json(*current).dump();
  const digest text_digest = sha256(text);
  // Equal checkpoints of two writers have equal ids, so that the second one is dropped.
  const auto appended = m_log.append(
      protocol::fleet_stream,
      protocol::format_log_record(
          {"checkpoint-" + std::to_string(end),
           protocol::checkpoint_record{current->offset, text_digest, std::move(text)}}));
  m_metrics.add(appended ? "fleet_checkpoints" : "fleet_checkpoint_failures");
}

} // namespace pollenyoke::log_follower
