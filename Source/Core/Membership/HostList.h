#pragma once

#include <string>
#include <string_view>

#include "Common/Result.h"
#include "Membership/Membership.h"

namespace pollenyoke::membership
{

/// The difference between two lists as JSON text,
/// `{"version","base","hosts":[...],"removed":[...]}` with the hosts that are new or differ. A list
/// of 3,700 hosts has 0.9 MB, one host 250 bytes.
std::string format_host_list_change(const host_list& base, const host_list& newer);

/// The list that results from a text of format_host_list or format_host_list_change. Errors:
/// `malformed`; `conflict` if a change starts from another version than `current`.
result<host_list> read_host_list(const host_list& current, std::string_view json_text);

} // namespace pollenyoke::membership
