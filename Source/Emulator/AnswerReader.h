#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "AsyncIo/HttpParser.h"
#include "Emulator/AnswerContent.h"
#include "Emulator/History.h"
#include "Protocol/ServingModel.h"

namespace pollenyoke::emulator
{

/// What a caller asks for.
struct caller_request
{
  protocol::route route;
  std::string key;
  std::string team;
  std::chrono::milliseconds deadline{6000};
  unsigned prompt_tokens = 0;
  /// The caller closes after this time if it has no answer.
  std::optional<std::chrono::milliseconds> patience;
  bool is_probe = false;
};

/// How the body of a request is sent.
enum class body_form
{
  with_length,
  in_chunks,
};

request_kind kind_of(const protocol::route& route);
/// The record of an attempt that is sent now.
attempt make_attempt(const caller_request& request, const std::string& id,
                     const std::string& machine, moment now);
std::string write_request(const caller_request& request, const std::string& id, body_form form);

/// Reads the answer to one request and checks that it belongs to it and is whole.
class answer_reader
{
public:
  answer_reader(std::string id, bool streaming);

  /// Notes what the answer says in the record of the attempt.
  void feed(std::string_view data, attempt& sent, moment now);
  /// The connection ended in order.
  void feed_end();
  bool has_started() const;
  /// The answer is complete, or cannot become one.
  bool is_done() const;
  /// `whole` or `wrong` if it is done, or else `none` or `cut`.
  answer_state state() const;
  std::string problem() const;
  bool keep_alive() const;
  const async_io::message_head& head() const;
  /// Bytes behind the answer.
  std::string take_surplus();

private:
  void note_head(attempt& sent, moment now);

  std::string m_id;
  bool m_streaming;
  async_io::http_parser m_parser;
  std::optional<stream_checker> m_stream;
  std::string m_body;
  bool m_head_noted = false;
  bool m_malformed = false;
};

} // namespace pollenyoke::emulator
