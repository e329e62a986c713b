#pragma once

#include <functional>
#include <map>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/TcpConnection.h"
#include "Gateway/BackendTable.h"
#include "Gateway/CrashQuarantine.h"
#include "Gateway/FleetLink.h"

namespace pollenyoke::gateway
{

/// Observes crashes of servers and exchanges them with the other entries.
class crash_detector
{
public:
  /// `on_quarantined`: content has been found under which servers crash.
  crash_detector(async_io::event_loop& loop, fleet_link link, std::function<void()> on_quarantined);
  ~crash_detector();
  crash_detector(const crash_detector&) = delete;
  crash_detector& operator=(const crash_detector&) = delete;
  crash_detector(crash_detector&&) = delete;
  crash_detector& operator=(crash_detector&&) = delete;

  crash_quarantine& quarantine();
  const crash_quarantine& quarantine() const;
  /// The connection to a server ended before the server had shown that it survives the request.
  void add_lost_request(const backend_choice& server, const request_content& content);
  /// A server has answered the request, or a part of it, without a crash.
  void add_answer(const request_content& content);
  /// Handles a message of another entry.
  void receive(const peers::peer_message& message);

private:
  /// A server that may have crashed.
  struct probe
  {
    peers::crash_report report;
    async_io::tcp_connection::pointer connection;
  };

  void end_probe(const std::string& server, bool crashed);
  void tell_crash(const peers::crash_report& report);
  void tell_answered(std::vector<std::uint64_t> keys);
  void schedule_evaluation();

  async_io::event_loop& m_loop;
  fleet_link m_link;
  std::function<void()> m_on_quarantined;
  crash_quarantine m_quarantine;
  async_io::timer m_evaluation_timer;
  bool m_evaluation_pending = false;
  std::map<std::string, probe> m_probes;
};

} // namespace pollenyoke::gateway
