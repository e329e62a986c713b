#include "Peers/PeerMessages.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "Protocol/ByteArchive.h"

namespace pollenyoke::peers
{

std::string encode_message(const peer_message& message)
{
  return protocol::encode_text(message);
}

result<peer_message> decode_message(std::string_view datagram)
{
  return protocol::decode_text<peer_message>(datagram);
}

} // namespace pollenyoke::peers
