#include "LogFollower/LogClient.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "Transport/HttpClient.h"

namespace pollenyoke::log_follower
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

// A long poll must end well before the read timeout, otherwise a quiet stream looks like a dead
// server.
constexpr milliseconds longest_wait{2000};
constexpr milliseconds answer_timeout{5000};
constexpr milliseconds shortest_answer_timeout{50};
constexpr std::size_t page_records = 512;
constexpr milliseconds first_backoff{50};
constexpr milliseconds longest_backoff{1000};

std::string records_path(std::string_view stream)
{
  return "/streams/" + std::string(stream) + "/records";
}

bool has_id(const protocol::stream_record& record, std::string_view id)
{
  if (record.text.find(id) == std::string::npos)
  {
    return false;
  }
  const json parsed = json::parse(record.text, nullptr, false);
  return parsed.is_object() && parsed.contains("id") && parsed["id"] == json(id);
}

result<log_page> parse_page(const std::string& text, log_offset from)
{
  try
  {
    const json body = json::parse(text);
    log_page page{log_offset{body.at("first").get<std::uint64_t>()},
                  log_offset{body.at("next").get<std::uint64_t>()},
                  {}};
    log_offset last{from.value - 1};
    for (const json& entry : body.at("records"))
    {
      protocol::stream_record record{log_offset{entry.at("offset").get<std::uint64_t>()},
                                     entry.at("time_ms").get<std::uint64_t>(),
                                     entry.at("record").dump()};
      if (record.offset <= last)
      {
        return fail(error_code::unavailable, "log: records out of order");
      }
      last = record.offset;
      page.records.push_back(std::move(record));
    }
    return page;
  }
  catch (const json::exception& e)
  {
    return fail(error_code::unavailable, std::string("log: malformed answer: ") + e.what());
  }
}

} // namespace

class log_client::implementation
{
public:
  explicit implementation(const transport::endpoint& to)
      : server(to), reader(to, {.read_timeout = answer_timeout})
  {
  }

  result<protocol::stream_record> append(std::string_view stream, std::string_view text,
                                         milliseconds timeout);
  result<log_page> read(std::string_view stream, log_offset from, std::size_t max,
                        milliseconds wait);
  result<std::optional<protocol::stream_record>> find(std::string_view stream, std::string_view id,
                                                      log_offset& from);

  void answered()
  {
    last_answer = clock::now().time_since_epoch().count();
  }

  const transport::endpoint server;
  transport::http_client reader;
  std::atomic<clock::rep> last_answer{clock::now().time_since_epoch().count()};
};

result<protocol::stream_record> log_client::implementation::append(std::string_view stream,
                                                                   std::string_view text,
                                                                   milliseconds timeout)
{
  // A client per append: a request on a reused connection can be sent twice by the HTTP library.
  transport::http_client client(server, {.connect_timeout = std::min(timeout, milliseconds(1000)),
                                         .read_timeout = timeout,
                                         .write_timeout = timeout,
                                         .keep_alive = false});
  const auto answer = client.send({.method = "POST",
                                   .path = records_path(stream),
                                   .headers = {{"Content-Type", "application/json"}},
                                   .body = std::string(text)});
  if (!answer)
  {
    return tl::unexpected(answer.error());
  }
  const std::string status = "log: append answered with status " + std::to_string(answer->status);
  if (answer->status == 429 || answer->status == 503)
  {
    return fail(error_code::unavailable, status);
  }
  if (answer->status >= 400 && answer->status < 500)
  {
    return fail(error_code::invalid_argument, status);
  }
  const json body = json::parse(answer->body, nullptr, false);
  if (answer->status / 100 != 2 || !body.is_object() || !body.contains("offset") ||
      !body["offset"].is_number_unsigned())
  {
    return fail(error_code::closed, status);
  }
  answered();
  const json time = body.value("time_ms", json());
  return protocol::stream_record{log_offset{body["offset"].get<std::uint64_t>()},
                                 time.is_number_unsigned() ? time.get<std::uint64_t>() : 0,
                                 std::string(text)};
}

