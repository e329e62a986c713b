#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

#include <httplib.h>

namespace pollenyoke::transport
{

struct socket_limits
{
  std::chrono::milliseconds read_timeout{5000};
  std::chrono::milliseconds write_timeout{5000};
  /// From the first byte of a request until it has arrived completely.
  std::chrono::milliseconds request_timeout{10000};
  std::size_t request_bytes = 0;
};

/// A stream of the HTTP library on a connected socket with limits per request: slow or endless
/// input ends with a read error. Used by one thread.
class bounded_socket final : public httplib::Stream
{
public:
  bounded_socket(int socket, socket_limits limits);

  /// Starts the limits of the next request.
  void begin_request();
  bool limit_reached() const;
  /// Input is buffered or arrives within the time; true also at the end of the connection.
  bool wait_readable(std::chrono::milliseconds patience) const;
  /// Closes the connection so that the peer can still read what was sent.
  void close();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* to, std::size_t size) override;
  ssize_t write(const char* from, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  int socket() const override;

private:
  const int m_socket;
  const socket_limits m_limits;
  std::chrono::steady_clock::time_point m_request_end;
  std::size_t m_request_bytes = 0;
  bool m_limit_reached = false;
  std::array<char, 4096> m_buffer{};
  std::size_t m_begin = 0;
  std::size_t m_end = 0;
};

/// False once the peer has closed the connection.
bool is_socket_open(int socket);
/// Answers 503 and closes the connection.
void refuse_socket(int socket);

} // namespace pollenyoke::transport
