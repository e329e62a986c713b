#include "Emulator/WeightSource.h"

#include <random>

#include "Common/Digest.h"

namespace pollenyoke::emulator
{

namespace
{

// An older version is no longer offered.
constexpr std::uint64_t kept_versions = 2;

} // namespace

std::string make_piece(std::uint64_t version, std::uint32_t number, std::uint32_t bytes)
{
  std::mt19937_64 random(version << 32U | number);
  std::string out;
  out.reserve(bytes);
  while (out.size() < bytes)
  {
    std::uint64_t word = random();
    for (unsigned i = 0; i < sizeof(word) && out.size() < bytes; ++i)
    {
      out.push_back(static_cast<char>(word & 0xffU));
      word >>= 8U;
    }
  }
  return out;
}

std::pair<unsigned, unsigned> pieces_of_layers(const engine_model& engines,
                                               const protocol::layer_range& layers)
{
  const unsigned first = layers.from * engines.pieces / engines.layers;
  const unsigned last = (layers.to * engines.pieces + engines.layers - 1) / engines.layers;
  return {first, last};
}

weight_origin::weight_origin(async_io::event_loop& loop, std::string model,
                             const engine_model& engines, double bytes_per_s)
    : m_model(std::move(model)), m_engines(engines), m_bytes_per_s(bytes_per_s),
      m_server(loop, [this](const http_request& request, const std::shared_ptr<http_reply>& reply)
               { handle(request, reply); }),
      m_later(loop)
{
}

result<void> weight_origin::listen(const transport::endpoint& address)
{
  return m_server.listen(address);
}

void weight_origin::set_newest(std::uint64_t version)
{
  m_newest = version;
}

void weight_origin::set_fault(origin_fault fault)
{
  m_fault = fault;
}

void weight_origin::set_connection_fault(connection_fault fault)
{
  m_server.set_fault(fault);
}

void weight_origin::handle(const http_request& request, const std::shared_ptr<http_reply>& reply)
{
  const auto path = async_io::path_of(request.head.target);
  std::uint64_t version = m_newest;
  (void)async_io::parse_number(async_io::query_parameter(request.head.target, "version"), version);
  if (version + kept_versions <= m_newest)
  {
    reply->send(410, {}, {});
    return;
  }
  if (version > m_newest)
  {
    reply->send(404, {}, {});
    return;
  }
  if (path == "/v1/manifest/" + m_model)
  {
    protocol::piece_manifest manifest{m_model, version, m_engines.piece_bytes, {}};
    for (std::uint32_t number = 0; number < m_engines.pieces; ++number)
    {
      manifest.digests.push_back(
          to_hex(sha256(make_piece(version, number, m_engines.piece_bytes))));
    }
    reply->send(200, "Content-Type: application/json\r\n",
                encode_manifest(manifest, m_engines.layers));
    return;
  }
  std::uint64_t number = 0;
  if (path == "/v1/piece/" + m_model &&
      async_io::parse_number(async_io::query_parameter(request.head.target, "num"), number) &&
      number < m_engines.pieces)
  {
    send_piece(version, number, reply);
    return;
  }
  reply->send(404, {}, {});
}

void weight_origin::send_piece(std::uint64_t version, std::uint64_t number,
                               const std::shared_ptr<http_reply>& reply)
{
  const auto now = std::chrono::steady_clock::now();
  const auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(m_engines.piece_bytes / m_bytes_per_s));
  m_link_free = std::max(m_link_free, now) + duration;
  m_later.after(
      m_link_free - now,
      [this, version, number, reply]
      {
        std::string piece =
            make_piece(version, static_cast<std::uint32_t>(number), m_engines.piece_bytes);
        m_sent_bytes += piece.size();
        if (m_fault == origin_fault::cuts)
        {
          reply->send_raw("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(piece.size()) +
                          "\r\n\r\n" + piece.substr(0, piece.size() / 2));
          reply->reset();
          return;
        }
        if (m_fault == origin_fault::corrupts)
        {
          piece[piece.size() / 2] = static_cast<char>(piece[piece.size() / 2] ^ 1);
        }
        reply->send(200, {}, piece);
      });
}

} // namespace pollenyoke::emulator
