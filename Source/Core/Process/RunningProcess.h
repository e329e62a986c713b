#pragma once

#include <nlohmann/json_fwd.hpp>

#include "Transport/Endpoint.h"

namespace pollenyoke::process
{

/// A started process of either role. The destructor stops it at once.
class running_process
{
public:
  running_process() = default;
  virtual ~running_process() = default;
  running_process(const running_process&) = delete;
  running_process& operator=(const running_process&) = delete;
  running_process(running_process&&) = delete;
  running_process& operator=(running_process&&) = delete;

  /// Leaves the system without interrupting requests in progress, at most for the drain timeout.
  /// Blocks.
  virtual void planned_stop() = 0;
  virtual nlohmann::json dump() const = 0;
  virtual transport::endpoint http_endpoint() const = 0;
  virtual transport::endpoint tcp_endpoint() const = 0;
  virtual transport::endpoint udp_endpoint() const = 0;
  virtual transport::endpoint admin_endpoint() const = 0;
};

} // namespace pollenyoke::process
