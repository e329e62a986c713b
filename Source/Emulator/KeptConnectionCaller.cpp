#include "Emulator/KeptConnectionCaller.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pollenyoke::emulator
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{10};
constexpr milliseconds slow_poll_interval{60};
constexpr std::size_t slow_read_bytes = 128;
constexpr int slow_receive_buffer = 2304;
constexpr double mean_think_s = 0.1;
constexpr double mean_reconnect_s = 0.2;
constexpr double connect_limit_s = 1;
// Callers wait a little beyond the deadline that they state.
constexpr double patience_s = 0.5;

} // namespace

kept_connection_caller::kept_connection_caller(async_io::event_loop& loop, recorder& record,
                                               std::string machine, transport::endpoint address,
                                               const caller_habits& habits, request_source source,
                                               std::uint64_t seed)
    : m_timer(loop), m_record(record), m_machine(std::move(machine)), m_address(std::move(address)),
      m_habits(habits), m_source(std::move(source)), m_random(seed)
{
  std::array<char, 24> text{};
  (void)std::snprintf(text.data(), text.size(), "k%08llx",
                      static_cast<unsigned long long>(m_random() & 0xffffffffU));
  m_prefix = text.data();
}

kept_connection_caller::~kept_connection_caller()
{
  if (m_socket >= 0)
  {
    ::close(m_socket);
  }
}

void kept_connection_caller::start()
{
  m_next_at = m_record.now() + draw_pause(mean_think_s);
  poll();
}

void kept_connection_caller::stop()
{
  m_stopped = true;
}

moment kept_connection_caller::draw_pause(double mean_s)
{
  return std::exponential_distribution<double>(1 / mean_s)(m_random);
}

void kept_connection_caller::poll()
{
  if (m_socket < 0 && !m_stopped && m_record.now() >= m_next_at)
  {
    open();
  }
  if (m_socket >= 0 && (m_connected || finish_connecting()))
  {
    read_available();
  }
  if (m_socket >= 0 && m_connected)
  {
    send_requests();
    write_pending();
  }
  check_deadline();
  m_timer.start(m_habits.reads_slowly ? slow_poll_interval : poll_interval, [this] { poll(); });
}

void kept_connection_caller::open()
{
  m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_socket < 0)
  {
    m_next_at = m_record.now() + draw_pause(mean_reconnect_s);
    return;
  }
  const int on = 1;
  (void)::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (m_habits.reads_slowly)
  {
    (void)::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &slow_receive_buffer,
                       sizeof(slow_receive_buffer));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(m_address.port);
  (void)::inet_pton(AF_INET, m_address.ip.c_str(), &address.sin_addr);
  m_connected = false;
  m_used = false;
  m_written = 0;
  m_queued = 0;
  m_unsent.clear();
  m_connecting_since = m_record.now();
  if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS)
  {
    end_connection(true);
  }
}

bool kept_connection_caller::finish_connecting()
{
  pollfd waited{m_socket, POLLOUT, 0};
  if (::poll(&waited, 1, 0) <= 0)
  {
    if (m_record.now() - m_connecting_since > connect_limit_s)
    {
      end_connection(true);
    }
    return false;
  }
  int failure = 0;
  socklen_t size = sizeof(failure);
  (void)::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size);
  if (failure != 0)
  {
    end_connection(true);
    return false;
  }
  m_connected = true;
  return true;
}

void kept_connection_caller::send_requests()
{
  if (m_stopped || !m_pending.empty() || m_record.now() < m_next_at)
  {
    return;
  }
  const unsigned count = 1 + static_cast<unsigned>(m_random() % m_habits.pipelined);
  for (unsigned i = 0; i < count; ++i)
  {
    const caller_request request = m_source();
    if (request.key.empty())
    {
      return;
    }
    const std::string id = m_prefix + "-" + std::to_string(++m_next_id);
    m_unsent += write_request(request, id, m_habits.form);
    m_queued = m_written + m_unsent.size();
    attempt sent = make_attempt(request, id, m_machine, m_record.now());
    sent.on_kept_connection = m_used;
    m_pending.push_back({.attempt = m_record.add_attempt(std::move(sent)),
                         .answer = answer_reader(id, request.route.streaming),
                         .end = m_queued});
    m_used = true;
  }
}

