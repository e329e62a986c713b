#include "Emulator/PlainWork.h"

#include <algorithm>

#include "Emulator/AnswerContent.h"

namespace pollenyoke::emulator
{

plain_work::plain_work(const server_environment& environment, unsigned slots, unsigned queue,
                       std::chrono::milliseconds work_time)
    : m_record(environment.record), m_later(environment.loop), m_slots(slots), m_queue(queue),
      m_work_time(work_time)
{
}

void plain_work::accept(const std::shared_ptr<server_job>& job)
{
  if (m_waiting.size() >= m_queue)
  {
    refuse(*job, 503);
    return;
  }
  job->reply->on_caller_gone(
      [this, weak = std::weak_ptr<server_job>(job)]
      {
        const auto gone = weak.lock();
        std::erase(m_waiting, gone);
        if (gone && std::erase(m_running, gone) > 0)
        {
          end_run(m_record, *gone);
          start_waiting();
        }
      });
  m_waiting.push_back(job);
  start_waiting();
}

void plain_work::start_waiting()
{
  while (m_running.size() < m_slots && !m_waiting.empty())
  {
    const auto job = m_waiting.front();
    m_waiting.pop_front();
    if (std::chrono::steady_clock::now() >= job->due)
    {
      refuse(*job, 503);
      continue;
    }
    run(job);
  }
}

void plain_work::run(const std::shared_ptr<server_job>& job)
{
  m_running.push_back(job);
  begin_run(m_record, *job);
  m_later.after(m_work_time,
                [this, job]
                {
                  if (std::erase(m_running, job) == 0)
                  {
                    return;
                  }
                  end_run(m_record, *job);
                  job->reply->send(200, answer_fields(*job), make_body(job->id, job->run));
                  start_waiting();
                });
}

bool plain_work::answer_call(const http_request& /*request*/,
                             const std::shared_ptr<http_reply>& /*reply*/)
{
  return false;
}

void plain_work::fill_record(server_record& /*record*/) {}

void plain_work::lose_power()
{
  m_later.clear();
  for (const auto& job : m_running)
  {
    break_off_run(m_record, *job);
  }
  m_running.clear();
  m_waiting.clear();
}

} // namespace pollenyoke::emulator
