#include "Agent/WeightManager.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "Agent/EngineControl.h"
#include "Agent/WeightCore.h"
#include "Common/Log.h"
#include "Distribution/SwitchOver.h"
#include "Protocol/Codec.h"
#include "Transport/HttpClient.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr auto append_patience = 5s;
// Bounds the work of ticks when many frames arrive.
constexpr auto min_tick_interval = 2ms;
constexpr auto engine_poll_busy = 100ms;
constexpr auto engine_poll_idle = 500ms;
// Idle connections cost keep-alive frames, which count as control traffic.
constexpr auto idle_link_time = 10s;
constexpr std::string_view weights_prefix = "/weights/";

/// A queue that threads wait on until it is closed.
template <typename T>
class work_queue
{
public:
  void push(T item)
  {
    const std::lock_guard lock(m_mutex);
    m_items.push_back(std::move(item));
    m_changed.notify_one();
  }
  std::optional<T> pop()
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_closed || !m_items.empty(); });
    if (m_closed)
    {
      return std::nullopt;
    }
    T item = std::move(m_items.front());
    m_items.pop_front();
    return item;
  }
  void close()
  {
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
  }

private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<T> m_items;
  bool m_closed = false;
};

transport::http_client_options fetch_options()
{
  // A kept connection may have been closed by the server, and a client that then repeats the
  // request could read a chunk twice under one reservation.
  return {.keep_alive = false};
}

transport::http_client_options engine_options()
{
  return {.connect_timeout = 1000ms, .read_timeout = 2000ms, .write_timeout = 2000ms};
}

fetch_result fetch(transport::http_client& server, const fetch_order& order)
{
  fetch_result out{.id = order.id};
  bool excess = false;
  int status = 0;
  transport::http_request request;
  request.path = order.path;
  const auto outcome = server.send_streaming(
      request,
      [&status](int code, const transport::http_headers&)
      {
        status = code;
        return code == 200;
      },
      [&](std::string_view part)
      {
        excess = excess || out.body.size() + part.size() > order.max_bytes;
        if (!excess)
        {
          out.body.append(part);
        }
        return !excess;
      });
  out.reached = outcome.has_value() || outcome.error().code != error_code::unavailable;
  out.status = outcome ? *outcome : (status != 200 ? status : 0);
  return out;
}

} // namespace

class weight_manager::implementation
{
public:
  explicit implementation(dependencies with);

  void start();
  void stop();
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);
  transport::http_response serve_weights(const transport::http_request& request);
  std::vector<protocol::served_version> serving() const;
  bool is_serving(std::string_view model, std::string_view version) const;
  void report_answer(std::string_view model, std::string_view version, std::string_view manifest);
  void backend_lost();
  void on_change(std::function<void()> callback);
  nlohmann::json dump() const;

private:
  /// Lets callbacks that outlive this object find out that it is gone.
  struct gate
  {
    std::mutex mutex;
    implementation* target = nullptr;
  };
  struct outbound_link
  {
    host_id host;
    steady_clock::time_point used;
  };
  struct load_progress
  {
    std::size_t serving_new = 0;
    steady_clock::time_point since;
  };

  template <typename Message, typename Handler>
  void decode_and_handle(transport::connection_id from, const transport::frame& message,
                         const Handler& handler);
  void run_timer();
  void run_fetches();
  void run_appends();
  void run_engine();
  void poll_engine(transport::http_client& engine);
  void update_desired(steady_clock::time_point now);
  bool may_load(const held_release& release, steady_clock::time_point now);
  void dispatch(core_output output);
  void close_idle_links(steady_clock::time_point now);
  void wake_timer();
  void wake_engine();
  void notify_change();
  host_id peer_of(transport::connection_id connection) const;

  const dependencies m_with;
  // Guards the core, the engine control and the tables below; not held during network I/O.
  mutable std::mutex m_mutex;
  weight_core m_core;
  engine_control m_engine;
  std::map<transport::connection_id, outbound_link> m_outbound;
  std::map<protocol::release_key, load_progress> m_progress;
  std::vector<std::function<void()>> m_callbacks;
  std::condition_variable m_timer_wake;
  std::condition_variable m_engine_wake;
  bool m_tick_now = false;
  bool m_poll_now = false;
  bool m_stopped = false;
  bool m_started = false;

  work_queue<fetch_order> m_fetches;
  work_queue<append_order> m_appends;
  std::shared_ptr<gate> m_gate = std::make_shared<gate>();
  std::vector<std::thread> m_threads;
};

