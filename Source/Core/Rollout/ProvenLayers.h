#pragma once

#include <deque>

#include "Peers/EngineMark.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

peers::engine_mark mark_of(const protocol::engine_report& report);

/// The marks of an engine at which its layers are known to be made of whole pieces. Layers change
/// only together with the mark, so that a proof holds for good.
class proven_layers
{
public:
  /// Only the newest marks are kept. Marks without a start of the engine are left out.
  void add(const peers::engine_mark& mark);
  /// An engine that has accepted no order holds what the platform has loaded, or nothing.
  bool covers(const peers::engine_mark& mark) const;

private:
  std::deque<peers::engine_mark> m_marks;
};

} // namespace pollenyoke::rollout
