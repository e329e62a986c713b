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

const protocol::service* find_origin(const protocol::serving_config& config)
{
  const auto found = std::find_if(config.services.begin(), config.services.end(),
                                  [](const auto& item) { return item.second.origin.has_value(); });
  return found == config.services.end() ? nullptr : &found->second;
}

} // namespace pollenyoke::node
