#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Common/TokenBucket.h"
#include "Emulator/DelayedCalls.h"
#include "Emulator/HttpServer.h"
#include "Emulator/LogStore.h"

namespace pollenyoke::emulator
{

/// How the store answers.
enum class store_fault
{
  none,
  /// 503.
  refuses,
  /// 429.
  busy,
  /// No answer.
  silent,
  /// The connection is reset.
  resets,
  /// Calls are executed and their connections reset.
  loses_answers,
  /// Answers come after 0.4 s.
  slow,
};

struct store_limits
{
  double reads_per_s = 2000;
  double writes_per_s = 400;
};

/// The platform's store. Each machine reaches it at an address of its own, so that faults can
/// concern single machines.
class store_service
{
public:
  store_service(async_io::event_loop& loop, const store_limits& limits, std::uint64_t seed);

  result<void> add_machine(const std::string& machine, const transport::endpoint& address);
  /// The fault of one machine; `share`: how many of its calls are concerned.
  void set_fault(const std::string& machine, store_fault fault, double share = 1);
  /// The store is away for everyone, the operator and the backend servers included.
  void set_fault_for_all(store_fault fault, double share = 1);
  /// The machine's connections to the store go silent or are refused.
  void set_connection_fault(const std::string& machine, connection_fault fault);
  /// The connections of a machine to the store that are open now go silent for good, or only those
  /// on which a read waits; new ones work.
  void silence_open_connections(const std::string& machine, bool only_waiting);
  void forget_history();
  /// The store comes back from a copy that is about as old; what was written since is gone, and its
  /// era rises. The operator and the backend servers write their part again a little later.
  void restore(std::chrono::milliseconds copy_age);
  /// Long reads of this topic are reset whenever they would have to wait.
  void set_resetting_topic(std::string topic);

  /// Writes as the operator or a backend server. Error `unavailable`: the store is away. Returns
  /// when the write was acknowledged.
  result<std::uint64_t> put(const std::string& topic, std::string_view key,
                            const std::optional<std::string>& value);
  bool is_away() const;

private:
  struct machine_state
  {
    std::unique_ptr<http_server> server;
    store_fault fault = store_fault::none;
    double share = 1;
  };
  struct pending_read
  {
    std::string machine;
    std::string topic;
    unsigned part = 0;
    std::uint64_t from = 0;
    std::size_t max_bytes = 0;
    std::shared_ptr<http_reply> reply;
    std::uint64_t number = 0;
  };

  /// A write of the operator or a backend server.
  struct journal_entry
  {
    std::chrono::steady_clock::time_point at;
    std::string topic;
    std::string key;
    std::optional<std::string> value;
  };
  struct copy
  {
    std::chrono::steady_clock::time_point at;
    log_store log;
  };

  void keep_copies();
  void write_again(std::chrono::steady_clock::time_point from,
                   std::chrono::steady_clock::time_point to);
  std::string fields(std::string_view more = {}) const;
  store_fault fault_of(const machine_state& machine);
  void handle(const std::string& machine, const http_request& request,
              const std::shared_ptr<http_reply>& reply);
  void execute(const std::string& machine, const http_request& request,
               const std::shared_ptr<http_reply>& reply, bool answer);
  void read(const std::string& machine, const http_request& request,
            const std::shared_ptr<http_reply>& reply);
  void append(const http_request& request, const std::shared_ptr<http_reply>& reply, bool answer);
  void newest(const http_request& request, const std::shared_ptr<http_reply>& reply);
  void notify(const std::string& topic, unsigned part);
  void answer_read(const pending_read& read);

  async_io::event_loop& m_loop;
  log_store m_log;
  token_bucket m_reads;
  token_bucket m_writes;
  std::mt19937_64 m_random;
  std::map<std::string, machine_state> m_machines;
  machine_state m_all;
  std::string m_resetting_topic;
  std::vector<pending_read> m_pending;
  std::uint64_t m_next_read = 0;
  std::uint64_t m_era = 1;
  /// Taken in regular intervals, oldest first.
  std::deque<copy> m_copies;
  std::deque<journal_entry> m_journal;
  delayed_calls m_later;
};

} // namespace pollenyoke::emulator
