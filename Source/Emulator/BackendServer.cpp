#include "Emulator/BackendServer.h"

#include <array>
#include <cstdio>

#include "Common/Log.h"
#include "Emulator/AnswerContent.h"
#include "Emulator/Deployment.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A record is removed after this many intervals without a heartbeat.
constexpr int missed_heartbeats = 3;
// A leaving server serves on a little longer than it has to.
constexpr milliseconds after_drain{400};
constexpr milliseconds usual_deadline{6000};
// The caller still writes its request then.
constexpr int max_early_reset_us = 1000;
constexpr std::string_view instance_field = "X-Pollenyoke-Instance-Id";

std::uint64_t unix_ms()
{
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string make_id(std::mt19937_64& random)
{
  std::array<char, 24> text{};
  (void)std::snprintf(text.data(), text.size(), "i-%08llx",
                      static_cast<unsigned long long>(random() & 0xffffffffU));
  return text.data();
}

std::string field_or(const http_request& request, std::string_view name)
{
  const auto* value = request.head.find(name);
  return value == nullptr ? std::string{} : *value;
}

void append_words(std::string& fields, const server_words& words)
{
  if (words.leaving)
  {
    async_io::append_field(fields, names::server_leaving, "1");
  }
  if (!words.limit.empty())
  {
    async_io::append_field(fields, names::server_limit, words.limit);
  }
}

/// The content of a caller's request follows from its id, so that a change shows.
std::string changed_head(const http_request& request)
{
  if (request.head.find(names::caller_key) != nullptr)
  {
    return "the caller's key was passed on";
  }
  const std::string id = field_or(request, names::request_id);
  return request.head.target.ends_with("?of=" + id) ? "" : "the query is not the caller's";
}

std::string changed_body(const http_request& request)
{
  const std::string id = field_or(request, names::request_id);
  const std::string sent = request.head.method == "POST" ? make_request_body(id) : "";
  return request.body == sent ? "" : "the body is not the caller's";
}

} // namespace

std::string answer_fields(const server_job& job, std::string_view more)
{
  std::string out(more);
  append_words(out, *job.words);
  async_io::append_field(out, names::request_id, job.id);
  async_io::append_field(out, names::signature, make_signature(job.id, job.run));
  return out;
}

void refuse(const server_job& job, unsigned status, std::string_view more)
{
  std::string fields(more);
  append_words(fields, *job.words);
  async_io::append_field(fields, names::request_id, job.id);
  async_io::append_field(fields, names::not_executed, "1");
  job.reply->send(status, fields, {});
}

void begin_run(recorder& record, const server_job& job)
{
  arrival& came = record.arrival_at(job.arrival);
  came.ran = true;
  came.began = record.now();
}

void end_run(recorder& record, const server_job& job)
{
  arrival& came = record.arrival_at(job.arrival);
  if (came.ran && came.ended == 0)
  {
    came.ended = record.now();
  }
}

void break_off_run(recorder& record, const server_job& job)
{
  record.arrival_at(job.arrival).broken_off = true;
  end_run(record, job);
}

backend_server::backend_server(const server_environment& environment, server_identity identity)
    : m_environment(environment), m_identity(std::move(identity)),
      m_server(
          environment.loop,
          [this](http_request request, const std::shared_ptr<http_reply>& reply)
          { handle(std::move(request), reply); },
          [this](const async_io::message_head& head, const std::shared_ptr<http_reply>& reply)
          { return answer_early(head, reply); }),
      m_later(environment.loop), m_removals(environment.loop),
      m_random(environment.seed ^ std::hash<transport::endpoint>{}(m_identity.address))
{
}

result<void> backend_server::start()
{
  return m_server.listen(m_identity.address).map([this] { begin_instance(false); });
}

void backend_server::begin_instance(bool keeps_id)
{
  m_id = keeps_id ? m_id : make_id(m_random);
  m_started_ms = unix_ms();
  m_up = true;
  m_words = std::make_shared<server_words>();
  m_leaving_known = false;
  m_paused_until = {};
  m_server.set_fault(connection_fault::none);
  m_server.set_holding(false);
  m_later.clear();
  write_record();
}