weight_manager::implementation::implementation(dependencies with)
    : m_with(std::move(with)), m_core(m_with.settings, m_with.incarnation, steady_clock::now())
{
}

void weight_manager::implementation::start()
{
  m_started = true;
  m_gate->target = this;
  // State and view are read again in the timer thread, so that callbacks only wake it.
  const auto wake = [shared = m_gate]
  {
    const std::lock_guard lock(shared->mutex);
    if (shared->target != nullptr)
    {
      shared->target->wake_timer();
    }
  };
  m_with.follower.on_change([wake](const log_follower::fleet_state_ptr&) { wake(); });
  m_with.members.on_change([wake](const membership::member_view_ptr&) { wake(); });
  const auto reads =
      distribution::parameters_for(m_with.settings.distribution.goal).parallel_reads + 1;
  for (std::size_t i = 0; i < reads; ++i)
  {
    m_threads.emplace_back([this] { run_fetches(); });
  }
  m_threads.emplace_back([this] { run_appends(); });
  m_threads.emplace_back([this] { run_engine(); });
  m_threads.emplace_back([this] { run_timer(); });
}

void weight_manager::implementation::stop()
{
  {
    const std::lock_guard lock(m_gate->mutex);
    m_gate->target = nullptr;
  }
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer_wake.notify_all();
    m_engine_wake.notify_all();
  }
  m_fetches.close();
  m_appends.close();
  for (std::thread& thread : m_threads)
  {
    thread.join();
  }
  m_threads.clear();
}

void weight_manager::implementation::wake_timer()
{
  const std::lock_guard lock(m_mutex);
  m_tick_now = true;
  m_timer_wake.notify_one();
}

void weight_manager::implementation::wake_engine()
{
  const std::lock_guard lock(m_mutex);
  m_poll_now = true;
  m_engine_wake.notify_one();
}

void weight_manager::implementation::notify_change()
{
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard lock(m_mutex);
    callbacks = m_callbacks;
  }
  for (const auto& callback : callbacks)
  {
    callback();
  }
}

host_id weight_manager::implementation::peer_of(transport::connection_id connection) const
{
  return m_with.links.peer_of(connection).value_or(host_id{});
}

void weight_manager::implementation::run_timer()
{
  std::size_t complete = 0;
  log_follower::fleet_state_ptr last_state;
  steady_clock::time_point last_idle_check{};
  while (true)
  {
    const auto state = m_with.follower.state();
    const auto view = m_with.members.view();
    const auto now = steady_clock::now();
    core_output output;
    time_point next;
    std::size_t complete_now = 0;
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopped)
      {
        return;
      }
      m_tick_now = false;
      m_core.set_view(view, now);
      m_core.set_state(state, now);
      next = m_core.tick(now);
      output = m_core.take_output();
      for (const held_release& release : m_core.held())
      {
        complete_now += release.complete ? 1 : 0;
      }
    }
    dispatch(std::move(output));
    if (complete_now != complete || state != last_state)
    {
      complete = complete_now;
      last_state = state;
      wake_engine();
    }
    if (now >= last_idle_check + 1s)
    {
      last_idle_check = now;
      close_idle_links(now);
    }
    std::unique_lock lock(m_mutex);
    m_timer_wake.wait_until(lock, now + min_tick_interval, [this] { return m_stopped; });
    m_timer_wake.wait_until(lock, next, [this] { return m_stopped || m_tick_now; });
  }
}

void weight_manager::implementation::dispatch(core_output output)
{
  const auto view = m_with.members.view();
  const auto now = steady_clock::now();
  for (const outgoing_frame& out : output.frames)
  {
    transport::connection_id connection = out.connection;
    if (connection == 0)
    {
      const membership::peer* peer = view->find(out.to);
      if (peer == nullptr)
      {
        continue;
      }
      connection = m_with.links.link(out.to, membership::channel::weights, peer->listed.tcp);
      const std::lock_guard lock(m_mutex);
      m_outbound[connection] = {out.to, now};
    }
    m_with.metrics.add("weights_sent_bytes", out.message.payload.size());
    m_with.node.send(connection, out.message);
  }
  for (fetch_order& order : output.fetches)
  {
    m_fetches.push(std::move(order));
  }
  for (append_order& order : output.appends)
  {
    m_appends.push(std::move(order));
  }
}

