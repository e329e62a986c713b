#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Ids.h"
#include "Protocol/LogRecord.h"

namespace pollenyoke::weights
{

/// Tracks how many bytes this process may still read from the origin. The full size of a read is
/// reserved before it starts, so that short reads, corrupted chunks and retries count against the
/// grant. Not thread-safe.
class origin_ledger
{
public:
  /// Identifies a grant by the log record at `since` that made this process the stripe's holder.
  struct grant_id
  {
    protocol::release_key release;
    std::uint32_t stripe = 0;
    log_offset since;

    auto operator<=>(const grant_id&) const = default;
  };

  /// Has no effect if the grant was added before, even if it is closed.
  void add_grant(const grant_id& id, std::uint64_t bytes);
  bool has_grant(const grant_id& id) const;
  /// Unreserved bytes; 0 if the grant is closed or unknown.
  std::uint64_t remaining(const grant_id& id) const;
  /// Unreserved bytes of each open grant for the stripe, oldest grant first.
  std::vector<std::uint64_t> remaining(const protocol::release_key& release,
                                       std::uint32_t stripe) const;
  /// Reserves bytes for one read. Returns false if the grant is closed, unknown or has too few
  /// bytes left; the read must not start then.
  bool reserve(const grant_id& id, std::uint64_t bytes);
  /// Reserves bytes for one read from the oldest open grant for the stripe that has enough left.
  std::optional<grant_id> reserve(const protocol::release_key& release, std::uint32_t stripe,
                                  std::uint64_t bytes);
  /// Ends a read and keeps its bytes counted as read.
  void settle(const grant_id& id);
  /// Ends a read for which the origin certainly sent nothing, and returns its bytes to the grant.
  void refund(const grant_id& id, std::uint64_t bytes);
  /// Closes a grant permanently: new reads are rejected, reads in progress continue.
  void close(const grant_id& id);
  bool is_open(const grant_id& id) const;
  /// Unread bytes of a grant that is closed and has no reads in progress; the value is final. Empty
  /// before that, or if the grant is unknown.
  std::optional<std::uint64_t> unread(const grant_id& id) const;

  /// Total bytes of all grants added, open or closed.
  std::uint64_t granted_bytes() const
  {
    return m_granted_bytes;
  }
  /// Total bytes reserved for reads in progress and settled reads, without refunded bytes.
  std::uint64_t reserved_bytes() const
  {
    return m_reserved_bytes;
  }

private:
  struct grant
  {
    std::uint64_t remaining = 0;
    unsigned active_reads = 0;
    bool open = true;
  };

  using grant_map = std::map<grant_id, grant>;

  bool reserve(grant& from, std::uint64_t bytes);

  grant_map m_grants;
  std::uint64_t m_granted_bytes = 0;
  std::uint64_t m_reserved_bytes = 0;
};

} // namespace pollenyoke::weights
