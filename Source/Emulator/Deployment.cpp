#include "Emulator/Deployment.h"

#include <nlohmann/json.hpp>

#include "Protocol/YamlSection.h"

namespace pollenyoke::emulator
{

namespace
{

using protocol::duration_in;
using protocol::integer;
using protocol::number;
using protocol::section;

// Below the range from which the kernel takes ports of outgoing connections.
constexpr std::uint16_t callers_port = 21005;
constexpr std::uint16_t readiness_port = 21002;
constexpr std::uint16_t control_port = 21000;
constexpr std::uint16_t lookup_port = 21009;
constexpr std::uint16_t proxy_port = 21006;
constexpr std::uint16_t engine_port = 21001;
constexpr std::uint16_t store_port = 21007;
constexpr std::uint16_t peer_port = 21700;
constexpr unsigned max_entries = 150;
constexpr unsigned max_engines = 300;
constexpr unsigned max_desks = 30;
// Last part of an address; one kind of host each.
constexpr unsigned first_entry = 1;
constexpr unsigned first_agent = 101;
constexpr unsigned first_desk = 221;
// Third part of the addresses at which the machines of a domain reach the store.
constexpr unsigned store_subnet = 100;
constexpr unsigned origin_subnet = 200;
constexpr std::size_t max_seeds = 3;

result<std::map<std::string, std::string>> domain_regions(const std::string& text)
{
  std::map<std::string, std::string> domains;
  std::string_view rest = text;
  while (!rest.empty())
  {
    const std::string_view part = rest.substr(0, rest.find(','));
    rest.remove_prefix(std::min(part.size() + 1, rest.size()));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0 || equals + 1 == part.size())
    {
      return fail(error_code::invalid_argument, "must be a list of DOMAIN=REGION");
    }
    domains[std::string(part.substr(0, equals))] = part.substr(equals + 1);
  }
  if (domains.empty() || domains.size() > 8)
  {
    return fail(error_code::invalid_argument, "must name one to eight failure domains");
  }
  return domains;
}

void read_engine(section& root, engine_model& out)
{
  section part = root.child("engine");
  part.optional("slots", out.slots, integer<unsigned>(1, 1000));
  part.optional("queue", out.queue, integer<unsigned>(0, 10000));
  part.optional("step_ms", out.step_ms, number(0.1, 1000));
  part.optional("prompt_tokens_per_s", out.prompt_tokens_per_s, number(1, 1e9));
  part.optional("layers", out.layers, integer<unsigned>(1, 1000));
  part.optional("pieces", out.pieces, integer<unsigned>(1, 10000));
  part.optional("piece_bytes", out.piece_bytes, integer<std::uint32_t>(1, 4U << 20U));
  part.optional("load_ms", out.load_time, duration_in<std::chrono::milliseconds>(0, 60000));
  part.finish();
}

void read_bounds(section& root, rule_bounds& out)
{
  section part = root.child("bounds");
  part.optional("stability_window_s", out.stability_window, number(0, 60));
  part.optional("config_apply_s", out.config_apply, number(0, 60));
  part.optional("drain_timeout_s", out.drain_timeout, number(0, 60));
  part.optional("weight_version_s", out.weight_version, number(0, 600));
  part.optional("recovery_s", out.recovery, number(0, 600));
  part.optional("stop_grace_s", out.stop_grace, number(1, 600));
  part.optional("retry_budget_ratio", out.retry_budget_ratio, number(0, 10));
  part.optional("retry_budget_extra", out.retry_budget_extra, number(0, 1e6));
  part.finish();
}

void read_root(section& root, deployment& out)
{
  root.optional("domains", out.domains, domain_regions);
  root.optional("entries", out.entries, integer<unsigned>(1, max_entries));
  root.optional("engines", out.engines, integer<unsigned>(1, max_engines));
  root.optional("desks", out.desks, integer<unsigned>(1, max_desks));
  root.optional("requests_per_s", out.requests_per_s, number(0, 10000));
  root.optional("model_share", out.model_share, number(0, 1));
  root.optional("impatient_share", out.impatient_share, number(0, 1));
  root.optional("server_limit_per_s", out.server_limit_per_s, number(0, 10000));
  root.optional("memory_mb", out.memory_mb, integer<std::uint64_t>(16, 100000));
  root.optional("origin_bytes_per_s", out.origin_bytes_per_s, number(1000, 1e12));
  root.optional("lookup_lifetime_limit_s", out.lookup_lifetime_limit,
                duration_in<std::chrono::seconds>(1, 3600));
  read_engine(root, out.engine);
  read_bounds(root, out.bounds);
}

std::string make_ip(unsigned network, unsigned subnet, unsigned host)
{
  return "127." + std::to_string(network) + "." + std::to_string(subnet) + "." +
         std::to_string(host);
}

} // namespace

