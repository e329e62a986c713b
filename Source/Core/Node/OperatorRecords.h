#pragma once

#include <optional>

#include "StateFeed/Records.h"
#include "platform/Decode.h"

namespace pollenyoke::node
{

/// Decodes a change of the operator's records. Empty if the key is gone or its value cannot be
/// read, which is logged; what is in force stays.
std::optional<platform::operator_record> read_operator_record(const state_feed::record& change);

/// Whether the second record is older than the first one by the version that it holds. One that
/// cannot be read is.
bool is_older_operator_record(const state_feed::record& known, const state_feed::record& next);
/// Whether the second record is of an earlier start of the server, or of a time before it left.
bool is_older_backend_record(const state_feed::record& known, const state_feed::record& next);

/// The service that is the origin of weights; null if the configuration names none.
const protocol::service* find_origin(const protocol::serving_config& config);

} // namespace pollenyoke::node
