#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "Agent/WeightCore.h"
#include "Protocol/Codec.h"

/// Many weight cores in virtual time, with links, an origin, a weight store and a log.
namespace pollenyoke::agent::testing
{

using namespace std::chrono_literals;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::steady_clock;

struct weights_file
{
  protocol::manifest manifest;
  std::string text;
  std::map<std::string, std::string> chunks;
};

/// Weights with random content; equal seeds give equal chunks.
inline weights_file make_weights(const std::vector<unsigned>& chunk_seeds,
                                 std::uint32_t chunk_bytes)
{
  weights_file out;
  std::string all;
  for (const unsigned seed : chunk_seeds)
  {
    std::mt19937 random(seed);
    std::string data(chunk_bytes, '\0');
    std::generate(data.begin(), data.end(), [&] { return static_cast<char>(random()); });
    const digest id = sha256(data);
    out.manifest.chunks.push_back({id, chunk_bytes});
    out.manifest.total_bytes += chunk_bytes;
    out.chunks[to_hex(id)] = data;
    all += data;
  }
  out.manifest.content = sha256(all);
  out.text = protocol::format_manifest(out.manifest);
  out.manifest.id = sha256(out.text);
  return out;
}

inline std::vector<unsigned> seeds(unsigned first, unsigned count)
{
  std::vector<unsigned> out;
  for (unsigned i = 0; i < count; ++i)
  {
    out.push_back(first + i);
  }
  return out;
}

/// Appends a record to the state by the rules of module Fleet. False: a claim was not granted.
inline bool fold_record(fleet::fleet_state& state, const protocol::record_body& body)
{
  const log_offset offset{state.offset.value + 1};
  fleet::apply(
      state,
      {offset, 0, protocol::format_log_record({"record-" + std::to_string(offset.value), body})});
  const auto* claim = std::get_if<protocol::origin_claim_record>(&body);
  if (claim == nullptr)
  {
    return true;
  }
  const auto found = state.releases.find(claim->release);
  return found != state.releases.end() &&
         found->second.origin.holder_since.at(claim->stripe) == offset;
}

struct simulated_node
{
  protocol::settings settings;
  incarnation_id incarnation;
  std::unique_ptr<weight_core> core;
  bool up = true;
  bool listed = true;
  /// Sends nothing from now on, but its heartbeats go on.
  bool mute = false;
  /// Sends corrupted chunks.
  bool corrupts = false;
  bool origin_stalled = false;
  /// Runs nothing; what arrives is handled when the pause ends.
  bool paused = false;
  std::vector<std::function<void()>> backlog;
  steady_clock::time_point up_free{};
  steady_clock::time_point down_free{};
  steady_clock::time_point next_tick{};
};

class fleet_simulator
{
public:
  struct sizes
  {
    double host_rate = 200e3;
    double origin_rate = 400e3;
    double region_rate = 200e3;
  };

  sizes rates;
  steady_clock::time_point now{std::chrono::hours(1)};
  std::map<host_id, simulated_node> nodes;
  std::map<std::string, std::string> origin_manifests;
  std::map<std::string, std::string> origin_chunks;
  std::uint64_t origin_bytes = 0;
  std::uint64_t store_bytes = 0;
  /// Chunks and other messages between regions.
  std::uint64_t region_bytes = 0;
  std::uint64_t region_control_bytes = 0;
  std::uint64_t frames_sent = 0;
  /// Reservations of runs that were restarted.
  std::uint64_t lost_ledgers = 0;
  std::uint64_t refused_claims = 0;
  unsigned corrupt_origin = 0;
  bool origin_down = false;
  bool store_down = false;
  bool log_down = false;
  /// The next appends take effect, but their answers are lost.
  unsigned lose_answers = 0;
  fleet::fleet_state state;

  /// Seeds the delays with which the state reaches the hosts.
  void seed(unsigned value)
  {
    m_random.seed(value);
  }

