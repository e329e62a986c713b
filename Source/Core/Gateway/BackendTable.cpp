#include "Gateway/BackendTable.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "Common/Log.h"

namespace pollenyoke::gateway
{

namespace
{

// Agents report every 100 ms. Older than this, a report says less than one's own requests in
// flight.
constexpr milliseconds load_lifetime{700};
// A request needs this long to reach the engine and to show in a report.
constexpr milliseconds report_delay{60};
// Requests spread over servers whose estimates differ by less than this: about the error of an
// estimate, one pass of an engine.
constexpr double spread_ms = 40;
// Two failures in a row, or a third of the recent attempts, put a server aside. A service whose
// requests fail now and then by themselves stays below the share.
constexpr unsigned consecutive_limit = 2;
constexpr double failure_share_limit = 0.35;
constexpr double failure_weight = 0.2;
constexpr milliseconds first_ejection{1000};
constexpr milliseconds longest_ejection{8000};
// An agent or the store has told what a misdirected request met by then.
constexpr milliseconds doubt_lifetime{500};
// A fault that seems to hit more servers than this at once is one of the network or of the
// requests.
constexpr double most_ejected = 0.5;
// A server without an estimate of its own: time of one request, for the order only.
constexpr double plain_request_ms = 20;

} // namespace

backend_table::backend_table(std::uint64_t random_seed) : m_random(random_seed) {}

void backend_table::set_services(const std::map<std::string, protocol::service>& services)
{
  m_services = services;
}

void backend_table::put(const protocol::backend_entry& entry, time_point /*now*/)
{
  server& backend = m_servers[entry.id];
  const bool reborn =
      backend.entry.started_ms != entry.started_ms || backend.entry.address != entry.address;
  if (!backend.entry.id.empty() && reborn)
  {
    server started_again;
    started_again.in_flight = backend.in_flight;
    backend = std::move(started_again);
  }
  backend.entry = entry;
  backend.gone_at.reset();
}

void backend_table::remove(const std::string& id, std::optional<time_point> lapse_until)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end())
  {
    return;
  }
  if (lapse_until && !found->second.entry.draining)
  {
    found->second.gone_at = found->second.gone_at.value_or(*lapse_until);
    return;
  }
  m_servers.erase(found);
}

void backend_table::take_load(const peers::load_message& load, time_point now)
{
  for (auto& [id, backend] : m_servers)
  {
    if (transport::to_string(backend.entry.address) != load.engine)
    {
      continue;
    }
    if (load.started_ms != 0 && backend.entry.started_ms != 0 &&
        load.started_ms < backend.entry.started_ms)
    {
      continue;
    }
    backend.load = load;
    backend.load_received = now;
    while (!backend.unreported.empty() && backend.unreported.front() < now - report_delay)
    {
      backend.unreported.pop_front();
    }
  }
}

bool backend_table::is_present(const server& backend, time_point now)
{
  return !backend.entry.draining && (!backend.gone_at || now < *backend.gone_at);
}

std::uint64_t backend_table::known_version(const server& backend)
{
  // The agent's report is newer than the record in the store.
  return backend.load ? backend.load->weight_version : backend.entry.weight_version;
}

bool backend_table::is_usable(const server& backend, const choice_request& request,
                              time_point now) const
{
  if (backend.entry.service != request.service || !is_present(backend, now) ||
      request.excluded.contains(backend.entry.id) || now < backend.ejected_until ||
      now < backend.doubtful_until)
  {
    return false;
  }
  if (backend.on_trial && backend.in_flight > 0)
  {
    return false;
  }
  const auto service = m_services.find(request.service);
  const bool is_engine = service != m_services.end() && service->second.engine;
  if (!is_engine)
  {
    return true;
  }
  const bool fresh = backend.load && now - backend.load_received < load_lifetime;
  if (fresh && backend.load->loading)
  {
    return false;
  }
  const std::uint64_t version = known_version(backend);
  return version != 0 && version >= request.minimum_version;
}

