#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include <nlohmann/json.hpp>

#include "Common/Result.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpServer.h"

/// Test doubles of the platform and of the backend servers (section 12 of the design page).
namespace pollenyoke::stand_ins
{

using clock = std::chrono::steady_clock;

/// Reads members of a JSON object into variables; reports wrong types and unknown members.
class fault_reader
{
public:
  explicit fault_reader(const nlohmann::json& from) : m_from(from) {}

  /// True when the member is present and was read.
  template <typename T>
  bool read(const char* key, T& to)
  {
    m_known.insert(key);
    const auto found = m_from.find(key);
    if (found == m_from.end())
    {
      return false;
    }
    try
    {
      to = found->get<T>();
      return true;
    }
    catch (const nlohmann::json::exception&)
    {
      m_problem = std::string(key) + ": wrong type";
      return false;
    }
  }

  result<void> finish() const;

private:
  const nlohmann::json& m_from;
  std::set<std::string, std::less<>> m_known;
  std::string m_problem;
};

/// A response that breaks the connection, as a lost answer does.
transport::http_response lost_answer();
transport::http_response json_response(const nlohmann::json& body, int status = 200);

/// An HTTP server with counters, faults and a simulated crash.
class stand_in
{
public:
  virtual ~stand_in();
  stand_in(const stand_in&) = delete;
  stand_in& operator=(const stand_in&) = delete;
  stand_in(stand_in&&) = delete;
  stand_in& operator=(stand_in&&) = delete;

  transport::endpoint endpoint() const;
  /// Absent members keep their value. Errors: `invalid_argument` for unknown or mistyped members.
  result<void> set_faults(const nlohmann::json& faults);
  virtual nlohmann::json counters() const = 0;

protected:
  stand_in() = default;

  virtual transport::http_response handle(const transport::http_request& request) = 0;
  /// Called with `m_mutex` held.
  virtual void read_faults(fault_reader& from) = 0;
  /// Called with `m_mutex` held when the process is started again after a crash.
  virtual void forget_state() {}

  result<void> listen(const transport::endpoint& at, std::size_t max_threads = 256);
  /// Ends waits and requests. The destructor of each derived class calls it first.
  void close();
  /// Breaks all connections, refuses new ones for `downtime`, then starts without state.
  void crash(std::chrono::milliseconds downtime);
  /// As above, called with `m_mutex` held; the caller notifies `m_changed`.
  void crash_locked(std::chrono::milliseconds downtime);
  /// Sleeps; false when the stand-in stops or crashes meanwhile.
  bool pause(std::chrono::nanoseconds time);
  /// As above, for a caller that began in `generation`.
  bool pause(std::chrono::nanoseconds time, std::uint64_t generation);
  bool ended(std::uint64_t generation) const
  {
    return m_stopping || m_generation != generation;
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::atomic<bool> m_stopping = false;
  /// Counts crashes; work of an earlier generation ends.
  std::atomic<std::uint64_t> m_generation = 0;

private:
  result<void> open_server();
  transport::http_response dispatch(const transport::http_request& request);
  void restart_after_crash();

  transport::endpoint m_endpoint;
  std::size_t m_max_threads = 0;
  std::mutex m_server_mutex;
  std::unique_ptr<transport::http_server> m_server;
  std::thread m_restarter;
  std::atomic<bool> m_crashed = false;
  std::chrono::milliseconds m_downtime{0};
};

} // namespace pollenyoke::stand_ins
