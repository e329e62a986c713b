#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "Agent/AttemptTable.h"
#include "Agent/BackendCaller.h"
#include "Agent/RequestRunner.h"
#include "Routing/Admission.h"
#include "Routing/FairQueue.h"
#include "Routing/ServiceEstimate.h"
#include "Routing/SuspectTable.h"

namespace pollenyoke::agent
{

class request_runner::implementation
    : public std::enable_shared_from_this<request_runner::implementation>
{
public:
  using clock = std::chrono::steady_clock;

  implementation(const protocol::settings& with, incarnation_id incarnation,
                 runner_environment environment, metrics_registry& metrics);

  void start();
  void stop();

  // Messages (RequestRunner.cpp).
  bool handle_frame(transport::connection_id from, const transport::frame& message);
  void handle_closed(transport::connection_id connection);
  void set_leaving(bool leaving = true);
  bool drain(std::chrono::milliseconds patience);
  std::uint32_t in_flight() const;
  std::uint32_t capacity() const;
  nlohmann::json dump() const;

private:
  /// Empty for messages of other modules; false for malformed input.
  std::optional<bool> dispatch(transport::connection_id from, const transport::frame& message);
  void open(transport::connection_id from, protocol::request_open message);
  void cancel(const protocol::attempt_id& id);
  void query(transport::connection_id from, const protocol::attempt_id& id);
  void resume(transport::connection_id from, const protocol::resume_answer& message);
  void acknowledge(const protocol::attempt_id& id);
  bool is_serving(const protocol::request_open& message) const;
  std::optional<protocol::refusal_reason> refuse_at_once(const protocol::request_open& message,
                                                         bool serving) const;
  void decide_key(const attempt_ptr& which);
  void on_key_decision(const attempt_ptr& which, keys::key_decision decision);

  // Running (RequestRun.cpp).
  void work();
  bool can_dispatch() const;
  attempt_ptr take_next();
  attempt_ptr take_waiting();
  void run(const attempt_ptr& which);
  bool on_head(const attempt_ptr& which, const call_head& head);
  bool on_data(const attempt_ptr& which, std::string data);
  void finish(const attempt_ptr& which, const call_outcome& outcome);
  void learn_boot(const attempt_ptr& which);
  void detect_crash(const attempt_ptr& which);
  void tend();
  void expire(clock::time_point now);
  void cancel_calls();

  // The functions below are called with m_mutex held.
  void enqueue(const attempt_ptr& which);
  void refuse(const attempt_ptr& which, protocol::refusal_reason reason, std::string detail,
              const host_id& owner = {});
  void fail_attempt(const attempt_ptr& which, protocol::failure_kind kind, std::string detail);
  void end_whole(const attempt_ptr& which);
  void answer_at_once(const attempt_ptr& which, keys::stored_response answer);
  void start_answer(const attempt_ptr& which, std::uint16_t status, transport::http_headers headers,
                    std::string content_type);
  void add_data(const attempt_ptr& which, std::string data);
  void send_end(const attempt_ptr& which);
  std::uint32_t retry_after_ms() const;
  std::uint32_t load() const;
  template <typename Message>
  void send(const attempt_ptr& which, const Message& message);

  const protocol::settings m_settings;
  const incarnation_id m_incarnation;
  const runner_environment m_environment;
  metrics_registry& m_metrics;
  const backend_caller m_backend;
  const std::uint32_t m_slots;

  mutable std::mutex m_mutex;
  std::condition_variable m_work_available;
  std::condition_variable m_changed;
  attempt_table m_attempts;
  routing::fair_queue m_queue;
  /// Suspects that wait until no other request runs.
  std::deque<attempt_ptr> m_alone;
  bool m_running_alone = false;
  std::uint32_t m_running = 0;
  std::uint32_t m_deciding = 0;
  std::uint32_t m_idle_workers = 0;
  routing::service_estimate m_estimate;
  routing::suspect_table m_suspects;
  /// Keys whose request was refused after the decision to run it; tend() gives them back, since
  /// m_mutex is held where they are refused.
  std::vector<std::string> m_undispatched;
  std::uint64_t m_crash_epoch = 0;
  std::string m_boot;
  std::set<transport::connection_id> m_connections;
  std::deque<request_id> m_cancellations;
  std::condition_variable m_cancel_available;
  bool m_leaving = false;
  bool m_stopping = false;
  std::vector<std::thread> m_workers;
  std::thread m_tender;
  std::thread m_canceller;
};

} // namespace pollenyoke::agent
