#include "Gateway/BackendTable.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include "Common/Log.h"

namespace pollenyoke::gateway
{

namespace
{

// Agents report every 100 ms. Older than this, a report says less than one's own requests in
// flight.
constexpr milliseconds load_lifetime{700};
// A part of the layers is replaced 0.3 s after an order for other ones at the earliest; an older
// report does not prove that the engine still holds it.
constexpr milliseconds part_lifetime{250};
// Way between the engines of a pipeline, there and back.
constexpr double pipeline_hop_ms = 2;
// A request needs this long to reach the engine and to show in a report.
constexpr milliseconds report_delay{60};
// Until reports show them, requests of all entries meet servers that look free: the interval of the
// reports, their way and the requests' way.
constexpr double blind_time_s = 0.18;
// Passes until the first event of a prompt that is read at once.
constexpr double first_event_passes = 1.5;
// An engine that is about to load ends its running work first and takes nothing new meanwhile. A
// request that would end later than the planned time costs the engine that much, in part, as the
// other requests run on for a while too.
constexpr double load_pause_weight = 0.3;
// Mean time over which the rate of arrivals is measured.
constexpr double rate_window_s = 1;
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

// Attention pairs grow with the square of one prompt's length, not of several prompts' together.
constexpr double longest_prompt = 4000;
// Part of its time in which an engine reads while it also writes answers.
constexpr double reading_share = 0.67;

/// Time in which an engine reads a prompt.
double read_ms(const protocol::engine_speed& speed, double tokens)
{
  const double pairs = tokens * std::min(tokens, longest_prompt) / 2e6;
  return tokens / speed.prompt_tokens_per_s * 1000 + pairs * speed.pairs_ms_per_million;
}

} // namespace

std::vector<double> fill_shares(std::span<const double> estimates, double requests,
                                double added_wait_ms)
{
  std::vector<double> sorted(estimates.begin(), estimates.end());
  std::sort(sorted.begin(), sorted.end());
  double level = 0;
  double sum = 0;
  for (std::size_t used = 1; used <= sorted.size(); ++used)
  {
    sum += sorted[used - 1];
    level = (requests * added_wait_ms + sum) / static_cast<double>(used);
    if (used == sorted.size() || level <= sorted[used])
    {
      break;
    }
  }
  std::vector<double> shares;
  for (const double estimate : estimates)
  {
    shares.push_back(std::max(0.0, level - estimate));
  }
  return shares;
}

void arrival_rate::add(time_point now)
{
  m_level = per_second(now) + 1 / rate_window_s;
  m_updated = now;
}

double arrival_rate::per_second(time_point now) const
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  return m_level * std::exp(-passed / rate_window_s);
}

backend_table::backend_table(std::uint64_t random_seed) : m_random(random_seed) {}

void backend_table::add_request(const std::string& service, std::size_t entries, time_point now)
{
  m_entries = std::max<std::size_t>(entries, 1);
  m_arrivals[service].add(now);
}

double backend_table::added_wait_ms(const protocol::service* service)
{
  if (service == nullptr || !service->engine)
  {
    return plain_request_ms;
  }
  return read_ms(*service->engine, service->engine->usual_prompt);
}

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

const protocol::service* backend_table::find_service(const std::string& name) const
{
  const auto found = m_services.find(name);
  return found == m_services.end() ? nullptr : &found->second;
}

/// Version of which the server holds all layers; 0 if of none.
std::uint64_t backend_table::known_version(const server& backend, const protocol::service* service)
{
  // The agent's report is newer than the record in the store.
  if (backend.load)
  {
    return backend.load->weight_version;
  }
  const unsigned layers = service != nullptr && service->engine ? service->engine->layers : 0;
  return protocol::holds_all(backend.entry.layers, layers) ? backend.entry.weight_version : 0;
}

bool backend_table::is_open(const server& backend, const choice_request& request,
                            time_point now) const
{
  if (backend.entry.service != request.service || !is_present(backend, now) ||
      request.excluded.contains(backend.entry.id) || now < backend.ejected_until ||
      now < backend.doubtful_until)
  {
    return false;
  }
  const bool loading =
      backend.load && now - backend.load_received < load_lifetime && backend.load->loading;
  return !loading && !(backend.on_trial && backend.in_flight > 0);
}

