#include "Emulator/CallerPool.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;
using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr std::size_t idle_per_address = 16;
constexpr milliseconds refresh_interval{2000};
constexpr milliseconds refresh_retry{500};
// Some callers use an answer three times as long as it allows.
constexpr milliseconds late_use{6000};
constexpr double late_use_share = 0.15;
constexpr double reuse_share = 0.7;
constexpr std::size_t lookup_tries = 3;
constexpr milliseconds lookup_timeout{1000};
constexpr milliseconds readiness_interval{1000};
constexpr unsigned most_prompt_tokens = 1500;
// A key that a configuration has just brought is not used before it has to be in force.
constexpr double key_settle_s = 4;
constexpr milliseconds stream_deadline{6000};
constexpr milliseconds short_deadline{1500};
// Callers spend at most this share of the time that is left on waiting for another try.
constexpr int wait_share = 3;
constexpr milliseconds retry_delay{50};

bool is_success(const attempt& sent)
{
  return sent.answer == answer_state::whole && sent.status >= 200 && sent.status < 300;
}

bool is_final(const attempt& sent)
{
  const bool own_failure = sent.status >= 400 && sent.status < 500 && sent.status != 408 &&
                           sent.status != 421 && sent.status != 429;
  return is_success(sent) || sent.gave_up || sent.answer == answer_state::wrong ||
         (sent.answer == answer_state::whole && own_failure);
}

bool promises_not_run(const attempt& sent)
{
  return sent.answer == answer_state::whole &&
         (sent.status == 408 || sent.status == 421 || sent.status == 429 || sent.status == 503);
}

} // namespace

caller_pool::caller_pool(async_io::event_loop& loop, recorder& record, const deployment& what,
                         const layout& where, const fleet_operator& from, std::uint64_t seed)
    : m_loop(loop), m_record(record), m_deployment(what), m_operator(from), m_http(loop),
      m_pool(idle_per_address), m_probe_pool(1), m_later(loop), m_arrivals(loop), m_random(seed),
      m_impatient_share(what.impatient_share)
{
  for (const machine& host : where.machines)
  {
    if (host.role == protocol::process_role::entry)
    {
      m_entries[callers_address(host)] = {host};
    }
  }
}

double caller_pool::random_fraction()
{
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool caller_pool::draw_upload(const protocol::route& route)
{
  return m_upload_share > 0 && kind_of(route) == request_kind::once && !route.streaming &&
         random_fraction() < m_upload_share;
}

std::string caller_pool::make_id(bool is_upload)
{
  std::array<char, 24> text{};
  (void)std::snprintf(text.data(), text.size(), "%c%llx-%04llx", is_upload ? upload_prefix : 'r',
                      static_cast<unsigned long long>(++m_next_id),
                      static_cast<unsigned long long>(m_random() & 0xffffU));
  return text.data();
}

void caller_pool::start()
{
  for (const auto& [domain, region] : m_deployment.domains)
  {
    refresh_addresses(domain);
  }
  ask_readiness();
  send_next();
}

void caller_pool::stop()
{
  m_stopped = true;
  m_arrivals.cancel();
}

void caller_pool::set_load(double factor)
{
  m_load = factor;
}

void caller_pool::set_impatient_share(std::optional<double> share)
{
  m_impatient_share = share.value_or(m_deployment.impatient_share);
}

void caller_pool::set_upload_share(double share)
{
  m_upload_share = share;
}

std::size_t caller_pool::ready_entries() const
{
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.ready; }));
}

void caller_pool::send_next()
{
  if (m_stopped)
  {
    return;
  }
  const double rate = std::max(0.1, m_deployment.requests_per_s * m_load);
  const double gap_s = std::exponential_distribution<double>(rate)(m_random);
  m_arrivals.start(duration_cast<nanoseconds>(duration<double>(gap_s)), [this] { send_next(); });
  const auto domain =
      std::next(m_deployment.domains.begin(),
                static_cast<std::ptrdiff_t>(m_random() % m_deployment.domains.size()));
  auto flow = std::make_shared<request_flow>();
  flow->request = draw_request();
  flow->domain = domain->first;
  flow->deadline = steady_clock::now() + flow->request.deadline;
  if (!flow->request.key.empty())
  {
    begin_attempt(flow, random_fraction() < reuse_share);
  }
}

std::optional<caller_key> caller_pool::draw_key()
{
  std::vector<caller_key> settled;
  std::copy_if(m_operator.keys().begin(), m_operator.keys().end(), std::back_inserter(settled),
               [this](const caller_key& key)
               { return key.since == 0 || key.since + key_settle_s < m_record.now(); });
  // The oldest key is the next one to be revoked; requests in progress would cross that.
  if (settled.size() < 2)
  {
    return std::nullopt;
  }
  return settled[1 + m_random() % (settled.size() - 1)];
}

caller_request caller_pool::draw_request()
{
  // The first two routes of the operator lead to the model engines.
  const bool for_model = random_fraction() < m_deployment.model_share;
  const std::size_t index = (for_model ? 0 : 2) + m_random() % 2;
  caller_request out{.route = m_operator.base_route(index)};
  if (const auto key = draw_key())
  {
    out.key = key->key;
    out.team = key->team;
  }
  out.deadline = for_model ? stream_deadline : short_deadline;
  out.prompt_tokens = static_cast<unsigned>(1 + m_random() % most_prompt_tokens);
  if (random_fraction() < m_impatient_share)
  {
    const double share = random_fraction() / 4;
    out.patience = duration_cast<milliseconds>(out.deadline * share) + milliseconds(1);
  }
  return out;
}

