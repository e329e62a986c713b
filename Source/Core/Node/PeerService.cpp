#include "Node/PeerService.h"

#include <algorithm>
#include <random>

#include "Common/BootClock.h"
#include "Common/Ids.h"
#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "Peers/HostsReads.h"
#include "Peers/LoadPlan.h"
#include "Peers/ReaderOrder.h"
#include "StateFeed/TopicRelay.h"

namespace pollenyoke::node
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds registration_retry{1000};
constexpr milliseconds register_again_delay{1000};
constexpr milliseconds peer_answer_timeout{1000};
// A host without power does not respond; within a region a connection takes a few ms.
constexpr milliseconds peer_connect_timeout{250};
// All processes of a failure domain may read their first state from one link of 28 Mbit/s.
constexpr milliseconds page_transfer_timeout{4000};
// Compressed pages take a few hundred KB at most.
constexpr std::uint64_t max_page_bytes = 8U << 20U;
// Replies to a greeting take a few ms; hosts that are down never reply.
constexpr milliseconds introduction_time{150};
// The store may be down, so that the list of hosts cannot be read.
constexpr milliseconds max_introduction_time{400};
constexpr milliseconds introduction_check_interval{10};

std::vector<std::string> sorted_domains(const protocol::node_settings& settings)
{
  std::vector<std::string> names;
  for (const auto& [domain, region] : settings.domains)
  {
    names.push_back(domain);
  }
  return names;
}

peers::peer_record own_record(const protocol::node_settings& settings)
{
  const auto domains = sorted_domains(settings);
  peers::peer_record record;
  record.ip = settings.ip;
  record.role = settings.role == protocol::process_role::entry ? peers::peer_role::entry
                                                               : peers::peer_role::agent;
  record.domain = static_cast<std::uint8_t>(
      std::find(domains.begin(), domains.end(), settings.failure_domain) - domains.begin());
  record.incarnation = make_incarnation().value;
  return record;
}

} // namespace

milliseconds news_limit(const protocol::node_settings& settings)
{
  return std::min(settings.drain_limit, settings.config_limit);
}

peer_service::peer_service(async_io::event_loop& loop, async_io::http_caller& caller,
                           platform::store_client& store, const protocol::node_settings& settings,
                           peer_handlers handlers)
    : m_loop(loop), m_caller(caller), m_store(store), m_settings(settings),
      m_handlers(std::move(handlers)), m_domains(sorted_domains(settings)),
      m_table(own_record(settings), settings.seeds, std::random_device{}()),
      m_udp(loop, [this](std::string_view datagram, const transport::endpoint& from)
            { receive(datagram, from); }),
      m_http(loop,
             [this](const async_io::message_head& head,
                    const async_io::http_listener::responder& respond) { serve(head, respond); }),
      m_gossip_timer(loop), m_register_timer(loop), m_hosts_timer(loop), m_load_relay_timer(loop),
      m_introduction_timer(loop), m_record{.role = settings.role == protocol::process_role::entry
                                                       ? peers::peer_role::entry
                                                       : peers::peer_role::agent,
                                           .proof = {}},
      m_permit_owners(settings.ip), m_timing(state_feed::make_feed_timing(news_limit(settings)))
{
}

result<void> peer_service::start()
{
  const transport::endpoint own{m_settings.ip, m_settings.peer_port};
  return m_udp.bind(own)
      .and_then([this, &own] { return m_http.listen(own); })
      .map(
          [this]
          {
            std::mt19937_64 random(std::random_device{}());
            m_hosts_read_jitter = std::uniform_real_distribution<double>(0.5, 1.5)(random);
            read_hosts();
            gossip();
            await_introduction();
          });
}

bool peer_service::is_introduced() const
{
  const auto now = current_time();
  const auto entries = live(peers::peer_role::entry);
  const bool knows_reader =
      std::any_of(entries.begin(), entries.end(),
                  [this](const peers::peer_record& entry)
                  { return entry.has_state && entry.domain == m_table.self().domain; });
  return knows_reader || now - m_started >= max_introduction_time ||
         (m_greeted_at && (m_table.has_heard_all() || now - *m_greeted_at >= introduction_time));
}

