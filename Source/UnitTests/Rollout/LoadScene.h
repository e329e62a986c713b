#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/HttpCaller.h"
#include "EngineStandIn.h"
#include "Rollout/RolloutAgent.h"

namespace pollenyoke::test
{

/// An agent on a thread of its own, as a process that can be stopped and killed.
class agent_process
{
public:
  using handler = std::function<void(const protocol::engine_report&, const rollout::engine_state&)>;

  agent_process(transport::endpoint engine, transport::endpoint origin, rollout::weight_shape shape,
                handler on_report);
  ~agent_process();
  agent_process(const agent_process&) = delete;
  agent_process& operator=(const agent_process&) = delete;
  agent_process(agent_process&&) = delete;
  agent_process& operator=(agent_process&&) = delete;

  /// Begins a new run that knows these versions, once the one before has ended.
  void restart(std::uint64_t newest_version);
  void kill();
  void stand_still(std::chrono::milliseconds time);
  void add_version(std::uint64_t version);
  /// Delivered after what the agent is doing now.
  void send_proof(const peers::engine_mark& mark);

private:
  /// Runs on the agent's thread; returns when it has been done.
  void call(const std::function<void()>& work);

  transport::endpoint m_engine;
  transport::endpoint m_origin;
  rollout::weight_shape m_shape;
  handler m_on_report;
  async_io::event_loop m_loop;
  std::unique_ptr<async_io::timer> m_keep_running;
  std::unique_ptr<async_io::http_caller> m_caller;
  std::unique_ptr<rollout::rollout_agent> m_agent;
  std::thread m_thread;
};

/// What an entry knows of the engine and does with it.
class entry_view
{
public:
  bool returns_proofs = false;

  void receive(const protocol::engine_report& report, const rollout::engine_state& state);
  bool remembers(const peers::engine_mark& mark) const;
  /// Version that a request to the whole engine would name; 0 if the engine is not used.
  std::uint64_t version_for_whole(unsigned layers) const;
  /// The part of a pipeline that the engine would get; empty if it is not used.
  protocol::layer_range part() const;
  /// The agent has reported the layers of this version as usable.
  bool is_served(std::uint64_t version, const peers::engine_mark& mark) const;
  std::uint64_t reported_version() const;

private:
  std::chrono::milliseconds age() const;
  bool is_proven() const;

  std::optional<protocol::engine_report> m_report;
  rollout::engine_state m_state;
  std::optional<peers::engine_mark> m_proven;
};

/// An engine with its agent, an origin of weights and an entry. Notes each token that would be made
/// with layers taken from bad pieces and each such layer that is said to be proven.
class load_scene
{
public:
  explicit load_scene(const rollout::weight_shape& shape);
  ~load_scene();
  load_scene(const load_scene&) = delete;
  load_scene& operator=(const load_scene&) = delete;
  load_scene(load_scene&&) = delete;
  load_scene& operator=(load_scene&&) = delete;

  /// Runs the engine, the origin and the entry until the condition holds; false if it does not
  /// within `limit`.
  bool run_until(const std::function<bool()>& condition,
                 std::chrono::milliseconds limit = std::chrono::seconds(30));
  void run_for(std::chrono::milliseconds time);
  /// The engine serves all layers of the version, from whole pieces, and its agent says so.
  bool serves(std::uint64_t version) const;
  void restart_agent(std::uint64_t newest_version = 2);
  /// What went wrong first; empty if nothing.
  std::string problem() const;

  engine_stand_in& engine();
  agent_process& agent();
  entry_view& entry();
  /// Called when a call reaches the origin; false closes the connection.
  std::function<bool(bool is_manifest)> on_origin_call;
  /// Called for each report of the agent.
  std::function<void(const protocol::engine_report&, const rollout::engine_state&)> on_report;
  /// Called every few milliseconds.
  std::function<void()> on_tick;

private:
  void answer_origin_call(const async_io::message_head& head,
                          const deferred_http_server::responder& respond);
  void handle_report(const protocol::engine_report& report, const rollout::engine_state& state);
  void tick();
  void send_requests();
  void note(const std::string& problem);

  rollout::weight_shape m_shape;
  async_io::event_loop m_loop;
  async_io::timer m_timer{m_loop};
  engine_stand_in m_engine;
  deferred_http_server m_origin;
  entry_view m_entry;
  std::string m_problem;
  /// Reports of the agent reach this thread in order.
  std::function<bool()> m_condition;
  std::chrono::steady_clock::time_point m_give_up{};
  std::unique_ptr<agent_process> m_agent;
};

} // namespace pollenyoke::test