std::optional<transport::endpoint> caller_pool::draw_address(const std::string& domain)
{
  address_book& book = m_books[domain];
  std::vector<transport::endpoint> choices = book.current;
  if (random_fraction() < late_use_share || choices.empty())
  {
    const auto now = steady_clock::now();
    for (const auto& [address, until] : book.earlier)
    {
      if (now < until)
      {
        choices.push_back(address);
      }
    }
  }
  if (choices.empty())
  {
    return std::nullopt;
  }
  return choices[m_random() % choices.size()];
}

void caller_pool::begin_attempt(const std::shared_ptr<request_flow>& flow, bool may_reuse)
{
  const auto address = draw_address(flow->domain);
  const auto left = duration_cast<milliseconds>(flow->deadline - steady_clock::now());
  if (!address || left.count() <= 0)
  {
    return;
  }
  const auto entry = m_entries.find(*address);
  if (entry == m_entries.end())
  {
    // No entry has told callers of this address.
    m_record.add_attempt({.id = make_id(),
                          .machine = transport::to_string(*address),
                          .sent = m_record.now(),
                          .ended = m_record.now(),
                          .answer = answer_state::wrong,
                          .problem = "lookup answer names an address of no entry"});
    return;
  }
  caller_request request = flow->request;
  request.deadline = left;
  std::make_shared<caller_attempt>(m_loop, m_record, m_pool)
      ->start(request, make_id(draw_upload(request.route)), entry->second.at.name,
              proxy_address(entry->second.at), may_reuse,
              [this, flow](const attempt_outcome& outcome) { finish_attempt(flow, outcome); });
}

void caller_pool::finish_attempt(const std::shared_ptr<request_flow>& flow,
                                 const attempt_outcome& outcome)
{
  const attempt& sent = m_record.attempt_at(outcome.attempt);
  const bool may_repeat = sent.kind != request_kind::once || promises_not_run(sent);
  if (m_stopped || is_final(sent) || !may_repeat || flow->retries_left == 0)
  {
    return;
  }
  --flow->retries_left;
  const auto left = duration_cast<milliseconds>(flow->deadline - steady_clock::now());
  const auto wait = std::min(outcome.retry_after.value_or(retry_delay), left / wait_share);
  m_later.after(std::max(wait, milliseconds(0)), [this, flow] { begin_attempt(flow, false); });
}

void caller_pool::refresh_addresses(const std::string& domain)
{
  std::vector<machine> entries;
  for (const auto& [address, entry] : m_entries)
  {
    entries.push_back(entry.at);
  }
  std::shuffle(entries.begin(), entries.end(), m_random);
  std::stable_partition(entries.begin(), entries.end(),
                        [&domain](const machine& entry) { return entry.domain == domain; });
  entries.resize(std::min(entries.size(), lookup_tries));
  ask_address(domain, std::move(entries));
}

void caller_pool::ask_address(const std::string& domain, std::vector<machine> entries)
{
  if (entries.empty())
  {
    m_later.after(refresh_retry, [this, domain] { refresh_addresses(domain); });
    return;
  }
  async_io::http_call call;
  call.address = lookup_address(entries.front());
  call.target = std::string(names::lookup_path) + "?name=" + std::string(host_name) +
                "&region=" + m_deployment.domains.at(domain) + "&zone=" + domain;
  call.timeout = lookup_timeout;
  entries.erase(entries.begin());
  m_http.call(std::move(call),
              [this, domain, entries](const result<async_io::http_response>& answer)
              {
                if (answer && answer->head.status == 200)
                {
                  if (auto addresses = decode_lookup(answer->body))
                  {
                    accept_addresses(domain, std::move(*addresses));
                    return;
                  }
                }
                ask_address(domain, entries);
              });
}

void caller_pool::accept_addresses(const std::string& domain,
                                   std::vector<transport::endpoint> addresses)
{
  address_book& book = m_books[domain];
  const auto now = steady_clock::now();
  std::erase_if(book.earlier, [now](const auto& entry) { return entry.second <= now; });
  for (const transport::endpoint& address : book.current)
  {
    book.earlier[address] = now + late_use;
  }
  book.current = std::move(addresses);
  m_later.after(refresh_interval, [this, domain] { refresh_addresses(domain); });
}

void caller_pool::ask_readiness()
{
  for (auto& [address, entry] : m_entries)
  {
    async_io::http_call call;
    call.address = readiness_address(entry.at);
    call.target = names::readiness_path;
    call.timeout = readiness_interval;
    m_http.call(std::move(call),
                [this, &entry = entry](const result<async_io::http_response>& answer)
                {
                  entry.ready = answer && answer->head.status == 200;
                  if (entry.ready && !m_stopped)
                  {
                    probe(entry);
                  }
                });
  }
  m_later.after(readiness_interval, [this] { ask_readiness(); });
}

/// Asks one entry for what was added or removed lately: a route, or a key.
void caller_pool::probe(entry_state& entry)
{
  const auto& routes = m_operator.changed_routes();
  const auto& keys = m_operator.changed_keys();
  const auto key = draw_key();
  if (routes.size() + keys.size() == 0 || !key)
  {
    return;
  }
  const std::size_t turn = entry.next_probe++ % (routes.size() + keys.size());
  caller_request request{.route = m_operator.base_route(m_operator.base_route_count() - 1),
                         .key = key->key,
                         .team = key->team,
                         .deadline = short_deadline,
                         .is_probe = true};
  if (turn < routes.size())
  {
    request.route = m_operator.probe_route(routes[turn].name);
  }
  else
  {
    request.key = keys[turn - routes.size()].name;
    request.team = keys[turn - routes.size()].team;
  }
  std::make_shared<caller_attempt>(m_loop, m_record, m_probe_pool)
      ->start(request, make_id(), entry.at.name, callers_address(entry.at), true,
              [](const attempt_outcome&) {});
}

} // namespace pollenyoke::emulator
