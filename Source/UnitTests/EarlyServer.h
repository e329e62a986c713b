#pragma once

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace pollenyoke::test
{

/// How a server ends an answer that has no length.
enum class answer_end
{
  /// Closes in the middle of the answer; unread bytes of the request make this a reset.
  reset,
  /// Ends its sending side behind the whole answer, and closes a little later.
  in_order,
};

/// A server that answers before it has read the body of a request. It uses threads and blocking
/// sockets, so that its steps fall anywhere between the events of the caller's loop.
class early_server
{
public:
  static constexpr std::size_t answer_bytes = 20'000;

  /// `fields`: lines of the head of the answers.
  early_server(answer_end how, std::string fields = {});
  ~early_server();
  early_server(const early_server&) = delete;
  early_server& operator=(const early_server&) = delete;
  early_server(early_server&&) = delete;
  early_server& operator=(early_server&&) = delete;

  std::uint16_t port() const;

private:
  void accept_all();
  void serve(int connection, unsigned seed) const;

  const answer_end m_how;
  const std::string m_fields;
  int m_listener = -1;
  std::uint16_t m_port = 0;
  std::thread m_acceptor;
  std::vector<std::thread> m_workers;
};

} // namespace pollenyoke::test
