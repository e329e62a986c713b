#include "Peers/PeerMessages.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace pollenyoke::peers
{

std::string encode_message(const peer_message& message)
{
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

result<peer_message> decode_message(std::string_view datagram)
{
  try
  {
    std::istringstream in{std::string(datagram)};
    cereal::PortableBinaryInputArchive archive(in);
    peer_message message;
    archive(message);
    return message;
  }
  catch (const std::exception& e)
  {
    return fail(error_code::malformed, e.what());
  }
}

} // namespace pollenyoke::peers
