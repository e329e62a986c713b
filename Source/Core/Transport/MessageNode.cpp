#include "Transport/MessageNode.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include <boost/asio.hpp>
#include <oneapi/tbb/task_arena.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

#include "Common/Log.h"

namespace pollenyoke::transport
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using clock = std::chrono::steady_clock;

// Header on TCP and UDP: magic, protocol version, message type, body length (little endian).
constexpr std::array<std::uint8_t, 2> magic = {0x50, 0x59};
constexpr std::uint8_t protocol_version = 1;
constexpr std::size_t header_bytes = 8;
constexpr std::uint8_t type_ping = 1;

using header = std::array<std::uint8_t, header_bytes>;
using buffer = std::vector<std::byte>;

header make_header(const frame& message)
{
  const auto size = static_cast<std::uint32_t>(message.payload.size());
  return {magic[0],
          magic[1],
          protocol_version,
          message.type,
          static_cast<std::uint8_t>(size),
          static_cast<std::uint8_t>(size >> 8U),
          static_cast<std::uint8_t>(size >> 16U),
          static_cast<std::uint8_t>(size >> 24U)};
}

// Debian's oneTBB is not built with ThreadSanitizer, which therefore does not see that handing a
// task to a worker synchronises the two threads. These calls state it; they do nothing in other
// builds.
#if defined(__SANITIZE_THREAD__)
void release_handover(void* queue)
{
  __tsan_release(queue);
}
void acquire_handover(void* queue)
{
  __tsan_acquire(queue);
}
#else
void release_handover(void* /*queue*/) {}
void acquire_handover(void* /*queue*/) {}
#endif

struct parsed_header
{
  std::uint8_t type = 0;
  std::uint32_t size = 0;
};

result<parsed_header> parse_header(const header& bytes)
{
  if (bytes[0] != magic[0] || bytes[1] != magic[1])
  {
    return fail(error_code::malformed, "not a pollenyoke frame");
  }
  if (bytes[2] != protocol_version)
  {
    return fail(error_code::malformed, "unsupported protocol version");
  }
  parsed_header parsed;
  parsed.type = bytes[3];
  for (std::size_t i = 0; i < 4; ++i)
  {
    parsed.size |= static_cast<std::uint32_t>(bytes.at(4 + i)) << (8U * i);
  }
  if (parsed.size > max_frame_bytes)
  {
    return fail(error_code::limit_exceeded, "frame larger than the limit");
  }
  return parsed;
}

buffer to_buffer(const frame& message)
{
  const header head = make_header(message);
  buffer out(header_bytes + message.payload.size());
  std::memcpy(out.data(), head.data(), header_bytes);
  if (!message.payload.empty())
  {
    std::memcpy(out.data() + header_bytes, message.payload.data(), message.payload.size());
  }
  return out;
}

} // namespace

class message_node::implementation
{
public:
  implementation(const message_node_options& options, message_handlers handlers)
      : m_options(options), m_handlers(std::move(handlers)), m_acceptor(m_io), m_udp(m_io),
        m_timer(m_io), m_arena(static_cast<int>(std::max(1U, options.workers)), 0)
  {
  }

  result<void> open();
  void run();
  void stop();

  connection_id connect(const endpoint& to);
  bool send(connection_id to, const frame& message);
  void send_datagram(const endpoint& to, const frame& message);
  void close(connection_id id);
  std::size_t unsent_bytes(connection_id id) const;
  std::size_t connection_count() const;

  endpoint tcp_endpoint() const
  {
    return m_tcp_endpoint;
  }
  endpoint udp_endpoint() const
  {
    return m_udp_endpoint;
  }
  std::uint64_t bytes_sent() const
  {
    return m_bytes_sent;
  }
  std::uint64_t bytes_received() const
  {
    return m_bytes_received;
  }

private:
  // An item of a connection's inbound queue; `closed` ends the queue.
  struct inbound
  {
    frame message;
    bool closed = false;
  };

  struct connection
  {
    connection(asio::io_context& io, connection_id number) : id(number), socket(io) {}

    const connection_id id;
    // Socket and read state belong to the I/O thread.
    tcp::socket socket;
    header head{};
    frame reading;
    clock::time_point last_received = clock::now();
    bool connected = false;
    bool closed = false;
    bool writing = false;
    std::vector<buffer> in_write;

