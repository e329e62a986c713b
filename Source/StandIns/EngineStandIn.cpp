#include "StandIns/EngineStandIn.h"

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Transport/HttpClient.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;

namespace
{

// A step of the batch takes 2% longer for each further request in it.
constexpr double batch_slowdown = 0.02;
// Part of the time to the first token that a fully cached prompt saves.
constexpr double cache_saving = 0.8;

std::string text_member(const json& from, const char* key)
{
  const auto found = from.find(key);
  return found != from.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t number_member(const json& from, const char* key)
{
  const auto found = from.find(key);
  return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::chrono::nanoseconds from_ms(double value)
{
  return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e6));
}

/// Splits `http://IP:PORT/PATH`.
result<std::pair<transport::endpoint, std::string>> parse_source(std::string_view url)
{
  constexpr std::string_view scheme = "http://";
  const auto slash = url.find('/', scheme.size());
  if (!url.starts_with(scheme) || slash == std::string_view::npos)
  {
    return fail(error_code::malformed, "source must be http://IP:PORT/PATH");
  }
  const std::string path(url.substr(slash));
  return transport::parse_endpoint(url.substr(scheme.size(), slash - scheme.size()))
      .map([&](transport::endpoint server) { return std::pair(std::move(server), path); });
}

} // namespace

std::string token_prefix(std::string_view version, std::string_view prompt)
{
  std::string text(version);
  text += '\n';
  text += prompt;
  return to_hex(sha256(text)).substr(0, 8);
}

/// One place in the batch; freed when the answer ends.
class engine_stand_in::slot
{
public:
  slot(engine_stand_in& owner, std::string id) : m_owner(owner), m_id(std::move(id)) {}
  ~slot()
  {
    {
      const std::lock_guard lock(m_owner.m_mutex);
      --m_owner.m_running;
      m_owner.m_active.erase(m_id);
      m_owner.m_cancelled.erase(m_id);
      m_owner.note_load_locked();
    }
    m_owner.m_changed.notify_all();
  }
  slot(const slot&) = delete;
  slot& operator=(const slot&) = delete;
  slot(slot&&) = delete;
  slot& operator=(slot&&) = delete;

private:
  engine_stand_in& m_owner;
  std::string m_id;
};

engine_stand_in::engine_stand_in(std::uint32_t slots) : m_slots(slots), m_boot(make_record_id()) {}

