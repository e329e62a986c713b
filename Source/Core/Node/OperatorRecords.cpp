#include "Node/OperatorRecords.h"

#include <algorithm>

#include "Common/Log.h"

namespace pollenyoke::node
{

std::optional<platform::operator_record> read_operator_record(const state_feed::record& change)
{
  if (!change.value)
  {
    return std::nullopt;
  }
  auto record = platform::decode_operator_record(change.key, *change.value);
  if (!record)
  {
    log_warning(log_category::log, "record of the operator cannot be read",
                {{"key", change.key}, {"reason", record.error().message}});
    return std::nullopt;
  }
  return std::move(*record);
}

namespace
{

std::optional<std::uint64_t> version_of(const state_feed::record& change)
{
  const auto record = read_operator_record(change);
  if (!record)
  {
    return std::nullopt;
  }
  if (const auto* config = std::get_if<protocol::serving_config>(&*record))
  {
    return config->version;
  }
  const auto* named = std::get_if<protocol::named_version>(&*record);
  return named == nullptr ? std::nullopt : std::optional(named->version);
}

} // namespace

bool is_older_operator_record(const state_feed::record& known, const state_feed::record& next)
{
  const auto known_version = version_of(known);
  return known_version && version_of(next).value_or(0) < *known_version;
}

bool is_older_backend_record(const state_feed::record& known, const state_feed::record& next)
{
  if (!known.value || !next.value)
  {
    return false;
  }
  const auto before = platform::decode_backend(known.key, *known.value);
  const auto after = platform::decode_backend(next.key, *next.value);
  return before && after &&
         (after->started_ms < before->started_ms ||
          (after->started_ms == before->started_ms && before->draining && !after->draining));
}

const protocol::service* find_origin(const protocol::serving_config& config)
{
  const auto found = std::find_if(config.services.begin(), config.services.end(),
                                  [](const auto& item) { return item.second.origin.has_value(); });
  return found == config.services.end() ? nullptr : &found->second;
}

} // namespace pollenyoke::node
