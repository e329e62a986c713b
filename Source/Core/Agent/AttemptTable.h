#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Protocol/Messages.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::agent
{

enum class attempt_phase
{
  /// Its key is being claimed.
  deciding,
  /// In the queue for a slot.
  waiting,
  running,
  answered,
  failed,
  refused,
};

/// One attempt at this agent, from its arrival until it is forgotten.
struct attempt
{
  using time_point = std::chrono::steady_clock::time_point;

  protocol::request_open open;
  attempt_phase phase = attempt_phase::waiting;
  /// The connection that the answer goes to; 0 after it closed.
  transport::connection_id connection = 0;
  time_point deadline = time_point::max();
  /// Estimated work, see routing::waiting_request.
  std::uint32_t cost = 0;
  time_point started{};
  time_point ended{};
  /// When the connection closed, while no other one has asked for the answer.
  std::optional<time_point> abandoned;
  bool cancelled = false;
  bool acknowledged = false;
  /// Number of backend crashes before the dispatch.
  std::uint64_t crash_epoch = 0;
  /// Boot identifier of the engine when the attempt was dispatched, or from its answer.
  std::string boot;

  std::optional<protocol::answer_head> head;
  /// Frames from first_kept on.
  std::deque<std::string> frames;
  std::uint32_t first_kept = 0;
  std::uint64_t bytes = 0;
  std::uint64_t kept_bytes = 0;
  protocol::request_refused refusal;
  protocol::answer_failed failure;

  std::uint32_t next_sequence() const
  {
    return first_kept + static_cast<std::uint32_t>(frames.size());
  }
  bool ended_phase() const
  {
    return phase == attempt_phase::answered || phase == attempt_phase::failed ||
           phase == attempt_phase::refused;
  }
};

using attempt_ptr = std::shared_ptr<attempt>;

struct attempt_limits
{
  /// Answer bytes kept per attempt and in total.
  std::uint64_t answer_bytes = std::uint64_t{8} * 1024 * 1024;
  std::uint64_t total_bytes = std::uint64_t{64} * 1024 * 1024;
  std::size_t remembered = 65536;
  /// Ended attempts are remembered for this long, so that late copies of a request are recognised.
  std::chrono::seconds memory{120};
  /// Answers that nobody acknowledges are kept for this long.
  std::chrono::seconds answer_memory{30};
};

/// Attempts by id, with bounds on memory. Not thread-safe.
class attempt_table
{
public:
  using time_point = attempt::time_point;

  explicit attempt_table(attempt_limits limits);

  attempt_ptr find(const protocol::attempt_id& id) const;
  attempt_ptr add(protocol::request_open open, transport::connection_id connection,
                  time_point deadline);
  /// Remembers that an attempt was refused, also one that was never seen.
  void refuse(const attempt_ptr& which, protocol::request_refused refusal, time_point now);
  /// Keeps a frame of the answer; drops the oldest ones beyond the limit.
  void append(const attempt_ptr& which, std::string data);
  void end(const attempt_ptr& which, attempt_phase phase, time_point now);
  void acknowledge(const attempt_ptr& which);
  void forget_old(time_point now);

  /// Attempts that have not ended.
  std::vector<attempt_ptr> open_attempts() const;
  bool idle() const;
  std::size_t size() const;
  std::uint64_t kept_bytes() const;

private:
  void drop_answer(attempt& of);

  struct id_hash
  {
    std::size_t operator()(const protocol::attempt_id& id) const noexcept
    {
      return std::hash<request_id>{}(id.request) * 31 + id.attempt;
    }
  };

  const attempt_limits m_limits;
  std::unordered_map<protocol::attempt_id, attempt_ptr, id_hash> m_attempts;
  /// Not ended yet.
  std::unordered_map<protocol::attempt_id, attempt_ptr, id_hash> m_open;
  /// Ended ones, oldest first.
  std::deque<attempt_ptr> m_ended;
  std::uint64_t m_kept_bytes = 0;
};

} // namespace pollenyoke::agent
