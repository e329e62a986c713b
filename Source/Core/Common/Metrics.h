#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace pollenyoke
{

/// Named counters, gauges and distributions of one process. Thread-safe.
class metrics_registry
{
public:
  metrics_registry();
  ~metrics_registry();
  metrics_registry(const metrics_registry&) = delete;
  metrics_registry& operator=(const metrics_registry&) = delete;
  metrics_registry(metrics_registry&&) = delete;
  metrics_registry& operator=(metrics_registry&&) = delete;

  void add(std::string_view counter, std::uint64_t amount = 1);
  void set(std::string_view gauge, double value);
  /// Adds a sample to a distribution. The unit belongs to the name, for example `_seconds`.
  void record(std::string_view distribution, double value);

  std::uint64_t counter(std::string_view name) const;
  nlohmann::json to_json() const;
  /// Prometheus text format, names prefixed with `pollenyoke_`.
  std::string to_prometheus() const;

private:
  struct tables;
  std::unique_ptr<tables> m_tables;
};

} // namespace pollenyoke
