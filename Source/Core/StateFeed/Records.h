#pragma once

#include <chrono>
#include <compare>
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
  /// Kept from an earlier era of the store, whose copy lacks it. `offset` has no meaning.
  bool retained = false;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(key, value, offset, may_have_expired, retained);
  }
};

// The store comes back from a copy that is some seconds old; older changes are in it.
constexpr std::chrono::seconds max_copy_age{60};

/// Where a reader of a topic continues. The era rises each time the store comes back from an older
/// copy; offsets of different eras cannot be compared.
struct log_position
{
  std::uint64_t era = 0;
  std::uint64_t offset = 0;

  auto operator<=>(const log_position&) const = default;
};

/// A read of the records of a topic from an offset on.
struct record_read
{
  std::uint64_t from = 0;
  /// How long the store waits for the first record.
  std::chrono::milliseconds wait{0};
  /// Does not use an idle connection: it may have gone silent.
  bool new_connection = false;
  /// Asks for as few records as the store sends at once.
  bool is_check = false;
};

struct record_page
{
  std::vector<record> records;
  /// Offset after the newest record of the topic.
  std::uint64_t end = 0;
  /// Offset at which the next read starts.
  std::uint64_t next = 0;
  /// Era of the store to which the offsets belong; empty if the store did not tell.
  std::optional<std::uint64_t> era = std::nullopt;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(records, end, next, era);
  }
};

} // namespace pollenyoke::state_feed
