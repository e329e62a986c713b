#include "StandIns/RelayLoop.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollenyoke::stand_ins
{

namespace
{

using std::chrono::milliseconds;

// A link queues for at most this long before it loses datagrams, as a router does.
constexpr milliseconds longest_queue{1000};
// What one connection may have on the link at a time, so that connections share it evenly.
constexpr double fair_part_s = 0.02;
constexpr std::size_t smallest_read = 2048;

sockaddr_in to_address(const transport::endpoint& from)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(from.port);
  inet_pton(AF_INET, from.ip.c_str(), &address.sin_addr);
  return address;
}

const sockaddr* generic(const sockaddr_in& address)
{
  return reinterpret_cast<const sockaddr*>(&address);
}

bool same(const sockaddr_in& a, const sockaddr_in& b)
{
  return a.sin_port == b.sin_port && a.sin_addr.s_addr == b.sin_addr.s_addr;
}

void set_no_delay(int socket)
{
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Closes with a reset, as a link that was cut shows itself to the application.
void reset_and_close(int socket)
{
  const linger abort{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  ::close(socket);
}

int make_socket(bool udp)
{
  return ::socket(AF_INET, (udp ? SOCK_DGRAM : SOCK_STREAM) | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

relay_loop::relay_loop()
{
  if (::pipe2(m_wake.data(), O_NONBLOCK | O_CLOEXEC) == 0)
  {
    m_thread = std::thread([this] { run(); });
  }
}

relay_loop::~relay_loop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  wake();
  if (m_thread.joinable())
  {
    m_thread.join();
  }
  for (connection& open : m_connections)
  {
    open.broken = true;
  }
  close_broken();
  for (const listener& at : m_listeners)
  {
    ::close(at.socket);
  }
  for (const session& open : m_sessions)
  {
    ::close(open.socket);
  }
  ::close(m_wake[0]);
  ::close(m_wake[1]);
}

void relay_loop::wake()
{
  const char byte = 0;
  [[maybe_unused]] const auto written = ::write(m_wake[1], &byte, 1);
}

result<transport::endpoint> relay_loop::add_route(const relay_route& route)
{
  const int socket = make_socket(route.udp);
  const int on = 1;
  if (!route.udp)
  {
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  sockaddr_in address = to_address(route.listen);
  socklen_t size = sizeof(address);
  constexpr int backlog = 1024;
  const bool listening = ::bind(socket, generic(address), size) == 0 &&
                         (route.udp || ::listen(socket, backlog) == 0) &&
                         ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listening)
  {
    ::close(socket);
    return fail(error_code::unavailable, "cannot listen on " + to_string(route.listen));
  }
  listener added{route, socket};
  added.route.listen.port = ntohs(address.sin_port);
  const transport::endpoint local = added.route.listen;
  {
    const std::lock_guard lock(m_mutex);
    m_listeners.push_back(std::move(added));
  }
  wake();
  return local;
}

void relay_loop::set_faults(const relay_faults& faults)
{
  {
    const std::lock_guard lock(m_mutex);
    if (faults.rate != m_faults.rate)
    {
      m_free_at = {};
    }
    m_faults = faults;
    if (faults.cut)
    {
      for (connection& open : m_connections)
      {
        open.broken = true;
      }
      m_datagrams.clear();
    }
  }
  wake();
}

void relay_loop::silence_open_connections()
{
  const std::lock_guard lock(m_mutex);
  for (connection& open : m_connections)
  {
    open.silent = true;
  }
}

std::array<std::uint64_t, 2> relay_loop::bytes() const
{
  const std::lock_guard lock(m_mutex);
  return m_bytes;
}

std::size_t relay_loop::connections() const
{
  const std::lock_guard lock(m_mutex);
  return m_connections.size();
}

bool relay_loop::held(std::size_t direction) const
{
  return m_faults.stall || m_faults.blackhole[direction];
}

std::size_t relay_loop::read_limit() const
{
  if (m_faults.rate <= 0)
  {
    return largest_read;
  }
  return std::clamp(static_cast<std::size_t>(m_faults.rate * fair_part_s), smallest_read,
                    largest_read);
}

bool relay_loop::may_read(const connection& through, const pipe& from) const
{
  // With a delay, more than one part is under way at a time.
  const std::size_t limit = m_faults.delay.count() > 0 ? 16 * largest_read : read_limit();
  return !from.ended && !through.silent && !held(from.direction) && from.queued < limit;
}

/// Takes the link for some bytes and returns when they arrive at the other end.
relay_loop::clock::time_point relay_loop::reserve(std::size_t bytes, std::size_t direction)
{
  const auto now = clock::now();
  m_bytes[direction] += bytes;
  if (m_faults.rate <= 0)
  {
    return now + m_faults.delay;
  }
  const std::chrono::duration<double> time(static_cast<double>(bytes) / m_faults.rate);
  clock::time_point& free_at = m_free_at[direction];
  free_at = std::max(now, free_at) + std::chrono::duration_cast<clock::duration>(time);
  return free_at + m_faults.delay;
}

short relay_loop::events_of(const connection& from, std::size_t side) const
{
  // Pipe `side` reads from this socket; the other pipe writes to it.
  const pipe& reading = from.pipes[side];
  const pipe& writing = from.pipes[1 - side];
  const bool due = !writing.queue.empty() && writing.queue.front().due <= clock::now();
  short events = 0;
  if (may_read(from, reading))
  {
    events = static_cast<short>(events | POLLIN);
  }
  if (due && !from.silent && !held(writing.direction))
  {
    events = static_cast<short>(events | POLLOUT);
  }
  return events;
}

relay_loop::clock::time_point relay_loop::next_due() const
{
  auto due = clock::now() + milliseconds(100);
  for (const datagram& item : m_datagrams)
  {
    due = std::min(due, item.due);
  }
  for (const connection& open : m_connections)
  {
    for (const pipe& part : open.pipes)
    {
      const bool waiting = !part.queue.empty() && part.queue.front().due > clock::now();
      due = waiting ? std::min(due, part.queue.front().due) : due;
    }
  }
  return due;
}

void relay_loop::wait_for_events()
{
  std::unique_lock lock(m_mutex);
  m_polled.assign(1, {m_wake[0], POLLIN, 0});
  for (const listener& at : m_listeners)
  {
    m_polled.push_back({at.socket, POLLIN, 0});
  }
  m_polled_listeners = m_listeners.size();
  for (const session& open : m_sessions)
  {
    m_polled.push_back({open.socket, POLLIN, 0});
  }
  for (const connection& open : m_connections)
  {
    for (std::size_t side = 0; side < 2; ++side)
    {
      const short events = events_of(open, side);
      // A negative descriptor is skipped; otherwise a hang-up would be reported again and again.
      m_polled.push_back({events == 0 ? -1 : open.pipes[side].from, events, 0});
    }
  }
  const auto wait = std::max(clock::duration(0), next_due() - clock::now());
  lock.unlock();
  const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(wait).count();
  const timespec timeout{nanoseconds / 1000000000, nanoseconds % 1000000000};
  ::ppoll(m_polled.data(), m_polled.size(), &timeout, nullptr);
  std::array<char, 64> drained{};
  while (::read(m_wake[0], drained.data(), drained.size()) > 0)
  {
  }
}

void relay_loop::run()
{
  while (true)
  {
    wait_for_events();
    const std::lock_guard lock(m_mutex);
    if (m_stopping)
    {
      return;
    }
    for (std::size_t i = 0; i < m_polled_listeners; ++i)
    {
      if (m_polled[1 + i].revents == 0)
      {
        continue;
      }
      if (m_listeners[i].route.udp)
      {
        receive_from(i);
      }
      else
      {
        accept_from(m_listeners[i]);
      }
    }
    for (const session& open : m_sessions)
    {
      receive_replies(open);
    }
    send_datagrams();
    for (connection& open : m_connections)
    {
      pump(open);
    }
    close_broken();
  }
}

void relay_loop::accept_from(const listener& at)
{
  while (true)
  {
    const int client = ::accept4(at.socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0)
    {
      return;
    }
    if (m_faults.cut)
    {
      reset_and_close(client);
      continue;
    }
    const int server = make_socket(false);
    const sockaddr_in target = to_address(at.route.target);
    if (::connect(server, generic(target), sizeof(target)) != 0 && errno != EINPROGRESS)
    {
      ::close(server);
      reset_and_close(client);
      continue;
    }
    set_no_delay(client);
    set_no_delay(server);
    connection added;
    const std::size_t up = at.route.reverse ? 1 : 0;
    added.pipes[0].direction = up;
    added.pipes[0].from = client;
    added.pipes[0].to = server;
    added.pipes[1].direction = 1 - up;
    added.pipes[1].from = server;
    added.pipes[1].to = client;
    m_connections.push_back(std::move(added));
  }
}

relay_loop::session* relay_loop::session_for(std::size_t index, const sockaddr_in& client)
{
  for (session& open : m_sessions)
  {
    if (open.listener == index && same(open.client, client))
    {
      return &open;
    }
  }
  const int socket = make_socket(true);
  const sockaddr_in target = to_address(m_listeners[index].route.target);
  if (::connect(socket, generic(target), sizeof(target)) != 0)
  {
    ::close(socket);
    return nullptr;
  }
  return &m_sessions.emplace_back(session{index, client, socket});
}

void relay_loop::receive_from(std::size_t index)
{
  const std::size_t direction = m_listeners[index].route.reverse ? 1 : 0;
  while (true)
  {
    sockaddr_in client{};
    socklen_t size = sizeof(client);
    const auto got = ::recvfrom(m_listeners[index].socket, m_buffer.data(), m_buffer.size(), 0,
                                reinterpret_cast<sockaddr*>(&client), &size);
    if (got < 0)
    {
      return;
    }
    const session* through = session_for(index, client);
    if (through != nullptr)
    {
      queue_datagram(
          {{}, through->socket, {}, true, {m_buffer.data(), static_cast<std::size_t>(got)}},
          direction);
    }
  }
}

void relay_loop::receive_replies(const session& from)
{
  const listener& at = m_listeners[from.listener];
  const std::size_t direction = at.route.reverse ? 0 : 1;
  while (true)
  {
    const auto got = ::recv(from.socket, m_buffer.data(), m_buffer.size(), 0);
    // A refused datagram is reported here once; the loop ends and goes on with the next event.
    if (got < 0)
    {
      return;
    }
    queue_datagram(
        {{}, at.socket, from.client, false, {m_buffer.data(), static_cast<std::size_t>(got)}},
        direction);
  }
}

void relay_loop::queue_datagram(datagram item, std::size_t direction)
{
  const bool full = m_free_at[direction] > clock::now() + longest_queue;
  if (m_faults.cut || held(direction) || full)
  {
    return;
  }
  item.due = reserve(item.data.size(), direction);
  m_datagrams.push_back(std::move(item));
}

void relay_loop::send_datagrams()
{
  const auto now = clock::now();
  std::erase_if(m_datagrams,
                [now](const datagram& item)
                {
                  if (item.due > now)
                  {
                    return false;
                  }
                  const sockaddr* to = item.connected ? nullptr : generic(item.to);
                  ::sendto(item.socket, item.data.data(), item.data.size(), MSG_NOSIGNAL, to,
                           item.connected ? 0 : sizeof(item.to));
                  return true;
                });
}

void relay_loop::pump(connection& through)
{
  for (pipe& part : through.pipes)
  {
    if (!through.broken && may_read(through, part))
    {
      read_some(through, part);
    }
    if (!through.broken && !through.silent && !held(part.direction))
    {
      write_due(through, part);
    }
  }
  through.broken = through.broken || (through.pipes[0].end_sent && through.pipes[1].end_sent);
}

void relay_loop::read_some(connection& through, pipe& from)
{
  const auto got = ::recv(from.from, m_buffer.data(), read_limit(), 0);
  if (got > 0)
  {
    const auto size = static_cast<std::size_t>(got);
    from.queue.push_back({reserve(size, from.direction), std::string(m_buffer.data(), size)});
    from.queued += size;
  }
  else if (got == 0)
  {
    from.ended = true;
  }
  else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
  {
    through.broken = true;
  }
}

void relay_loop::write_due(connection& through, pipe& to)
{
  const auto now = clock::now();
  while (!to.queue.empty() && to.queue.front().due <= now)
  {
    packet& first = to.queue.front();
    const auto sent =
        ::send(to.to, first.data.data() + first.sent, first.data.size() - first.sent, MSG_NOSIGNAL);
    if (sent < 0)
    {
      through.broken = errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
      return;
    }
    first.sent += static_cast<std::size_t>(sent);
    to.queued -= static_cast<std::size_t>(sent);
    if (first.sent < first.data.size())
    {
      return;
    }
    to.queue.pop_front();
  }
  if (to.ended && to.queue.empty() && !to.end_sent)
  {
    ::shutdown(to.to, SHUT_WR);
    to.end_sent = true;
  }
}

void relay_loop::close_broken()
{
  std::erase_if(m_connections,
                [](const connection& open)
                {
                  if (!open.broken)
                  {
                    return false;
                  }
                  const bool whole = open.pipes[0].end_sent && open.pipes[1].end_sent;
                  for (const pipe& part : open.pipes)
                  {
                    whole ? static_cast<void>(::close(part.from)) : reset_and_close(part.from);
                  }
                  return true;
                });
}

} // namespace pollenyoke::stand_ins
