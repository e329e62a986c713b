#pragma once

#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Protocol/Messages.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::log_follower
{

/// Records of a stream from an offset on.
struct log_page
{
  /// The oldest offset that the log still holds.
  log_offset first;
  /// The offset that the next read starts from.
  log_offset next;
  std::vector<protocol::stream_record> records;
};

/// HTTP client of the platform's log. Thread-safe; calls block.
class log_client
{
public:
  explicit log_client(const transport::endpoint& server);
  ~log_client();
  log_client(const log_client&) = delete;
  log_client& operator=(const log_client&) = delete;
  log_client(log_client&&) = delete;
  log_client& operator=(log_client&&) = delete;

  /// Appends once. Errors: `unavailable` (not appended), `closed` (may have been appended).
  result<protocol::stream_record> append(std::string_view stream, std::string_view record_text);

  /// Appends a record and resolves lost answers: reads on from `before` and looks for the record's
  /// id before it tries again. Errors: `unavailable` (certainly not appended), `timeout` (unknown).
  result<protocol::stream_record> append_once(std::string_view stream, std::string_view id,
                                              std::string_view record_text, log_offset before,
                                              std::chrono::milliseconds patience);

  /// Reads at most `max` records, waiting up to `wait` for the first one. Errors: `expired` (the
  /// message holds the oldest offset), `unavailable`.
  result<log_page> read(std::string_view stream, log_offset from, std::size_t max,
                        std::chrono::milliseconds wait);

  /// Time since the log last answered; counts from construction before the first answer.
  std::chrono::milliseconds age() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::log_follower
