#include "AsyncIo/TcpConnection.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

#include "Common/BootClock.h"
#include "Common/Log.h"

namespace pollenyoke::async_io
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A peer without power neither answers nor resets. Unacknowledged bytes and probes that stay
// without an answer this long end the connection; well under the request deadlines of seconds.
constexpr int unacknowledged_timeout_ms = 2000;
// The same for a peer that acknowledges all it is sent and has closed its window.
constexpr int paused_peer_timeout_ms = 30000;
constexpr std::chrono::milliseconds window_check_interval{500};
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
// After it has received the last byte the peer gets this long to close.
constexpr std::chrono::milliseconds linger_timeout{1000};
// Limit for sending all that is queued when the connection closes: a peer may read nothing, or very
// slowly.
constexpr std::chrono::seconds last_bytes_timeout{30};
// A peer that still sends this much after the last answer does not read it.
constexpr std::size_t max_lingering_bytes = 4U << 20U;
// Bytes read from or written to one connection before others get their turn: a peer may send, or
// read, as fast as this process reads or writes.
constexpr std::size_t max_bytes_per_turn = 262'144;
// Pause after a failed accept, for example when descriptors run out.
constexpr std::chrono::milliseconds accept_pause{20};

void set_option(int socket, int level, int name, int value)
{
  // A platform that lacks an option loses only the faster detection of dead peers.
  (void)::setsockopt(socket, level, name, &value, sizeof(value));
}

/// Bytes that the peer has not acknowledged, and those of them that have not been sent once.
struct kernel_queue
{
  int unacknowledged = 0;
  int unsent = 0;
};

/// Empty where the platform does not tell.
std::optional<kernel_queue> read_kernel_queue(int socket)
{
  kernel_queue out;
  const bool known = ::ioctl(socket, SIOCOUTQ, &out.unacknowledged) == 0 &&
                     ::ioctl(socket, SIOCOUTQNSD, &out.unsent) == 0;
  return known ? std::optional(out) : std::nullopt;
}

tcp::endpoint to_asio(const transport::endpoint& address)
{
  return {asio::ip::make_address_v4(address.ip), address.port};
}

} // namespace

struct tcp_connection::state
{
  explicit state(event_loop& owner)
      : loop(owner), socket(owner.context()), deadline(owner), window_timer(owner)
  {
  }

  event_loop& loop;
  tcp::socket socket;
  timer deadline;
  timer window_timer;
  data_handler on_data;
  close_handler on_close;
  std::function<void()> on_sent;
  std::function<bool()> on_peer_end;
  std::deque<std::string> queue;
  /// Bytes of the first entry of the queue that have been passed to the kernel.
  std::size_t written = 0;
  std::size_t unsent = 0;
  /// Bytes that arrived after close_when_sent().
  std::size_t lingering = 0;
  bool writing = false;
  bool reading = false;
  bool open = false;
  bool closing = false;
  bool reading_paused = false;
  /// The peer has ended its side, and what is queued is still to be sent.
  bool peer_ended = false;
  bool tolerates_pauses = false;
  bool watching_window = false;
  bool window_closed = false;
  bool resets_on_close = false;
  /// This side opened the connection, and expects an answer.
  bool expects_answer = false;
  /// Set when a write has failed; nothing is written any more.
  boost::system::error_code write_failure;

  /// The kernel tells the error of a connection once. If a write was told, each read behind it sees
  /// the end of the stream, whether or not the peer had ended its side in order. If it had, before
  /// a reset arrived, the error of the write is EPIPE.
  bool ended_in_order() const
  {
    return !write_failure || write_failure == asio::error::broken_pipe;
  }
};

tcp_connection::tcp_connection(event_loop& loop) : m_state(std::make_unique<state>(loop)) {}

tcp_connection::~tcp_connection() = default;

tcp_connection::pointer tcp_connection::make(event_loop& loop)
{
  return pointer(new tcp_connection(loop));
}

