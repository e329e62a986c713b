#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "Membership/HostListPoller.h"
#include "Membership/Membership.h"

namespace pollenyoke::membership
{

/// State of a membership. Its members are defined in two files: Membership.cpp (host list, view)
/// and Heartbeats.cpp (heartbeats and subscriptions).
class membership::implementation
{
public:
  using clock = std::chrono::steady_clock;
  using milliseconds = std::chrono::milliseconds;

  static constexpr milliseconds longest_tick{200};
  static constexpr milliseconds shortest_tick{5};

  explicit implementation(dependencies with)
      : m_settings(with.settings), m_incarnation(with.incarnation), m_node(with.node),
        m_metrics(with.metrics), m_describe(std::move(with.describe_self)),
        m_control(m_settings.control),
        m_tick(std::clamp(m_control.heartbeat_interval / 4, shortest_tick, longest_tick)),
        m_poller({m_settings, m_metrics, [this] { return current_host_list(); },
                  [this](const host_list& list)
                  {
                    update_host_list(list);
                  }})
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
  member_view_ptr view();
  void update_host_list(const host_list& list);
  void set_planned_stops(std::vector<host_id> hosts);
  void announce();
  bool handle_datagram(const transport::endpoint& from, const transport::frame& message);
  void on_change(std::function<void(member_view_ptr)> callback);
  void set_host_list_polling(polling mode);
  std::shared_ptr<const host_list> current_host_list() const;
  nlohmann::json dump();

private:
  /// What is known of a listed host.
  struct remote
  {
    listed_host listed;
    bool watched = false;
    /// Hosts that pass on its heartbeats; empty if this process subscribes to it directly.
    std::vector<host_id> relays;
    std::size_t relay_attempts = 0;
    /// All relays were silent, so that this process has subscribed to the host itself.
    bool asked_directly = false;
    clock::time_point watched_since{};
    bool subscribe_now = false;
    clock::time_point last_subscribe{};
    clock::time_point last_heard{};
    bool alive = false;
    milliseconds interval{};
    protocol::heartbeat last;
    /// The versions in `last` are those of its hash.
    bool serving_known = false;
  };

  /// Subscriber and the host whose heartbeats it wants.
  using subscription = std::pair<host_id, host_id>;

  struct subscriber
  {
    transport::endpoint address;
    clock::time_point expires;
    clock::time_point next;
    milliseconds interval{};
    std::uint32_t told_hash = 0;
    int told = 0;
    /// Last heartbeat that was passed on, for those about another host.
    clock::time_point relayed{};
  };

  struct datagram
  {
    transport::endpoint to;
    transport::frame message;
  };

  void run();
  protocol::heartbeat describe() const;
  void add_heartbeats(const protocol::heartbeat& self, bool all, clock::time_point now,
                      std::vector<datagram>& out);
  void add_subscriptions(clock::time_point now, std::vector<datagram>& out);
  std::optional<protocol::heartbeat> relayed_heartbeat(const host_id& about, subscriber& to,
                                                       clock::time_point now) const;
  void check_silence(clock::time_point now);
  void handle_heartbeat(protocol::heartbeat message);
  void handle_subscribe(const transport::endpoint& from, const protocol::subscribe& message);
  milliseconds wanted_interval() const;
  void rebuild_view(clock::time_point now);
  peer make_peer(const host_id& host, const remote& from, clock::time_point now) const;
  void send(const std::vector<datagram>& all);

  const protocol::settings& m_settings;
  const incarnation_id m_incarnation;
  transport::message_node& m_node;
  metrics_registry& m_metrics;
  const std::function<void(protocol::heartbeat&)> m_describe;
  const protocol::control_settings& m_control;
  const milliseconds m_tick;

  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::shared_ptr<const host_list> m_list = std::make_shared<const host_list>();
  std::map<host_id, remote> m_remotes;
  std::map<subscription, subscriber> m_subscribers;
  std::set<host_id> m_stops;
  std::size_t m_watched = 0;
  milliseconds m_interval{};
  clock::time_point m_last_check{};
  clock::time_point m_listening_since{};
  bool m_self_leaving = false;
  std::uint32_t m_told_hash = 0;
  bool m_told_leaving = false;
  int m_announcements = 0;
  clock::time_point m_next_announcement{};

  // The view is behind m_remotes: by a change that callbacks are told of, or by load and offsets.
  bool m_changed = true;
  bool m_notify = false;
  bool m_soft_changed = false;
  clock::time_point m_built{};
  member_view_ptr m_view = std::make_shared<const member_view>();

  std::mutex m_callback_mutex;
  std::vector<std::function<void(member_view_ptr)>> m_callbacks;

  std::thread m_thread;
  host_list_poller m_poller;
};

} // namespace pollenyoke::membership
