#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <poll.h>

#include "Common/Result.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::stand_ins
{

struct relay_faults
{
  /// Bytes per second in each direction, shared by all routes; 0 is unlimited.
  double rate = 0;
  std::chrono::milliseconds delay{0};
  /// Holds all traffic.
  bool stall = false;
  /// Per direction: TCP data is held, datagrams are lost.
  std::array<bool, 2> blackhole{};
  /// Closes connections and loses datagrams.
  bool cut = false;
};

struct relay_route
{
  bool udp = false;
  transport::endpoint listen;
  transport::endpoint target;
  /// The client is on the far side: what it sends counts as backward.
  bool reverse = false;
};

/// Forwards TCP connections and UDP datagrams on one thread; direction 0 is forward. Thread-safe.
class relay_loop
{
public:
  using clock = std::chrono::steady_clock;

  relay_loop();
  ~relay_loop();
  relay_loop(const relay_loop&) = delete;
  relay_loop& operator=(const relay_loop&) = delete;
  relay_loop(relay_loop&&) = delete;
  relay_loop& operator=(relay_loop&&) = delete;

  /// Returns the address that the route listens on.
  result<transport::endpoint> add_route(const relay_route& route);
  void set_faults(const relay_faults& faults);
  /// The connections that are open now go silent for good; new ones work.
  void silence_open_connections();
  std::array<std::uint64_t, 2> bytes() const;
  std::size_t connections() const;

private:
  struct packet
  {
    clock::time_point due;
    std::string data;
    std::size_t sent = 0;
  };

  static constexpr std::size_t largest_read = 65536;

  /// One direction of a TCP connection.
  struct pipe
  {
    std::size_t direction = 0;
    int from = -1;
    int to = -1;
    std::deque<packet> queue;
    std::size_t queued = 0;
    bool ended = false;
    bool end_sent = false;
  };

  struct connection
  {
    std::array<pipe, 2> pipes;
    bool silent = false;
    bool broken = false;
  };

  struct listener
  {
    relay_route route;
    int socket = -1;
  };

  struct session
  {
    std::size_t listener = 0;
    sockaddr_in client{};
    int socket = -1;
  };

  struct datagram
  {
    clock::time_point due;
    int socket = -1;
    sockaddr_in to{};
    bool connected = false;
    std::string data;
  };

  void run();
  void wait_for_events();
  void wake();
  short events_of(const connection& from, std::size_t side) const;
  clock::time_point next_due() const;
  void accept_from(const listener& at);
  void receive_from(std::size_t index);
  void receive_replies(const session& from);
  session* session_for(std::size_t index, const sockaddr_in& client);
  void queue_datagram(datagram item, std::size_t direction);
  void send_datagrams();
  void pump(connection& through);
  void read_some(connection& through, pipe& from);
  void write_due(connection& through, pipe& to);
  void close_broken();
  bool may_read(const connection& through, const pipe& from) const;
  bool held(std::size_t direction) const;
  std::size_t read_limit() const;
  clock::time_point reserve(std::size_t bytes, std::size_t direction);

  mutable std::mutex m_mutex;
  relay_faults m_faults;
  bool m_stopping = false;
  std::array<int, 2> m_wake{-1, -1};
  std::vector<listener> m_listeners;
  std::list<session> m_sessions;
  std::list<connection> m_connections;
  std::deque<datagram> m_datagrams;
  std::array<clock::time_point, 2> m_free_at{};
  std::array<std::uint64_t, 2> m_bytes{};
  /// The pipe that wakes the loop, then the listeners, sessions and connections.
  std::vector<pollfd> m_polled;
  std::size_t m_polled_listeners = 0;
  std::vector<char> m_buffer = std::vector<char>(largest_read);
  std::thread m_thread;
};

} // namespace pollenyoke::stand_ins
