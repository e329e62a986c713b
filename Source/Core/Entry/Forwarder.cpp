#include "Entry/Forwarder.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Log.h"
#include "Entry/RequestSession.h"
#include "Keys/KeyRecord.h"
#include "Protocol/Codec.h"

namespace pollenyoke::entry
{

using protocol::message_type;
using routing::suspect_verdict;

namespace
{

template <typename Message>
std::optional<agent_event> decode_event(transport::connection_id from,
                                        const transport::frame& frame)
{
  auto message = protocol::decode<Message>(frame);
  if (!message)
  {
    log_warning(log_category::requests,
                "closing connection: cannot decode an answer message of an agent",
                {{"type", static_cast<int>(frame.type)}, {"reason", message.error().message}});
    return std::nullopt;
  }
  return agent_event{from, std::move(*message)};
}

std::optional<agent_event> to_event(transport::connection_id from, const transport::frame& frame)
{
  switch (protocol::type_of(frame))
  {
  case message_type::request_refused:
    return decode_event<protocol::request_refused>(from, frame);
  case message_type::answer_head:
    return decode_event<protocol::answer_head>(from, frame);
  case message_type::answer_frame:
    return decode_event<protocol::answer_frame>(from, frame);
  case message_type::answer_end:
    return decode_event<protocol::answer_end>(from, frame);
  case message_type::answer_failed:
    return decode_event<protocol::answer_failed>(from, frame);
  case message_type::outcome_reply:
    return decode_event<protocol::outcome_reply>(from, frame);
  default:
    return std::nullopt;
  }
}

bool is_answer_message(message_type type)
{
  return type == message_type::request_refused || type == message_type::answer_head ||
         type == message_type::answer_frame || type == message_type::answer_end ||
         type == message_type::answer_failed || type == message_type::outcome_reply;
}

} // namespace

forwarder::forwarder(const protocol::settings& config, forwarder_environment environment,
                     agent_links& links, suspect_exchange& suspects, metrics_registry& metrics)
    : m_settings(config), m_environment(std::move(environment)), m_links(links),
      m_suspects(suspects), m_metrics(metrics), m_retry_budget(config.requests.retry_budget),
      // Seeded at random so that entries started at the same time choose different candidates.
      m_random_engine(std::random_device{}())
{
}

forwarder::~forwarder() = default;

std::shared_ptr<request_session> forwarder::start(forward_request request)
{
  if (m_in_flight.fetch_add(1) >= m_settings.requests.max_in_flight)
  {
    --m_in_flight;
    m_metrics.add("entry_requests_over_limit");
    return nullptr;
  }
  m_metrics.add("entry_requests");
  auto session = std::make_shared<request_session>(*this, std::move(request));
  const std::lock_guard lock(m_mutex);
  m_retry_budget.add_request();
  m_sessions[session->id()] = session;
  return session;
}

void forwarder::remove(const request_id& id)
{
  const std::lock_guard lock(m_mutex);
  m_sessions.erase(id);
  --m_in_flight;
}

std::uint32_t forwarder::in_flight() const
{
  return m_in_flight;
}

void forwarder::begin_stop(std::chrono::steady_clock::time_point refuse_from,
                           std::chrono::steady_clock::time_point end)
{
  const std::lock_guard lock(m_mutex);
  m_planned_end = {refuse_from, end};
}

bool forwarder::outlasts(const forward_request& request)
{
  const std::lock_guard lock(m_mutex);
  return !m_planned_end || std::chrono::steady_clock::now() < m_planned_end->refuse_from ||
         request.deadline <= m_planned_end->end;
}

void forwarder::stop()
{
  m_stopping = true;
}

bool forwarder::handle_frame(transport::connection_id from, const transport::frame& message)
{
  if (!is_answer_message(protocol::type_of(message)))
  {
    return false;
  }
  auto event = to_event(from, message);
  if (!event)
  {
    m_environment.close(from);
    return true;
  }
  const auto* reply = std::get_if<protocol::outcome_reply>(&event->payload);
  if (reply != nullptr && m_links.handle_reply(from, *reply))
  {
    return true;
  }
  std::shared_ptr<request_session> session;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_sessions.find(event->request());
    session = found == m_sessions.end() ? nullptr : found->second.lock();
  }
  if (session == nullptr)
  {
    m_metrics.add("entry_frames_without_request");
    return true;
  }
  session->post(std::move(*event));
  return true;
}

void forwarder::handle_closed(transport::connection_id connection)
{
  m_links.handle_closed(connection);
  std::vector<std::shared_ptr<request_session>> sessions;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, weak] : m_sessions)
    {
      if (auto session = weak.lock())
      {
        sessions.push_back(std::move(session));
      }
    }
  }
  for (const auto& session : sessions)
  {
    session->post({connection, connection_closed{}});
  }
}

