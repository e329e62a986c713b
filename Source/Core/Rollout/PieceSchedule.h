#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"
#include "Rollout/PiecePlan.h"
#include "Rollout/RelayPlan.h"
#include "Rollout/WeightParts.h"

namespace pollenyoke::rollout
{

/// Interval between first reads of pieces from the origin. Its 15 Mbit/s link sends a 49 KB piece
/// in 26 ms; reading at this rate lets the first pieces spread while the others are read.
constexpr std::chrono::milliseconds origin_read_interval{26};

/// One read of a piece.
struct piece_read
{
  std::uint32_t piece = 0;
  /// Address of the host to read from; empty for the origin.
  std::string peer;

  bool from_origin() const
  {
    return peer.empty();
  }
  bool operator==(const piece_read&) const = default;
};

/// Outcome of a piece read.
enum class read_outcome
{
  received,
  /// The bytes do not match the digest of the piece.
  corrupt,
  /// The peer does not have the piece.
  missing,
  /// The peer's send queue is full, or an entry is still waiting for the piece.
  busy,
  /// Timeout or error.
  failed,
};

/// Selects the next pieces to read and their sources from the pieces that other hosts announce.
/// Optimized for all hosts fetching the same pieces at once over slow links. A host that does not
/// deliver the expected pieces is bypassed, whatever the reason. The caller supplies the time. Not
/// thread-safe.
class piece_schedule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  piece_schedule(std::uint32_t pieces, std::uint64_t random_seed, time_point started);

  /// Sets the pieces that are read before the others.
  void set_first_pieces(const piece_range& first);
  void set_plan(piece_plan plan);
  /// Sets the entries that relay pieces to this host; none by default.
  void set_relays(const relay_plan& relays);
  /// Sets whether requests of this host's engine share the link with the pieces.
  void set_engine_serves(bool serves);
  void handle_announcement(const std::string& ip, const std::vector<peers::piece_state>& states,
                           time_point now);
  /// Returns the reads to start now. Each has to be reported to on_read_finished().
  std::vector<piece_read> begin_reads(time_point now);
  void on_read_finished(const piece_read& read, read_outcome outcome, time_point now);
  /// Marks a piece as held that was not read by this schedule.
  void mark_held(std::uint32_t piece);
  /// Marks a piece as no longer held, after a newer manifest contradicted it.
  void drop(std::uint32_t piece);
  /// True while entries relay the pieces, so that other hosts need no frequent announcements.
  bool is_served_by_relays(time_point now) const;
  /// Piece states for this host's announcements.
  std::vector<peers::piece_state> states() const;

private:
  struct source
  {
    std::vector<peers::piece_state> states;
    time_point last_heard{};
    time_point avoided_until{};
    unsigned failures = 0;
    unsigned active_reads = 0;
  };
  struct active_read
  {
    piece_read request;
    time_point started_at{};
  };
  struct piece_status
  {
    bool held = false;
    /// Entries of this region that relay the piece, in the order in which they are tried.
    std::vector<std::string> relays;
    /// When a host of another region first announced the piece.
    std::optional<time_point> remote_since;
  };

  /// Another host in the plan.
  struct peer
  {
    std::string ip;
    bool local = false;
    /// Points into `m_sources`, which also keeps the state of hosts that leave the plan and return.
    source* state = nullptr;
  };

  static bool is_fresh(const source& other, time_point now);
  static bool is_holder(const peer& other, std::uint32_t piece, time_point now);
  bool may_read(std::uint32_t piece, time_point now) const;
  /// True if another host is reading the piece. If `local`, considers only hosts of this region.
  bool is_read_by_peer(std::uint32_t piece, bool local, time_point now) const;
  bool may_read_remote(std::uint32_t piece, time_point now) const;
  bool is_relay_read(const piece_read& read) const;
  std::optional<piece_read> choose_relay_read(time_point now);
  std::optional<piece_read> choose_peer_read(time_point now);
  std::optional<piece_read> choose_origin_read(time_point now) const;
  void begin(const piece_read& read, time_point now);

  piece_plan m_plan;
  std::vector<peer> m_peers;
  std::vector<piece_status> m_pieces;
  /// Order in which pieces are requested from entries.
  std::vector<std::uint32_t> m_read_order;
  std::map<std::string, source> m_sources;
  std::vector<active_read> m_active;
  bool m_engine_serves = true;
  unsigned m_peer_reads = 0;
  unsigned m_origin_reads = 0;
  time_point m_started;
  bool m_has_relays = false;
  /// When an entry last delivered a piece; initially the start of the fetch.
  time_point m_last_relay_piece_at;
  /// When an entry last reported that it is still waiting for a piece.
  time_point m_last_relay_wait_at{};
  time_point m_origin_retry_at{};
  std::optional<time_point> m_origin_failed_at;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::rollout
