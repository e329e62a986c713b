#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenyoke::state_feed
{

/// Who reads the store for a failure domain.
enum class reader_rank : std::uint8_t
{
  first,
  /// Takes the place of one that does not answer.
  deputy,
};

/// What the platform's store holds for this system.
enum class record_topic
{
  operator_records,
  backend_servers,
  /// Processes of this system.
  hosts,
};

/// A change of one key; without a value the key is gone.
struct record
{
  std::string key;
  std::optional<std::string> value;
  std::uint64_t offset = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(key, value, offset);
  }
};

struct record_page
{
  std::vector<record> records;
  /// Offset behind the newest record of the topic.
  std::uint64_t end = 0;
  /// Offset at which the next read continues.
  std::uint64_t next = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(records, end, next);
  }
};

} // namespace pollenyoke::state_feed
