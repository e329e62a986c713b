#include <algorithm>

#include <nlohmann/json.hpp>

#include "Agent/RequestRunnerImpl.h"
#include "Common/Log.h"
#include "Protocol/Codec.h"

namespace pollenyoke::agent
{

using protocol::failure_kind;
using protocol::refusal_reason;
using routing::suspect_verdict;

namespace
{

constexpr std::chrono::milliseconds tend_interval{50};
// An entry that lost its connection comes back within its silence limit plus a connect; after this
// time the request has no reader and only holds a slot.
constexpr std::chrono::seconds abandon_after{10};
constexpr std::chrono::milliseconds longest_call{600000};
constexpr std::uint32_t max_cost = 4096;

std::uint32_t cost_of(const protocol::request_open& open)
{
  if (open.model.empty())
  {
    return routing::fair_quantum;
  }
  const nlohmann::json body = nlohmann::json::parse(open.body, nullptr, false);
  if (!body.is_object() || !body.contains("max_tokens") || !body["max_tokens"].is_number_unsigned())
  {
    return routing::fair_quantum;
  }
  return static_cast<std::uint32_t>(
      std::clamp<std::uint64_t>(body["max_tokens"].get<std::uint64_t>(), 1, max_cost));
}

} // namespace

request_runner::implementation::implementation(const protocol::settings& with,
                                               incarnation_id incarnation,
                                               runner_environment environment,
                                               metrics_registry& metrics)
    : m_settings(with), m_incarnation(incarnation), m_environment(std::move(environment)),
      m_metrics(metrics), m_backend(*with.backend), m_slots(with.backend->slots),
      m_attempts(attempt_limits{}), m_estimate(m_slots)
{
}

void request_runner::implementation::start()
{
  m_tender = std::thread([this] { tend(); });
  m_canceller = std::thread([this] { cancel_calls(); });
}

void request_runner::implementation::stop()
{
  std::vector<std::thread> workers;
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping)
    {
      return;
    }
    m_stopping = true;
    for (const attempt_ptr& which : m_attempts.open_attempts())
    {
      which->cancelled = true;
      if (which->phase == attempt_phase::running)
      {
        m_cancellations.push_back(which->open.id.request);
      }
    }
    workers.swap(m_workers);
  }
  m_work_available.notify_all();
  m_cancel_available.notify_all();
  m_changed.notify_all();
  for (std::thread& worker : workers)
  {
    worker.join();
  }
  m_tender.join();
  m_canceller.join();
}

template <typename Message>
void request_runner::implementation::send(const attempt_ptr& which, const Message& message)
{
  // A frame that cannot be queued is not lost: the entry sees the gap and asks for it again.
  if (which->connection != 0 && !m_stopping)
  {
    m_environment.send(which->connection, protocol::encode(message));
  }
}

template void request_runner::implementation::send(const attempt_ptr&,
                                                   const protocol::request_refused&);
template void request_runner::implementation::send(const attempt_ptr&,
                                                   const protocol::answer_head&);
template void request_runner::implementation::send(const attempt_ptr&,
                                                   const protocol::answer_frame&);
template void request_runner::implementation::send(const attempt_ptr&,
                                                   const protocol::answer_failed&);

std::uint32_t request_runner::implementation::load() const
{
  return m_running + m_deciding + static_cast<std::uint32_t>(m_queue.size() + m_alone.size());
}

std::uint32_t request_runner::implementation::retry_after_ms() const
{
  constexpr double shortest = 50;
  constexpr double longest = 10000;
  const std::uint64_t work = m_queue.work() + (m_alone.size() + 1) * routing::fair_quantum;
  return static_cast<std::uint32_t>(
      std::clamp(1000 * m_estimate.wait_time(work).count(), shortest, longest));
}

void request_runner::implementation::refuse(const attempt_ptr& which, refusal_reason reason,
                                            std::string detail, const host_id& owner)
{
  m_metrics.add("agent_requests_refused");
  if (which->phase == attempt_phase::waiting && !which->open.key.empty())
  {
    m_undispatched.push_back(which->open.key);
  }
  m_attempts.refuse(which,
                    {.id = which->open.id,
                     .reason = reason,
                     .retry_after_ms = retry_after_ms(),
                     .owner = owner,
                     .detail = std::move(detail)},
                    clock::now());
  send(which, which->refusal);
  m_changed.notify_all();
}

