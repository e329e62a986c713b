#include "Node/EntryNode.h"

#include <algorithm>
#include <random>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Gateway/Gateway.h"
#include "Node/OperatorRecords.h"
#include "Node/PeerService.h"
#include "Node/ProcessMonitor.h"
#include "Node/StopSignals.h"
#include "Peers/LookupOrder.h"
#include "Rollout/PieceRelay.h"
#include "Rollout/SettleRule.h"
#include "StateFeed/StateFollower.h"
#include "platform/Decode.h"
#include "platform/Names.h"
#include "platform/StoreClient.h"

namespace pollenyoke::node
{

namespace
{

using std::chrono::milliseconds;

// Callers keep a lookup answer up to three times as long; a short lifetime lets them hear soon of
// entries that come and go.
constexpr std::chrono::seconds lookup_lifetime{2};
constexpr std::size_t max_lookup_addresses = 64;

class entry_node
{
public:
  explicit entry_node(const protocol::node_settings& settings)
      : m_settings(settings), m_caller(m_loop), m_monitor(m_loop, m_caller),
        m_store(m_caller, settings.store),
        m_peers(m_loop, m_caller, m_store, settings, make_peer_handlers()),
        m_feed(m_loop, m_store, make_feed_handlers(), true, state_feed::store_use::direct,
               settings.backend_heartbeat, state_feed::make_feed_timing(news_limit(settings))),
        m_gateway(
            m_loop, settings,
            {.live = [this] { return m_peers.live(peers::peer_role::entry).size(); },
             .possible =
                 [this]
             {
               return m_peers.possible_entries();
             }},
            [this](const std::string& host, std::uint32_t prompt_tokens)
            { m_peers.send_notice(host, {.prompt_tokens = prompt_tokens}); },
            {.tell_entries = [this](const peers::peer_message& message)
             { m_peers.tell_entries(message); },
             .owns = [this](std::uint64_t key) { return m_peers.owns(key); },
             .tell_entry = [this](const std::string& ip, const peers::peer_message& message)
             { m_peers.tell_entry(ip, message); },
             .permit_owner = [this](std::string_view server)
             { return m_peers.permit_owner(server); },
             .may_issue = [this](std::string_view server) { return m_peers.may_issue(server); },
             .sharers =
                 [this](std::string_view server, std::size_t most)
             {
               return m_peers.sharers(server, most);
             }}),
        m_relay(make_relay_environment()),
        m_readiness(m_loop, [this](const auto& head, const auto& respond)
                    { serve_readiness(head, respond); }),
        m_lookup(m_loop,
                 [this](const auto& head, const auto& respond) { serve_lookup(head, respond); })
  {
  }

  result<void> run()
  {
    m_loop.watch_signals([this](async_io::process_signal signal) { handle_signal(signal); });
    m_monitor.start();
    auto started = m_peers.start()
                       .and_then([this] { return m_readiness.listen(*m_settings.readiness); })
                       .and_then([this] { return m_lookup.listen(*m_settings.lookup); })
                       .and_then([this] { return m_gateway.listen(*m_settings.callers); });
    if (!started)
    {
      return started;
    }
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
            .version_ages = [this] { return m_gateway.version_ages(); },
            .on_version_ages = [this](const std::vector<peers::version_age>& ages)
            { m_gateway.merge_version_ages(ages); },
            .on_load = [this](const peers::load_message& load) { m_gateway.update_load(load); },
            .on_send_notice = [](const peers::send_notice&) {},
            .on_announcement = [this](const std::string&, const peers::piece_announcement& news)
            { m_relay.handle_announcement(news); },
            .serve_changes = [this](const state_feed::changes_request& request,
                                    const std::string& left_out,
                                    std::function<void(std::string)> respond)
            { m_feed.serve_changes(request, left_out, std::move(respond)); },
            .on_introduced = [this] { m_feed.start(); },
            .metrics =
                [this]
            {
              m_metrics.set("operator_records_age_ms",
                            static_cast<double>(m_feed.operator_age().count()));
              m_metrics.set("backend_records_age_ms",
                            static_cast<double>(m_feed.backend_age().count()));
              return m_gateway.metrics_text() + m_metrics.to_prometheus();
            },
            .serve_weights = [this](const async_io::message_head& head,
                                    const async_io::http_listener::responder& respond)
            { m_relay.serve(head, respond); },
            .on_entry_message = [this](const peers::peer_message& message, const std::string& from)
            { m_gateway.receive(message, from); },
            .quarantine_digest = [this] { return m_gateway.quarantine_digest(); },
            .find_proof =
                [this](const peers::load_message& load)
            {
              return m_gateway.find_proof(load);
            }};
  }

  rollout::relay_environment make_relay_environment()
  {
    return {.loop = m_loop,
            .caller = m_caller,
            .self = m_settings.ip,
            .region = m_settings.region,
            .peer_port = m_settings.peer_port,
            .uplink_bytes_per_s =
                m_settings.link_mbit_per_s * 1e6 / 8 * rollout::relay_uplink_fraction,
            .entries = [this] { return settled_entries(); },
            .origin =
                [this]
            {
              return m_origin;
            }};
  }

  std::vector<rollout::rollout_host> settled_entries()
  {
    auto entries = m_peers.relays();
    const bool settled =
        m_settle.has_settled(entries.size(), m_peers.has_heard_all(), current_time());
    return settled ? std::move(entries) : std::vector<rollout::rollout_host>{};
  }

