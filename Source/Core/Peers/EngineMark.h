#pragma once

#include <cstdint>

namespace pollenyoke::peers
{

/// Identifies what an engine holds: its layers change only when it restarts or accepts an order.
struct engine_mark
{
  /// Start of the engine, Unix time in ms; 0 if unknown.
  std::uint64_t started_ms = 0;
  /// Orders accepted since then.
  std::uint64_t orders = 0;

  bool operator==(const engine_mark&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(started_ms, orders);
  }
};

} // namespace pollenyoke::peers
