#include "Rollout/WeightParts.h"

#include <algorithm>
#include <numeric>

namespace pollenyoke::rollout
{

namespace
{

// With two parts a host needs 1.0 s for the first one, and the origin's link 1.3 s to send all
// pieces. With more parts hosts would wait for the origin.
constexpr unsigned part_count = 2;

} // namespace

piece_range pieces_for_layers(const protocol::layer_range& layers, const weight_shape& shape)
{
  const std::uint64_t pieces = shape.pieces;
  const std::uint64_t total = std::max(1U, shape.layers);
  return {static_cast<std::uint32_t>(layers.from * pieces / total),
          static_cast<std::uint32_t>((layers.to * pieces + total - 1) / total)};
}

protocol::layer_range first_layers(std::size_t position, const weight_shape& shape)
{
  const unsigned part = position % part_count;
  const protocol::layer_range out{shape.layers * part / part_count,
                                  shape.layers * (part + 1) / part_count};
  return out.is_empty() ? protocol::layer_range{0, shape.layers} : out;
}

std::uint32_t origin_read_rank(std::uint32_t piece, std::uint32_t pieces)
{
  const std::uint32_t first_half = (pieces + 1) / part_count;
  return piece < first_half ? piece * part_count : (piece - first_half) * part_count + 1;
}

std::vector<std::uint32_t> reading_order(std::uint32_t pieces, const piece_range& first)
{
  std::vector<std::uint32_t> order(pieces);
  std::iota(order.begin(), order.end(), 0U);
  std::sort(order.begin(), order.end(),
            [pieces, &first](std::uint32_t left, std::uint32_t right)
            {
              if (first.contains(left) != first.contains(right))
              {
                return first.contains(left);
              }
              return origin_read_rank(left, pieces) < origin_read_rank(right, pieces);
            });
  return order;
}

} // namespace pollenyoke::rollout
