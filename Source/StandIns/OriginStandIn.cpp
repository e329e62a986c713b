#include "StandIns/OriginStandIn.h"

#include <algorithm>

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

namespace
{

// Small pieces keep concurrent readers interleaved on a slow link.
constexpr std::size_t piece_bytes = 8192;
constexpr std::string_view manifests_path = "/manifests/";
constexpr std::string_view chunks_path = "/chunks/";

} // namespace

result<std::unique_ptr<origin_stand_in>> origin_stand_in::start(const transport::endpoint& at)
{
  std::unique_ptr<origin_stand_in> made(new origin_stand_in);
  const auto listening = made->listen(at, 512);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

origin_stand_in::~origin_stand_in()
{
  close();
}

protocol::manifest origin_stand_in::add_weights(const weights_recipe& recipe)
{
  return m_weights.add(recipe);
}

json origin_stand_in::counters() const
{
  const std::lock_guard lock(m_mutex);
  std::uint64_t most = 0;
  for (const auto& [id, reads] : m_reads_by_chunk)
  {
    most = std::max(most, reads);
  }
  return {{"bytes", m_chunk_bytes + m_manifest_bytes},
          {"manifest_bytes", m_manifest_bytes},
          {"chunks", m_chunks},
          {"manifests", m_manifests},
          {"distinct_chunks", m_reads_by_chunk.size()},
          {"most_reads_of_a_chunk", most}};
}

void origin_stand_in::read_faults(fault_reader& from)
{
  from.read("down", m_down);
  from.read("busy", m_busy);
  from.read("corrupt", m_corrupt);
  if (from.read("rate_bytes_per_s", m_rate))
  {
    m_link.reset();
    if (m_rate > 0)
    {
      m_link.emplace(m_rate, m_rate / 50, clock::now());
    }
  }
}

http_response origin_stand_in::handle(const http_request& request)
{
  if (request.path == "/standin/weights" && request.method == "POST")
  {
    return add_from_request(request);
  }
  {
    const std::lock_guard lock(m_mutex);
    if (m_down)
    {
      return transport::error_response(503, "origin is down");
    }
    if (m_busy)
    {
      return transport::error_response(429, "too many requests");
    }
  }
  const std::string_view path = request.path;
  if (path.starts_with(manifests_path))
  {
    const auto id = parse_digest(path.substr(manifests_path.size()));
    auto text = id ? m_weights.manifest_text(*id) : std::nullopt;
    if (text)
    {
      const std::lock_guard lock(m_mutex);
      ++m_manifests;
    }
    return text ? send_paced(std::move(*text), m_manifest_bytes)
                : transport::error_response(404, "no such manifest");
  }
  if (path.starts_with(chunks_path))
  {
    const auto id = parse_digest(path.substr(chunks_path.size()));
    return id ? answer_chunk(*id) : transport::error_response(404, "no such chunk");
  }
  return transport::error_response(404, "no such path");
}

http_response origin_stand_in::answer_chunk(const digest& id)
{
  auto data = m_weights.chunk(id);
  if (!data)
  {
    return transport::error_response(404, "no such chunk");
  }
  {
    const std::lock_guard lock(m_mutex);
    ++m_chunks;
    ++m_reads_by_chunk[to_hex(id)];
    if (m_corrupt > 0)
    {
      --m_corrupt;
      data->back() = static_cast<char>(data->back() ^ 1);
    }
  }
  return send_paced(std::move(*data), m_chunk_bytes);
}

http_response origin_stand_in::add_from_request(const http_request& request)
{
  const json body = json::parse(request.body, nullptr, false);
  weights_recipe recipe;
  fault_reader reader(body);
  reader.read("seed", recipe.seed);
  reader.read("bytes", recipe.bytes);
  reader.read("chunk_bytes", recipe.chunk_bytes);
  reader.read("share_with", recipe.share_with);
  reader.read("share_fraction", recipe.share_fraction);
  if (!body.is_object() || !reader.finish() || recipe.bytes == 0 || recipe.chunk_bytes == 0 ||
      recipe.chunk_bytes > protocol::max_chunk_bytes)
  {
    return transport::error_response(400, "bad weights recipe");
  }
  const protocol::manifest made = add_weights(recipe);
  return json_response({{"manifest", to_hex(made.id)},
                        {"content", to_hex(made.content)},
                        {"bytes", made.total_bytes},
                        {"chunks", made.chunks.size()}});
}

http_response origin_stand_in::send_paced(std::string data, std::uint64_t& sent)
{
  http_response response;
  response.content_type = "application/octet-stream";
  response.stream =
      [this, &sent, data = std::make_shared<std::string>(std::move(data))](const auto& write)
  {
    return write_paced(*data, sent, write);
  };
  return response;
}

bool origin_stand_in::write_paced(const std::string& data, std::uint64_t& sent,
                                  const transport::body_writer& write)
{
  for (std::size_t at = 0; at < data.size(); at += piece_bytes)
  {
    const std::string_view piece = std::string_view(data).substr(at, piece_bytes);
    const auto wait = wait_for_link(piece.size());
    if ((wait.count() > 0 && !pause(wait)) || m_stopping || !write(piece))
    {
      return false;
    }
    const std::lock_guard lock(m_mutex);
    sent += piece.size();
  }
  return true;
}

std::chrono::nanoseconds origin_stand_in::wait_for_link(std::size_t bytes)
{
  const std::lock_guard lock(m_mutex);
  return m_link ? m_link->reserve(static_cast<double>(bytes), clock::now())
                : std::chrono::nanoseconds(0);
}

} // namespace pollenyoke::stand_ins