  void add_hosts(unsigned count, const std::vector<std::string>& regions,
                 const std::function<void(protocol::settings&)>& adjust = {})
  {
    for (unsigned i = 0; i < count; ++i)
    {
      protocol::settings with;
      with.role = protocol::process_role::agent;
      with.host = host_id{"host-" + std::to_string(100 + i)};
      with.region = regions[i % regions.size()];
      with.failure_domain = with.region;
      with.service = "assistant";
      with.distribution.uplink_bytes_per_s = rates.host_rate;
      with.distribution.downlink_bytes_per_s = rates.host_rate;
      with.distribution.region_bytes_per_s = rates.region_rate;
      with.distribution.store_region = regions.front();
      if (adjust)
      {
        adjust(with);
      }
      simulated_node& node = nodes[with.host];
      node.settings = with;
      start(node);
    }
    publish_view();
  }

  void start(simulated_node& node)
  {
    lost_ledgers += node.core ? node.core->ledger().reserved_bytes() : 0;
    node.incarnation = incarnation_id{++m_incarnations};
    node.core = std::make_unique<weight_core>(node.settings, node.incarnation, now);
    node.up = true;
    node.core->set_state(std::make_shared<const fleet::fleet_state>(state), now);
    node.core->set_view(view_of(node), now);
  }

  void offer(const weights_file& file)
  {
    origin_manifests[to_hex(file.manifest.id)] = file.text;
    origin_chunks.insert(file.chunks.begin(), file.chunks.end());
  }

  /// Puts a release in force; `replaces` removes all other releases of the model.
  void release(const std::string& version, const digest& manifest, std::uint64_t bytes,
               bool replaces = true, double limit = 1.5)
  {
    if (replaces)
    {
      state.releases.clear();
    }
    state.offset.value++;
    state.head = state.offset;
    fleet::active_release added;
    added.key = {state.offset, "m"};
    added.item = {.model = "m",
                  .version = version,
                  .manifest = manifest,
                  .bytes = bytes,
                  .services = {"assistant"},
                  .origin_limit_copies = limit};
    state.releases[added.key] = added;
    publish_state();
  }

  void withdraw()
  {
    state.releases.clear();
    state.offset.value++;
    publish_state();
  }

  void kill(const host_id& host)
  {
    nodes.at(host).up = false;
    // Silence is noticed after a few missed heartbeats.
    at(now + 1500ms, [this] { publish_view(); });
    for (auto& [name, node] : nodes)
    {
      at(now + 1ms, [this, name = name, host] { nodes.at(name).core->on_closed(host, 0, now); });
    }
  }

  /// The host dies, and the host list drops it before heartbeats are missed.
  void kill_and_unlist(const host_id& host)
  {
    nodes.at(host).up = false;
    nodes.at(host).listed = false;
    publish_view();
  }

  void restart(const host_id& host)
  {
    start(nodes.at(host));
    at(now + 500ms, [this] { publish_view(); });
  }

  /// Cuts links and heartbeats between the given hosts and all others for a while. Log, origin and
  /// store stay reachable from both sides.
  void cut_off(std::set<host_id> hosts, std::chrono::milliseconds lasts)
  {
    m_cut = std::move(hosts);
    at(now + 1500ms, [this] { publish_view(); });
    at(now + lasts, [this] { m_cut.clear(); });
    at(now + lasts + 500ms, [this] { publish_view(); });
  }

  void cut_region(const std::string& region, std::chrono::milliseconds lasts)
  {
    std::set<host_id> hosts;
    for (const auto& [host, node] : nodes)
    {
      if (node.settings.region == region)
      {
        hosts.insert(host);
      }
    }
    cut_off(std::move(hosts), lasts);
  }

  void pause(const host_id& host, std::chrono::milliseconds lasts)
  {
    nodes.at(host).paused = true;
    at(now + 1500ms, [this] { publish_view(); });
    at(now + lasts, [this, host] { resume(host); });
  }

  /// Restarts all hosts at the same time.
  void restart_all()
  {
    for (auto& [host, node] : nodes)
    {
      start(node);
    }
    publish_view();
  }

