#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "LogFollower/FleetFollowerImpl.h"
#include "Membership/HostList.h"
#include "Protocol/Codec.h"

namespace pollenyoke::log_follower
{

namespace
{

using clock = std::chrono::steady_clock;
using membership::member_view_ptr;
using membership::peer;
using membership::polling;

bool is_usable(const membership::member_view& view, const host_id& host)
{
  const peer* found = view.find(host);
  return found != nullptr && !found->leaving && (found->alive || found->awaited);
}
using std::chrono::milliseconds;

// A process that has folded more than this at once (cold start) does not push it: the others start
// cold too, or fetch what they lack.
constexpr std::uint64_t max_pushed_records = 1024;
// A pushed record normally arrives well within this time after a heartbeat showed it.
constexpr milliseconds fetch_delay{300};
constexpr milliseconds fetch_retry{1000};
// Each change of the host list shifts positions in the tree; connections to former neighbours
// would add up, and each one costs keep-alive traffic.
constexpr std::chrono::seconds unused_link_lifetime{60};
// Host lists kept to answer with a change instead of the whole list.
constexpr std::size_t kept_host_lists = 4;

} // namespace

void fleet_follower::implementation::run_control()
{
  std::unique_lock lock(m_mutex);
  while (!m_stopping)
  {
    m_changed = false;
    lock.unlock();
    const auto now = clock::now();
    update_host_list();
    const member_view_ptr view = m_members.view();
    update_role(view, now);
    push_records(view, now);
    publish_state();
    fetch_if_behind(view, now);
    close_unused_links(now);
    lock.lock();
    m_wake.wait_for(lock, control_tick, [this] { return m_stopping || m_changed; });
  }
}

void fleet_follower::implementation::update_host_list()
{
  const host_list_ptr list = m_members.current_host_list();
  host_list_ptr before;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_host_lists.empty())
    {
      before = m_host_lists.back();
    }
    if (list->version == 0 || list == before)
    {
      return;
    }
    std::vector<host_id> domain;
    for (const membership::listed_host& host : list->hosts)
    {
      if (host.failure_domain == m_settings.failure_domain)
      {
        domain.push_back(host.host);
      }
    }
    m_tree = membership::push_tree(std::move(domain), m_settings.failure_domain, m_settings.host);
    m_has_host_list = true;
    m_host_lists.push_back(list);
    if (m_host_lists.size() > kept_host_lists)
    {
      m_host_lists.pop_front();
    }
  }
  push_host_list(m_members.view(), before);
}

void fleet_follower::implementation::update_role(const member_view_ptr& view, clock::time_point now)
{
  const auto usable = [&view](const host_id& host)
  {
    return is_usable(*view, host);
  };
  polling mode = polling::off;
  bool became_reader = false;
  {
    const std::lock_guard lock(m_mutex);
    const bool reader = m_has_host_list && m_tree.is_reader(usable);
    became_reader = reader && !m_reader;
    m_reader = reader;
    m_root = m_has_host_list && m_tree.is_root(usable);
    // Nobody pushes to the root, so silence says nothing about a reader.
    if (!reader && now - m_last_contact > m_control.orphan_timeout)
    {
      mode = polling::primary;
    }
    else if (m_has_host_list)
    {
      const auto rank = m_tree.poll_rank(m_host_lists.back()->version, usable);
      mode = rank == 0U ? polling::primary : rank == 1U ? polling::backup : polling::off;
    }
    m_poll_mode = mode;
    m_metrics.set("fleet_reader", reader ? 1 : 0);
    m_metrics.set("fleet_state_offset", static_cast<double>(m_replica.state()->offset.value));
  }
  m_members.set_host_list_polling(mode);
  if (became_reader)
  {
    m_wake.notify_all();
  }
}

std::vector<host_id> fleet_follower::implementation::push_targets(const member_view_ptr& view) const
{
  const std::lock_guard lock(m_mutex);
  if (!m_has_host_list)
  {
    return {};
  }
  // Hosts below a child are not watched; they count as usable.
  return m_tree.push_targets(
      [&view](const host_id& host)
      {
        const peer* found = view->find(host);
        return found != nullptr && (found->alive || found->awaited || !found->watched);
      });
}

bool fleet_follower::implementation::send(const member_view_ptr& view, const host_id& to,
                                          const transport::frame& message)
{
  const peer* found = view->find(to);
  if (found == nullptr)
  {
    return false;
  }
  const auto connection = m_links.link(to, membership::channel::control, found->listed.tcp);
  m_used_links[to] = {connection, clock::now()};
  return m_node.send(connection, message);
}