void backend_server::write_record()
{
  server_record record{.id = m_id,
                       .service = m_identity.service,
                       .address = transport::to_string(m_identity.address),
                       .domain = m_identity.domain,
                       .slots = m_identity.slots,
                       .draining = m_words->leaving,
                       .started_ms = m_started_ms};
  fill_record(record);
  const auto written =
      m_environment.store.put(std::string(names::backend_topic), m_id, encode_server(record));
  if (written && m_words->leaving && !m_leaving_known)
  {
    leave();
  }
  m_later.after(backend_heartbeat,
                [this]
                {
                  if (m_up)
                  {
                    write_record();
                  }
                });
}

void backend_server::set_fault(server_fault fault, double share)
{
  m_fault = fault;
  m_fault_share = share;
}

void backend_server::crash(milliseconds downtime, connection_fault meanwhile, bool keeps_id)
{
  if (!m_up)
  {
    return;
  }
  log_info(log_category::process, "backend server crashes",
           {{"id", m_id}, {"downtime_ms", downtime.count()}});
  // A server that has said that it leaves does not come back under its id.
  const bool returns_as_itself = keeps_id && !m_words->leaving;
  if (!m_words->limit.empty())
  {
    // The next instance names none, also under the same id.
    set_limit({});
  }
  m_up = false;
  lose_power();
  m_server.set_fault(meanwhile);
  m_later.clear();
  m_removals.after(backend_heartbeat * missed_heartbeats, [this, id = m_id] { remove_record(id); });
  m_later.after(downtime, [this, returns_as_itself] { begin_instance(returns_as_itself); });
}

void backend_server::replace(milliseconds drain_timeout)
{
  if (!m_up || m_words->leaving)
  {
    return;
  }
  m_words->leaving = true;
  m_environment.record.seen().leaving_words.push_back({m_id, m_environment.record.now()});
  m_drain_timeout = drain_timeout;
  // While the store is away the server stays, and only its answers say that it leaves.
  write_record();
}

void backend_server::leave()
{
  m_leaving_known = true;
  m_environment.record.seen().leaving.push_back({m_id, m_environment.record.now()});
  m_later.after(m_drain_timeout + after_drain,
                [this]
                {
                  m_up = false;
                  lose_power();
                  m_server.set_fault(connection_fault::refused);
                  remove_record(m_id);
                  m_later.clear();
                  m_later.after(backend_heartbeat, [this] { begin_instance(false); });
                });
}

void backend_server::want_no_requests(milliseconds time)
{
  m_paused_until = steady_clock::now() + time;
}

void backend_server::set_limit(std::optional<double> per_second)
{
  if (!m_up)
  {
    return;
  }
  m_environment.record.seen().limit_words.push_back({m_id, m_environment.record.now(), per_second});
  m_words->limit = per_second ? std::to_string(*per_second) : std::string{};
}

void backend_server::spoil_limit(std::string_view spelling)
{
  if (!m_words->limit.empty())
  {
    m_words->limit = spelling;
  }
}

void backend_server::fall_silent(milliseconds time)
{
  m_server.set_holding(true);
  m_later.after(time, [this] { m_server.set_holding(false); });
}

std::string backend_server::notice_fields() const
{
  std::string fields;
  append_words(fields, *m_words);
  async_io::append_field(fields, instance_field, m_id);
  return fields;
}

void backend_server::remove_record(const std::string& id)
{
  if (m_up && m_id == id)
  {
    return;
  }
  if (!m_environment.store.put(std::string(names::backend_topic), id, std::nullopt))
  {
    m_removals.after(backend_heartbeat, [this, id] { remove_record(id); });
  }
}

std::shared_ptr<server_job> backend_server::make_job(http_request request,
                                                     const std::shared_ptr<http_reply>& reply)
{
  auto job = std::make_shared<server_job>();
  job->id = field_or(request, names::request_id);
  job->run = ++m_next_run;
  job->reply = reply;
  job->words = m_words;
  std::uint64_t left_ms = static_cast<std::uint64_t>(usual_deadline.count());
  (void)async_io::parse_number(field_or(request, names::time_left_ms), left_ms);
  job->due = steady_clock::now() + milliseconds(left_ms);
  job->arrival = m_environment.record.add_arrival({.request = job->id,
                                                   .server = m_id,
                                                   .service = m_identity.service,
                                                   .at = m_environment.record.now(),
                                                   .team = field_or(request, names::team),
                                                   .changed = changed_head(request)});
  job->request = std::move(request);
  return job;
}

