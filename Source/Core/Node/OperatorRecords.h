#pragma once

#include <optional>

#include "StateFeed/Records.h"
#include "platform/Decode.h"

namespace pollenyoke::node
{

/// Decodes a change of the operator's records. Empty if the key is gone or its value cannot be
/// read, which is logged; what is in force stays.
std::optional<platform::operator_record> read_operator_record(const state_feed::record& change);

/// The service that is the origin of weights; null if the configuration names none.
const protocol::service* find_origin(const protocol::serving_config& config);

} // namespace pollenyoke::node
