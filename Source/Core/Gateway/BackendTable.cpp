#include "Gateway/BackendTable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <vector>

#include "Common/Log.h"

namespace pollenyoke::gateway
{

namespace
{

// Agents report every 100 ms. An older report is less accurate than this process's own count of
// requests in flight.
constexpr milliseconds load_report_lifetime{700};
// An engine replaces its layers 0.3 s after the order at the earliest, so an older report does not
// prove that it still holds them.
constexpr milliseconds partial_report_lifetime{250};
// An order takes pieces that have been bad for too long only if it is accepted more than 3 s after
// its check, which began after every report of an earlier start of the engine. The difference
// covers the transit of a request.
constexpr milliseconds whole_report_lifetime{2500};
// An order is sent 2 s after the begin of its check at the latest, and the engine has to be silent
// for another second before it takes pieces that have been bad for too long.
constexpr milliseconds unseen_load_time{900};
// Network round trip between the engines of a pipeline.
constexpr double pipeline_round_trip_ms = 2;
// Time until a request has reached the engine and appears in a load report.
constexpr milliseconds report_delay{60};
// Time during which requests of all entries are missing from the load reports: the report interval
// plus the network delays of reports and requests. Reports that are forwarded in batches add the
// time that they were held.
constexpr double load_report_lag_s = 0.18;
constexpr double held_average_weight = 0.02;
// Engine passes until the first event of a prompt that is prefilled without waiting.
constexpr double first_event_passes = 1.5;
// Before an engine loads new weights it drains its running requests and accepts no others. A
// request that ends after the planned start delays the load only in part, since other running
// requests delay it too.
constexpr double load_pause_weight = 0.3;
// Time constant of the decaying average of the arrival rate.
constexpr double rate_time_constant_s = 1;
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
// Request time assumed for services without an engine model; it only affects the order of servers.
constexpr double default_request_ms = 20;

// The cost of attention is quadratic in the length of one prompt, not in the total of several
// prompts.
constexpr double max_attention_tokens = 4000;
// Share of its time that an engine spends on prefill while it also decodes.
constexpr double prefill_share = 0.67;

bool is_older_mark(const peers::engine_mark& mark, const peers::engine_mark& than)
{
  return mark.started_ms < than.started_ms ||
         (mark.started_ms == than.started_ms && mark.orders < than.orders);
}

/// Estimated time to prefill a prompt, in milliseconds.
double prefill_ms(const protocol::engine_speed& speed, double tokens)
{
  const double pairs = tokens * std::min(tokens, max_attention_tokens) / 2e6;
  return tokens / speed.prompt_tokens_per_s * 1000 + pairs * speed.pairs_ms_per_million;
}

} // namespace

std::vector<double> water_filling_shares(std::span<const double> estimates, double requests,
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
  m_rate = per_second(now) + 1 / rate_time_constant_s;
  m_updated = now;
}

double arrival_rate::per_second(time_point now) const
{
  const double passed = std::chrono::duration<double>(now - m_updated).count();
  return m_rate * std::exp(-passed / rate_time_constant_s);
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
    return default_request_ms;
  }
  return prefill_ms(*service->engine, service->engine->usual_prompt);
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
  const auto wants = [this, now](const std::string& id)
  {
    const auto known = m_servers.find(id);
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
    const auto until = m_notices.closed_until(id, backend.entry.started_ms, now);
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

bool backend_table::accepts_requests(const server& backend, const choice_request& request,
                                     time_point now) const
{
  return is_willing(backend, request, now) && !(request.without_limited && is_limited(backend)) &&
         !m_notices.closed_until(backend.entry.id, backend.entry.started_ms, now);
}

bool backend_table::is_willing(const server& backend, const choice_request& request,
                               time_point now) const
{
  if (backend.entry.service != request.service || !is_present(backend, now) ||
      request.excluded.contains(backend.entry.id) || now < backend.ejected_until ||
      now < backend.avoid_until)
  {
    return false;
  }
  // An order may be on its way to an engine whose agent has fallen silent.
  const bool counts = backend.load && (needs_proof(find_service(request.service)) ||
                                       now - backend.load_received < load_report_lifetime);
  const bool loading = counts && backend.load->loading;
  return !loading && !(backend.probing && backend.in_flight > 0);
}

bool backend_table::is_usable(const server& backend, const choice_request& request,
                              time_point now) const
{
  if (!accepts_requests(backend, request, now))
  {
    return false;
  }
  const auto* service = find_service(request.service);
  if (service == nullptr || !service->engine)
  {
    return true;
  }
  const std::uint64_t version = known_version(backend, service, now);
  return version != 0 && version >= request.minimum_version;
}

protocol::layer_range backend_table::usable_layers(const server& backend,
                                                   const choice_request& request,
                                                   time_point now) const
{
  const bool fresh = backend.load && now - backend.layers_confirmed < partial_report_lifetime;
  // A request to a pipeline would need a permit for each of its engines.
  if (!fresh || !may_use_layers(*backend.load, find_service(request.service)) ||
      is_limited(backend) || backend.load->part_version == 0 ||
      backend.load->part_version < request.newest_version ||
      backend.load->part_version < request.minimum_version ||
      !accepts_requests(backend, request, now))
  {
    return {};
  }
  return {backend.load->part_from, backend.load->part_to};
}

backend_table::estimate backend_table::estimate_latency(const server& backend,
                                                        const choice_request& request,
                                                        const protocol::service* service,
                                                        double share, time_point now)
{
  const double slots = std::max(1U, backend.entry.slots);
  const double own = backend.in_flight;
  if (service == nullptr || !service->engine)
  {
    const double distance = backend.entry.failure_domain == request.own_domain ? 0 : 1;
    const double wait = default_request_ms * own / slots;
    return {.first_byte_ms = wait + distance, .wait_ms = wait, .rank_ms = wait + distance};
  }
  const protocol::engine_speed& speed = *service->engine;
  const bool fresh = backend.load && now - backend.load_received < load_report_lifetime;
  const double reported =
      fresh ? static_cast<double>(backend.load->waiting + backend.load->running) : 0;
  const double unreported = fresh ? static_cast<double>(backend.unreported.size()) : own;
  const double pace = fresh ? std::max(1.0, static_cast<double>(backend.load->pace)) : 1;
  const double occupied = std::max(reported + unreported, own);
  const double decoding = std::min(occupied, slots);
  const double token_ms = share * (speed.step_ms + speed.step_ms_per_request * decoding);
  const double pass_ms = speed.steps_per_pass * token_ms;
  // Agents scale the prompt tokens by the share of the layers that their engine runs.
  const double queued_prompt_tokens =
      share * unreported * speed.usual_prompt + (fresh ? backend.load->unread_tokens : 0);
  const double usual_request_ms =
      speed.usual_answer * token_ms + share * prefill_ms(speed, speed.usual_prompt);
  const double wait = pace * (prefill_ms(speed, queued_prompt_tokens) / prefill_share +
                              std::max(0.0, occupied + 1 - slots) / slots * usual_request_ms);
  const double first_byte =
      pace * (pass_ms * first_event_passes + share * prefill_ms(speed, request.prompt_tokens)) +
      wait;
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
      out.push_back({&backend, estimate_latency(backend, request, service, 1, now), {}});
      continue;
    }
    const auto part = usable_layers(backend, request, now);
    const bool is_end = service != nullptr && service->engine &&
                        (part.from == 0 || part.to == service->engine->layers);
    if (!part.is_empty() && is_end)
    {
      const double share = static_cast<double>(part.to - part.from) / service->engine->layers;
      out.push_back({&backend, estimate_latency(backend, request, service, share, now), part});
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
backend_table::extract_followers(std::vector<candidate>& candidates)
{
  std::vector<candidate> followers;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(followers),
               [](const candidate& item) { return item.part.from > 0; });
  const auto cannot_start = [&followers](const candidate& item)
  {
    const auto follows = [&item](const candidate& other)
    {
      return can_follow(item, other);
    };
    return item.part.from > 0 ||
           (!item.part.is_empty() && std::none_of(followers.begin(), followers.end(), follows));
  };
  std::erase_if(candidates, cannot_start);
  return followers;
}

/// Picks a candidate at random, weighted so that the waits even out.
const backend_table::candidate& backend_table::pick(const std::vector<candidate>& candidates,
                                                    const choice_request& request, time_point now)
{
  const auto arrivals = m_arrivals.find(request.service);
  const double in_transit = arrivals == m_arrivals.end() ? 0
                                                         : arrivals->second.per_second(now) *
                                                               static_cast<double>(m_entries) *
                                                               (load_report_lag_s + m_held_s);
  std::vector<double> ranks;
  std::transform(candidates.begin(), candidates.end(), std::back_inserter(ranks),
                 [](const candidate& item) { return item.expected.rank_ms; });
  const auto shares = water_filling_shares(ranks, std::max(1.0, in_transit),
                                           added_wait_ms(find_service(request.service)));
  std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
  return candidates[pick(m_random)];
}

/// An outage of the store expires the records of most servers; a few that are gone have probably
/// left.
void backend_table::drop_expired_candidates(std::vector<candidate>& candidates)
{
  const auto has_expired = [](const candidate& item)
  {
    return item.backend->expires_at.has_value();
  };
  const auto expired = std::count_if(candidates.begin(), candidates.end(), has_expired);
  if (2 * expired <= static_cast<std::ptrdiff_t>(candidates.size()))
  {
    std::erase_if(candidates, has_expired);
  }
}

/// A pipeline takes up to five times as long per token, as each token waits for a pass of every
/// engine. Partial engines are used only while they outnumber the complete ones by more than two to
/// one.
void backend_table::drop_unneeded_partial_candidates(std::vector<candidate>& candidates)
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
  drop_expired_candidates(candidates);
  drop_unneeded_partial_candidates(candidates);
  auto followers = extract_followers(candidates);
  if (candidates.empty())
  {
    return std::nullopt;
  }
  const candidate& first = pick(candidates, request, now);
  const server& chosen = *first.backend;
  backend_choice out{.id = chosen.entry.id,
                     .address = chosen.entry.address,
                     .first_byte_ms = first.expected.first_byte_ms,
                     .wait_ms = first.expected.wait_ms,
                     .weight_version = known_version(chosen, find_service(request.service), now),
                     .started_ms = chosen.entry.started_ms,
                     .limited = is_limited(chosen)};
  if (first.part.is_empty())
  {
    return out;
  }
  out.weight_version = chosen.load->part_version;
  std::erase_if(followers, [&first](const candidate& item) { return !can_follow(first, item); });
  // Prefers a second stage in the own failure domain, since the engines exchange data for every
  // token.
  const auto is_near = [&request](const candidate& item)
  {
    return item.backend->entry.failure_domain == request.own_domain;
  };
  if (std::any_of(followers.begin(), followers.end(), is_near))
  {
    std::erase_if(followers, std::not_fn(is_near));
  }
  const candidate& second = pick(followers, request, now);
  out.first_byte_ms += second.expected.first_byte_ms + pipeline_round_trip_ms;
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
    if (m_notices.take_ended_pause(stage.id, backend.entry.started_ms, now))
    {
      log_info(log_category::requests, "backend server is used again after its pause",
               {{"server", stage.id}});
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