result<log_page> log_client::implementation::read(std::string_view stream, log_offset from,
                                                  std::size_t max, milliseconds wait)
{
  const log_offset start{std::max<std::uint64_t>(1, from.value)};
  const auto answer =
      reader.send({.path = records_path(stream),
                   .query = {{"from", std::to_string(start.value)},
                             {"max", std::to_string(max)},
                             {"wait_ms", std::to_string(std::min(wait, longest_wait).count())}}});
  if (!answer)
  {
    return fail(error_code::unavailable, answer.error().message);
  }
  if (answer->status == 410)
  {
    const json body = json::parse(answer->body, nullptr, false);
    if (body.is_object() && body.contains("first") && body["first"].is_number_unsigned())
    {
      answered();
      return fail(error_code::expired, std::to_string(body["first"].get<std::uint64_t>()));
    }
  }
  if (answer->status != 200)
  {
    return fail(error_code::unavailable,
                "log: read answered with status " + std::to_string(answer->status));
  }
  auto page = parse_page(answer->body, start);
  if (page)
  {
    answered();
  }
  return page;
}

/// Looks for a record from `from` to the end of the stream and moves `from` to that end. Errors:
/// `expired` (and `from` moves to the oldest offset), `unavailable`.
result<std::optional<protocol::stream_record>>
log_client::implementation::find(std::string_view stream, std::string_view id, log_offset& from)
{
  while (true)
  {
    auto page = read(stream, from, page_records, milliseconds(0));
    if (!page)
    {
      if (page.error().code == error_code::expired)
      {
        from.value = std::max<std::uint64_t>(from.value, std::stoull(page.error().message));
      }
      return tl::unexpected(page.error());
    }
    for (protocol::stream_record& record : page->records)
    {
      if (has_id(record, id))
      {
        return std::optional(std::move(record));
      }
      from.value = record.offset.value + 1;
    }
    if (page->records.empty())
    {
      return std::optional<protocol::stream_record>();
    }
  }
}

log_client::log_client(const transport::endpoint& server)
    : m_impl(std::make_unique<implementation>(server))
{
}

log_client::~log_client() = default;

result<protocol::stream_record> log_client::append(std::string_view stream,
                                                   std::string_view record_text)
{
  return m_impl->append(stream, record_text, answer_timeout);
}

result<protocol::stream_record> log_client::append_once(std::string_view stream,
                                                        std::string_view id,
                                                        std::string_view record_text,
                                                        log_offset before, milliseconds patience)
{
  const auto deadline = clock::now() + patience;
  const auto remaining = [&]
  {
    return std::chrono::duration_cast<milliseconds>(deadline - clock::now());
  };
  log_offset scan_from{before.value + 1};
  // True after an attempt whose answer was lost. From then on only reading tells what happened: the
  // lost attempt can take effect late, and of two copies the first counts.
  bool unresolved = false;
  // False while an attempt is unresolved and its record could be in a part that was not read.
  bool may_append = true;
  milliseconds backoff = first_backoff;
  error last;
  do
  {
    if (may_append)
    {
      auto appended = m_impl->append(
          stream, record_text, std::clamp(remaining(), shortest_answer_timeout, answer_timeout));
      if (appended && !unresolved)
      {
        return appended;
      }
      if (!appended)
      {
        last = appended.error();
        unresolved = unresolved || last.code == error_code::closed;
        if (!unresolved && last.code != error_code::unavailable)
        {
          return appended;
        }
      }
    }
    if (unresolved)
    {
      auto found = m_impl->find(stream, id, scan_from);
      if (found && *found)
      {
        return std::move(**found);
      }
      may_append = found.has_value();
      if (!found && found.error().code == error_code::expired)
      {
        return fail(error_code::timeout, "log: the answer to the append was lost and the records "
                                         "that could show it have expired");
      }
    }
    std::this_thread::sleep_for(std::clamp(remaining(), milliseconds(0), backoff));
    backoff = std::min(backoff * 2, longest_backoff);
  } while (remaining() > milliseconds(0));
  return unresolved ? fail(error_code::timeout, "log: unknown whether the record was appended")
                    : fail(error_code::unavailable, last.message);
}

result<log_page> log_client::read(std::string_view stream, log_offset from, std::size_t max,
                                  milliseconds wait)
{
  return m_impl->read(stream, from, max, wait);
}

milliseconds log_client::age() const
{
  const auto since = clock::now().time_since_epoch() - clock::duration(m_impl->last_answer.load());
  return std::chrono::duration_cast<milliseconds>(since);
}

} // namespace pollenyoke::log_follower
