#include "StateFeed/TopicRelay.h"

#include <algorithm>

#include "Common/BootClock.h"

namespace pollenyoke::state_feed
{

namespace
{

using std::chrono::milliseconds;

// Requests that expire within this time are answered together.
constexpr milliseconds expiry_delay{10};

} // namespace

topic_relay::topic_relay(async_io::event_loop& loop, const topic_state& topic,
                         std::function<async_io::time_point()> confirmed_at,
                         const feed_timing& timing)
    : m_topic(topic), m_confirmed_at(std::move(confirmed_at)), m_timing(timing), m_timer(loop)
{
}

milliseconds topic_relay::age() const
{
  return std::chrono::duration_cast<milliseconds>(current_time() - m_confirmed_at());
}

bool topic_relay::is_stale() const
{
  return m_topic.is_initialized() && age() >= m_timing.max_relay_age;
}

bool topic_relay::has_news(const changes_request& request) const
{
  return m_topic.is_initialized() && (!request.from || m_topic.position() > *request.from);
}

std::string topic_relay::make_response(const changes_request& request,
                                       const std::string& excluded_key, milliseconds held)
{
  if (m_encoded_revision != m_topic.revision())
  {
    m_encoded.clear();
    m_encoded_revision = m_topic.revision();
  }
  auto changes = request.from ? m_topic.changes_since(*request.from) : std::nullopt;
  const bool is_snapshot = !changes.has_value();
  auto& encoded = m_encoded[{is_snapshot ? std::nullopt : request.from, excluded_key}];
  if (encoded.empty())
  {
    record_page page = changes ? std::move(*changes) : m_topic.newest();
    if (!is_snapshot && !excluded_key.empty())
    {
      std::erase_if(page.records,
                    [&excluded_key](const record& change) { return change.key == excluded_key; });
    }
    encoded = encode_records(page);
  }
  return encode_relay_page({.has_state = m_topic.is_initialized(),
                            .is_snapshot = is_snapshot,
                            .page = {},
                            .age_ms = static_cast<std::uint64_t>(age().count()),
                            .held_ms = static_cast<std::uint64_t>(held.count())},
                           encoded);
}

void topic_relay::respond_to(const pending_request& held)
{
  held.respond(
      make_response(held.request, held.excluded_key,
                    std::chrono::duration_cast<milliseconds>(current_time() - held.received_at)));
}

void topic_relay::serve(const changes_request& request, const std::string& excluded_key,
                        responder respond)
{
  const bool stale = is_stale();
  if (!request.may_wait || (has_news(request) && !stale))
  {
    respond(make_response(request, excluded_key, milliseconds(0)));
    return;
  }
  const auto now = current_time();
  m_pending.push_back({request, excluded_key, std::move(respond), now,
                       now + (stale ? m_timing.confirmation_wait : m_timing.relay_wait), stale});
  await_expiry();
}

void topic_relay::await_expiry()
{
  const auto first = std::min_element(m_pending.begin(), m_pending.end(),
                                      [](const pending_request& a, const pending_request& b)
                                      { return a.expires_at < b.expires_at; });
  if (first != m_pending.end())
  {
    m_timer.start(first->expires_at + expiry_delay - current_time(), [this] { expire_requests(); });
  }
}

void topic_relay::notify()
{
  const auto pending = std::move(m_pending);
  m_pending.clear();
  for (const pending_request& held : pending)
  {
    if (has_news(held.request) || (held.awaits_confirmation && !is_stale()))
    {
      respond_to(held);
    }
    else
    {
      m_pending.push_back(held);
    }
  }
}

void topic_relay::expire_requests()
{
  const auto now = current_time();
  std::vector<pending_request> expired;
  std::erase_if(m_pending,
                [&expired, now](const pending_request& held)
                {
                  if (now < held.expires_at)
                  {
                    return false;
                  }
                  expired.push_back(held);
                  return true;
                });
  for (const pending_request& held : expired)
  {
    respond_to(held);
  }
  await_expiry();
}

} // namespace pollenyoke::state_feed
