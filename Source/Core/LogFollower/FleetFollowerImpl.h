#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "LogFollower/FleetFollower.h"
#include "LogFollower/StateReplica.h"
#include "Membership/PushTree.h"

namespace pollenyoke::log_follower
{

/// State of a follower. Its members are defined in four files: FleetFollower.cpp (life cycle and
/// appends), FleetDistribution.cpp (control thread), FleetMessages.cpp (messages of peers) and
/// FleetReader.cpp (reader thread, checkpoints).
class fleet_follower::implementation
{
public:
  using clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;
  using member_view_ptr = membership::member_view_ptr;
  using host_list_ptr = std::shared_ptr<const membership::host_list>;

  static constexpr std::size_t page_records = 256;
  // One push or reply; larger amounts are sent in several messages.
  static constexpr std::size_t max_message_bytes = std::size_t{128} * 1024;
  static constexpr milliseconds control_tick{100};
  static constexpr milliseconds first_backoff{100};

  explicit implementation(dependencies with)
      : m_settings(with.settings), m_control(m_settings.control), m_node(with.node),
        m_members(with.members), m_links(with.links), m_log(with.log), m_metrics(with.metrics)
  {
  }

  ~implementation()
  {
    stop();
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;
  implementation(implementation&&) = delete;
  implementation& operator=(implementation&&) = delete;

  void start();
  void stop();
  fleet_state_ptr state() const;
  void on_change(std::function<void(fleet_state_ptr)> callback);
  result<log_offset> append(protocol::record_body body, milliseconds patience);
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  nlohmann::json dump() const;

private:
  // Control thread: distribution to and from peers, callbacks.
  void run_control();
  void update_host_list();
  void update_role(const member_view_ptr& view, clock::time_point now);
  void publish_state();
  void push_records(const member_view_ptr& view, clock::time_point now);
  void push_host_list(const member_view_ptr& view, const host_list_ptr& before);
  void fetch_if_behind(const member_view_ptr& view, clock::time_point now);
  void close_unused_links(clock::time_point now);
  std::vector<host_id> push_targets(const member_view_ptr& view) const;
  bool send(const member_view_ptr& view, const host_id& to, const transport::frame& message);

  // Reader thread: reads the log and writes checkpoints.
  void run_reader();
  bool may_read(clock::time_point now);
  result<std::size_t> read_log(milliseconds wait);
  result<void> start_from_checkpoint(log_offset first);
  void check_end_of_log(const log_page& page, log_offset from);
  void report_log(bool reachable);
  void write_checkpoint_if_due(clock::time_point now);
  milliseconds checkpoint_delay(log_offset last_checkpoint) const;

  void handle_push(transport::connection_id from, const protocol::state_push& message);
  void handle_fetch(transport::connection_id from, const protocol::state_fetch& message);
  void handle_reply(const protocol::state_reply& message);
  bool take_host_list(std::string_view text);
  std::string host_list_for(transport::connection_id to, std::uint64_t version) const;
  template <typename Change>
  bool change_replica(const Change& change);

  const protocol::settings& m_settings;
  const protocol::control_settings& m_control;
  transport::message_node& m_node;
  membership::membership& m_members;
  membership::peer_links& m_links;
  log_client& m_log;
  metrics_registry& m_metrics;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  bool m_changed = false;
  state_replica m_replica;
  membership::push_tree m_tree;
  bool m_has_host_list = false;
  bool m_reader = false;
  bool m_root = false;
  membership::polling m_poll_mode = membership::polling::off;
  clock::time_point m_last_contact = clock::now();
  clock::time_point m_next_fetch{};
  clock::time_point m_fetch_since{};
  bool m_behind = false;
  std::size_t m_fetch_attempts = 0;
  std::deque<host_list_ptr> m_host_lists;
  std::vector<std::function<void(fleet_state_ptr)>> m_callbacks;

  // Used by the control thread only.
  fleet_state_ptr m_published;
  log_offset m_pushed;
  clock::time_point m_last_push{};
  struct used_link
  {
    transport::connection_id connection = 0;
    clock::time_point last_used;
  };
  std::map<host_id, used_link> m_used_links;

  // Used by the reader thread only.
  clock::time_point m_last_orphan_read{};
  log_offset m_log_first;
  bool m_caught_up = false;
  bool m_log_reachable = true;
  bool m_log_behind_reported = false;
  bool m_no_checkpoint_reported = false;
  log_offset m_checkpoint_seen;
  clock::time_point m_checkpoint_time = clock::now();
  clock::time_point m_checkpoint_due{};
  bool m_checkpoint_waiting = false;

  std::thread m_control_thread;
  std::thread m_reader_thread;
};

template <typename Change>
bool fleet_follower::implementation::change_replica(const Change& change)
{
  {
    const std::lock_guard lock(m_mutex);
    if (!change(m_replica))
    {
      return false;
    }
    m_changed = true;
  }
  m_wake.notify_all();
  return true;
}

} // namespace pollenyoke::log_follower