bool backend_table::is_usable(const server& backend, const choice_request& request,
                              time_point now) const
{
  if (!is_open(backend, request, now))
  {
    return false;
  }
  const auto* service = find_service(request.service);
  if (service == nullptr || !service->engine)
  {
    return true;
  }
  const std::uint64_t version = known_version(backend, service);
  return version != 0 && version >= request.minimum_version;
}

protocol::layer_range backend_table::usable_part(const server& backend,
                                                 const choice_request& request,
                                                 time_point now) const
{
  const bool fresh = backend.load && now - backend.load_received < part_lifetime;
  if (!fresh || backend.load->part_version == 0 ||
      backend.load->part_version < request.newest_version ||
      backend.load->part_version < request.minimum_version || !is_open(backend, request, now))
  {
    return {};
  }
  return {backend.load->part_from, backend.load->part_to};
}

backend_table::estimate backend_table::expect(const server& backend, const choice_request& request,
                                              const protocol::service* service, double share,
                                              time_point now)
{
  const double slots = std::max(1U, backend.entry.slots);
  const double own = backend.in_flight;
  if (service == nullptr || !service->engine)
  {
    const double distance = backend.entry.failure_domain == request.own_domain ? 0 : 1;
    const double wait = plain_request_ms * own / slots;
    return {.first_byte_ms = wait + distance, .wait_ms = wait, .rank_ms = wait + distance};
  }
  const protocol::engine_speed& speed = *service->engine;
  const bool fresh = backend.load && now - backend.load_received < load_lifetime;
  const double reported =
      fresh ? static_cast<double>(backend.load->waiting + backend.load->running) : 0;
  const double unreported = fresh ? static_cast<double>(backend.unreported.size()) : own;
  const double pace = fresh ? std::max(1.0, static_cast<double>(backend.load->pace)) : 1;
  const double occupied = std::max(reported + unreported, own);
  const double writing = std::min(occupied, slots);
  const double token_ms = share * (speed.step_ms + speed.step_ms_per_request * writing);
  const double pass_ms = speed.steps_per_pass * token_ms;
  // Agents count the tokens of a prompt by the share of the layers that their engine runs.
  const double unread =
      share * unreported * speed.usual_prompt + (fresh ? backend.load->unread_tokens : 0);
  const double usual_time =
      speed.usual_answer * token_ms + share * read_ms(speed, speed.usual_prompt);
  const double wait = pace * (read_ms(speed, unread) / reading_share +
                              std::max(0.0, occupied + 1 - slots) / slots * usual_time);
  const double first_byte =
      pace * (pass_ms * first_event_passes + share * read_ms(speed, request.prompt_tokens)) + wait;
  double rank = first_byte;
  if (fresh && backend.load->load_in_ms > 0)
  {
    const double until_load =
        backend.load->load_in_ms -
        std::chrono::duration<double, std::milli>(now - backend.load_received).count();
    const double ends = first_byte + request.answer_tokens * token_ms;
    rank += load_pause_weight * std::max(0.0, ends - until_load);
  }
  return {.first_byte_ms = first_byte, .wait_ms = wait, .rank_ms = rank};
}

std::vector<backend_table::candidate> backend_table::find_candidates(const choice_request& request,
                                                                     time_point now) const
{
  const auto* service = find_service(request.service);
  std::vector<candidate> out;
  for (const auto& [id, backend] : m_servers)
  {
    if (is_usable(backend, request, now))
    {
      out.push_back({&backend, expect(backend, request, service, 1, now), {}});
      continue;
    }
    const auto part = usable_part(backend, request, now);
    const bool is_end = service != nullptr && service->engine &&
                        (part.from == 0 || part.to == service->engine->layers);
    if (!part.is_empty() && is_end)
    {
      const double share = static_cast<double>(part.to - part.from) / service->engine->layers;
      out.push_back({&backend, expect(backend, request, service, share, now), part});
    }
  }
  return out;
}

bool backend_table::can_follow(const candidate& first, const candidate& second)
{
  return second.part.from > 0 && second.part.from == first.part.to &&
         second.backend->load->part_version == first.backend->load->part_version;
}

