#pragma once

#include "StandIns/RelayLoop.h"
#include "StandIns/StandIn.h"

namespace pollenyoke::stand_ins
{

/// A link for TCP and UDP traffic with one rate for all its routes. Control and counters are on an
/// HTTP address of their own; `POST /standin/routes` adds a route.
class relay_stand_in final : public stand_in
{
public:
  static result<std::unique_ptr<relay_stand_in>> start(const transport::endpoint& control);
  ~relay_stand_in() override;

  /// Returns the address that the route listens on.
  result<transport::endpoint> add_route(const relay_route& route);
  nlohmann::json counters() const override;

protected:
  transport::http_response handle(const transport::http_request& request) override;
  void read_faults(fault_reader& from) override;

private:
  relay_stand_in() = default;

  relay_faults m_faults;
  relay_loop m_loop;
};

/// Parses `{"protocol":"tcp|udp","listen":"IP:PORT","target":"IP:PORT","reverse":BOOL}`.
result<relay_route> parse_route(const nlohmann::json& from);

} // namespace pollenyoke::stand_ins
