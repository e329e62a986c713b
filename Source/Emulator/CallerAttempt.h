#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "AsyncIo/IdlePool.h"
#include "Emulator/AnswerReader.h"
#include "Emulator/Recorder.h"

namespace pollenyoke::emulator
{

struct attempt_outcome
{
  std::size_t attempt = 0;
  /// Refusals: when the caller may come back.
  std::optional<std::chrono::milliseconds> retry_after;
};

/// One attempt at one entry: sends the request, checks the answer and records both.
class caller_attempt : public std::enable_shared_from_this<caller_attempt>
{
public:
  using handler = std::function<void(const attempt_outcome&)>;

  caller_attempt(async_io::event_loop& loop, recorder& record, async_io::idle_pool& pool);

  /// `machine`: whose address this is. `may_reuse`: an idle connection may be used.
  void start(const caller_request& request, const std::string& id, const std::string& machine,
             const transport::endpoint& address, bool may_reuse, handler done);

private:
  void send();
  void receive(std::string_view data);
  void finish_answer();
  void end(answer_state state, const std::string& problem = {});
  attempt& entry();

  async_io::event_loop& m_loop;
  recorder& m_record;
  async_io::idle_pool& m_pool;
  async_io::timer m_deadline;
  async_io::tcp_connection::pointer m_connection;
  caller_request m_request;
  std::string m_id;
  transport::endpoint m_address;
  std::size_t m_attempt = 0;
  std::optional<answer_reader> m_answer;
  bool m_ended = false;
  handler m_done;
};

} // namespace pollenyoke::emulator