result<deployment> parse_deployment(std::string_view yaml, std::string_view file)
{
  deployment out;
  return protocol::read_document(yaml, file, [&out](section& root) { read_root(root, out); })
      .map([&out] { return std::move(out); });
}

layout make_layout(const deployment& what, unsigned network)
{
  layout out;
  out.origin = {make_ip(network, origin_subnet, 1), store_port};
  const auto domain_at = [&what](unsigned index)
  {
    return std::next(what.domains.begin(), static_cast<std::ptrdiff_t>(index % what.domains.size()))
        ->first;
  };
  const auto size = static_cast<unsigned>(what.domains.size());
  const auto add_machines =
      [&](protocol::process_role role, unsigned count, unsigned first, const std::string& kind)
  {
    for (unsigned i = 0; i < count; ++i)
    {
      const unsigned subnet = 1 + i % size;
      const unsigned host = first + i / size;
      out.machines.push_back(
          {kind + "-" + domain_at(i) + "-" + std::to_string(1 + i / size),
           role,
           domain_at(i),
           make_ip(network, subnet, host),
           {make_ip(network, store_subnet + subnet, host), store_port},
           static_cast<std::uint16_t>(peer_port +
                                      (what.carries_peer_traffic ? out.machines.size() : 0))});
    }
  };
  add_machines(protocol::process_role::entry, what.entries, first_entry, "entry");
  add_machines(protocol::process_role::agent, what.engines, first_agent, "agent");
  for (unsigned i = 0; i < what.desks; ++i)
  {
    out.desks.push_back(
        {domain_at(i), {make_ip(network, 1 + i % size, first_desk + i / size), engine_port}});
  }
  return out;
}

transport::endpoint callers_address(const machine& entry)
{
  return {entry.ip, callers_port};
}

transport::endpoint readiness_address(const machine& entry)
{
  return {entry.ip, readiness_port};
}

transport::endpoint lookup_address(const machine& entry)
{
  return {entry.ip, lookup_port};
}

transport::endpoint proxy_address(const machine& entry)
{
  return {entry.ip, proxy_port};
}

transport::endpoint engine_address(const machine& agent)
{
  return {agent.ip, engine_port};
}

nlohmann::json settings_fields(const deployment& what, const layout& where, const machine& of)
{
  using nlohmann::json;
  json seeds = json::array();
  for (const machine& other : where.machines)
  {
    if (other.role == protocol::process_role::entry && seeds.size() < max_seeds)
    {
      seeds.push_back(transport::to_string({other.ip, control_port}));
    }
  }
  json out{{"node_name", of.name},
           {"ip", of.ip},
           {"zone", of.domain},
           {"region", what.domains.at(of.domain)},
           {"zones", what.domains},
           {"heartbeat_ms", backend_heartbeat.count()},
           {"seed_nodes", seeds},
           {"internal_port_range", {of.peer_port, of.peer_port + 15}},
           {"platform", {{"address", transport::to_string(of.store)}}},
           {"limits", {{"memory_mb", what.memory_mb}, {"link_mbps", 700.0}}},
           {"bounds",
            {{"grace_s", what.bounds.stop_grace},
             {"version_ms", static_cast<int>(what.bounds.weight_version * 1000)},
             {"ttl_max_s", what.lookup_lifetime_limit.count()},
             {"retry_budget_ratio", what.bounds.retry_budget_ratio},
             {"budget_window_s", static_cast<int>(what.bounds.budget_window)},
             {"retry_budget_extra", what.bounds.retry_budget_extra}}}};
  if (of.role == protocol::process_role::entry)
  {
    out["listen"] = {{"front", transport::to_string(callers_address(of))},
                     {"ready_address", transport::to_string(readiness_address(of))},
                     {"control", transport::to_string({of.ip, control_port})},
                     {"directory", transport::to_string(lookup_address(of))}};
  }
  else
  {
    out["app"] = transport::to_string(engine_address(of));
    out["service"] = model_service;
  }
  return out;
}

} // namespace pollenyoke::emulator
