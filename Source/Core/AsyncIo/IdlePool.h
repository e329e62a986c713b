#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::async_io
{

/// Open connections without a request, by address. A connection on which bytes arrive or that its
/// peer closes is dropped.
class idle_pool
{
public:
  explicit idle_pool(std::size_t max_per_address);
  ~idle_pool();
  idle_pool(const idle_pool&) = delete;
  idle_pool& operator=(const idle_pool&) = delete;
  idle_pool(idle_pool&&) = delete;
  idle_pool& operator=(idle_pool&&) = delete;

  /// The connection used last; null if there is none.
  tcp_connection::pointer take(const transport::endpoint& address);
  /// Keeps the connection for at most `lifetime`.
  void put(const transport::endpoint& address, const tcp_connection::pointer& connection,
           std::chrono::milliseconds lifetime);
  /// Closes the connections to an address.
  void drop(const transport::endpoint& address);
  void clear();

private:
  struct idle_connection
  {
    tcp_connection::pointer connection;
    time_point expires;
  };

  std::size_t m_max_per_address;
  std::map<transport::endpoint, std::vector<idle_connection>> m_idle;
};

} // namespace pollenyoke::async_io
