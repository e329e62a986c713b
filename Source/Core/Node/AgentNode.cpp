#include "Node/AgentNode.h"

#include <algorithm>
#include <limits>
#include <random>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Node/OperatorRecords.h"
#include "Node/PeerService.h"
#include "Node/ProcessMonitor.h"
#include "Rollout/ReadBacklog.h"
#include "Rollout/RolloutAgent.h"
#include "StateFeed/StateFollower.h"
#include "platform/Decode.h"
#include "platform/Names.h"
#include "platform/StoreClient.h"

namespace pollenyoke::node
{

namespace
{

class agent_node
{
public:
  explicit agent_node(const protocol::node_settings& settings)
      : m_settings(settings), m_caller(m_loop), m_monitor(m_loop, m_caller),
        m_store(m_caller, settings.store),
        m_peers(m_loop, m_caller, m_store, settings, make_peer_handlers()),
        m_feed(m_loop, m_store, make_feed_handlers(), false, state_feed::store_use::last_resort,
               settings.backend_heartbeat, state_feed::make_feed_timing(news_limit(settings))),
        m_rollout(make_environment(), *settings.engine, make_rollout_handlers())
  {
  }

  result<void> run()
  {
    auto started = m_peers.start();
    if (!started)
    {
      return started;
    }
    m_loop.watch_signals(
        [this](async_io::process_signal signal)
        {
          if (signal != async_io::process_signal::reload)
          {
            log_info(log_category::process, "planned stop");
            m_peers.set_leaving();
            m_loop.stop();
            return;
          }
          log_info(log_category::process, "reload requested; settings apply at the next start");
        });
    m_monitor.start();
    m_rollout.start();
    m_loop.run();
    m_loop.block_signals();
    return {};
  }

private:
  peer_handlers make_peer_handlers()
  {
    return {.operator_position = [this] { return m_feed.operator_position(); },
            .on_peer_position = [this](const state_feed::log_position& position)
            { m_feed.note_peer_position(position); },
            .version_ages = [] { return std::vector<peers::version_age>{}; },
            .on_version_ages = [](const std::vector<peers::version_age>&) {},
            .on_load = [](const peers::load_message&) {},
            .on_send_notice = [this](const peers::send_notice& notice)
            { m_backlog.add(notice.prompt_tokens, current_time()); },
            .on_announcement = [this](const std::string& ip, const peers::piece_announcement& news)
            { m_rollout.handle_announcement(ip, news); },
            .serve_changes = [this](const state_feed::changes_request& request,
                                    const std::string& left_out,
                                    std::function<void(std::string)> respond)
            { m_feed.serve_changes(request, left_out, std::move(respond)); },
            .on_introduced = [this] { m_feed.start(); },
            .metrics = [this] { return m_metrics.to_prometheus(); },
            .serve_weights =
                [this](const async_io::message_head& head,
                       const async_io::http_listener::responder& respond)
            {
              if (async_io::path_of(head.target) == "/manifest")
              {
                m_rollout.serve_manifest(head, respond);
                return;
              }
              m_rollout.serve_piece(head, respond);
            },
            .on_proof =
                [this](const peers::engine_mark& proof)
            {
              m_rollout.add_proof(proof);
            }};
  }

  state_feed::feed_handlers make_feed_handlers()
  {
    return {
        .on_operator_record = [this](const state_feed::record& change)
        { take_operator_record(change); },
        .on_backend_record = [](const state_feed::record&, std::optional<async_io::time_point>) {},
        .on_initialized = [] {},
        .readers = [this] { return m_peers.readers(); },
        .next_peer = [this] { return m_peers.next_peer(); },
        .ask =
            [this](const std::string& ip, const state_feed::changes_request& request, auto done)
        {
          // Configurations are large and change often; one tells all that an agent needs.
          const std::string left_out =
              m_model.empty() ? std::string{} : std::string(platform::names::config_key);
          m_peers.ask_changes(ip, request, left_out, std::move(done));
        },
        .on_store_restored = [this] { m_peers.register_again(); },
        .is_older_operator_record = is_older_operator_record};
  }

  rollout::fetch_environment make_environment()
  {
    return {.loop = m_loop,
            .caller = m_caller,
            .self = m_settings.ip,
            .peer_port = m_settings.peer_port,
            .uplink_bytes_per_s =
                m_settings.link_mbit_per_s * 1e6 / 8 * rollout::piece_uplink_fraction,
            .version_limit = m_settings.version_limit,
            .region = m_settings.region,
            .hosts = [this] { return plan_hosts(); },
            .relays = [this] { return m_peers.relays(); },
            .has_heard_all = [this] { return m_peers.has_heard_all(); },
            .origin = [this] { return m_origin; },
            .announce =
                [this](const std::string& ip, const peers::piece_announcement& news)
            {
              m_peers.send_announcement(ip, news);
            }};
  }

