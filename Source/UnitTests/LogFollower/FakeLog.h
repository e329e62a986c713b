#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

namespace pollenyoke::test
{

/// The platform's log with one stream, and faults.
class fake_log
{
public:
  struct faults
  {
    bool down = false;
    /// Appends that are answered with 503 without effect.
    int refused_appends = 0;
    /// Appends that take effect and whose answers are lost.
    int lost_answers = 0;
    /// Appends whose answers are lost and that take effect just before the next append.
    int late_appends = 0;
    /// After a lost answer the log is down.
    bool down_after_lost_answer = false;
    /// Other records that are appended after an append with a lost answer.
    int records_after_lost_answer = 0;
    std::size_t retention = 1000000;
    std::chrono::milliseconds delay{0};
  };

  fake_log()
  {
    auto started = transport::http_server::start({.listen = {"127.0.0.1", 0}},
                                                 [this](const transport::http_request& request)
                                                 { return handle(request); });
    CPPUNIT_ASSERT(started.has_value());
    m_server = std::move(*started);
    // The first request initialises function-local statics of cpp-httplib, whose guards
    // ThreadSanitizer cannot see; concurrent first requests would be reported as a race.
    CPPUNIT_ASSERT(transport::http_client(address()).send({.method = "POST"}));
  }

  transport::endpoint address() const
  {
    return m_server->local_endpoint();
  }

  template <typename Change>
  void change(const Change& set)
  {
    const std::lock_guard lock(m_mutex);
    set(m_faults);
    trim();
  }

  void add(const std::string& text)
  {
    const std::lock_guard lock(m_mutex);
    store(nlohmann::json::parse(text));
  }

  /// All records that were ever appended, also expired ones.
  std::vector<std::string> records() const
  {
    const std::lock_guard lock(m_mutex);
    return m_records;
  }

  /// Reads that were answered.
  std::uint64_t reads() const
  {
    const std::lock_guard lock(m_mutex);
    return m_reads;
  }

  /// Loses all records.
  void reset()
  {
    const std::lock_guard lock(m_mutex);
    m_records.clear();
    m_first = 1;
  }

private:
  static transport::http_response lost()
  {
    transport::http_response response;
    response.stream = [](const transport::body_writer&)
    {
      return false;
    };
    return response;
  }

  void store(const nlohmann::json& record)
  {
    m_records.push_back(record.dump());
    trim();
    m_changed.notify_all();
  }

  void trim()
  {
    if (m_records.size() > m_faults.retention)
    {
      m_first = std::max(m_first, m_records.size() - m_faults.retention + 1);
    }
  }

  transport::http_response handle(const transport::http_request& request)
  {
    std::unique_lock lock(m_mutex);
    const auto delay = m_faults.delay;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
    if (m_faults.down)
    {
      return transport::error_response(503, "down");
    }
    return request.method == "POST" ? append(request) : read(request, lock);
  }

  transport::http_response append(const transport::http_request& request)
  {
    const auto record = nlohmann::json::parse(request.body, nullptr, false);
    if (record.is_discarded())
    {
      return transport::error_response(400, "not JSON");
    }
    if (m_faults.refused_appends > 0)
    {
      --m_faults.refused_appends;
      return transport::error_response(503, "busy");
    }
    for (const auto& late : m_late)
    {
      store(late);
    }
    m_late.clear();
    if (m_faults.late_appends > 0)
    {
      --m_faults.late_appends;
      m_late.push_back(record);
      return lost();
    }
    store(record);
    const nlohmann::json answer = {{"offset", m_records.size()}, {"time_ms", 1}};
    if (m_faults.lost_answers > 0)
    {
      --m_faults.lost_answers;
      m_faults.down = m_faults.down_after_lost_answer;
      for (int i = 0; i < m_faults.records_after_lost_answer; ++i)
      {
        store({{"id", "filler" + std::to_string(i)}});
      }
      return lost();
    }
    return {.body = answer.dump()};
  }

  transport::http_response read(const transport::http_request& request,
                                std::unique_lock<std::mutex>& lock)
  {
    const auto parameter = [&request](const char* name)
    {
      return std::stoull(std::string(transport::find_header(request.query, name)));
    };
    const std::size_t from = parameter("from");
    m_changed.wait_for(lock, std::chrono::milliseconds(parameter("wait_ms")),
                       [&] { return m_records.size() >= from; });
    ++m_reads;
    if (from < m_first)
    {
      return {.status = 410, .body = nlohmann::json({{"first", m_first}}).dump()};
    }
    nlohmann::json records = nlohmann::json::array();
    std::size_t next = from;
    for (; next <= m_records.size() && records.size() < parameter("max"); ++next)
    {
      records.push_back({{"offset", next},
                         {"time_ms", 1},
                         {"record", nlohmann::json::parse(m_records[next - 1])}});
    }
    return {.body =
                nlohmann::json({{"first", m_first}, {"next", next}, {"records", records}}).dump()};
  }

  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  faults m_faults;
  std::vector<std::string> m_records;
  std::vector<nlohmann::json> m_late;
  std::size_t m_first = 1;
  std::uint64_t m_reads = 0;
  std::unique_ptr<transport::http_server> m_server;
};

} // namespace pollenyoke::test
