#include "AsyncIo/EventLoop.h"

#include <csignal>
#include <vector>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "Common/BootClock.h"

namespace pollenyoke::async_io
{

namespace
{

// Large enough for a whole weight piece or a full configuration in one system call.
constexpr std::size_t scratch_bytes = 65536;

process_signal to_signal(int number)
{
  return number == SIGHUP   ? process_signal::reload
         : number == SIGINT ? process_signal::interrupt
                            : process_signal::terminate;
}

} // namespace

struct event_loop::state
{
  boost::asio::io_context context{1};
  boost::asio::signal_set signals{context};
  std::function<void(process_signal)> signal_handler;
  std::vector<char> scratch = std::vector<char>(scratch_bytes);

  void wait_for_signal()
  {
    signals.async_wait(
        [this](const boost::system::error_code& failure, int number)
        {
          if (failure)
          {
            return;
          }
          signal_handler(to_signal(number));
          wait_for_signal();
        });
  }
};

event_loop::event_loop() : m_state(std::make_unique<state>()) {}

event_loop::~event_loop() = default;

void event_loop::run()
{
  // A loop that was stopped may run again.
  m_state->context.restart();
  const auto guard = boost::asio::make_work_guard(m_state->context);
  m_state->context.run();
}

void event_loop::stop()
{
  m_state->context.stop();
}

void event_loop::post(std::function<void()> work)
{
  boost::asio::post(m_state->context, std::move(work));
}

void event_loop::watch_signals(std::function<void(process_signal)> handler)
{
  m_state->signal_handler = std::move(handler);
  m_state->signals.add(SIGTERM);
  m_state->signals.add(SIGINT);
  m_state->signals.add(SIGHUP);
  m_state->wait_for_signal();
}

/// Their default action would end the process by a signal instead of its own exit status.
void event_loop::block_signals()
{
  sigset_t watched;
  sigemptyset(&watched);
  sigaddset(&watched, SIGTERM);
  sigaddset(&watched, SIGINT);
  sigaddset(&watched, SIGHUP);
  (void)::pthread_sigmask(SIG_BLOCK, &watched, nullptr);
}

boost::asio::io_context& event_loop::context()
{
  return m_state->context;
}

std::span<char> event_loop::scratch()
{
  return m_state->scratch;
}

struct timer::state
{
  explicit state(event_loop& loop) : timer(loop.context()) {}

  // Counts suspension: a timer that became due meanwhile fires with the next event of the loop.
  boost::asio::basic_waitable_timer<boot_clock> timer;
  std::function<void()> action;
  // Asio may have queued the handler of an earlier start when the timer is restarted.
  std::uint64_t generation = 0;
};

timer::timer(event_loop& loop) : m_state(std::make_shared<state>(loop)) {}

timer::~timer()
{
  cancel();
}

void timer::start(std::chrono::nanoseconds delay, std::function<void()> action)
{
  m_state->action = std::move(action);
  const std::uint64_t generation = ++m_state->generation;
  m_state->timer.expires_after(delay);
  m_state->timer.async_wait(
      [state = m_state, generation](const boost::system::error_code& failure)
      {
        if (failure || generation != state->generation)
        {
          return;
        }
        const auto due = std::move(state->action);
        state->action = nullptr;
        due();
      });
}

void timer::cancel()
{
  ++m_state->generation;
  m_state->action = nullptr;
  m_state->timer.cancel();
}

} // namespace pollenyoke::async_io
