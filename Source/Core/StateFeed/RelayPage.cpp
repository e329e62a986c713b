#include "StateFeed/RelayPage.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "Common/Compression.h"
#include "Protocol/ByteArchive.h"

namespace pollenyoke::state_feed
{

namespace
{

// The store keeps records of up to 256 KB, and a topic holds a few hundred.
constexpr std::size_t max_page_bytes = 64U << 20U;

struct envelope
{
  bool has_state = true;
  bool is_snapshot = false;
  std::uint64_t age_ms = 0;
  std::uint64_t held_ms = 0;
  std::string records;

  template <typename Archive>
  void serialize(Archive& archive)
  {
    archive(has_state, is_snapshot, age_ms, held_ms, records);
  }
};

} // namespace

std::string encode_records(const record_page& page)
{
  return compress(protocol::encode_text(page));
}

std::string encode_relay_page(const relay_page& page, std::string_view records)
{
  return protocol::encode_text(
      envelope{page.has_state, page.is_snapshot, page.age_ms, page.held_ms, std::string(records)});
}

std::string encode_relay_page(const relay_page& page)
{
  return encode_relay_page(page, encode_records(page.page));
}

result<relay_page> decode_relay_page(std::string_view data)
{
  return protocol::decode_text<envelope>(data).and_then(
      [](const envelope& outer)
      {
        return decompress(outer.records, max_page_bytes)
            .and_then([](const std::string& records)
                      { return protocol::decode_text<record_page>(records); })
            .map(
                [&outer](record_page page) -> relay_page {
                  return {outer.has_state, outer.is_snapshot, std::move(page), outer.age_ms,
                          outer.held_ms};
                });
      });
}

} // namespace pollenyoke::state_feed