    // The mutex guards the members below.
    std::mutex mutex;
    std::vector<buffer> unsent;
    std::size_t unsent_total = 0;
    std::deque<inbound> received;
    std::size_t received_bytes = 0;
    bool delivering = false;
    bool read_paused = false;
  };
  using connection_ptr = std::shared_ptr<connection>;

  // Reading from a connection stops while this much undelivered input is queued.
  static constexpr std::size_t max_received_bytes = std::size_t{8} * 1024 * 1024;

  connection_ptr add_connection();
  connection_ptr find(connection_id id) const;
  void accept_next();
  void read_header(const connection_ptr& c);
  void read_payload(const connection_ptr& c);
  void on_message(const connection_ptr& c);
  void write_next(const connection_ptr& c);
  void drop(const connection_ptr& c, std::string_view reason);
  bool deliver_now(const connection_ptr& c);
  void enqueue(const connection_ptr& c, inbound item);
  void deliver(const connection_ptr& c);
  bool queue_bytes(const connection_ptr& c, buffer bytes, bool limited);
  void receive_datagram();
  void on_timer();
  void run_in_pool(std::function<void()> work);
  void run_task(std::function<void()>* work);

  // Trivially copyable, and read without instrumentation: run_task states the hand-over first.
  struct pool_task
  {
    implementation* self;
    std::function<void()>* work;

    __attribute__((no_sanitize("thread"))) void operator()() const
    {
      self->run_task(work);
    }
  };

  message_node_options m_options;
  message_handlers m_handlers;
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  udp::socket m_udp;
  asio::steady_timer m_timer;
  endpoint m_tcp_endpoint;
  endpoint m_udp_endpoint;
  std::array<std::byte, 65536> m_datagram{};
  udp::endpoint m_datagram_from;

  mutable std::mutex m_mutex;
  std::unordered_map<connection_id, connection_ptr> m_connections;
  connection_id m_next_id = 1;

  std::atomic<std::uint64_t> m_bytes_sent{0};
  std::atomic<std::uint64_t> m_bytes_received{0};
  std::atomic<bool> m_stopped{false};
  oneapi::tbb::task_arena m_arena;
  std::mutex m_pending_mutex;
  std::condition_variable m_all_done;
  std::size_t m_pending = 0;
  std::thread m_thread;
};

result<void> message_node::implementation::open()
{
  boost::system::error_code ec;
  const auto address = asio::ip::make_address(m_options.tcp.ip, ec);
  const auto udp_address = asio::ip::make_address(m_options.udp.ip, ec);
  if (ec)
  {
    return fail(error_code::invalid_argument, "listen address must be a numeric IP address");
  }
  const tcp::endpoint tcp_at(address, m_options.tcp.port);
  m_acceptor.open(tcp_at.protocol(), ec);
  m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  m_acceptor.bind(tcp_at, ec);
  if (!ec)
  {
    m_acceptor.listen(1024, ec);
  }
  if (ec)
  {
    return fail(error_code::unavailable,
                "cannot listen on tcp " + to_string(m_options.tcp) + ": " + ec.message());
  }
  const udp::endpoint udp_at(udp_address, m_options.udp.port);
  m_udp.open(udp_at.protocol(), ec);
  m_udp.bind(udp_at, ec);
  if (ec)
  {
    return fail(error_code::unavailable,
                "cannot listen on udp " + to_string(m_options.udp) + ": " + ec.message());
  }
  m_tcp_endpoint = {m_options.tcp.ip, m_acceptor.local_endpoint(ec).port()};
  m_udp_endpoint = {m_options.udp.ip, m_udp.local_endpoint(ec).port()};
  return {};
}

void message_node::implementation::run()
{
  accept_next();
  receive_datagram();
  on_timer();
  m_thread = std::thread([this] { m_io.run(); });
}

void message_node::implementation::stop()
{
  if (m_stopped.exchange(true))
  {
    return;
  }
  m_io.stop();
  if (m_thread.joinable())
  {
    m_thread.join();
  }
  {
    // Not waited for inside the arena: there oneTBB may run the waiting function on a worker, a
    // hand-over that ThreadSanitizer does not see.
    std::unique_lock pending(m_pending_mutex);
    m_all_done.wait(pending, [this] { return m_pending == 0; });
  }
  acquire_handover(this);
  const std::lock_guard lock(m_mutex);
  m_connections.clear();
}

