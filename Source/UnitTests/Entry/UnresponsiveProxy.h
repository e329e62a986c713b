#pragma once

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include "Transport/Endpoint.h"

namespace pollenyoke::test
{

/// TCP proxy whose connections can become unresponsive: they stay open but forward no more data,
/// while new connections work.
class unresponsive_proxy
{
public:
  explicit unresponsive_proxy(transport::endpoint to)
      : m_target(std::move(to)), m_listen_socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address = to_address({"127.0.0.1", 0});
    socklen_t size = sizeof(address);
    CPPUNIT_ASSERT_EQUAL(
        0, ::bind(m_listen_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    CPPUNIT_ASSERT_EQUAL(0, ::listen(m_listen_socket, 16));
    ::getsockname(m_listen_socket, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
  }
  ~unresponsive_proxy()
  {
    m_stop = true;
    m_thread.join();
    ::close(m_listen_socket);
  }
  unresponsive_proxy(const unresponsive_proxy&) = delete;
  unresponsive_proxy& operator=(const unresponsive_proxy&) = delete;
  unresponsive_proxy(unresponsive_proxy&&) = delete;
  unresponsive_proxy& operator=(unresponsive_proxy&&) = delete;

  transport::endpoint address() const
  {
    return {"127.0.0.1", m_port};
  }
  /// Stops forwarding on all open connections; in effect when it returns.
  void stop_forwarding()
  {
    const std::lock_guard lock(m_mutex);
    for (connection_pair& p : m_connections)
    {
      p.unresponsive = true;
    }
  }

private:
  struct connection_pair
  {
    int client_socket = -1;
    int server_socket = -1;
    bool unresponsive = false;
  };

  static sockaddr_in to_address(const transport::endpoint& from)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
    return address;
  }

  void accept_one()
  {
    connection_pair p{.client_socket = ::accept(m_listen_socket, nullptr, nullptr),
                      .server_socket = ::socket(AF_INET, SOCK_STREAM, 0)};
    const sockaddr_in address = to_address(m_target);
    if (::connect(p.server_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0)
    {
      close_connection(p);
      return;
    }
    m_connections.push_back(p);
  }

  static void close_connection(connection_pair& p)
  {
    ::close(p.client_socket);
    ::close(p.server_socket);
  }

  /// Forwards the received data; false if the connection was closed or failed.
  static bool forward_data(int from, int to)
  {
    std::array<char, 16384> buffer{};
    const ssize_t received = ::recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0)
    {
      return errno == EAGAIN;
    }
    return received > 0 &&
           ::send(to, buffer.data(), static_cast<std::size_t>(received), MSG_NOSIGNAL) == received;
  }

  void run()
  {
    while (!m_stop)
    {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      const std::lock_guard lock(m_mutex);
      pollfd listening{.fd = m_listen_socket, .events = POLLIN, .revents = 0};
      if (::poll(&listening, 1, 0) > 0)
      {
        accept_one();
      }
      std::erase_if(m_connections,
                    [](connection_pair& p)
                    {
                      if (p.unresponsive || (forward_data(p.client_socket, p.server_socket) &&
                                             forward_data(p.server_socket, p.client_socket)))
                      {
                        return false;
                      }
                      close_connection(p);
                      return true;
                    });
    }
    for (connection_pair& p : m_connections)
    {
      close_connection(p);
    }
  }

  const transport::endpoint m_target;
  const int m_listen_socket;
  std::uint16_t m_port = 0;
  std::mutex m_mutex;
  std::vector<connection_pair> m_connections;
  std::atomic<bool> m_stop{false};
  std::thread m_thread;
};

} // namespace pollenyoke::test
