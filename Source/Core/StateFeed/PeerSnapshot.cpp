#include "StateFeed/PeerSnapshot.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace pollenyoke::state_feed
{

namespace
{

template <typename T>
std::string encode(const T& value)
{
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return std::move(out).str();
}

template <typename T>
result<T> decode(std::string_view data)
{
  try
  {
    std::istringstream in{std::string(data)};
    cereal::PortableBinaryInputArchive archive(in);
    T value;
    archive(value);
    return value;
  }
  catch (const std::exception& e)
  {
    // Sizes in the input are trusted by cereal: a claim beyond memory ends here as well.
    return fail(error_code::malformed, e.what());
  }
}

} // namespace

std::string encode_snapshot(const peer_snapshot& snapshot)
{
  return encode(snapshot);
}

result<peer_snapshot> decode_snapshot(std::string_view data)
{
  return decode<peer_snapshot>(data);
}

std::string encode_relay(const relay_page& page)
{
  return encode(page);
}

result<relay_page> decode_relay(std::string_view data)
{
  return decode<relay_page>(data);
}

} // namespace pollenyoke::state_feed
