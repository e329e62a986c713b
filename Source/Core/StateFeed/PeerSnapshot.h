#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Common/Result.h"
#include "StateFeed/Records.h"

namespace pollenyoke::state_feed
{

/// What one process tells another that cannot read the store.
struct peer_snapshot
{
  bool has_operator_records = false;
  record_page operator_records;
  /// Milliseconds since the sender's operator records were confirmed, and its backend records.
  std::uint64_t operator_age_ms = 0;
  bool has_backends = false;
  record_page backends;
  std::uint64_t backend_age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(has_operator_records, operator_records, operator_age_ms, has_backends, backends,
            backend_age_ms);
  }
};

/// Changes of one topic, from the process that reads it for its failure domain.
struct relay_page
{
  /// The records are the newest of all keys, not changes.
  bool whole = false;
  record_page page;
  /// Milliseconds since the sender's records were confirmed by the store.
  std::uint64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(whole, page, age_ms);
  }
};

std::string encode_relay(const relay_page& page);
result<relay_page> decode_relay(std::string_view data);

std::string encode_snapshot(const peer_snapshot& snapshot);
result<peer_snapshot> decode_snapshot(std::string_view data);

} // namespace pollenyoke::state_feed
