#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Peers/PeerMessages.h"

namespace pollenyoke::gateway
{

/// How an entry shares what it knows with the others. Without others it is on its own.
struct fleet_link
{
  /// Sends a message to all other entries.
  std::function<void(const peers::peer_message&)> tell_entries = [](const peers::peer_message&) {
  };
  /// Whether this entry, of all entries, is responsible for a key.
  std::function<bool(std::uint64_t key)> owns = [](std::uint64_t)
  {
    return true;
  };
  /// Sends a message to one entry.
  std::function<void(const std::string& ip, const peers::peer_message&)> tell_entry =
      [](const std::string&, const peers::peer_message&) {
      };
  /// Entry that hands out the requests of a limited server; empty if it is this one.
  std::function<std::optional<std::string>(std::string_view server)> permit_owner =
      [](std::string_view)
  {
    return std::nullopt;
  };
  /// Whether this entry hands them out, and no other one can still do so.
  std::function<bool(std::string_view server)> may_issue = [](std::string_view)
  {
    return true;
  };
  /// Number of entries, at most `most`, that share the requests to a cold server, if this one is
  /// among them; 0 otherwise.
  std::function<std::size_t(std::string_view server, std::size_t most)> sharers =
      [](std::string_view, std::size_t)
  {
    return std::size_t{1};
  };
};

} // namespace pollenyoke::gateway
