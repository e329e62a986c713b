#include <algorithm>
#include <utility>
#include <vector>

#include "Common/Log.h"
#include "Gateway/BackendTable.h"
#include "Gateway/ReportLifetimes.h"

namespace pollenyoke::gateway
{

namespace
{

// A server is ejected after two consecutive failures or when a third of its recent attempts failed.
// Services whose requests occasionally fail by themselves stay below this share.
constexpr unsigned consecutive_failure_limit = 2;
constexpr double failure_share_limit = 0.35;
constexpr double failure_average_weight = 0.2;
constexpr milliseconds min_ejection_time{1000};
constexpr milliseconds max_ejection_time{8000};
// By then an agent or the store has reported the change that caused the misdirected request.
constexpr milliseconds misdirected_backoff{500};
// Largest share of the servers that may be ejected at once; if more seem to fail, the network or
// the requests are at fault.
constexpr double max_ejected_share = 0.5;

} // namespace

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

namespace
{

/// All servers that run the request.
std::vector<protocol::pipeline_stage> servers_of(const backend_choice& choice)
{
  return choice.pipeline.empty()
             ? std::vector<protocol::pipeline_stage>{{choice.id, choice.address, {}}}
             : choice.pipeline;
}

} // namespace

void backend_table::begin_attempt(const backend_choice& choice, time_point now)
{
  for (const auto& stage : servers_of(choice))
  {
    const auto found = m_servers.find(stage.id);
    if (found == m_servers.end())
    {
      continue;
    }
    server& backend = found->second;
    if (m_notices.take_ended_pause(stage.id, backend.entry.started_ms, now))
    {
      log_info(log_category::requests, "backend server is used again after its pause",
               {{"server", stage.id}});
    }
    if (is_cold(backend, now))
    {
      m_cold.note_send(stage.id, now);
    }
    ++backend.in_flight;
    backend.unreported.push_back(now);
    while (backend.unreported.front() < now - load_report_lifetime)
    {
      backend.unreported.pop_front();
    }
  }
}

void backend_table::end_attempt(const backend_choice& choice, attempt_health health, time_point now,
                                const std::string& at_fault)
{
  const auto servers = servers_of(choice);
  const auto found_stage =
      std::find_if(servers.begin(), servers.end(),
                   [&at_fault](const protocol::pipeline_stage& stage) {
                     return stage.id == at_fault || transport::to_string(stage.address) == at_fault;
                   });
  const std::string& faulty_id = found_stage == servers.end() ? choice.id : found_stage->id;
  for (const auto& stage : servers)
  {
    // A successful response proves all servers of the pipeline healthy; a failure counts only
    // against the server at fault.
    const bool applies = health == attempt_health::healthy || stage.id == faulty_id;
    end_attempt_at(stage.id, applies ? health : attempt_health::neutral, now);
  }
}

void backend_table::end_attempt_at(const std::string& id, attempt_health health, time_point now)
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
    backend.avoid_until = now + misdirected_backoff;
    return;
  }
  if (health == attempt_health::neutral)
  {
    return;
  }
  const bool failed = health != attempt_health::healthy;
  backend.failure_share += failure_average_weight * ((failed ? 1.0 : 0.0) - backend.failure_share);
  if (!failed)
  {
    backend.consecutive_failures = 0;
    if (std::exchange(backend.was_unreachable, false))
    {
      add_cold_start(backend, now);
    }
    if (backend.probing)
    {
      backend.probing = false;
      backend.times_ejected = 0;
      backend.failure_share = 0;
      log_info(log_category::requests, "backend server restored after ejection", {{"server", id}});
    }
    return;
  }
  ++backend.consecutive_failures;
  backend.was_unreachable = backend.was_unreachable || health == attempt_health::unreachable;
  if (backend.probing || backend.consecutive_failures >= consecutive_failure_limit ||
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
          max_ejected_share * static_cast<double>(all))
  {
    return;
  }
  const auto pause =
      std::min(min_ejection_time * (1U << std::min(backend.times_ejected, 3U)), max_ejection_time);
  ++backend.times_ejected;
  backend.ejected_until = now + pause;
  backend.probing = true;
  backend.consecutive_failures = 0;
  log_warning(log_category::requests, "backend server ejected",
              {{"server", backend.entry.id},
               {"failure_share", backend.failure_share},
               {"pause_ms", pause.count()}});
}

std::size_t backend_table::ejected_servers(const std::string& service, time_point now) const
{
  return static_cast<std::size_t>(std::count_if(m_servers.begin(), m_servers.end(),
                                                [this, &service, now](const auto& item)
                                                {
                                                  return item.second.entry.service == service &&
                                                         is_present(item.second, now) &&
                                                         now < item.second.ejected_until;
                                                }));
}

} // namespace pollenyoke::gateway
