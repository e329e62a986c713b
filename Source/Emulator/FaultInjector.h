#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Emulator/DelayedCalls.h"
#include "Emulator/FaultPlan.h"
#include "Emulator/PlatformRun.h"

namespace pollenyoke::emulator
{

/// Carries out a plan of faults on a run, and records what each of them may disturb.
class fault_injector
{
public:
  fault_injector(async_io::event_loop& loop, platform_run& run, std::vector<planned_fault> plan);

  /// The times of the plan count from now. The operator makes small changes all the while.
  void start();
  std::size_t injected() const
  {
    return m_injected;
  }

private:
  using action = void (fault_injector::*)(const planned_fault&);

  void inject(const planned_fault& fault);
  void operate();
  /// Draws this share of the machines, one at least; of one role if it is given.
  std::vector<machine> choose(const planned_fault& fault, double share,
                              std::optional<protocol::process_role> role = {}) const;
  /// Records a disturbance that begins now and lasts for the time of the fault.
  void disturb(const std::string& scope, double duration_s);
  void after(double seconds, std::function<void()> undo);

  void kill_processes(const planned_fault& fault);
  void kill_all(const planned_fault& fault);
  void stop_process(const planned_fault& fault);
  void pause_process(const planned_fault& fault);
  void reload_process(const planned_fault& fault);
  void take_store_away(const planned_fault& fault);
  void reject_machines(const planned_fault& fault);
  void slow_store(const planned_fault& fault);
  void lose_store_answers(const planned_fault& fault);
  void silence_store_connections(const planned_fault& fault);
  void forget_history(const planned_fault& fault);
  void reset_reads(const planned_fault& fault);
  void crash_engines(const planned_fault& fault);
  void trouble_engine(const planned_fault& fault);
  void slow_engine(const planned_fault& fault);
  void replace_server(const planned_fault& fault);
  void trouble_desk(const planned_fault& fault);
  void delay_link(const planned_fault& fault);
  void cut_link(const planned_fault& fault);
  void block_one_way(const planned_fault& fault);
  void silence_connections(const planned_fault& fault);
  void take_origin_away(const planned_fault& fault);
  void trouble_origin(const planned_fault& fault);
  void write_config_series(const planned_fault& fault);
  void write_long_config(const planned_fault& fault);
  void name_weights(const planned_fault& fault);
  void raise_load(const planned_fault& fault);
  void make_callers_impatient(const planned_fault& fault);
  void begin_server_pause(const planned_fault& fault);
  void silence_server(const planned_fault& fault);
  void disturb_load(const planned_fault& fault);
  void limit_server(const planned_fault& fault);
  void restore_store(const planned_fault& fault);
  void answer_early(const planned_fault& fault);
  void fail_continuations(const planned_fault& fault);
  void stop_series(const planned_fault& fault);
  void silence_open_connections(const planned_fault& fault);

  void set_link_faults(const planned_fault& fault, const stand_ins::relay_faults& faults);
  void trouble_server(backend_server& server, server_fault trouble, const planned_fault& fault);
  /// A server of any service.
  backend_server& choose_server(const planned_fault& fault) const;

  static const std::map<fault_kind, action> actions;

  platform_run& m_run;
  std::vector<planned_fault> m_plan;
  delayed_calls m_later;
  std::size_t m_injected = 0;
  std::uint64_t m_operations = 0;
};

} // namespace pollenyoke::emulator
