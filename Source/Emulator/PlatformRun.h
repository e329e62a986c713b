#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Emulator/BackendServer.h"
#include "Emulator/CallerPool.h"
#include "Emulator/Deployment.h"
#include "Emulator/EngineWork.h"
#include "Emulator/FleetOperator.h"
#include "Emulator/KeptConnectionCaller.h"
#include "Emulator/PeerNetwork.h"
#include "Emulator/PlainWork.h"
#include "Emulator/ProcessFleet.h"
#include "Emulator/StoreService.h"
#include "Emulator/WeightSource.h"
#include "StandIns/RelayLoop.h"

namespace pollenyoke::emulator
{

struct run_options
{
  /// Program of the system, and the folder of its settings templates.
  std::string node_program;
  std::string templates;
  /// Settings and logs of the processes are written here.
  std::string work_directory;
  std::uint64_t seed = 1;
  /// Of the hosts with engines, those at the end that join later, without weights.
  std::size_t late_hosts = 0;
  /// Callers that stay with one entry, for each of them.
  unsigned kept_connections = 0;
};

/// The emulated platform and the processes of the system on it.
class platform_run
{
public:
  platform_run(async_io::event_loop& loop, const deployment& what, run_options options);

  /// Starts everything. Error `unavailable`: an address is taken or a process cannot be started;
  /// `invalid_argument`: a template cannot be filled.
  result<void> start();
  bool is_ready() const;
  /// The next of the late hosts joins, if there is one left. Errors as of start.
  result<void> start_late_host();
  /// No new requests; those in progress go on.
  void stop_callers();
  void shut_down();

  recorder& record()
  {
    return m_record;
  }
  const layout& where() const
  {
    return m_layout;
  }
  store_service& store()
  {
    return *m_store;
  }
  weight_origin& origin()
  {
    return *m_origin;
  }
  fleet_operator& operations()
  {
    return *m_operator;
  }
  caller_pool& callers()
  {
    return *m_callers;
  }
  process_fleet& processes()
  {
    return m_processes;
  }
  std::vector<std::unique_ptr<server_of<engine_work>>>& engines()
  {
    return m_engines;
  }
  std::vector<std::unique_ptr<server_of<plain_work>>>& desks()
  {
    return m_desks;
  }
  /// Null unless the deployment says that it carries the traffic of peers.
  peer_network* peers()
  {
    return m_peers.get();
  }
  /// The proxy in front of an entry.
  stand_ins::relay_loop& proxy_of(const machine& entry);
  /// Entries whose callers share this proxy.
  std::vector<std::string> entries_behind(const stand_ins::relay_loop& proxy) const;
  /// Bytes that the origin sent, in copies of one version for each version that was named.
  double origin_copies() const;
  /// Longest time by which the event loop of this process, or the end of a killed process, was
  /// late: a sign of a busy machine.
  std::chrono::milliseconds longest_delay() const
  {
    return std::max(m_longest_delay, m_processes.longest_end());
  }

private:
  result<void> choose_network();
  result<void> start_servers();
  result<void> start_proxies();
  result<void> start_processes();
  result<void> start_process(const machine& host);
  void start_kept_connections();
  void watch_delay();

  async_io::event_loop& m_loop;
  deployment m_deployment;
  run_options m_options;
  recorder m_record;
  layout m_layout;
  std::unique_ptr<store_service> m_store;
  std::unique_ptr<weight_origin> m_origin;
  engine_directory m_engine_directory;
  std::vector<std::unique_ptr<server_of<engine_work>>> m_engines;
  std::vector<std::unique_ptr<server_of<plain_work>>> m_desks;
  std::unique_ptr<fleet_operator> m_operator;
  std::vector<std::unique_ptr<stand_ins::relay_loop>> m_proxies;
  std::map<std::string, stand_ins::relay_loop*> m_proxy_of_entry;
  std::vector<machine> m_late_hosts;
  std::unique_ptr<peer_network> m_peers;
  process_fleet m_processes;
  std::unique_ptr<caller_pool> m_callers;
  std::vector<std::unique_ptr<kept_connection_caller>> m_kept_connections;
  async_io::timer m_delay_timer;
  async_io::time_point m_delay_due{};
  std::chrono::milliseconds m_longest_delay{0};
};

} // namespace pollenyoke::emulator
