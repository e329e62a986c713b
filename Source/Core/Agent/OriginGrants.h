#pragma once

#include <chrono>
#include <map>
#include <set>
#include <vector>

#include "Fleet/FleetState.h"
#include "Protocol/LogRecord.h"
#include "Protocol/Manifest.h"
#include "Weights/ChunkBitmap.h"
#include "Weights/OriginLedger.h"

namespace pollenyoke::agent
{

/// The origin grants of this process: takes them from the folded state, closes those that it lost
/// or no longer needs, and tells what to return. Not thread-safe.
class origin_grants
{
public:
  using time_point = std::chrono::steady_clock::time_point;
  using grant_id = weights::origin_ledger::grant_id;

  explicit origin_grants(protocol::stripe_holder self);

  /// Takes the grants that the state gives to this process and closes those of lost stripes.
  void set_state(const fleet::active_release& release);
  /// Sizes the grants by placement.
  void set_manifest(const fleet::active_release& release, const protocol::manifest& manifest);
  /// Closes the grants of stripes of which this process holds all chunks.
  void close_finished(const fleet::active_release& release, const weights::chunk_bitmap& have);
  /// The records to append now. Each is repeated until the state shows it; a grant is returned at
  /// most once.
  std::vector<protocol::origin_return_record> due_returns(const fleet::active_release& release,
                                                          time_point now);
  /// An append of a record of due_returns() ended, with whatever outcome.
  void note_answer(const grant_id& grant, time_point now);
  void forget(const protocol::release_key& release);

  weights::origin_ledger& ledger()
  {
    return m_ledger;
  }
  const weights::origin_ledger& ledger() const
  {
    return m_ledger;
  }

private:
  void close_lost(const fleet::active_release& release);

  const protocol::stripe_holder m_self;
  weights::origin_ledger m_ledger;
  // Grants by placement get their size once the manifest is known.
  std::set<grant_id> m_unsized;
  // When the next return of a grant is due; the maximum while an append is under way.
  std::map<grant_id, time_point> m_next_return;
};

} // namespace pollenyoke::agent