void message_node::implementation::run_in_pool(std::function<void()> work)
{
  auto* owned = new std::function<void()>(std::move(work));
  {
    const std::lock_guard lock(m_pending_mutex);
    ++m_pending;
  }
  release_handover(this);
  m_arena.enqueue(pool_task{this, owned});
}

void message_node::implementation::run_task(std::function<void()>* work)
{
  acquire_handover(this);
  std::unique_ptr<std::function<void()>> owned(work);
  (*owned)();
  owned.reset();
  release_handover(this);
  const std::lock_guard lock(m_pending_mutex);
  if (--m_pending == 0)
  {
    m_all_done.notify_all();
  }
}

message_node::implementation::connection_ptr message_node::implementation::add_connection()
{
  const std::lock_guard lock(m_mutex);
  const connection_id id = m_next_id++;
  auto c = std::make_shared<connection>(m_io, id);
  m_connections.emplace(id, c);
  return c;
}

message_node::implementation::connection_ptr
message_node::implementation::find(connection_id id) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_connections.find(id);
  return found == m_connections.end() ? nullptr : found->second;
}

void message_node::implementation::accept_next()
{
  auto socket = std::make_shared<tcp::socket>(m_io);
  m_acceptor.async_accept(*socket,
                          [this, socket](const boost::system::error_code& ec)
                          {
                            if (ec == asio::error::operation_aborted)
                            {
                              return;
                            }
                            if (!ec)
                            {
                              auto c = add_connection();
                              c->socket = std::move(*socket);
                              c->connected = true;
                              boost::system::error_code ignored;
                              c->socket.set_option(tcp::no_delay(true), ignored);
                              read_header(c);
                            }
                            accept_next();
                          });
}

connection_id message_node::implementation::connect(const endpoint& to)
{
  auto c = add_connection();
  asio::post(m_io,
             [this, c, to]
             {
               boost::system::error_code ec;
               const auto address = asio::ip::make_address(to.ip, ec);
               if (ec)
               {
                 drop(c, "invalid address");
                 return;
               }
               c->last_received = clock::now();
               c->socket.async_connect(tcp::endpoint(address, to.port),
                                       [this, c](const boost::system::error_code& error)
                                       {
                                         if (error)
                                         {
                                           drop(c, error.message());
                                           return;
                                         }
                                         c->connected = true;
                                         boost::system::error_code ignored;
                                         c->socket.set_option(tcp::no_delay(true), ignored);
                                         read_header(c);
                                         write_next(c);
                                       });
             });
  return c->id;
}

void message_node::implementation::read_header(const connection_ptr& c)
{
  asio::async_read(c->socket, asio::buffer(c->head),
                   [this, c](const boost::system::error_code& ec, std::size_t)
                   {
                     if (ec)
                     {
                       drop(c, ec.message());
                       return;
                     }
                     c->last_received = clock::now();
                     const auto parsed = parse_header(c->head);
                     if (!parsed)
                     {
                       log_warning(log_category::transport, "closing connection: malformed frame",
                                   {{"connection", c->id}, {"reason", parsed.error().message}});
                       drop(c, parsed.error().message);
                       return;
                     }
                     c->reading.type = parsed->type;
                     c->reading.payload.resize(parsed->size);
                     read_payload(c);
                   });
}

void message_node::implementation::read_payload(const connection_ptr& c)
{
  // Each partial read counts as a sign of life: a large frame over a slow link is not silence.
  const auto progress = [c](const boost::system::error_code& ec, std::size_t) -> std::size_t
  {
    c->last_received = clock::now();
    return ec ? 0 : 65536;
  };
  asio::async_read(c->socket, asio::buffer(c->reading.payload), progress,
                   [this, c](const boost::system::error_code& ec, std::size_t)
                   {
                     if (ec)
                     {
                       drop(c, ec.message());
                       return;
                     }
                     on_message(c);
                   });
}

void message_node::implementation::on_message(const connection_ptr& c)
{
  m_bytes_received += header_bytes + c->reading.payload.size();
  bool pause = false;
  if (c->reading.type >= first_message_type && !deliver_now(c))
  {
    enqueue(c, inbound{std::move(c->reading), false});
    c->reading = {};
    const std::lock_guard lock(c->mutex);
    pause = c->received_bytes > max_received_bytes;
    c->read_paused = pause;
  }
  if (!pause)
  {
    read_header(c);
  }
}

