#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

// Interval between two rounds in which a process tells a few others what it knows.
constexpr std::chrono::milliseconds gossip_interval{500};
// A process that has just started makes itself known faster: after a loss of power all start
// together and nobody knows anybody.
constexpr std::chrono::milliseconds fast_gossip_interval{120};
constexpr std::chrono::milliseconds fast_gossip_time{2500};
// With 3 targets a round, news reaches 60 processes in about 4 rounds.
constexpr std::size_t gossip_targets = 3;
// Eight missed rounds: two rounds of spreading and six for losses.
constexpr std::chrono::milliseconds silence_limit{4000};
// A datagram stays below the usual 1,500 bytes of a packet with this many records of 25 bytes.
constexpr std::size_t max_records_per_message = 48;

/// The processes that this one knows and when it last had news of each. Not thread-safe.
class peer_table
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  peer_table(peer_record self, const std::vector<std::string>& seeds, std::uint64_t random_seed);

  /// Counts a round of this process.
  void beat();
  void set_leaving();
  /// True if this changes what others are told.
  bool set_has_engine(bool has_engine);
  void merge(const gossip_message& message, time_point now);
  /// Adds a process that another source names; it counts as live only once it is heard of.
  void add_candidate(const std::string& ip);
  gossip_message make_message(std::uint64_t operator_offset, time_point now);
  /// Tells of this process only. Load pattern: after a loss of power each of 170 processes greets
  /// all others and is answered; with all that each knows that would be 70 MB in half a second.
  gossip_message make_greeting(std::uint64_t operator_offset) const;
  /// The sender of a message has started and this process had not heard of it.
  bool is_newcomer(const gossip_message& message, const std::string& sender) const;
  /// All other hosts, heard of or not.
  std::vector<std::string> others() const;
  /// Hosts to send to in this round: live ones, mostly of the own failure domain, as regional links
  /// are narrow, and one that may have come back.
  std::vector<std::string> choose_targets(time_point now);

  const peer_record& self() const;
  /// Live processes that are not leaving, this one included, sorted by address.
  std::vector<peer_record> live(peer_role role, time_point now) const;
  /// There are others, and all that seeds, the store's list and gossip name were heard of.
  bool has_heard_all() const;
  /// Processes of this role and those whose role is not known, whether they are live or not.
  std::size_t possible(peer_role role) const;

private:
  struct entry
  {
    peer_record record;
    time_point heard{};
    bool ever_heard = false;
  };

  bool is_live(const entry& peer, time_point now) const;

  peer_record m_self;
  std::map<std::string, entry> m_peers;
  std::mt19937_64 m_random;
};

} // namespace pollenyoke::peers
