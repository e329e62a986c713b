#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Entry/CallerApi.h"
#include "Entry/RequestSession.h"

namespace pollenyoke::entry
{

namespace
{

using nlohmann::json;
using protocol::refusal_reason;
using routing::outcome_kind;

constexpr std::size_t max_buffered_answer_bytes = std::size_t{8} * 1024 * 1024;

std::string_view outcome_name(outcome_kind kind)
{
  switch (kind)
  {
  case outcome_kind::whole:
    return "whole";
  case outcome_kind::not_run:
    return "not-run";
  case outcome_kind::rejected:
    return "rejected";
  default:
    return "unknown";
  }
}

int http_status(const routing::final_outcome& outcome)
{
  switch (outcome.kind)
  {
  case outcome_kind::not_run:
    return outcome.reason == refusal_reason::overloaded ? 429 : 503;
  case outcome_kind::rejected:
    return 422;
  case outcome_kind::already_ran:
    return 410;
  default:
    return 504;
  }
}

std::string retry_after_seconds(const routing::final_outcome& outcome)
{
  return std::to_string(std::max<std::uint32_t>(1, (outcome.retry_after_ms + 999) / 1000));
}

json describe_outcome(const routing::final_outcome& outcome)
{
  json body{{"outcome", outcome.kind == outcome_kind::already_ran ? "already-ran"
                                                                  : outcome_name(outcome.kind)}};
  if (!outcome.detail.empty())
  {
    body["error"] = outcome.detail;
  }
  return body;
}

transport::http_response begin_response(const protocol::answer_head& head)
{
  transport::http_response response;
  response.status = head.status;
  response.headers = head.headers;
  response.content_type = head.content_type;
  return response;
}

/// Writes the answer to the caller, beginning with `first`; false if it remained incomplete.
bool forward_stream(request_session& session, const std::string& first, session_step step,
                    const transport::body_writer& write)
{
  std::string data = first;
  while (step == session_step::data || step == session_step::head)
  {
    if (!data.empty() && !write(data))
    {
      session.cancel();
      return false;
    }
    step = session.next(data);
  }
  if (step == session_step::complete)
  {
    const json last{{"end", true}, {"tokens", session.lines()}, {"frames", session.lines()}};
    return write(last.dump() + "\n");
  }
  json last = describe_outcome(session.outcome());
  last["error"] = last.value("error", "the answer is incomplete");
  write(last.dump() + "\n");
  return false;
}

} // namespace

transport::http_response failure_response(const routing::final_outcome& outcome)
{
  transport::http_response response;
  response.status = http_status(outcome);
  response.headers.push_back({"Pollenyoke-Outcome", std::string(outcome_name(outcome.kind))});
  if (outcome.kind == outcome_kind::not_run)
  {
    response.headers.push_back({"Retry-After", retry_after_seconds(outcome)});
  }
  response.body = describe_outcome(outcome).dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

transport::http_response buffered_response(const std::shared_ptr<request_session>& session)
{
  std::string body;
  std::string data;
  while (true)
  {
    const session_step step = session->next(data);
    if (step == session_step::complete)
    {
      break;
    }
    if (step == session_step::failed)
    {
      return failure_response(session->outcome());
    }
    body += data;
    if (body.size() > max_buffered_answer_bytes)
    {
      session->cancel();
      return failure_response({.kind = outcome_kind::unknown, .detail = "the answer is too large"});
    }
  }
  transport::http_response response = begin_response(*session->head());
  response.headers.push_back({"Pollenyoke-Outcome", "whole"});
  response.body = std::move(body);
  return response;
}

transport::http_response streaming_response(const std::shared_ptr<request_session>& session)
{
  // The status is sent only with the first part, so that a request that fails earlier gets an error
  // status instead of an empty stream.
  std::string data;
  session_step step = session->next(data);
  if (step == session_step::head && session->head()->status != 200)
  {
    return buffered_response(session);
  }
  if (step == session_step::head)
  {
    step = session->next(data);
  }
  if (step == session_step::failed)
  {
    return failure_response(session->outcome());
  }
  transport::http_response response = begin_response(*session->head());
  response.content_type = "application/x-ndjson";
  // The outcome is known only at the end of the stream, so the last line states it, not a header.
  response.stream = [session, first = std::move(data), step](const transport::body_writer& write)
  {
    return forward_stream(*session, first, step, write);
  };
  return response;
}

} // namespace pollenyoke::entry
