#include "Fleet/FleetState.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "Protocol/ReleaseNote.h"

namespace pollenyoke::fleet
{

namespace
{

using nlohmann::json;

template <typename T>
void push_bounded(std::vector<T>& to, T value, std::size_t limit)
{
  to.push_back(std::move(value));
  if (to.size() > limit)
  {
    to.erase(to.begin(), to.end() - static_cast<std::ptrdiff_t>(limit));
  }
}

bool same_weights(const protocol::release_item& a, const protocol::release_item& b)
{
  return a.version == b.version && a.manifest == b.manifest && a.kind == b.kind &&
         a.base_model == b.base_model && a.bytes == b.bytes;
}

/// Why the note is rejected; empty if it is accepted.
std::string rejection(const fleet_state& state, const protocol::release_note& note)
{
  if (note.head != state.head)
  {
    return "written against head " + std::to_string(note.head.value) + ", the head is " +
           std::to_string(state.head.value);
  }
  // A release is named by the note's offset and the model, so that one note can bring only one
  // version of a model. Keeping one of the two silently would serve less than the operator asked.
  std::set<std::string_view> models;
  for (const auto* list : {&note.add, &note.change})
  {
    for (const protocol::release_item& item : *list)
    {
      if (!models.insert(item.model).second)
      {
        return "names two versions of model " + item.model;
      }
    }
  }
  return "";
}

/// Puts a version in force. A version that is in force with the same weights stays the same release
/// (no second transfer or load, the origin budget goes on); only its services, replicas and limit
/// change. With other weights it is replaced by a new release under the new fencing number.
void put_in_force(fleet_state& state, log_offset note, const protocol::release_item& item)
{
  std::erase(state.replaced, protocol::model_version{item.model, item.version});
  for (auto at = state.releases.begin(); at != state.releases.end(); ++at)
  {
    if (at->first.model != item.model || at->second.item.version != item.version)
    {
      continue;
    }
    if (same_weights(at->second.item, item))
    {
      at->second.item = item;
      return;
    }
    state.releases.erase(at);
    break;
  }
  const protocol::release_key key{note, item.model};
  state.releases[key] = active_release{key, item, {}};
}

/// Takes the other versions of the item's model out of force; hosts may serve them on for a while.
void replace_others(fleet_state& state, const protocol::release_item& item)
{
  for (const auto& [key, release] : state.releases)
  {
    if (key.model == item.model && release.item.version != item.version)
    {
      state.replaced.push_back({key.model, release.item.version});
    }
  }
  std::erase_if(state.releases,
                [&](const auto& entry) {
                  return entry.first.model == item.model && !same_weights(entry.second.item, item);
                });
}

/// Keeps the newest replaced versions of models that still have a version in force.
void trim_replaced(fleet_state& state)
{
  std::map<std::string, std::size_t> kept;
  std::vector<protocol::model_version> out;
  for (auto item = state.replaced.rbegin(); item != state.replaced.rend(); ++item)
  {
    if (state.newest(item->model) != nullptr && ++kept[item->model] <= max_replaced)
    {
      out.insert(out.begin(), std::move(*item));
    }
  }
  state.replaced = std::move(out);
}

void fold(fleet_state& state, log_offset offset, const std::string& id,
          const protocol::release_note& note)
{
  std::string reason = rejection(state, note);
  const bool accepted = reason.empty();
  push_bounded(state.notes,
               note_outcome{offset, id, note.name, accepted, accepted ? log_offset{} : state.head,
                            std::move(reason)},
               max_note_outcomes);
  if (!accepted)
  {
    return;
  }
  state.head = offset;
  // Withdrawing a version that is not in force has no effect: the operator's aim is reached.
  for (const protocol::model_version& item : note.withdraw)
  {
    std::erase(state.replaced, item);
    std::erase_if(
        state.releases, [&](const auto& entry)
        { return entry.first.model == item.model && entry.second.item.version == item.version; });
  }
  for (const protocol::release_item& item : note.change)
  {
    replace_others(state, item);
    put_in_force(state, offset, item);
  }
  for (const protocol::release_item& item : note.add)
  {
    put_in_force(state, offset, item);
  }
  trim_replaced(state);
}

void fold(fleet_state& state, log_offset offset, const std::string& /*id*/,
          const protocol::placement_record& placement)
{
  const auto release = state.releases.find(placement.release);
  if (release == state.releases.end() || !release->second.origin.holders.empty() ||
      placement.stripes.empty())
  {
    return;
  }
  release->second.origin.holders = placement.stripes;
  release->second.origin.holder_since.assign(placement.stripes.size(), offset);
  for (std::uint32_t s = 0; s < placement.stripes.size(); ++s)
  {
    push_bounded(release->second.origin.grants, {s, offset, placement.stripes[s], std::nullopt},
                 max_origin_grants);
  }
}

void fold(fleet_state& state, log_offset offset, const std::string& /*id*/,
          const protocol::origin_claim_record& claim)
{
  const auto found = state.releases.find(claim.release);
  if (found == state.releases.end())
  {
    return;
  }
  active_release& release = found->second;
  if (claim.stripe >= release.origin.holders.size() || claim.bytes == 0 ||
      release.origin.holders[claim.stripe] != claim.previous ||
      claim.bytes > claimable_bytes(release))
  {
    return;
  }
  release.origin.holders[claim.stripe] = claim.claimer;
  release.origin.holder_since[claim.stripe] = offset;
  release.origin.claimed_bytes += claim.bytes;
  push_bounded(release.origin.grants, {claim.stripe, offset, claim.claimer, claim.bytes},
               max_origin_grants);
}

// A grant leaves the list with its return, so that a repeated record has no effect under any id. A
// record that states more than was granted is invalid and returns nothing.
void fold(fleet_state& state, log_offset /*offset*/, const std::string& /*id*/,
          const protocol::origin_return_record& back)
{
  const auto found = state.releases.find(back.release);
  if (found == state.releases.end())
  {
    return;
  }
  origin_budget& origin = found->second.origin;
  const auto grant = std::find_if(origin.grants.begin(), origin.grants.end(),
                                  [&](const origin_grant& g) {
                                    return g.stripe == back.stripe && g.since == back.grant &&
                                           g.holder == back.holder;
                                  });
  if (grant == origin.grants.end())
  {
    return;
  }
  const std::uint64_t granted =
      grant->bytes.value_or(found->second.item.bytes - origin.placement_returned_bytes);
  if (back.bytes > granted)
  {
    return;
  }
  (grant->bytes ? origin.claimed_bytes -= back.bytes
                : origin.placement_returned_bytes += back.bytes);
  origin.grants.erase(grant);
}

void fold(fleet_state& state, log_offset offset, const std::string& /*id*/,
          const protocol::stop_record& stop)
{
  if (stop.cancelled)
  {
    state.planned_stops.erase(stop.host);
    return;
  }
  state.planned_stops[stop.host] = offset;
}

void fold(fleet_state& state, log_offset /*offset*/, const std::string& /*id*/,
          const protocol::config_record& config)
{
  // An empty value removes the key, so that keys that are no longer used do not accumulate.
  if (config.value.empty())
  {
    state.config.erase(config.key);
    return;
  }
  state.config[config.key] = config.value;
}

void fold(fleet_state& state, log_offset offset, const std::string& /*id*/,
          const protocol::checkpoint_record& checkpoint)
{
  // The state text is not looked at: processes pass checkpoints on without it to save bytes, and
  // the fold must give the same result for both forms.
  if (checkpoint.offset < offset)
  {
    state.last_checkpoint = offset;
  }
}

json to_json(const protocol::stripe_holder& holder, log_offset since)
{
  return {{"host", holder.host.value},
          {"incarnation", holder.incarnation.value},
          {"since", since.value}};
}

json to_json(const origin_grant& grant)
{
  json out = {{"stripe", grant.stripe},
              {"since", grant.since.value},
              {"host", grant.holder.host.value},
              {"incarnation", grant.holder.incarnation.value}};
  if (grant.bytes)
  {
    out["bytes"] = *grant.bytes;
  }
  return out;
}

json to_json(const active_release& release)
{
  // The item has the form that it has in a release note, so that one parser checks both.
  protocol::release_note carrier;
  carrier.name = "checkpoint";
  carrier.add.push_back(release.item);
  json holders = json::array();
  for (std::size_t i = 0; i < release.origin.holders.size(); ++i)
  {
    holders.push_back(to_json(release.origin.holders[i], release.origin.holder_since[i]));
  }
  json grants = json::array();
  for (const origin_grant& grant : release.origin.grants)
  {
    grants.push_back(to_json(grant));
  }
  return {{"note", release.key.note.value},
          {"item", protocol::release_note_to_json(carrier)["add"][0]},
          {"holders", std::move(holders)},
          {"claimed_bytes", release.origin.claimed_bytes},
          {"placement_returned_bytes", release.origin.placement_returned_bytes},
          {"grants", std::move(grants)}};
}

/// A member that must be an unsigned number. Throws json::exception, as the other accessors do.
std::uint64_t number_at(const json& from, const char* key)
{
  return from.at(key).get_ref<const json::number_unsigned_t&>();
}

origin_grant grant_from_json(const json& from)
{
  // A stripe number beyond 32 bits names no stripe of a manifest.
  const std::uint64_t stripe = number_at(from, "stripe");
  if (stripe > std::numeric_limits<std::uint32_t>::max())
  {
    throw json::other_error::create(501, "stripe is too large", &from);
  }
  origin_grant grant{
      static_cast<std::uint32_t>(stripe),
      log_offset{number_at(from, "since")},
      {host_id{from.at("host").get<std::string>()}, incarnation_id{number_at(from, "incarnation")}},
      std::nullopt};
  if (from.contains("bytes"))
  {
    grant.bytes = number_at(from, "bytes");
  }
  return grant;
}

result<active_release> release_from_json(const json& from)
{
  const json carrier = {{"name", "checkpoint"}, {"add", json::array({from.at("item")})}};
  auto note = protocol::release_note_from_json(carrier);
  if (!note)
  {
    return tl::unexpected(note.error());
  }
  active_release release;
  release.item = std::move(note->add.at(0));
  release.key = {log_offset{number_at(from, "note")}, release.item.model};
  for (const json& holder : from.at("holders"))
  {
    release.origin.holders.push_back({host_id{holder.at("host").get<std::string>()},
                                      incarnation_id{number_at(holder, "incarnation")}});
    release.origin.holder_since.push_back(log_offset{number_at(holder, "since")});
  }
  release.origin.claimed_bytes = number_at(from, "claimed_bytes");
  // Checkpoints of versions without returns lack both members: their grants cannot be returned.
  if (from.contains("grants"))
  {
    release.origin.placement_returned_bytes = number_at(from, "placement_returned_bytes");
    std::uint64_t unreturned = release.origin.claimed_bytes;
    for (const json& grant : from.at("grants"))
    {
      release.origin.grants.push_back(grant_from_json(grant));
      const std::uint64_t bytes = release.origin.grants.back().bytes.value_or(0);
      if (bytes > unreturned)
      {
        return fail(error_code::malformed, "fleet state: grants exceed the claimed bytes");
      }
      unreturned -= bytes;
    }
    if (release.origin.placement_returned_bytes > release.item.bytes)
    {
      return fail(error_code::malformed, "fleet state: more returned than placed");
    }
  }
  return release;
}

note_outcome outcome_from_json(const json& from)
{
  return {log_offset{number_at(from, "offset")}, from.at("id").get<std::string>(),
          from.at("name").get<std::string>(),    from.at("accepted").get<bool>(),
          log_offset{number_at(from, "head")},   from.at("reason").get<std::string>()};
}

} // namespace

std::vector<const active_release*> fleet_state::releases_for(std::string_view service) const
{
  std::vector<const active_release*> out;
  for (const auto& [key, release] : releases)
  {
    const auto& services = release.item.services;
    if (std::find(services.begin(), services.end(), service) != services.end())
    {
      out.push_back(&release);
    }
  }
  return out;
}

const active_release* fleet_state::find(std::string_view model, std::string_view version) const
{
  for (const auto& [key, release] : releases)
  {
    if (key.model == model && release.item.version == version)
    {
      return &release;
    }
  }
  return nullptr;
}

const active_release* fleet_state::newest(std::string_view model) const
{
  const active_release* out = nullptr;
  for (const auto& [key, release] : releases)
  {
    if (key.model == model)
    {
      out = &release;
    }
  }
  return out;
}

bool fleet_state::is_replaced(std::string_view model, std::string_view version) const
{
  return std::any_of(replaced.begin(), replaced.end(),
                     [&](const protocol::model_version& item)
                     { return item.model == model && item.version == version; });
}

std::uint64_t claimable_bytes(const active_release& release)
{
  // Integer arithmetic in thousandths of a copy: every process must grant the same claims. The
  // first copy belongs to the placement.
  constexpr std::uint64_t unit = 1000;
  constexpr double max_copies = 100;
  const double copies = std::clamp(release.item.origin_limit_copies, 1.0, max_copies);
  const std::uint64_t extra = static_cast<std::uint64_t>(copies * unit) - unit;
  const std::uint64_t size = release.item.bytes;
  if (extra != 0 && size > std::numeric_limits<std::uint64_t>::max() / extra)
  {
    return 0;
  }
  const std::uint64_t limit = size * extra / unit + release.origin.placement_returned_bytes;
  return limit - std::min(limit, release.origin.claimed_bytes);
}

void apply(fleet_state& state, const protocol::stream_record& record)
{
  if (record.offset <= state.offset)
  {
    return;
  }
  state.offset = record.offset;
  const auto parsed = protocol::parse_log_record(record.text);
  if (!parsed || parsed->id.empty() ||
      std::find(state.record_ids.begin(), state.record_ids.end(), parsed->id) !=
          state.record_ids.end())
  {
    return;
  }
  push_bounded(state.record_ids, parsed->id, max_record_ids);
  std::visit([&](const auto& body) { fold(state, record.offset, parsed->id, body); }, parsed->body);
}

json to_json(const fleet_state& state)
{
  json releases = json::array();
  for (const auto& [key, release] : state.releases)
  {
    releases.push_back(to_json(release));
  }
  json replaced = json::array();
  for (const protocol::model_version& item : state.replaced)
  {
    replaced.push_back({{"model", item.model}, {"version", item.version}});
  }
  json stops = json::object();
  for (const auto& [host, offset] : state.planned_stops)
  {
    stops[host.value] = offset.value;
  }
  json notes = json::array();
  for (const note_outcome& note : state.notes)
  {
    notes.push_back({{"offset", note.offset.value},
                     {"id", note.record_id},
                     {"name", note.name},
                     {"accepted", note.accepted},
                     {"head", note.head.value},
                     {"reason", note.reason}});
  }
  return {{"offset", state.offset.value},
          {"head", state.head.value},
          {"releases", std::move(releases)},
          {"replaced", std::move(replaced)},
          {"planned_stops", std::move(stops)},
          {"config", state.config},
          {"notes", std::move(notes)},
          {"record_ids", state.record_ids},
          {"last_checkpoint", state.last_checkpoint.value}};
}

result<fleet_state> from_json(const json& from)
{
  try
  {
    fleet_state state;
    state.offset.value = number_at(from, "offset");
    state.head.value = number_at(from, "head");
    for (const json& entry : from.at("releases"))
    {
      auto release = release_from_json(entry);
      if (!release)
      {
        return tl::unexpected(release.error());
      }
      const protocol::release_key key = release->key;
      state.releases.emplace(key, std::move(*release));
    }
    for (const json& entry : from.at("replaced"))
    {
      state.replaced.push_back(
          {entry.at("model").get<std::string>(), entry.at("version").get<std::string>()});
    }
    for (const auto& [host, offset] : from.at("planned_stops").items())
    {
      state.planned_stops[host_id{host}].value = offset.get_ref<const json::number_unsigned_t&>();
    }
    state.config = from.at("config").get<std::map<std::string, std::string>>();
    for (const json& entry : from.at("notes"))
    {
      state.notes.push_back(outcome_from_json(entry));
    }
    state.record_ids = from.at("record_ids").get<std::vector<std::string>>();
    state.last_checkpoint.value = number_at(from, "last_checkpoint");
    return state;
  }
  catch (const json::exception& e)
  {
    return fail(error_code::malformed, std::string("fleet state: ") + e.what());
  }
}

digest state_digest(const fleet_state& state)
{
  // Objects keep their members sorted, so that the text is canonical.
  return sha256(to_json(state).dump());
}

} // namespace pollenyoke::fleet
