#pragma once

#include <deque>
#include <functional>
#include <string>

#include "Emulator/DelayedCalls.h"
#include "Emulator/Deployment.h"
#include "Emulator/Recorder.h"
#include "Emulator/StoreService.h"
#include "Emulator/WeightSource.h"

namespace pollenyoke::emulator
{

/// A key of a team, and since when it is in a configuration that was acknowledged.
struct caller_key
{
  std::string team;
  std::string key;
  moment since = 0;
};

/// A route or key that was in some configurations only.
struct changed_item
{
  std::string name;
  std::string team;
  bool removed = false;
};

/// The operator: writes configurations and versions of the weights, and remembers which routes and
/// keys each of them held.
class fleet_operator
{
public:
  fleet_operator(async_io::event_loop& loop, recorder& record, store_service& store,
                 weight_origin& origin, const layout& where, const engine_model& engines);

  /// Adds a route, and removes the oldest added one once there are several.
  void change_routes();
  /// Takes the oldest key from its team and gives the team a new one.
  void change_keys();
  /// Fills the configuration with routes that no one uses.
  void set_idle_routes(unsigned count);
  void name_next_weights();
  /// Writes the configuration as it is now, once more under a new version.
  void publish();

  const protocol::route& base_route(std::size_t index) const
  {
    return m_base_routes[index];
  }
  std::size_t base_route_count() const
  {
    return m_base_routes.size();
  }
  /// Host and time limits of a route for callers that ask whether it is in force.
  protocol::route probe_route(const std::string& name) const;
  /// Keys of the newest configuration, in the order in which they will be revoked.
  const std::vector<caller_key>& keys() const
  {
    return m_keys;
  }
  /// Routes and keys that were added or removed lately.
  const std::deque<changed_item>& changed_routes() const
  {
    return m_changed_routes;
  }
  const std::deque<changed_item>& changed_keys() const
  {
    return m_changed_keys;
  }
  std::uint64_t newest_weights() const
  {
    return m_weights;
  }

private:
  struct pending_write
  {
    std::string key;
    std::string value;
    std::function<void()> on_acknowledged;
  };

  void write(const std::string& key, const std::string& value,
             std::function<void()> on_acknowledged);
  void write_next();
  operator_config make_config(std::uint64_t version) const;

  recorder& m_record;
  store_service& m_store;
  weight_origin& m_origin;
  engine_model m_engines;
  delayed_calls m_later;
  std::vector<protocol::route> m_base_routes;
  std::vector<protocol::service> m_services;
  std::deque<std::string> m_added_routes;
  std::deque<changed_item> m_changed_routes;
  std::deque<changed_item> m_changed_keys;
  std::vector<caller_key> m_keys;
  std::deque<pending_write> m_unwritten;
  unsigned m_idle_routes = 0;
  unsigned m_next_route = 1;
  unsigned m_next_key = 1;
  std::uint64_t m_version = 0;
  std::uint64_t m_weights = 1;
};

} // namespace pollenyoke::emulator