void weight_manager::implementation::close_idle_links(steady_clock::time_point now)
{
  std::vector<transport::connection_id> idle;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [connection, link] : m_outbound)
    {
      if (now >= link.used + idle_link_time)
      {
        idle.push_back(connection);
      }
    }
    for (const transport::connection_id connection : idle)
    {
      m_outbound.erase(connection);
    }
  }
  for (const transport::connection_id connection : idle)
  {
    m_with.links.handle_closed(connection);
    m_with.node.close(connection);
  }
}

void weight_manager::implementation::run_fetches()
{
  transport::http_client origin(m_with.settings.platform.origin, fetch_options());
  std::optional<transport::http_client> store;
  if (m_with.settings.platform.weight_store)
  {
    store.emplace(*m_with.settings.platform.weight_store, fetch_options());
  }
  while (const auto order = m_fetches.pop())
  {
    const bool from_store = order->server == fetch_server::weight_store && store;
    fetch_result outcome = fetch(from_store ? *store : origin, *order);
    m_with.metrics.add(from_store ? "weights_store_bytes" : "weights_origin_bytes",
                       outcome.body.size());
    {
      const std::lock_guard lock(m_mutex);
      m_core.on_fetched(std::move(outcome), steady_clock::now());
    }
    wake_timer();
  }
}

void weight_manager::implementation::run_appends()
{
  while (auto order = m_appends.pop())
  {
    const auto outcome = m_with.follower.append(std::move(order->body), append_patience);
    const auto state = m_with.follower.state();
    {
      const std::lock_guard lock(m_mutex);
      const auto now = steady_clock::now();
      m_core.set_state(state, now);
      m_core.on_appended(order->id, outcome, now);
    }
    wake_timer();
  }
}

bool weight_manager::implementation::may_load(const held_release& release,
                                              steady_clock::time_point now)
{
  if (!m_engine.serves_replaced(release.key.model))
  {
    m_progress.erase(release.key);
    return true;
  }
  const auto replicas = m_core.replicas(release.key);
  const auto serving_new = static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(), [](const auto& r) { return r.serves_new; }));
  const auto [progress, added] =
      m_progress.try_emplace(release.key, load_progress{serving_new, now});
  if (progress->second.serving_new != serving_new)
  {
    progress->second = {serving_new, now};
  }
  return distribution::may_load(distribution::rank_key(release.key) + "/load", m_with.settings.host,
                                replicas, m_with.settings.distribution.max_loading_fraction,
                                now - progress->second.since);
}

void weight_manager::implementation::update_desired(steady_clock::time_point now)
{
  const auto held = m_core.held();
  std::vector<desired_version> desired;
  for (const held_release& release : held)
  {
    desired_version version{release.item->model, release.item->version, release.item->manifest,
                            std::nullopt,        release.key.note,      release.complete,
                            /*may_load=*/false};
    if (release.manifest != nullptr)
    {
      version.content = release.manifest->content;
    }
    desired.push_back(std::move(version));
  }
  // The first pass marks the versions that are replaced; only then is it known which loads are
  // part of a switch-over.
  const auto state = m_with.follower.state();
  const std::span<const protocol::model_version> replaced =
      state ? std::span(state->replaced) : std::span<const protocol::model_version>();
  m_engine.set_desired(desired, replaced);
  for (std::size_t i = 0; i < held.size(); ++i)
  {
    desired[i].may_load = may_load(held[i], now);
  }
  m_engine.set_desired(std::move(desired), replaced);
}

