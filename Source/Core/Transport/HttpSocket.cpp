#include "Transport/HttpSocket.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollenyoke::transport
{

namespace
{

using clock = std::chrono::steady_clock;

bool wait_for(int socket, short what, std::chrono::milliseconds patience)
{
  pollfd item{.fd = socket, .events = what, .revents = 0};
  const auto until = clock::now() + patience;
  while (true)
  {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
    const int ready = ::poll(&item, 1, static_cast<int>(std::max<std::int64_t>(0, left)));
    if (ready >= 0 || errno != EINTR)
    {
      return ready > 0;
    }
  }
}

void to_text(const sockaddr_in& address, std::string& ip, int& port)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

} // namespace

bounded_socket::bounded_socket(int socket, socket_limits limits)
    : m_socket(socket), m_limits(limits)
{
  begin_request();
}

void bounded_socket::begin_request()
{
  m_request_end = clock::now() + m_limits.request_timeout;
  m_request_bytes = 0;
}

bool bounded_socket::limit_reached() const
{
  return m_limit_reached;
}

bool bounded_socket::wait_readable(std::chrono::milliseconds patience) const
{
  return m_begin < m_end || wait_for(m_socket, POLLIN, patience);
}

void bounded_socket::close()
{
  ::shutdown(m_socket, SHUT_WR);
  // Closing with unread input resets the connection, and the reset can overtake the answer that
  // explains the refusal. The rest of the input is read for a short time.
  constexpr std::chrono::milliseconds linger{200};
  const auto until = clock::now() + linger;
  while (m_limit_reached && clock::now() < until && wait_for(m_socket, POLLIN, linger) &&
         ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0) > 0)
  {
  }
  ::close(m_socket);
}

bool bounded_socket::is_readable() const
{
  return wait_readable(m_limits.read_timeout);
}

bool bounded_socket::is_writable() const
{
  return wait_for(m_socket, POLLOUT, m_limits.write_timeout) && is_socket_open(m_socket);
}

ssize_t bounded_socket::read(char* to, std::size_t size)
{
  if (m_begin == m_end)
  {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_request_end - clock::now());
    const bool too_late = left.count() <= 0;
    if (too_late || m_request_bytes > m_limits.request_bytes)
    {
      m_limit_reached = true;
      return -1;
    }
    if (!wait_for(m_socket, POLLIN, std::min(left, m_limits.read_timeout)))
    {
      m_limit_reached = true;
      return -1;
    }
    const ssize_t received = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    if (received <= 0)
    {
      return received;
    }
    m_begin = 0;
    m_end = static_cast<std::size_t>(received);
    m_request_bytes += m_end;
  }
  const std::size_t count = std::min(size, m_end - m_begin);
  std::memcpy(to, m_buffer.data() + m_begin, count);
  m_begin += count;
  return static_cast<ssize_t>(count);
}

ssize_t bounded_socket::write(const char* from, std::size_t size)
{
  std::size_t written = 0;
  while (written < size)
  {
    const ssize_t sent =
        ::send(m_socket, from + written, size - written, MSG_NOSIGNAL | MSG_DONTWAIT);
    const bool full = sent < 0 && errno == EAGAIN;
    if (sent < 0 && !full && errno != EINTR)
    {
      return -1;
    }
    // Polled for only when the buffer is full: a token almost always fits.
    if (full && !wait_for(m_socket, POLLOUT, m_limits.write_timeout))
    {
      return -1;
    }
    written += static_cast<std::size_t>(std::max<ssize_t>(0, sent));
  }
  return static_cast<ssize_t>(size);
}

void bounded_socket::get_remote_ip_and_port(std::string& ip, int& port) const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
  to_text(address, ip, port);
}

void bounded_socket::get_local_ip_and_port(std::string& ip, int& port) const
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
  to_text(address, ip, port);
}

int bounded_socket::socket() const
{
  return m_socket;
}

bool is_socket_open(int socket)
{
  char next = 0;
  const ssize_t received = ::recv(socket, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
}

void refuse_socket(int socket)
{
  constexpr std::string_view answer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
                                      "Content-Length: 0\r\nConnection: close\r\n\r\n";
  // Not waited for: this runs on the accepting thread.
  (void)::send(socket, answer.data(), answer.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  ::shutdown(socket, SHUT_WR);
  ::close(socket);
}

} // namespace pollenyoke::transport