result<std::unique_ptr<engine_stand_in>> engine_stand_in::start(const transport::endpoint& at,
                                                                std::uint32_t slots)
{
  std::unique_ptr<engine_stand_in> made(new engine_stand_in(slots));
  const auto listening = made->listen(at);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

engine_stand_in::~engine_stand_in()
{
  close();
  for (std::thread& loader : m_loaders)
  {
    loader.join();
  }
}

json engine_stand_in::counters() const
{
  const std::lock_guard lock(m_mutex);
  return {{"boot", m_boot},
          {"orders", m_orders},
          {"refused_orders", m_refused_orders},
          {"wrong_content", m_wrong_content},
          {"crashes", m_crashes},
          {"tokens", m_tokens},
          {"rejected", m_rejected},
          {"prefix_hits", m_prefix_hits},
          {"prefix_lookups", m_prefix_lookups},
          {"runs", m_runs},
          {"prompt_runs", m_prompt_runs},
          {"served", m_served}};
}

void engine_stand_in::read_faults(fault_reader& from)
{
  from.read("down", m_down);
  from.read("hang", m_hang);
  from.read("check_fence", m_check_fence);
  from.read("crash_on", m_crash_on);
  from.read("restart_ms", m_restart_ms);
  from.read("load_ms", m_load_ms);
  from.read("first_token_ms", m_first_token_ms);
  from.read("token_ms", m_token_ms);
  from.read("queue", m_queue);
  from.read("report_lag_ms", m_report_lag_ms);
  from.read("event_lag_ms", m_event_lag_ms);
  std::size_t blocks = 0;
  if (from.read("cache_blocks", blocks))
  {
    m_cache.set_capacity(blocks);
  }
  bool now = false;
  if (from.read("crash", now) && now)
  {
    ++m_crashes;
    crash_locked(milliseconds(m_restart_ms));
  }
}

void engine_stand_in::forget_state()
{
  m_boot = make_record_id();
  m_models.clear();
  m_fences.clear();
  m_cancelled.clear();
  m_cache.clear();
}

http_response engine_stand_in::handle(const http_request& request)
{
  {
    const std::lock_guard lock(m_mutex);
    if (m_down)
    {
      return transport::error_response(503, "engine is down");
    }
  }
  if (request.path == "/status")
  {
    return answer_status();
  }
  if (request.path == "/orders" && request.method == "POST")
  {
    return answer_order(request.body);
  }
  if (request.path == "/generate" && request.method == "POST")
  {
    return answer_generate(request.body);
  }
  if (request.path == "/cancel" && request.method == "POST")
  {
    return answer_cancel(request.body);
  }
  if (request.path == "/cache-events")
  {
    return answer_events(request);
  }
  return transport::error_response(404, "no such path");
}

void engine_stand_in::note_load_locked()
{
  m_load_history.emplace_back(clock::now(), m_running, m_waiting.size());
  // The newest entry that is old enough to be reported stays at the front.
  const auto visible = clock::now() - milliseconds(m_report_lag_ms);
  while (m_load_history.size() > 1 && std::get<0>(m_load_history[1]) <= visible)
  {
    m_load_history.pop_front();
  }
}

http_response engine_stand_in::answer_status()
{
  const std::lock_guard lock(m_mutex);
  const auto visible = clock::now() - milliseconds(m_report_lag_ms);
  std::uint32_t running = 0;
  std::size_t queued = 0;
  for (const auto& [at, then_running, then_queued] : m_load_history)
  {
    if (at > visible)
    {
      break;
    }
    running = then_running;
    queued = then_queued;
  }
  json models = json::array();
  for (const auto& [key, model] : m_models)
  {
    models.push_back({{"model", key.first},
                      {"version", key.second},
                      {"manifest", model.manifest},
                      {"content", model.content},
                      {"fence", model.fence},
                      {"state", model.state}});
  }
  return json_response({{"boot", m_boot},
                        {"slots", m_slots},
                        {"running", running},
                        {"queued", queued},
                        {"models", models}});
}

http_response engine_stand_in::answer_order(const std::string& body)
{
  const json from = json::parse(body, nullptr, false);
  if (!from.is_object())
  {
    return transport::error_response(400, "order must be an object");
  }
  const std::string kind = text_member(from, "order");
  const order what{{text_member(from, "model"), text_member(from, "version")},
                   text_member(from, "manifest"),
                   text_member(from, "content"),
                   number_member(from, "fence"),
                   text_member(from, "source")};
  if ((kind != "load" && kind != "unload") || what.key.first.empty() || what.key.second.empty())
  {
    return transport::error_response(400, "order needs order, model and version");
  }
  const std::lock_guard lock(m_mutex);
  ++m_orders;
  std::uint64_t& fence = m_fences[what.key];
  if (m_check_fence && what.fence < fence)
  {
    ++m_refused_orders;
    return json_response({{"error", "old fencing number"}, {"fence", fence}}, 409);
  }
  fence = std::max(fence, what.fence);
  if (kind == "unload")
  {
    return unload_locked(what.key);
  }
  // The same order again, for example after a lost answer, does not start a second load.
  const auto known = m_models.find(what.key);
  if (known != m_models.end() && known->second.manifest == what.manifest &&
      known->second.state != "failed")
  {
    known->second.fence = what.fence;
    return json_response(json::object(), 202);
  }
  m_models[what.key] = {what.manifest, what.content, what.fence, "loading"};
  m_loaders.emplace_back([this, what, process = m_generation.load()] { load(what, process); });
  return json_response(json::object(), 202);
}

http_response engine_stand_in::unload_locked(const model_key& key)
{
  m_models.erase(key);
  return json_response(json::object(), 202);
}

std::string engine_stand_in::download_digest(const std::string& source, std::uint64_t process)
{
  const auto parsed = parse_source(source);
  if (!parsed)
  {
    return {};
  }
  transport::http_client client(parsed->first);
  http_request request;
  request.path = parsed->second;
  sha256_hasher hasher;
  const auto status = client.send_streaming(
      request, [](int code, const auto&) { return code == 200; },
      [&](std::string_view data)
      {
        hasher.update(data);
        return !ended(process);
      });
  return status ? to_hex(hasher.finish()) : std::string();
}

void engine_stand_in::load(const order& what, std::uint64_t process)
{
  const std::string content = download_digest(what.source, process);
  std::int64_t load_ms = 0;
  {
    const std::lock_guard lock(m_mutex);
    load_ms = m_load_ms;
  }
  if (!pause(milliseconds(load_ms), process))
  {
    return;
  }
  const std::lock_guard lock(m_mutex);
  const bool right = content == what.content;
  m_wrong_content += !right && !content.empty() ? 1 : 0;
  m_served.push_back({{"model", what.key.first},
                      {"version", what.key.second},
                      {"manifest", what.manifest},
                      {"content", what.content},
                      {"downloaded", content},
                      {"fence", what.fence}});
  const auto found = m_models.find(what.key);
  if (!ended(process) && found != m_models.end() && found->second.manifest == what.manifest)
  {
    found->second.state = right ? "loaded" : "failed";
  }
}

http_response engine_stand_in::answer_generate(const std::string& body)
{
  const json from = json::parse(body, nullptr, false);
  if (!from.is_object())
  {
    return transport::error_response(400, "request must be an object");
  }
  auto request = std::make_shared<generation_request>();
  request->id = text_member(from, "id");
  request->key = {text_member(from, "model"), text_member(from, "version")};
  request->prompt = text_member(from, "prompt");
  request->max_tokens = number_member(from, "max_tokens");
  request->resume_from = number_member(from, "resume_from");
  request->batch = text_member(from, "priority") == "batch";
  request->hash = token_prefix(request->key.second, request->prompt);
  http_response response;
  {
    const std::lock_guard lock(m_mutex);
    request->process = m_generation;
    const auto model = m_models.find(request->key);
    if (model == m_models.end() || model->second.state != "loaded")
    {
      return transport::error_response(404, "version is not loaded");
    }
    if (m_waiting.size() >= m_queue)
    {
      ++m_rejected;
      return transport::error_response(503, "queue is full");
    }
    response.headers = {{"Engine-Boot", m_boot},
                        {"Engine-Version", request->key.second},
                        {"Engine-Manifest", model->second.manifest}};
  }
  auto place = wait_for_slot(*request);
  if (!place || !begin_run(*request))
  {
    http_response lost = lost_answer();
    lost.headers = response.headers;
    return lost;
  }
  response.content_type = "application/x-ndjson";
  response.stream = [this, request, place](const transport::body_writer& write)
  {
    return generate(*request, write);
  };
  return response;
}

std::shared_ptr<engine_stand_in::slot>
engine_stand_in::wait_for_slot(const generation_request& request)
{
  std::unique_lock lock(m_mutex);
  const ticket mine{request.batch ? 1 : 0, m_next_ticket++};
  m_waiting.insert(mine);
  note_load_locked();
  m_changed.wait(lock,
                 [&]
                 {
                   return ended(request.process) ||
                          (!m_hang && m_running < m_slots && *m_waiting.begin() == mine);
                 });
  m_waiting.erase(mine);
  if (ended(request.process))
  {
    return nullptr;
  }
  ++m_running;
  m_active.insert(request.id);
  note_load_locked();
  lock.unlock();
  m_changed.notify_all();
  return std::make_shared<slot>(*this, request.id);
}

bool engine_stand_in::begin_run(generation_request& request)
{
  std::unique_lock lock(m_mutex);
  ++m_runs[request.id];
  ++m_prompt_runs[request.hash];
  if (!m_crash_on.empty() && request.prompt.find(m_crash_on) != std::string::npos)
  {
    ++m_crashes;
    crash_locked(milliseconds(m_restart_ms));
    lock.unlock();
    m_changed.notify_all();
    return false;
  }
  request.cached = m_cache.use(request.prompt, clock::now());
  m_prefix_hits += request.cached;
  ++m_prefix_lookups;
  return true;
}

std::chrono::nanoseconds engine_stand_in::token_time_locked() const
{
  return from_ms(m_token_ms * (1 + batch_slowdown * (m_running > 0 ? m_running - 1 : 0)));
}

bool engine_stand_in::pause_for_token(const generation_request& request, std::uint64_t token)
{
  std::unique_lock lock(m_mutex);
  std::chrono::nanoseconds time = token_time_locked();
  if (token == request.resume_from)
  {
    time = from_ms(m_first_token_ms * (1 - cache_saving * request.cached));
  }
  const auto stopped = [&]
  {
    return ended(request.process) || m_cancelled.contains(request.id);
  };
  if (m_changed.wait_for(lock, time, stopped))
  {
    return false;
  }
  m_changed.wait(lock, [&] { return stopped() || !m_hang; });
  ++m_tokens;
  return !stopped();
}

bool engine_stand_in::generate(const generation_request& request,
                               const transport::body_writer& write)
{
  for (std::uint64_t token = request.resume_from; token < request.max_tokens; ++token)
  {
    if (!pause_for_token(request, token))
    {
      return false;
    }
    const std::string index = std::to_string(token);
    if (!write("{\"i\":" + index + ",\"token\":\"" + request.hash + "-" + index + "\"}\n"))
    {
      return false;
    }
  }
  return write("{\"end\":true,\"tokens\":" + std::to_string(request.max_tokens) + "}\n");
}

http_response engine_stand_in::answer_cancel(const std::string& body)
{
  const json from = json::parse(body, nullptr, false);
  const std::string id = from.is_object() ? text_member(from, "id") : std::string();
  {
    const std::lock_guard lock(m_mutex);
    if (m_active.contains(id))
    {
      m_cancelled.insert(id);
    }
  }
  m_changed.notify_all();
  return json_response(json::object());
}

http_response engine_stand_in::answer_events(const http_request& request)
{
  const std::string from(transport::find_header(request.query, "from"));
  const std::lock_guard lock(m_mutex);
  return json_response(m_cache.events(std::strtoull(from.c_str(), nullptr, 10),
                                      clock::now() - milliseconds(m_event_lag_ms)));
}

} // namespace pollenyoke::stand_ins
