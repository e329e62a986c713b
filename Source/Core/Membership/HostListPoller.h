#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "Common/Metrics.h"
#include "Common/TokenBucket.h"
#include "Membership/Membership.h"
#include "Protocol/Settings.h"
#include "Transport/HttpClient.h"

namespace pollenyoke::membership
{

/// The pause between two polls before pacing. Pure.
std::chrono::milliseconds poll_interval(const protocol::control_settings& control, polling mode);

/// Polls the platform's host list with conditional requests. A platform that ignores them, or sends
/// uncompressed lists, is polled less often: the bytes are paced to host_list_bytes_per_s.
class host_list_poller
{
public:
  struct dependencies
  {
    const protocol::settings& settings;
    metrics_registry& metrics;
    std::function<std::shared_ptr<const host_list>()> current;
    std::function<void(const host_list&)> take;
  };

  explicit host_list_poller(dependencies with);
  ~host_list_poller();
  host_list_poller(const host_list_poller&) = delete;
  host_list_poller& operator=(const host_list_poller&) = delete;
  host_list_poller(host_list_poller&&) = delete;
  host_list_poller& operator=(host_list_poller&&) = delete;

  void start();
  void stop();
  void set_mode(polling mode);
  polling mode() const;

private:
  void run();
  bool poll_once(std::size_t& bytes);
  bool take_answer(const transport::http_response& answer, const host_list& known);

  const dependencies m_with;
  transport::http_client m_client;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  polling m_mode = polling::off;
  // Used by the polling thread only.
  token_bucket m_pace;
  bool m_older_list_reported = false;
  std::thread m_thread;
};

} // namespace pollenyoke::membership
