#include "StandIns/Fleet.h"

#include "StandIns/EngineStandIn.h"
#include "StandIns/HostListStandIn.h"
#include "StandIns/LogStandIn.h"
#include "StandIns/OriginStandIn.h"
#include "StandIns/RelayStandIn.h"
#include "StandIns/ServiceStandIn.h"

namespace pollenyoke::stand_ins
{

using nlohmann::json;

namespace
{

using started = result<std::unique_ptr<stand_in>>;

template <typename T>
started widen(result<std::unique_ptr<T>> from)
{
  if (!from)
  {
    return tl::unexpected(from.error());
  }
  return std::unique_ptr<stand_in>(std::move(*from));
}

started start_host_list(const transport::endpoint& at, const json& with)
{
  auto made = host_list_stand_in::start(at);
  if (made && with.contains("hosts"))
  {
    const auto done = (*made)->set_hosts({{"hosts", with["hosts"]}});
    if (!done)
    {
      return tl::unexpected(done.error());
    }
  }
  return widen(std::move(made));
}

started start_relay(const transport::endpoint& at, const json& with)
{
  auto made = relay_stand_in::start(at);
  if (!made)
  {
    return tl::unexpected(made.error());
  }
  for (const json& item : with.value("routes", json::array()))
  {
    const auto local = parse_route(item).and_then([&](const relay_route& route)
                                                  { return (*made)->add_route(route); });
    if (!local)
    {
      return tl::unexpected(local.error());
    }
  }
  return widen(std::move(made));
}

started start_kind(const std::string& kind, const transport::endpoint& at, const json& with)
{
  if (kind == "log")
  {
    return widen(log_stand_in::start(at));
  }
  if (kind == "hostlist")
  {
    return start_host_list(at, with);
  }
  if (kind == "origin" || kind == "store")
  {
    return widen(origin_stand_in::start(at));
  }
  if (kind == "engine")
  {
    return widen(engine_stand_in::start(at, with.value("slots", 8U)));
  }
  if (kind == "service")
  {
    return widen(service_stand_in::start(at, with.value("service", std::string("service"))));
  }
  if (kind == "relay")
  {
    return start_relay(at, with);
  }
  return fail(error_code::invalid_argument, "unknown kind of stand-in: " + kind);
}

} // namespace

result<std::unique_ptr<stand_in>> start_stand_in(const json& with)
{
  if (!with.is_object())
  {
    return fail(error_code::invalid_argument, "a stand-in must be an object");
  }
  try
  {
    const auto at = transport::parse_endpoint(with.value("listen", std::string("127.0.0.1:0")));
    if (!at)
    {
      return tl::unexpected(at.error());
    }
    auto made = start_kind(with.value("kind", std::string()), *at, with);
    if (made && with.contains("faults"))
    {
      const auto done = (*made)->set_faults(with["faults"]);
      if (!done)
      {
        return tl::unexpected(done.error());
      }
    }
    return made;
  }
  catch (const json::exception& problem)
  {
    return fail(error_code::invalid_argument, problem.what());
  }
}

result<std::unique_ptr<fleet>> fleet::start(const json& config)
{
  if (!config.is_object() || !config.contains("standins") || !config["standins"].is_array())
  {
    return fail(error_code::invalid_argument, "the configuration needs standins");
  }
  auto made = std::make_unique<fleet>();
  for (const json& with : config["standins"])
  {
    auto member = start_stand_in(with);
    if (!member)
    {
      return fail(member.error().code, with.value("name", "") + ": " + member.error().message);
    }
    const bool added =
        made->m_members.emplace(with.value("name", std::string()), std::move(*member)).second;
    if (!added)
    {
      return fail(error_code::invalid_argument, "duplicate name: " + with.value("name", ""));
    }
  }
  return made;
}

stand_in* fleet::find(const std::string& name) const
{
  const auto found = m_members.find(name);
  return found == m_members.end() ? nullptr : found->second.get();
}

} // namespace pollenyoke::stand_ins