void tcp_connection::set_options()
{
  boost::system::error_code ignored;
  m_state->socket.non_blocking(true, ignored);
  const int socket = m_state->socket.native_handle();
  set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
  set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
  set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

void tcp_connection::connect(const transport::endpoint& address, std::chrono::milliseconds timeout,
                             std::function<void(result<void>)> done)
{
  auto report = std::make_shared<std::function<void(result<void>)>>(std::move(done));
  const auto finish = [self = shared_from_this(), report](result<void> outcome)
  {
    if (!*report)
    {
      return;
    }
    const auto call = std::move(*report);
    *report = nullptr;
    self->m_state->deadline.cancel();
    if (outcome)
    {
      self->m_state->open = true;
      self->m_state->expects_answer = true;
      self->set_options();
    }
    else
    {
      self->close();
    }
    call(std::move(outcome));
  };
  boost::system::error_code failure;
  m_state->socket.open(tcp::v4(), failure);
  if (failure)
  {
    m_state->loop.post([finish, text = failure.message()]
                       { finish(fail(error_code::limit_exceeded, text)); });
    return;
  }
  m_state->deadline.start(
      timeout,
      [finish] { finish(fail(error_code::timeout, "connection not established in time")); });
  m_state->socket.async_connect(
      to_asio(address),
      [finish](const boost::system::error_code& code)
      {
        if (code == asio::error::operation_aborted)
        {
          return;
        }
        finish(code ? result<void>(fail(error_code::unavailable, code.message())) : result<void>());
      });
}

void tcp_connection::start(data_handler on_data, close_handler on_close)
{
  m_state->on_data = std::move(on_data);
  m_state->on_close = std::move(on_close);
  wait_readable();
}

void tcp_connection::tolerate_paused_peer()
{
  m_state->tolerates_pauses = true;
}

void tcp_connection::set_peer_end_handler(std::function<bool()> handler)
{
  m_state->on_peer_end = std::move(handler);
}

void tcp_connection::pause_reading()
{
  m_state->reading_paused = true;
}

void tcp_connection::resume_reading()
{
  if (!std::exchange(m_state->reading_paused, false) || !m_state->open)
  {
    return;
  }
  m_state->loop.post([self = shared_from_this()] { self->read_available(); });
}

void tcp_connection::poll()
{
  read_available();
}

void tcp_connection::wait_idle()
{
  const std::weak_ptr<tcp_connection> weak = shared_from_this();
  start(
      [weak](std::string_view)
      {
        if (const auto open = weak.lock())
        {
          open->close();
        }
      },
      [](close_reason) {});
}

void tcp_connection::wait_readable()
{
  // While reading is paused, a readable socket would wake the loop again and again.
  if (m_state->reading || !m_state->open || m_state->peer_ended || m_state->reading_paused)
  {
    return;
  }
  m_state->reading = true;
  m_state->socket.async_wait(tcp::socket::wait_read,
                             [self = shared_from_this()](const boost::system::error_code& failure)
                             {
                               self->m_state->reading = false;
                               if (!failure)
                               {
                                 self->read_available();
                               }
                             });
}

void tcp_connection::read_available()
{
  const auto buffer = m_state->loop.scratch();
  std::size_t received_in_turn = 0;
  // Asio waits for edges: what is left unread, the end of the stream included, would not wake it
  // again.
  while (m_state->open && !m_state->reading_paused && !m_state->peer_ended)
  {
    boost::system::error_code failure;
    const std::size_t received =
        m_state->socket.read_some(asio::buffer(buffer.data(), buffer.size()), failure);
    if (failure == asio::error::would_block || failure == asio::error::interrupted)
    {
      break;
    }
    const bool at_end = failure == asio::error::eof && m_state->ended_in_order();
    if (at_end && m_state->unsent > 0 && !m_state->write_failure &&
        (m_state->closing || (m_state->on_peer_end && m_state->on_peer_end())))
    {
      m_state->peer_ended = true;
      return;
    }
    if (failure)
    {
      end(at_end ? close_reason::end_of_stream : close_reason::reset);
      return;
    }
    if (!m_state->closing && m_state->on_data)
    {
      // The handler may replace or clear the callbacks.
      const data_handler handler = m_state->on_data;
      handler(std::string_view(buffer.data(), received));
    }
    else if (m_state->closing && (m_state->lingering += received) > max_lingering_bytes)
    {
      end(close_reason::reset);
      return;
    }
    received_in_turn += received;
    if (received_in_turn >= max_bytes_per_turn && m_state->open)
    {
      m_state->reading = true;
      m_state->loop.post(
          [self = shared_from_this()]
          {
            self->m_state->reading = false;
            self->read_available();
          });
      return;
    }
  }
  if (m_state->open && m_state->write_failure)
  {
    end(close_reason::reset);
    return;
  }
  wait_readable();
}

void tcp_connection::write(std::string data)
{
  if (!m_state->open || m_state->closing || data.empty())
  {
    return;
  }
  m_state->unsent += data.size();
  m_state->queue.push_back(std::move(data));
  watch_window();
  if (!m_state->writing)
  {
    write_next();
  }
}

/// Writes when the loop calls, like read_available(). An operation of Asio would report a failure
/// some turns later, and a read in between has to know of it.
void tcp_connection::write_next()
{
  m_state->writing = true;
  write_available();
}

void tcp_connection::write_available()
{
  state& s = *m_state;
  if (!s.open)
  {
    return;
  }
  const std::string& data = s.queue.front();
  const std::size_t turn_end = std::min(data.size(), s.written + max_bytes_per_turn);
  while (s.written < turn_end)
  {
    boost::system::error_code failure;
    s.written +=
        s.socket.write_some(asio::buffer(data.data() + s.written, turn_end - s.written), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again)
    {
      s.socket.async_wait(tcp::socket::wait_write,
                          [self = shared_from_this()](const boost::system::error_code& aborted)
                          {
                            if (!aborted)
                            {
                              self->write_available();
                            }
                          });
      return;
    }
    if (failure && failure != asio::error::interrupted)
    {
      s.write_failure = failure;
      s.loop.post([self = shared_from_this()] { self->handle_write_failure(); });
      return;
    }
  }
  const bool finished = s.written == data.size();
  s.loop.post([self = shared_from_this(), finished]
              { finished ? self->finish_write() : self->write_available(); });
}

void tcp_connection::finish_write()
{
  state& s = *m_state;
  s.writing = false;
  if (!s.open)
  {
    return;
  }
  s.unsent -= std::exchange(s.written, 0);
  s.queue.pop_front();
  watch_window();
  if (!s.queue.empty())
  {
    write_next();
    return;
  }
  if (s.closing)
  {
    end_sending();
    return;
  }
  if (s.on_sent)
  {
    const auto handler = s.on_sent;
    handler();
  }
}

/// What had arrived before can be a whole answer, which its server sent without reading all of the
/// request.
void tcp_connection::handle_write_failure()
{
  if (m_state->open && m_state->expects_answer && !m_state->closing)
  {
    read_available();
    return;
  }
  if (m_state->open)
  {
    end(close_reason::reset);
  }
}

void tcp_connection::set_sent_handler(std::function<void()> handler)
{
  m_state->on_sent = std::move(handler);
}

std::size_t tcp_connection::unsent_bytes() const
{
  return m_state->unsent;
}

bool tcp_connection::is_open() const
{
  return m_state->open && !m_state->closing;
}

void tcp_connection::end(close_reason reason)
{
  const close_handler handler = m_state->on_close;
  close();
  if (handler)
  {
    handler(reason);
  }
}

void tcp_connection::close()
{
  m_state->open = false;
  m_state->deadline.cancel();
  m_state->window_timer.cancel();
  m_state->on_data = nullptr;
  m_state->on_close = nullptr;
  m_state->on_sent = nullptr;
  m_state->on_peer_end = nullptr;
  boost::system::error_code ignored;
  m_state->socket.close(ignored);
}

void tcp_connection::abort()
{
  set_reset_on_close(true);
  close();
}

void tcp_connection::set_reset_on_close(bool enabled)
{
  if (std::exchange(m_state->resets_on_close, enabled) != enabled)
  {
    boost::system::error_code ignored;
    m_state->socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
  }
}

void tcp_connection::reset_unless_all_is_sent()
{
  set_reset_on_close(true);
}

void tcp_connection::close_when_sent(close_handler on_closed)
{
  if (!is_open())
  {
    return;
  }
  m_state->closing = true;
  m_state->on_data = nullptr;
  m_state->on_close = std::move(on_closed);
  m_state->on_sent = nullptr;
  resume_reading();
  if (m_state->writing)
  {
    m_state->deadline.start(last_bytes_timeout,
                            [self = shared_from_this()] { self->end(close_reason::reset); });
  }
  else
  {
    end_sending();
  }
  wait_readable();
}

void tcp_connection::end_sending()
{
  set_reset_on_close(false);
  boost::system::error_code ignored;
  m_state->socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (m_state->peer_ended)
  {
    // Nothing more can arrive, so that the kernel delivers the rest after the close.
    end(close_reason::end_of_stream);
    return;
  }
  linger(current_time() + last_bytes_timeout);
}

/// A close while the peer sends would discard what it has not received.
void tcp_connection::linger(std::chrono::steady_clock::time_point until)
{
  m_state->deadline.start(linger_timeout,
                          [self = shared_from_this(), until]
                          {
                            const auto queue =
                                read_kernel_queue(self->m_state->socket.native_handle());
                            if (queue && queue->unacknowledged > 0 && current_time() < until)
                            {
                              self->linger(until);
                              return;
                            }
                            self->end(close_reason::reset);
                          });
}

/// The time limit for unacknowledged bytes also runs while a living peer has closed its window, and
/// ends the connection of a caller that reads nothing for a while.
void tcp_connection::watch_window()
{
  if (!m_state->tolerates_pauses || std::exchange(m_state->watching_window, true))
  {
    return;
  }
  m_state->window_timer.start(
      window_check_interval,
      [self = shared_from_this()]
      {
        state& s = *self->m_state;
        s.watching_window = false;
        const int socket = s.socket.native_handle();
        const auto queue = s.open ? read_kernel_queue(socket) : std::nullopt;
        if (!queue)
        {
          return;
        }
        const bool closed = queue->unsent > 0 && queue->unsent == queue->unacknowledged;
        if (closed != std::exchange(s.window_closed, closed))
        {
          set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                     closed ? paused_peer_timeout_ms : unacknowledged_timeout_ms);
        }
        if (queue->unacknowledged > 0)
        {
          self->watch_window();
        }
      });
}

