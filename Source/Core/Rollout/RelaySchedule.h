#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Rollout/PieceSchedule.h"
#include "Rollout/RelayPlan.h"

namespace pollenyoke::rollout
{

/// Decides which piece an entry that hands pieces on reads next, and from where. Load pattern: all
/// hosts of a region ask for the same pieces, in order, as soon as a version is named; each piece
/// is read once, at the origin's pace, and one that was asked for ahead of its turn at once. Time
/// is passed in. Not thread-safe.
class relay_schedule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  relay_schedule(std::uint32_t pieces, std::string self, time_point started);

  void set_plan(const relay_plan& plan);
  /// Somebody waits for the piece. `from_origin`: an entry of another region, which relies on this
  /// one to read the origin.
  void want(std::uint32_t piece, bool from_origin);
  /// Nobody waits for the piece any more.
  void forget(std::uint32_t piece);
  /// Reads to begin now; each has to be reported to read_ended().
  std::vector<piece_read> begin_reads(time_point now);
  void read_ended(const piece_read& read, read_end end, time_point now);
  /// A piece turned out not to be the right one.
  void drop(std::uint32_t piece);

private:
  struct piece_view
  {
    /// This entry reads it unasked.
    bool is_own_share = false;
    /// Entries of the origin's region that are asked for it, in order.
    std::vector<std::string> sources;
    bool held = false;
    bool reading = false;
    bool wanted = false;
    bool from_origin = false;
    unsigned failures = 0;
    time_point not_before{};
  };

  std::string source_of(std::uint32_t piece) const;

  /// The plan names entries of this region.
  bool m_is_known = false;
  std::vector<piece_view> m_pieces;
  /// Order in which the origin is read.
  std::vector<std::uint32_t> m_order;
  std::string m_self;
  time_point m_started;
  unsigned m_origin_reads = 0;
};

} // namespace pollenyoke::rollout
