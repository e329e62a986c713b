#include "Protocol/Codec.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "Protocol/ByteArchive.h"

namespace pollenyoke::protocol
{

namespace
{

// A container's elements can be larger in memory than on the wire. Messages that carry no bulk data
// are held to this size, so that a hostile size field cannot make the process allocate much.
constexpr std::size_t max_control_bytes = std::size_t{256} * 1024;

template <typename Message>
constexpr std::size_t size_limit()
{
  constexpr bool bulk =
      Message::type == message_type::chunk_reply || Message::type == message_type::state_reply ||
      Message::type == message_type::state_push || Message::type == message_type::answer_frame ||
      Message::type == message_type::request_open || Message::type == message_type::manifest_reply;
  return bulk ? transport::max_frame_bytes : max_control_bytes;
}

} // namespace

template <typename Message>
transport::frame encode(const Message& message)
{
  transport::frame out;
  out.type = static_cast<std::uint8_t>(Message::type);
  out.payload = encode_bytes(message);
  return out;
}

template <typename Message>
result<Message> decode(const transport::frame& from)
{
  if (type_of(from) != Message::type)
  {
    return fail(error_code::malformed, "unexpected message type");
  }
  if (from.payload.size() > size_limit<Message>())
  {
    return fail(error_code::limit_exceeded, "message larger than its limit");
  }
  return decode_bytes<Message>(from.payload);
}

bool is_short(const transport::frame& message)
{
  // Parsing a larger body takes long enough to delay the frames of other requests.
  constexpr std::size_t max_short_bytes = std::size_t{16} * 1024;
  switch (type_of(message))
  {
  case message_type::request_open:
  case message_type::request_refused:
  case message_type::answer_head:
  case message_type::answer_frame:
  case message_type::answer_end:
  case message_type::answer_failed:
  case message_type::answer_ack:
  case message_type::cancel:
  case message_type::outcome_query:
  case message_type::outcome_reply:
    return message.payload.size() <= max_short_bytes;
  default:
    return false;
  }
}

#define POLLENYOKE_INSTANTIATE(message)                                                            \
  template transport::frame encode<message>(const message&);                                       \
  template result<message> decode<message>(const transport::frame&)

POLLENYOKE_INSTANTIATE(hello);
POLLENYOKE_INSTANTIATE(request_open);
POLLENYOKE_INSTANTIATE(request_refused);
POLLENYOKE_INSTANTIATE(answer_head);
POLLENYOKE_INSTANTIATE(answer_frame);
POLLENYOKE_INSTANTIATE(answer_end);
POLLENYOKE_INSTANTIATE(answer_failed);
POLLENYOKE_INSTANTIATE(answer_ack);
POLLENYOKE_INSTANTIATE(cancel);
POLLENYOKE_INSTANTIATE(outcome_query);
POLLENYOKE_INSTANTIATE(outcome_reply);
POLLENYOKE_INSTANTIATE(resume_answer);
POLLENYOKE_INSTANTIATE(heartbeat);
POLLENYOKE_INSTANTIATE(subscribe);
POLLENYOKE_INSTANTIATE(state_push);
POLLENYOKE_INSTANTIATE(state_fetch);
POLLENYOKE_INSTANTIATE(state_reply);
POLLENYOKE_INSTANTIATE(have_update);
POLLENYOKE_INSTANTIATE(chunk_request);
POLLENYOKE_INSTANTIATE(chunk_reply);
POLLENYOKE_INSTANTIATE(suspect_report);
POLLENYOKE_INSTANTIATE(manifest_request);
POLLENYOKE_INSTANTIATE(manifest_reply);

} // namespace pollenyoke::protocol
