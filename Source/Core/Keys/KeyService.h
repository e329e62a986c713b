#pragma once

#include <algorithm>
#include <atomic>
#include <charconv>
#include <concepts>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/TokenBucket.h"
#include "Keys/KeyTable.h"

namespace pollenyoke::keys
{

/// The log operations that key_service uses; satisfied by log_client.
template <typename T>
concept key_log = requires(T log, std::string_view text, log_offset from,
                           std::chrono::milliseconds wait)
{
  {
    log.append(text, text)
    } -> std::same_as<result<protocol::stream_record>>;
  {
    log.read(text, from, std::size_t{}, wait)
    } -> std::same_as<result<log_follower::log_page>>;
  {
    log.age()
    } -> std::same_as<std::chrono::milliseconds>;
};

/// The membership operations that key_service uses.
template <typename T>
concept key_members = requires(const T members)
{
  {
    members.view()
    } -> std::same_as<membership::member_view_ptr>;
};

/// Runs a key_table on three threads: one reads the stream, one appends records, and one passes on
/// the time and the membership.
template <key_log Log, key_members Members>
class key_service
{
public:
  using clock = std::chrono::steady_clock;

  key_service(table_options options, double appends_per_s, Log& log, const Members& members,
              metrics_registry& metrics)
      : m_stream(stream_name(options.service)), m_claim_timeout(options.claim_timeout),
        m_read_wait(std::min(std::chrono::milliseconds(300), options.outage_threshold / 32)),
        m_log(log), m_members(members), m_metrics(metrics),
        m_table(std::move(options), clock::now()),
        m_append_limiter(appends_per_s, std::max(1.0, appends_per_s / 4), clock::now())
  {
  }

  ~key_service()
  {
    stop();
  }

  key_service(const key_service&) = delete;
  key_service& operator=(const key_service&) = delete;
  key_service(key_service&&) = delete;
  key_service& operator=(key_service&&) = delete;

  void start()
  {
    m_threads.emplace_back([this] { read_loop(); });
    m_threads.emplace_back([this] { append_loop(); });
    m_threads.emplace_back([this] { tick_loop(); });
  }

  void stop()
  {
    m_stopping = true;
    m_wake.notify_all();
    for (std::thread& thread : m_threads)
    {
      thread.join();
    }
    m_threads.clear();
    with_table([](key_table& table, clock::time_point) { table.abandon(); });
  }

  void begin(const std::string& key, const digest& body, std::function<void(key_decision)> decided)
  {
    with_table(
        [&](key_table& table, clock::time_point now)
        {
          const waiter_id request = ++m_last_waiter_id;
          m_callbacks.emplace(request, std::move(decided));
          table.begin(request, key, body, now);
        });
  }

  void finished(const std::string& key, stored_response response)
  {
    with_table([&](key_table& table, clock::time_point now)
               { table.finished(key, std::move(response), now); });
  }

  void failed(const std::string& key)
  {
    with_table([&](key_table& table, clock::time_point now) { table.failed(key, now); });
  }

  void not_dispatched(const std::string& key)
  {
    with_table([&](key_table& table, clock::time_point now) { table.not_dispatched(key, now); });
  }

  std::string mint_key()
  {
    const std::lock_guard lock(m_mutex);
    return m_table.mint(make_request_id().low);
  }

  /// Blocks until the slots are released, at most for `drain` plus twice the claim timeout. Returns
  /// whether they are released.
  bool release_slots(std::chrono::milliseconds drain)
  {
    const clock::time_point started = clock::now();
    with_table([&](key_table& table, clock::time_point now) { table.start_release(now + drain); });
    std::unique_lock lock(m_mutex);
    while (!m_stopping && !m_table.is_released())
    {
      const auto elapsed = clock::now() - started;
      const bool nothing_runs = m_table.running() == 0;
      if (elapsed > (nothing_runs ? 2 * m_claim_timeout : drain + 2 * m_claim_timeout))
      {
        log_warning(log_category::keys,
                    "key slots were not released in time: the log is unreachable",
                    {{"stream", m_stream}});
        return false;
      }
      m_wake.wait_for(lock, poll_interval);
    }
    return m_table.is_released();
  }

  /// Returns false while the release is incomplete.
  bool resume()
  {
    bool resumed = false;
    with_table([&](key_table& table, clock::time_point /*now*/) { resumed = table.end_release(); });
    return resumed;
  }

  nlohmann::json dump() const
  {
    const std::lock_guard lock(m_mutex);
    return m_table.dump(clock::now());
  }

private:
  static constexpr std::chrono::milliseconds poll_interval{20};
  static constexpr std::chrono::milliseconds retry_interval{100};
  static constexpr std::size_t page_records = 256;

