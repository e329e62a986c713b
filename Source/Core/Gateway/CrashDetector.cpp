#include "Gateway/CrashDetector.h"

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace pollenyoke::gateway
{

namespace
{

constexpr milliseconds probe_timeout{250};
// Suspects that fit into one datagram, with the keys of long prompts too.
constexpr std::size_t max_suspects_per_report = 24;

/// The host of a crashed server refuses connections. A host that cannot be reached tells nothing,
/// and neither does a process without descriptors.
bool is_refused(const result<void>& outcome)
{
  return !outcome && outcome.error().code == error_code::unavailable;
}

time_point now()
{
  return current_time();
}

} // namespace

crash_detector::crash_detector(async_io::event_loop& loop, fleet_link link,
                               std::function<void()> on_quarantined)
    : m_loop(loop), m_link(std::move(link)), m_on_quarantined(std::move(on_quarantined)),
      m_quarantine([this](std::uint64_t key) { return m_link.owns(key); }), m_evaluation_timer(loop)
{
}

crash_detector::~crash_detector()
{
  for (const auto& [server, pending] : m_probes)
  {
    pending.connection->close();
  }
}

crash_quarantine& crash_detector::quarantine()
{
  return m_quarantine;
}

const crash_quarantine& crash_detector::quarantine() const
{
  return m_quarantine;
}

/// Connections also end without a crash, so the server is asked for a new one.
void crash_detector::add_lost_request(const backend_choice& server, const request_content& content)
{
  const auto [pending, added] = m_probes.try_emplace(server.id);
  pending->second.report.suspects.push_back(content.keys());
  if (!added)
  {
    return;
  }
  pending->second.report.server = server.id;
  pending->second.report.started_ms = server.started_ms;
  pending->second.connection = async_io::tcp_connection::make(m_loop);
  pending->second.connection->connect(server.address, probe_timeout,
                                      [this, id = server.id](const result<void>& outcome)
                                      { end_probe(id, is_refused(outcome)); });
}

void crash_detector::end_probe(const std::string& server, bool crashed)
{
  const auto found = m_probes.find(server);
  if (found == m_probes.end())
  {
    return;
  }
  const probe ended = std::move(found->second);
  m_probes.erase(found);
  ended.connection->close();
  if (!crashed)
  {
    return;
  }
  const auto report = m_quarantine.add_own_crash(ended.report, now());
  if (!report)
  {
    return;
  }
  log_info(log_category::requests, "backend server crashed",
           {{"server", server}, {"unanswered", report->suspects.size()}});
  tell_crash(*report);
  schedule_evaluation();
}

void crash_detector::tell_crash(const peers::crash_report& report)
{
  peers::crash_report part{report.server, report.started_ms, {}};
  for (const auto& suspect : report.suspects)
  {
    part.suspects.push_back(suspect);
    if (part.suspects.size() == max_suspects_per_report)
    {
      m_link.tell_entries(part);
      part.suspects.clear();
    }
  }
  if (!part.suspects.empty())
  {
    m_link.tell_entries(part);
  }
}

void crash_detector::add_answer(const request_content& content)
{
  tell_answered(m_quarantine.add_answer(content, now()));
}

void crash_detector::tell_answered(std::vector<std::uint64_t> keys)
{
  if (!keys.empty())
  {
    m_link.tell_entries(peers::content_clearance{std::move(keys)});
    schedule_evaluation();
  }
}

void crash_detector::receive(const peers::peer_message& message)
{
  if (const auto* report = std::get_if<peers::crash_report>(&message))
  {
    tell_answered(m_quarantine.add_crash(*report, now()));
    schedule_evaluation();
  }
  if (const auto* clearance = std::get_if<peers::content_clearance>(&message))
  {
    m_quarantine.add_clearance(*clearance, now());
    schedule_evaluation();
  }
  if (const auto* digest = std::get_if<peers::quarantine_digest>(&message))
  {
    tell_answered(m_quarantine.merge(*digest, now()));
  }
}

void crash_detector::schedule_evaluation()
{
  if (m_evaluation_pending)
  {
    return;
  }
  m_evaluation_pending = true;
  m_evaluation_timer.start(crash_settle_time,
                           [this]
                           {
                             m_evaluation_pending = false;
                             if (m_quarantine.evaluate(now()))
                             {
                               m_on_quarantined();
                             }
                             if (m_quarantine.has_unsettled_crashes(now()))
                             {
                               schedule_evaluation();
                             }
                           });
}

} // namespace pollenyoke::gateway
