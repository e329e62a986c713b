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

/// Selects the next pieces that a relaying entry reads, and their sources. Optimized for all hosts
/// of a region requesting the same pieces in order as soon as a version is released. Each piece is
/// read once, at the rate of the origin's link; a piece that is requested before it is due is read
/// at once. The caller supplies the time. Not thread-safe.
class relay_schedule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  relay_schedule(std::uint32_t pieces, std::string self, time_point started);

  void set_plan(const relay_plan& plan);
  /// Records that a caller waits for the piece. `from_origin`: the caller is an entry of another
  /// region that relies on this one to read from the origin.
  void request_piece(std::uint32_t piece, bool from_origin);
  /// Records that no caller waits for the piece any more.
  void cancel_request(std::uint32_t piece);
  /// Returns the reads to start now. Each has to be reported to on_read_finished().
  std::vector<piece_read> begin_reads(time_point now);
  void on_read_finished(const piece_read& read, read_outcome outcome, time_point now);
  /// Marks a piece as no longer held, after a newer manifest contradicted it.
  void drop(std::uint32_t piece);

private:
  struct piece_status
  {
    /// Assigned to this entry, which reads it without a request.
    bool is_assigned = false;
    /// Entries of the origin's region, in the order in which they are tried.
    std::vector<std::string> sources;
    bool held = false;
    bool reading = false;
    bool requested = false;
    bool from_origin = false;
    unsigned failures = 0;
    time_point retry_at{};
  };

  std::string source_of(std::uint32_t piece) const;

  /// True if the plan has entries of this region.
  bool m_has_entries = false;
  std::vector<piece_status> m_pieces;
  /// Order in which pieces are read from the origin.
  std::vector<std::uint32_t> m_read_order;
  std::string m_self;
  time_point m_started;
  unsigned m_origin_reads = 0;
};

} // namespace pollenyoke::rollout
