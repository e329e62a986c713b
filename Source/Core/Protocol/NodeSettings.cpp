#include "Protocol/NodeSettings.h"

#include "Protocol/YamlSection.h"

namespace pollenyoke::protocol
{

namespace
{

std::vector<std::string> split(const std::string& text, char separator)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size())
  {
    const std::size_t end = std::min(text.find(separator, begin), text.size());
    if (end > begin)
    {
      parts.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

result<std::string> non_empty(const std::string& text)
{
  if (text.empty())
  {
    return fail(error_code::invalid_argument, "must not be empty");
  }
  return text;
}

result<transport::endpoint> address(const std::string& text)
{
  return transport::parse_endpoint(text);
}

/// An empty text stands for an absent address, as templates leave it.
result<std::optional<transport::endpoint>> optional_address(const std::string& text)
{
  if (text.empty())
  {
    return std::optional<transport::endpoint>{};
  }
  return transport::parse_endpoint(text).map([](transport::endpoint value)
                                             { return std::optional(std::move(value)); });
}

result<std::vector<std::string>> seed_hosts(const std::string& text)
{
  std::vector<std::string> hosts;
  for (const std::string& part : split(text, ','))
  {
    auto seed = transport::parse_endpoint(part);
    if (!seed)
    {
      return tl::unexpected(seed.error());
    }
    hosts.push_back(std::move(seed->ip));
  }
  return hosts;
}

result<std::map<std::string, std::string>> domain_regions(const std::string& text)
{
  std::map<std::string, std::string> domains;
  for (const std::string& part : split(text, ','))
  {
    const auto equals = part.find('=');
    if (equals == std::string::npos || equals == 0 || equals + 1 == part.size())
    {
      return fail(error_code::invalid_argument, "must be a list of DOMAIN=REGION");
    }
    domains[part.substr(0, equals)] = part.substr(equals + 1);
  }
  return domains;
}

result<std::uint16_t> first_port(const std::string& text)
{
  return integer<std::uint16_t>(1, 65535)(text.substr(0, text.find(',')));
}

result<log_level> level(const std::string& text)
{
  return parse_log_level(text);
}

void read_listen(section& root, node_settings& out)
{
  section listen = root.child("listen");
  listen.optional("callers", out.callers, optional_address);
  listen.optional("readiness", out.readiness, optional_address);
  listen.optional("lookup", out.lookup, optional_address);
  listen.require("peer_port", out.peer_port, first_port);
  if (out.role == process_role::entry && (!out.callers || !out.readiness || !out.lookup))
  {
    listen.reject("callers", "callers, readiness and lookup are required for an entry");
  }
  listen.finish();
}

void read_repeats(section& root, node_settings& out)
{
  section part = root.child("repeats");
  part.optional("share", out.repeats.share, number(0, 10));
  part.optional("window_s", out.repeats.window, duration_in<std::chrono::seconds>(1, 3600));
  part.optional("extra", out.repeats.extra, number(0, 1e6));
  part.finish();
}

/// Both keys are left out where the platform has no cold servers.
void read_cold_servers(section& root, node_settings& out)
{
  std::optional<double> overage;
  std::optional<double> slack;
  const auto optional_number = [](const std::string& text)
  {
    return number(0, 1e6)(text).map([](double value) { return std::optional(value); });
  };
  root.optional("cold_overage", overage, optional_number);
  root.optional("cold_slack", slack, optional_number);
  if (overage || slack)
  {
    out.cold_servers = cold_server_settings{overage.value_or(1), slack.value_or(0)};
  }
}

void read_node(section& root, node_settings& out)
{
  using std::chrono::milliseconds;
  root.require(
      "role", out.role,
      one_of<process_role>({{"entry", process_role::entry}, {"agent", process_role::agent}}));
  root.require("host", out.host, non_empty);
  root.require("ip", out.ip, non_empty);
  root.require("region", out.region, non_empty);
  root.require("failure_domain", out.failure_domain, non_empty);
  root.require("domains", out.domains, domain_regions);
  root.optional("seeds", out.seeds, seed_hosts);
  root.require("store", out.store, address);
  root.optional("engine", out.engine, optional_address);
  root.optional("service", out.service, non_empty);
  root.optional("memory_mb", out.memory_mb, integer<std::uint64_t>(8, 1'000'000));
  root.optional("link_mbit_per_s", out.link_mbit_per_s, number(0.01, 1e6));
  root.optional("stop_grace_s", out.stop_grace,
                [](const std::string& text)
                {
                  return number(0, 3600)(text).map(
                      [](double value)
                      { return milliseconds(static_cast<std::int64_t>(value * 1000)); });
                });
  root.optional("version_limit_ms", out.version_limit, duration_in<milliseconds>(0, 3600000));
  root.optional("drain_limit_ms", out.drain_limit, duration_in<milliseconds>(100, 3600000));
  root.optional("config_limit_ms", out.config_limit, duration_in<milliseconds>(100, 3600000));
  root.optional("backend_heartbeat_ms", out.backend_heartbeat,
                duration_in<milliseconds>(100, 3600000));
  root.optional("lookup_lifetime_limit_s", out.lookup_lifetime_limit,
                duration_in<std::chrono::seconds>(1, 3600));
  read_cold_servers(root, out);
  root.optional("log_level", out.logging, level);
  read_listen(root, out);
  read_repeats(root, out);
  if (out.role == process_role::agent && (!out.engine || out.service.empty()))
  {
    root.reject("engine", "engine and service are required for an agent");
  }
  if (!out.domains.contains(out.failure_domain))
  {
    root.reject("domains", "must contain the host's own failure domain");
  }
}

} // namespace

result<node_settings> parse_node_settings(std::string_view yaml, std::string_view file)
{
  node_settings out;
  return read_document(yaml, file, [&out](section& root) { read_node(root, out); })
      .map([&out] { return std::move(out); });
}

} // namespace pollenyoke::protocol
