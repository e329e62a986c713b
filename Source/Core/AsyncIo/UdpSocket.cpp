#include "AsyncIo/UdpSocket.h"

#include <boost/asio/ip/udp.hpp>

namespace pollenyoke::async_io
{

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace
{

// Datagrams read per wake-up, so that a burst does not starve the connections.
constexpr int max_datagrams_per_wakeup = 64;

} // namespace

struct udp_socket::state
{
  state(event_loop& owner, receive_handler handler)
      : loop(owner), socket(owner.context()), on_receive(std::move(handler))
  {
  }

  event_loop& loop;
  udp::socket socket;
  receive_handler on_receive;
};

udp_socket::udp_socket(event_loop& loop, receive_handler on_receive)
    : m_state(std::make_shared<state>(loop, std::move(on_receive)))
{
}

udp_socket::~udp_socket()
{
  boost::system::error_code ignored;
  m_state->socket.close(ignored);
}

result<void> udp_socket::bind(const transport::endpoint& address)
{
  boost::system::error_code failure;
  m_state->socket.open(udp::v4(), failure);
  if (!failure)
  {
    m_state->socket.non_blocking(true, failure);
    m_state->socket.bind({asio::ip::make_address_v4(address.ip), address.port}, failure);
  }
  if (failure)
  {
    return fail(error_code::unavailable,
                "cannot bind " + transport::to_string(address) + ": " + failure.message());
  }
  wait_readable(m_state);
  return {};
}

void udp_socket::send(std::string_view data, const transport::endpoint& to)
{
  // Datagrams may be lost on any link; a failed send is one more loss.
  boost::system::error_code ignored;
  m_state->socket.send_to(asio::buffer(data.data(), data.size()),
                          {asio::ip::make_address_v4(to.ip), to.port}, 0, ignored);
}

void udp_socket::wait_readable(const std::shared_ptr<state>& state)
{
  state->socket.async_wait(
      udp::socket::wait_read,
      [state](const boost::system::error_code& failure)
      {
        if (failure || !state->socket.is_open())
        {
          return;
        }
        const auto buffer = state->loop.scratch();
        for (int i = 0; i < max_datagrams_per_wakeup && state->socket.is_open(); ++i)
        {
          udp::endpoint from;
          boost::system::error_code code;
          const std::size_t size =
              state->socket.receive_from(asio::buffer(buffer.data(), buffer.size()), from, 0, code);
          if (code)
          {
            break;
          }
          state->on_receive(std::string_view(buffer.data(), size),
                            {from.address().to_string(), from.port()});
        }
        wait_readable(state);
      });
}

} // namespace pollenyoke::async_io
