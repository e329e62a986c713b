#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

/// How the weights of a model are cut into layers and pieces.
struct weight_shape
{
  unsigned layers = 1;
  std::uint32_t pieces = 0;
};

/// Contiguous pieces, `end` exclusive.
struct piece_range
{
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  bool contains(std::uint32_t piece) const
  {
    return first <= piece && piece < end;
  }
  bool operator==(const piece_range&) const = default;
};

/// The pieces that an engine needs for these layers.
piece_range pieces_of(const protocol::layer_range& layers, const weight_shape& shape);

/// Layers that an engine without weights loads first, by the position of its host among the hosts
/// of its region: two engines with different halves answer requests together while each still lacks
/// the other half. All layers if there is only one.
protocol::layer_range first_layers(std::size_t position, const weight_shape& shape);

/// Place of a piece in the order in which the origin is read: the halves of the weights by turns,
/// so that hosts that need either half first receive it at the same pace.
std::uint32_t origin_turn(std::uint32_t piece, std::uint32_t pieces);
/// All pieces by `origin_turn`, those of `first` before the others.
std::vector<std::uint32_t> reading_order(std::uint32_t pieces, const piece_range& first);

} // namespace pollenyoke::rollout
