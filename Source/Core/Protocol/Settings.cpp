#include "Protocol/Settings.h"

#include <utility>
#include <vector>

#include "Protocol/ReleaseNote.h"
#include "Protocol/YamlSection.h"

namespace pollenyoke::protocol
{

namespace
{

result<std::string> parse_name(const std::string& text)
{
  if (!is_valid_name(text))
  {
    return fail(error_code::invalid_argument, "must be a name of a-z, 0-9, '.', '_', '-'");
  }
  return text;
}

result<host_id> parse_host(const std::string& text)
{
  return parse_name(text).map([](std::string name) { return host_id{std::move(name)}; });
}

result<transport::endpoint> address(const std::string& text)
{
  return transport::parse_endpoint(text);
}

result<std::optional<transport::endpoint>> optional_address(const std::string& text)
{
  return transport::parse_endpoint(text).map([](transport::endpoint value)
                                             { return std::optional(std::move(value)); });
}

result<log_level> level(const std::string& text)
{
  return parse_log_level(text);
}

void read_addresses(section& root, settings& out)
{
  section listen = root.child("listen");
  listen.require("tcp", out.listen.tcp, address);
  listen.require("udp", out.listen.udp, address);
  listen.require("http", out.listen.http, address);
  listen.require("admin", out.listen.admin, address);
  listen.finish();
  section platform = root.child("platform");
  platform.require("log", out.platform.log, address);
  platform.require("host_list", out.platform.host_list, address);
  platform.require("origin", out.platform.origin, address);
  platform.optional("weight_store", out.platform.weight_store, optional_address);
  platform.finish();
}

void read_backend(section& root, settings& out)
{
  if (out.role == process_role::entry)
  {
    return;
  }
  if (!root.has("backend"))
  {
    root.reject("backend", "is required for an agent");
  }
  out.backend.emplace();
  section backend = root.child("backend");
  backend.require("address", out.backend->address, address);
  backend.require(
      "kind", out.backend->kind,
      one_of<backend_kind>({{"engine", backend_kind::engine}, {"service", backend_kind::service}}));
  backend.optional("slots", out.backend->slots, integer<std::uint32_t>(1, 4096));
  backend.finish();
}

void read_distribution(section& root, settings& out)
{
  constexpr double max_rate = 1e12;
  section part = root.child("distribution");
  distribution_settings& to = out.distribution;
  part.optional("goal", to.goal,
                one_of<distribution_goal>({{"time", distribution_goal::time},
                                           {"origin-bytes", distribution_goal::origin_bytes}}));
  part.optional("policy", to.policy,
                one_of<distribution_policy>({{"pollenyoke", distribution_policy::pollenyoke},
                                             {"tree", distribution_policy::tree},
                                             {"origin-only", distribution_policy::origin_only}}));
  part.optional("uplink_bytes_per_s", to.uplink_bytes_per_s, number(1, max_rate));
  part.optional("downlink_bytes_per_s", to.downlink_bytes_per_s, number(1, max_rate));
  part.optional("region_bytes_per_s", to.region_bytes_per_s, number(1, max_rate));
  part.optional("origin_bytes_per_s", to.origin_bytes_per_s, number(0, max_rate));
  part.optional("max_loading_fraction", to.max_loading_fraction, number(0.01, 1));
  part.optional("memory_bytes", to.memory_bytes, integer<std::uint64_t>(1, 1'000'000'000'000));
  part.require("store_region", to.store_region, parse_name);
  part.finish();
}

void read_requests(section& root, settings& out)
{
  using std::chrono::milliseconds;
  section part = root.child("requests");
  request_settings& to = out.requests;
  part.optional("policy", to.policy,
                one_of<routing_policy>({{"pollenyoke", routing_policy::balanced},
                                        {"random", routing_policy::random},
                                        {"round-robin", routing_policy::round_robin}}));
  part.optional("queue", to.queue, integer<std::uint32_t>(0, 100000));
  part.optional("max_in_flight", to.max_in_flight, integer<std::uint32_t>(1, 100000));
  part.optional("subset", to.subset, integer<std::uint32_t>(1, 10000));
  part.optional("retry_budget", to.retry_budget, number(0, 1));
  part.optional("default_deadline_ms", to.default_deadline, duration_in<milliseconds>(1, 3600000));
  part.optional("entry_lifetime_ms", to.entry_lifetime, duration_in<milliseconds>(100, 3600000));
  part.optional("drain_timeout_ms", to.drain_timeout, duration_in<milliseconds>(0, 3600000));
  part.finish();
}

void read_keys(section& root, settings& out)
{
  using std::chrono::milliseconds;
  section part = root.child("keys");
  key_settings& to = out.keys;
  part.optional("lifetime_s", to.lifetime, duration_in<std::chrono::seconds>(1, 2592000));
  part.optional("appends_per_s", to.appends_per_s, number(0.1, 1000));
  part.optional("claim_timeout_ms", to.claim_timeout, duration_in<milliseconds>(10, 60000));
  part.optional("log_outage_threshold_ms", to.log_outage_threshold,
                duration_in<milliseconds>(100, 600000));
  part.finish();
}

void read_control(section& root, settings& out)
{
  using std::chrono::milliseconds;
  section part = root.child("control");
  control_settings& to = out.control;
  part.optional("heartbeat_interval_ms", to.heartbeat_interval,
                duration_in<milliseconds>(20, 60000));
  part.optional("max_heartbeat_interval_ms", to.max_heartbeat_interval,
                duration_in<milliseconds>(20, 60000));
  part.optional("heartbeat_bytes_per_s", to.heartbeat_bytes_per_s, number(100, 1e9));
  part.optional("host_list_interval_ms", to.host_list_interval,
                duration_in<milliseconds>(20, 3600000));
  part.optional("host_list_bytes_per_s", to.host_list_bytes_per_s, number(100, 1e9));
  part.optional("log_poll_wait_ms", to.log_poll_wait, duration_in<milliseconds>(10, 2000));
  part.optional("orphan_timeout_ms", to.orphan_timeout, duration_in<milliseconds>(100, 600000));
  part.optional("checkpoint_records", to.checkpoint_records, integer<std::uint32_t>(1, 1000000));
  part.optional("checkpoint_interval_s", to.checkpoint_interval,
                duration_in<std::chrono::seconds>(1, 2592000));
  if (to.max_heartbeat_interval < to.heartbeat_interval)
  {
    part.reject("max_heartbeat_interval_ms", "must not be below heartbeat_interval_ms");
  }
  part.finish();
}

void read_identity(section& root, settings& out)
{
  root.require(
      "role", out.role,
      one_of<process_role>({{"entry", process_role::entry}, {"agent", process_role::agent}}));
  root.require("host", out.host, parse_host);
  root.require("region", out.region, parse_name);
  root.require("failure_domain", out.failure_domain, parse_name);
  if (out.role == process_role::agent)
  {
    root.require("service", out.service, parse_name);
  }
  section logging = root.child("logging");
  logging.optional("level", out.logging, level);
  logging.finish();
}

void read_all(section& root, settings& out)
{
  read_identity(root, out);
  read_addresses(root, out);
  read_backend(root, out);
  read_distribution(root, out);
  read_requests(root, out);
  read_keys(root, out);
  read_control(root, out);
}

} // namespace

std::vector<std::string> setting_names()
{
  read_record record;
  settings out;
  section root(YAML::Load("{role: agent, backend: {}}"), "", "", record);
  read_all(root, out);
  return record.names;
}

result<settings> parse_settings(std::string_view yaml, std::string_view file)
{
  settings out;
  return read_document(yaml, file, [&out](section& root) { read_all(root, out); })
      .map([&out] { return std::move(out); });
}

} // namespace pollenyoke::protocol
