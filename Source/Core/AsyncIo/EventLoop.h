#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <span>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace pollenyoke::async_io
{

using time_point = std::chrono::steady_clock::time_point;

enum class process_signal
{
  /// SIGTERM.
  terminate,
  /// SIGINT.
  interrupt,
  /// SIGHUP.
  reload,
};

/// Runs the I/O of one process on one thread. Every callback of this module runs on that thread.
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  event_loop(event_loop&&) = delete;
  event_loop& operator=(event_loop&&) = delete;

  void run();
  void stop();
  /// Runs `work` after the current callback.
  void post(std::function<void()> work);
  void watch_signals(std::function<void(process_signal)> handler);
  /// Signals that come from now on wait until the process has ended.
  void block_signals();

  boost::asio::io_context& context();
  /// Receive buffer that all sockets share; its contents are valid during one callback.
  std::span<char> scratch();

private:
  struct state;
  std::unique_ptr<state> m_state;
};

/// A one-shot timer. Destroying or restarting it cancels the earlier start.
class timer
{
public:
  explicit timer(event_loop& loop);
  ~timer();
  timer(const timer&) = delete;
  timer& operator=(const timer&) = delete;
  timer(timer&&) = delete;
  timer& operator=(timer&&) = delete;

  void start(std::chrono::nanoseconds delay, std::function<void()> action);
  void cancel();

private:
  struct state;
  std::shared_ptr<state> m_state;
};

} // namespace pollenyoke::async_io