void weight_manager::implementation::poll_engine(transport::http_client& engine)
{
  transport::http_request request;
  request.path = "/status";
  const auto answer = engine.send(request);
  const auto status = answer && answer->status == 200
                          ? parse_engine_status(answer->body)
                          : result<engine_status>(fail(error_code::unavailable, "no status"));
  std::vector<engine_order> orders;
  {
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    update_desired(now);
    if (status)
    {
      orders = m_engine.on_status(*status, now);
    }
    else
    {
      m_engine.on_unreachable(!answer && answer.error().code == error_code::unavailable);
    }
  }
  for (const engine_order& order : orders)
  {
    transport::http_request post;
    post.method = "POST";
    post.path = "/orders";
    post.body = format_engine_order(order, to_string(m_with.weights_address));
    const auto reply = engine.send(post);
    log_info(log_category::weights, order.load ? "load ordered" : "unload ordered",
             {{"model", order.model}, {"version", order.version}, {"fence", order.fence}});
    const std::lock_guard lock(m_mutex);
    m_engine.on_order_answered(order, reply ? reply->status : 0, steady_clock::now());
  }
}

void weight_manager::implementation::run_engine()
{
  transport::http_client engine(m_with.settings.backend->address, engine_options());
  std::vector<protocol::served_version> before;
  while (true)
  {
    poll_engine(engine);
    const auto after = serving();
    if (after != before)
    {
      before = after;
      notify_change();
    }
    std::unique_lock lock(m_mutex);
    const auto pause = m_engine.is_busy() ? engine_poll_busy : engine_poll_idle;
    m_engine_wake.wait_for(lock, pause, [this] { return m_stopped || m_poll_now; });
    m_poll_now = false;
    if (m_stopped)
    {
      return;
    }
  }
}

template <typename Message, typename Handler>
void weight_manager::implementation::decode_and_handle(transport::connection_id from,
                                                       const transport::frame& message,
                                                       const Handler& handler)
{
  auto decoded = protocol::decode<Message>(message);
  if (!decoded)
  {
    log_warning(log_category::weights, "closing connection: malformed message",
                {{"peer", peer_of(from).value}, {"reason", decoded.error().message}});
    m_with.node.close(from);
    return;
  }
  const host_id host = peer_of(from);
  handler(host, std::move(*decoded));
  wake_timer();
}

bool weight_manager::implementation::handle_frame(transport::connection_id from,
                                                  const transport::frame& message)
{
  const auto now = steady_clock::now();
  switch (protocol::type_of(message))
  {
  case protocol::message_type::have_update:
    decode_and_handle<protocol::have_update>(from, message,
                                             [&](const host_id& host, protocol::have_update update)
                                             {
                                               // A peer speaks for itself only.
                                               update.host =
                                                   host.value.empty() ? update.host : host;
                                               const std::lock_guard lock(m_mutex);
                                               m_core.on_have_update(from, std::move(update), now);
                                             });
    return true;
  case protocol::message_type::chunk_request:
    decode_and_handle<protocol::chunk_request>(
        from, message,
        [&](const host_id& host, const protocol::chunk_request& request)
        {
          const std::lock_guard lock(m_mutex);
          m_core.on_chunk_request(host, from, request, now);
        });
    return true;
  case protocol::message_type::chunk_reply:
    decode_and_handle<protocol::chunk_reply>(
        from, message,
        [&](const host_id& host, protocol::chunk_reply reply)
        {
          m_with.metrics.add("weights_received_bytes", reply.data.size());
          const digest computed = sha256(std::as_bytes(std::span(reply.data)));
          const std::lock_guard lock(m_mutex);
          m_core.on_chunk_reply(host, std::move(reply), computed, now);
        });
    return true;
  case protocol::message_type::manifest_request:
    decode_and_handle<protocol::manifest_request>(
        from, message,
        [&](const host_id& host, const protocol::manifest_request& request)
        {
          const std::lock_guard lock(m_mutex);
          m_core.on_manifest_request(host, from, request);
        });
    return true;
  case protocol::message_type::manifest_reply:
    decode_and_handle<protocol::manifest_reply>(
        from, message,
        [&](const host_id& host, const protocol::manifest_reply& reply)
        {
          const std::lock_guard lock(m_mutex);
          m_core.on_manifest_reply(host, reply, now);
        });
    return true;
  default:
    return false;
  }
}

void weight_manager::implementation::handle_closed(transport::connection_id connection)
{
  const std::lock_guard lock(m_mutex);
  const auto link = m_outbound.find(connection);
  const auto host =
      link == m_outbound.end() ? std::nullopt : std::optional<host_id>(link->second.host);
  if (link != m_outbound.end())
  {
    m_outbound.erase(link);
  }
  m_core.on_closed(host, connection, steady_clock::now());
}

