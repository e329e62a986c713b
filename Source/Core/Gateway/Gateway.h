#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "AsyncIo/TcpConnection.h"
#include "Gateway/CallerSession.h"
#include "Gateway/GatewayContext.h"

namespace pollenyoke::gateway
{

/// Number of entries, including this one.
struct entry_counts
{
  std::function<std::size_t()> live;
  /// Also counts entries that may still be running although they are unreachable.
  std::function<std::size_t()> possible;
};

/// HTTP gateway: accepts requests of callers and forwards them to backend servers.
class gateway
{
public:
  gateway(async_io::event_loop& loop, const protocol::node_settings& settings, entry_counts counts,
          send_observer on_send, fleet_link link = {});
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  result<void> listen(const transport::endpoint& address);
  std::uint16_t port() const;
  /// Applies a configuration unless a newer one is already in use.
  void set_config(protocol::serving_config config);
  void add_version(const protocol::named_version& version, bool observed);
  void merge_version_ages(const std::vector<peers::version_age>& ages);
  std::vector<peers::version_age> version_ages() const;
  /// Handles the operator's request to send nothing new to the servers of a failure domain, and the
  /// end of it.
  void set_evacuated(const std::string& domain, bool evacuated);
  /// Whether requests to this host name may be restricted to some regions.
  bool restricts_regions(std::string_view host) const;
  void put_backend(const protocol::backend_entry& entry);
  /// `may_return_until`: set if the record may merely have expired; the server stays in use until
  /// then.
  void remove_backend(const std::string& id, std::optional<time_point> may_return_until);
  void update_load(const peers::load_message& load);
  /// See backend_table.
  std::optional<peers::layer_proof> find_proof(const peers::load_message& load) const;
  /// Handles what another entry tells of backend servers. `from`: its address.
  void receive(const peers::peer_message& message, const std::string& from = {});
  /// Content under which servers crash; empty if there is none.
  std::optional<peers::quarantine_digest> quarantine_digest() const;
  bool is_ready() const;
  /// Keeps serving until callers have learned of the stop, drains open requests and then calls
  /// `done`.
  /// `signal_age`: the signal that began the stop may have been sent this long ago.
  void stop(std::function<void()> done, std::chrono::milliseconds signal_age = {});
  std::string metrics_text();

private:
  void accept(async_io::tcp_connection::pointer connection);
  /// Closes connections of callers while these hold more, with the bytes that a request needs, than
  /// the memory of this host allows.
  void enforce_memory_limit(std::size_t more_bytes);
  /// Requests that wait at an engine may begin behind a load of which nothing is known: its layers
  /// are used from the first token on.
  void watch_unseen_loads();
  void check_stopped();
  void end_stop(std::chrono::milliseconds passed);
  void add_leaving(const peers::server_leaving& leaving);
  void add_limit(const peers::server_limit& news);
  void end_quarantined_requests();

  gateway_context m_context;
  async_io::tcp_listener m_listener;
  async_io::timer m_stop_timer;
  async_io::timer m_unseen_load_timer;
  std::set<std::shared_ptr<caller_session>> m_sessions;
  std::function<void()> m_on_stopped;
};

} // namespace pollenyoke::gateway
