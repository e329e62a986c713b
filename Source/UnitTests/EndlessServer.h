#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>

#include "AsyncIo/TcpConnection.h"

namespace pollenyoke::test
{

/// A server in trouble: answers the first bytes of each connection with `head` and then with
/// `filler` again and again, until the caller closes.
class endless_server
{
public:
  // Far beyond every limit and the socket buffers; a server that gets here was not stopped.
  static constexpr std::size_t give_up_bytes = 96U << 20U;

  /// `pause`: time between two fillers; zero for as fast as the caller reads.
  endless_server(async_io::event_loop& loop, std::string head, const std::string& filler,
                 std::chrono::milliseconds pause = {})
      : m_head(std::move(head)), m_pause(pause), m_timer(loop),
        m_listener(loop, [this](const async_io::tcp_connection::pointer& connection)
                   { accept(connection); })
  {
    const std::size_t block_bytes = pause.count() == 0 ? 65536 : 1;
    while (m_block.size() < block_bytes)
    {
      m_block += filler;
    }
    CPPUNIT_ASSERT(m_listener.listen({"127.0.0.1", 0}));
  }

  ~endless_server()
  {
    for (const auto& connection : m_connections)
    {
      connection->close();
    }
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;
  endless_server(endless_server&&) = delete;
  endless_server& operator=(endless_server&&) = delete;

  std::uint16_t port() const
  {
    return m_listener.port();
  }
  std::size_t sent_bytes() const
  {
    return m_sent_bytes;
  }
  bool was_stopped_by_its_caller() const
  {
    return m_closed > 0 && m_sent_bytes < give_up_bytes;
  }

private:
  void accept(const async_io::tcp_connection::pointer& connection)
  {
    m_connections.push_back(connection);
    auto* const open = connection.get();
    connection->start(
        [this, open, begun = false](std::string_view) mutable
        {
          if (!begun)
          {
            begun = true;
            open->set_sent_handler([this, open] { send(*open); });
            open->write(m_head + m_block);
          }
        },
        [this](async_io::close_reason) { ++m_closed; });
  }

  void send(async_io::tcp_connection& connection)
  {
    m_sent_bytes += m_block.size();
    if (m_sent_bytes < give_up_bytes)
    {
      m_timer.start(m_pause, [this, &connection] { connection.write(m_block); });
    }
  }

  std::string m_head;
  std::string m_block;
  std::chrono::milliseconds m_pause;
  async_io::timer m_timer;
  async_io::tcp_listener m_listener;
  std::vector<async_io::tcp_connection::pointer> m_connections;
  std::size_t m_sent_bytes = 0;
  unsigned m_closed = 0;
};

/// One way to send bytes that are no answer.
struct endless_answer
{
  std::string name;
  std::string head;
  std::string filler;
};

/// `fields`: header fields that an answer needs to be accepted, each with its line end.
std::vector<endless_answer> endless_answers(const std::string& fields);

} // namespace pollenyoke::test
