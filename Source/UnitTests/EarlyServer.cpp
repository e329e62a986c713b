#include "UnitTests/EarlyServer.h"

#include <array>
#include <random>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cppunit/TestAssert.h>

namespace pollenyoke::test
{

early_server::early_server(answer_end how, std::string fields)
    : m_how(how), m_fields(std::move(fields)), m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  CPPUNIT_ASSERT_EQUAL(0, ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size));
  CPPUNIT_ASSERT_EQUAL(0, ::listen(m_listener, SOMAXCONN));
  ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { accept_all(); });
}

early_server::~early_server()
{
  ::shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  for (std::thread& worker : m_workers)
  {
    worker.join();
  }
  ::close(m_listener);
}

std::uint16_t early_server::port() const
{
  return m_port;
}

void early_server::accept_all()
{
  for (unsigned seed = 1;; ++seed)
  {
    const int connection = ::accept(m_listener, nullptr, nullptr);
    if (connection < 0)
    {
      return;
    }
    m_workers.emplace_back([this, connection, seed] { serve(connection, seed); });
  }
}

void early_server::serve(int connection, unsigned seed) const
{
  std::mt19937 random(seed);
  const auto pause = [&random](int longest_us)
  {
    std::this_thread::sleep_for(
        std::chrono::microseconds(std::uniform_int_distribution<>(0, longest_us)(random)));
  };
  std::string request;
  std::array<char, 4096> buffer{};
  while (request.find("\r\n\r\n") == std::string::npos)
  {
    const ssize_t received = ::recv(connection, buffer.data(), buffer.size(), 0);
    if (received <= 0)
    {
      ::close(connection);
      return;
    }
    request.append(buffer.data(), static_cast<std::size_t>(received));
  }
  pause(500);
  const std::string answer =
      "HTTP/1.1 200 OK\r\n" + m_fields + "\r\n" +
      std::string(m_how == answer_end::reset ? answer_bytes / 2 : answer_bytes, 'a');
  (void)::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  pause(1000);
  if (m_how == answer_end::in_order)
  {
    ::shutdown(connection, SHUT_WR);
    pause(500);
  }
  ::close(connection);
}

} // namespace pollenyoke::test
