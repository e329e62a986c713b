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

/// The origin's link of 15 Mbit/s sends one piece of 49 KB in 26 ms. First reads begin at this
/// pace, so that the first pieces spread while the others are read.
constexpr std::chrono::milliseconds origin_pace{26};

/// One read of a piece.
struct piece_read
{
  std::uint32_t piece = 0;
  /// Host to read from; empty for the origin.
  std::string peer;

  bool from_origin() const
  {
    return peer.empty();
  }
  bool operator==(const piece_read&) const = default;
};

enum class read_end
{
  received,
  /// The bytes do not match the piece's digest.
  spoilt,
  /// The peer does not have the piece.
  missing,
  /// The peer has too many pieces to send.
  busy,
  /// No answer, or an error.
  failed,
};

/// Decides which piece this host reads next, and from where, by what the other hosts announce that
/// they hold. Load pattern: all hosts want the same pieces at once over narrow links; a host that
/// does not send what is expected of it is passed over, whatever the reason. Time is passed in. Not
/// thread-safe.
class piece_schedule
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  piece_schedule(std::uint32_t pieces, std::uint64_t random_seed, time_point started);

  /// These pieces are read before the others.
  void set_first(const piece_range& first);
  void set_plan(piece_plan plan);
  /// Entries that hand pieces on to this host; none by default.
  void set_relays(const relay_plan& relays);
  /// Whether requests of this host's engine share the link with the pieces.
  void set_engine_serves(bool serves);
  void take_announcement(const std::string& ip, const std::vector<peers::piece_state>& states,
                         time_point now);
  /// Reads to begin now; each has to be reported to read_ended().
  std::vector<piece_read> begin_reads(time_point now);
  void read_ended(const piece_read& read, read_end end, time_point now);
  /// A piece turned out not to be the right one.
  void drop(std::uint32_t piece);
  /// Entries hand the pieces on, so that other hosts need no frequent announcements.
  bool is_served_by_relays(time_point now) const;
  /// What this host announces.
  std::vector<peers::piece_state> states() const;

private:
  struct source
  {
    std::vector<peers::piece_state> states;
    time_point heard{};
    time_point avoided_until{};
    unsigned failures = 0;
    unsigned active_reads = 0;
  };
  struct active_read
  {
    piece_read what;
    time_point began{};
  };
  struct piece_view
  {
    bool held = false;
    /// Entries of this region that hand it on, in the order in which they are asked.
    std::vector<std::string> relays;
    /// Since when a host of another region has it and none of this region is known to.
    std::optional<time_point> outside_since;
  };

  /// Another host of the plan.
  struct peer
  {
    std::string ip;
    bool near = false;
    /// In `m_sources`, which keeps what is known of hosts that leave the plan and come back.
    source* state = nullptr;
  };

  static bool is_fresh(const source& other, time_point now);
  static bool is_holder(const peer& other, std::uint32_t piece, time_point now);
  bool may_begin(std::uint32_t piece, time_point now) const;
  /// Another host, of this region if `near`, is reading the piece.
  bool is_claimed(std::uint32_t piece, bool near, time_point now) const;
  bool may_bring_in(std::uint32_t piece, time_point now) const;
  bool is_relay_read(const piece_read& read) const;
  std::optional<piece_read> choose_relay_read(time_point now);
  std::optional<piece_read> choose_peer_read(time_point now);
  std::optional<piece_read> choose_origin_read(time_point now) const;
  void begin(const piece_read& read, time_point now);

  piece_plan m_plan;
  std::vector<peer> m_peers;
  std::vector<piece_view> m_pieces;
  /// Order in which entries are asked for the pieces.
  std::vector<std::uint32_t> m_order;
  std::map<std::string, source> m_sources;
  std::vector<active_read> m_active;
  bool m_engine_serves = true;
  unsigned m_peer_reads = 0;
  unsigned m_origin_reads = 0;
  time_point m_started;
  bool m_has_relays = false;
  /// When an entry last handed on a piece; at first, when the fetch began.
  time_point m_relay_progress;
  /// When an entry last told that it is itself waiting for a piece.
  time_point m_relay_waited{};
  time_point m_origin_retry{};
  std::optional<time_point> m_origin_failed;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::rollout
