#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "Common/Digest.h"
#include "Common/Ids.h"
#include "Common/TokenBucket.h"
#include "Transport/MessageNode.h"
#include "Weights/Transfer.h"

namespace pollenyoke::agent
{

/// A chunk that a peer asked for and that waits for the uplink.
struct queued_reply
{
  host_id host;
  transport::connection_id connection = 0;
  digest manifest;
  std::uint32_t index = 0;
  digest chunk;
  /// The peer is in another region.
  bool remote = false;
};

/// Chunk replies that wait for the uplink, in the order in which they help the fleet most. A state
/// machine without I/O. Not thread-safe.
class uplink_queue
{
public:
  /// `rate` in bytes per second.
  uplink_queue(double rate, weights::time_point now);

  bool empty() const;
  /// Queues a reply of `bytes`. False: the queue is full, and the peer is better served by another
  /// host.
  bool offer(queued_reply reply, std::size_t bytes);
  /// Takes the next reply when the uplink has room for it.
  std::optional<queued_reply> next(weights::time_point now);
  /// Counts a chunk that was sent.
  void note_sent(const digest& chunk, std::size_t bytes, weights::time_point now);
  /// Counts bytes of frames other than chunks.
  void charge(std::size_t bytes);
  void drop_manifest(const digest& manifest);
  void drop_connection(transport::connection_id connection);

private:
  double m_rate;
  token_bucket m_bucket;
  std::deque<queued_reply> m_replies;
  bool m_sent_remote = false;
  std::map<digest, std::uint32_t> m_times_sent;
};

} // namespace pollenyoke::agent