void request_runner::implementation::enqueue(const attempt_ptr& which)
{
  const auto now = clock::now();
  const suspect_verdict verdict = m_suspects.verdict(which->open.body_digest, now);
  if (verdict == suspect_verdict::refuse)
  {
    refuse(which, refusal_reason::suspect, "the request crashed backend servers");
    return;
  }
  which->phase = attempt_phase::waiting;
  which->cost = cost_of(which->open);
  which->open.run_alone = which->open.run_alone || verdict == suspect_verdict::run_alone;
  const std::size_t limit =
      m_settings.requests.queue + (m_running < m_slots ? m_slots - m_running : 0);
  if (m_queue.size() + m_alone.size() >= limit && which->open.run_alone)
  {
    refuse(which, refusal_reason::overloaded, "the queue is full");
    return;
  }
  if (which->open.run_alone)
  {
    m_alone.push_back(which);
  }
  else
  {
    routing::waiting_request request{.id = which->open.id,
                                     .team = which->open.team,
                                     .priority = which->open.priority,
                                     .cost = which->cost,
                                     .deadline = which->deadline};
    if (routing::would_miss_deadline(m_queue, m_estimate, request, now))
    {
      refuse(which, refusal_reason::overloaded, "it would miss its deadline");
      return;
    }
    const auto displaced = m_queue.push(std::move(request), limit);
    if (displaced)
    {
      refuse(m_attempts.find(displaced->id), refusal_reason::overloaded, "the queue is full");
    }
  }
  if (m_idle_workers == 0 && m_workers.size() < m_slots && !m_stopping)
  {
    m_workers.emplace_back([this] { work(); });
  }
  m_work_available.notify_one();
}

bool request_runner::implementation::can_dispatch() const
{
  if (m_running_alone || m_running >= m_slots)
  {
    return false;
  }
  // A waiting suspect lets the running requests end and goes first then.
  return m_alone.empty() ? m_queue.size() > 0 : m_running == 0;
}

// A request that cannot end in time would only take a slot from one that can. The last one waiting
// runs in any case, so that the estimate recovers when the backend server becomes faster.
attempt_ptr request_runner::implementation::take_waiting()
{
  auto request = m_queue.pop();
  while (m_queue.size() > 0 && routing::is_too_late(m_estimate, *request, clock::now()))
  {
    refuse(m_attempts.find(request->id), refusal_reason::overloaded, "it would miss its deadline");
    request = m_queue.pop();
  }
  return m_attempts.find(request->id);
}

attempt_ptr request_runner::implementation::take_next()
{
  attempt_ptr which;
  if (!m_alone.empty())
  {
    which = m_alone.front();
    m_alone.pop_front();
    m_running_alone = true;
  }
  else
  {
    which = take_waiting();
  }
  ++m_running;
  which->phase = attempt_phase::running;
  which->started = clock::now();
  which->crash_epoch = m_crash_epoch;
  return which;
}

void request_runner::implementation::work()
{
  std::unique_lock lock(m_mutex);
  while (true)
  {
    ++m_idle_workers;
    m_work_available.wait(lock, [this] { return m_stopping || can_dispatch(); });
    --m_idle_workers;
    if (m_stopping)
    {
      return;
    }
    const attempt_ptr which = take_next();
    const bool suspect =
        m_suspects.verdict(which->open.body_digest, clock::now()) == suspect_verdict::refuse;
    lock.unlock();
    if (suspect)
    {
      finish(which, {call_result::not_run, refusal_reason::suspect,
                     "the request crashed backend servers"});
    }
    else
    {
      run(which);
    }
    lock.lock();
    --m_running;
    m_running_alone = m_running_alone && !which->open.run_alone;
    m_work_available.notify_all();
  }
}

void request_runner::implementation::run(const attempt_ptr& which)
{
  if (!is_serving(which->open))
  {
    finish(which, {call_result::not_run, refusal_reason::not_serving, "the version was unloaded"});
    return;
  }
  const auto left =
      which->deadline == clock::time_point::max()
          ? longest_call
          : std::chrono::duration_cast<std::chrono::milliseconds>(which->deadline - clock::now());
  if (left.count() <= 0)
  {
    finish(which, {call_result::not_run, refusal_reason::expired_deadline, ""});
    return;
  }
  // The margin lets the deadline's own cancellation come before the read timeout.
  constexpr std::chrono::milliseconds margin{1000};
  learn_boot(which);
  const call_receiver receiver{[&](const call_head& head) { return on_head(which, head); },
                               [&](std::string data)
                               {
                                 return on_data(which, std::move(data));
                               }};
  const call_outcome outcome =
      m_backend.call(which->open, std::min(left + margin, longest_call), receiver);
  // An answer without the version that was asked for is stopped here, and may come from an engine
  // that has just restarted; detect_crash ignores requests that were cancelled.
  if (outcome.result == call_result::broken || outcome.result == call_result::stopped)
  {
    detect_crash(which);
  }
  finish(which, outcome);
}

