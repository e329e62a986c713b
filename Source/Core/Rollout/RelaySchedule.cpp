#include "Rollout/RelaySchedule.h"

#include <utility>

namespace pollenyoke::rollout
{

namespace
{

using std::chrono::milliseconds;

// Concurrent origin reads per entry. The origin's link effectively sends one piece at a time; a
// second read hides the round trip.
constexpr unsigned max_origin_reads = 2;
// Entries of the origin's region that are tried for a piece before the origin itself.
constexpr unsigned max_entry_attempts = 2;
// Delay before a piece is read again after a failed read.
constexpr milliseconds failure_backoff{100};

} // namespace

relay_schedule::relay_schedule(std::uint32_t pieces, std::string self, time_point started)
    : m_pieces(pieces), m_read_order(reading_order(pieces, {})), m_self(std::move(self)),
      m_started(started)
{
}

void relay_schedule::set_plan(const relay_plan& plan)
{
  m_has_entries = !plan.is_empty();
  for (std::uint32_t piece = 0; piece < m_pieces.size(); ++piece)
  {
    const auto relays = plan.relays(piece);
    m_pieces[piece].is_assigned = !relays.empty() && relays.front() == m_self;
    m_pieces[piece].sources = plan.sources(piece);
  }
}

void relay_schedule::request_piece(std::uint32_t piece, bool from_origin)
{
  m_pieces[piece].requested = true;
  m_pieces[piece].from_origin = m_pieces[piece].from_origin || from_origin;
}

void relay_schedule::cancel_request(std::uint32_t piece)
{
  m_pieces[piece].requested = false;
}

std::string relay_schedule::source_of(std::uint32_t piece) const
{
  const piece_status& status = m_pieces[piece];
  if (status.from_origin || status.failures >= max_entry_attempts)
  {
    return {};
  }
  return status.failures < status.sources.size() ? status.sources[status.failures] : std::string{};
}

std::vector<piece_read> relay_schedule::begin_reads(time_point now)
{
  std::vector<piece_read> reads;
  if (!m_has_entries)
  {
    return reads;
  }
  for (std::size_t position = 0; position < m_read_order.size(); ++position)
  {
    const std::uint32_t piece = m_read_order[position];
    piece_status& status = m_pieces[piece];
    if (status.held || status.reading || now < status.retry_at)
    {
      continue;
    }
    const bool is_due = now >= m_started + origin_read_interval * static_cast<int>(position);
    if (!status.requested && !(is_due && status.is_assigned))
    {
      continue;
    }
    piece_read read{piece, source_of(piece)};
    if (read.from_origin() && m_origin_reads >= max_origin_reads)
    {
      continue;
    }
    m_origin_reads += read.from_origin() ? 1U : 0U;
    status.reading = true;
    reads.push_back(std::move(read));
  }
  return reads;
}

void relay_schedule::on_read_finished(const piece_read& read, read_outcome outcome, time_point now)
{
  piece_status& status = m_pieces[read.piece];
  status.reading = false;
  m_origin_reads -= read.from_origin() ? 1U : 0U;
  if (outcome == read_outcome::received)
  {
    status.held = true;
    status.requested = false;
    return;
  }
  if (outcome == read_outcome::busy)
  {
    // The entry in the origin's region is itself waiting for the origin, so ask it again at once.
    return;
  }
  status.retry_at = now + failure_backoff;
  if (!read.from_origin())
  {
    ++status.failures;
  }
}

void relay_schedule::drop(std::uint32_t piece)
{
  m_pieces[piece].held = false;
}

} // namespace pollenyoke::rollout