/// A process that reads the store before it knows of the readers of its failure domain brings the
/// whole state over the regional link once more.
void peer_service::await_introduction()
{
  if (is_introduced())
  {
    m_handlers.on_introduced();
    return;
  }
  m_introduction_timer.start(introduction_check_interval, [this] { await_introduction(); });
}

void peer_service::set_has_state()
{
  if (m_table.set_has_state())
  {
    send_gossip();
  }
}

void peer_service::observe_entries()
{
  m_permit_owners.observe(live(peers::peer_role::entry), current_time());
}

void peer_service::gossip()
{
  m_table.beat();
  observe_entries();
  send_gossip();
  const bool starting = current_time() - m_started < peers::fast_gossip_time;
  m_gossip_timer.start(starting ? peers::fast_gossip_interval : peers::gossip_interval,
                       [this] { gossip(); });
}

void peer_service::send_gossip()
{
  send_gossip_to(m_table.choose_targets(current_time()));
}

void peer_service::send_gossip_to(const std::vector<std::string>& hosts)
{
  send_to(hosts, m_table.make_message(m_handlers.operator_position().offset, current_time()));
  send_digest_to(hosts);
}

void peer_service::send_digest_to(const std::vector<std::string>& hosts)
{
  const auto digest = m_handlers.quarantine_digest ? m_handlers.quarantine_digest() : std::nullopt;
  if (!digest)
  {
    return;
  }
  const std::string datagram = peers::encode_message(*digest);
  for (const std::string& ip : hosts)
  {
    m_udp.send(datagram, {ip, m_settings.peer_port});
  }
}

void peer_service::tell_entries(const peers::peer_message& message)
{
  const std::string datagram = peers::encode_message(message);
  for (const peers::peer_record& entry : live(peers::peer_role::entry))
  {
    if (entry.ip != m_settings.ip)
    {
      m_udp.send(datagram, {entry.ip, m_settings.peer_port});
    }
  }
  send_to_leaving_entries(datagram);
}

/// They serve on for some seconds, and need to know the servers as well as before.
void peer_service::send_to_leaving_entries(const std::string& datagram)
{
  for (const peers::peer_record& entry : m_table.leaving(peers::peer_role::entry, current_time()))
  {
    m_udp.send(datagram, {entry.ip, m_settings.peer_port});
  }
}

void peer_service::tell_entry(const std::string& ip, const peers::peer_message& message)
{
  m_udp.send(peers::encode_message(message), {ip, m_settings.peer_port});
}

std::optional<std::string> peer_service::permit_owner(std::string_view server)
{
  observe_entries();
  std::string owner = m_permit_owners.owner(server);
  return owner.empty() || owner == m_settings.ip ? std::nullopt : std::optional(std::move(owner));
}

bool peer_service::may_issue(std::string_view server)
{
  observe_entries();
  return m_permit_owners.is_settled(server, current_time());
}

std::size_t peer_service::sharers(std::string_view key, std::size_t most)
{
  observe_entries();
  return m_permit_owners.sharers(key, most, current_time());
}

bool peer_service::owns(std::uint64_t key) const
{
  std::vector<std::string> entries;
  for (const peers::peer_record& entry : live(peers::peer_role::entry))
  {
    entries.push_back(entry.ip);
  }
  return !entries.empty() &&
         entries.at(rendezvous_order(std::to_string(key), entries).front()) == m_settings.ip;
}

void peer_service::greet(const std::vector<std::string>& hosts)
{
  send_to(hosts, m_table.make_greeting(m_handlers.operator_position().offset));
}

void peer_service::send_to(const std::vector<std::string>& hosts, peers::gossip_message message)
{
  message.versions = m_handlers.version_ages();
  message.operator_era = m_handlers.operator_position().era;
  const std::string datagram = peers::encode_message(message);
  for (const std::string& ip : hosts)
  {
    m_udp.send(datagram, {ip, m_settings.peer_port});
  }
}

void peer_service::set_leaving()
{
  m_table.set_leaving();
  // All entries hear of it at once, so that lookups stop naming this process.
  std::vector<std::string> entries;
  for (const auto& entry : live(peers::peer_role::entry))
  {
    entries.push_back(entry.ip);
  }
  greet(entries);
}

void peer_service::set_has_engine(bool has_engine)
{
  if (m_table.set_has_engine(has_engine))
  {
    send_gossip();
  }
}

