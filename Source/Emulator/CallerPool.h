#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "AsyncIo/HttpCaller.h"
#include "AsyncIo/IdlePool.h"
#include "Emulator/CallerAttempt.h"
#include "Emulator/DelayedCalls.h"
#include "Emulator/Deployment.h"
#include "Emulator/FleetOperator.h"

namespace pollenyoke::emulator
{

/// The callers of all failure domains: they ask entries for addresses, keep the answers and their
/// connections, come back after a refusal, and leave early at times.
class caller_pool
{
public:
  caller_pool(async_io::event_loop& loop, recorder& record, const deployment& what,
              const layout& where, const fleet_operator& from, std::uint64_t seed);

  void start();
  /// Ends new requests; those in progress go on.
  void stop();
  /// Multiplies the rate of new requests.
  void set_load(double factor);
  /// Share of the callers who leave early; empty for the deployment's.
  void set_impatient_share(std::optional<double> share);
  /// Share of the requests of plain services that have long bodies.
  void set_upload_share(double share);
  /// A request as the callers of the fleet send it; without a key if there is none yet.
  caller_request draw_request();
  /// Entries that said at the last question that they are ready.
  std::size_t ready_entries() const;

private:
  /// A request with its attempts.
  struct request_flow
  {
    caller_request request;
    std::string domain;
    async_io::time_point deadline;
    unsigned retries_left = 1;
  };
  struct address_book
  {
    std::vector<transport::endpoint> current;
    /// Addresses of earlier answers and until when some callers still use them.
    std::map<transport::endpoint, async_io::time_point> earlier;
  };
  struct entry_state
  {
    machine at;
    bool ready = false;
    std::size_t next_probe = 0;
  };

  void send_next();
  std::optional<caller_key> draw_key();
  void begin_attempt(const std::shared_ptr<request_flow>& flow, bool may_reuse);
  void finish_attempt(const std::shared_ptr<request_flow>& flow, const attempt_outcome& outcome);
  std::optional<transport::endpoint> draw_address(const std::string& domain);
  void refresh_addresses(const std::string& domain);
  void ask_address(const std::string& domain, std::vector<machine> entries);
  void accept_addresses(const std::string& domain, std::vector<transport::endpoint> addresses);
  void ask_readiness();
  void probe(entry_state& entry);
  bool draw_upload(const protocol::route& route);
  std::string make_id(bool is_upload = false);
  double random_fraction();

  async_io::event_loop& m_loop;
  recorder& m_record;
  const deployment& m_deployment;
  const fleet_operator& m_operator;
  async_io::http_caller m_http;
  async_io::idle_pool m_pool;
  async_io::idle_pool m_probe_pool;
  delayed_calls m_later;
  async_io::timer m_arrivals;
  std::mt19937_64 m_random;
  std::map<std::string, address_book> m_books;
  std::map<transport::endpoint, entry_state> m_entries;
  double m_load = 1;
  double m_impatient_share = 0;
  double m_upload_share = 0;
  std::uint64_t m_next_id = 0;
  bool m_stopped = false;
};

} // namespace pollenyoke::emulator