  void take_origin(const protocol::serving_config& config)
  {
    if (const auto* origin = find_origin(config))
    {
      const auto region = m_settings.domains.find(origin->origin_domain);
      m_origin = {*origin->origin, region == m_settings.domains.end() ? "" : region->second};
    }
  }

  state_feed::feed_handlers make_feed_handlers()
  {
    return {.on_operator_record = [this](const state_feed::record& change)
            { take_operator_record(change); },
            .on_backend_record = [this](const state_feed::record& change,
                                        std::optional<async_io::time_point> may_return_until)
            { take_backend_record(change, may_return_until); },
            .on_initialized = [this] { m_peers.set_has_state(); },
            .readers = [this] { return m_peers.readers(); },
            .next_peer = [this] { return m_peers.next_peer(); },
            .ask = [this](const std::string& ip, const state_feed::changes_request& request,
                          auto done) { m_peers.ask_changes(ip, request, {}, std::move(done)); },
            .on_store_restored = [this] { m_peers.register_again(); },
            .is_older_operator_record = is_older_operator_record,
            .is_older_backend_record = is_older_backend_record};
  }

  void take_operator_record(const state_feed::record& change)
  {
    if (const auto domain = platform::decode_evacuated_domain(change.key))
    {
      m_gateway.set_evacuated(*domain, change.value.has_value());
      return;
    }
    auto record = read_operator_record(change);
    if (!record)
    {
      return;
    }
    if (auto* config = std::get_if<protocol::serving_config>(&*record))
    {
      take_origin(*config);
      m_gateway.set_config(std::move(*config));
    }
    if (const auto* version = std::get_if<protocol::named_version>(&*record))
    {
      // Before the first whole read is applied, the records are those of an earlier time.
      m_gateway.add_version(*version, m_feed.has_operator_records());
    }
  }

  void take_backend_record(const state_feed::record& change,
                           std::optional<async_io::time_point> may_return_until)
  {
    if (!change.value)
    {
      m_gateway.remove_backend(change.key, may_return_until);
      return;
    }
    const auto entry = platform::decode_backend(change.key, *change.value);
    if (!entry)
    {
      log_debug(log_category::log, "record of a backend server cannot be read",
                {{"key", change.key}, {"reason", entry.error().message}});
      return;
    }
    m_gateway.put_backend(*entry);
  }

  void serve_readiness(const async_io::message_head& head,
                       const async_io::http_listener::responder& respond)
  {
    if (async_io::path_of(head.target) != platform::names::readiness_path)
    {
      respond({.status = 404});
      return;
    }
    respond({.status = m_gateway.is_ready() && m_feed.has_backends() ? 200U : 503U});
  }

  void serve_lookup(const async_io::message_head& head,
                    const async_io::http_listener::responder& respond)
  {
    if (async_io::path_of(head.target) != platform::names::lookup_path)
    {
      respond({.status = 404});
      return;
    }
    const std::string domain = async_io::query_parameter(head.target, "zone");
    const std::string region = async_io::query_parameter(head.target, "region");
    const std::string host = async_io::query_parameter(head.target, "name");
    std::vector<std::string> addresses;
    const auto live = m_peers.live(peers::peer_role::entry);
    std::vector<peers::peer_record> entries(live.begin(), live.end());
    if (m_gateway.restricts_regions(host))
    {
      peers::keep_region_for_lookup(entries, [&](const peers::peer_record& entry)
                                    { return m_peers.region_of(entry) == region; });
    }
    peers::order_for_lookup(
        entries,
        [&](const peers::peer_record& entry) { return m_peers.domain_of(entry) == domain; },
        m_random);
    for (const peers::peer_record& entry : entries)
    {
      if (addresses.size() < max_lookup_addresses)
      {
        addresses.push_back(transport::to_string({entry.ip, m_settings.callers->port}));
      }
    }
    if (addresses.empty())
    {
      respond({.status = 503});
      return;
    }
    respond({200, std::string(platform::names::json_type),
             platform::encode_lookup(addresses,
                                     std::min(lookup_lifetime, m_settings.lookup_lifetime_limit))});
  }

  void handle_signal(async_io::process_signal signal)
  {
    switch (m_signals.take(signal))
    {
    case signal_action::note_reload:
      log_info(log_category::process, "reload requested; settings apply at the next start");
      return;
    case signal_action::begin_stop:
      begin_stop();
      return;
    case signal_action::ignore:
      log_info(log_category::process, "planned stop goes on: the signal came again");
      return;
    case signal_action::end_now:
      log_warning(log_category::process, "ended at once by a second interrupt");
      m_loop.stop();
      return;
    }
  }

  void begin_stop()
  {
    const auto age = m_monitor.longest_signal_age();
    log_info(log_category::process, "planned stop", {{"signal_age_ms_at_most", age.count()}});
    m_peers.set_leaving();
    m_gateway.stop([this] { m_loop.stop(); }, age);
  }

  const protocol::node_settings& m_settings;
  async_io::event_loop m_loop;
  async_io::http_caller m_caller;
  process_monitor m_monitor;
  platform::store_client m_store;
  peer_service m_peers;
  state_feed::state_follower<platform::store_client> m_feed;
  gateway::gateway m_gateway;
  rollout::weight_origin m_origin;
  rollout::settle_rule m_settle{current_time()};
  rollout::piece_relay m_relay;
  async_io::http_listener m_readiness;
  async_io::http_listener m_lookup;
  std::mt19937_64 m_random{std::random_device{}()};
  metrics_registry m_metrics;
  stop_signals m_signals;
};

} // namespace

result<void> run_entry(const protocol::node_settings& settings)
{
  return entry_node(settings).run();
}

} // namespace pollenyoke::node
