#include <algorithm>
#include <utility>

#include "Common/Log.h"
#include "Common/Rendezvous.h"
#include "Membership/ControlBudget.h"
#include "Membership/MembershipImpl.h"
#include "Membership/WatchSet.h"
#include "Protocol/Codec.h"

namespace pollenyoke::membership
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::chrono::seconds subscription_lifetime{60};
constexpr std::chrono::seconds subscription_renewal{20};
constexpr std::size_t max_subscribers = 8192;
// Datagrams are lost: a change is told to every subscriber this many times.
constexpr int announcements = 3;
constexpr milliseconds announcement_gap{200};
// A heartbeat with served versions is sent this many times after a change, then they are left out.
constexpr int full_heartbeats = 2;
constexpr std::size_t max_serving_bytes = 1100;
std::uint32_t hash_of(const std::vector<protocol::served_version>& serving)
{
  std::string text;
  for (const protocol::served_version& entry : serving)
  {
    text += entry.model + "/" + entry.version + "\n";
  }
  return static_cast<std::uint32_t>(stable_hash(text));
}

} // namespace

milliseconds membership::implementation::wanted_interval() const
{
  return heartbeat_interval(m_control,
                            {m_watched, m_subscribers.size(), m_node.connection_count()});
}

protocol::heartbeat membership::implementation::describe() const
{
  protocol::heartbeat out;
  if (m_describe)
  {
    m_describe(out);
  }
  out.host = m_settings.host;
  out.incarnation = m_incarnation;
  std::size_t bytes = 0;
  std::size_t fitting = 0;
  for (const protocol::served_version& entry : out.serving)
  {
    bytes += entry.model.size() + entry.version.size() + 2 * sizeof(std::uint32_t);
    fitting += bytes <= max_serving_bytes ? 1 : 0;
  }
  out.serving.resize(fitting);
  out.serving_hash = hash_of(out.serving);
  return out;
}

void membership::implementation::send(const std::vector<datagram>& all)
{
  for (const datagram& one : all)
  {
    m_node.send_datagram(one.to, one.message);
  }
}

void membership::implementation::add_heartbeats(const protocol::heartbeat& self, bool all,
                                                clock::time_point now, std::vector<datagram>& out)
{
  std::erase_if(m_subscribers, [now](const auto& entry) { return entry.second.expires < now; });
  m_interval = wanted_interval();
  for (auto& [of, to] : m_subscribers)
  {
    if (of.second != m_settings.host)
    {
      if (const auto message = relayed_heartbeat(of.second, to, now))
      {
        out.push_back({to.address, protocol::encode(*message)});
      }
      continue;
    }
    if (!all && to.next > now)
    {
      continue;
    }
    protocol::heartbeat message = self;
    message.host_list_version = m_list->version;
    const milliseconds interval = std::max(to.interval, m_interval);
    message.interval_ms = static_cast<std::uint16_t>(interval.count());
    to.told = to.told_hash == self.serving_hash ? to.told + 1 : 1;
    to.told_hash = self.serving_hash;
    if (to.told > full_heartbeats)
    {
      to.told = full_heartbeats;
      message.serving_omitted = true;
      message.serving.clear();
    }
    to.next = now + interval;
    out.push_back({to.address, protocol::encode(message)});
  }
}

/// The heartbeat to pass on, if one has arrived since the last one. An old one is not passed on:
/// the subscriber would take it for a sign of life.
std::optional<protocol::heartbeat>
membership::implementation::relayed_heartbeat(const host_id& about, subscriber& to,
                                              clock::time_point now) const
{
  const auto found = m_remotes.find(about);
  if (found == m_remotes.end() || !found->second.relays.empty())
  {
    return std::nullopt;
  }
  const remote& from = found->second;
  const milliseconds interval = std::max(from.interval, m_interval);
  if (!from.alive || !from.serving_known || from.last_heard <= to.relayed ||
      now - from.last_heard > interval * 3 / 2)
  {
    return std::nullopt;
  }
  to.relayed = from.last_heard;
  protocol::heartbeat message = from.last;
  message.serving_omitted = false;
  message.interval_ms = static_cast<std::uint16_t>(interval.count());
  return message;
}

void membership::implementation::add_subscriptions(clock::time_point now,
                                                   std::vector<datagram>& out)
{
  for (auto& [host, to] : m_remotes)
  {
    if (!to.watched)
    {
      continue;
    }
    // A peer that restarted has forgotten the subscription; it is renewed before the peer would
    // count as dead.
    const milliseconds interval = std::max(to.interval, m_interval);
    const bool late = now - to.last_heard > interval * 3 / 2;
    const auto pause = late ? clock::duration(interval) : clock::duration(subscription_renewal);
    if (!to.subscribe_now && now - to.last_subscribe < pause)
    {
      continue;
    }
    to.relay_attempts += late && to.last_subscribe != clock::time_point{} ? 1 : 0;
    const host_id& target = subscription_target(host, to.relays, to.relay_attempts);
    const auto relay = m_remotes.find(target);
    const bool direct = target == host || relay == m_remotes.end();
    to.asked_directly = to.asked_directly || (direct && !to.relays.empty());
    to.subscribe_now = false;
    to.last_subscribe = now;
    out.push_back(
        {direct ? to.listed.udp : relay->second.listed.udp,
         protocol::encode(protocol::subscribe{
             m_settings.host, static_cast<std::uint16_t>(subscription_lifetime.count()),
             static_cast<std::uint16_t>(m_interval.count()), direct ? host_id{} : host})});
  }
}

