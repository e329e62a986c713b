#include "AsyncIo/HttpParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace pollenyoke::async_io
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

constexpr int min_status = 100;
constexpr int max_status = 599;

/// Collects what Beast's parser reports. Fields of trailers are dropped.
template <bool is_request>
class collecting_parser final : public http::basic_parser<is_request>
{
public:
  message_head m_head;
  std::string m_body;
  bool m_head_done = false;

private:
  void on_request_impl(http::verb /*method*/, beast::string_view method, beast::string_view target,
                       int version, beast::error_code& /*failure*/) override
  {
    m_head.method.assign(method.data(), method.size());
    m_head.target.assign(target.data(), target.size());
    m_head.version = version;
  }

  void on_response_impl(int code, beast::string_view reason, int version,
                        beast::error_code& failure) override
  {
    // Three digits are not yet a status.
    if (code < min_status || code > max_status)
    {
      failure = http::error::bad_status;
      return;
    }
    m_head.status = static_cast<unsigned>(code);
    m_head.reason.assign(reason.data(), reason.size());
    m_head.version = version;
  }

  void on_field_impl(http::field /*name*/, beast::string_view name, beast::string_view value,
                     beast::error_code& /*failure*/) override
  {
    if (!m_head_done)
    {
      m_head.fields.push_back(
          {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
    }
  }

  void on_header_impl(beast::error_code& failure) override
  {
    m_head_done = true;
    // Any other coding would leave the end of the body to interpretation.
    const auto* coding = m_head.find("Transfer-Encoding");
    if (coding != nullptr &&
        (!equals_ignoring_case(*coding, "chunked") || m_head.count("Transfer-Encoding") > 1))
    {
      failure = http::error::bad_transfer_encoding;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         beast::error_code& /*failure*/) override
  {
  }

  std::size_t on_body_impl(beast::string_view body, beast::error_code& /*failure*/) override
  {
    m_body.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                            beast::error_code& /*failure*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view body,
                                 beast::error_code& /*failure*/) override
  {
    m_body.append(body.data(), body.size());
    return body.size();
  }

  void on_finish_impl(beast::error_code& /*failure*/) override {}
};

parse_failure classify(const beast::error_code& code)
{
  if (code == http::error::header_limit)
  {
    return parse_failure::head_too_large;
  }
  if (code == http::error::body_limit)
  {
    return parse_failure::body_too_large;
  }
  return parse_failure::malformed;
}

} // namespace

struct http_parser::state
{
  virtual ~state() = default;
  virtual std::size_t put(std::string_view data, beast::error_code& code) = 0;
  virtual void put_end(beast::error_code& code) = 0;
  virtual const message_head& head() const = 0;
  virtual std::string& body() = 0;
  virtual bool has_head() const = 0;
  virtual bool is_done() const = 0;
  virtual bool keep_alive() const = 0;
  virtual void skip_body() = 0;

  state() = default;
  state(const state&) = delete;
  state& operator=(const state&) = delete;
  state(state&&) = delete;
  state& operator=(state&&) = delete;

  std::string pending;
  parse_failure failure = parse_failure::none;
  bool started = false;
  std::uint32_t head_limit = 0;
};

namespace
{

template <bool is_request, typename Base>
struct typed_state final : Base
{
  explicit typed_state(const parse_limits& limits)
  {
    parser.header_limit(limits.head_bytes);
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
    this->head_limit = limits.head_bytes;
  }
  std::size_t put(std::string_view data, beast::error_code& code) override
  {
    return parser.put(boost::asio::buffer(data.data(), data.size()), code);
  }
  void put_end(beast::error_code& code) override
  {
    parser.put_eof(code);
  }
  const message_head& head() const override
  {
    return parser.m_head;
  }
  std::string& body() override
  {
    return parser.m_body;
  }
  bool has_head() const override
  {
    return parser.m_head_done;
  }
  bool is_done() const override
  {
    return parser.is_done();
  }
  bool keep_alive() const override
  {
    return parser.keep_alive();
  }

  void skip_body() override
  {
    parser.skip(true);
  }

  collecting_parser<is_request> parser;
};

} // namespace

http_parser::http_parser(message_kind kind, parse_limits limits)
{
  if (kind == message_kind::request)
  {
    m_state = std::make_unique<typed_state<true, state>>(limits);
  }
  else
  {
    m_state = std::make_unique<typed_state<false, state>>(limits);
  }
}

http_parser::~http_parser() = default;
http_parser::http_parser(http_parser&&) noexcept = default;
http_parser& http_parser::operator=(http_parser&&) noexcept = default;

void http_parser::expect_no_body()
{
  m_state->skip_body();
}

void http_parser::feed(std::string_view data)
{
  m_state->started = m_state->started || !data.empty();
  m_state->pending.append(data);
  while (!m_state->pending.empty() && !is_complete() && failure() == parse_failure::none)
  {
    beast::error_code code;
    const std::size_t consumed = m_state->put(m_state->pending, code);
    m_state->pending.erase(0, consumed);
    if (code == http::error::need_more)
    {
      // Behind the head, only the size of a chunk or the trailer stays unparsed.
      if (m_state->pending.size() > m_state->head_limit)
      {
        m_state->failure = has_head() ? parse_failure::malformed : parse_failure::head_too_large;
      }
      return;
    }
    if (code)
    {
      m_state->failure = classify(code);
      return;
    }
    if (consumed == 0)
    {
      return;
    }
  }
}

void http_parser::feed_end()
{
  if (is_complete() || failure() != parse_failure::none)
  {
    return;
  }
  beast::error_code code;
  m_state->put_end(code);
  if (code || !m_state->is_done())
  {
    m_state->failure = parse_failure::malformed;
  }
}

bool http_parser::has_head() const
{
  return m_state->has_head() && m_state->failure == parse_failure::none;
}

bool http_parser::is_complete() const
{
  return m_state->is_done() && m_state->failure == parse_failure::none;
}

parse_failure http_parser::failure() const
{
  return m_state->failure;
}

bool http_parser::has_started() const
{
  return m_state->started;
}

const message_head& http_parser::head() const
{
  return m_state->head();
}

std::string http_parser::take_body()
{
  std::string body;
  body.swap(m_state->body());
  return body;
}

bool http_parser::keep_alive() const
{
  return m_state->keep_alive();
}

std::string http_parser::take_surplus()
{
  return std::move(m_state->pending);
}

std::size_t http_parser::held_bytes() const
{
  return m_state->pending.capacity() + m_state->body().capacity();
}

std::size_t http_parser::surplus_bytes() const
{
  return m_state->pending.size();
}

} // namespace pollenyoke::async_io
