#pragma once

#include <span>
#include <string>
#include <vector>

#include "Peers/PeerMessages.h"

namespace pollenyoke::peers
{

/// Entries of the failure domain of `self` that it asks for state, in this order, before it reads
/// the store: those with state, or, while none has any, those that read the store first. Empty if
/// this process is the first reader itself. `entries`: live entries, sorted by address.
std::vector<std::string> reader_order(std::span<const peer_record> entries,
                                      const peer_record& self);

} // namespace pollenyoke::peers