// A process that was itself paused for that long has heard nobody and cannot tell who is silent: an
// entry would refuse requests for lack of live agents. Silence counts from its return then.
void membership::implementation::check_silence(clock::time_point now)
{
  if (now - m_last_check > m_interval * silent_intervals)
  {
    m_listening_since = now;
  }
  m_last_check = now;
  for (auto& [host, to] : m_remotes)
  {
    const milliseconds silence = std::max(to.interval, m_interval) * silent_intervals;
    if (to.alive && now - std::max(to.last_heard, m_listening_since) > silence)
    {
      to.alive = false;
      m_changed = m_notify = true;
      log_info(log_category::membership, "peer is silent", {{"peer", host.value}});
    }
  }
}

void membership::implementation::run()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping)
  {
    lock.unlock();
    const protocol::heartbeat self = describe();
    lock.lock();
    const auto now = clock::now();
    if (self.serving_hash != m_told_hash || self.leaving != m_told_leaving)
    {
      m_told_hash = self.serving_hash;
      m_told_leaving = self.leaving;
      m_announcements = announcements;
      m_next_announcement = now;
      m_self_leaving = self.leaving;
      m_changed = m_notify = true;
    }
    const bool all = m_announcements > 0 && now >= m_next_announcement;
    if (all)
    {
      --m_announcements;
      m_next_announcement = now + announcement_gap;
    }
    std::vector<datagram> out;
    add_heartbeats(self, all, now, out);
    add_subscriptions(now, out);
    check_silence(now);
    member_view_ptr changed;
    if (std::exchange(m_notify, false))
    {
      rebuild_view(now);
      changed = m_view;
    }
    lock.unlock();
    send(out);
    if (changed != nullptr)
    {
      std::vector<std::function<void(member_view_ptr)>> callbacks;
      {
        const std::lock_guard callback_lock(m_callback_mutex);
        callbacks = m_callbacks;
      }
      for (const auto& callback : callbacks)
      {
        callback(changed);
      }
    }
    lock.lock();
    m_wake.wait_for(lock, m_tick, [this] { return m_stopping || m_notify; });
  }
}

void membership::implementation::announce()
{
  const protocol::heartbeat self = describe();
  std::vector<datagram> out;
  {
    const std::lock_guard lock(m_mutex);
    const auto now = clock::now();
    m_told_hash = self.serving_hash;
    m_told_leaving = m_self_leaving = self.leaving;
    m_announcements = announcements - 1;
    m_next_announcement = now + announcement_gap;
    m_changed = true;
    add_heartbeats(self, true, now, out);
  }
  send(out);
}

void membership::implementation::handle_heartbeat(protocol::heartbeat message)
{
  bool changed = false;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_remotes.find(message.host);
    if (found == m_remotes.end() || message.host == m_settings.host)
    {
      return;
    }
    remote& from = found->second;
    const bool restarted = message.incarnation > from.last.incarnation;
    // Late datagrams of an earlier run, or of this run: the offset never decreases within one.
    if (message.incarnation < from.last.incarnation ||
        (!restarted && message.state_offset < from.last.state_offset))
    {
      return;
    }
    const auto now = clock::now();
    if (message.serving_omitted)
    {
      from.serving_known =
          from.serving_known && !restarted && message.serving_hash == from.last.serving_hash;
      // The heartbeat that listed the versions was lost; a subscription is answered with a list.
      from.subscribe_now = from.subscribe_now || !from.serving_known;
      message.serving = restarted ? std::vector<protocol::served_version>() : from.last.serving;
    }
    else
    {
      from.serving_known = true;
    }
    changed = !from.alive || restarted || message.leaving != from.last.leaving ||
              message.serving != from.last.serving;
    from.alive = true;
    from.last_heard = now;
    from.interval = milliseconds(message.interval_ms);
    from.last = std::move(message);
    m_changed = m_changed || changed;
    m_notify = m_notify || changed;
    m_soft_changed = true;
  }
  if (changed)
  {
    m_wake.notify_all();
  }
}

void membership::implementation::handle_subscribe(const transport::endpoint& from,
                                                  const protocol::subscribe& message)
{
  const std::lock_guard lock(m_mutex);
  const subscription of{message.host,
                        message.about.value.empty() ? m_settings.host : message.about};
  if (!m_subscribers.contains(of) && m_subscribers.size() >= max_subscribers)
  {
    return;
  }
  const auto now = clock::now();
  subscriber& to = m_subscribers[of];
  to.address = from;
  to.expires = now + std::chrono::seconds(message.seconds);
  to.interval = std::clamp(milliseconds(message.interval_ms), m_control.heartbeat_interval,
                           m_control.max_heartbeat_interval);
  to.next = now;
  to.told = 0;
  to.relayed = {};
}

bool membership::implementation::handle_datagram(const transport::endpoint& from,
                                                 const transport::frame& message)
{
  switch (protocol::type_of(message))
  {
  case protocol::message_type::heartbeat:
    if (auto decoded = protocol::decode<protocol::heartbeat>(message))
    {
      handle_heartbeat(std::move(*decoded));
    }
    return true;
  case protocol::message_type::subscribe:
    if (const auto decoded = protocol::decode<protocol::subscribe>(message))
    {
      handle_subscribe(from, *decoded);
    }
    return true;
  default:
    return false;
  }
}

} // namespace pollenyoke::membership