void kept_connection_caller::write_pending()
{
  while (!m_unsent.empty())
  {
    const ssize_t sent = ::send(m_socket, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
    if (sent <= 0)
    {
      // What ended the connection shows when it is read.
      break;
    }
    m_written += static_cast<std::size_t>(sent);
    m_unsent.erase(0, static_cast<std::size_t>(sent));
  }
  for (sent_request& pending : m_pending)
  {
    if (!pending.whole_sent && pending.end <= m_written)
    {
      pending.whole_sent = true;
      m_record.attempt_at(pending.attempt).sent = m_record.now();
    }
  }
}

void kept_connection_caller::read_available()
{
  std::array<char, 16384> buffer{};
  while (m_socket >= 0)
  {
    const std::size_t most = m_habits.reads_slowly ? slow_read_bytes : buffer.size();
    const ssize_t received = ::recv(m_socket, buffer.data(), most, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
    {
      return;
    }
    if (received <= 0)
    {
      end_connection(received < 0);
      return;
    }
    take({buffer.data(), static_cast<std::size_t>(received)});
    if (m_habits.reads_slowly)
    {
      return;
    }
  }
}

void kept_connection_caller::take(std::string_view data)
{
  std::string rest(data);
  while (!rest.empty() && m_socket >= 0)
  {
    if (m_pending.empty())
    {
      m_record.add_attempt({.id = m_prefix,
                            .machine = m_machine,
                            .sent = m_record.now(),
                            .ended = m_record.now(),
                            .answer = answer_state::wrong,
                            .problem = "bytes on a connection with no request"});
      end_connection(false);
      return;
    }
    sent_request& front = m_pending.front();
    attempt& sent = m_record.attempt_at(front.attempt);
    front.answer.feed(rest, sent, m_record.now());
    if (!front.answer.is_done())
    {
      return;
    }
    sent.ended = m_record.now();
    sent.answer = front.answer.state();
    sent.problem = front.answer.problem();
    const bool keeps = front.answer.keep_alive() && sent.answer == answer_state::whole;
    rest = front.answer.take_surplus();
    m_pending.pop_front();
    m_next_at = m_record.now() + draw_pause(mean_think_s);
    if (!keeps)
    {
      for (const sent_request& behind : m_pending)
      {
        m_record.attempt_at(behind.attempt).behind_last_answer = true;
      }
      end_connection(false);
    }
  }
}

void kept_connection_caller::end_connection(bool reset)
{
  ::close(m_socket);
  m_socket = -1;
  const bool was_connected = m_connected;
  m_connected = false;
  bool is_behind_cut = false;
  for (sent_request& pending : m_pending)
  {
    attempt& sent = m_record.attempt_at(pending.attempt);
    sent.behind_last_answer = sent.behind_last_answer || is_behind_cut;
    pending.answer.feed_end();
    sent.ended = m_record.now();
    sent.answer = pending.answer.state();
    sent.problem = sent.answer == answer_state::wrong ? pending.answer.problem() : "";
    sent.reset = reset || !pending.whole_sent || !was_connected;
    is_behind_cut = is_behind_cut || sent.answer == answer_state::cut;
  }
  m_pending.clear();
  m_next_at = m_record.now() + draw_pause(mean_reconnect_s);
}

void kept_connection_caller::check_deadline()
{
  if (m_pending.empty() ||
      m_record.now() < m_record.attempt_at(m_pending.front().attempt).due + patience_s)
  {
    return;
  }
  for (const sent_request& pending : m_pending)
  {
    m_record.attempt_at(pending.attempt).gave_up = true;
  }
  end_connection(false);
}

} // namespace pollenyoke::emulator
