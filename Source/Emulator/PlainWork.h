#pragma once

#include <deque>

#include "Emulator/BackendServer.h"

namespace pollenyoke::emulator
{

/// The work of a plain service: short requests in a few slots.
class plain_work
{
public:
  plain_work(const server_environment& environment, unsigned slots, unsigned queue,
             std::chrono::milliseconds work_time);

  void accept(const std::shared_ptr<server_job>& job);
  static bool answer_call(const http_request& request, const std::shared_ptr<http_reply>& reply);
  static void fill_record(server_record& record);
  void lose_power();

private:
  void start_waiting();
  void run(const std::shared_ptr<server_job>& job);

  recorder& m_record;
  delayed_calls m_later;
  unsigned m_slots;
  unsigned m_queue;
  std::chrono::milliseconds m_work_time;
  std::deque<std::shared_ptr<server_job>> m_waiting;
  std::vector<std::shared_ptr<server_job>> m_running;
};

} // namespace pollenyoke::emulator
