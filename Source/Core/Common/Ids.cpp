#include "Common/Ids.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <random>

namespace pollenyoke
{

namespace
{

std::uint64_t random_u64()
{
  static std::mutex mutex;
  static std::mt19937_64 engine = []
  {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  const std::lock_guard lock(mutex);
  return engine();
}

} // namespace

request_id make_request_id()
{
  return request_id{random_u64(), random_u64()};
}

incarnation_id make_incarnation()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return incarnation_id{static_cast<std::uint64_t>(micros)};
}

std::string to_string(const request_id& id)
{
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(id.high), static_cast<unsigned long long>(id.low));
  return text.data();
}

result<request_id> parse_request_id(std::string_view text)
{
  constexpr std::size_t half = 16;
  if (text.size() != 2 * half)
  {
    return fail(error_code::malformed, "request id must have 32 hex digits");
  }
  request_id id;
  const char* begin = text.data();
  const auto high = std::from_chars(begin, begin + half, id.high, half);
  const auto low = std::from_chars(begin + half, begin + 2 * half, id.low, half);
  if (high.ptr != begin + half || low.ptr != begin + 2 * half)
  {
    return fail(error_code::malformed, "request id must have 32 hex digits");
  }
  return id;
}

std::string make_record_id()
{
  return to_string(make_request_id());
}

} // namespace pollenyoke
