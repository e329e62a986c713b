#pragma once

#include "Common/Result.h"
#include "Protocol/Messages.h"
#include "Transport/MessageNode.h"

namespace pollenyoke::protocol
{

/// Encodes a message. Instantiated in Codec.cpp for each message type.
template <typename Message>
transport::frame encode(const Message& message);

/// Decodes a message. Errors: `malformed` for a wrong type, a size that does not fit the remaining
/// bytes, or trailing bytes; `limit_exceeded` for a control message above its size limit.
template <typename Message>
result<Message> decode(const transport::frame& from);

inline message_type type_of(const transport::frame& from)
{
  return static_cast<message_type>(from.type);
}

/// True for small messages of the request path, which are handled on the I/O thread
/// (transport::message_handlers::is_short).
bool is_short(const transport::frame& message);

} // namespace pollenyoke::protocol