void fleet_follower::implementation::push_records(const member_view_ptr& view,
                                                  clock::time_point now)
{
  // An empty push tells the receivers that this process still serves them.
  const bool keep_alive = now - m_last_push > m_control.orphan_timeout / 3;
  std::vector<transport::frame> messages;
  {
    const std::lock_guard lock(m_mutex);
    const log_offset end = m_replica.state()->offset;
    if (end.value > m_pushed.value + max_pushed_records)
    {
      m_pushed = end;
    }
    while (m_pushed < end)
    {
      auto records = m_replica.records_from(log_offset{m_pushed.value + 1}, max_message_bytes);
      if (!records || records->empty())
      {
        m_pushed = end;
        break;
      }
      m_pushed = records->back().offset;
      messages.push_back(protocol::encode(protocol::state_push{std::move(*records), "", 0}));
    }
  }
  if (messages.empty() && keep_alive)
  {
    messages.push_back(protocol::encode(protocol::state_push{}));
  }
  if (messages.empty())
  {
    return;
  }
  m_last_push = now;
  for (const host_id& to : push_targets(view))
  {
    for (const transport::frame& message : messages)
    {
      send(view, to, message);
    }
  }
}

void fleet_follower::implementation::push_host_list(const member_view_ptr& view,
                                                    const host_list_ptr& before)
{
  host_list_ptr list;
  {
    const std::lock_guard lock(m_mutex);
    list = m_host_lists.back();
  }
  // Without an earlier list this process has just started; the others have their own.
  if (before == nullptr)
  {
    return;
  }
  const auto message = protocol::encode(
      protocol::state_push{{}, membership::format_host_list_change(*before, *list), list->version});
  std::vector<host_id> targets = push_targets(view);
  {
    const std::lock_guard lock(m_mutex);
    // The host that polls is seldom the root; only pushes from the root reach the whole domain.
    const auto root = m_tree.root([&view](const host_id& host) { return is_usable(*view, host); });
    if (m_poll_mode != polling::off && !m_root && root &&
        std::find(targets.begin(), targets.end(), *root) == targets.end())
    {
      targets.push_back(*root);
    }
  }
  for (const host_id& to : targets)
  {
    send(view, to, message);
  }
}

void fleet_follower::implementation::publish_state()
{
  fleet_state_ptr current;
  std::vector<std::function<void(fleet_state_ptr)>> callbacks;
  {
    const std::lock_guard lock(m_mutex);
    current = m_replica.state();
    callbacks = m_callbacks;
  }
  if (current == m_published)
  {
    return;
  }
  m_published = current;
  std::vector<host_id> stops;
  for (const auto& [host, offset] : current->planned_stops)
  {
    stops.push_back(host);
  }
  m_members.set_planned_stops(std::move(stops));
  for (const auto& callback : callbacks)
  {
    callback(current);
  }
}

void fleet_follower::implementation::fetch_if_behind(const member_view_ptr& view,
                                                     clock::time_point now)
{
  protocol::state_fetch request;
  host_id to;
  {
    const std::lock_guard lock(m_mutex);
    const log_offset own = m_replica.state()->offset;
    const std::uint64_t own_list = m_host_lists.empty() ? 0 : m_host_lists.back()->version;
    std::vector<const peer*> ahead;
    for (const peer& one : view->peers)
    {
      // The list of another region can hold other addresses.
      const bool newer_list =
          one.listed.region == m_settings.region && one.host_list_version > own_list;
      if (one.alive && one.listed.host != m_settings.host && (one.state_offset > own || newer_list))
      {
        ahead.push_back(&one);
      }
    }
    if (ahead.empty())
    {
      m_behind = false;
      m_fetch_attempts = 0;
      return;
    }
    if (!std::exchange(m_behind, true))
    {
      // A process without state does not wait for pushes.
      m_fetch_since = now + (own.value == 0 ? milliseconds(0) : fetch_delay);
    }
    if (now < m_fetch_since || now < m_next_fetch)
    {
      return;
    }
    // The parent first, if it is ahead; after a failure the others, the most advanced first.
    const auto parent = m_tree.order().empty() ? std::nullopt : m_tree.parent();
    std::sort(ahead.begin(), ahead.end(),
              [&parent](const peer* a, const peer* b)
              {
                const bool a_parent = parent == a->listed.host;
                const bool b_parent = parent == b->listed.host;
                return a_parent != b_parent                 ? a_parent
                       : a->state_offset != b->state_offset ? a->state_offset > b->state_offset
                                                            : a->listed.host < b->listed.host;
              });
    to = ahead[m_fetch_attempts++ % ahead.size()]->listed.host;
    m_next_fetch = now + fetch_retry;
    request = {log_offset{own.value + 1}, own_list};
  }
  m_metrics.add("fleet_fetches");
  send(view, to, protocol::encode(request));
}

void fleet_follower::implementation::close_unused_links(clock::time_point now)
{
  std::set<host_id> neighbours;
  {
    const std::lock_guard lock(m_mutex);
    if (m_has_host_list)
    {
      const auto current = m_tree.neighbours();
      neighbours.insert(current.begin(), current.end());
    }
  }
  std::erase_if(m_used_links,
                [&](const auto& entry)
                {
                  const bool unused = !neighbours.contains(entry.first) &&
                                      now - entry.second.last_used > unused_link_lifetime;
                  if (unused)
                  {
                    m_node.close(entry.second.connection);
                  }
                  return unused;
                });
}

// Messages from peers

} // namespace pollenyoke::log_follower
