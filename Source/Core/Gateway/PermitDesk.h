#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "AsyncIo/EventLoop.h"
#include "Gateway/FleetLink.h"
#include "Gateway/PermitIssuer.h"

namespace pollenyoke::gateway
{

/// Asks for permits to send requests to limited servers, and issues those of the servers that this
/// entry is responsible for.
class permit_desk
{
public:
  using handler = std::function<void(const permit_decision&)>;

  permit_desk(async_io::event_loop& loop, fleet_link link, std::uint64_t random_seed);

  /// Calls `done` once, possibly at once. An owner that does not answer grants nothing.
  void ask(const permit_query& query, handler done);
  /// Handles a request for a permit from another entry.
  void receive(const peers::permit_request& request, const std::string& from);
  void receive(const peers::permit_answer& answer);

private:
  struct open_question
  {
    explicit open_question(async_io::event_loop& loop) : timeout(loop) {}

    async_io::timer timeout;
    handler done;
  };

  permit_decision decide(const permit_query& query);
  void finish(std::uint64_t number, const permit_decision& decision);

  async_io::event_loop& m_loop;
  fleet_link m_link;
  permit_issuer m_issuer;
  std::map<std::uint64_t, std::unique_ptr<open_question>> m_open;
  std::mt19937_64 m_random;
  /// An answer to an earlier process of this host names another number.
  std::uint64_t m_next_number;
};

} // namespace pollenyoke::gateway