  rollout::rollout_handlers make_rollout_handlers()
  {
    return {.on_report =
                [this](const protocol::engine_report& report, const rollout::engine_state& state)
            {
              m_peers.set_has_engine(true);
              send_load(report, state);
            },
            .on_engine_lost = [this] { m_peers.set_has_engine(false); },
            .on_proven =
                [this](const peers::engine_mark& mark)
            {
              m_peers.set_proof(mark);
            }};
  }

  std::vector<rollout::rollout_host> plan_hosts() const
  {
    std::vector<rollout::rollout_host> hosts;
    for (const auto& peer : m_peers.live(peers::peer_role::agent))
    {
      if (peer.has_engine)
      {
        hosts.push_back({peer.ip, m_peers.region_of(peer)});
      }
    }
    return hosts;
  }

  void take_operator_record(const state_feed::record& change)
  {
    auto record = read_operator_record(change);
    if (!record)
    {
      return;
    }
    if (const auto* config = std::get_if<protocol::serving_config>(&*record))
    {
      take_config(*config);
    }
    if (const auto* version = std::get_if<protocol::named_version>(&*record))
    {
      // The version record may come before the configuration that names the engine's model.
      m_versions[version->model] = std::max(m_versions[version->model], version->version);
      name_own_version();
    }
  }

  void take_config(const protocol::serving_config& config)
  {
    const auto service = config.services.find(m_settings.service);
    if (service != config.services.end() && service->second.engine)
    {
      m_model = service->second.model;
      m_shape = {service->second.engine->layers, service->second.engine->chunks};
      m_rollout.set_model(m_model, m_shape);
      m_backlog.set_rate(service->second.engine->prompt_tokens_per_s);
    }
    if (const auto* origin = find_origin(config))
    {
      m_origin = *origin->origin;
    }
    name_own_version();
  }

  void name_own_version()
  {
    const auto version = m_versions.find(m_model);
    if (!m_model.empty() && version != m_versions.end())
    {
      m_rollout.add_version({m_model, version->second});
    }
  }

  void send_load(const protocol::engine_report& report, const rollout::engine_state& state)
  {
    const bool whole =
        report.weight_version != 0 && protocol::holds_all(report.layers, m_shape.layers);
    const auto part =
        whole ? protocol::layer_range{} : report.layers.value_or(protocol::layer_range{});
    m_peers.send_load({.engine = transport::to_string(*m_settings.engine),
                       .waiting = report.waiting,
                       .running = report.running,
                       .unread_tokens = m_backlog.unread(current_time()),
                       .weight_version = whole ? report.weight_version : 0,
                       .part_version = part.is_empty() ? 0 : report.weight_version,
                       .part_from = part.from,
                       .part_to = part.to,
                       .loading = state.loading,
                       .leaving = report.leaving,
                       .load_in_ms = static_cast<std::uint32_t>(
                           state.load_in.value_or(std::chrono::milliseconds(0)).count()),
                       .pace = static_cast<float>(report.pace),
                       .mark = {report.started_ms, report.orders},
                       .proven = state.proven,
                       .stamp = {.run = m_run,
                                 .made_ms = static_cast<std::uint32_t>(
                                     std::chrono::duration_cast<std::chrono::milliseconds>(
                                         state.asked.time_since_epoch())
                                         .count())}});
  }

  const protocol::node_settings& m_settings;
  async_io::event_loop m_loop;
  async_io::http_caller m_caller;
  process_monitor m_monitor;
  platform::store_client m_store;
  peer_service m_peers;
  state_feed::state_follower<platform::store_client> m_feed;
  transport::endpoint m_origin;
  std::string m_model;
  rollout::weight_shape m_shape;
  std::map<std::string, std::uint64_t> m_versions;
  rollout::rollout_agent m_rollout;
  rollout::read_backlog m_backlog;
  /// Tells the load reports of this run from those of the one before; not 0.
  const std::uint16_t m_run = static_cast<std::uint16_t>(
      1 + std::random_device{}() % std::numeric_limits<std::uint16_t>::max());
  metrics_registry m_metrics;
};

} // namespace

result<void> run_agent(const protocol::node_settings& settings)
{
  return agent_node(settings).run();
}

} // namespace pollenyoke::node
