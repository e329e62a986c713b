#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "AsyncIo/EventLoop.h"
#include "Common/Result.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::async_io
{

/// Sends and receives datagrams on one address. Lost and refused datagrams are not reported.
class udp_socket
{
public:
  using receive_handler =
      std::function<void(std::string_view data, const transport::endpoint& from)>;

  udp_socket(event_loop& loop, receive_handler on_receive);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;
  udp_socket(udp_socket&&) = delete;
  udp_socket& operator=(udp_socket&&) = delete;

  result<void> bind(const transport::endpoint& address);
  void send(std::string_view data, const transport::endpoint& to);

private:
  struct state;
  static void wait_readable(const std::shared_ptr<state>& state);

  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
