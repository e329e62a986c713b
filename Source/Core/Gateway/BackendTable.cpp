#include "Gateway/BackendTable.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Common/Log.h"
#include "Gateway/ReportLifetimes.h"

namespace pollenyoke::gateway
{

namespace
{

// An order takes pieces that have been bad for too long only if it is accepted more than 3 s after
// its check, which began after every report of an earlier start of the engine. The difference
// covers the transit of a request.
constexpr milliseconds whole_report_lifetime{2500};
// An order is sent 2 s after the begin of its check at the latest, and the engine has to be silent
// for another second before it takes pieces that have been bad for too long.
constexpr milliseconds unseen_load_time{900};
// Time until a request has reached the engine and appears in a load report.
constexpr milliseconds report_delay{60};
constexpr double held_average_weight = 0.02;

bool is_older_mark(const peers::engine_mark& mark, const peers::engine_mark& than)
{
  return mark.started_ms < than.started_ms ||
         (mark.started_ms == than.started_ms && mark.orders < than.orders);
}

} // namespace

backend_table::backend_table(std::uint64_t random_seed, std::map<std::string, std::string> regions,
                             cold_servers cold)
    : m_regions(std::move(regions)), m_cold(std::move(cold)), m_random(random_seed)
{
}

bool backend_table::begin_evacuation(const std::string& domain)
{
  return m_evacuated_domains.insert(domain).second;
}

/// The servers may have become cold since their last report.
bool backend_table::end_evacuation(const std::string& domain, time_point now)
{
  if (m_evacuated_domains.erase(domain) == 0)
  {
    return false;
  }
  for (const auto& [id, backend] : m_servers)
  {
    if (backend.entry.failure_domain == domain)
    {
      add_cold_start(backend, now);
    }
  }
  return true;
}

void backend_table::add_cold(const std::string& id, milliseconds remaining, time_point now)
{
  const bool was_warm = m_cold.add(id, remaining, now);
  const auto known = m_servers.find(id);
  if (was_warm && known != m_servers.end() && is_cold(known->second, now))
  {
    log_info(log_category::membership, "backend server is cold",
             {{"server", id}, {"remaining_ms", remaining.count()}});
  }
}

void backend_table::add_cold_start(const server& backend, time_point now)
{
  if (const auto* service = find_service(backend.entry.service))
  {
    add_cold(backend.entry.id, service->cold_start, now);
  }
}

bool backend_table::is_cold(const server& backend, time_point now) const
{
  const auto* service = find_service(backend.entry.service);
  return service != nullptr && service->cold_per_second > 0 &&
         m_cold.is_cold(backend.entry.id, now);
}

std::optional<time_point> backend_table::next_cold_send(const server& backend, time_point now) const
{
  if (!is_cold(backend, now))
  {
    return std::nullopt;
  }
  const double rate = find_service(backend.entry.service)->cold_per_second;
  const time_point next = m_cold.next_send(backend.entry.id, rate, now);
  return next > now ? std::optional(next) : std::nullopt;
}

bool backend_table::may_send_to_cold(const backend_choice& choice, time_point now) const
{
  const auto may_send = [this, now](const std::string& id)
  {
    const auto known = m_servers.find(id);
    return known == m_servers.end() || !next_cold_send(known->second, now);
  };
  return may_send(choice.id) && std::all_of(choice.pipeline.begin(), choice.pipeline.end(),
                                            [&may_send](const protocol::pipeline_stage& stage)
                                            { return may_send(stage.id); });
}

bool backend_table::has_cold(const choice_request& request, time_point now) const
{
  return std::any_of(m_servers.begin(), m_servers.end(),
                     [this, &request, now](const auto& item) {
                       return next_cold_send(item.second, now) &&
                              is_willing(item.second, request, now);
                     });
}

void backend_table::add_request(const std::string& service, std::size_t entries, time_point now)
{
  m_entries = std::max<std::size_t>(entries, 1);
  m_arrivals[service].add(now);
}

void backend_table::set_services(const std::map<std::string, protocol::service>& services)
{
  m_services = services;
}

void backend_table::put(const protocol::backend_entry& entry, time_point now)
{
  server& backend = m_servers[entry.id];
  const bool restarted =
      backend.entry.started_ms != entry.started_ms || backend.entry.address != entry.address;
  const bool is_new = backend.entry.id.empty();
  const bool moved = !is_new && backend.entry.address != entry.address;
  if (moved)
  {
    remove_from_index(backend);
  }
  if (is_new || moved)
  {
    m_ids_by_address.emplace(transport::to_string(entry.address), entry.id);
  }
  if (!is_new && restarted)
  {
    server replacement;
    replacement.in_flight = backend.in_flight;
    backend = std::move(replacement);
  }
  const bool says_leaving = entry.draining && !backend.entry.draining && !is_leaving(backend);
  backend.entry = entry;
  backend.record_received = now;
  backend.expires_at.reset();
  add_cold(entry.id, entry.cold_remaining, now);
  if (says_leaving)
  {
    log_leaving(backend, notice_source::store, now);
  }
}

bool backend_table::add_leaving(const std::string& id, std::uint64_t started_ms,
                                notice_source source, time_point now)
{
  if (!m_notices.add_leaving(id, started_ms))
  {
    return false;
  }
  const auto known = m_servers.find(id);
  if (known != m_servers.end() && !known->second.entry.draining)
  {
    log_leaving(known->second, source, now);
  }
  return true;
}

void backend_table::log_leaving(const server& backend, notice_source source, time_point now)
{
  constexpr std::array<std::string_view, 4> sources{"store", "answer", "peer", "agent"};
  const auto age = std::chrono::duration_cast<milliseconds>(now - backend.record_received);
  log_info(log_category::membership, "backend server leaves",
           {{"server", backend.entry.id},
            {"from", sources.at(static_cast<std::size_t>(source))},
            {"record_age_ms", age.count()}});
}

bool backend_table::begin_pause(const std::string& id, std::uint64_t started_ms,
                                milliseconds length, time_point now)
{
  const double fraction = std::uniform_real_distribution<double>(0, 1)(m_random);
  if (!m_notices.begin_pause(id, started_ms, length, fraction, now))
  {
    return false;
  }
  const auto until = m_notices.paused_until(id, started_ms, now);
  const auto used =
      until ? std::chrono::duration_cast<milliseconds>(*until - now) : milliseconds(0);
  log_info(log_category::requests, "backend server wants no requests for a while",
           {{"server", id}, {"asked_ms", length.count()}, {"pause_ms", used.count()}});
  return true;
}

bool backend_table::name_limit(const std::string& id, std::uint64_t started_ms, double per_second,
                               time_point asked, time_point now)
{
  if (!m_notices.name_limit(id, started_ms, per_second, asked, now))
  {
    return false;
  }
  log_info(log_category::requests, "backend server names a limit",
           {{"server", id}, {"requests_per_s", per_second}});
  return true;
}

bool backend_table::end_limit(const std::string& id, std::uint64_t started_ms, time_point asked)
{
  if (!m_notices.end_limit(id, started_ms, asked))
  {
    return false;
  }
  log_info(log_category::requests, "backend server names no limit any more", {{"server", id}});
  return true;
}

bool backend_table::wants_requests(const backend_choice& choice, time_point now) const
{
  const auto wants = [this, now, &choice](const std::string& id)
  {
    const auto known = m_servers.find(id);
    if (known != m_servers.end() &&
        m_evacuated_domains.contains(known->second.entry.failure_domain))
    {
      return false;
    }
    if (known != m_servers.end() && !choice.cold && is_cold(known->second, now))
    {
      return false;
    }
    const std::uint64_t started_ms = known == m_servers.end() ? 0 : known->second.entry.started_ms;
    return !m_notices.is_leaving(id, started_ms) && !m_notices.paused_until(id, started_ms, now);
  };
  const bool permitted =
      choice.limited || !m_notices.limit(choice.id, choice.started_ms).has_value();
  return permitted && wants(choice.id) &&
         std::all_of(choice.pipeline.begin(), choice.pipeline.end(),
                     [&wants](const protocol::pipeline_stage& stage) { return wants(stage.id); });
}

bool backend_table::holds_layers(const backend_choice& choice, time_point now) const
{
  if (choice.pipeline.empty())
  {
    const auto known = m_servers.find(choice.id);
    if (known == m_servers.end())
    {
      return choice.weight_version == 0;
    }
    const server& backend = known->second;
    const auto* service = find_service(backend.entry.service);
    return !needs_proof(service) ||
           (known_version(backend, service, now) == choice.weight_version &&
            !backend.load->loading);
  }
  return std::all_of(choice.pipeline.begin(), choice.pipeline.end(),
                     [this, &choice, now](const protocol::pipeline_stage& stage)
                     {
                       const auto known = m_servers.find(stage.id);
                       if (known == m_servers.end() || !known->second.load)
                       {
                         return false;
                       }
                       const peers::load_message& load = *known->second.load;
                       const protocol::layer_range held{load.part_from, load.part_to};
                       return now - known->second.layers_confirmed < partial_report_lifetime &&
                              load.part_version == choice.weight_version && !load.loading &&
                              may_use_layers(load, find_service(known->second.entry.service)) &&
                              held.contains(stage.layers);
                     });
}

std::set<std::string> backend_table::engines_that_may_have_loaded(time_point now) const
{
  std::set<std::string> out;
  for (const auto& [id, backend] : m_servers)
  {
    if (backend.load && backend.load->loading &&
        now - backend.layers_confirmed >= unseen_load_time &&
        needs_proof(find_service(backend.entry.service)))
    {
      out.insert(id);
    }
  }
  return out;
}

std::optional<permit_query> backend_table::make_permit_query(const backend_choice& choice,
                                                             time_point now) const
{
  const auto limit = m_notices.limit(choice.id, choice.started_ms);
  if (!limit)
  {
    return std::nullopt;
  }
  const auto heard_ago = now - m_notices.limit_heard(choice.id, choice.started_ms);
  return permit_query{.server = choice.id,
                      .started_ms = choice.started_ms,
                      .limit = *limit,
                      .heard_ago = std::chrono::duration_cast<milliseconds>(heard_ago)};
}

void backend_table::put_off(const backend_choice& choice, time_point until)
{
  m_notices.put_off(choice.id, choice.started_ms, until);
}

bool backend_table::has_unlimited(const choice_request& request, time_point now) const
{
  return std::any_of(m_servers.begin(), m_servers.end(),
                     [this, &request, now](const auto& item)
                     { return !is_limited(item.second) && is_usable(item.second, request, now); });
}

bool backend_table::has_limited(const choice_request& request, time_point now) const
{
  return std::any_of(m_servers.begin(), m_servers.end(),
                     [this, &request, now](const auto& item)
                     { return is_limited(item.second) && is_willing(item.second, request, now); });
}

std::optional<milliseconds> backend_table::shortest_pause(const choice_request& request,
                                                          time_point now) const
{
  std::optional<milliseconds> shortest;
  for (const auto& [id, backend] : m_servers)
  {
    const auto until = std::max(m_notices.closed_until(id, backend.entry.started_ms, now),
                                next_cold_send(backend, now));
    if (until && is_willing(backend, request, now))
    {
      const auto left = std::chrono::duration_cast<milliseconds>(*until - now);
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  return shortest;
}

std::optional<transport::endpoint> backend_table::address_of(const std::string& id) const
{
  const auto known = m_servers.find(id);
  return known == m_servers.end() ? std::nullopt : std::optional(known->second.entry.address);
}

void backend_table::remove(const std::string& id, std::optional<time_point> keep_until)
{
  const auto found = m_servers.find(id);
  if (found == m_servers.end())
  {
    return;
  }
  if (keep_until && !found->second.entry.draining)
  {
    found->second.expires_at = found->second.expires_at.value_or(*keep_until);
    return;
  }
  remove_from_index(found->second);
  m_servers.erase(found);
}

void backend_table::remove_from_index(const server& backend)
{
  const auto range = m_ids_by_address.equal_range(transport::to_string(backend.entry.address));
  const auto indexed =
      std::find_if(range.first, range.second,
                   [&backend](const auto& item) { return item.second == backend.entry.id; });
  if (indexed != range.second)
  {
    m_ids_by_address.erase(indexed);
  }
}

/// Several records may name one address: that of a server that is gone and of its successor.
void backend_table::update_load(const peers::load_message& load, time_point now)
{
  m_held_s += held_average_weight * (load.held_ms / 1000.0 - m_held_s);
  if (load.proven && load.mark.started_ms != 0)
  {
    m_proven_marks[load.engine] = load.mark;
  }
  const auto range = m_ids_by_address.equal_range(load.engine);
  for (auto indexed = range.first; indexed != range.second; ++indexed)
  {
    const std::string& id = indexed->second;
    server& backend = m_servers.at(id);
    if (load.mark.started_ms != 0 && backend.entry.started_ms != 0 &&
        load.mark.started_ms < backend.entry.started_ms)
    {
      continue;
    }
    if (load.leaving && load.mark.started_ms == backend.entry.started_ms)
    {
      (void)add_leaving(id, backend.entry.started_ms, notice_source::agent, now);
    }
    if (backend.load && is_older_mark(load.mark, backend.load->mark))
    {
      // A datagram of an earlier start of the engine, or of an earlier run of its agent.
      continue;
    }
    const bool same_start = backend.load && backend.load->mark.started_ms == load.mark.started_ms;
    const time_point received = now - milliseconds(load.held_ms);
    const auto age = load.stamp.run == 0 ? std::optional(milliseconds(load.held_ms))
                                         : backend.report_clock.age(load.stamp, same_start, now);
    if (!age || (backend.load && received < backend.load_received))
    {
      // Reports that different entries forward may overtake each other.
      continue;
    }
    const bool has_restarted = backend.entry.started_ms != 0 && !same_start &&
                               load.mark.started_ms > backend.entry.started_ms;
    if (has_restarted)
    {
      // The report names a later start than the record.
      add_cold_start(backend, now);
    }
    backend.load = load;
    backend.load_received = received;
    backend.layers_confirmed = now - std::max(*age, milliseconds(load.held_ms));
    while (!backend.unreported.empty() &&
           backend.unreported.front() < backend.load_received - report_delay)
    {
      backend.unreported.pop_front();
    }
  }
}

bool backend_table::is_leaving(const server& backend) const
{
  return backend.entry.draining || m_notices.is_leaving(backend.entry.id, backend.entry.started_ms);
}

bool backend_table::is_limited(const server& backend) const
{
  return m_notices.limit(backend.entry.id, backend.entry.started_ms).has_value();
}

bool backend_table::is_present(const server& backend, time_point now) const
{
  return !is_leaving(backend) && (!backend.expires_at || now < *backend.expires_at);
}

const protocol::service* backend_table::find_service(const std::string& name) const
{
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

std::optional<peers::layer_proof> backend_table::find_proof(const peers::load_message& load) const
{
  const auto proven = m_proven_marks.find(load.engine);
  if (proven == m_proven_marks.end() || proven->second != load.mark)
  {
    return std::nullopt;
  }
  return peers::layer_proof{.engine = load.engine, .mark = load.mark};
}

bool backend_table::needs_proof(const protocol::service* service)
{
  return service != nullptr && service->engine && service->engine->chunks > 0;
}

/// A proof holds for its mark for good, so that one of the agent's earlier run counts as well.
bool backend_table::may_use_layers(const peers::load_message& load,
                                   const protocol::service* service) const
{
  return !needs_proof(service) || load.proven || find_proof(load).has_value();
}

std::uint64_t backend_table::known_version(const server& backend, const protocol::service* service,
                                           time_point now) const
{
  if (needs_proof(service))
  {
    const bool usable = backend.load && may_use_layers(*backend.load, service) &&
                        now - backend.layers_confirmed < whole_report_lifetime;
    return usable ? backend.load->weight_version : 0;
  }
  // The agent's load report is newer than the record in the store.
  if (backend.load)
  {
    return backend.load->weight_version;
  }
  const unsigned layers = service != nullptr && service->engine ? service->engine->layers : 0;
  return protocol::holds_all(backend.entry.layers, layers) ? backend.entry.weight_version : 0;
}

} // namespace pollenyoke::gateway
