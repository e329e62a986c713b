#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Protocol/Messages.h"
#include "Protocol/Settings.h"
#include "Transport/Http.h"

namespace pollenyoke::agent
{

/// How a call of the backend server ended.
enum class call_result
{
  whole,
  /// The backend server has not seen the request, or said that it did not run it.
  not_run,
  /// The connection broke or timed out; the request may have run.
  broken,
  /// The backend server answered against its protocol.
  protocol_error,
  /// The receiver ended the call.
  stopped,
};

struct call_head
{
  int status = 0;
  transport::http_headers headers;
  std::string content_type;
  /// Engines: what the engine says it ran.
  std::string boot;
  std::string version;
  std::string manifest;
};

struct call_outcome
{
  call_result result = call_result::broken;
  /// For not_run.
  protocol::refusal_reason reason = protocol::refusal_reason::not_serving;
  std::string detail;
};

/// Receives the answer; false ends the call.
struct call_receiver
{
  std::function<bool(const call_head&)> on_head;
  std::function<bool(std::string)> on_data;
};

/// Calls the backend server of this host for one request. Thread-safe; calls block.
class backend_caller
{
public:
  explicit backend_caller(protocol::backend_settings backend);

  call_outcome call(const protocol::request_open& open, std::chrono::milliseconds patience,
                    const call_receiver& to) const;
  /// Tells the engine to end a request.
  void cancel(const request_id& id) const;
  /// The engine's boot identifier; empty if it does not answer.
  std::string boot() const;

private:
  call_outcome call_engine(const protocol::request_open& open, std::chrono::milliseconds patience,
                           const call_receiver& to) const;
  call_outcome call_service(const protocol::request_open& open, std::chrono::milliseconds patience,
                            const call_receiver& to) const;

  const protocol::backend_settings m_backend;
};

/// Checks an engine's stream line by line: token numbers without gaps and a correct end line.
class token_stream
{
public:
  explicit token_stream(std::uint32_t resume_from);

  /// Adds received bytes. Returns the complete token lines in them.
  std::string add(std::string_view data);
  bool complete() const;
  bool broken() const;

private:
  void add_line(std::string_view line, std::string& out);

  std::string m_partial;
  std::uint32_t m_first;
  std::uint32_t m_next;
  bool m_complete = false;
  bool m_broken = false;
};

} // namespace pollenyoke::agent
