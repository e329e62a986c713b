#include "StandIns/HostListStandIn.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;
using transport::http_request;
using transport::http_response;

result<std::unique_ptr<host_list_stand_in>> host_list_stand_in::start(const transport::endpoint& at)
{
  std::unique_ptr<host_list_stand_in> made(new host_list_stand_in);
  const auto listening = made->listen(at);
  if (!listening)
  {
    return tl::unexpected(listening.error());
  }
  return made;
}

host_list_stand_in::~host_list_stand_in()
{
  close();
}

result<void> host_list_stand_in::set_hosts(const json& list)
{
  if (!list.is_object() || !list.contains("hosts") || !list["hosts"].is_array())
  {
    return fail(error_code::invalid_argument, "a host list needs hosts");
  }
  const std::lock_guard lock(m_mutex);
  m_versions.push_back({m_next++, clock::now(), list["hosts"]});
  return {};
}

json host_list_stand_in::counters() const
{
  const std::lock_guard lock(m_mutex);
  return {{"version", m_next - 1}, {"reads", m_reads}, {"unchanged", m_unchanged}};
}

void host_list_stand_in::read_faults(fault_reader& from)
{
  from.read("down", m_down);
  from.read("lag_ms", m_lag_ms);
  from.read("plain", m_plain);
}

http_response host_list_stand_in::handle(const http_request& request)
{
  constexpr std::string_view host_path = "/hosts/";
  const std::string_view path = request.path;
  if (path == "/hosts" && request.method == "PUT")
  {
    const auto done = set_hosts(json::parse(request.body, nullptr, false));
    return done ? json_response(json::object())
                : transport::error_response(400, done.error().message);
  }
  if (path.starts_with(host_path) && request.method == "PUT")
  {
    return change_state(path.substr(host_path.size()), request.body);
  }
  if (path == "/hosts" && request.method == "GET")
  {
    return answer(transport::find_header(request.query, "region"),
                  transport::find_header(request.headers, "If-None-Match"));
  }
  return transport::error_response(404, "no such path");
}

// `PUT /hosts/HOST` with `{"state":"live|leaving|gone"}` changes one host.
http_response host_list_stand_in::change_state(std::string_view host, const std::string& body)
{
  const json change = json::parse(body, nullptr, false);
  const std::string state = change.is_object() ? change.value("state", "") : "";
  json hosts = json::array();
  {
    const std::lock_guard lock(m_mutex);
    for (const json& listed : m_versions.empty() ? json::array() : m_versions.back().hosts)
    {
      json copy = listed;
      const bool match = listed.value("host", "") == host;
      if (match)
      {
        copy["state"] = state;
      }
      if (!match || state != "gone")
      {
        hosts.push_back(std::move(copy));
      }
    }
  }
  (void)set_hosts({{"hosts", hosts}});
  return json_response(json::object());
}

http_response host_list_stand_in::answer(std::string_view region, std::string_view known)
{
  const std::lock_guard lock(m_mutex);
  ++m_reads;
  if (m_down)
  {
    return transport::error_response(503, "host list is down");
  }
  const auto visible = clock::now() - std::chrono::milliseconds(m_lag_ms);
  while (m_versions.size() > 1 && m_versions[1].set_at <= visible)
  {
    m_versions.pop_front();
  }
  // The first version has no predecessor and is visible at once.
  json out = {{"version", 0}, {"hosts", json::array()}};
  if (!m_versions.empty())
  {
    out["version"] = m_versions.front().number;
    out["hosts"] = m_versions.front().hosts;
  }
  const std::string etag = "\"" + out["version"].dump() + "\"";
  if (!m_plain && known == etag)
  {
    ++m_unchanged;
    return {.status = 304, .headers = {{"ETag", etag}}};
  }
  for (json& host : out["hosts"])
  {
    if (host.contains("via") && host["via"].contains(std::string(region)))
    {
      host.update(json(host["via"][std::string(region)]));
    }
    host.erase("via");
  }
  http_response response = json_response(out);
  if (!m_plain)
  {
    response.headers.push_back({"ETag", etag});
  }
  return response;
}

} // namespace pollenyoke::stand_ins
