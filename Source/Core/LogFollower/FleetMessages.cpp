#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "LogFollower/FleetFollowerImpl.h"
#include "Membership/HostList.h"
#include "Protocol/Codec.h"

namespace pollenyoke::log_follower
{

using membership::member_view_ptr;
using membership::peer;

bool fleet_follower::implementation::handle_frame(transport::connection_id from,
                                                  const transport::frame& message)
{
  switch (protocol::type_of(message))
  {
  case protocol::message_type::state_push:
    if (const auto decoded = protocol::decode<protocol::state_push>(message))
    {
      handle_push(from, *decoded);
    }
    return true;
  case protocol::message_type::state_fetch:
    if (const auto decoded = protocol::decode<protocol::state_fetch>(message))
    {
      handle_fetch(from, *decoded);
    }
    return true;
  case protocol::message_type::state_reply:
    if (const auto decoded = protocol::decode<protocol::state_reply>(message))
    {
      handle_reply(*decoded);
    }
    return true;
  default:
    return false;
  }
}

/// False if the text is a change of a list that this process does not have.
bool fleet_follower::implementation::take_host_list(std::string_view text)
{
  if (text.empty())
  {
    return true;
  }
  const host_list_ptr current = m_members.current_host_list();
  const auto list = membership::read_host_list(*current, text);
  if (list)
  {
    m_members.update_host_list(*list);
    return true;
  }
  if (list.error().code != error_code::conflict)
  {
    log_warning(log_category::membership, "host list from a peer was refused",
                {{"reason", list.error().message}});
    return true;
  }
  return false;
}

void fleet_follower::implementation::handle_push(transport::connection_id from,
                                                 const protocol::state_push& message)
{
  change_replica([&](state_replica& replica) { return replica.take_pushed(message.records); });
  // The host that polled gets its own change back from the root.
  const bool known = message.host_list_version <= m_members.current_host_list()->version;
  const bool list_taken = known || take_host_list(message.host_list);
  protocol::state_fetch request;
  {
    const std::lock_guard lock(m_mutex);
    m_last_contact = clock::now();
    if (list_taken && !m_replica.has_gap())
    {
      return;
    }
    request.from = log_offset{m_replica.state()->offset.value + 1};
  }
  request.host_list_version = m_members.current_host_list()->version;
  m_metrics.add("fleet_fetches");
  m_node.send(from, protocol::encode(request));
}

std::string fleet_follower::implementation::host_list_for(transport::connection_id to,
                                                          std::uint64_t version) const
{
  const auto peer_host = m_links.peer_of(to);
  const member_view_ptr view = m_members.view();
  const peer* other = peer_host ? view->find(*peer_host) : nullptr;
  const auto greeting = m_links.hello_of(to);
  const std::string region = greeting ? greeting->region : other ? other->listed.region : "";
  if (region != m_settings.region)
  {
    return "";
  }
  const std::lock_guard lock(m_mutex);
  if (m_host_lists.empty() || m_host_lists.back()->version <= version)
  {
    return "";
  }
  for (const host_list_ptr& kept : m_host_lists)
  {
    if (kept->version == version)
    {
      return membership::format_host_list_change(*kept, *m_host_lists.back());
    }
  }
  return membership::format_host_list(*m_host_lists.back());
}

void fleet_follower::implementation::handle_fetch(transport::connection_id from,
                                                  const protocol::state_fetch& message)
{
  protocol::state_reply reply;
  fleet_state_ptr snapshot;
  {
    const std::lock_guard lock(m_mutex);
    const log_offset end = m_replica.state()->offset;
    if (message.from <= end)
    {
      auto records = m_replica.records_from(message.from, max_message_bytes);
      if (records)
      {
        reply.records = std::move(*records);
      }
      else
      {
        snapshot = m_replica.state();
      }
    }
  }
  if (snapshot != nullptr)
  {
    reply.snapshot = fleet::to_json(*snapshot).dump();
  }
  reply.host_list = host_list_for(from, message.host_list_version);
  m_node.send(from, protocol::encode(reply));
}

void fleet_follower::implementation::handle_reply(const protocol::state_reply& message)
{
  if (!message.snapshot.empty())
  {
    const auto parsed = nlohmann::json::parse(message.snapshot, nullptr, false);
    auto state = fleet::from_json(parsed);
    if (!state)
    {
      log_warning(log_category::log, "state from a peer was refused",
                  {{"reason", state.error().message}});
      return;
    }
    change_replica([&](state_replica& replica) { return replica.take_state(std::move(*state)); });
  }
  // A reply starts at the offset that was asked for, which is not beyond the end of the own state,
  // neither then nor now.
  const bool changed = change_replica(
      [&](state_replica& replica)
      { return replica.take_run(log_offset{replica.state()->offset.value + 1}, message.records); });
  take_host_list(message.host_list);
  const std::lock_guard lock(m_mutex);
  if (changed || !message.host_list.empty())
  {
    // More may be waiting at the same peer.
    m_next_fetch = {};
    m_fetch_attempts = 0;
  }
}

} // namespace pollenyoke::log_follower
