#pragma once

#include <chrono>
#include <span>
#include <string_view>

#include "Common/Ids.h"

namespace pollenyoke::distribution
{

/// State of one replica during a rolling update, according to the membership view.
struct replica_view
{
  host_id host;
  /// At least one heartbeat was received.
  bool heard = false;
  bool live = false;
  /// Serves a version that the new version replaces.
  bool serves_old = false;
  bool serves_new = false;
};

/// True if `self` may load the new version now. Replicas that still serve the old version load in
/// rendezvous order, at most `fraction` of all replicas at a time, but at least one. `elapsed` is
/// the time since the last change of the view. Replicas without any heartbeat count as loading
/// until `elapsed` exceeds a timeout. Each load timeout that has elapsed allows one more replica to
/// load, so that a replica that does not finish cannot block the update.
bool may_load(std::string_view key, const host_id& self, std::span<const replica_view> replicas,
              double fraction, std::chrono::steady_clock::duration elapsed);

} // namespace pollenyoke::distribution
