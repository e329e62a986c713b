#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Keys/KeyTable.h"

/// Simulates the log, the host list and a set of agents without threads or sockets.
namespace pollenyoke::keys::testing
{

using std::chrono::milliseconds;

enum class log_mode
{
  up,
  /// Appends and reads fail.
  down,
  /// Appends take effect, but no response to appends or reads arrives.
  silent,
  /// Appends take effect up to `max_append_delay` later and their responses are lost; reads work.
  delayed,
};

struct key_ground_truth
{
  int runs = 0;
  bool failed = false;
  /// Agent runs that received a request with the key.
  std::set<agent_run> sent_to;
};

struct decision_event
{
  std::string key;
  std::size_t agent = 0;
  key_decision decision;
  /// At the time of the decision: number of runs of the key, and whether the agent owned the slot
  /// according to the log.
  int runs = 0;
  bool by_owner = false;
};

class key_simulation
{
public:
  using time_point = key_table::time_point;
  static constexpr milliseconds outage_threshold{8000};
  static constexpr milliseconds step_time{250};
  static constexpr milliseconds max_append_delay{1000};

  struct agent
  {
    std::unique_ptr<key_table> table;
    agent_run run;
    bool paused = false;
    /// Cannot reach the log.
    bool disconnected = false;
    bool listed = true;
    time_point last_contact{};
    time_point last_step{};
  };

  explicit key_simulation(std::size_t count) : m_agents(count)
  {
    for (std::size_t i = 0; i < count; ++i)
    {
      start(i);
    }
  }

  agent& at(std::size_t index)
  {
    return m_agents.at(index % m_agents.size());
  }
  key_table& table(std::size_t index)
  {
    return *at(index).table;
  }
  time_point now() const
  {
    return m_now;
  }

  void start(std::size_t index)
  {
    agent& a = at(index);
    if (a.table)
    {
      return;
    }
    a = agent{};
    a.run = {host_id{"host" + std::to_string(index % m_agents.size())}, incarnation_id{++m_runs}};
    table_options options;
    options.self = a.run;
    options.service = "booking";
    options.ledger = {86'400'000, static_cast<std::uint64_t>(outage_threshold.count())};
    options.outage_threshold = outage_threshold;
    a.table = std::make_unique<key_table>(options, m_now);
    a.last_contact = m_now;
  }

  void crash(std::size_t index)
  {
    agent& a = at(index);
    if (a.table)
    {
      lost_agents.insert(a.run);
      a.table.reset();
      std::erase_if(running, [&](const auto& r) { return r.first == a.run; });
    }
  }

  void advance(milliseconds time)
  {
    for (milliseconds passed{0}; passed < time; passed += step_time)
    {
      m_now += step_time;
      deliver_delayed_appends();
      for (std::size_t i = 0; i < m_agents.size(); ++i)
      {
        step(i);
      }
    }
  }

  void begin(std::size_t index, const std::string& key, std::string_view body = "body")
  {
    agent& a = at(index);
    if (!a.table || a.paused)
    {
      return;
    }
    ground_truth[key].sent_to.insert(a.run);
    m_waiting[++m_last_waiter_id] = key;
    a.table->begin(m_last_waiter_id, key, sha256(body), m_now);
    collect(index);
  }

  enum class ending
  {
    completed,
    failed,
    not_dispatched,
  };

  /// Ends the n-th running request, unless its agent is paused.
  void end(std::size_t n, ending how)
  {
    if (running.empty())
    {
      return;
    }
    const auto [run, key] = running.at(n % running.size());
    const auto found = std::find_if(m_agents.begin(), m_agents.end(),
                                    [&r = run](const agent& a) { return a.table && a.run == r; });
    if (found == m_agents.end() || found->paused)
    {
      return;
    }
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(n % running.size()));
    switch (how)
    {
    case ending::completed:
      found->table->finished(key, {200, {}, "text/plain", "answer to " + key}, m_now);
      break;
    case ending::failed:
      ground_truth[key].failed = true;
      found->table->failed(key, m_now);
      break;
    case ending::not_dispatched:
      --ground_truth[key].runs;
      found->table->not_dispatched(key, m_now);
      break;
    }
    collect(static_cast<std::size_t>(found - m_agents.begin()));
  }

  void append(const std::string& text)
  {
    m_time_ms = std::max(m_time_ms, time_ms());
    records.push_back({log_offset{records.size() + 1}, m_time_ms, text});
    m_reference_ledger.apply(records.back());
  }

