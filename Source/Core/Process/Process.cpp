#include "Process/Process.h"

#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::process
{

namespace
{

using nlohmann::json;

constexpr std::size_t admin_threads = 16;
constexpr std::size_t max_admin_body_bytes = 65536;

std::string_view name_of(protocol::process_role role)
{
  return role == protocol::process_role::entry ? "entry" : "agent";
}

} // namespace

process_base::process_base(protocol::settings with)
    : m_settings(std::move(with)), m_incarnation(make_incarnation()), m_log(m_settings.platform.log)
{
}

result<void> process_base::start()
{
  if (auto node = start_node(); !node)
  {
    return node;
  }
  make_shared_components();
  if (auto made = make_components(); !made)
  {
    return made;
  }
  m_follower->on_change([this](const log_follower::fleet_state_ptr& state) { on_state(*state); });
  m_members->on_change([this](const membership::member_view_ptr& view) { on_view(*view); });
  m_ready = true;
  m_members->start();
  m_follower->start();
  if (auto started = start_components(); !started)
  {
    return started;
  }
  if (auto admin = start_admin(); !admin)
  {
    return admin;
  }
  log_info(log_category::process, "process started",
           {{"role", name_of(m_settings.role)},
            {"incarnation", m_incarnation.value},
            {"tcp", to_string(tcp_endpoint())},
            {"http", to_string(http_endpoint())},
            {"admin", to_string(admin_endpoint())}});
  return {};
}

result<void> process_base::start_node()
{
  transport::message_handlers handlers;
  handlers.on_frame = [this](transport::connection_id from, const transport::frame& message)
  {
    if (m_ready)
    {
      on_frame(from, message);
    }
  };
  handlers.on_closed = [this](transport::connection_id connection)
  {
    if (m_ready)
    {
      on_closed(connection);
    }
  };
  handlers.on_datagram = [this](const transport::endpoint& from, const transport::frame& message)
  {
    if (m_ready)
    {
      m_members->handle_datagram(from, message);
    }
  };
  handlers.is_short = protocol::is_short;
  auto node = transport::message_node::start(
      {.tcp = m_settings.listen.tcp, .udp = m_settings.listen.udp}, std::move(handlers));
  if (!node)
  {
    return tl::unexpected(node.error());
  }
  m_node = std::move(*node);
  return {};
}

void process_base::make_shared_components()
{
  m_links = std::make_unique<membership::peer_links>(
      *m_node, protocol::hello{m_settings.host, m_incarnation, m_settings.role, m_settings.region,
                               m_settings.failure_domain});
  m_members = std::make_unique<membership::membership>(
      membership::membership::dependencies{m_settings, m_incarnation, *m_node, m_metrics,
                                           [this](protocol::heartbeat& own)
                                           {
                                             describe_self(own);
                                           }});
  m_follower =
      std::make_unique<log_follower::fleet_follower>(log_follower::fleet_follower::dependencies{
          m_settings, *m_node, *m_members, *m_links, m_log, m_metrics});
}

result<void> process_base::start_admin()
{
  auto admin = transport::http_server::start({.listen = m_settings.listen.admin,
                                              .max_threads = admin_threads,
                                              .max_body_bytes = max_admin_body_bytes},
                                             [this](const transport::http_request& request)
                                             { return serve_admin(request); });
  if (!admin)
  {
    return tl::unexpected(admin.error());
  }
  m_admin = std::move(*admin);
  return {};
}

void process_base::stop()
{
  if (m_stopped.exchange(true))
  {
    return;
  }
  stop_serving();
  // No handler may run while the components end.
  m_ready = false;
  if (m_node)
  {
    m_node->stop();
  }
  stop_components();
  if (m_follower)
  {
    m_follower->stop();
  }
  if (m_members)
  {
    m_members->stop();
  }
  if (m_admin)
  {
    m_admin->stop();
  }
}

template <typename Change>
void process_base::change_leaving(const Change& change)
{
  {
    const std::lock_guard lock(m_leaving_mutex);
    change(m_reasons);
    const bool leaving = m_reasons.own_stop || m_reasons.planned || m_reasons.listed;
    if (leaving == m_leaving)
    {
      return;
    }
    // Before the announcement: no request may be admitted once peers know.
    handle_leaving(leaving);
    m_leaving = leaving;
  }
  log_info(log_category::process, m_leaving ? "leaving: no new requests are admitted"
                                            : "no longer leaving: requests are admitted");
  m_members->announce();
}

void process_base::begin_planned_stop()
{
  change_leaving([](leaving_reasons& reasons) { reasons.own_stop = true; });
}

void process_base::on_frame(transport::connection_id from, const transport::frame& message)
{
  if (protocol::type_of(message) == protocol::message_type::hello)
  {
    if (const auto hello = protocol::decode<protocol::hello>(message))
    {
      m_links->handle_hello(from, *hello);
    }
    else
    {
      m_node->close(from);
    }
    return;
  }
  if (!handle_frame(from, message) && !m_follower->handle_frame(from, message))
  {
    m_metrics.add("unexpected_frames_total");
    log_warning(log_category::transport, "unexpected message",
                {{"type", static_cast<int>(message.type)}, {"connection", from}});
  }
}

void process_base::on_closed(transport::connection_id connection)
{
  // First, so that a component that sends again at once opens a new connection.
  m_links->handle_closed(connection);
  handle_closed(connection);
}

void process_base::on_state(const fleet::fleet_state& state)
{
  const bool planned = state.planned_stops.contains(m_settings.host);
  change_leaving([planned](leaving_reasons& reasons) { reasons.planned = planned; });
}

void process_base::on_view(const membership::member_view& view)
{
  const membership::peer* self = view.find(m_settings.host);
  const bool listed = self != nullptr && self->listed.leaving;
  change_leaving([listed](leaving_reasons& reasons) { reasons.listed = listed; });
}

void process_base::describe_self(protocol::heartbeat& own) const
{
  own.leaving = m_leaving;
  own.log_age_ms = static_cast<std::uint32_t>(m_log.age().count());
  if (m_ready)
  {
    own.state_offset = m_follower->state()->offset;
    describe_role(own);
  }
}

transport::http_response process_base::serve_admin(const transport::http_request& request) const
{
  if (!m_ready)
  {
    return transport::error_response(503, "starting or stopping");
  }
  transport::http_response response;
  if (request.path == "/dump")
  {
    response.body = dump().dump(-1, ' ', false, json::error_handler_t::replace);
  }
  else if (request.path == "/metrics")
  {
    response.content_type = "text/plain; version=0.0.4";
    response.body = m_metrics.to_prometheus();
  }
  else if (request.path == "/health")
  {
    response.body = json{{"state", m_leaving ? "leaving" : "serving"}}.dump();
  }
  else
  {
    return transport::error_response(404, "not found; try /dump, /metrics or /health");
  }
  return response;
}

json process_base::dump() const
{
  json out = {{"host", m_settings.host.value},
              {"role", name_of(m_settings.role)},
              {"region", m_settings.region},
              {"failure_domain", m_settings.failure_domain},
              {"incarnation", m_incarnation.value},
              {"leaving", m_leaving.load()},
              {"log_age_ms", m_log.age().count()},
              {"traffic",
               {{"bytes_sent", m_node->bytes_sent()},
                {"bytes_received", m_node->bytes_received()},
                {"connections", m_node->connection_count()}}},
              {"membership", m_members->dump()},
              {"fleet", m_follower->dump()},
              {"metrics", m_metrics.to_json()}};
  dump_role(out);
  return out;
}

transport::endpoint process_base::tcp_endpoint() const
{
  return m_node->tcp_endpoint();
}

transport::endpoint process_base::udp_endpoint() const
{
  return m_node->udp_endpoint();
}

transport::endpoint process_base::admin_endpoint() const
{
  return m_admin->local_endpoint();
}

} // namespace pollenyoke::process
