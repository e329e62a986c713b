#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Emulator/DelayedCalls.h"
#include "Emulator/HttpServer.h"
#include "Emulator/PlatformMessages.h"
#include "Emulator/Recorder.h"
#include "Emulator/StoreService.h"

namespace pollenyoke::emulator
{

/// What a server in trouble does with a request.
enum class server_fault
{
  none,
  /// Runs it and answers 500.
  errors,
  /// Runs it and resets the connection.
  loses_answers,
  /// Neither runs nor answers it.
  hangs,
  /// Sends bytes that are no answer.
  garbage,
  /// Sends bytes that are no answer until the caller closes: in the head.
  endless_head,
  /// The same in the body.
  endless_body,
  /// Sends the answer to another request first.
  extra_answer,
  /// Answers 409 where a stream is to be continued.
  refuses_continuations,
  /// Answers before the body of a request is in, without a length.
  answers_early,
  /// The same, and resets the connection within the answer.
  breaks_off_early,
};

/// What all answers of an instance say.
struct server_words
{
  bool leaving = false;
  /// Value of the field that names the limit; empty if there is none.
  std::string limit;
};

/// A request at a backend server.
struct server_job
{
  http_request request;
  std::shared_ptr<http_reply> reply;
  std::string id;
  std::uint64_t run = 0;
  std::size_t arrival = 0;
  std::chrono::steady_clock::time_point due;
  std::shared_ptr<const server_words> words = std::make_shared<const server_words>();
};

/// What the servers of a run share.
struct server_environment
{
  async_io::event_loop& loop;
  recorder& record;
  store_service& store;
  std::uint64_t seed = 0;
};

struct server_identity
{
  std::string service;
  std::string domain;
  transport::endpoint address;
  unsigned slots = 1;
};

/// What a kind of server does with its requests. `accept` answers through the job's reply and
/// `answer_call` returns false for a call that it does not know.
template <typename Work>
concept server_work = requires(Work work, std::shared_ptr<server_job> job, server_record& record,
                               const http_request& request,
                               const std::shared_ptr<http_reply>& reply)
{
  work.accept(job);
  {
    work.answer_call(request, reply)
    } -> std::convertible_to<bool>;
  work.fill_record(record);
  work.lose_power();
};

/// The part of a backend server that does not depend on its work: its record in the store, the
/// checks of a request, and its faults.
class backend_server
{
public:
  virtual ~backend_server() = default;
  backend_server(const backend_server&) = delete;
  backend_server& operator=(const backend_server&) = delete;
  backend_server(backend_server&&) = delete;
  backend_server& operator=(backend_server&&) = delete;

  result<void> start();
  /// `share`: how many of the requests are concerned.
  void set_fault(server_fault fault, double share);
  /// Loses everything and comes back after `downtime`, as a new instance or under its old id.
  void crash(std::chrono::milliseconds downtime, connection_fault meanwhile, bool keeps_id);
  /// Says that it leaves, serves on for a while after the store knows it, and comes back as a new
  /// instance.
  void replace(std::chrono::milliseconds drain_timeout);
  /// Turns requests away for `time`, and says how much of it is left.
  void want_no_requests(std::chrono::milliseconds time);
  /// Names this limit in its answers from now on, or none.
  void set_limit(std::optional<double> per_second);
  /// Spells its limit so that it cannot be read; the limit stays.
  void spoil_limit(std::string_view spelling);
  /// A sound server that reads and sends nothing for `time` and then goes on.
  void fall_silent(std::chrono::milliseconds time);
  const transport::endpoint& address() const
  {
    return m_identity.address;
  }
  const std::string& id() const
  {
    return m_id;
  }
  bool is_up() const
  {
    return m_up;
  }

protected:
  backend_server(const server_environment& environment, server_identity identity);

  virtual void accept(const std::shared_ptr<server_job>& job) = 0;
  virtual bool answer_call(const http_request& request,
                           const std::shared_ptr<http_reply>& reply) = 0;
  virtual void fill_record(server_record& record) = 0;
  virtual void lose_power() = 0;

private:
  void begin_instance(bool keeps_id);
  void write_record();
  /// The store has accepted the record that says so.
  void leave();
  /// Removes the record of an instance that is gone, as soon as the store can be reached.
  void remove_record(const std::string& id);
  void handle(http_request request, const std::shared_ptr<http_reply>& reply);
  /// Whether the fault, if there is one, concerns the next request.
  bool draw_fault();
  bool answer_faulty(const std::shared_ptr<server_job>& job);
  bool answer_early(const async_io::message_head& head, const std::shared_ptr<http_reply>& reply);
  std::shared_ptr<server_job> make_job(http_request request,
                                       const std::shared_ptr<http_reply>& reply);
  std::string notice_fields() const;

  server_environment m_environment;
  server_identity m_identity;
  http_server m_server;
  /// Of the current instance.
  delayed_calls m_later;
  /// Removals of records of earlier instances.
  delayed_calls m_removals;
  std::mt19937_64 m_random;
  std::string m_id;
  std::uint64_t m_started_ms = 0;
  std::uint64_t m_next_run = 0;
  bool m_up = false;
  /// Shared with the jobs of the instance.
  std::shared_ptr<server_words> m_words = std::make_shared<server_words>();
  bool m_leaving_known = false;
  std::chrono::milliseconds m_drain_timeout{0};
  std::chrono::steady_clock::time_point m_paused_until{};
  server_fault m_fault = server_fault::none;
  double m_fault_share = 0;
  std::string m_earlier_request;
};

/// A backend server that does this work.
template <typename Work>
class server_of final : public backend_server
{
public:
  template <typename... Arguments>
  server_of(const server_environment& environment, const server_identity& identity,
            Arguments&&... arguments)
      : backend_server(environment, identity),
        m_work(environment, std::forward<Arguments>(arguments)...)
  {
    static_assert(server_work<Work>);
  }

  Work& work()
  {
    return m_work;
  }

private:
  void accept(const std::shared_ptr<server_job>& job) override
  {
    m_work.accept(job);
  }
  bool answer_call(const http_request& request, const std::shared_ptr<http_reply>& reply) override
  {
    return m_work.answer_call(request, reply);
  }
  void fill_record(server_record& record) override
  {
    m_work.fill_record(record);
  }
  void lose_power() override
  {
    m_work.lose_power();
  }

  Work m_work;
};

/// Header fields of an answer to a job.
std::string answer_fields(const server_job& job, std::string_view more = {});
/// Answers that the server has not run the request.
void refuse(const server_job& job, unsigned status, std::string_view more = {});
/// The server begins to work on the request.
void begin_run(recorder& record, const server_job& job);
void end_run(recorder& record, const server_job& job);
/// The same for a request whose answer the server does not complete.
void break_off_run(recorder& record, const server_job& job);

} // namespace pollenyoke::emulator
