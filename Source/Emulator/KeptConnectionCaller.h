#pragma once

#include <deque>
#include <functional>
#include <random>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "Emulator/AnswerReader.h"
#include "Emulator/Recorder.h"
#include "Transport/Endpoint.h"

namespace pollenyoke::emulator
{

/// How a caller uses its connection.
struct caller_habits
{
  body_form form = body_form::with_length;
  /// Requests that it sends without waiting for answers.
  unsigned pipelined = 1;
  /// Reads a few bytes at a time, into a small receive buffer.
  bool reads_slowly = false;
};

/// A caller that stays with one entry: it sends requests on one connection until the entry ends it,
/// and then opens the next one.
class kept_connection_caller
{
public:
  using request_source = std::function<caller_request()>;

  kept_connection_caller(async_io::event_loop& loop, recorder& record, std::string machine,
                         transport::endpoint address, const caller_habits& habits,
                         request_source source, std::uint64_t seed);
  ~kept_connection_caller();
  kept_connection_caller(const kept_connection_caller&) = delete;
  kept_connection_caller& operator=(const kept_connection_caller&) = delete;
  kept_connection_caller(kept_connection_caller&&) = delete;
  kept_connection_caller& operator=(kept_connection_caller&&) = delete;

  void start();
  /// Sends no new request; those in progress go on.
  void stop();

private:
  struct sent_request
  {
    std::size_t attempt = 0;
    answer_reader answer;
    /// Its end in all that was written on this connection.
    std::size_t end = 0;
    bool whole_sent = false;
  };

  void poll();
  void open();
  bool finish_connecting();
  void send_requests();
  void write_pending();
  void read_available();
  void take(std::string_view data);
  /// The connection has ended.
  void end_connection(bool reset);
  void check_deadline();
  moment draw_pause(double mean_s);

  async_io::timer m_timer;
  recorder& m_record;
  std::string m_machine;
  transport::endpoint m_address;
  caller_habits m_habits;
  request_source m_source;
  std::mt19937_64 m_random;
  std::string m_prefix;
  std::uint64_t m_next_id = 0;
  int m_socket = -1;
  bool m_connected = false;
  bool m_used = false;
  bool m_stopped = false;
  moment m_next_at = 0;
  moment m_connecting_since = 0;
  std::string m_unsent;
  std::size_t m_written = 0;
  std::size_t m_queued = 0;
  std::deque<sent_request> m_pending;
};

} // namespace pollenyoke::emulator
