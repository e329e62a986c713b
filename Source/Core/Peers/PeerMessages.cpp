#include "Peers/PeerMessages.h"

#include <array>

#include <arpa/inet.h>

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "Protocol/ByteArchive.h"

namespace pollenyoke::peers
{

namespace
{

constexpr unsigned leaving_flag = 1;
constexpr unsigned engine_flag = 2;
constexpr unsigned state_flag = 4;

} // namespace

std::uint32_t peer_record::pack_address(const std::string& ip)
{
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  return address.s_addr;
}

std::string peer_record::unpack_address(std::uint32_t address)
{
  const in_addr raw{address};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw, text.data(), text.size());
  return text.data();
}

std::uint8_t peer_record::pack_flags() const
{
  return static_cast<std::uint8_t>((leaving ? leaving_flag : 0) | (has_engine ? engine_flag : 0) |
                                   (has_state ? state_flag : 0));
}

void peer_record::unpack_flags(std::uint8_t flags)
{
  leaving = (flags & leaving_flag) != 0;
  has_engine = (flags & engine_flag) != 0;
  has_state = (flags & state_flag) != 0;
}

std::string encode_message(const peer_message& message)
{
  return protocol::encode_text(message);
}

result<peer_message> decode_message(std::string_view datagram)
{
  return protocol::decode_text<peer_message>(datagram);
}

} // namespace pollenyoke::peers
