#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

// Interval between two gossip rounds.
constexpr std::chrono::milliseconds gossip_interval{500};
// Faster gossip after a start: after a power loss all processes start at once and none knows the
// others.
constexpr std::chrono::milliseconds fast_gossip_interval{120};
constexpr std::chrono::milliseconds fast_gossip_time{2500};
// With 3 targets per round an update reaches 60 processes in about 4 rounds.
constexpr std::size_t gossip_fanout = 3;
// Eight gossip intervals: two for propagation and six for lost messages.
constexpr std::chrono::milliseconds peer_timeout{4000};
// Above this number of processes, records of other failure domains take longer to arrive, and their
// time-out grows in proportion.
constexpr std::size_t max_prompt_processes = 130;
// A process that was heard of within this time counts for that. Those that are gone for good do
// not.
constexpr std::chrono::milliseconds recent_time{60000};
// Keeps a datagram of 19-byte records below the usual MTU of 1,500 bytes.
constexpr std::size_t max_records_per_message = 68;

/// Processes known to this one and when it last received an update about each. Not thread-safe.
class peer_table
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  peer_table(peer_record self, const std::vector<std::string>& seeds, std::uint64_t random_seed);

  /// Increments the heartbeat of this process, once per gossip round.
  void beat();
  void set_leaving();
  /// The next two return whether the record of this process changed.
  bool set_has_engine(bool has_engine);
  bool set_has_state();
  void merge(const gossip_message& message, time_point now);
  /// Adds a process named by another source; it counts as live only after its first gossip record.
  void add_candidate(const std::string& ip);
  /// Makes a message with the records that have been sent least often since their last update, half
  /// of them of the own failure domain. Load pattern: in a large fleet a message holds a small part
  /// of the records; chosen at random, some would not reach a process within `peer_timeout`.
  gossip_message make_message(std::uint64_t operator_offset, time_point now);
  /// Makes a message with the record of this process only. Load pattern: after a power loss each of
  /// 170 processes greets all others and gets replies; messages with all known records would add up
  /// to 70 MB in 0.5 s.
  gossip_message make_greeting(std::uint64_t operator_offset) const;
  /// Whether the sender describes itself in the message and is new or restarted to this process.
  bool is_newcomer(const gossip_message& message, const std::string& sender) const;
  /// All other hosts, including those without a gossip record.
  std::vector<std::string> others() const;
  /// Targets of this gossip round: live hosts, mostly of the own failure domain as regional links
  /// are narrow, and one host that is not live but may have come back. A process without live peers
  /// sends to several of the latter.
  std::vector<std::string> choose_targets(time_point now);

  const peer_record& self() const;
  /// Live processes of a role that are not leaving, including this one, sorted by address. Their
  /// heartbeats may be out of date. Valid until the next call of any member function.
  std::span<const peer_record> live(peer_role role, time_point now) const;
  /// Other processes of a role that leave and are still heard of. Valid as for live().
  std::span<const peer_record> leaving(peer_role role, time_point now) const;
  /// Whether there are other hosts and each one named by the seeds, the store's list or gossip has
  /// a gossip record.
  bool has_heard_all() const;
  /// Number of processes, live or not, that have this role or whose role is unknown; includes this
  /// one.
  std::size_t possible(peer_role role) const;

private:
  struct peer_state
  {
    peer_record record;
    time_point last_heard{};
    bool ever_heard = false;
    /// Messages that have carried the record since its last update.
    unsigned times_sent = 0;
  };

  /// Live processes of one role, as of `made_at`.
  struct live_list
  {
    std::vector<peer_record> records;
    std::vector<peer_record> leaving;
    std::optional<time_point> made_at;
  };

  bool is_live(const peer_state& peer, time_point now) const;
  std::chrono::milliseconds timeout_of(const peer_state& peer) const;
  /// Appends the records of up to `count` candidates, those sent least often first.
  void take_least_sent(std::vector<peer_state*>& candidates, std::size_t count,
                       std::vector<peer_record>& out);
  void drop_live_lists();
  const live_list& current_list(peer_role role, time_point now) const;

  peer_record m_self;
  std::map<std::string, peer_state> m_peers;
  /// The lists are asked for with each request and each report, and change rarely.
  mutable std::map<peer_role, live_list> m_live;
  /// Processes heard of lately, as of the last message.
  std::size_t m_recent = 0;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::peers
