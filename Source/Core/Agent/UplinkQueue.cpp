#include "Agent/UplinkQueue.h"

#include <algorithm>
#include <utility>

namespace pollenyoke::agent
{

namespace
{

// Replies waiting for the uplink: enough to keep it busy over a round trip, few enough that a
// requester is better served by another host, which may have received the chunk meanwhile, than by
// waiting. With 4 in place of 12 replies, 64 hosts took 10.0 s in place of 9.0 s in the simulator.
constexpr double uplink_queue_s = 0.05;
// The burst makes up for ticks that come late. What exceeds the link's rate stands in its queue for
// the rest of the transfer and delays requests and announcements.
constexpr double uplink_burst_s = 0.02;
constexpr std::size_t min_uplink_queue = 12;
constexpr std::size_t max_remote_queue = 8;

} // namespace

uplink_queue::uplink_queue(double rate, weights::time_point now)
    : m_rate(rate), m_bucket(rate, rate * uplink_burst_s, now)
{
}

bool uplink_queue::empty() const
{
  return m_replies.empty();
}

bool uplink_queue::offer(queued_reply reply, std::size_t bytes)
{
  const auto waiting = static_cast<std::size_t>(
      std::count_if(m_replies.begin(), m_replies.end(),
                    [&](const queued_reply& other) { return other.remote == reply.remote; }));
  const auto limit =
      std::max(min_uplink_queue,
               static_cast<std::size_t>(m_rate * uplink_queue_s / static_cast<double>(bytes)));
  if (waiting >= (reply.remote ? std::max(limit, max_remote_queue) : limit))
  {
    return false;
  }
  m_replies.push_back(std::move(reply));
  return true;
}

std::optional<queued_reply> uplink_queue::next(weights::time_point now)
{
  if (m_replies.empty() || m_bucket.available(now) < 0)
  {
    return std::nullopt;
  }
  // Replies to the own region and to others take turns; their region has no other way to the chunk,
  // but the own region must not wait either. Chunks that this host has sent least often go first,
  // so that different neighbours receive different chunks and can pass them on.
  const bool remote = !m_sent_remote;
  const auto found = std::min_element(m_replies.begin(), m_replies.end(),
                                      [this, remote](const queued_reply& a, const queued_reply& b)
                                      {
                                        return a.remote != b.remote
                                                   ? a.remote == remote
                                                   : m_times_sent[a.chunk] < m_times_sent[b.chunk];
                                      });
  m_sent_remote = found->remote;
  queued_reply reply = std::move(*found);
  m_replies.erase(found);
  return reply;
}

void uplink_queue::note_sent(const digest& chunk, std::size_t bytes, weights::time_point now)
{
  ++m_times_sent[chunk];
  m_bucket.reserve(static_cast<double>(bytes), now);
}

void uplink_queue::charge(std::size_t bytes)
{
  // The time of the last use stands: a time in the past adds nothing to the bucket.
  m_bucket.reserve(static_cast<double>(bytes), weights::time_point{});
}

void uplink_queue::drop_manifest(const digest& manifest)
{
  m_times_sent.clear();
  std::erase_if(m_replies, [&](const queued_reply& reply) { return reply.manifest == manifest; });
}

void uplink_queue::drop_connection(transport::connection_id connection)
{
  std::erase_if(m_replies,
                [&](const queued_reply& reply) { return reply.connection == connection; });
}

} // namespace pollenyoke::agent
