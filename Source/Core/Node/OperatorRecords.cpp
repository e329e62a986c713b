#include "Node/OperatorRecords.h"

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

} // namespace pollenyoke::node
