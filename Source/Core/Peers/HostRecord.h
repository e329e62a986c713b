#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/Result.h"
#include "Peers/EngineMark.h"
#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// What a process keeps in the platform's store under the address of its host.
struct host_record
{
  peer_role role = peer_role::entry;
  /// Agents only: last mark at which all layers of the engine were proven.
  std::optional<engine_mark> proof;

  bool operator==(const host_record&) const = default;
};

/// One line: the role, then the start of the engine and the number of its orders.
std::string to_text(const host_record& record);
/// Error `malformed`.
result<host_record> parse_host_record(std::string_view text);

} // namespace pollenyoke::peers
