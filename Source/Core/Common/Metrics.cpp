#include "Common/Metrics.h"

#include <map>
#include <mutex>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

namespace pollenyoke
{

namespace
{

namespace acc = boost::accumulators;

using quantile_set = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

struct distribution
{
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>> totals;
  quantile_set median{acc::quantile_probability = 0.5};
  quantile_set p95{acc::quantile_probability = 0.95};

  void add(double value)
  {
    totals(value);
    median(value);
    p95(value);
  }
};

} // namespace

struct metrics_registry::tables
{
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, distribution, std::less<>> distributions;
};

metrics_registry::metrics_registry() : m_tables(std::make_unique<tables>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::add(std::string_view counter, std::uint64_t amount)
{
  const std::lock_guard lock(m_tables->mutex);
  m_tables->counters[std::string(counter)] += amount;
}

void metrics_registry::set(std::string_view gauge, double value)
{
  const std::lock_guard lock(m_tables->mutex);
  m_tables->gauges[std::string(gauge)] = value;
}

void metrics_registry::record(std::string_view name, double value)
{
  const std::lock_guard lock(m_tables->mutex);
  m_tables->distributions[std::string(name)].add(value);
}

std::uint64_t metrics_registry::counter(std::string_view name) const
{
  const std::lock_guard lock(m_tables->mutex);
  const auto found = m_tables->counters.find(name);
  return found == m_tables->counters.end() ? 0 : found->second;
}

nlohmann::json metrics_registry::to_json() const
{
  const std::lock_guard lock(m_tables->mutex);
  nlohmann::json out;
  out["counters"] = m_tables->counters;
  out["gauges"] = m_tables->gauges;
  auto& distributions = out["distributions"] = nlohmann::json::object();
  for (const auto& [name, samples] : m_tables->distributions)
  {
    distributions[name] = {{"count", acc::count(samples.totals)},
                           {"mean", acc::mean(samples.totals)},
                           {"max", acc::max(samples.totals)},
                           {"p50", acc::p_square_quantile(samples.median)},
                           {"p95", acc::p_square_quantile(samples.p95)}};
  }
  return out;
}

std::string metrics_registry::to_prometheus() const
{
  const std::lock_guard lock(m_tables->mutex);
  std::ostringstream out;
  for (const auto& [name, value] : m_tables->counters)
  {
    out << "# TYPE pollenyoke_" << name << " counter\npollenyoke_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : m_tables->gauges)
  {
    out << "# TYPE pollenyoke_" << name << " gauge\npollenyoke_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, samples] : m_tables->distributions)
  {
    const auto count = acc::count(samples.totals);
    out << "# TYPE pollenyoke_" << name << " summary\npollenyoke_" << name << "{quantile=\"0.5\"} "
        << acc::p_square_quantile(samples.median) << "\npollenyoke_" << name
        << "{quantile=\"0.95\"} " << acc::p_square_quantile(samples.p95) << "\npollenyoke_" << name
        << "_sum " << acc::mean(samples.totals) * static_cast<double>(count) << "\npollenyoke_"
        << name << "_count " << count << '\n';
  }
  return out.str();
}

} // namespace pollenyoke
