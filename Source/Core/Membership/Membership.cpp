#include "Membership/Membership.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Membership/ControlBudget.h"
#include "Membership/HostList.h"
#include "Membership/MembershipImpl.h"
#include "Membership/WatchSet.h"

namespace pollenyoke::membership
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Views are copied on read, at most this often for changes of load and offsets: a copy of 3,700
// peers takes about a millisecond.
constexpr milliseconds soft_refresh{100};
constexpr milliseconds soft_refresh_large{500};
constexpr std::size_t large_view = 500;

} // namespace

void membership::implementation::start()
{
  m_interval = wanted_interval();
  m_thread = std::thread([this] { run(); });
  m_poller.start();
}

void membership::implementation::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  m_poller.stop();
  if (m_thread.joinable())
  {
    m_thread.join();
  }
}

void membership::implementation::update_host_list(const host_list& list)
{
  watch_plan watched = plan_watches(m_settings, list);
  {
    const std::lock_guard lock(m_mutex);
    if (list.version <= m_list->version)
    {
      return;
    }
    const auto now = clock::now();
    m_list = std::make_shared<const host_list>(list);
    std::map<host_id, remote> remotes;
    for (const listed_host& host : list.hosts)
    {
      remote& to = remotes[host.host];
      if (const auto known = m_remotes.find(host.host); known != m_remotes.end())
      {
        to = std::move(known->second);
      }
      if (to.listed.udp != host.udp)
      {
        to.subscribe_now = true;
      }
      to.listed = host;
      const auto planned = watched.find(host.host);
      const bool watch = planned != watched.end();
      std::vector<host_id> relays = watch ? std::move(planned->second) : std::vector<host_id>();
      if (relays != to.relays)
      {
        to.relays = std::move(relays);
        to.relay_attempts = 0;
        to.asked_directly = false;
        to.subscribe_now = true;
      }
      if (watch && !to.watched)
      {
        to.watched_since = now;
        to.subscribe_now = true;
      }
      to.watched = watch;
    }
    m_remotes = std::move(remotes);
    m_watched = watched.size();
    m_interval = wanted_interval();
    m_changed = m_notify = true;
  }
  m_wake.notify_all();
}

void membership::implementation::set_planned_stops(std::vector<host_id> hosts)
{
  std::set<host_id> stops(hosts.begin(), hosts.end());
  {
    const std::lock_guard lock(m_mutex);
    if (stops == m_stops)
    {
      return;
    }
    m_stops = std::move(stops);
    m_changed = m_notify = true;
  }
  m_wake.notify_all();
}

peer membership::implementation::make_peer(const host_id& host, const remote& from,
                                           clock::time_point now) const
{
  peer out;
  out.listed = from.listed;
  out.incarnation = from.last.incarnation;
  out.last_heard = from.last_heard;
  out.alive = from.alive;
  out.watched = from.watched;
  out.awaited = from.watched && from.last_heard == clock::time_point{} &&
                now - from.watched_since <= m_interval * silent_intervals;
  out.leaving = from.listed.leaving || from.last.leaving || m_stops.contains(host);
  out.state_offset = from.last.state_offset;
  out.host_list_version = from.last.host_list_version;
  out.in_flight = from.last.in_flight;
  out.capacity = from.last.capacity;
  out.log_age_ms = from.last.log_age_ms;
  out.serving = from.last.serving;
  if (host == m_settings.host)
  {
    out.incarnation = m_incarnation;
    out.alive = true;
    out.last_heard = now;
    out.leaving = out.leaving || m_self_leaving;
  }
  return out;
}

void membership::implementation::rebuild_view(clock::time_point now)
{
  auto next = std::make_shared<member_view>();
  next->host_list_version = m_list->version;
  next->peers.reserve(m_remotes.size());
  std::size_t alive = 0;
  for (const auto& [host, from] : m_remotes)
  {
    next->peers.push_back(make_peer(host, from, now));
    alive += from.alive ? 1 : 0;
  }
  m_metrics.set("membership_listed", static_cast<double>(m_remotes.size()));
  m_metrics.set("membership_watched", static_cast<double>(m_watched));
  m_metrics.set("membership_alive", static_cast<double>(alive));
  m_metrics.set("membership_subscribers", static_cast<double>(m_subscribers.size()));
  m_view = std::move(next);
  m_built = now;
  m_changed = m_soft_changed = false;
}