std::vector<const membership::peer*>
forwarder::usable_agents(const membership::member_view& view, const forward_request& request,
                         const std::set<host_id>& excluded) const
{
  auto agents = find_agents(view, {.service = request.open.service,
                                   .model = request.open.model,
                                   .version = request.open.version});
  std::erase_if(agents, [&](const membership::peer* agent)
                { return excluded.contains(agent->listed.host); });
  const auto reachable = [this](const membership::peer* agent)
  {
    return !m_links.failed_recently(agent->listed.host);
  };
  if (std::any_of(agents.begin(), agents.end(), reachable))
  {
    std::erase_if(agents, [&](const membership::peer* agent) { return !reachable(agent); });
  }
  return agents;
}

// Called with m_mutex held.
routing::candidate forwarder::make_candidate(const membership::peer& agent) const
{
  routing::candidate out{
      .host = agent.listed.host, .reported_in_flight = agent.in_flight, .capacity = agent.capacity};
  if (const auto own = m_own_in_flight.find(out.host); own != m_own_in_flight.end())
  {
    out.own_in_flight = own->second;
  }
  const auto reported = m_reported_loads.find(out.host);
  if (reported != m_reported_loads.end() && reported->second.at > agent.last_heard)
  {
    out.reported_in_flight = reported->second.permille * agent.capacity / 1000;
  }
  return out;
}

std::optional<chosen_agent> forwarder::choose_agent(const forward_request& request,
                                                    const std::set<host_id>& excluded)
{
  const auto view = m_environment.view();
  const auto agents = usable_agents(*view, request, excluded);
  const bool isolated = m_suspects.verdict(request.open.body_digest) == suspect_verdict::run_alone;
  const std::lock_guard lock(m_mutex);
  if (!request.open.key.empty())
  {
    const auto owner = m_key_owners.find({request.open.service, keys::slot_of(request.open.key)});
    if (owner != m_key_owners.end() && !excluded.contains(owner->second))
    {
      if (const membership::peer* peer = view->find(owner->second); peer && peer->alive)
      {
        return chosen_agent{owner->second, peer->listed.tcp};
      }
    }
  }
  std::vector<routing::candidate> candidates;
  candidates.reserve(agents.size());
  for (const membership::peer* agent : agents)
  {
    candidates.push_back(make_candidate(*agent));
  }
  const bool round_robin_policy =
      m_settings.requests.policy == protocol::routing_policy::round_robin;
  const auto index =
      isolated ? routing::choose_isolated(candidates, to_hex(request.open.body_digest))
               : routing::choose_candidate(
                     candidates,
                     {.policy = m_settings.requests.policy,
                      .prefix = request.prefix,
                      .draw = round_robin_policy ? m_round_robin_count++ : m_random_engine()});
  if (!index)
  {
    return std::nullopt;
  }
  return chosen_agent{agents[*index]->listed.host, agents[*index]->listed.tcp};
}

std::optional<chosen_agent> forwarder::find_agent(const host_id& host) const
{
  const auto view = m_environment.view();
  const membership::peer* peer = view->find(host);
  return peer == nullptr ? std::nullopt : std::optional(chosen_agent{host, peer->listed.tcp});
}

void forwarder::adjust_in_flight(const host_id& host, int change)
{
  const std::lock_guard lock(m_mutex);
  std::uint32_t& own = m_own_in_flight[host];
  own = static_cast<std::uint32_t>(std::max(0, static_cast<int>(own) + change));
  if (own == 0)
  {
    m_own_in_flight.erase(host);
  }
}

void forwarder::record_load(const host_id& host, std::uint32_t load_permille)
{
  const std::lock_guard lock(m_mutex);
  m_reported_loads[host] = {load_permille, std::chrono::steady_clock::now()};
}

void forwarder::record_key_owner(const std::string& service, const std::string& key,
                                 const host_id& owner)
{
  const std::lock_guard lock(m_mutex);
  m_key_owners[{service, keys::slot_of(key)}] = owner;
}

bool forwarder::may_retry()
{
  const std::lock_guard lock(m_mutex);
  return m_retry_budget.try_retry();
}

nlohmann::json forwarder::dump() const
{
  nlohmann::json own = nlohmann::json::object();
  const std::lock_guard lock(m_mutex);
  for (const auto& [host, in_flight] : m_own_in_flight)
  {
    own[host.value] = in_flight;
  }
  return {{"in_flight", m_in_flight.load()},
          {"agents", std::move(own)},
          {"key_owners", m_key_owners.size()},
          {"ready_links", m_links.ready_count()}};
}

} // namespace pollenyoke::entry