// A hand-over to the pool wakes workers, which spin before they sleep again. For a frame that
// carries one token this costs several times as much as its handling.
bool message_node::implementation::deliver_now(const connection_ptr& c)
{
  if (!m_handlers.is_short || !m_handlers.is_short(c->reading))
  {
    return false;
  }
  {
    // Only this thread queues frames, so that none can be added before the handler returns.
    const std::lock_guard lock(c->mutex);
    if (c->delivering)
    {
      return false;
    }
  }
  m_handlers.on_frame(c->id, std::move(c->reading));
  c->reading = {};
  return true;
}

void message_node::implementation::enqueue(const connection_ptr& c, inbound item)
{
  {
    const std::lock_guard lock(c->mutex);
    c->received_bytes += item.message.payload.size();
    c->received.push_back(std::move(item));
    if (c->delivering)
    {
      return;
    }
    c->delivering = true;
  }
  run_in_pool([this, c] { deliver(c); });
}

void message_node::implementation::deliver(const connection_ptr& c)
{
  while (!m_stopped)
  {
    inbound item;
    {
      const std::lock_guard lock(c->mutex);
      if (c->received.empty())
      {
        c->delivering = false;
        return;
      }
      item = std::move(c->received.front());
      c->received.pop_front();
      c->received_bytes -= item.message.payload.size();
      if (c->read_paused && c->received_bytes < max_received_bytes / 2)
      {
        c->read_paused = false;
        asio::post(m_io, [this, c] { read_header(c); });
      }
    }
    if (item.closed)
    {
      m_handlers.on_closed(c->id);
    }
    else
    {
      m_handlers.on_frame(c->id, std::move(item.message));
    }
  }
}

bool message_node::implementation::queue_bytes(const connection_ptr& c, buffer bytes, bool limited)
{
  {
    const std::lock_guard lock(c->mutex);
    if (limited && c->unsent_total + bytes.size() > m_options.max_unsent_bytes)
    {
      return false;
    }
    c->unsent_total += bytes.size();
    c->unsent.push_back(std::move(bytes));
    if (c->unsent.size() > 1)
    {
      return true;
    }
  }
  asio::post(m_io, [this, c] { write_next(c); });
  return true;
}

bool message_node::implementation::send(connection_id to, const frame& message)
{
  const auto c = find(to);
  if (c == nullptr || message.payload.size() > max_frame_bytes)
  {
    return false;
  }
  return queue_bytes(c, to_buffer(message), true);
}

void message_node::implementation::write_next(const connection_ptr& c)
{
  if (!c->connected || c->closed || c->writing)
  {
    return;
  }
  {
    const std::lock_guard lock(c->mutex);
    if (c->unsent.empty())
    {
      return;
    }
    c->in_write.swap(c->unsent);
    c->unsent.clear();
  }
  c->writing = true;
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(c->in_write.size());
  for (const buffer& bytes : c->in_write)
  {
    buffers.emplace_back(asio::buffer(bytes));
  }
  asio::async_write(c->socket, buffers,
                    [this, c](const boost::system::error_code& ec, std::size_t written)
                    {
                      m_bytes_sent += written;
                      c->writing = false;
                      c->in_write.clear();
                      {
                        const std::lock_guard lock(c->mutex);
                        c->unsent_total -= std::min(written, c->unsent_total);
                      }
                      if (ec)
                      {
                        drop(c, ec.message());
                        return;
                      }
                      write_next(c);
                    });
}

void message_node::implementation::drop(const connection_ptr& c, std::string_view reason)
{
  if (c->closed)
  {
    return;
  }
  c->closed = true;
  boost::system::error_code ignored;
  c->socket.close(ignored);
  {
    const std::lock_guard lock(m_mutex);
    m_connections.erase(c->id);
  }
  log_debug(log_category::transport, "connection closed",
            {{"connection", c->id}, {"reason", reason}});
  enqueue(c, inbound{{}, true});
}

void message_node::implementation::close(connection_id id)
{
  if (const auto c = find(id))
  {
    asio::post(m_io, [this, c] { drop(c, "closed by this process"); });
  }
}

std::size_t message_node::implementation::unsent_bytes(connection_id id) const
{
  const auto c = find(id);
  if (c == nullptr)
  {
    return 0;
  }
  const std::lock_guard lock(c->mutex);
  return c->unsent_total;
}