member_view_ptr membership::implementation::view()
{
  const std::lock_guard lock(m_mutex);
  const auto now = clock::now();
  const milliseconds age_limit = m_remotes.size() > large_view ? soft_refresh_large : soft_refresh;
  if (m_changed || (m_soft_changed && now - m_built >= age_limit))
  {
    rebuild_view(now);
  }
  return m_view;
}

void membership::implementation::on_change(std::function<void(member_view_ptr)> callback)
{
  const std::lock_guard lock(m_callback_mutex);
  m_callbacks.push_back(std::move(callback));
}

void membership::implementation::set_host_list_polling(polling mode)
{
  m_poller.set_mode(mode);
}

std::shared_ptr<const host_list> membership::implementation::current_host_list() const
{
  const std::lock_guard lock(m_mutex);
  return m_list;
}

nlohmann::json membership::implementation::dump()
{
  const auto now = clock::now();
  const auto snapshot = view();
  nlohmann::json peers = nlohmann::json::array();
  for (const peer& one : snapshot->peers)
  {
    const auto silent = std::chrono::duration_cast<milliseconds>(now - one.last_heard).count();
    nlohmann::json serving = nlohmann::json::array();
    for (const protocol::served_version& entry : one.serving)
    {
      serving.push_back(entry.model + "/" + entry.version);
    }
    peers.push_back({{"host", one.listed.host.value},
                     {"watched", one.watched},
                     {"alive", one.alive},
                     {"leaving", one.leaving},
                     {"incarnation", one.incarnation.value},
                     {"state_offset", one.state_offset.value},
                     {"in_flight", one.in_flight},
                     {"capacity", one.capacity},
                     {"silent_ms", one.last_heard == clock::time_point{} ? -1 : silent},
                     {"serving", std::move(serving)}});
  }
  const std::lock_guard lock(m_mutex);
  const auto relays_bypassed =
      std::count_if(m_remotes.begin(), m_remotes.end(),
                    [](const auto& item) { return item.second.asked_directly; });
  return {{"host_list_version", snapshot->host_list_version},
          {"polling", m_poller.mode() != polling::off},
          {"interval_ms", m_interval.count()},
          {"subscribers", m_subscribers.size()},
          {"relays_bypassed", relays_bypassed},
          {"peers", std::move(peers)}};
}

const peer* member_view::find(const host_id& host) const
{
  const auto at =
      std::lower_bound(peers.begin(), peers.end(), host,
                       [](const peer& one, const host_id& id) { return one.listed.host < id; });
  return at == peers.end() || at->listed.host != host ? nullptr : &*at;
}

membership::membership(dependencies with)
    : m_impl(std::make_unique<implementation>(std::move(with)))
{
}

membership::~membership() = default;

void membership::start()
{
  m_impl->start();
}

void membership::stop()
{
  m_impl->stop();
}

member_view_ptr membership::view() const
{
  return m_impl->view();
}

void membership::update_host_list(const host_list& list)
{
  m_impl->update_host_list(list);
}

void membership::set_planned_stops(std::vector<host_id> hosts)
{
  m_impl->set_planned_stops(std::move(hosts));
}

void membership::announce()
{
  m_impl->announce();
}

bool membership::handle_datagram(const transport::endpoint& from, const transport::frame& message)
{
  return m_impl->handle_datagram(from, message);
}

void membership::on_change(std::function<void(member_view_ptr)> callback)
{
  m_impl->on_change(std::move(callback));
}

void membership::set_host_list_polling(polling mode)
{
  m_impl->set_host_list_polling(mode);
}

std::shared_ptr<const host_list> membership::current_host_list() const
{
  return m_impl->current_host_list();
}

nlohmann::json membership::dump() const
{
  return m_impl->dump();
}

} // namespace pollenyoke::membership