void peer_service::receive(std::string_view datagram, const transport::endpoint& from)
{
  const auto message = peers::decode_message(datagram);
  if (!message)
  {
    log_debug(log_category::membership, "datagram cannot be read",
              {{"from", from.ip}, {"reason", message.error().message}});
    return;
  }
  if (const auto* gossip = std::get_if<peers::gossip_message>(&*message))
  {
    // A process that has just started knows few others. One that could not read the list of hosts
    // is told of all.
    const bool newcomer = m_table.is_newcomer(*gossip, from.ip);
    m_table.merge(*gossip, current_time());
    if (newcomer && gossip->greets_all)
    {
      greet({from.ip});
      send_digest_to({from.ip});
    }
    else if (newcomer)
    {
      send_gossip_to({from.ip});
    }
    m_handlers.on_peer_position({gossip->operator_era, gossip->operator_offset});
    m_handlers.on_version_ages(gossip->versions);
    return;
  }
  if (const auto* load = std::get_if<peers::load_message>(&*message))
  {
    m_handlers.on_load(*load);
    return_proof(*load, from.ip);
    if (load->pass_on)
    {
      pass_on(*load);
    }
    return;
  }
  if (const auto* batch = std::get_if<peers::load_batch>(&*message))
  {
    for (const peers::load_message& load : batch->loads)
    {
      m_handlers.on_load(load);
    }
    return;
  }
  if (const auto* notice = std::get_if<peers::send_notice>(&*message))
  {
    m_handlers.on_send_notice(*notice);
    return;
  }
  if (const auto* proof = std::get_if<peers::layer_proof>(&*message))
  {
    if (m_handlers.on_proof)
    {
      m_handlers.on_proof(proof->mark);
    }
    return;
  }
  if (const auto* news = std::get_if<peers::piece_announcement>(&*message))
  {
    m_handlers.on_announcement(from.ip, *news);
    return;
  }
  if (m_handlers.on_entry_message)
  {
    m_handlers.on_entry_message(*message, from.ip);
  }
}

void peer_service::send_load(const peers::load_message& load)
{
  peers::load_message passed_on = load;
  passed_on.pass_on = true;
  const std::string direct = peers::encode_message(load);
  const std::string indirect = peers::encode_message(passed_on);
  const peers::load_sender sender{m_table.self().domain, stable_hash(m_settings.ip)};
  for (const peers::load_target& target :
       peers::plan_load_report(live(peers::peer_role::entry), sender, m_load_turn++))
  {
    m_udp.send(target.passes_on ? indirect : direct, {target.ip, m_settings.peer_port});
  }
  send_to_leaving_entries(direct);
}

void peer_service::return_proof(const peers::load_message& load, const std::string& agent_ip)
{
  const auto proof =
      load.proven || !m_handlers.find_proof ? std::nullopt : m_handlers.find_proof(load);
  if (proof)
  {
    m_udp.send(peers::encode_message(*proof), {agent_ip, m_settings.peer_port});
  }
}

void peer_service::pass_on(const peers::load_message& load)
{
  const auto entries = live(peers::peer_role::entry);
  const auto members = std::count_if(entries.begin(), entries.end(),
                                     [this](const peers::peer_record& entry)
                                     { return entry.domain == m_table.self().domain; });
  if (static_cast<std::size_t>(members) <= peers::max_direct_entries)
  {
    peers::load_message forwarded = load;
    forwarded.pass_on = false;
    send_to_own_domain(forwarded);
    return;
  }
  if (m_load_relay.add(load, current_time()))
  {
    m_load_relay_timer.start(peers::load_batch_interval, [this] { send_load_batches(); });
  }
}

void peer_service::send_load_batches()
{
  for (const peers::load_batch& batch : m_load_relay.take(current_time()))
  {
    send_to_own_domain(batch);
  }
}

void peer_service::send_to_own_domain(const peers::peer_message& message)
{
  const std::string datagram = peers::encode_message(message);
  for (const peers::peer_record& entry : live(peers::peer_role::entry))
  {
    if (entry.domain == m_table.self().domain && entry.ip != m_settings.ip)
    {
      m_udp.send(datagram, {entry.ip, m_settings.peer_port});
    }
  }
}

