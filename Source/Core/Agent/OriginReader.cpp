#include "Agent/OriginReader.h"

#include <algorithm>
#include <utility>

#include "Protocol/Manifest.h"

namespace pollenyoke::agent
{

namespace
{

using namespace std::chrono_literals;

constexpr auto store_pause = 2000ms;
constexpr std::chrono::milliseconds first_origin_backoff{250};
constexpr std::chrono::milliseconds max_origin_backoff{2000};
// A holder whose reads failed this often in a row leaves its stripe to other hosts; it claims the
// right to read again only after a pause, so that it does not use up the release's limit.
constexpr unsigned max_read_failures = 3;
constexpr auto read_failure_pause = 30s;
constexpr std::uint64_t manifest_fetch_limit = protocol::max_manifest_bytes;

} // namespace

origin_reader::origin_reader(bool has_store, double bytes_per_s)
    : m_has_store(has_store), m_bytes_per_s(bytes_per_s)
{
}

void origin_reader::set_shares(std::size_t stripes, time_point now)
{
  if (m_bytes_per_s <= 0 || m_shares == stripes)
  {
    return;
  }
  m_shares = stripes;
  const double rate = m_bytes_per_s / static_cast<double>(m_shares);
  m_pace.emplace(rate, std::max(rate * 0.25, 1.0), now);
}

bool origin_reader::is_due(time_point now)
{
  return !m_pace || m_pace->available(now) >= 0;
}

bool origin_reader::origin_ready(time_point now) const
{
  return now >= m_origin_retry;
}

bool origin_reader::gives_way(time_point now) const
{
  return m_origin_failures >= max_read_failures && now < m_last_origin_failure + read_failure_pause;
}

std::optional<fetch_order>
origin_reader::start_chunk(std::uint64_t id, const read_in_progress& wanted, const digest& chunk,
                           const read_permission& may, bool store_failed,
                           weights::origin_ledger& ledger, time_point now)
{
  read_in_progress read = wanted;
  read.server = m_has_store && now >= m_store_retry && !store_failed ? fetch_server::weight_store
                                                                     : fetch_server::origin;
  if (read.server == fetch_server::origin)
  {
    if (!origin_ready(now))
    {
      return std::nullopt;
    }
    read.grant = may.granted
                     ? ledger.reserve(may.granted->release, may.granted->stripe, wanted.bytes)
                     : std::nullopt;
    if (!may.unlimited && !read.grant)
    {
      return std::nullopt;
    }
  }
  if (m_pace)
  {
    m_pace->reserve(static_cast<double>(wanted.bytes), now);
  }
  m_reads[id] = read;
  return fetch_order{id, read.server, "/chunks/" + to_hex(chunk), wanted.bytes};
}

fetch_order origin_reader::start_manifest(std::uint64_t id, const digest& manifest,
                                          bool store_failed)
{
  const fetch_server server =
      m_has_store && !store_failed ? fetch_server::weight_store : fetch_server::origin;
  m_reads[id] = {manifest, std::nullopt, server, std::nullopt, 0};
  return {id, server, "/manifests/" + to_hex(manifest), manifest_fetch_limit};
}

std::optional<read_in_progress> origin_reader::end(const fetch_result& result,
                                                   weights::origin_ledger& ledger)
{
  const auto found = m_reads.find(result.id);
  if (found == m_reads.end())
  {
    return std::nullopt;
  }
  read_in_progress read = std::move(found->second);
  m_reads.erase(found);
  // An error status carries no chunk bytes; anything else may have left the origin.
  const bool sent_nothing = !result.reached || (result.status != 0 && result.status != 200);
  if (read.grant && sent_nothing)
  {
    ledger.refund(*read.grant, read.bytes);
  }
  else if (read.grant)
  {
    ledger.settle(*read.grant);
  }
  return read;
}

void origin_reader::note_failure(fetch_server server, time_point now)
{
  if (server == fetch_server::weight_store)
  {
    m_store_retry = now + store_pause;
    return;
  }
  ++m_origin_failures;
  m_last_origin_failure = now;
  m_origin_retry = now + m_origin_backoff;
  m_origin_backoff = std::min(2 * m_origin_backoff, max_origin_backoff);
}

void origin_reader::note_answer()
{
  m_origin_failures = 0;
}

void origin_reader::note_success()
{
  m_origin_backoff = first_origin_backoff;
  m_origin_failures = 0;
}

} // namespace pollenyoke::agent
