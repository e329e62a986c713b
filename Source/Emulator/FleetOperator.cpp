#include "Emulator/FleetOperator.h"

#include <algorithm>

#include "Common/Log.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::milliseconds;

// Versions increase in uneven steps.
constexpr std::uint64_t max_version_step = 3;
constexpr std::size_t max_added_routes = 4;
// Changes that callers still ask for.
constexpr std::size_t remembered_changes = 6;
constexpr unsigned team_count = 4;
constexpr unsigned keys_per_team = 2;
constexpr milliseconds retry_delay{100};
constexpr unsigned max_connections = 800;

protocol::route make_route(const std::string& name, std::string_view service)
{
  protocol::route out;
  out.name = name;
  out.host = host_name;
  out.path_prefix = "/" + name + "/";
  out.timeout = milliseconds(2000);
  out.objective = milliseconds(200);
  out.targets = {{std::string(service), 1}};
  return out;
}

protocol::route make_idempotent_route(const std::string& name)
{
  protocol::route out = make_route(name, desk_service);
  out.repeat = protocol::repeat_rule::idempotent;
  out.max_attempts = 2;
  return out;
}

protocol::route make_stream_route(const std::string& name)
{
  protocol::route out = make_route(name, model_service);
  out.streaming = true;
  out.repeat = protocol::repeat_rule::idempotent;
  out.max_attempts = 2;
  out.timeout = milliseconds(6000);
  out.objective = milliseconds(500);
  return out;
}

} // namespace

fleet_operator::fleet_operator(async_io::event_loop& loop, recorder& record, store_service& store,
                               weight_origin& origin, const layout& where,
                               const engine_model& engines)
    : m_record(record), m_store(store), m_origin(origin), m_engines(engines),
      m_later(loop), m_base_routes{make_stream_route("draft"), make_stream_route("summary"),
                                   make_route("reserve", desk_service),
                                   make_idempotent_route("stock")}
{
  protocol::service models;
  models.name = model_service;
  models.model = model_name;
  models.health_path = "/health";
  models.max_connections = max_connections;
  protocol::service desk = models;
  desk.name = desk_service;
  desk.model.clear();
  protocol::service weights;
  weights.name = origin_service;
  weights.origin = where.origin;
  weights.origin_domain = where.machines.front().domain;
  weights.max_connections = max_connections;
  m_services = {models, desk, weights};
  for (unsigned i = 0; i < team_count * keys_per_team; ++i)
  {
    m_keys.push_back(
        {"team-" + std::to_string(i % team_count), "key-" + std::to_string(m_next_key++), 0});
  }
}

protocol::route fleet_operator::probe_route(const std::string& name) const
{
  return make_idempotent_route(name);
}

void fleet_operator::change_routes()
{
  const std::string added = "added-" + std::to_string(m_next_route++);
  m_added_routes.push_back(added);
  m_changed_routes.push_back({added, "", false});
  if (m_added_routes.size() > max_added_routes)
  {
    const std::string removed = m_added_routes.front();
    m_added_routes.pop_front();
    for (changed_item& item : m_changed_routes)
    {
      item.removed = item.removed || item.name == removed;
    }
  }
  while (m_changed_routes.size() > remembered_changes)
  {
    m_changed_routes.pop_front();
  }
  publish();
}

void fleet_operator::change_keys()
{
  const caller_key removed = m_keys.front();
  m_keys.erase(m_keys.begin());
  m_keys.push_back({removed.team, "key-" + std::to_string(m_next_key++), m_record.now()});
  m_changed_keys.push_back({removed.key, removed.team, true});
  while (m_changed_keys.size() > remembered_changes)
  {
    m_changed_keys.pop_front();
  }
  publish();
}

void fleet_operator::set_idle_routes(unsigned count)
{
  m_idle_routes = count;
  publish();
}

operator_config fleet_operator::make_config(std::uint64_t version) const
{
  operator_config out{version, m_base_routes, m_services, {}};
  for (const std::string& name : m_added_routes)
  {
    out.routes.push_back(make_idempotent_route(name));
  }
  for (unsigned i = 0; i < m_idle_routes; ++i)
  {
    out.routes.push_back(make_idempotent_route("idle-" + std::to_string(i)));
  }
  for (unsigned team = 0; team < team_count; ++team)
  {
    const std::string name = "team-" + std::to_string(team);
    std::vector<std::string> keys;
    for (const caller_key& key : m_keys)
    {
      if (key.team == name)
      {
        keys.push_back(key.key);
      }
    }
    out.keys_by_team.emplace_back(name, keys);
  }
  return out;
}

void fleet_operator::publish()
{
  const std::uint64_t version = m_version += 1 + m_version % max_version_step;
  const operator_config config = make_config(version);
  config_change change{.version = version, .sent = m_record.now()};
  for (const protocol::route& route : config.routes)
  {
    change.routes.insert(route.name);
  }
  for (const auto& [team, keys] : config.keys_by_team)
  {
    change.keys.insert(keys.begin(), keys.end());
  }
  write(std::string(platform::names::config_key), encode_config(config, m_engines),
        [this, change]
        {
          config_change done = change;
          done.acknowledged = m_record.now();
          m_record.seen().configs.push_back(std::move(done));
        });
}

void fleet_operator::name_next_weights()
{
  const std::uint64_t version = ++m_weights;
  m_origin.set_newest(version);
  write("version/" + std::string(model_name),
        encode_named_version({std::string(model_name), version}),
        [this, version]
        {
          log_info(log_category::weights, "operator named a version", {{"version", version}});
          m_record.seen().weights.push_back({version, m_record.now()});
        });
}

void fleet_operator::write(const std::string& key, const std::string& value,
                           std::function<void()> on_acknowledged)
{
  m_unwritten.push_back({key, value, std::move(on_acknowledged)});
  if (m_unwritten.size() == 1)
  {
    write_next();
  }
}

/// Writes in order, each record until the store acknowledges it.
void fleet_operator::write_next()
{
  while (!m_unwritten.empty())
  {
    const pending_write& next = m_unwritten.front();
    if (!m_store.put(std::string(platform::names::operator_topic), next.key, next.value))
    {
      m_later.after(retry_delay, [this] { write_next(); });
      return;
    }
    next.on_acknowledged();
    m_unwritten.pop_front();
  }
}

} // namespace pollenyoke::emulator