struct tcp_listener::state
{
  state(event_loop& owner, accept_handler handler)
      : loop(owner), acceptor(owner.context()), pause(owner), on_accept(std::move(handler))
  {
  }

  event_loop& loop;
  tcp::acceptor acceptor;
  timer pause;
  accept_handler on_accept;
};

tcp_listener::tcp_listener(event_loop& loop, accept_handler on_accept)
    : m_state(std::make_shared<state>(loop, std::move(on_accept)))
{
}

tcp_listener::~tcp_listener()
{
  close();
}

result<void> tcp_listener::listen(const transport::endpoint& address)
{
  boost::system::error_code failure;
  const auto local = to_asio(address);
  m_state->acceptor.open(tcp::v4(), failure);
  if (!failure)
  {
    m_state->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    m_state->acceptor.bind(local, failure);
  }
  if (!failure)
  {
    m_state->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure)
  {
    return fail(error_code::unavailable,
                "cannot listen on " + transport::to_string(address) + ": " + failure.message());
  }
  accept_next();
  return {};
}

std::uint16_t tcp_listener::port() const
{
  boost::system::error_code ignored;
  return m_state->acceptor.local_endpoint(ignored).port();
}

void tcp_listener::accept_next()
{
  if (!m_state->acceptor.is_open())
  {
    return;
  }
  auto connection = tcp_connection::make(m_state->loop);
  m_state->acceptor.async_accept(
      connection->m_state->socket,
      [this, alive = std::weak_ptr<state>(m_state),
       connection](const boost::system::error_code& failure)
      {
        const auto listener = alive.lock();
        if (!listener || !listener->acceptor.is_open())
        {
          return;
        }
        if (failure)
        {
          log_warning(log_category::transport, "accept failed", {{"reason", failure.message()}});
          listener->pause.start(accept_pause, [this] { accept_next(); });
          return;
        }
        take(connection);
        accept_next();
      });
}

void tcp_listener::take(const tcp_connection::pointer& connection)
{
  connection->m_state->open = true;
  connection->set_options();
  m_state->on_accept(connection);
}

/// Their peers may have sent requests, which the close of the listener would reset.
void tcp_listener::close_after_pending()
{
  boost::system::error_code failure;
  m_state->acceptor.non_blocking(true, failure);
  while (!failure && m_state->acceptor.is_open())
  {
    const auto connection = tcp_connection::make(m_state->loop);
    m_state->acceptor.accept(connection->m_state->socket, failure);
    if (!failure)
    {
      take(connection);
    }
  }
  close();
}

void tcp_listener::close()
{
  boost::system::error_code ignored;
  m_state->acceptor.close(ignored);
  m_state->pause.cancel();
}

} // namespace pollenyoke::async_io
