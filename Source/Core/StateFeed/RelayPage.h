#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Result.h"
#include "StateFeed/Records.h"

namespace pollenyoke::state_feed
{

/// What one process asks another for.
struct changes_request
{
  record_topic topic = record_topic::operator_records;
  /// Changes from here on; empty for the newest record of every key.
  std::optional<log_position> from;
  /// The asked process waits for a change instead of answering at once that there is none.
  bool may_wait = false;
};

/// Records of one topic, sent by one process to another.
struct relay_page
{
  /// False if the sender has not received any state of the topic yet; the page is empty then.
  bool has_state = true;
  /// The page holds the newest record of every key instead of changes.
  bool is_snapshot = false;
  record_page page;
  /// Milliseconds since the sender last confirmed that its records are current.
  std::uint64_t age_ms = 0;
  /// Milliseconds for which the sender held the request before it made the page.
  std::uint64_t held_ms = 0;
};

/// Compressed records of a page. Configurations repeat the same field names for each route and take
/// about a tenth of their size.
std::string encode_records(const record_page& page);

/// Encodes a page with these records, which are encoded already, in place of its own.
std::string encode_relay_page(const relay_page& page, std::string_view records);
std::string encode_relay_page(const relay_page& page);
result<relay_page> decode_relay_page(std::string_view data);

} // namespace pollenyoke::state_feed
