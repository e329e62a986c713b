#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "AsyncIo/EventLoop.h"
#include "AsyncIo/UdpSocket.h"
#include "Emulator/Deployment.h"
#include "StandIns/RelayLoop.h"

namespace pollenyoke::emulator
{

/// Carries what the processes of the system send each other. A process reaches all others at its
/// own peer port, so that each pair of machines has an address of its own; datagrams keep the
/// address of their sender.
class peer_network
{
public:
  explicit peer_network(async_io::event_loop& loop);

  /// Error `unavailable`: an address is taken.
  result<void> connect(std::span<const machine> machines);
  /// The connections that processes have opened to each other go silent for good; new ones work.
  void silence_open_connections();

private:
  /// From one machine to another.
  using direction = std::pair<std::string, std::string>;

  result<void> carry_datagrams(const machine& from, const machine& to);

  async_io::event_loop& m_loop;
  std::vector<std::unique_ptr<stand_ins::relay_loop>> m_relays;
  /// Where datagrams of this direction arrive, and those of the other one leave.
  std::map<direction, std::unique_ptr<async_io::udp_socket>> m_sockets;
};

} // namespace pollenyoke::emulator