  /// Adds a host that knows the state only from a checkpoint.
  void add_from_checkpoint(const host_id& host, const std::string& region)
  {
    state = *fleet::from_json(fleet::to_json(state));
    simulated_node& node = nodes[host];
    node.settings = nodes.begin()->second.settings;
    node.settings.host = host;
    node.settings.region = region;
    start(node);
    publish_view();
  }

  /// The first host that holds a chunk that no other host holds; no name if there is none.
  host_id only_holder() const
  {
    std::map<std::size_t, std::vector<host_id>> holders;
    const digest& manifest = state.releases.begin()->second.item.manifest;
    for (const auto& [host, node] : nodes)
    {
      const weights::transfer* t = node.core->find_transfer(manifest);
      for (std::size_t i = 0; t != nullptr && i < t->have().size(); ++i)
      {
        if (t->have().test(i))
        {
          holders[i].push_back(host);
        }
      }
    }
    const auto found = std::find_if(holders.begin(), holders.end(),
                                    [](const auto& entry) { return entry.second.size() == 1; });
    return found == holders.end() ? host_id{} : found->second.front();
  }

  /// What the log has granted and not got back may be read from the origin, and not more.
  bool within_grants() const
  {
    return std::all_of(
        state.releases.begin(), state.releases.end(),
        [this](const auto& entry)
        {
          const auto& [key, release] = entry;
          const std::uint64_t granted = release.item.bytes + release.origin.claimed_bytes -
                                        release.origin.placement_returned_bytes;
          return origin_bytes <= granted &&
                 static_cast<double>(granted) <=
                     release.item.origin_limit_copies * static_cast<double>(release.item.bytes);
        });
  }

  bool holds(const host_id& host) const
  {
    const auto held = nodes.at(host).core->held();
    return !held.empty() &&
           std::all_of(held.begin(), held.end(), [](const held_release& r) { return r.complete; });
  }

  std::size_t complete() const
  {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(),
                      [this](const auto& entry) { return entry.second.up && holds(entry.first); }));
  }

  std::size_t running() const
  {
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(), [](const auto& entry) { return entry.second.up; }));
  }

  /// Runs until all running hosts are complete or the time is over; returns the seconds it took.
  double run(double limit_s, const std::function<bool()>& until = {})
  {
    const auto begin = now;
    const auto end = now + duration_cast<steady_clock::duration>(duration<double>(limit_s));
    while (now < end)
    {
      if (until ? until() : complete() == running())
      {
        break;
      }
      step();
    }
    return duration<double>(now - begin).count();
  }

  host_id holder(std::size_t stripe) const
  {
    const auto& holders = state.releases.begin()->second.origin.holders;
    return holders.empty() ? host_id{} : holders[stripe % holders.size()].host;
  }

  std::uint64_t reserved_bytes() const
  {
    std::uint64_t sum = 0;
    for (const auto& [host, node] : nodes)
    {
      sum += node.core->ledger().reserved_bytes();
    }
    return sum;
  }

  void publish_view()
  {
    for (auto& [host, node] : nodes)
    {
      to_node(host, [this, host = host, view = view_of(node)]
              { nodes.at(host).core->set_view(view, now); });
    }
  }

  void publish_state()
  {
    const auto shared = std::make_shared<const fleet::fleet_state>(state);
    for (auto& [host, node] : nodes)
    {
      const auto lag = std::chrono::milliseconds(20 + m_random() % 100);
      at(now + lag, [this, host = host, shared]
         { to_node(host, [this, host, shared] { nodes.at(host).core->set_state(shared, now); }); });
    }
  }