void request_runner::implementation::learn_boot(const attempt_ptr& which)
{
  {
    const std::lock_guard lock(m_mutex);
    which->boot = m_boot;
    if (!m_boot.empty() || !m_environment.is_serving)
    {
      return;
    }
  }
  const std::string boot = m_backend.boot();
  const std::lock_guard lock(m_mutex);
  m_boot = boot;
  which->boot = boot;
}

bool request_runner::implementation::on_head(const attempt_ptr& which, const call_head& head)
{
  if (m_environment.report_answer && !head.boot.empty())
  {
    m_environment.report_answer(which->open.model, head.version, head.manifest);
  }
  const std::lock_guard lock(m_mutex);
  if (!head.boot.empty())
  {
    m_boot = head.boot;
    which->boot = head.boot;
  }
  const bool wrong_version = !which->open.model.empty() && head.version != which->open.version;
  if (wrong_version || (which->cancelled && !which->open.model.empty()))
  {
    return false;
  }
  transport::http_headers headers;
  if (which->open.model.empty())
  {
    std::copy_if(head.headers.begin(), head.headers.end(), std::back_inserter(headers),
                 [](const transport::http_header& header)
                 {
                   const transport::http_headers hop_by_hop = {
                       {"Content-Type", "x"},      {"Content-Length", "x"}, {"Connection", "x"},
                       {"Transfer-Encoding", "x"}, {"Keep-Alive", "x"},
                   };
                   return transport::find_header(hop_by_hop, header.name).empty();
                 });
  }
  start_answer(which, static_cast<std::uint16_t>(head.status), std::move(headers),
               head.content_type);
  return true;
}

bool request_runner::implementation::on_data(const attempt_ptr& which, std::string data)
{
  const std::lock_guard lock(m_mutex);
  if (which->cancelled && !which->open.model.empty())
  {
    return false;
  }
  add_data(which, std::move(data));
  return true;
}

void request_runner::implementation::start_answer(const attempt_ptr& which, std::uint16_t status,
                                                  transport::http_headers headers,
                                                  std::string content_type)
{
  which->head = protocol::answer_head{.id = which->open.id,
                                      .incarnation = m_incarnation,
                                      .status = status,
                                      .headers = std::move(headers),
                                      .content_type = std::move(content_type),
                                      .version = which->open.version,
                                      .load_permille = load() * 1000 / m_slots};
  send(which, *which->head);
}

void request_runner::implementation::add_data(const attempt_ptr& which, std::string data)
{
  send(which, protocol::answer_frame{
                  .id = which->open.id, .sequence = which->next_sequence(), .data = data});
  m_attempts.append(which, std::move(data));
}

void request_runner::implementation::send_end(const attempt_ptr& which)
{
  if (which->connection == 0 || m_stopping)
  {
    return;
  }
  if (which->phase == attempt_phase::answered)
  {
    m_environment.send(which->connection,
                       protocol::encode(protocol::answer_end{.id = which->open.id,
                                                             .frames = which->next_sequence(),
                                                             .bytes = which->bytes}));
  }
  else if (which->phase == attempt_phase::failed)
  {
    m_environment.send(which->connection, protocol::encode(which->failure));
  }
}

void request_runner::implementation::end_whole(const attempt_ptr& which)
{
  m_attempts.end(which, attempt_phase::answered, clock::now());
  send_end(which);
  m_changed.notify_all();
}

void request_runner::implementation::fail_attempt(const attempt_ptr& which, failure_kind kind,
                                                  std::string detail)
{
  m_metrics.add("agent_requests_failed");
  which->failure = {.id = which->open.id, .kind = kind, .detail = std::move(detail)};
  m_attempts.end(which, attempt_phase::failed, clock::now());
  // A failure is small; the entry asks for it by id if it is lost, so no drain waits for it.
  which->acknowledged = true;
  send_end(which);
  m_changed.notify_all();
}

void request_runner::implementation::answer_at_once(const attempt_ptr& which,
                                                    keys::stored_response answer)
{
  start_answer(which, answer.status, std::move(answer.headers), std::move(answer.content_type));
  constexpr std::size_t part = std::size_t{256} * 1024;
  for (std::size_t at = 0; at < answer.body.size(); at += part)
  {
    add_data(which, answer.body.substr(at, part));
  }
  end_whole(which);
}

