#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Protocol/ServingModel.h"

namespace pollenyoke::rollout
{

/// Number of layers and pieces of a model's weights.
struct weight_shape
{
  unsigned layers = 1;
  std::uint32_t pieces = 0;
};

/// Contiguous range of pieces; `end` is exclusive.
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

/// The pieces that contain any of these layers.
piece_range pieces_for_layers(const protocol::layer_range& layers, const weight_shape& shape);

/// Layers that an engine without weights loads first. `position`: index of its host among the hosts
/// of its region. Two engines with different halves can serve requests as a pipeline while each
/// still lacks the other half. All layers if the model has only one.
protocol::layer_range first_layers(std::size_t position, const weight_shape& shape);

/// Rank of a piece in the order of reads from the origin. The order alternates between the halves
/// of the weights, so that hosts receive either half at the same rate.
std::uint32_t origin_read_rank(std::uint32_t piece, std::uint32_t pieces);
/// All pieces sorted by `origin_read_rank`, those in `first` before the others.
std::vector<std::uint32_t> reading_order(std::uint32_t pieces, const piece_range& first);

} // namespace pollenyoke::rollout
