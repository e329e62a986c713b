#include "Emulator/CallerAttempt.h"

#include <algorithm>
#include <cstdlib>

#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{1000};
// Servers close idle connections after a stated time; callers use them up to four fifths of it.
constexpr milliseconds idle_lifetime{12000};

bool is_refusal(unsigned status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::optional<milliseconds> read_retry_after(const async_io::message_head& head)
{
  const auto* text = head.find("Retry-After");
  if (text == nullptr)
  {
    return std::nullopt;
  }
  return milliseconds(static_cast<std::int64_t>(std::strtod(text->c_str(), nullptr) * 1000));
}

} // namespace

caller_attempt::caller_attempt(async_io::event_loop& loop, recorder& record,
                               async_io::idle_pool& pool)
    : m_loop(loop), m_record(record), m_pool(pool), m_deadline(loop)
{
}

attempt& caller_attempt::entry()
{
  return m_record.attempt_at(m_attempt);
}

void caller_attempt::start(const caller_request& request, const std::string& id,
                           const std::string& machine, const transport::endpoint& address,
                           bool may_reuse, handler done)
{
  m_request = request;
  m_id = id;
  m_address = address;
  m_done = std::move(done);
  m_answer.emplace(id, request.route.streaming);
  m_attempt = m_record.add_attempt(make_attempt(request, id, machine, m_record.now()));
  const auto self = shared_from_this();
  // Callers wait a little beyond the deadline that they state.
  const auto wait = request.patience.value_or(request.deadline + milliseconds(500));
  m_deadline.start(wait,
                   [self]
                   {
                     self->entry().gave_up = true;
                     self->end(answer_state::none);
                   });
  m_connection = may_reuse ? m_pool.take(address) : nullptr;
  if (m_connection)
  {
    entry().on_kept_connection = true;
    send();
    return;
  }
  m_connection = async_io::tcp_connection::make(m_loop);
  m_connection->connect(address, connect_timeout,
                        [self](const result<void>& outcome)
                        {
                          if (!outcome)
                          {
                            self->end(answer_state::none);
                            return;
                          }
                          self->send();
                        });
}

void caller_attempt::send()
{
  if (m_ended)
  {
    return;
  }
  const auto self = shared_from_this();
  m_connection->start([self](std::string_view data) { self->receive(data); },
                      [self](async_io::close_reason reason)
                      {
                        if (reason == async_io::close_reason::end_of_stream)
                        {
                          self->m_answer->feed_end();
                        }
                        if (self->m_answer->is_done())
                        {
                          self->finish_answer();
                          return;
                        }
                        self->end(self->m_answer->state());
                      });
  m_connection->write(write_request(m_request, m_id, body_form::with_length));
}

void caller_attempt::receive(std::string_view data)
{
  m_answer->feed(data, entry(), m_record.now());
  if (m_answer->is_done())
  {
    finish_answer();
  }
}

void caller_attempt::finish_answer()
{
  if (m_ended)
  {
    return;
  }
  std::string problem = m_answer->problem();
  if (problem.empty() && !m_answer->take_surplus().empty())
  {
    problem = "bytes after the answer";
  }
  if (problem.empty() && m_answer->keep_alive() && m_connection->is_open())
  {
    m_pool.put(m_address, m_connection, idle_lifetime);
    m_connection = nullptr;
  }
  end(problem.empty() ? answer_state::whole : answer_state::wrong, problem);
}

void caller_attempt::end(answer_state state, const std::string& problem)
{
  if (m_ended)
  {
    return;
  }
  m_ended = true;
  m_deadline.cancel();
  if (m_connection && m_connection->is_open())
  {
    m_connection->close();
  }
  attempt& sent = entry();
  sent.ended = m_record.now();
  sent.answer = state;
  sent.problem = problem;
  // The proxy between hides how the entry closed.
  sent.reset = state == answer_state::none;
  attempt_outcome outcome{m_attempt, std::nullopt};
  if (state == answer_state::whole && is_refusal(sent.status))
  {
    outcome.retry_after = read_retry_after(m_answer->head());
  }
  // The handler may hold the last reference to this object.
  const auto done = std::move(m_done);
  m_done = nullptr;
  done(outcome);
}

} // namespace pollenyoke::emulator
