#include "Gateway/Gateway.h"

#include <algorithm>
#include <cctype>

#include "Common/BootClock.h"
#include "Common/Log.h"
#include "Gateway/StopPolicy.h"

namespace pollenyoke::gateway
{

namespace
{

// Idle connections kept per backend server. With 60 entries this stays below half of the smallest
// connection limit of a server.
constexpr std::size_t max_idle_per_server = 4;
constexpr milliseconds stop_check_interval{50};
constexpr milliseconds unseen_load_check_interval{100};
// Each session uses a file descriptor; the platform allows about 2,500 for sockets.
constexpr std::size_t max_sessions = 1500;
// Rate and burst limits of log lines about single requests.
constexpr double log_lines_per_s = 20;
constexpr double log_burst = 100;

/// Names of services may hold characters that names of metrics may not.
std::string to_metric_name(std::string name)
{
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
  return name;
}

} // namespace

gateway::gateway(async_io::event_loop& loop, const protocol::node_settings& settings,
                 entry_counts counts, send_observer on_send, fleet_link link)
    : m_context{.loop = loop,
                .settings = settings,
                .routes = nullptr,
                .backends = backend_table(std::random_device{}(), settings.domains,
                                          cold_servers(settings.cold_servers, link.sharers)),
                .pool = async_io::idle_pool(max_idle_per_server),
                .versions = version_policy(settings.version_limit),
                .retry_budgets = {},
                .overload = {},
                .refusals_logged = {},
                .crashes = {loop, link,
                            [this]
                            {
                              end_quarantined_requests();
                            }},
                .permits = permit_desk(loop, link, std::random_device{}()),
                .tell_entries = link.tell_entries,
                .random = std::mt19937_64(std::random_device{}()),
                .metrics = {},
                .log_budget = token_bucket(log_lines_per_s, log_burst, current_time()),
                .departure_log_budget = token_bucket(log_lines_per_s, log_burst, current_time()),
                .dropped_log_lines = 0,
                .started = current_time(),
                .live_entries = std::move(counts.live),
                .possible_entries = std::move(counts.possible),
                .on_send = std::move(on_send),
                .longest_time_limit = {},
                .memory = async_io::memory_budget(async_io::client_memory_limit(settings.memory_mb),
                                                  max_sessions),
                .enforce_memory_limit = [this](std::size_t more_bytes)
                { enforce_memory_limit(more_bytes); },
                .stop_started = std::nullopt},
      m_listener(loop, [this](async_io::tcp_connection::pointer connection)
                 { accept(std::move(connection)); }),
      m_stop_timer(loop), m_unseen_load_timer(loop)
{
}

gateway::~gateway()
{
  const auto sessions = m_sessions;
  for (const auto& session : sessions)
  {
    session->cut();
  }
}

result<void> gateway::listen(const transport::endpoint& address)
{
  watch_unseen_loads();
  return m_listener.listen(address);
}

std::uint16_t gateway::port() const
{
  return m_listener.port();
}

void gateway::accept(async_io::tcp_connection::pointer connection)
{
  if (m_sessions.size() >= max_sessions)
  {
    log_warning(log_category::requests, "connection rejected: session limit reached");
    connection->close();
    return;
  }
  const auto session = std::make_shared<caller_session>(
      m_context, std::move(connection),
      [this](const std::shared_ptr<caller_session>& ended) { m_sessions.erase(ended); });
  m_sessions.insert(session);
  session->start();
}

void gateway::enforce_memory_limit(std::size_t more_bytes)
{
  while (const auto holder = m_context.memory.next_to_close(more_bytes, current_time()))
  {
    const auto found =
        std::find_if(m_sessions.begin(), m_sessions.end(),
                     [holder](const auto& session) { return session->memory_holder() == *holder; });
    if (found == m_sessions.end())
    {
      m_context.memory.remove(*holder);
      continue;
    }
    m_context.metrics.add("connections_closed_for_memory");
    if (m_context.log_budget.try_take(1, current_time()))
    {
      log_warning(
          log_category::requests, "connection closed: callers hold too much memory",
          {{"held_bytes", m_context.memory.total()}, {"limit_bytes", m_context.memory.limit()}});
    }
    (*found)->close_for_memory();
  }
}

void gateway::set_config(protocol::serving_config config)
{
  if (m_context.routes && m_context.routes->config().version >= config.version)
  {
    return;
  }
  log_info(log_category::log, "configuration applied",
           {{"version", config.version},
            {"routes", config.routes.size()},
            {"keys", config.teams_by_key.size()}});
  m_context.backends.set_services(config.services);
  m_context.routes = std::make_shared<const route_table>(std::move(config));
}

void gateway::set_evacuated(const std::string& domain, bool evacuated)
{
  if (!m_context.settings.domains.contains(domain))
  {
    log_warning(log_category::membership, "failure domain of an evacuation is not known",
                {{"domain", domain}});
    return;
  }
  if (evacuated && m_context.backends.begin_evacuation(domain))
  {
    log_info(log_category::membership, "failure domain is evacuated", {{"domain", domain}});
  }
  if (!evacuated && m_context.backends.end_evacuation(domain, current_time()))
  {
    log_info(log_category::membership, "evacuation has ended", {{"domain", domain}});
  }
}

bool gateway::restricts_regions(std::string_view host) const
{
  return m_context.routes && m_context.routes->restricts_regions(host);
}

void gateway::add_version(const protocol::named_version& version, bool observed)
{
  log_info(log_category::weights, "version named",
           {{"model", version.model}, {"version", version.version}, {"witnessed", observed}});
  m_context.versions.add_version(version, observed, current_time());
}

void gateway::merge_version_ages(const std::vector<peers::version_age>& ages)
{
  m_context.versions.merge_ages(ages, current_time());
}

std::vector<peers::version_age> gateway::version_ages() const
{
  return m_context.versions.ages(current_time());
}

void gateway::put_backend(const protocol::backend_entry& entry)
{
  m_context.backends.put(entry, current_time());
}

void gateway::remove_backend(const std::string& id, std::optional<time_point> may_return_until)
{
  const auto now = current_time();
  const auto kept = may_return_until
                        ? std::chrono::duration_cast<milliseconds>(*may_return_until - now).count()
                        : 0;
  log_info(log_category::membership, "backend server removed", {{"server", id}, {"kept_ms", kept}});
  m_context.backends.remove(id, may_return_until);
}

void gateway::update_load(const peers::load_message& load)
{
  m_context.backends.update_load(load, current_time());
}

std::optional<peers::layer_proof> gateway::find_proof(const peers::load_message& load) const
{
  return m_context.backends.find_proof(load);
}

void gateway::receive(const peers::peer_message& message, const std::string& from)
{
  if (const auto* limit = std::get_if<peers::server_limit>(&message))
  {
    add_limit(*limit);
    return;
  }
  if (const auto* request = std::get_if<peers::permit_request>(&message))
  {
    m_context.permits.receive(*request, from);
    return;
  }
  if (const auto* answer = std::get_if<peers::permit_answer>(&message))
  {
    m_context.permits.receive(*answer);
    return;
  }
  if (const auto* leaving = std::get_if<peers::server_leaving>(&message))
  {
    add_leaving(*leaving);
    return;
  }
  m_context.crashes.receive(message);
}

void gateway::add_leaving(const peers::server_leaving& leaving)
{
  const auto now = current_time();
  if (m_context.backends.add_leaving(leaving.server, leaving.started_ms, notice_source::peer, now))
  {
    m_context.metrics.add("servers_leaving_by_peer");
    if (const auto address = m_context.backends.address_of(leaving.server))
    {
      m_context.pool.drop(*address);
    }
  }
}

void gateway::add_limit(const peers::server_limit& news)
{
  const auto now = current_time();
  const bool is_news = news.ended ? m_context.backends.end_limit(news.server, news.started_ms, now)
                                  : m_context.backends.name_limit(news.server, news.started_ms,
                                                                  news.per_second, now, now);
  if (is_news)
  {
    m_context.metrics.add("server_limits_by_peer");
  }
}

std::optional<peers::quarantine_digest> gateway::quarantine_digest() const
{
  return m_context.crashes.quarantine().make_digest(current_time());
}

/// Requests that wait at a server may still be taken back before they crash it.
void gateway::end_quarantined_requests()
{
  const auto sessions = m_sessions;
  for (const auto& session : sessions)
  {
    session->end_if_quarantined();
  }
}

void gateway::watch_unseen_loads()
{
  m_unseen_load_timer.start(unseen_load_check_interval, [this] { watch_unseen_loads(); });
  const auto engines = m_context.backends.engines_that_may_have_loaded(current_time());
  if (engines.empty())
  {
    return;
  }
  const auto sessions = m_sessions;
  for (const auto& session : sessions)
  {
    session->leave_engines(engines);
  }
}

bool gateway::is_ready() const
{
  return m_context.routes != nullptr && !m_context.stop_started;
}

void gateway::stop(std::function<void()> done, milliseconds signal_age)
{
  m_context.stop_started = current_time() - signal_age;
  m_on_stopped = std::move(done);
  check_stopped();
}

void gateway::check_stopped()
{
  const auto passed =
      std::chrono::duration_cast<milliseconds>(current_time() - *m_context.stop_started);
  const bool notice_given = has_given_notice(passed);
  const bool answer_now = must_answer(passed, m_context.settings.stop_grace);
  if (notice_given || answer_now)
  {
    m_listener.close_after_pending();
    const auto sessions = m_sessions;
    for (const auto& session : sessions)
    {
      if (answer_now)
      {
        session->answer_for_stop();
      }
      session->close_if_idle();
    }
  }
  if ((notice_given && m_sessions.empty()) || must_end(passed, m_context.settings.stop_grace))
  {
    end_stop(passed);
    return;
  }
  m_stop_timer.start(stop_check_interval, [this] { check_stopped(); });
}

void gateway::end_stop(milliseconds passed)
{
  const auto sessions = m_sessions;
  const auto cut = std::count_if(sessions.begin(), sessions.end(),
                                 [](const auto& session) { return session->cut(); });
  log_info(log_category::process, "stopped",
           {{"open_sessions", sessions.size()},
            {"cut_answers", cut},
            {"stop_ms", passed.count()},
            {"dropped_log_lines", m_context.dropped_log_lines}});
  m_on_stopped();
}

std::string gateway::metrics_text()
{
  for (const auto& [service, policy] : m_context.overload)
  {
    for (const auto& [rank, counts] : policy.counts())
    {
      std::string suffix = "_";
      suffix.append(to_metric_name(service)).append("_urgency_").append(std::to_string(rank.team));
      suffix.append("_").append(std::to_string(rank.route));
      m_context.metrics.set("demand" + suffix, static_cast<double>(counts.demand));
      m_context.metrics.set("admitted" + suffix, static_cast<double>(counts.admitted));
      m_context.metrics.set("on_time" + suffix, static_cast<double>(counts.on_time));
      m_context.metrics.set("late" + suffix, static_cast<double>(counts.late));
    }
  }
  return m_context.metrics.to_prometheus();
}

} // namespace pollenyoke::gateway
