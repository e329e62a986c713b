#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "AsyncIo/EventLoop.h"
#include "Common/Result.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::async_io
{

enum class close_reason
{
  /// The peer ended its side in order.
  end_of_stream,
  /// The peer reset the connection, or it was lost.
  reset,
};

/// A TCP connection with callbacks. No callback is called after close(). Writes are queued.
class tcp_connection : public std::enable_shared_from_this<tcp_connection>
{
public:
  using pointer = std::shared_ptr<tcp_connection>;
  using data_handler = std::function<void(std::string_view)>;
  using close_handler = std::function<void(close_reason)>;

  static pointer make(event_loop& loop);
  ~tcp_connection();
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;
  tcp_connection(tcp_connection&&) = delete;
  tcp_connection& operator=(tcp_connection&&) = delete;

  /// `done` gets an error text if the connection is not established in time.
  void connect(const transport::endpoint& address, std::chrono::milliseconds timeout,
               std::function<void(result<void>)> done);
  /// Starts reading.
  void start(data_handler on_data, close_handler on_close);
  /// The peer may read nothing for a while; by default it is then taken for dead.
  void tolerate_paused_peer();
  /// Called when the peer ends its side while queued bytes wait to be sent. If it returns true, the
  /// connection stays open for them.
  void set_peer_end_handler(std::function<bool()> handler);
  /// Leaves what arrives in the kernel. The end of the connection shows only when a write fails.
  void pause_reading();
  void resume_reading();
  /// Handles what has arrived now instead of in the next turn of the loop.
  void poll();
  /// Waits for the peer to close while no message is expected. Bytes that arrive all the same close
  /// the connection.
  void wait_idle();
  void write(std::string data);
  /// Called each time all queued bytes have been passed to the kernel.
  void set_sent_handler(std::function<void()> handler);
  std::size_t unsent_bytes() const;
  bool is_open() const;
  /// Closes at once; queued bytes are dropped. A reset is sent if bytes of the peer are unread.
  void close();
  /// Closes with a reset, so that bytes that are still on their way are not delivered.
  void abort();
  /// Sends what is queued, ends the sending side, and reads on until the peer has received the last
  /// bytes, or a time limit is reached. `on_closed` is then called.
  void close_when_sent(close_handler on_closed = nullptr);
  /// For data that ends with the connection: each end but that of close_when_sent() with nothing
  /// left to send is a reset from now on, that of the process included.
  void reset_unless_all_is_sent();

private:
  friend class tcp_listener;
  struct state;

  explicit tcp_connection(event_loop& loop);
  void set_options();
  void set_reset_on_close(bool enabled);
  void wait_readable();
  void read_available();
  void write_next();
  void write_available();
  void finish_write();
  void handle_write_failure();
  void end_sending();
  void linger(std::chrono::steady_clock::time_point until);
  void watch_window();
  void end(close_reason reason);

  std::unique_ptr<state> m_state;
};

/// Accepts connections on one address.
class tcp_listener
{
public:
  using accept_handler = std::function<void(tcp_connection::pointer)>;

  tcp_listener(event_loop& loop, accept_handler on_accept);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  tcp_listener(tcp_listener&&) = delete;
  tcp_listener& operator=(tcp_listener&&) = delete;

  result<void> listen(const transport::endpoint& address);
  std::uint16_t port() const;
  void close();
  /// Accepts the connections that are established already, and closes.
  void close_after_pending();

private:
  struct state;
  void accept_next();
  void take(const tcp_connection::pointer& connection);

  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
