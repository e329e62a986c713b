#pragma once

#include <memory>
#include <string>

#include "Emulator/DelayedCalls.h"
#include "Emulator/HttpServer.h"
#include "Emulator/PlatformMessages.h"

namespace pollenyoke::emulator
{

/// Weights that are computed from their version and number.
std::string make_piece(std::uint64_t version, std::uint32_t number, std::uint32_t bytes);

/// Numbers of the pieces that a range of layers needs, `second` exclusive.
std::pair<unsigned, unsigned> pieces_of_layers(const engine_model& engines,
                                               const protocol::layer_range& layers);

enum class origin_fault
{
  none,
  /// Pieces arrive spoilt.
  corrupts,
  /// Pieces are cut off.
  cuts,
};

/// The origin of the weights: manifests and pieces over a slow link.
class weight_origin
{
public:
  weight_origin(async_io::event_loop& loop, std::string model, const engine_model& engines,
                double bytes_per_s);

  result<void> listen(const transport::endpoint& address);
  void set_newest(std::uint64_t version);
  void set_fault(origin_fault fault);
  void set_connection_fault(connection_fault fault);
  std::uint64_t sent_bytes() const
  {
    return m_sent_bytes;
  }

private:
  void handle(const http_request& request, const std::shared_ptr<http_reply>& reply);
  void send_piece(std::uint64_t version, std::uint64_t number,
                  const std::shared_ptr<http_reply>& reply);

  std::string m_model;
  engine_model m_engines;
  double m_bytes_per_s;
  http_server m_server;
  delayed_calls m_later;
  std::uint64_t m_newest = 1;
  origin_fault m_fault = origin_fault::none;
  std::chrono::steady_clock::time_point m_link_free{};
  std::uint64_t m_sent_bytes = 0;
};

} // namespace pollenyoke::emulator
