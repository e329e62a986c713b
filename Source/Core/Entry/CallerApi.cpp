#include "Entry/CallerApi.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Rendezvous.h"
#include "Entry/RequestSession.h"
#include "Protocol/ReleaseNote.h"

namespace pollenyoke::entry
{

namespace
{

using nlohmann::json;
using routing::outcome_kind;
using transport::error_response;
using transport::find_header;
using transport::http_response;

constexpr std::size_t max_team_length = 64;
constexpr std::size_t max_key_length = 256;
constexpr std::size_t max_path_length = 2048;
// A request is sent to the agent in one frame, including its headers.
constexpr std::size_t max_body_bytes = std::size_t{1536} * 1024;
constexpr std::size_t max_header_bytes = std::size_t{32} * 1024;
constexpr std::int64_t max_deadline_ms = 3600000;

constexpr std::string_view model_prefix = "/v1/models/";
constexpr std::string_view generate_suffix = "/generate";
constexpr std::string_view service_prefix = "/v1/services/";

http_response rejected_response(int status, std::string_view message)
{
  http_response response = error_response(status, message);
  response.headers.push_back({"Pollenyoke-Outcome", "rejected"});
  return response;
}

http_response too_many_requests()
{
  return failure_response({.kind = outcome_kind::not_run,
                           .reason = protocol::refusal_reason::overloaded,
                           .retry_after_ms = 1000,
                           .detail = "the entry has too many requests in progress"});
}

// Hop-by-hop headers and headers that the entry sets itself are not forwarded.
bool is_end_to_end(const transport::http_header& header)
{
  static const transport::http_headers excluded = {{"Host", "x"},
                                                   {"Connection", "x"},
                                                   {"Content-Length", "x"},
                                                   {"Keep-Alive", "x"},
                                                   {"Transfer-Encoding", "x"},
                                                   {"TE", "x"},
                                                   {"Upgrade", "x"},
                                                   {"Expect", "x"},
                                                   {"Idempotency-Key", "x"},
                                                   {"Accept-Encoding", "x"},
                                                   {"Proxy-Connection", "x"},
                                                   {"REMOTE_ADDR", "x"},
                                                   {"REMOTE_PORT", "x"},
                                                   {"LOCAL_ADDR", "x"},
                                                   {"LOCAL_PORT", "x"},
                                                   {"Trailer", "x"},
                                                   {"Pollenyoke-Request-Id", "x"}};
  return find_header(excluded, header.name).empty();
}

result<std::chrono::milliseconds> parse_deadline(std::string_view text,
                                                 std::chrono::milliseconds fallback)
{
  if (text.empty())
  {
    return fallback;
  }
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size() || value < 1 || value > max_deadline_ms)
  {
    return fail(error_code::invalid_argument, "Pollenyoke-Deadline-Ms must be 1 to 3600000");
  }
  return std::chrono::milliseconds(value);
}

result<protocol::request_priority> parse_priority(std::string_view text)
{
  if (text.empty() || text == "interactive")
  {
    return protocol::request_priority::interactive;
  }
  if (text == "batch")
  {
    return protocol::request_priority::batch;
  }
  return fail(error_code::invalid_argument, "Pollenyoke-Priority must be interactive or batch");
}

std::string encode_query(const transport::http_headers& query)
{
  constexpr std::string_view digits = "0123456789ABCDEF";
  const auto encode = [&](const std::string& text)
  {
    std::string out;
    for (const char c : text)
    {
      const auto byte = static_cast<unsigned char>(c);
      if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
      {
        out.push_back(c);
      }
      else
      {
        out += {'%', digits[byte >> 4U], digits[byte & 15U]};
      }
    }
    return out;
  };
  std::string out;
  for (const transport::http_header& parameter : query)
  {
    out += (out.empty() ? "?" : "&") + encode(parameter.name) + "=" + encode(parameter.value);
  }
  return out;
}

// A path with dot segments could reach resources of the backend server outside the prefix that is
// open to callers.
bool is_safe_path(std::string_view path)
{
  return path.find("..") == std::string_view::npos &&
         std::all_of(path.begin(), path.end(),
                     [](char c)
                     { return c > 0x20 && c != 0x7f && c != '?' && c != '#' && c != '\\'; });
}

} // namespace

caller_api::caller_api(const protocol::settings& config, caller_environment environment,
                       forwarder& requests)
    : m_settings(config), m_environment(std::move(environment)), m_forwarder(requests)
{
}

http_response caller_api::handle(const transport::http_request& request)
{
  const std::string_view path = request.path;
  if (path == "/v1/entries")
  {
    return request.method == "GET" ? entries() : rejected_response(405, "use GET");
  }
  if (path == "/v1/keys")
  {
    return request.method == "POST" ? mint_key(request) : rejected_response(405, "use POST");
  }
  if (path.starts_with(model_prefix) && path.ends_with(generate_suffix) &&
      path.size() > model_prefix.size() + generate_suffix.size())
  {
    const auto model = path.substr(model_prefix.size(),
                                   path.size() - model_prefix.size() - generate_suffix.size());
    return request.method == "POST" ? generate(request, model) : rejected_response(405, "use POST");
  }
  if (path.starts_with(service_prefix))
  {
    return call_service(request, path.substr(service_prefix.size()));
  }
  return rejected_response(404, "no such resource");
}