  /// The ledger of a reader that has applied the entire stream.
  const key_ledger& reference_ledger() const
  {
    return m_reference_ledger;
  }
  std::uint64_t largest_gap() const
  {
    return std::max(m_reference_ledger.largest_gap_since(log_offset{}),
                    time_ms() - m_reference_ledger.time_ms());
  }
  /// Decisions for a key, oldest first.
  std::vector<key_decision> decisions(const std::string& key) const
  {
    std::vector<key_decision> found;
    for (const decision_event& t : history)
    {
      if (t.key == key)
      {
        found.push_back(t.decision);
      }
    }
    return found;
  }
  /// A key of a slot that the agent owns.
  std::string key_of(std::size_t index, const std::string& prefix)
  {
    for (int i = 0;; ++i)
    {
      std::string key = prefix + std::to_string(i);
      if (m_reference_ledger.owns(at(index).run, slot_of(key)))
      {
        return key;
      }
    }
  }
  bool owns_any(std::size_t index)
  {
    return at(index).table && !m_reference_ledger.slots_of(at(index).run).empty();
  }
  std::uint64_t time_ms() const
  {
    return 1'000'000 + static_cast<std::uint64_t>(
                           std::chrono::duration_cast<milliseconds>(m_now - m_start).count());
  }

  log_mode mode = log_mode::up;
  std::vector<protocol::stream_record> records;
  std::map<std::string, key_ground_truth> ground_truth;
  std::vector<decision_event> history;
  std::vector<std::pair<agent_run, std::string>> running;
  /// Agent runs that crashed, or whose host was removed from the host list.
  std::set<agent_run> lost_agents;

private:
  membership::member_view_ptr view(std::size_t self) const
  {
    auto current_view = std::make_shared<membership::member_view>();
    current_view->host_list_version = 1;
    for (std::size_t i = 0; i < m_agents.size(); ++i)
    {
      const agent& a = m_agents[i];
      if (!a.listed)
      {
        continue;
      }
      membership::peer p;
      p.listed.host = host_id{"host" + std::to_string(i)};
      p.listed.role = protocol::process_role::agent;
      p.listed.service = "booking";
      p.last_heard = a.last_step;
      p.alive = i != self && a.table && m_now - a.last_step < milliseconds(2000);
      p.log_age_ms = static_cast<std::uint32_t>(
          std::chrono::duration_cast<milliseconds>(a.last_step - a.last_contact).count());
      current_view->peers.push_back(p);
    }
    return current_view;
  }

  void step(std::size_t index)
  {
    agent& a = m_agents[index];
    if (!a.table || a.paused)
    {
      return;
    }
    a.last_step = m_now;
    a.table->members_changed(view(index));
    const bool answers = !a.disconnected && (mode == log_mode::up || mode == log_mode::delayed);
    if (answers)
    {
      log_follower::log_page page;
      const auto from = a.table->next_offset().value - 1;
      const auto first = records.begin() + static_cast<std::ptrdiff_t>(from);
      page.records.assign(first, records.end());
      a.table->records_read(page, true, m_now);
      a.last_contact = m_now;
    }
    a.table->tick(m_now);
    if (const auto to_append = a.table->next_append(m_now))
    {
      a.table->append_ended(to_append->id, send(a, to_append->text), m_now);
    }
    collect(index);
  }

  append_outcome send(const agent& from, const std::string& text)
  {
    if (from.disconnected || mode == log_mode::down)
    {
      return append_outcome::not_appended;
    }
    if (mode == log_mode::delayed)
    {
      m_delayed_appends.emplace_back(m_now + max_append_delay * (text.size() % 4) / 4, text);
      return append_outcome::unknown;
    }
    append(text);
    return mode == log_mode::silent ? append_outcome::unknown : append_outcome::appended;
  }

  void deliver_delayed_appends()
  {
    std::vector<std::pair<time_point, std::string>> later;
    for (auto& delayed_append : m_delayed_appends)
    {
      if (delayed_append.first <= m_now)
      {
        append(delayed_append.second);
      }
      else
      {
        later.push_back(std::move(delayed_append));
      }
    }
    m_delayed_appends = std::move(later);
  }

  void collect(std::size_t index)
  {
    agent& a = at(index);
    for (const waiter_decision& d : a.table->take_decisions())
    {
      const std::string key = m_waiting.at(d.waiter);
      // Each request is decided once: at() throws for a second decision.
      m_waiting.erase(d.waiter);
      history.push_back({key, index, d.decision, ground_truth[key].runs,
                         m_reference_ledger.owns(a.run, slot_of(recorded_key(key)))});
      if (d.decision.action == key_action::run)
      {
        ++ground_truth[key].runs;
        running.emplace_back(a.run, key);
      }
    }
  }

  const time_point m_start{std::chrono::hours(1)};
  time_point m_now = m_start;
  std::uint64_t m_time_ms = 0;
  std::uint64_t m_runs = 0;
  waiter_id m_last_waiter_id = 0;
  std::vector<agent> m_agents;
  std::map<waiter_id, std::string> m_waiting;
  std::vector<std::pair<time_point, std::string>> m_delayed_appends;
  key_ledger m_reference_ledger{{86'400'000, static_cast<std::uint64_t>(outage_threshold.count())}};
};

} // namespace pollenyoke::keys::testing
