#include "Rollout/StagedCheck.h"

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// An engine that is silent for a second accepts the order within the tolerance.
constexpr milliseconds order_margin{1000};
constexpr milliseconds check_lifetime = spoilage_tolerance - order_margin;

} // namespace

staged_check::staged_check(boot_clock::time_point begun, std::uint64_t engine_started_ms)
    : m_begun(begun), m_engine_started_ms(engine_started_ms)
{
}

bool staged_check::allows_order(std::uint64_t engine_started_ms, boot_clock::time_point now) const
{
  return engine_started_ms == m_engine_started_ms && now - m_begun <= check_lifetime;
}

milliseconds staged_check::order_time_limit(boot_clock::time_point now) const
{
  return std::chrono::duration_cast<milliseconds>(m_begun + spoilage_tolerance - now);
}

bool staged_check::covers(boot_clock::time_point accepted) const
{
  return accepted - m_begun <= spoilage_tolerance;
}

std::vector<protocol::layer_range> reload_steps(const protocol::layer_range& layers,
                                                unsigned model_layers)
{
  const unsigned middle = layers.from + (layers.to - layers.from) / 2;
  if (middle != layers.from)
  {
    return {{layers.from, middle}, {middle, layers.to}, layers};
  }
  if (layers.from > 0)
  {
    return {{layers.from - 1, layers.from}, layers};
  }
  if (layers.to < model_layers)
  {
    return {{layers.to, layers.to + 1}, layers};
  }
  return {};
}

} // namespace pollenyoke::rollout