http_response caller_api::entries() const
{
  auto all = other_entries(*m_environment.view(), m_settings.host);
  if (!m_environment.is_leaving())
  {
    all.push_back({.host = m_settings.host.value,
                   .region = m_settings.region,
                   .failure_domain = m_settings.failure_domain,
                   .http = m_environment.http(),
                   .in_flight = m_forwarder.in_flight(),
                   .capacity = m_settings.requests.max_in_flight});
  }
  const auto ordered =
      routing::order_entries(std::move(all), {.region = m_settings.region,
                                              .failure_domain = m_settings.failure_domain,
                                              .draw = make_request_id().low});
  json list = json::array();
  for (const routing::entry_address& entry : ordered)
  {
    list.push_back({{"host", entry.host},
                    {"address", to_string(entry.http)},
                    {"region", entry.region},
                    {"failure_domain", entry.failure_domain}});
  }
  http_response response;
  response.body = json{{"entries", std::move(list)},
                       {"lifetime_ms", m_settings.requests.entry_lifetime.count()}}
                      .dump();
  return response;
}

result<forward_request>
caller_api::make_forward_request(const transport::http_request& request) const
{
  const auto priority = parse_priority(find_header(request.headers, "Pollenyoke-Priority"));
  if (!priority)
  {
    return tl::unexpected(priority.error());
  }
  const auto deadline = parse_deadline(find_header(request.headers, "Pollenyoke-Deadline-Ms"),
                                       m_settings.requests.default_deadline);
  if (!deadline)
  {
    return tl::unexpected(deadline.error());
  }
  const std::string_view team = find_header(request.headers, "Pollenyoke-Team");
  if (team.size() > max_team_length)
  {
    return fail(error_code::invalid_argument, "Pollenyoke-Team is too long");
  }
  if (request.body.size() > max_body_bytes)
  {
    return fail(error_code::limit_exceeded, "the body is too large");
  }
  forward_request out;
  out.open.id.request = make_request_id();
  out.open.priority = *priority;
  out.open.team = team.empty() ? "default" : std::string(team);
  out.open.method = request.method;
  out.open.body = request.body;
  out.deadline = std::chrono::steady_clock::now() + *deadline;
  out.is_connected = request.is_connected;
  return out;
}

http_response caller_api::generate(const transport::http_request& request, std::string_view model)
{
  if (!protocol::is_valid_name(model))
  {
    return rejected_response(400, "not a model name");
  }
  auto forward = make_forward_request(request);
  if (!forward)
  {
    return rejected_response(forward.error().code == error_code::limit_exceeded ? 413 : 400,
                             forward.error().message);
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("prompt") || !body["prompt"].is_string())
  {
    return rejected_response(400, "the body must be a JSON object with a string prompt");
  }
  const std::string_view prefix =
      routing::affinity_prefix(body["prompt"].get_ref<const std::string&>());
  const auto view = m_environment.view();
  const auto state = m_environment.state();
  std::optional<std::string> version;
  if (body.contains("version"))
  {
    if (!body["version"].is_string())
    {
      return rejected_response(400, "version must be a string");
    }
    version = body["version"].get<std::string>();
  }
  else
  {
    version = choose_version(*state, *view, model, stable_hash(prefix));
  }
  if (!version && !is_known_model(*state, model))
  {
    return rejected_response(404, "no release of this model is in force");
  }
  if (!version)
  {
    return failure_response({.kind = outcome_kind::not_run,
                             .reason = protocol::refusal_reason::not_serving,
                             .retry_after_ms = 1000,
                             .detail = "no live agent serves the model"});
  }
  forward->open.model = model;
  forward->open.version = std::move(*version);
  forward->open.body_digest = sha256(std::string(model) + "\n" + request.body);
  forward->prefix = prefix;
  const auto session = m_forwarder.start(std::move(*forward));
  return session ? streaming_response(session) : too_many_requests();
}

http_response caller_api::call_service(const transport::http_request& request,
                                       std::string_view target)
{
  const std::size_t slash = target.find('/');
  const std::string_view service = target.substr(0, slash);
  std::string_view path = slash == std::string_view::npos ? "" : target.substr(slash + 1);
  while (path.starts_with('/'))
  {
    path.remove_prefix(1);
  }
  const std::string_view key = find_header(request.headers, "Idempotency-Key");
  if (!protocol::is_valid_name(service) || !is_safe_path(path) || path.size() > max_path_length ||
      key.size() > max_key_length)
  {
    return rejected_response(400, "not a valid service, path or key");
  }
  auto forward = make_forward_request(request);
  if (!forward)
  {
    return rejected_response(forward.error().code == error_code::limit_exceeded ? 413 : 400,
                             forward.error().message);
  }
  std::size_t header_bytes = 0;
  for (const transport::http_header& header : request.headers)
  {
    if (is_end_to_end(header))
    {
      header_bytes += header.name.size() + header.value.size();
      forward->open.headers.push_back(header);
    }
  }
  if (header_bytes > max_header_bytes)
  {
    return rejected_response(431, "the headers are too large");
  }
  forward->open.service = service;
  forward->open.idempotent = false;
  forward->open.key = key;
  forward->open.path = std::string(path) + encode_query(request.query);
  forward->open.body_digest = sha256(std::string(service) + "\n" + request.method + " " +
                                     forward->open.path + "\n" + request.body);
  const auto session = m_forwarder.start(std::move(*forward));
  return session ? buffered_response(session) : too_many_requests();
}

http_response caller_api::mint_key(const transport::http_request& request)
{
  const std::string_view service = find_header(request.query, "service");
  if (!protocol::is_valid_name(service))
  {
    return rejected_response(400, "the parameter service is required");
  }
  auto forward = make_forward_request(request);
  if (!forward)
  {
    return rejected_response(400, forward.error().message);
  }
  forward->open.service = service;
  forward->open.path = protocol::mint_key_path;
  forward->open.body.clear();
  const auto session = m_forwarder.start(std::move(*forward));
  return session ? buffered_response(session) : too_many_requests();
}

} // namespace pollenyoke::entry
