#include "Agent/AttemptTable.h"

#include <algorithm>
#include <utility>

namespace pollenyoke::agent
{

attempt_table::attempt_table(attempt_limits limits) : m_limits(limits) {}

attempt_ptr attempt_table::find(const protocol::attempt_id& id) const
{
  const auto found = m_attempts.find(id);
  return found == m_attempts.end() ? nullptr : found->second;
}

attempt_ptr attempt_table::add(protocol::request_open open, transport::connection_id connection,
                               time_point deadline)
{
  auto added = std::make_shared<attempt>();
  added->open = std::move(open);
  added->connection = connection;
  added->deadline = deadline;
  m_attempts[added->open.id] = added;
  m_open[added->open.id] = added;
  return added;
}

void attempt_table::refuse(const attempt_ptr& which, protocol::request_refused refusal,
                           time_point now)
{
  which->refusal = std::move(refusal);
  end(which, attempt_phase::refused, now);
}

void attempt_table::append(const attempt_ptr& which, std::string data)
{
  which->bytes += data.size();
  which->kept_bytes += data.size();
  m_kept_bytes += data.size();
  which->frames.push_back(std::move(data));
  while (which->kept_bytes > m_limits.answer_bytes && which->frames.size() > 1)
  {
    const std::size_t size = which->frames.front().size();
    which->frames.pop_front();
    ++which->first_kept;
    which->kept_bytes -= size;
    m_kept_bytes -= size;
  }
}

void attempt_table::end(const attempt_ptr& which, attempt_phase phase, time_point now)
{
  which->phase = phase;
  which->ended = now;
  // The request's own data is not needed any more.
  which->open.body = {};
  which->open.headers = {};
  m_open.erase(which->open.id);
  m_ended.push_back(which);
  for (auto oldest = m_ended.begin();
       m_kept_bytes > m_limits.total_bytes && oldest != m_ended.end(); ++oldest)
  {
    if (*oldest != which)
    {
      drop_answer(**oldest);
    }
  }
}

void attempt_table::drop_answer(attempt& of)
{
  m_kept_bytes -= of.kept_bytes;
  of.kept_bytes = 0;
  of.first_kept += static_cast<std::uint32_t>(of.frames.size());
  of.frames.clear();
}

void attempt_table::acknowledge(const attempt_ptr& which)
{
  which->acknowledged = true;
  if (which->ended_phase())
  {
    drop_answer(*which);
  }
}

void attempt_table::forget_old(time_point now)
{
  while (!m_ended.empty() &&
         (m_ended.size() > m_limits.remembered || now - m_ended.front()->ended > m_limits.memory))
  {
    drop_answer(*m_ended.front());
    m_attempts.erase(m_ended.front()->open.id);
    m_ended.pop_front();
  }
  for (const attempt_ptr& ended : m_ended)
  {
    if (now - ended->ended <= m_limits.answer_memory)
    {
      break;
    }
    drop_answer(*ended);
    ended->acknowledged = true;
  }
}

std::vector<attempt_ptr> attempt_table::open_attempts() const
{
  std::vector<attempt_ptr> out;
  out.reserve(m_open.size());
  for (const auto& [id, which] : m_open)
  {
    out.push_back(which);
  }
  return out;
}

bool attempt_table::idle() const
{
  return m_open.empty() &&
         std::all_of(m_ended.begin(), m_ended.end(),
                     [](const attempt_ptr& ended)
                     { return ended->acknowledged || ended->phase == attempt_phase::refused; });
}

std::size_t attempt_table::size() const
{
  return m_attempts.size();
}

std::uint64_t attempt_table::kept_bytes() const
{
  return m_kept_bytes;
}

} // namespace pollenyoke::agent
