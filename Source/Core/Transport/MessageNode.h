#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Result.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::transport
{

/// Identifies one TCP connection of a node; never reused within a process.
using connection_id = std::uint64_t;

/// One internal message on the wire: a type number and its encoded body.
struct frame
{
  std::uint8_t type = 0;
  std::vector<std::byte> payload;
};

/// Type numbers below this one belong to the transport itself (keep-alive).
constexpr std::uint8_t first_message_type = 8;
constexpr std::size_t max_frame_bytes = std::size_t{2} * 1024 * 1024;
constexpr std::size_t max_datagram_bytes = 1400;

struct message_handlers
{
  /// Frames of one connection are delivered one at a time, in order, on the worker pool. A handler
  /// must not block: no network calls, no sleep.
  std::function<void(connection_id, frame)> on_frame;
  /// Called once per connection after its last frame: closed, refused or silent.
  std::function<void(connection_id)> on_closed;
  std::function<void(const endpoint& from, frame)> on_datagram;
  /// May be empty. Frames for which it returns true are handled on the I/O thread unless earlier
  /// frames of their connection still wait for the pool. Only for frames that take microseconds to
  /// handle: the I/O thread serves nothing else meanwhile.
  std::function<bool(const frame&)> is_short;
};

struct message_node_options
{
  /// Port 0 picks a free port. TCP and UDP use separate endpoints.
  endpoint tcp;
  endpoint udp;
  unsigned workers = 4;
  std::chrono::milliseconds keep_alive{500};
  /// A connection from which nothing arrives for this long is closed.
  std::chrono::milliseconds silence{1500};
  /// send() fails on a connection with more unsent bytes than this.
  std::size_t max_unsent_bytes = std::size_t{16} * 1024 * 1024;
};

/// The internal TCP and UDP endpoint of one process: framed messages between our processes.
/// Thread-safe.
class message_node
{
public:
  static result<std::unique_ptr<message_node>> start(const message_node_options& options,
                                                     message_handlers handlers);
  ~message_node();
  message_node(const message_node&) = delete;
  message_node& operator=(const message_node&) = delete;
  message_node(message_node&&) = delete;
  message_node& operator=(message_node&&) = delete;

  /// Opens a connection. Frames may be sent at once; on_closed reports a failed attempt.
  connection_id connect(const endpoint& to);
  /// Queues a frame. False: unknown connection, frame too large, or too many unsent bytes.
  bool send(connection_id to, const frame& message);
  void send_datagram(const endpoint& to, const frame& message);
  void close(connection_id connection);
  /// Bytes queued and not yet written on a connection; 0 if unknown.
  std::size_t unsent_bytes(connection_id connection) const;

  endpoint tcp_endpoint() const;
  endpoint udp_endpoint() const;
  std::size_t connection_count() const;
  /// Bytes sent and received over TCP and UDP so far, including frame headers.
  std::uint64_t bytes_sent() const;
  std::uint64_t bytes_received() const;

  /// Closes all connections and waits for running handlers. Called by the destructor.
  void stop();

private:
  class implementation;
  explicit message_node(std::unique_ptr<implementation> impl);
  std::unique_ptr<implementation> m_impl;
};

} // namespace pollenyoke::transport
