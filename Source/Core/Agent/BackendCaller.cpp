#include "Agent/BackendCaller.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Transport/HttpClient.h"

namespace pollenyoke::agent
{

namespace
{

using nlohmann::json;
using transport::http_client;

constexpr std::chrono::milliseconds control_timeout{1000};
// Longer lines are not tokens; without a bound an engine without line ends fills the memory.
constexpr std::size_t max_line_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_service_answer_bytes = std::size_t{4} * 1024 * 1024;
// Answers above the frame limit are split.
constexpr std::size_t max_data_bytes = std::size_t{256} * 1024;

// Connections to backend servers are not reused: on a reused one, a connection that the server
// closed while idle cannot be told from a server that died while it ran the request.
http_client make_client(const protocol::backend_settings& backend,
                        std::chrono::milliseconds patience)
{
  return http_client(
      backend.address,
      {.connect_timeout = control_timeout, .read_timeout = patience, .keep_alive = false});
}

result<std::string> engine_body(const protocol::request_open& open)
{
  const json from = json::parse(open.body, nullptr, false);
  if (!from.is_object() || !from.contains("prompt") || !from["prompt"].is_string())
  {
    return fail(error_code::malformed, "the body must be a JSON object with a prompt");
  }
  json body = from;
  body["id"] = to_string(open.id.request);
  body["model"] = open.model;
  body["version"] = open.version;
  body["priority"] =
      open.priority == protocol::request_priority::interactive ? "interactive" : "batch";
  body["resume_from"] = open.resume_from;
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

call_head to_head(int status, const transport::http_headers& headers)
{
  call_head head;
  head.status = status;
  head.headers = headers;
  head.content_type = transport::find_header(headers, "Content-Type");
  head.boot = transport::find_header(headers, "Engine-Boot");
  head.version = transport::find_header(headers, "Engine-Version");
  head.manifest = transport::find_header(headers, "Engine-Manifest");
  return head;
}

call_outcome not_run(protocol::refusal_reason reason, std::string detail)
{
  return {call_result::not_run, reason, std::move(detail)};
}

bool send_parts(std::string_view data, const call_receiver& to)
{
  while (!data.empty())
  {
    const std::string_view part = data.substr(0, max_data_bytes);
    if (!to.on_data(std::string(part)))
    {
      return false;
    }
    data.remove_prefix(part.size());
  }
  return true;
}

// Answers other than a stream are small; they are passed on after they have arrived whole.
call_outcome pass_on_whole(const call_head& head, const std::string& body, const call_receiver& to)
{
  const bool passed = to.on_head(head) && send_parts(body, to);
  return {passed ? call_result::whole : call_result::stopped};
}

} // namespace

backend_caller::backend_caller(protocol::backend_settings backend) : m_backend(std::move(backend))
{
}

call_outcome backend_caller::call(const protocol::request_open& open,
                                  std::chrono::milliseconds patience, const call_receiver& to) const
{
  return m_backend.kind == protocol::backend_kind::engine ? call_engine(open, patience, to)
                                                          : call_service(open, patience, to);
}

call_outcome backend_caller::call_engine(const protocol::request_open& open,
                                         std::chrono::milliseconds patience,
                                         const call_receiver& to) const
{
  auto body = engine_body(open);
  if (!body)
  {
    call_head head = to_head(400, {});
    head.version = open.version;
    head.content_type = "application/json";
    return pass_on_whole(head, transport::error_response(400, body.error().message).body, to);
  }
  token_stream stream(open.resume_from);
  call_head head;
  std::string plain;
  bool stopped = false;
  auto client = make_client(m_backend, patience);
  const auto status = client.send_streaming(
      {.method = "POST",
       .path = "/generate",
       .headers = {{"Content-Type", "application/json"}},
       .body = std::move(*body)},
      [&](int code, const transport::http_headers& headers)
      {
        head = to_head(code, headers);
        stopped = code == 200 && !to.on_head(head);
        return !stopped;
      },
      [&](std::string_view data)
      {
        if (head.status != 200)
        {
          plain.append(data.substr(0, max_line_bytes - std::min(max_line_bytes, plain.size())));
          return true;
        }
        const std::string lines = stream.add(data);
        stopped = !lines.empty() && !send_parts(lines, to);
        return !stopped && !stream.broken();
      });
  if (stopped)
  {
    return {call_result::stopped};
  }
  if (stream.broken())
  {
    return {call_result::protocol_error, {}, "the engine's stream has a gap"};
  }
  if (stream.complete())
  {
    return {call_result::whole};
  }
  if (!status)
  {
    return status.error().code == error_code::unavailable
               ? not_run(protocol::refusal_reason::not_serving, "the engine refused the connection")
               : call_outcome{call_result::broken, {}, status.error().message};
  }
  switch (*status)
  {
  case 200:
    return {call_result::broken, {}, "the engine's stream has no end"};
  case 404:
    return not_run(protocol::refusal_reason::not_serving, "the engine has not loaded the version");
  case 503:
    return not_run(protocol::refusal_reason::overloaded, "the engine's queue is full");
  default:
    head.version = open.version;
    return pass_on_whole(head, plain, to);
  }
}

call_outcome backend_caller::call_service(const protocol::request_open& open,
                                          std::chrono::milliseconds patience,
                                          const call_receiver& to) const
{
  transport::http_request request;
  request.method = open.method;
  request.path = "/call/" + open.path;
  request.headers = open.headers;
  request.headers.push_back({"Pollenyoke-Request-Id", to_string(open.id.request)});
  if (!open.key.empty())
  {
    request.headers.push_back({"Idempotency-Key", open.key});
  }
  request.body = open.body;
  call_head head;
  std::string body;
  bool too_large = false;
  auto client = make_client(m_backend, patience);
  const auto status = client.send_streaming(
      request,
      [&](int code, const transport::http_headers& headers)
      {
        head = to_head(code, headers);
        return true;
      },
      [&](std::string_view data)
      {
        too_large = body.size() + data.size() > max_service_answer_bytes;
        if (!too_large)
        {
          body.append(data);
        }
        return !too_large;
      });
  if (too_large)
  {
    return {call_result::protocol_error, {}, "the service's answer is too large"};
  }
  if (!status)
  {
    return status.error().code == error_code::unavailable
               ? not_run(protocol::refusal_reason::not_serving,
                         "the service refused the connection")
               : call_outcome{call_result::broken, {}, status.error().message};
  }
  return pass_on_whole(head, body, to);
}

void backend_caller::cancel(const request_id& id) const
{
  if (m_backend.kind != protocol::backend_kind::engine)
  {
    return;
  }
  auto client = make_client(m_backend, control_timeout);
  // A lost cancellation only costs the engine's work on a request that nobody waits for.
  (void)client.send({.method = "POST",
                     .path = "/cancel",
                     .headers = {{"Content-Type", "application/json"}},
                     .body = json{{"id", to_string(id)}}.dump()});
}

std::string backend_caller::boot() const
{
  auto client = make_client(m_backend, control_timeout);
  const auto answer = client.send({.path = "/status"});
  if (!answer || answer->status != 200)
  {
    return {};
  }
  const json status = json::parse(answer->body, nullptr, false);
  return status.is_object() && status.contains("boot") && status["boot"].is_string()
             ? status["boot"].get<std::string>()
             : std::string();
}

token_stream::token_stream(std::uint32_t resume_from) : m_first(resume_from), m_next(resume_from) {}

std::string token_stream::add(std::string_view data)
{
  std::string out;
  m_partial.append(data);
  std::size_t begin = 0;
  for (std::size_t end = m_partial.find('\n'); end != std::string::npos;
       end = m_partial.find('\n', begin))
  {
    add_line(std::string_view(m_partial).substr(begin, end - begin), out);
    begin = end + 1;
  }
  m_partial.erase(0, begin);
  m_broken = m_broken || m_partial.size() > max_line_bytes;
  return out;
}

void token_stream::add_line(std::string_view line, std::string& out)
{
  if (line.empty() || m_broken)
  {
    return;
  }
  const json parsed = json::parse(line, nullptr, false);
  if (m_complete || !parsed.is_object())
  {
    m_broken = true;
  }
  else if (parsed.contains("end"))
  {
    const json tokens = parsed.value("tokens", json());
    // Engines count the whole answer or only what they generated after resume_from.
    m_complete = tokens.is_number_unsigned() && (tokens == m_next || tokens == m_next - m_first);
    m_broken = !m_complete;
  }
  else if (parsed.value("i", json()) == m_next)
  {
    ++m_next;
    out.append(line);
    out.push_back('\n');
  }
  else
  {
    m_broken = true;
  }
}

bool token_stream::complete() const
{
  return m_complete;
}

bool token_stream::broken() const
{
  return m_broken;
}

} // namespace pollenyoke::agent
