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

load_step make_load_step(std::uint64_t version, const protocol::layer_range& layers)
{
  return {.version = version, .layers = layers, .piece_version = version};
}

std::vector<load_step> reload_steps(std::uint64_t version, const protocol::layer_range& layers,
                                    unsigned model_layers)
{
  const auto step = [version](unsigned from, unsigned to)
  {
    return make_load_step(version, {from, to});
  };
  const load_step whole = make_load_step(version, layers);
  const unsigned middle = layers.from + (layers.to - layers.from) / 2;
  if (middle != layers.from)
  {
    return {step(layers.from, middle), step(middle, layers.to), whole};
  }
  if (layers.from > 0)
  {
    return {step(layers.from - 1, layers.from), whole};
  }
  if (layers.to < model_layers)
  {
    return {step(layers.to, layers.to + 1), whole};
  }
  // The only layer of a model is dropped by an order for another version. No request names that
  // one, and no proof covers it.
  const std::uint64_t other = version > 1 ? version - 1 : version + 1;
  return {{.version = other, .layers = layers, .piece_version = version}, whole};
}

} // namespace pollenyoke::rollout
