#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Result.h"

namespace pollenyoke::emulator
{

/// A record of a keyed topic; without a value it removes the key.
struct keyed_record
{
  std::string key;
  std::optional<std::string> value;
  std::uint64_t offset = 0;
};

struct newest_page
{
  std::vector<keyed_record> items;
  bool has_more = false;
  std::uint64_t end = 0;
};

/// One partition of a topic: numbered records, of which the oldest may be deleted. A keyed topic
/// retains the newest record of each key.
class log_partition
{
public:
  explicit log_partition(bool keyed) : m_keyed(keyed) {}

  /// Appends all records or none; returns the offset of the first one. Error `malformed`: a record
  /// of a keyed topic without a key.
  result<std::uint64_t> append(std::vector<std::string> records);
  /// Records from `from` on, each behind four bytes of length, after the end and the first
  /// retained offset. Error `expired`: the records were deleted, or there are none up to `from`.
  result<std::string> read(std::uint64_t from, std::size_t max_bytes) const;
  newest_page newest(std::string_view after) const;
  void trim(std::uint64_t before);

  std::uint64_t end() const;
  std::uint64_t first() const
  {
    return m_first;
  }

private:
  bool m_keyed;
  std::uint64_t m_first = 0;
  std::deque<std::string> m_records;
  std::map<std::string, keyed_record, std::less<>> m_newest;
};

/// Splits the body of an append into its records. Error `malformed`: the lengths do not fit.
result<std::vector<std::string>> split_records(std::string_view body);
/// Content of a record of a keyed topic.
std::string make_keyed_content(std::string_view key, const std::optional<std::string>& value);

/// All partitions of the store's topics, which are created on first use.
class log_store
{
public:
  log_partition& partition(const std::string& topic, unsigned part);
  /// Deletes the records of all topics, except the newest one of each key.
  void forget_history();

private:
  std::map<std::pair<std::string, unsigned>, log_partition> m_partitions;
};

} // namespace pollenyoke::emulator