void backend_server::handle(http_request request, const std::shared_ptr<http_reply>& reply)
{
  // Calls are carried out also for callers that have closed meanwhile, requests are not.
  if (answer_call(request, reply) || reply->caller_is_gone())
  {
    return;
  }
  if (request.head.find(names::request_id) == nullptr)
  {
    reply->send(m_words->leaving ? 503 : 200, notice_fields(), {});
    return;
  }
  const std::string expected = field_or(request, names::expected_server);
  if (!expected.empty() && expected != m_id)
  {
    std::string fields = notice_fields();
    async_io::append_field(fields, names::request_id, field_or(request, names::request_id));
    async_io::append_field(fields, names::not_executed, "1");
    reply->send(421, fields, {});
    return;
  }
  const std::string changed = changed_body(request);
  const auto job = make_job(std::move(request), reply);
  if (!changed.empty())
  {
    m_environment.record.arrival_at(job->arrival).changed = changed;
  }
  const std::chrono::duration<double> pause = m_paused_until - steady_clock::now();
  if (pause.count() > 0)
  {
    m_environment.record.arrival_at(job->arrival).pause = pause.count();
    std::string fields;
    async_io::append_field(fields, names::retry_after, std::to_string(pause.count()));
    refuse(*job, 503, fields);
    return;
  }
  if (!draw_fault() || !answer_faulty(job))
  {
    accept(job);
  }
  m_earlier_request = job->id;
}

bool backend_server::draw_fault()
{
  return m_fault != server_fault::none &&
         std::uniform_real_distribution<double>(0, 1)(m_random) < m_fault_share;
}

/// Answers at the head of a request. Returns false if its body is to be read.
bool backend_server::answer_early(const async_io::message_head& head,
                                  const std::shared_ptr<http_reply>& reply)
{
  const bool whole = m_fault == server_fault::answers_early;
  const auto* expected = head.find(names::expected_server);
  if ((!whole && m_fault != server_fault::breaks_off_early) ||
      head.find(names::request_id) == nullptr || expected == nullptr || *expected != m_id ||
      steady_clock::now() < m_paused_until || reply->caller_is_gone() || !draw_fault())
  {
    return false;
  }
  const auto job = make_job({head, {}}, reply);
  begin_run(m_environment.record, *job);
  const std::string body = make_body(job->id, job->run);
  reply->send_raw("HTTP/1.1 200 OK\r\n" + answer_fields(*job) + "\r\n" +
                  body.substr(0, whole ? body.size() : body.size() / 2));
  if (whole)
  {
    reply->end_connection();
    end_run(m_environment.record, *job);
    return true;
  }
  const std::chrono::microseconds delay(
      std::uniform_int_distribution<>(0, max_early_reset_us)(m_random));
  m_later.after(delay, [reply] { reply->reset(); });
  break_off_run(m_environment.record, *job);
  return true;
}

/// Returns false if the request is to be served as usual after all.
bool backend_server::answer_faulty(const std::shared_ptr<server_job>& job)
{
  http_reply& reply = *job->reply;
  switch (m_fault)
  {
  case server_fault::none:
  case server_fault::answers_early:
  case server_fault::breaks_off_early:
    return false;
  case server_fault::refuses_continuations:
    if (job->request.head.find(names::last_event) == nullptr)
    {
      return false;
    }
    begin_run(m_environment.record, *job);
    reply.send(409, answer_fields(*job), "the stream cannot be continued here\n");
    break;
  case server_fault::errors:
    begin_run(m_environment.record, *job);
    reply.send(500, answer_fields(*job), "failed");
    break;
  case server_fault::loses_answers:
    begin_run(m_environment.record, *job);
    reply.reset();
    break;
  case server_fault::hangs:
    break;
  case server_fault::garbage:
    reply.send_raw("\x16\x03\x01 not an answer\r\n\r\n");
    reply.reset();
    break;
  case server_fault::endless_head:
    reply.send_endless("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n");
    break;
  case server_fault::endless_body:
    reply.send_endless("HTTP/1.1 200 OK\r\n" + answer_fields(*job) + "\r\n", "x");
    break;
  case server_fault::extra_answer:
  {
    const server_job earlier{.id = m_earlier_request, .run = 1};
    const std::string body = make_body(earlier.id, earlier.run);
    reply.send_raw("HTTP/1.1 200 OK\r\n" + answer_fields(earlier) +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return false;
  }
  }
  break_off_run(m_environment.record, *job);
  return true;
}

} // namespace pollenyoke::emulator
