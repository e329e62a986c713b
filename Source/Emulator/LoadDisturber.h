#pragma once

#include <map>
#include <string>
#include <vector>

#include "Emulator/DelayedCalls.h"
#include "Emulator/LoadPlan.h"
#include "Emulator/PlatformRun.h"

namespace pollenyoke::emulator
{

/// Carries out a plan of disturbed loads on a run.
class load_disturber
{
public:
  load_disturber(async_io::event_loop& loop, platform_run& run, load_plan plan);
  load_disturber(const load_disturber&) = delete;
  load_disturber& operator=(const load_disturber&) = delete;
  load_disturber(load_disturber&&) = delete;
  load_disturber& operator=(load_disturber&&) = delete;
  ~load_disturber();

  /// The times of the plan count from now.
  void start();
  /// Loads that were disturbed, by their step.
  const std::map<std::string, std::size_t>& disturbed() const
  {
    return m_disturbed;
  }

private:
  /// A planned load that has not yet come to its step.
  struct armed_load
  {
    planned_load what;
    unsigned earlier_orders = 0;
    bool is_late = false;
    bool is_struck = true;
  };

  void begin(const planned_load& load);
  step_effect observe(std::size_t engine, load_step step, double progress);
  void delay_order(armed_load& armed);
  step_effect strike(armed_load& armed);
  void carry_out(const planned_load& what);
  void lose_power(std::size_t engine, const planned_load& what);
  void restart_engine(std::size_t engine, const planned_load& what);
  void silence_engine(const planned_load& what);
  void spoil_read_back(const planned_load& what);
  void name_disturbance(const planned_load& what);
  /// Records a disturbance of a server that begins now.
  void disturb(const std::string& server, double duration_s);
  server_of<engine_work>& engine(std::size_t number);
  /// The machine of its agent.
  const std::string& host_of(std::size_t engine) const;
  void after(double seconds, std::function<void()> action);

  platform_run& m_run;
  load_plan m_plan;
  delayed_calls m_later;
  std::vector<std::string> m_hosts;
  std::vector<armed_load> m_armed;
  std::map<std::string, std::size_t> m_disturbed;
};

} // namespace pollenyoke::emulator