void peer_service::send_notice(const std::string& agent_ip, const peers::send_notice& notice)
{
  m_udp.send(peers::encode_message(notice), {agent_ip, m_settings.peer_port});
}

void peer_service::send_announcement(const std::string& agent_ip,
                                     const peers::piece_announcement& news)
{
  m_udp.send(peers::encode_message(news), {agent_ip, m_settings.peer_port});
}

std::span<const peers::peer_record> peer_service::live(peers::peer_role role) const
{
  return m_table.live(role, current_time());
}

std::vector<rollout::rollout_host> peer_service::relays() const
{
  std::vector<rollout::rollout_host> out;
  for (const peers::peer_record& entry : live(peers::peer_role::entry))
  {
    out.push_back({entry.ip, region_of(entry)});
  }
  return out;
}

bool peer_service::has_heard_all() const
{
  return m_greeted_at && m_table.has_heard_all();
}

std::size_t peer_service::possible_entries() const
{
  return std::max(live(peers::peer_role::entry).size(), m_table.possible(peers::peer_role::entry));
}

const std::string& peer_service::domain_of(const peers::peer_record& peer) const
{
  return m_domains.at(std::min<std::size_t>(peer.domain, m_domains.size() - 1));
}

const std::string& peer_service::region_of(const peers::peer_record& peer) const
{
  return m_settings.domains.at(domain_of(peer));
}

std::vector<std::string> peer_service::readers() const
{
  return peers::reader_order(live(peers::peer_role::entry), m_table.self());
}

std::optional<std::string> peer_service::next_peer()
{
  std::vector<std::string> others;
  for (const peers::peer_record& entry : live(peers::peer_role::entry))
  {
    if (entry.ip != m_settings.ip)
    {
      others.push_back(entry.ip);
    }
  }
  if (others.empty())
  {
    return std::nullopt;
  }
  // In turn, as some of them may be cut off from the store as well.
  return others[m_next_source++ * 7 % others.size()];
}

void peer_service::ask_changes(const std::string& ip, const state_feed::changes_request& request,
                               const std::string& left_out,
                               std::function<void(result<state_feed::relay_page>)> done)
{
  async_io::http_call call;
  call.address = {ip, m_settings.peer_port};
  call.target = "/changes?topic=" + std::to_string(static_cast<int>(request.topic)) +
                "&without=" + async_io::percent_encode(left_out);
  if (request.from)
  {
    call.target += "&era=" + std::to_string(request.from->era) +
                   "&offset=" + std::to_string(request.from->offset);
  }
  call.target += request.may_wait ? "&wait=1" : "";
  call.timeout =
      request.may_wait ? m_timing.relay_wait + m_timing.relay_margin : peer_answer_timeout;
  call.connect_timeout = peer_connect_timeout;
  call.transfer_timeout = page_transfer_timeout;
  call.max_body_bytes = max_page_bytes;
  call.purpose = request.may_wait ? "state from readers" : "state from peers";
  m_caller.call(std::move(call),
                [done = std::move(done)](const result<async_io::http_response>& answer)
                {
                  if (!answer || answer->head.status != 200)
                  {
                    done(fail(error_code::unavailable, "process does not answer"));
                    return;
                  }
                  done(state_feed::decode_relay_page(answer->body));
                });
}

void peer_service::serve_changes(const async_io::message_head& head,
                                 const async_io::http_listener::responder& respond)
{
  std::uint64_t topic = 0;
  state_feed::log_position from;
  const std::string offset_text = async_io::query_parameter(head.target, "offset");
  const std::string era_text = async_io::query_parameter(head.target, "era");
  if (!async_io::parse_number(async_io::query_parameter(head.target, "topic"), topic) ||
      (!offset_text.empty() && (!async_io::parse_number(offset_text, from.offset) ||
                                !async_io::parse_number(era_text, from.era))) ||
      topic > static_cast<std::uint64_t>(state_feed::record_topic::backend_servers))
  {
    respond({.status = 400});
    return;
  }
  const state_feed::changes_request request{
      static_cast<state_feed::record_topic>(topic),
      offset_text.empty() ? std::nullopt : std::optional(from),
      !async_io::query_parameter(head.target, "wait").empty()};
  m_handlers.serve_changes(request, async_io::query_parameter(head.target, "without"),
                           [respond](std::string body) {
                             respond({200, "application/octet-stream", std::move(body)});
                           });
}