std::size_t message_node::implementation::connection_count() const
{
  const std::lock_guard lock(m_mutex);
  return m_connections.size();
}

void message_node::implementation::send_datagram(const endpoint& to, const frame& message)
{
  if (message.payload.size() + header_bytes > max_datagram_bytes)
  {
    log_warning(log_category::transport, "datagram too large",
                {{"type", static_cast<int>(message.type)}, {"bytes", message.payload.size()}});
    return;
  }
  auto bytes = std::make_shared<buffer>(to_buffer(message));
  asio::post(m_io,
             [this, to, bytes]
             {
               boost::system::error_code ec;
               const auto address = asio::ip::make_address(to.ip, ec);
               if (ec)
               {
                 return;
               }
               m_bytes_sent += m_udp.send_to(asio::buffer(*bytes), {address, to.port}, 0, ec);
             });
}

void message_node::implementation::receive_datagram()
{
  m_udp.async_receive_from(
      asio::buffer(m_datagram), m_datagram_from,
      [this](const boost::system::error_code& ec, std::size_t size)
      {
        if (ec == asio::error::operation_aborted)
        {
          return;
        }
        header head{};
        if (!ec && size >= header_bytes)
        {
          m_bytes_received += size;
          std::memcpy(head.data(), m_datagram.data(), header_bytes);
          const auto parsed = parse_header(head);
          if (parsed && parsed->size == size - header_bytes)
          {
            frame message{parsed->type,
                          {m_datagram.begin() + header_bytes,
                           m_datagram.begin() + static_cast<std::ptrdiff_t>(size)}};
            const endpoint from{m_datagram_from.address().to_string(), m_datagram_from.port()};
            run_in_pool([this, from, message = std::move(message)]
                        { m_handlers.on_datagram(from, message); });
          }
        }
        receive_datagram();
      });
}

void message_node::implementation::on_timer()
{
  std::vector<connection_ptr> connections;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, c] : m_connections)
    {
      connections.push_back(c);
    }
  }
  const auto now = clock::now();
  for (const auto& c : connections)
  {
    const bool paused = [&]
    {
      const std::lock_guard lock(c->mutex);
      return c->read_paused;
    }();
    if (!paused && now - c->last_received > m_options.silence)
    {
      drop(c, "silent");
      continue;
    }
    if (c->connected)
    {
      queue_bytes(c, to_buffer(frame{type_ping, {}}), true);
    }
  }
  m_timer.expires_after(m_options.keep_alive);
  m_timer.async_wait(
      [this](const boost::system::error_code& ec)
      {
        if (!ec)
        {
          on_timer();
        }
      });
}

message_node::message_node(std::unique_ptr<implementation> impl) : m_impl(std::move(impl)) {}

message_node::~message_node()
{
  stop();
}

result<std::unique_ptr<message_node>> message_node::start(const message_node_options& options,
                                                          message_handlers handlers)
{
  auto impl = std::make_unique<implementation>(options, std::move(handlers));
  if (auto opened = impl->open(); !opened)
  {
    return tl::unexpected(opened.error());
  }
  impl->run();
  return std::unique_ptr<message_node>(new message_node(std::move(impl)));
}

connection_id message_node::connect(const endpoint& to)
{
  return m_impl->connect(to);
}

bool message_node::send(connection_id to, const frame& message)
{
  return m_impl->send(to, message);
}

void message_node::send_datagram(const endpoint& to, const frame& message)
{
  m_impl->send_datagram(to, message);
}

void message_node::close(connection_id connection)
{
  m_impl->close(connection);
}

std::size_t message_node::unsent_bytes(connection_id connection) const
{
  return m_impl->unsent_bytes(connection);
}

endpoint message_node::tcp_endpoint() const
{
  return m_impl->tcp_endpoint();
}

endpoint message_node::udp_endpoint() const
{
  return m_impl->udp_endpoint();
}

std::size_t message_node::connection_count() const
{
  return m_impl->connection_count();
}

std::uint64_t message_node::bytes_sent() const
{
  return m_impl->bytes_sent();
}

std::uint64_t message_node::bytes_received() const
{
  return m_impl->bytes_received();
}

void message_node::stop()
{
  m_impl->stop();
}

} // namespace pollenyoke::transport