transport::http_response
weight_manager::implementation::serve_weights(const transport::http_request& request)
{
  const std::string_view path = request.path;
  const auto manifest = path.starts_with(weights_prefix)
                            ? parse_digest(path.substr(weights_prefix.size()))
                            : result<digest>(fail(error_code::not_found, "unknown path"));
  if (!manifest)
  {
    return transport::error_response(404, "no such weights");
  }
  std::vector<protocol::manifest_chunk> chunks;
  std::shared_ptr<const weights::chunk_store> store;
  {
    const std::lock_guard lock(m_mutex);
    const weights::transfer* found = m_core.find_transfer(*manifest);
    if (found == nullptr || !found->complete())
    {
      return transport::error_response(404, "weights are not complete on this host");
    }
    chunks = found->manifest().chunks;
    store = m_core.shared_store();
  }
  transport::http_response response;
  response.content_type = "application/octet-stream";
  response.stream = [chunks = std::move(chunks), store](const transport::body_writer& write)
  {
    return std::all_of(chunks.begin(), chunks.end(),
                       [&](const protocol::manifest_chunk& chunk)
                       {
                         // Gone when the release was withdrawn meanwhile: breaks the connection.
                         const weights::chunk_data data = store->get(chunk.id);
                         if (!data)
                         {
                           return false;
                         }
                         const std::string_view text(reinterpret_cast<const char*>(data->data()),
                                                     data->size());
                         return write(text);
                       });
  };
  return response;
}

std::vector<protocol::served_version> weight_manager::implementation::serving() const
{
  const std::lock_guard lock(m_mutex);
  return m_engine.serving();
}

bool weight_manager::implementation::is_serving(std::string_view model,
                                                std::string_view version) const
{
  const std::lock_guard lock(m_mutex);
  return m_engine.is_serving(model, version);
}

void weight_manager::implementation::report_answer(std::string_view model, std::string_view version,
                                                   std::string_view manifest)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_engine.report_answer(model, version, manifest))
    {
      return;
    }
    m_poll_now = true;
    m_engine_wake.notify_one();
  }
  log_warning(log_category::weights, "engine answered with other weights than were confirmed",
              {{"model", model}, {"version", version}, {"manifest", manifest}});
  notify_change();
}

void weight_manager::implementation::backend_lost()
{
  {
    const std::lock_guard lock(m_mutex);
    m_engine.backend_lost();
    m_poll_now = true;
    m_engine_wake.notify_one();
  }
  notify_change();
}

void weight_manager::implementation::on_change(std::function<void()> callback)
{
  const std::lock_guard lock(m_mutex);
  m_callbacks.push_back(std::move(callback));
}

nlohmann::json weight_manager::implementation::dump() const
{
  const std::lock_guard lock(m_mutex);
  auto out = m_core.dump(steady_clock::now());
  out["engine"] = m_engine.dump();
  return out;
}

weight_manager::weight_manager(dependencies with)
    : m_impl(std::make_unique<implementation>(std::move(with)))
{
}

weight_manager::~weight_manager()
{
  m_impl->stop();
}

void weight_manager::start()
{
  m_impl->start();
}

void weight_manager::stop()
{
  m_impl->stop();
}

bool weight_manager::handle_frame(transport::connection_id from, const transport::frame& message)
{
  return m_impl->handle_frame(from, message);
}

void weight_manager::handle_closed(transport::connection_id connection)
{
  m_impl->handle_closed(connection);
}

transport::http_response weight_manager::serve_weights(const transport::http_request& request)
{
  return m_impl->serve_weights(request);
}

std::vector<protocol::served_version> weight_manager::serving() const
{
  return m_impl->serving();
}

bool weight_manager::is_serving(std::string_view model, std::string_view version) const
{
  return m_impl->is_serving(model, version);
}

void weight_manager::report_answer(std::string_view model, std::string_view version,
                                   std::string_view reported_manifest)
{
  m_impl->report_answer(model, version, reported_manifest);
}

void weight_manager::backend_lost()
{
  m_impl->backend_lost();
}

void weight_manager::on_change(std::function<void()> callback)
{
  m_impl->on_change(std::move(callback));
}

nlohmann::json weight_manager::dump() const
{
  return m_impl->dump();
}

} // namespace pollenyoke::agent