void peer_service::serve(const async_io::message_head& head,
                         const async_io::http_listener::responder& respond)
{
  const auto path = async_io::path_of(head.target);
  if (path == "/changes")
  {
    serve_changes(head, respond);
    return;
  }
  if (path == "/metrics")
  {
    respond({200, "text/plain; version=0.0.4", m_handlers.metrics()});
    return;
  }
  if ((path == "/piece" || path == "/manifest") && m_handlers.serve_weights)
  {
    m_handlers.serve_weights(head, respond);
    return;
  }
  respond({.status = 404});
}

void peer_service::set_proof(const peers::engine_mark& mark)
{
  if (m_record.proof == mark)
  {
    return;
  }
  m_record.proof = mark;
  m_record_changed = true;
  if (!m_registering)
  {
    register_host();
  }
}

void peer_service::register_host()
{
  m_registering = true;
  m_record_changed = false;
  m_store.append(state_feed::record_topic::hosts, m_settings.ip, peers::to_text(m_record),
                 [this](const result<void>& outcome)
                 {
                   if (outcome && m_record_changed)
                   {
                     register_host();
                     return;
                   }
                   if (outcome)
                   {
                     m_registering = false;
                     m_registered_at = current_time();
                     return;
                   }
                   log_warning(log_category::membership, "host not registered in the store",
                               {{"reason", outcome.error().message}});
                   m_register_timer.start(registration_retry, [this] { register_host(); });
                 });
}

/// A record that is older than the copy can be needs no second write. Those that are needed are
/// spread over a moment.
void peer_service::register_again()
{
  if (m_registering || !m_registered_at ||
      current_time() - *m_registered_at > state_feed::max_copy_age)
  {
    return;
  }
  m_registering = true;
  const std::chrono::duration<double> delay = register_again_delay * m_hosts_read_jitter;
  m_register_timer.start(std::chrono::duration_cast<milliseconds>(delay),
                         [this] { register_host(); });
}

/// All hear of this process as soon as it knows where they are: after a loss of power the fetch of
/// weights waits until the processes know each other.
void peer_service::greet_all()
{
  if (!m_greeted_at)
  {
    m_greeted_at = current_time();
    greet(m_table.others());
  }
}

void peer_service::read_hosts()
{
  m_hosts_read_at = current_time();
  m_store.newest(state_feed::record_topic::hosts,
                 [this](const result<state_feed::record_page>& page)
                 {
                   if (page)
                   {
                     take_hosts(*page);
                   }
                 });
  m_hosts_timer.start(peers::hosts_check_interval, [this] { read_hosts_if_due(); });
}

void peer_service::read_hosts_if_due()
{
  const std::size_t processes =
      live(peers::peer_role::entry).size() + live(peers::peer_role::agent).size();
  // The lists include this process, unless it leaves.
  const std::size_t others = processes - std::min<std::size_t>(processes, 1);
  const auto since = current_time() - m_hosts_read_at;
  if (!m_greeted_at || since >= peers::hosts_read_interval(others) * m_hosts_read_jitter)
  {
    read_hosts();
    return;
  }
  m_hosts_timer.start(peers::hosts_check_interval, [this] { read_hosts_if_due(); });
}

/// A host that has run before is listed already.
void peer_service::take_own_record(const std::string& text)
{
  const auto record = peers::parse_host_record(text);
  if (!record)
  {
    log_warning(log_category::membership, "record of this host cannot be read",
                {{"reason", record.error().message}});
    return;
  }
  if (record->proof && !m_record.proof && m_handlers.on_proof)
  {
    m_record.proof = record->proof;
    m_handlers.on_proof(*record->proof);
  }
}

void peer_service::take_hosts(const state_feed::record_page& page)
{
  bool listed = false;
  for (const auto& host : page.records)
  {
    m_table.add_candidate(host.key);
    if (host.key == m_settings.ip && host.value)
    {
      listed = true;
      take_own_record(*host.value);
    }
  }
  if (!listed && !m_registering)
  {
    register_host();
  }
  greet_all();
}

} // namespace pollenyoke::node
