#include "Agent/EngineControl.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Common/Log.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto order_retry = 2s;
// Requests that were admitted before the version stopped being served may still run.
constexpr auto unload_after = 5s;
constexpr auto unload_at_latest = 30s;
// An engine under load may answer its status late; that alone does not stop service.
constexpr unsigned max_missed_status = 3;

std::string text_member(const json& object, const char* key)
{
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t number_member(const json& object, const char* key)
{
  const auto found = object.find(key);
  return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

} // namespace

result<engine_status> parse_engine_status(std::string_view json_text)
{
  const json document = json::parse(json_text, nullptr, false);
  if (!document.is_object() || !document.contains("models") || !document["models"].is_array() ||
      text_member(document, "boot").empty())
  {
    return fail(error_code::malformed, "engine status: boot and models are required");
  }
  engine_status status;
  status.boot = text_member(document, "boot");
  status.running = static_cast<std::uint32_t>(number_member(document, "running"));
  for (const json& entry : document["models"])
  {
    if (!entry.is_object())
    {
      return fail(error_code::malformed, "engine status: a model must be an object");
    }
    status.models.push_back({text_member(entry, "model"), text_member(entry, "version"),
                             text_member(entry, "manifest"), text_member(entry, "content"),
                             number_member(entry, "fence"), text_member(entry, "state")});
  }
  return status;
}

std::string format_engine_order(const engine_order& order, std::string_view weights_address)
{
  json body{{"order", order.load ? "load" : "unload"},
            {"model", order.model},
            {"version", order.version},
            {"fence", order.fence}};
  if (order.load)
  {
    const std::string manifest = to_hex(order.manifest);
    body["manifest"] = manifest;
    body["content"] = to_hex(order.content);
    body["source"] = "http://" + std::string(weights_address) + "/weights/" + manifest;
  }
  return body.dump();
}

engine_control::version_state* engine_control::find(std::string_view model,
                                                    std::string_view version)
{
  const auto found = std::find_if(
      m_versions.begin(), m_versions.end(),
      [&](const auto& v) { return v.desired.model == model && v.desired.version == version; });
  return found == m_versions.end() ? nullptr : &*found;
}

const engine_control::version_state* engine_control::find(std::string_view model,
                                                          std::string_view version) const
{
  return const_cast<engine_control*>(this)->find(model, version);
}

bool engine_control::matches(const version_state& state, const engine_model& reported)
{
  return reported.state == "loaded" && reported.manifest == to_hex(state.desired.manifest) &&
         reported.fence == state.desired.fence.value &&
         (!state.desired.content || reported.content == to_hex(*state.desired.content));
}

void engine_control::set_desired(std::vector<desired_version> desired,
                                 std::span<const protocol::model_version> replaced)
{
  std::vector<version_state> next;
  for (desired_version& wanted : desired)
  {
    version_state* known = find(wanted.model, wanted.version);
    version_state state;
    if (known != nullptr && known->desired.fence == wanted.fence &&
        known->desired.manifest == wanted.manifest)
    {
      state = *known;
      state.replaced = false;
    }
    state.desired = std::move(wanted);
    next.push_back(std::move(state));
  }
  for (version_state& old : m_versions)
  {
    const bool kept = std::any_of(next.begin(), next.end(),
                                  [&](const version_state& v) {
                                    return v.desired.model == old.desired.model &&
                                           v.desired.version == old.desired.version;
                                  });
    if (kept)
    {
      continue;
    }
    // Withdrawn versions end at once, replaced ones when a newer version of the model serves.
    const protocol::model_version version{old.desired.model, old.desired.version};
    const bool may_stay = std::find(replaced.begin(), replaced.end(), version) != replaced.end();
    if ((old.confirmed || old.replaced) && may_stay)
    {
      old.replaced = true;
      next.push_back(old);
    }
  }
  m_versions = std::move(next);
  std::erase_if(m_departed,
                [this](const departed_model& d) { return find(d.model, d.version) != nullptr; });
}

void engine_control::retire_replaced()
{
  std::vector<std::pair<std::string, log_offset>> served;
  for (const version_state& v : m_versions)
  {
    if (!v.replaced && v.confirmed)
    {
      served.emplace_back(v.desired.model, v.desired.fence);
    }
  }
  std::erase_if(m_versions,
                [&](const version_state& v)
                {
                  return v.replaced &&
                         (!v.confirmed || std::any_of(served.begin(), served.end(),
                                                      [&](const auto& s) {
                                                        return s.first == v.desired.model &&
                                                               s.second > v.desired.fence;
                                                      }));
                });
}

std::vector<engine_order> engine_control::on_status(const engine_status& status, time_point now)
{
  m_missed = 0;
  if (m_boot != status.boot)
  {
    m_boot = status.boot;
    for (version_state& v : m_versions)
    {
      v.confirmed = false;
      v.loading = false;
      v.must_reload = false;
      v.next_order = time_point{};
    }
  }
  std::vector<engine_order> orders;
  for (version_state& v : m_versions)
  {
    const auto reported =
        std::find_if(status.models.begin(), status.models.end(),
                     [&](const engine_model& m)
                     { return m.model == v.desired.model && m.version == v.desired.version; });
    const bool present = reported != status.models.end();
    v.confirmed = present && !v.must_reload && matches(v, *reported);
    v.loading = present && reported->state == "loading" &&
                reported->fence == v.desired.fence.value &&
                reported->manifest == to_hex(v.desired.manifest);
    if (present && reported->state == "failed")
    {
      v.problem = "engine failed to load";
    }
    if (v.confirmed)
    {
      v.problem.clear();
      continue;
    }
    if (!v.replaced && !v.loading && v.desired.complete && v.desired.content &&
        v.desired.may_load && now >= v.next_order)
    {
      v.next_order = now + order_retry;
      orders.push_back({true, v.desired.model, v.desired.version, v.desired.manifest,
                        *v.desired.content, v.desired.fence.value});
    }
  }
  retire_replaced();
  // Engines that keep one number for all models refuse smaller ones.
  std::stable_sort(orders.begin(), orders.end(),
                   [](const engine_order& a, const engine_order& b) { return a.fence < b.fence; });
  const auto obsolete = unloads(status, now);
  orders.insert(orders.end(), obsolete.begin(), obsolete.end());
  return orders;
}

std::vector<engine_order> engine_control::unloads(const engine_status& status, time_point now)
{
  std::uint64_t highest = 0;
  for (const engine_model& m : status.models)
  {
    highest = std::max(highest, m.fence);
  }
  std::vector<engine_order> orders;
  for (const engine_model& m : status.models)
  {
    const bool replacement_pending = std::any_of(
        m_versions.begin(), m_versions.end(),
        [&](const version_state& v)
        { return v.desired.model == m.model && !v.confirmed && v.desired.fence.value > m.fence; });
    if (find(m.model, m.version) != nullptr || replacement_pending)
    {
      continue;
    }
    auto departed =
        std::find_if(m_departed.begin(), m_departed.end(),
                     [&](const auto& d) { return d.model == m.model && d.version == m.version; });
    if (departed == m_departed.end())
    {
      m_departed.push_back({m.model, m.version, now});
      continue;
    }
    const auto waited = now - departed->since;
    if (waited >= unload_at_latest || (waited >= unload_after && status.running == 0))
    {
      orders.push_back({false, m.model, m.version, {}, {}, highest});
    }
  }
  std::erase_if(m_departed,
                [&](const departed_model& d)
                {
                  return std::none_of(status.models.begin(), status.models.end(),
                                      [&](const engine_model& m)
                                      { return d.model == m.model && d.version == m.version; });
                });
  return orders;
}

void engine_control::on_order_answered(const engine_order& order, int status, time_point now)
{
  version_state* v = order.load ? find(order.model, order.version) : nullptr;
  if (v == nullptr || v->desired.fence.value != order.fence)
  {
    return;
  }
  if (status == 202)
  {
    v->must_reload = false;
    v->problem.clear();
    return;
  }
  v->next_order = now + order_retry;
  v->problem = status == 409 ? "engine refused the fencing number"
                             : "engine refused the order, status " + std::to_string(status);
  log_warning(log_category::weights, "load order not accepted",
              {{"model", order.model}, {"version", order.version}, {"status", status}});
}

void engine_control::on_unreachable(bool refused)
{
  if (refused || ++m_missed >= max_missed_status)
  {
    backend_lost();
  }
}

void engine_control::backend_lost()
{
  for (version_state& v : m_versions)
  {
    v.confirmed = false;
    v.loading = false;
  }
  // A replaced version is not loaded again; after a loss of connections alone the next status
  // confirms it, so it stays listed until then.
}

bool engine_control::report_answer(std::string_view model, std::string_view version,
                                   std::string_view reported_manifest)
{
  version_state* v = find(model, version);
  if (v == nullptr || !v->confirmed || reported_manifest == to_hex(v->desired.manifest))
  {
    return true;
  }
  v->confirmed = false;
  v->must_reload = true;
  v->next_order = time_point{};
  v->problem = "engine answered with another manifest";
  return false;
}

std::vector<protocol::served_version> engine_control::serving() const
{
  std::vector<protocol::served_version> out;
  for (const version_state& v : m_versions)
  {
    if (v.confirmed)
    {
      out.push_back({v.desired.model, v.desired.version});
    }
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool engine_control::is_serving(std::string_view model, std::string_view version) const
{
  const version_state* v = find(model, version);
  return v != nullptr && v->confirmed;
}

bool engine_control::serves_replaced(std::string_view model) const
{
  return std::any_of(m_versions.begin(), m_versions.end(),
                     [&](const version_state& v)
                     { return v.replaced && v.confirmed && v.desired.model == model; });
}

bool engine_control::is_busy() const
{
  return std::any_of(m_versions.begin(), m_versions.end(),
                     [](const version_state& v) { return !v.confirmed && v.desired.complete; });
}

json engine_control::dump() const
{
  json out{{"boot", m_boot}, {"versions", json::array()}};
  for (const version_state& v : m_versions)
  {
    out["versions"].push_back({{"model", v.desired.model},
                               {"version", v.desired.version},
                               {"fence", v.desired.fence.value},
                               {"complete", v.desired.complete},
                               {"may_load", v.desired.may_load},
                               {"confirmed", v.confirmed},
                               {"loading", v.loading},
                               {"replaced", v.replaced},
                               {"problem", v.problem}});
  }
  return out;
}

} // namespace pollenyoke::agent
