#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "AsyncIo/TcpConnection.h"
#include "Gateway/CallerSession.h"
#include "Gateway/GatewayContext.h"

namespace pollenyoke::gateway
{

/// Numbers of entries, this one included.
struct entry_counts
{
  std::function<std::size_t()> live;
  /// Those that may be running although nothing is heard of them, too.
  std::function<std::size_t()> possible;
};

/// Takes requests of callers and answers them through backend servers.
class gateway
{
public:
  gateway(async_io::event_loop& loop, const protocol::node_settings& settings, entry_counts counts,
          send_observer on_send);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  gateway(gateway&&) = delete;
  gateway& operator=(gateway&&) = delete;

  result<void> listen(const transport::endpoint& address);
  std::uint16_t port() const;
  /// Puts a configuration in force unless a newer one is.
  void set_config(protocol::serving_config config);
  void name_version(const protocol::named_version& version, bool witnessed);
  void take_version_ages(const std::vector<peers::version_age>& ages);
  std::vector<peers::version_age> version_ages() const;
  void put_backend(const protocol::backend_entry& entry);
  /// `may_return_until`: the record may only have lapsed; the server stays in use until then.
  void remove_backend(const std::string& id, std::optional<time_point> may_return_until);
  void take_load(const peers::load_message& load);
  bool is_ready() const;
  /// Serves on for a while, ends what is in progress and calls `done`.
  void stop(std::function<void()> done);
  std::string metrics_text() const;

private:
  void accept(async_io::tcp_connection::pointer connection);
  void check_stopped();

  gateway_context m_context;
  async_io::tcp_listener m_listener;
  async_io::timer m_stop_timer;
  std::set<std::shared_ptr<caller_session>> m_sessions;
  std::function<void()> m_on_stopped;
  async_io::time_point m_stop_began;
};

} // namespace pollenyoke::gateway
