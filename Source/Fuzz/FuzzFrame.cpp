#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

#include "Protocol/Codec.h"
#include "Protocol/Messages.h"

namespace
{

using namespace pollenyoke;

// A message that is accepted must survive another round: a decoder that accepts what the encoder
// does not write reads some member wrongly.
template <typename Message>
void check(const transport::frame& frame)
{
  const auto message = protocol::decode<Message>(frame);
  if (!message)
  {
    return;
  }
  const transport::frame again = protocol::encode(*message);
  const auto second = protocol::decode<Message>(again);
  if (!second || protocol::encode(*second).payload != again.payload)
  {
    std::abort();
  }
}

template <typename... Messages>
void check_all(const transport::frame& frame)
{
  ((frame.type == static_cast<std::uint8_t>(Messages::type) ? check<Messages>(frame) : void()),
   ...);
}

} // namespace

// The first byte selects the message type; the rest is the payload.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
  using namespace pollenyoke::protocol;
  if (size == 0)
  {
    return 0;
  }
  constexpr unsigned type_count = 23;
  transport::frame frame;
  frame.type = static_cast<std::uint8_t>(transport::first_message_type + data[0] % type_count);
  const auto payload = std::as_bytes(std::span(data, size).subspan(1));
  frame.payload.assign(payload.begin(), payload.end());
  check_all<hello, request_open, request_refused, answer_head, answer_frame, answer_end,
            answer_failed, answer_ack, cancel, outcome_query, outcome_reply, resume_answer,
            heartbeat, subscribe, state_push, state_fetch, state_reply, have_update, chunk_request,
            chunk_reply, suspect_report, manifest_request, manifest_reply>(frame);
  return 0;
}
