#include "Emulator/AnswerReader.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "platform/Decode.h"
#include "platform/Names.h"

namespace pollenyoke::emulator
{

namespace
{

namespace names = platform::names;

// The servers' answers have a few kilobytes.
constexpr async_io::parse_limits response_limits{65536, 1U << 20U};
constexpr unsigned most_answer_tokens = 100;

std::string encode_chunk(std::string_view data)
{
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  return std::string(size.data(), static_cast<std::size_t>(length)).append(data).append("\r\n");
}

} // namespace

request_kind kind_of(const protocol::route& route)
{
  if (route.repeat != protocol::repeat_rule::idempotent)
  {
    return request_kind::once;
  }
  return route.streaming ? request_kind::resumable_stream : request_kind::idempotent;
}

attempt make_attempt(const caller_request& request, const std::string& id,
                     const std::string& machine, moment now)
{
  const auto limit = std::min(request.deadline, request.route.timeout);
  return {.id = id,
          .machine = machine,
          .route = request.route.name,
          .service = request.route.targets.front().service,
          .kind = kind_of(request.route),
          .key = request.key,
          .team = request.team,
          .sent = now,
          .due = now + std::chrono::duration<double>(limit).count(),
          .is_probe = request.is_probe};
}

std::string write_request(const caller_request& request, const std::string& id, body_form form)
{
  const bool has_body = kind_of(request.route) != request_kind::idempotent;
  std::string out =
      (has_body ? "POST " : "GET ") + request.route.path_prefix + "x?of=" + id + " HTTP/1.1\r\n";
  async_io::append_field(out, "Host", request.route.host);
  async_io::append_field(out, names::request_id, id);
  async_io::append_field(out, names::time_left_ms, std::to_string(request.deadline.count()));
  async_io::append_field(out, names::caller_key, request.key);
  if (request.route.streaming)
  {
    async_io::append_field(out, names::token_counts,
                           std::to_string(request.prompt_tokens) + "," +
                               std::to_string(most_answer_tokens));
  }
  if (!has_body)
  {
    return out.append("\r\n");
  }
  const std::string body = make_request_body(id);
  if (form == body_form::with_length)
  {
    async_io::append_field(out, "Content-Length", std::to_string(body.size()));
    return out.append("\r\n").append(body);
  }
  async_io::append_field(out, "Transfer-Encoding", "chunked");
  const std::string_view whole = body;
  const std::size_t half = whole.size() / 2;
  return out.append("\r\n")
      .append(encode_chunk(whole.substr(0, half)))
      .append(encode_chunk(whole.substr(half)))
      .append("0\r\n\r\n");
}

answer_reader::answer_reader(std::string id, bool streaming)
    : m_id(std::move(id)), m_streaming(streaming),
      m_parser(async_io::message_kind::response, response_limits)
{
}

void answer_reader::feed(std::string_view data, attempt& sent, moment now)
{
  m_parser.feed(data);
  m_malformed = m_parser.failure() != async_io::parse_failure::none;
  if (!m_parser.has_head())
  {
    return;
  }
  note_head(sent, now);
  const std::string body = m_parser.take_body();
  if (m_stream)
  {
    m_stream->feed(body);
  }
  else
  {
    m_body.append(body);
  }
  if (m_stream && m_parser.is_complete())
  {
    m_stream->end();
  }
}

void answer_reader::feed_end()
{
  if (!m_parser.has_head() || m_parser.is_complete())
  {
    return;
  }
  m_parser.feed_end();
  if (m_stream && m_parser.is_complete())
  {
    m_stream->end();
  }
}

bool answer_reader::has_started() const
{
  return m_parser.has_started();
}

bool answer_reader::is_done() const
{
  return m_parser.is_complete() || m_malformed || (m_stream && !m_stream->problem().empty());
}

answer_state answer_reader::state() const
{
  if (!is_done())
  {
    return has_started() ? answer_state::cut : answer_state::none;
  }
  return problem().empty() ? answer_state::whole : answer_state::wrong;
}

std::string answer_reader::problem() const
{
  if (m_malformed)
  {
    return "bytes that are no answer";
  }
  if (m_stream && !m_stream->problem().empty())
  {
    return m_stream->problem();
  }
  const auto* signature = head().find(names::signature);
  if (head().status == 200)
  {
    return signature == nullptr ? "success without a signature"
           : m_stream           ? ""
                                : check_body(m_id, *signature, m_body);
  }
  return signature != nullptr && head().status != 500
             ? "failure with a signature that no server gave to it"
             : "";
}

bool answer_reader::keep_alive() const
{
  return m_parser.keep_alive();
}

const async_io::message_head& answer_reader::head() const
{
  return m_parser.head();
}

std::string answer_reader::take_surplus()
{
  return m_parser.take_surplus();
}

void answer_reader::note_head(attempt& sent, moment now)
{
  if (m_head_noted)
  {
    return;
  }
  m_head_noted = true;
  sent.status = head().status;
  const protocol::server_notice notice = platform::decode_notice(head());
  sent.server_leaves = notice.leaving;
  sent.server_limited = notice.limit.has_value();
  sent.answered = now;
  if (head().status == 200 && m_streaming)
  {
    m_stream.emplace(m_id);
  }
}

} // namespace pollenyoke::emulator
