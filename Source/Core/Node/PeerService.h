#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/HttpListener.h"
#include "AsyncIo/UdpSocket.h"
#include "Common/BootClock.h"
#include "Peers/HostRecord.h"
#include "Peers/KeyOwner.h"
#include "Peers/LoadRelay.h"
#include "Peers/PeerTable.h"
#include "Protocol/NodeSettings.h"
#include "Rollout/PiecePlan.h"
#include "StateFeed/FeedTiming.h"
#include "StateFeed/RelayPage.h"
#include "platform/StoreClient.h"

namespace pollenyoke::node
{

struct peer_handlers
{
  std::function<state_feed::log_position()> operator_position;
  std::function<void(const state_feed::log_position&)> on_peer_position;
  std::function<std::vector<peers::version_age>()> version_ages;
  std::function<void(const std::vector<peers::version_age>&)> on_version_ages;
  std::function<void(const peers::load_message&)> on_load;
  std::function<void(const peers::send_notice&)> on_send_notice;
  std::function<void(const std::string& ip, const peers::piece_announcement&)> on_announcement;
  std::function<void(const state_feed::changes_request&, const std::string& left_out,
                     std::function<void(std::string)>)>
      serve_changes;
  /// Called once, when this process knows its peers or has waited long enough to hear of them.
  std::function<void()> on_introduced;
  /// Metrics in Prometheus text format.
  std::function<std::string()> metrics;
  /// Answers `GET /piece` and `GET /manifest`; empty where no pieces are held.
  std::function<void(const async_io::message_head&, const async_io::http_listener::responder&)>
      serve_weights;
  /// What other entries tell of backend servers; empty at agents.
  std::function<void(const peers::peer_message&, const std::string& from)> on_entry_message =
      nullptr;
  std::function<std::optional<peers::quarantine_digest>()> quarantine_digest = nullptr;
  /// Proof of an earlier run of the agent for the layers that its report names; empty at agents.
  std::function<std::optional<peers::layer_proof>(const peers::load_message&)> find_proof = nullptr;
  /// Such a proof has arrived, or stands in the store; empty at entries.
  std::function<void(const peers::engine_mark&)> on_proof = nullptr;
};

/// Latest time for news of any topic to reach all processes.
std::chrono::milliseconds news_limit(const protocol::node_settings& settings);

/// Talks with the other processes of the fleet: who is there, load of engines, state and pieces.
class peer_service
{
public:
  peer_service(async_io::event_loop& loop, async_io::http_caller& caller,
               platform::store_client& store, const protocol::node_settings& settings,
               peer_handlers handlers);

  result<void> start();
  void set_leaving();
  void set_has_engine(bool has_engine);
  /// Keeps in the store, for the next start of this process, that the layers of the engine are
  /// proven at this mark.
  void set_proof(const peers::engine_mark& mark);
  /// Tells all entries, those of other failure domains through one of them each.
  void send_load(const peers::load_message& load);
  void send_notice(const std::string& agent_ip, const peers::send_notice& notice);
  void tell_entries(const peers::peer_message& message);
  void tell_entry(const std::string& ip, const peers::peer_message& message);
  /// Entry that issues the permits of a server; empty if it is this one or none is live.
  std::optional<std::string> permit_owner(std::string_view server);
  /// Whether this entry issues them, and no other one can still do so.
  bool may_issue(std::string_view server);
  /// See peers::key_owner.
  std::size_t sharers(std::string_view key, std::size_t most);
  /// Whether this entry is the one among the live entries that is responsible for the key.
  bool owns(std::uint64_t key) const;
  void send_announcement(const std::string& agent_ip, const peers::piece_announcement& news);
  /// See `peers::peer_table::live`.
  std::span<const peers::peer_record> live(peers::peer_role role) const;
  /// Live entries with their regions, for the plan of who hands pieces on.
  std::vector<rollout::rollout_host> relays() const;
  /// The store's list of hosts was read, and all of them were heard of.
  bool has_heard_all() const;
  /// Entries that may be running, this host included: live ones and hosts not heard of yet.
  std::size_t possible_entries() const;
  /// Region of a peer's failure domain.
  const std::string& region_of(const peers::peer_record& peer) const;
  const std::string& domain_of(const peers::peer_record& peer) const;
  /// Entries of this failure domain to ask for state, see peers::reader_order.
  std::vector<std::string> readers() const;
  /// A live entry of any failure domain, another one on each call; empty if none is known.
  std::optional<std::string> next_peer();
  /// Asks one process for changes of a topic.
  void ask_changes(const std::string& ip, const state_feed::changes_request& request,
                   const std::string& left_out,
                   std::function<void(result<state_feed::relay_page>)> done);
  /// This process holds state of all topics.
  void set_has_state();
  /// The store has come back from an older copy, which may lack the record of this host.
  void register_again();

private:
  void gossip();
  void send_gossip();
  void send_gossip_to(const std::vector<std::string>& hosts);
  /// Tells these hosts of this process only.
  void greet(const std::vector<std::string>& hosts);
  void send_to(const std::vector<std::string>& hosts, peers::gossip_message message);
  void send_digest_to(const std::vector<std::string>& hosts);
  void send_to_leaving_entries(const std::string& datagram);
  void receive(std::string_view datagram, const transport::endpoint& from);
  void serve(const async_io::message_head& head, const async_io::http_listener::responder& respond);
  void serve_changes(const async_io::message_head& head,
                     const async_io::http_listener::responder& respond);
  void register_host();
  void take_own_record(const std::string& text);
  void read_hosts();
  void read_hosts_if_due();
  void take_hosts(const state_feed::record_page& page);
  void greet_all();
  void await_introduction();
  bool is_introduced() const;
  /// Permits are assigned by the entries that are live now.
  void observe_entries();
  /// An agent that has restarted gets back what it had proven before.
  void return_proof(const peers::load_message& load, const std::string& agent_ip);
  void pass_on(const peers::load_message& load);
  void send_to_own_domain(const peers::peer_message& message);
  void send_load_batches();

  async_io::event_loop& m_loop;
  async_io::http_caller& m_caller;
  platform::store_client& m_store;
  const protocol::node_settings& m_settings;
  peer_handlers m_handlers;
  std::vector<std::string> m_domains;
  peers::peer_table m_table;
  async_io::udp_socket m_udp;
  async_io::http_listener m_http;
  async_io::timer m_gossip_timer;
  async_io::timer m_register_timer;
  async_io::timer m_hosts_timer;
  async_io::time_point m_started = current_time();
  std::size_t m_next_source = 0;
  std::uint64_t m_load_turn = 0;
  peers::load_relay m_load_relay;
  async_io::timer m_load_relay_timer;
  async_io::timer m_introduction_timer;
  std::optional<async_io::time_point> m_greeted_at;
  async_io::time_point m_hosts_read_at{};
  /// Processes that started at once read the list at different times.
  double m_hosts_read_jitter = 1;
  bool m_registering = false;
  /// Record of this host, and whether it has changed since it was written.
  peers::host_record m_record;
  bool m_record_changed = false;
  /// When this process last wrote the record of its host.
  std::optional<async_io::time_point> m_registered_at;
  peers::key_owner m_permit_owners;
  state_feed::feed_timing m_timing;
};

} // namespace pollenyoke::node
