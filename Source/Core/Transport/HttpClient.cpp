#include "Transport/HttpClient.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <httplib.h>

namespace pollenyoke::transport
{

std::string_view find_header(const http_headers& headers, std::string_view name)
{
  const auto same = [](char a, char b)
  {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  for (const http_header& header : headers)
  {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), same))
    {
      return header.value;
    }
  }
  return {};
}

http_response error_response(int status, std::string_view message)
{
  std::string body = R"({"error":")";
  for (const char c : message)
  {
    const bool plain = c != '"' && c != '\\' && static_cast<unsigned char>(c) >= 0x20;
    body.push_back(plain ? c : '\'');
  }
  body += "\"}";
  http_response response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

namespace
{

// Interim answers are skipped by the library.
constexpr int min_final_status = 200;
constexpr int max_status = 599;

std::string encode_target(const http_request& request)
{
  if (request.query.empty())
  {
    return request.path;
  }
  httplib::Params params;
  for (const http_header& parameter : request.query)
  {
    params.emplace(parameter.name, parameter.value);
  }
  return httplib::append_query_params(request.path, params);
}

httplib::Request to_library(const http_request& request)
{
  httplib::Request out;
  out.method = request.method;
  out.path = encode_target(request);
  out.body = request.body;
  for (const http_header& header : request.headers)
  {
    out.headers.emplace(header.name, header.value);
  }
  return out;
}

http_headers from_library(const httplib::Headers& headers)
{
  http_headers out;
  for (const auto& [name, value] : headers)
  {
    out.push_back({name, value});
  }
  return out;
}

error to_error(httplib::Error code)
{
  const bool not_sent = code == httplib::Error::Connection || code == httplib::Error::BindIPAddress;
  return error{not_sent ? error_code::unavailable : error_code::closed,
               "http: " + httplib::to_string(code)};
}

} // namespace

class http_client::implementation
{
public:
  implementation(endpoint server, http_client_options options)
      : m_server(std::move(server)), m_options(options)
  {
  }

  std::unique_ptr<httplib::Client> take()
  {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_idle.empty())
      {
        auto client = std::move(m_idle.back());
        m_idle.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<httplib::Client>(m_server.ip, m_server.port);
    client->set_connection_timeout(m_options.connect_timeout);
    client->set_read_timeout(m_options.read_timeout);
    client->set_write_timeout(m_options.write_timeout);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(m_options.keep_alive);
    return client;
  }

  void give_back(std::unique_ptr<httplib::Client> client)
  {
    if (!m_options.keep_alive)
    {
      return;
    }
    const std::lock_guard lock(m_mutex);
    m_idle.push_back(std::move(client));
  }

private:
  endpoint m_server;
  http_client_options m_options;
  std::mutex m_mutex;
  std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

http_client::http_client(endpoint server, http_client_options options)
    : m_impl(std::make_unique<implementation>(std::move(server), options))
{
}

http_client::~http_client() = default;

result<http_response> http_client::send(const http_request& request)
{
  http_response response;
  response.content_type.clear();
  const auto status = send_streaming(
      request,
      [&](int, const http_headers& headers)
      {
        response.headers = headers;
        response.content_type = find_header(headers, "Content-Type");
        return true;
      },
      [&](std::string_view data)
      {
        response.body.append(data);
        return true;
      });
  if (!status)
  {
    return tl::unexpected(status.error());
  }
  response.status = *status;
  return response;
}

result<int> http_client::send_streaming(const http_request& request, const head_receiver& on_head,
                                        const body_receiver& on_body)
{
  auto client = m_impl->take();
  httplib::Request out = to_library(request);
  bool valid = true;
  out.response_handler = [&](const httplib::Response& head)
  {
    valid = head.status >= min_final_status && head.status <= max_status;
    return valid && on_head(head.status, from_library(head.headers));
  };
  out.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
  {
    return on_body(std::string_view(data, size));
  };
  httplib::Response answer;
  httplib::Error code = httplib::Error::Success;
  const bool sent = client->send(out, answer, code);
  if (!valid)
  {
    return fail(error_code::malformed, "answer has an impossible status");
  }
  if (!sent)
  {
    return tl::unexpected(to_error(code));
  }
  m_impl->give_back(std::move(client));
  return answer.status;
}

} // namespace pollenyoke::transport
