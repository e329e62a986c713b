#pragma once

#include <chrono>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

// A change of the live entries reaches all processes within four gossip rounds.
constexpr std::chrono::milliseconds owner_settle_time{2000};
// A process that did not observe the live entries for longer stood still, and others may have acted
// for it.
constexpr std::chrono::milliseconds max_observation_gap{1500};

/// Assigns each key to one of the live entries, the same one at all processes with the same view.
/// Views differ for a while after a change, so that two entries may take themselves for the owner;
/// an owner is settled once that time has passed. Not thread-safe.
class key_owner
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit key_owner(std::string self);

  /// `live`: live entries that are not leaving, this process included if it is one.
  void observe(std::span<const peer_record> live, time_point now);
  /// Owner of the key as of the last observation; empty if no entry was live.
  std::string owner(std::string_view key) const;
  /// Whether this process owns the key, and would own it if all entries were live that have been
  /// lately.
  bool is_settled(std::string_view key, time_point now) const;

  /// Number of entries that share the key, at most `most`, if this process is one of them; 0 if it
  /// is not, or as long as others may take a different view. The first ones in the order of
  /// rendezvous hashing share it, of all entries that have been live lately.
  std::size_t sharers(std::string_view key, std::size_t most, time_point now) const;

private:
  /// Whether this process has observed the live entries for long enough to act on them.
  bool has_settled_view(time_point now) const;
  /// Entries before this one in the order of rendezvous hashing.
  std::size_t rank(std::string_view key) const;

  std::string m_self;
  /// When each entry was last observed to be live.
  std::map<std::string, time_point> m_last_live;
  time_point m_observed{};
  time_point m_steady_since{};
};

} // namespace pollenyoke::peers