  /// Calls `work` with the table locked, then releases the lock and runs the callbacks of the
  /// requests that were decided.
  template <typename Work>
  void with_table(Work work)
  {
    std::vector<std::pair<std::function<void(key_decision)>, key_decision>> decided;
    {
      const std::lock_guard lock(m_mutex);
      work(m_table, clock::now());
      for (waiter_decision& decision : m_table.take_decisions())
      {
        const auto found = m_callbacks.find(decision.waiter);
        if (found != m_callbacks.end())
        {
          decided.emplace_back(std::move(found->second), std::move(decision.decision));
          m_callbacks.erase(found);
        }
      }
    }
    m_wake.notify_all();
    for (auto& [callback, decision] : decided)
    {
      count_decision(decision);
      callback(std::move(decision));
    }
  }

  void count_decision(const key_decision& decision)
  {
    switch (decision.action)
    {
    case key_action::run:
      m_metrics.add("keys_runs");
      return;
    case key_action::replay:
      m_metrics.add("keys_replays");
      return;
    case key_action::refuse:
      m_metrics.add("keys_refused");
      return;
    case key_action::unknown:
      m_metrics.add("keys_unknown");
      return;
    }
  }

  bool sleep(std::chrono::milliseconds time)
  {
    std::unique_lock lock(m_mutex);
    if (!m_stopping)
    {
      m_wake.wait_for(lock, time);
    }
    return !m_stopping;
  }

  void read_loop()
  {
    while (!m_stopping)
    {
      log_offset from;
      {
        const std::lock_guard lock(m_mutex);
        from = m_table.next_offset();
      }
      const auto page = m_log.read(m_stream, from, page_records, m_read_wait);
      if (!page && page.error().code == error_code::expired)
      {
        with_table([&](key_table& table, clock::time_point now)
                   { table.records_expired(oldest_offset(page.error(), from), now); });
      }
      else if (!page)
      {
        std::this_thread::sleep_for(retry_interval);
      }
      else
      {
        with_table([&](key_table& table, clock::time_point now)
                   { table.records_read(*page, page->records.size() < page_records, now); });
      }
    }
  }

  /// Extracts the oldest offset from the error message.
  static log_offset oldest_offset(const error& expired, log_offset fallback)
  {
    const std::string& text = expired.message;
    const auto digits = text.find_first_of("0123456789");
    log_offset first = fallback;
    if (digits != std::string::npos)
    {
      std::from_chars(text.data() + digits, text.data() + text.size(), first.value);
    }
    return first;
  }

  void append_loop()
  {
    while (sleep(poll_interval))
    {
      std::optional<append_request> to_append;
      with_table(
          [&](key_table& table, clock::time_point now)
          {
            if (m_append_limiter.available(now) >= 1)
            {
              to_append = table.next_append(now);
            }
            if (to_append)
            {
              m_append_limiter.try_take(1, now);
            }
          });
      if (!to_append)
      {
        continue;
      }
      const auto appended = m_log.append(m_stream, to_append->text);
      const append_outcome outcome = appended ? append_outcome::appended
                                     : appended.error().code == error_code::unavailable
                                         ? append_outcome::not_appended
                                         : append_outcome::unknown;
      m_metrics.add(appended ? "keys_appends" : "keys_appends_failed");
      with_table([&](key_table& table, clock::time_point now)
                 { table.append_ended(to_append->id, outcome, now); });
    }
  }

  void tick_loop()
  {
    std::size_t previously_owned = 0;
    while (!m_stopping)
    {
      std::this_thread::sleep_for(poll_interval);
      membership::member_view_ptr view = m_members.view();
      const clock::time_point last_contact = clock::now() - m_log.age();
      std::size_t owned = 0;
      with_table(
          [&](key_table& table, clock::time_point now)
          {
            table.members_changed(std::move(view));
            table.log_answered(last_contact, now);
            table.tick(now);
            owned = table.owned_slots();
          });
      if (owned != previously_owned)
      {
        log_info(log_category::keys, "number of owned key slots changed",
                 {{"stream", m_stream}, {"slots", owned}, {"before", previously_owned}});
        m_metrics.set("keys_slots_owned", static_cast<double>(owned));
        previously_owned = owned;
      }
    }
  }

  std::string m_stream;
  std::chrono::milliseconds m_claim_timeout;
  std::chrono::milliseconds m_read_wait;
  Log& m_log;
  const Members& m_members;
  metrics_registry& m_metrics;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  key_table m_table;
  token_bucket m_append_limiter;
  std::map<waiter_id, std::function<void(key_decision)>> m_callbacks;
  waiter_id m_last_waiter_id = 0;
  std::atomic<bool> m_stopping{false};
  std::vector<std::thread> m_threads;
};

} // namespace pollenyoke::keys
