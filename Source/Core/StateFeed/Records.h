#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pollenyoke::state_feed
{

/// Topics that this system reads from the platform's store.
enum class record_topic
{
  operator_records,
  backend_servers,
  /// Processes of this system.
  hosts,
};

/// A change of one key; a record without a value removes the key.
struct record
{
  std::string key;
  std::optional<std::string> value;
  std::uint64_t offset = 0;
  /// Of a removal: its owner may not have removed it; it may have expired while its owner could not
  /// write.
  bool may_have_expired = true;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(key, value, offset, may_have_expired);
  }
};

struct record_page
{
  std::vector<record> records;
  /// Offset after the newest record of the topic.
  std::uint64_t end = 0;
  /// Offset at which the next read starts.
  std::uint64_t next = 0;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(records, end, next);
  }
};

} // namespace pollenyoke::state_feed