void request_runner::implementation::finish(const attempt_ptr& which, const call_outcome& outcome)
{
  const std::string& key = which->open.key;
  if (!key.empty() && outcome.result == call_result::not_run)
  {
    m_environment.key_not_dispatched(key);
  }
  else if (!key.empty() && outcome.result == call_result::whole)
  {
    keys::stored_response answer{
        which->head->status, which->head->headers, which->head->content_type, {}};
    for (const std::string& data : which->frames)
    {
      answer.body += data;
    }
    m_environment.key_finished(key, std::move(answer));
  }
  else if (!key.empty())
  {
    m_environment.key_failed(key);
  }
  const std::lock_guard lock(m_mutex);
  const auto now = clock::now();
  const std::chrono::duration<double> taken = now - which->started;
  if (outcome.result == call_result::whole)
  {
    m_estimate.add(which->cost, taken);
  }
  switch (outcome.result)
  {
  case call_result::whole:
    m_suspects.clear(which->open.body_digest);
    m_metrics.record("agent_request_seconds", taken.count());
    end_whole(which);
    break;
  case call_result::not_run:
    refuse(which, outcome.reason, outcome.detail);
    break;
  case call_result::stopped:
    fail_attempt(which,
                 which->cancelled
                     ? (now >= which->deadline ? failure_kind::deadline : failure_kind::cancelled)
                     : failure_kind::backend_error,
                 "the call was ended");
    break;
  case call_result::protocol_error:
    fail_attempt(which, failure_kind::backend_error, outcome.detail);
    break;
  case call_result::broken:
    fail_attempt(which, which->cancelled ? failure_kind::cancelled : failure_kind::backend_lost,
                 outcome.detail);
    break;
  }
}

// All calls of a crashed backend server break; the first one to notice reports the requests that
// were running, the others find the crash counted. A broken connection to an engine that still has
// the same boot identifier is no crash.
void request_runner::implementation::detect_crash(const attempt_ptr& which)
{
  std::string before;
  {
    const std::lock_guard lock(m_mutex);
    if (which->crash_epoch != m_crash_epoch || which->cancelled)
    {
      return;
    }
    before = which->boot;
  }
  if (clock::now() >= which->deadline)
  {
    return;
  }
  const std::string boot = m_backend.boot();
  if (!boot.empty() && boot == before)
  {
    return;
  }
  protocol::suspect_report report{.crash = make_request_id(), .agent = m_settings.host};
  {
    const std::lock_guard lock(m_mutex);
    if (which->crash_epoch != m_crash_epoch)
    {
      return;
    }
    for (const attempt_ptr& running : m_attempts.open_attempts())
    {
      if (running->phase == attempt_phase::running && running->crash_epoch == m_crash_epoch)
      {
        report.running.push_back(running->open.body_digest);
      }
    }
    ++m_crash_epoch;
    m_boot = boot;
    m_suspects.add(report, clock::now());
    if (which->open.run_alone)
    {
      // Entries run work alone only after a crash elsewhere, which this process may not know of.
      m_suspects.add({.crash = make_request_id(), .running = {which->open.body_digest}},
                     clock::now());
    }
    // Sent under the lock: an entry must know the suspects before it learns that one of them
    // failed, or it would send that one to the next agent beside others.
    const transport::frame message = protocol::encode(report);
    for (const transport::connection_id connection : m_connections)
    {
      m_environment.send(connection, message);
    }
  }
  log_warning(log_category::requests, "backend server lost",
              {{"running", report.running.size()}, {"boot", before}});
  m_metrics.add("agent_backend_crashes");
  if (m_environment.backend_lost)
  {
    m_environment.backend_lost();
  }
}

void request_runner::implementation::expire(clock::time_point now)
{
  for (const attempt_ptr& which : m_attempts.open_attempts())
  {
    const bool expired = which->deadline <= now;
    const bool abandoned = which->abandoned && now - *which->abandoned > abandon_after;
    if ((!expired && !abandoned) || which->cancelled)
    {
      continue;
    }
    if (which->phase == attempt_phase::waiting)
    {
      m_queue.remove(which->open.id);
      std::erase(m_alone, which);
      refuse(which, refusal_reason::expired_deadline, "the deadline has passed");
    }
    else if (which->phase == attempt_phase::running && !which->open.model.empty())
    {
      which->cancelled = true;
      m_cancellations.push_back(which->open.id.request);
      m_cancel_available.notify_one();
    }
  }
  m_attempts.forget_old(now);
}

void request_runner::implementation::tend()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping)
  {
    m_changed.wait_for(lock, tend_interval,
                       [this] { return m_stopping || !m_undispatched.empty(); });
    expire(clock::now());
    std::vector<std::string> keys;
    keys.swap(m_undispatched);
    lock.unlock();
    for (const std::string& key : keys)
    {
      m_environment.key_not_dispatched(key);
    }
    lock.lock();
  }
}

void request_runner::implementation::cancel_calls()
{
  std::unique_lock lock(m_mutex);
  while (true)
  {
    m_cancel_available.wait(lock, [this] { return m_stopping || !m_cancellations.empty(); });
    if (m_cancellations.empty())
    {
      return;
    }
    const request_id id = m_cancellations.front();
    m_cancellations.pop_front();
    lock.unlock();
    m_backend.cancel(id);
    lock.lock();
  }
}

} // namespace pollenyoke::agent
