#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace pollenyoke::async_io
{

/// Bytes that connections of clients make a process hold, and which connection to close when the
/// bytes exceed a limit. The caller passes the time. Not thread-safe.
///
/// Load pattern: clients that stop just short of the end of a body, or do not read their answers,
/// and stay connected. Each is within the limits of one request; together they fill the memory.
class memory_budget
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using holder_id = std::uint64_t;

  /// `max_holders`: connections that the process accepts.
  memory_budget(std::size_t limit_bytes, std::size_t max_holders);

  holder_id add(time_point now);
  void remove(holder_id holder);
  /// `is_waiting`: the bytes wait for the client, which has to send or to read more; otherwise they
  /// are needed until the request has ended.
  void set(holder_id holder, std::size_t bytes, bool is_waiting);
  /// The client has sent or read something.
  void note_progress(holder_id holder, time_point now);
  std::size_t total() const;
  std::size_t limit() const;
  /// Connection to close next, while more is held, with `more_bytes` that a request needs, than the
  /// limit allows: the one that waits for its client and has held most for longest without
  /// progress. Those that hold little are spared. Empty if nothing has to be closed, or nothing can
  /// be.
  std::optional<holder_id> next_to_close(std::size_t more_bytes, time_point now) const;
  /// Whether a request that needs so many bytes more fits.
  bool fits(std::size_t more_bytes) const;

private:
  struct holding
  {
    std::size_t bytes = 0;
    bool is_waiting = false;
    time_point progress{};
  };

  std::size_t m_limit;
  std::size_t m_spared_bytes;
  std::size_t m_total = 0;
  holder_id m_last = 0;
  std::map<holder_id, holding> m_holders;
};

/// Limit for a process on a host with so much memory. The rest is for its own state, the buffers of
/// the kernel, and ordinary requests.
std::size_t client_memory_limit(std::uint64_t host_memory_mb);

} // namespace pollenyoke::async_io
