#include "StateFeed/TopicRelay.h"

#include <algorithm>

namespace pollenyoke::state_feed
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds expiry_interval{100};

} // namespace

topic_relay::topic_relay(async_io::event_loop& loop, const topic_state& topic,
                         std::function<async_io::time_point()> confirmed)
    : m_topic(topic), m_confirmed(std::move(confirmed)), m_timer(loop)
{
}

std::string topic_relay::answer(std::uint64_t offset, const std::string& left_out) const
{
  relay_page out;
  auto changes = m_topic.changes_since(offset);
  out.whole = !changes.has_value();
  out.page = changes ? std::move(*changes) : m_topic.newest();
  if (!out.whole && !left_out.empty())
  {
    std::erase_if(out.page.records,
                  [&left_out](const record& change) { return change.key == left_out; });
  }
  out.age_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_confirmed())
          .count());
  return encode_relay(out);
}

void topic_relay::serve(std::uint64_t offset, const std::string& left_out, responder respond)
{
  if (m_topic.next_offset() > offset)
  {
    respond(answer(offset, left_out));
    return;
  }
  m_waiting.push_back(
      {offset, left_out, std::move(respond), std::chrono::steady_clock::now() + relay_wait});
  if (m_waiting.size() == 1)
  {
    m_timer.start(expiry_interval, [this] { expire(); });
  }
}

void topic_relay::notify()
{
  const auto waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const waiting_reader& reader : waiting)
  {
    if (m_topic.next_offset() > reader.offset)
    {
      reader.respond(answer(reader.offset, reader.left_out));
    }
    else
    {
      m_waiting.push_back(reader);
    }
  }
}

void topic_relay::expire()
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<waiting_reader> expired;
  std::erase_if(m_waiting,
                [&expired, now](const waiting_reader& reader)
                {
                  if (now < reader.expires)
                  {
                    return false;
                  }
                  expired.push_back(reader);
                  return true;
                });
  for (const waiting_reader& reader : expired)
  {
    reader.respond(answer(reader.offset, reader.left_out));
  }
  if (!m_waiting.empty())
  {
    m_timer.start(expiry_interval, [this] { expire(); });
  }
}

} // namespace pollenyoke::state_feed
