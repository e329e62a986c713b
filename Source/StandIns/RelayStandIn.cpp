#include "StandIns/RelayStandIn.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;

result<relay_route> parse_route(const json& from)
{
  if (!from.is_object())
  {
    return fail(error_code::invalid_argument, "route must be an object");
  }
  std::string protocol;
  std::string listen = "127.0.0.1:0";
  std::string target;
  relay_route route;
  fault_reader reader(from);
  reader.read("protocol", protocol);
  reader.read("listen", listen);
  reader.read("target", target);
  reader.read("reverse", route.reverse);
  const auto done = reader.finish();
  const auto listen_at = transport::parse_endpoint(listen);
  const auto forward_to = transport::parse_endpoint(target);
  if (!done || !listen_at || !forward_to || (protocol != "tcp" && protocol != "udp"))
  {
    return fail(error_code::invalid_argument, "route needs protocol, listen and target");
  }
  route.udp = protocol == "udp";
  route.listen = *listen_at;
  route.target = *forward_to;
  return route;
}

result<std::unique_ptr<relay_stand_in>> relay_stand_in::start(const transport::endpoint& control)
{
  std::unique_ptr<relay_stand_in> made(new relay_stand_in);
  const auto listening = made->listen(control);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

relay_stand_in::~relay_stand_in()
{
  close();
}

result<transport::endpoint> relay_stand_in::add_route(const relay_route& route)
{
  return m_loop.add_route(route);
}

json relay_stand_in::counters() const
{
  const auto bytes = m_loop.bytes();
  return {{"bytes_forward", bytes[0]},
          {"bytes_backward", bytes[1]},
          {"connections", m_loop.connections()}};
}

void relay_stand_in::read_faults(fault_reader& from)
{
  from.read("rate_bytes_per_s", m_faults.rate);
  std::int64_t delay = 0;
  if (from.read("delay_ms", delay))
  {
    m_faults.delay = std::chrono::milliseconds(delay);
  }
  from.read("stall", m_faults.stall);
  from.read("cut", m_faults.cut);
  std::string blackhole;
  if (from.read("blackhole", blackhole))
  {
    m_faults.blackhole = {blackhole == "forward" || blackhole == "both",
                          blackhole == "backward" || blackhole == "both"};
  }
  bool silence = false;
  if (from.read("silence_open", silence) && silence)
  {
    m_loop.silence_open_connections();
  }
  m_loop.set_faults(m_faults);
}

transport::http_response relay_stand_in::handle(const transport::http_request& request)
{
  if (request.path != "/standin/routes" || request.method != "POST")
  {
    return transport::error_response(404, "no such path");
  }
  const auto route = parse_route(json::parse(request.body, nullptr, false));
  if (!route)
  {
    return transport::error_response(400, route.error().message);
  }
  const auto local = add_route(*route);
  return local ? json_response({{"listen", transport::to_string(*local)}})
               : transport::error_response(409, local.error().message);
}

} // namespace pollenyoke::stand_ins
