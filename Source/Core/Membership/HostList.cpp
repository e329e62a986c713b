#include "Membership/HostList.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "Protocol/ReleaseNote.h"

namespace pollenyoke::membership
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_hosts = 20000;

tl::unexpected<error> malformed(std::string reason)
{
  return fail(error_code::malformed, "host list: " + std::move(reason));
}

/// A port of the host's address, or a complete address such as that of a relay.
result<transport::endpoint> parse_address(const json& from, const char* key, const std::string& ip)
{
  const json& value = from.at(key);
  if (value.is_string())
  {
    return transport::parse_endpoint(value.get_ref<const std::string&>());
  }
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > 65535)
  {
    return malformed(std::string(key) + " must be a port or an address");
  }
  return transport::parse_endpoint(ip + ":" + std::to_string(value.get<std::uint64_t>()));
}

json format_address(const transport::endpoint& address, const std::string& ip)
{
  return address.ip == ip ? json(address.port) : json(transport::to_string(address));
}

// The accessors throw json::exception on a missing member or wrong type; the callers turn that into
// an error value.
result<listed_host> parse_host(const json& from)
{
  listed_host out;
  out.host.value = from.at("host").get<std::string>();
  out.region = from.at("region").get<std::string>();
  out.failure_domain = from.at("failure_domain").get<std::string>();
  out.service = from.value("service", std::string());
  for (const std::string& name : {out.host.value, out.region, out.failure_domain})
  {
    if (!protocol::is_valid_name(name))
    {
      return malformed("'" + name + "' is not a name");
    }
  }
  const std::string role = from.at("role").get<std::string>();
  const std::string state = from.at("state").get<std::string>();
  if ((role != "entry" && role != "agent") || (state != "live" && state != "leaving"))
  {
    return malformed("host " + out.host.value + " has an unknown role or state");
  }
  out.role = role == "entry" ? protocol::process_role::entry : protocol::process_role::agent;
  out.leaving = state == "leaving";
  const std::string ip = from.at("address").get<std::string>();
  for (const auto& [key, to] : {std::pair("tcp", &out.tcp), std::pair("udp", &out.udp),
                                std::pair("http", &out.http), std::pair("admin", &out.admin)})
  {
    auto address = parse_address(from, key, ip);
    if (!address)
    {
      return tl::unexpected(address.error());
    }
    *to = std::move(*address);
  }
  return out;
}

json format_host(const listed_host& host)
{
  const std::string& ip = host.tcp.ip;
  return {{"host", host.host.value},
          {"role", host.role == protocol::process_role::entry ? "entry" : "agent"},
          {"region", host.region},
          {"failure_domain", host.failure_domain},
          {"service", host.service},
          {"address", ip},
          {"tcp", format_address(host.tcp, ip)},
          {"udp", format_address(host.udp, ip)},
          {"http", format_address(host.http, ip)},
          {"admin", format_address(host.admin, ip)},
          {"state", host.leaving ? "leaving" : "live"}};
}

using host_map = std::map<host_id, listed_host>;

host_map by_id(const host_list& list)
{
  host_map out;
  for (const listed_host& host : list.hosts)
  {
    out.emplace(host.host, host);
  }
  return out;
}

result<host_list> parse_list(const host_list& current, const json& from)
{
  if (!from.is_object())
  {
    return malformed("not a JSON object");
  }
  if (!from.at("version").is_number_unsigned() || !from.at("hosts").is_array() ||
      from["hosts"].size() > max_hosts)
  {
    return malformed("needs a version and at most 20000 hosts");
  }
  const bool is_change = from.contains("base");
  if (is_change && from["base"] != current.version)
  {
    return fail(error_code::conflict, "host list: change of another version");
  }
  host_map hosts = is_change ? by_id(current) : host_map();
  std::set<host_id> seen;
  for (const json& entry : from["hosts"])
  {
    auto host = parse_host(entry);
    if (!host)
    {
      return tl::unexpected(host.error());
    }
    if (!seen.insert(host->host).second)
    {
      return malformed("host " + host->host.value + " stands twice");
    }
    hosts[host->host] = std::move(*host);
  }
  if (is_change)
  {
    for (const json& entry : from.at("removed"))
    {
      hosts.erase(host_id{entry.get<std::string>()});
    }
  }
  host_list out{from["version"].get<std::uint64_t>(), {}, from.value("etag", std::string())};
  for (auto& [id, host] : hosts)
  {
    out.hosts.push_back(std::move(host));
  }
  return out;
}

} // namespace

result<host_list> read_host_list(const host_list& current, std::string_view json_text)
{
  try
  {
    return parse_list(current, json::parse(json_text, nullptr, false));
  }
  catch (const json::exception& e)
  {
    return malformed(e.what());
  }
}

result<host_list> parse_host_list(std::string_view json_text)
{
  return read_host_list({}, json_text);
}

std::string format_host_list(const host_list& list)
{
  json hosts = json::array();
  for (const listed_host& host : list.hosts)
  {
    hosts.push_back(format_host(host));
  }
  return json({{"version", list.version}, {"etag", list.etag}, {"hosts", std::move(hosts)}}).dump();
}

std::string format_host_list_change(const host_list& base, const host_list& newer)
{
  host_map old_hosts = by_id(base);
  json hosts = json::array();
  for (const listed_host& host : newer.hosts)
  {
    const auto found = old_hosts.find(host.host);
    if (found == old_hosts.end() || found->second != host)
    {
      hosts.push_back(format_host(host));
    }
    if (found != old_hosts.end())
    {
      old_hosts.erase(found);
    }
  }
  json removed = json::array();
  for (const auto& [id, host] : old_hosts)
  {
    removed.push_back(id.value);
  }
  return json({{"version", newer.version},
               {"base", base.version},
               {"etag", newer.etag},
               {"hosts", std::move(hosts)},
               {"removed", std::move(removed)}})
      .dump();
}

} // namespace pollenyoke::membership
