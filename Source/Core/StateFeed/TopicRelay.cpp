#include "StateFeed/TopicRelay.h"

#include <algorithm>

namespace pollenyoke::state_feed
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds expiry_check_interval{100};

} // namespace

topic_relay::topic_relay(async_io::event_loop& loop, const topic_state& topic,
                         std::function<async_io::time_point()> confirmed_at)
    : m_topic(topic), m_confirmed_at(std::move(confirmed_at)), m_timer(loop)
{
}

std::string topic_relay::make_response(std::uint64_t offset, const std::string& excluded_key) const
{
  relay_page out;
  auto changes = m_topic.changes_since(offset);
  out.is_snapshot = !changes.has_value();
  out.page = changes ? std::move(*changes) : m_topic.newest();
  if (!out.is_snapshot && !excluded_key.empty())
  {
    std::erase_if(out.page.records,
                  [&excluded_key](const record& change) { return change.key == excluded_key; });
  }
  out.age_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_confirmed_at())
          .count());
  return encode_relay_page(out);
}

void topic_relay::serve(std::uint64_t offset, const std::string& excluded_key, responder respond)
{
  if (m_topic.next_offset() > offset)
  {
    respond(make_response(offset, excluded_key));
    return;
  }
  m_pending_reads.push_back(
      {offset, excluded_key, std::move(respond), std::chrono::steady_clock::now() + relay_wait});
  if (m_pending_reads.size() == 1)
  {
    m_timer.start(expiry_check_interval, [this] { expire_reads(); });
  }
}

void topic_relay::notify()
{
  const auto pending = std::move(m_pending_reads);
  m_pending_reads.clear();
  for (const pending_read& read : pending)
  {
    if (m_topic.next_offset() > read.offset)
    {
      read.respond(make_response(read.offset, read.excluded_key));
    }
    else
    {
      m_pending_reads.push_back(read);
    }
  }
}

void topic_relay::expire_reads()
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<pending_read> expired;
  std::erase_if(m_pending_reads,
                [&expired, now](const pending_read& read)
                {
                  if (now < read.expires_at)
                  {
                    return false;
                  }
                  expired.push_back(read);
                  return true;
                });
  for (const pending_read& read : expired)
  {
    read.respond(make_response(read.offset, read.excluded_key));
  }
  if (!m_pending_reads.empty())
  {
    m_timer.start(expiry_check_interval, [this] { expire_reads(); });
  }
}

} // namespace pollenyoke::state_feed