double backend_table::expected_first_byte_ms(const server& backend, const choice_request& request,
                                             const protocol::service* service, time_point now) const
{
  const double slots = std::max(1U, backend.entry.slots);
  const double own = backend.in_flight;
  if (service == nullptr || !service->engine)
  {
    const double distance = backend.entry.failure_domain == request.own_domain ? 0 : 1;
    return plain_request_ms * own / slots + distance;
  }
  const protocol::engine_speed& speed = *service->engine;
  const bool fresh = backend.load && now - backend.load_received < load_lifetime;
  const double reported =
      fresh ? static_cast<double>(backend.load->waiting + backend.load->running) : 0;
  const double unreported = fresh ? static_cast<double>(backend.unreported.size()) : own;
  const double pace = fresh ? std::max(1.0, static_cast<double>(backend.load->pace)) : 1;
  const double occupied = std::max(reported + unreported, own);
  const double writing = std::min(occupied, slots);
  const double pass_ms =
      speed.steps_per_pass * (speed.step_ms + speed.step_ms_per_request * writing);
  const auto read_ms = [&speed](double tokens)
  {
    const double pairs = tokens * tokens / 2e6;
    return tokens / speed.prompt_tokens_per_s * 1000 + pairs * speed.pairs_ms_per_million;
  };
  const double unread = (fresh ? backend.load->waiting : 0) + unreported;
  const double wait_for_slot = std::max(0.0, occupied + 1 - slots) / slots *
                               (speed.usual_answer / std::max(1.0, speed.steps_per_pass) * pass_ms +
                                read_ms(speed.usual_prompt));
  return pace * (pass_ms * 1.5 + read_ms(request.prompt_tokens) +
                 unread * read_ms(speed.usual_prompt) + wait_for_slot);
}

std::optional<backend_choice> backend_table::choose(const choice_request& request, time_point now)
{
  const auto service = m_services.find(request.service);
  const protocol::service* known = service == m_services.end() ? nullptr : &service->second;
  std::vector<backend_choice> usable;
  double best = 0;
  for (const auto& [id, backend] : m_servers)
  {
    if (!is_usable(backend, request, now))
    {
      continue;
    }
    const double estimate = expected_first_byte_ms(backend, request, known, now);
    best = usable.empty() ? estimate : std::min(best, estimate);
    usable.push_back({id, backend.entry.address, estimate, known_version(backend)});
  }
  if (usable.empty())
  {
    return std::nullopt;
  }
  std::vector<double> weights;
  for (const backend_choice& choice : usable)
  {
    weights.push_back(std::exp((best - choice.first_byte_ms) / spread_ms));
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return usable[draw(m_random)];
}

service_view backend_table::view(const std::string& service, time_point now) const
{
  service_view out;
  choice_request any;
  any.service = service;
  for (const auto& [id, backend] : m_servers)
  {
    if (backend.entry.service == service && is_present(backend, now))
    {
      ++out.servers;
      out.usable += is_usable(backend, any, now) ? 1U : 0U;
    }
  }
  return out;
}

void backend_table::begin_attempt(const std::string& id, time_point now)
{
  const auto found = m_servers.find(id);
  if (found != m_servers.end())
  {
    server& backend = found->second;
    ++backend.in_flight;
    backend.unreported.push_back(now);
    while (backend.unreported.front() < now - load_lifetime)
    {
      backend.unreported.pop_front();
    }
  }
}

void backend_table::end_attempt(const std::string& id, attempt_health health, time_point now)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end())
  {
    return;
  }
  server& backend = found->second;
  backend.in_flight -= backend.in_flight > 0 ? 1U : 0U;
  if (health == attempt_health::misdirected)
  {
    backend.doubtful_until = now + doubt_lifetime;
    return;
  }
  if (health == attempt_health::full)
  {
    return;
  }
  const bool failed = health != attempt_health::good;
  backend.failure_share += failure_weight * ((failed ? 1.0 : 0.0) - backend.failure_share);
  if (!failed)
  {
    backend.consecutive_failures = 0;
    if (backend.on_trial)
    {
      backend.on_trial = false;
      backend.times_ejected = 0;
      backend.failure_share = 0;
      log_info(log_category::requests, "backend server back in use", {{"server", id}});
    }
    return;
  }
  ++backend.consecutive_failures;
  if (backend.on_trial || backend.consecutive_failures >= consecutive_limit ||
      backend.failure_share > failure_share_limit)
  {
    eject(backend, now);
  }
}

void backend_table::eject(server& backend, time_point now)
{
  const auto all = view(backend.entry.service, now).servers;
  if (now < backend.ejected_until ||
      static_cast<double>(ejected_servers(backend.entry.service, now)) + 1 >
          most_ejected * static_cast<double>(all))
  {
    return;
  }
  const auto pause =
      std::min(first_ejection * (1U << std::min(backend.times_ejected, 3U)), longest_ejection);
  ++backend.times_ejected;
  backend.ejected_until = now + pause;
  backend.on_trial = true;
  backend.consecutive_failures = 0;
  log_warning(log_category::requests, "backend server put aside",
              {{"server", backend.entry.id},
               {"failure_share", backend.failure_share},
               {"pause_ms", pause.count()}});
}

std::size_t backend_table::ejected_servers(const std::string& service, time_point now) const
{
  return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(),
                                                [&service, now](const auto& item)
                                                {
                                                  return item.second.entry.service == service &&
                                                         is_present(item.second, now) &&
                                                         now < item.second.ejected_until;
                                                }));
}

} // namespace pollenyoke::gateway
