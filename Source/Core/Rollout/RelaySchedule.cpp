#include "Rollout/RelaySchedule.h"

#include <utility>

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Reads of the origin that one entry has on their way. Its link sends one at a time in effect; two
// hide the way there and back.
constexpr unsigned max_origin_reads = 2;
// Entries of the origin's region that are asked for a piece before the origin itself.
constexpr unsigned max_entry_tries = 2;
// An origin or an entry that has just failed is asked again after this time.
constexpr milliseconds failure_pause{100};

} // namespace

relay_schedule::relay_schedule(std::uint32_t pieces, std::string self, time_point started)
    : m_pieces(pieces), m_order(reading_order(pieces, {})), m_self(std::move(self)),
      m_started(started)
{
}

void relay_schedule::set_plan(const relay_plan& plan)
{
  m_is_known = !plan.is_empty();
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    const auto relays = plan.relays(piece);
    m_pieces[piece].is_own_share = !relays.empty() && relays.front() == m_self;
    m_pieces[piece].sources = plan.sources(piece);
  }
}

void relay_schedule::want(std::uint32_t piece, bool from_origin)
{
  m_pieces[piece].wanted = true;
  m_pieces[piece].from_origin = m_pieces[piece].from_origin || from_origin;
}

void relay_schedule::forget(std::uint32_t piece)
{
  m_pieces[piece].wanted = false;
}

std::string relay_schedule::source_of(std::uint32_t piece) const
{
  const piece_view& view = m_pieces[piece];
  if (view.from_origin || view.failures >= max_entry_tries)
  {
    return {};
  }
  return view.failures < view.sources.size() ? view.sources[view.failures] : std::string{};
}

std::vector<piece_read> relay_schedule::begin_reads(time_point now)
{
  std::vector<piece_read> reads;
  if (!m_is_known)
  {
    return reads;
  }
  for (std::size_t place = 0; place < m_order.size(); ++place)
  {
    const std::uint32_t piece = m_order[place];
    piece_view& view = m_pieces[piece];
    if (view.held || view.reading || now < view.not_before)
    {
      continue;
    }
    const bool turn = now >= m_started + origin_pace * static_cast<int>(place);
    if (!view.wanted && !(turn && view.is_own_share))
    {
      continue;
    }
    piece_read read{piece, source_of(piece)};
    if (read.from_origin() && m_origin_reads >= max_origin_reads)
    {
      continue;
    }
    m_origin_reads += read.from_origin() ? 1U : 0U;
    view.reading = true;
    reads.push_back(std::move(read));
  }
  return reads;
}

void relay_schedule::read_ended(const piece_read& read, read_end end, time_point now)
{
  piece_view& view = m_pieces[read.piece];
  view.reading = false;
  m_origin_reads -= read.from_origin() ? 1U : 0U;
  if (end == read_end::received)
  {
    view.held = true;
    view.wanted = false;
    return;
  }
  if (end == read_end::busy)
  {
    // The entry in the origin's region waits for the origin itself.
    return;
  }
  view.not_before = now + failure_pause;
  if (!read.from_origin())
  {
    ++view.failures;
  }
}

void relay_schedule::drop(std::uint32_t piece)
{
  m_pieces[piece].held = false;
}

} // namespace pollenyoke::rollout