std::vector<backend_table::candidate>
backend_table::split_followers(std::vector<candidate>& candidates)
{
  std::vector<candidate> followers;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(followers),
               [](const candidate& item) { return item.part.from > 0; });
  const auto cannot_begin = [&followers](const candidate& item)
  {
    const auto follows = [&item](const candidate& other)
    {
      return can_follow(item, other);
    };
    return item.part.from > 0 ||
           (!item.part.is_empty() && std::none_of(followers.begin(), followers.end(), follows));
  };
  std::erase_if(candidates, cannot_begin);
  return followers;
}

/// Takes one of the candidates, each with the share that levels the waits.
const backend_table::candidate& backend_table::draw(const std::vector<candidate>& candidates,
                                                    const choice_request& request, time_point now)
{
  const auto arrivals = m_arrivals.find(request.service);
  const double unseen =
      arrivals == m_arrivals.end()
          ? 0
          : arrivals->second.per_second(now) * static_cast<double>(m_entries) * blind_time_s;
  std::vector<double> ranks;
  std::transform(candidates.begin(), candidates.end(), std::back_inserter(ranks),
                 [](const candidate& item) { return item.expected.rank_ms; });
  const auto shares =
      fill_shares(ranks, std::max(1.0, unseen), added_wait_ms(find_service(request.service)));
  std::discrete_distribution<std::size_t> draw(shares.begin(), shares.end());
  return candidates[draw(m_random)];
}

/// Together engines take up to five times as long for a token, as it waits for a pass of each, so
/// they serve only while few can alone.
void backend_table::drop_parts_if_needless(std::vector<candidate>& candidates)
{
  const auto parts = std::count_if(candidates.begin(), candidates.end(),
                                   [](const candidate& item) { return !item.part.is_empty(); });
  if (parts <= 2 * (static_cast<std::ptrdiff_t>(candidates.size()) - parts))
  {
    std::erase_if(candidates, [](const candidate& item) { return !item.part.is_empty(); });
  }
}

std::optional<backend_choice> backend_table::choose(const choice_request& request, time_point now)
{
  auto candidates = find_candidates(request, now);
  drop_parts_if_needless(candidates);
  auto followers = split_followers(candidates);
  if (candidates.empty())
  {
    return std::nullopt;
  }
  const candidate& first = draw(candidates, request, now);
  const server& chosen = *first.backend;
  backend_choice out{.id = chosen.entry.id,
                     .address = chosen.entry.address,
                     .first_byte_ms = first.expected.first_byte_ms,
                     .wait_ms = first.expected.wait_ms,
                     .weight_version = known_version(chosen, find_service(request.service))};
  if (first.part.is_empty())
  {
    return out;
  }
  out.weight_version = chosen.load->part_version;
  std::erase_if(followers, [&first](const candidate& item) { return !can_follow(first, item); });
  // What the engines pass on for each token stays within the failure domain where that is possible.
  const auto is_near = [&request](const candidate& item)
  {
    return item.backend->entry.failure_domain == request.own_domain;
  };
  if (std::any_of(followers.begin(), followers.end(), is_near))
  {
    std::erase_if(followers, std::not_fn(is_near));
  }
  const candidate& second = draw(followers, request, now);
  out.first_byte_ms += second.expected.first_byte_ms + pipeline_hop_ms;
  out.wait_ms += second.expected.wait_ms;
  for (const candidate* stage : {&first, &second})
  {
    const auto& entry = stage->backend->entry;
    out.pipeline.push_back({entry.id, entry.address, stage->part});
  }
  return out;
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
    ++backend.in_flight;
    backend.unreported.push_back(now);
    while (backend.unreported.front() < now - load_lifetime)
    {
      backend.unreported.pop_front();
    }
  }
}

void backend_table::end_attempt(const backend_choice& choice, attempt_health health, time_point now,
                                const std::string& at_fault)
{
  const auto servers = servers_of(choice);
  const auto named =
      std::find_if(servers.begin(), servers.end(),
                   [&at_fault](const protocol::pipeline_stage& stage) {
                     return stage.id == at_fault || transport::to_string(stage.address) == at_fault;
                   });
  const std::string& blamed = named == servers.end() ? choice.id : named->id;
  for (const auto& stage : servers)
  {
    // An answer of the pipeline shows that all its servers are well; a failure says nothing of
    // those that it does not blame.
    const bool applies = health == attempt_health::good || stage.id == blamed;
    end_attempt_at(stage.id, applies ? health : attempt_health::full, now);
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
