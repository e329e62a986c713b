#pragma once

#include <cstdint>
#include <set>

#include "Peers/EngineMark.h"

namespace pollenyoke::rollout
{

/// The marks of an engine at which its layers are known to be made of whole pieces. Layers change
/// only together with the mark, so that a proof holds for good.
class proven_layers
{
public:
  void add(const peers::engine_mark& mark);
  /// An engine that has accepted no order holds what the platform has loaded, or nothing.
  bool covers(const peers::engine_mark& mark) const;

private:
  /// Start of the engine that reported last.
  std::uint64_t m_started_ms = 0;
  std::set<std::uint64_t> m_orders;
};

} // namespace pollenyoke::rollout
