#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Common/Result.h"

namespace pollenyoke
{

/// A value type that does not convert to other identifiers of the same representation.
template <typename Tag, typename T>
struct strong_id
{
  T value{};

  auto operator<=>(const strong_id&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(value);
  }
};

using host_id = strong_id<struct host_id_tag, std::string>;
/// Identifies one run of a process on a host. A restarted process has a larger one.
using incarnation_id = strong_id<struct incarnation_id_tag, std::uint64_t>;
/// Position of a record in a stream of the log, from 1; 0 is "before the first record".
using log_offset = strong_id<struct log_offset_tag, std::uint64_t>;

/// Identifies one request of a caller; unique across entries and restarts.
struct request_id
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const request_id&) const = default;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(high, low);
  }
};

/// Makes a random request id.
request_id make_request_id();
/// Makes an incarnation that is larger than any earlier one of this host (wall-clock based).
incarnation_id make_incarnation();
/// 32 lower-case hex digits.
std::string to_string(const request_id& id);
result<request_id> parse_request_id(std::string_view text);
/// Makes a random identifier for a log record, 32 hex digits.
std::string make_record_id();

} // namespace pollenyoke

template <typename Tag, typename T>
struct std::hash<pollenyoke::strong_id<Tag, T>>
{
  std::size_t operator()(const pollenyoke::strong_id<Tag, T>& id) const noexcept
  {
    return std::hash<T>{}(id.value);
  }
};

template <>
struct std::hash<pollenyoke::request_id>
{
  std::size_t operator()(const pollenyoke::request_id& id) const noexcept
  {
    return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
  }
};
