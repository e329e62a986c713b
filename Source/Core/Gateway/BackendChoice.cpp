#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include "Gateway/BackendTable.h"
#include "Gateway/ReportLifetimes.h"

namespace pollenyoke::gateway
{

namespace
{

// Network round trip between the engines of a pipeline.
constexpr double pipeline_round_trip_ms = 2;
// Time during which requests of all entries are missing from the load reports: the report interval
// plus the network delays of reports and requests. Reports that are forwarded in batches add the
// time that they were held.
constexpr double load_report_lag_s = 0.18;
// Engine passes until the first event of a prompt that is prefilled without waiting.
constexpr double first_event_passes = 1.5;
// Before an engine loads new weights it drains its running requests and accepts no others. A
// request that ends after the planned start delays the load only in part, since other running
// requests delay it too.
constexpr double load_pause_weight = 0.3;
// Time constant of the decaying average of the arrival rate.
constexpr double rate_time_constant_s = 1;
// Request time assumed for services without an engine model; it only affects the order of servers.
constexpr double default_request_ms = 20;
// The cost of attention is quadratic in the length of one prompt, not in the total of several
// prompts.
constexpr double max_attention_tokens = 4000;
// Share of its time that an engine spends on prefill while it also decodes.
constexpr double prefill_share = 0.67;

/// Estimated time to prefill a prompt, in milliseconds.
double prefill_ms(const protocol::engine_speed& speed, double tokens)
{
  const double pairs = tokens * std::min(tokens, max_attention_tokens) / 2e6;
  return tokens / speed.prompt_tokens_per_s * 1000 + pairs * speed.pairs_ms_per_million;
}

} // namespace

double request_cost(const protocol::service& service, std::uint32_t prompt_tokens,
                    std::uint32_t answer_tokens)
{
  const protocol::engine_speed& speed = *service.engine;
  const double slots = std::max(1U, service.slots);
  // An engine writes a token for each request of its batch in one step.
  const double write_ms = speed.step_ms / slots + speed.step_ms_per_request;
  return prompt_tokens + answer_tokens * write_ms * speed.prompt_tokens_per_s / 1000;
}

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

double backend_table::added_wait_ms(const protocol::service* service)
{
  if (service == nullptr || !service->engine)
  {
    return default_request_ms;
  }
  return prefill_ms(*service->engine, service->engine->usual_prompt);
}

bool backend_table::accepts_requests(const server& backend, const choice_request& request,
                                     time_point now) const
{
  return is_willing(backend, request, now) && !(request.without_limited && is_limited(backend)) &&
         !next_cold_send(backend, now) &&
         !m_notices.closed_until(backend.entry.id, backend.entry.started_ms, now);
}

/// A failure domain that the settings do not name has no region, so that restricted requests do not
/// go there.
bool backend_table::is_allowed_region(const server& backend, const choice_request& request) const
{
  if (!request.allowed_regions)
  {
    return true;
  }
  const auto region = m_regions.find(backend.entry.failure_domain);
  return region != m_regions.end() && request.allowed_regions->contains(region->second);
}

bool backend_table::is_willing(const server& backend, const choice_request& request,
                               time_point now) const
{
  if (backend.entry.service != request.service || !is_present(backend, now) ||
      m_evacuated_domains.contains(backend.entry.failure_domain) ||
      !is_allowed_region(backend, request) || request.excluded.contains(backend.entry.id) ||
      now < backend.ejected_until || now < backend.avoid_until)
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
                     .limited = is_limited(chosen),
                     .cold = is_cold(chosen, now)};
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
  out.cold = out.cold || is_cold(*second.backend, now);
  out.first_byte_ms += second.expected.first_byte_ms + pipeline_round_trip_ms;
  out.wait_ms += second.expected.wait_ms;
  for (const candidate* stage : {&first, &second})
  {
    const auto& entry = stage->backend->entry;
    out.pipeline.push_back({entry.id, entry.address, stage->part});
  }
  return out;
}

} // namespace pollenyoke::gateway
