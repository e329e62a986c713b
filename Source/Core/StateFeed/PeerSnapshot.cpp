#include "StateFeed/PeerSnapshot.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace pollenyoke::state_feed
{

std::string encode_snapshot(const peer_snapshot& snapshot)
{
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(snapshot);
  }
  return std::move(out).str();
}

result<peer_snapshot> decode_snapshot(std::string_view data)
{
  try
  {
    std::istringstream in{std::string(data)};
    cereal::PortableBinaryInputArchive archive(in);
    peer_snapshot snapshot;
    archive(snapshot);
    return snapshot;
  }
  catch (const std::exception& e)
  {
    // Sizes in the input are trusted by cereal: a claim beyond memory ends here as well.
    return fail(error_code::malformed, e.what());
  }
}

} // namespace pollenyoke::state_feed