private:
  struct event
  {
    steady_clock::time_point when;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const event& other) const
    {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  void resume(const host_id& host)
  {
    simulated_node& node = nodes.at(host);
    node.paused = false;
    for (const auto& run : std::exchange(node.backlog, {}))
    {
      run();
    }
    at(now + 500ms, [this] { publish_view(); });
  }

  bool separated(const simulated_node& a, const simulated_node& b) const
  {
    return m_cut.contains(a.settings.host) != m_cut.contains(b.settings.host);
  }

  // Hosts of the other side of a cut look silent, as do paused hosts.
  membership::member_view_ptr view_of(const simulated_node& from) const
  {
    auto view = std::make_shared<membership::member_view>();
    for (const auto& [host, node] : nodes)
    {
      if (!node.listed)
      {
        continue;
      }
      membership::peer peer;
      peer.listed.host = host;
      peer.listed.role = protocol::process_role::agent;
      peer.listed.region = node.settings.region;
      peer.listed.service = node.settings.service;
      peer.incarnation = node.incarnation;
      peer.last_heard = now;
      peer.alive = node.up && !node.paused && !separated(from, node);
      view->peers.push_back(std::move(peer));
    }
    return view;
  }

  void to_node(const host_id& host, std::function<void()> run)
  {
    simulated_node& node = nodes.at(host);
    if (node.paused)
    {
      node.backlog.push_back(std::move(run));
      return;
    }
    run();
  }

  void at(steady_clock::time_point when, std::function<void()> run)
  {
    m_events.push({when, m_next_order++, std::move(run)});
  }

  static steady_clock::time_point occupy(steady_clock::time_point& link_free,
                                         steady_clock::time_point from, double bytes, double rate)
  {
    link_free = std::max(link_free, from) +
                duration_cast<steady_clock::duration>(duration<double>(bytes / rate));
    return link_free;
  }

  void step()
  {
    now += 10ms;
    while (!m_events.empty() && m_events.top().when <= now)
    {
      const auto run = m_events.top().run;
      m_events.pop();
      run();
    }
    for (auto& [host, node] : nodes)
    {
      if (node.up && !node.paused)
      {
        node.core->tick(now);
        flush(host, node);
      }
    }
  }

  void flush(const host_id& host, simulated_node& node)
  {
    core_output output = node.core->take_output();
    for (outgoing_frame& frame : output.frames)
    {
      send(host, node, std::move(frame));
    }
    for (const fetch_order& order : output.fetches)
    {
      fetch(host, node, order);
    }
    for (const append_order& order : output.appends)
    {
      append(host, order);
    }
  }

  void send(const host_id& from, simulated_node& node, outgoing_frame frame)
  {
    const auto to = nodes.find(frame.to);
    if (to == nodes.end() || node.mute || separated(node, to->second))
    {
      return;
    }
    const double bytes = static_cast<double>(frame.message.payload.size());
    ++frames_sent;
    const auto sent = occupy(node.up_free, now, bytes, rates.host_rate);
    const bool remote = node.settings.region != to->second.settings.region;
    if (remote)
    {
      const bool chunk = protocol::type_of(frame.message) == protocol::message_type::chunk_reply;
      (chunk ? region_bytes : region_control_bytes) += frame.message.payload.size();
    }
    const auto arrive = [this, from, target = frame.to, bytes, message = std::move(frame.message),
                         corrupts = node.corrupts]
    {
      at(occupy(nodes.at(target).down_free, now, bytes, rates.host_rate) + 1ms,
         [this, from, target, message, corrupts]
         {
           to_node(target, [this, from, target, message, corrupts]
                   { deliver(from, target, message, corrupts); });
         });
    };
    // Each hop is booked when the frame gets there, so that a frame that waits for one link does
    // not hold another.
    const std::pair link{node.settings.region, to->second.settings.region};
    at(sent,
       [this, remote, link, bytes, arrive] {
         at(remote ? occupy(m_region_free[link], now, bytes, rates.region_rate) + 1ms : now,
            arrive);
       });
  }

  void deliver(const host_id& from, const host_id& to, const transport::frame& message,
               bool corrupts)
  {
    simulated_node& node = nodes.at(to);
    if (!node.up || !nodes.at(from).up)
    {
      return;
    }
    weight_core& core = *node.core;
    switch (protocol::type_of(message))
    {
    case protocol::message_type::have_update:
      core.on_have_update(0, *protocol::decode<protocol::have_update>(message), now);
      break;
    case protocol::message_type::chunk_request:
      core.on_chunk_request(from, 0, *protocol::decode<protocol::chunk_request>(message), now);
      break;
    case protocol::message_type::chunk_reply:
    {
      auto reply = *protocol::decode<protocol::chunk_reply>(message);
      if (corrupts && !reply.data.empty())
      {
        reply.data[0] ^= 1U;
      }
      const digest computed = sha256(std::as_bytes(std::span(reply.data)));
      core.on_chunk_reply(from, std::move(reply), computed, now);
      break;
    }
    case protocol::message_type::manifest_request:
      core.on_manifest_request(from, 0, *protocol::decode<protocol::manifest_request>(message));
      break;
    default:
      core.on_manifest_reply(from, *protocol::decode<protocol::manifest_reply>(message), now);
    }
  }

  void fetch(const host_id& host, simulated_node& node, const fetch_order& order)
  {
    const bool from_store = order.server == fetch_server::weight_store;
    const incarnation_id run = node.incarnation;
    fetch_result answer{order.id, true, 404, {}};
    const std::string key = order.path.substr(order.path.rfind('/') + 1);
    const bool is_chunk = order.path.starts_with("/chunks/");
    const auto& table = is_chunk ? origin_chunks : origin_manifests;
    auto when = now + 5ms;
    if (from_store ? store_down : origin_down)
    {
      answer = {order.id, false, 0, {}};
    }
    else if (node.origin_stalled && !from_store)
    {
      answer.status = 0;
      when = now + 5s;
    }
    else if (const auto found = table.find(key); found != table.end())
    {
      answer.status = 200;
      answer.body = found->second;
      const double bytes = static_cast<double>(answer.body.size());
      if (is_chunk)
      {
        (from_store ? store_bytes : origin_bytes) += answer.body.size();
        if (!from_store && corrupt_origin > 0)
        {
          --corrupt_origin;
          answer.body[0] = static_cast<char>(~answer.body[0]);
        }
      }
      when = occupy(m_origin_free, now, bytes, rates.origin_rate);
    }
    const std::size_t size = answer.body.size();
    const auto arrive = [this, host, run, answer = std::move(answer)]
    {
      simulated_node& target = nodes.at(host);
      if (target.up && target.incarnation == run)
      {
        target.core->on_fetched(answer, now);
      }
    };
    // The downlink is booked when the origin has sent, so that a read that waits for the origin
    // does not hold up the frames of peers.
    at(when,
       [this, host, arrive, bytes = static_cast<double>(size)]
       {
         at(occupy(nodes.at(host).down_free, now, bytes, rates.host_rate) + 2ms,
            [this, host, arrive] { to_node(host, arrive); });
       });
  }

  void append(const host_id& host, const append_order& order)
  {
    const auto answer = [this, host](std::uint64_t id, const result<log_offset>& outcome)
    {
      const auto run = [this, host, id, outcome]
      {
        simulated_node& target = nodes.at(host);
        target.core->set_state(std::make_shared<const fleet::fleet_state>(state), now);
        target.core->on_appended(id, outcome, now);
      };
      at(now + 30ms, [this, host, run] { to_node(host, run); });
    };
    if (log_down)
    {
      answer(order.id, fail(error_code::unavailable, "log is down"));
      return;
    }
    refused_claims += fold_record(state, order.body) ? 0 : 1;
    publish_state();
    if (lose_answers > 0)
    {
      --lose_answers;
      answer(order.id, fail(error_code::timeout, "the answer was lost"));
      return;
    }
    answer(order.id, state.offset);
  }

  std::mt19937 m_random{20261204};
  // Hosts that have no links to the others.
  std::set<host_id> m_cut;
  std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
  std::uint64_t m_next_order = 0;
  std::uint64_t m_incarnations = 0;
  steady_clock::time_point m_origin_free{};
  std::map<std::pair<std::string, std::string>, steady_clock::time_point> m_region_free;
};

} // namespace pollenyoke::agent::testing
