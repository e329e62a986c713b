#include "Emulator/PeerNetwork.h"

namespace pollenyoke::emulator
{

namespace
{

// Each relay has a thread.
constexpr std::size_t max_relays = 6;

} // namespace

peer_network::peer_network(async_io::event_loop& loop) : m_loop(loop) {}

result<void> peer_network::connect(std::span<const machine> machines)
{
  std::size_t next = 0;
  for (const machine& from : machines)
  {
    if (m_relays.size() < max_relays)
    {
      m_relays.push_back(std::make_unique<stand_ins::relay_loop>());
    }
    auto& relay = *m_relays[next++ % max_relays];
    for (const machine& to : machines)
    {
      if (from.name == to.name)
      {
        continue;
      }
      const auto route = relay.add_route(
          {.udp = false, .listen = {to.ip, from.peer_port}, .target = {to.ip, to.peer_port}});
      if (!route)
      {
        return tl::unexpected(route.error());
      }
      if (auto carried = carry_datagrams(from, to); !carried)
      {
        return carried;
      }
    }
  }
  return {};
}

result<void> peer_network::carry_datagrams(const machine& from, const machine& to)
{
  const direction back{to.name, from.name};
  auto& socket = m_sockets[{from.name, to.name}];
  socket = std::make_unique<async_io::udp_socket>(
      m_loop,
      [this, back, target = transport::endpoint{to.ip, to.peer_port}](
          std::string_view data, const transport::endpoint& /*sender*/)
      {
        if (const auto leaving = m_sockets.find(back); leaving != m_sockets.end())
        {
          leaving->second->send(data, target);
        }
      });
  return socket->bind({to.ip, from.peer_port});
}

void peer_network::silence_open_connections()
{
  for (const auto& relay : m_relays)
  {
    relay->silence_open_connections();
  }
}

} // namespace pollenyoke::emulator
