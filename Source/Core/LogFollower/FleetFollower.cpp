#include "LogFollower/FleetFollower.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "LogFollower/FleetFollowerImpl.h"

namespace pollenyoke::log_follower
{

namespace
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

} // namespace

void fleet_follower::implementation::start()
{
  m_last_contact = m_checkpoint_time = clock::now();
  m_control_thread = std::thread([this] { run_control(); });
  m_reader_thread = std::thread([this] { run_reader(); });
}

void fleet_follower::implementation::stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread* thread : {&m_control_thread, &m_reader_thread})
  {
    if (thread->joinable())
    {
      thread->join();
    }
  }
}

fleet_state_ptr fleet_follower::implementation::state() const
{
  const std::lock_guard lock(m_mutex);
  return m_replica.state();
}

void fleet_follower::implementation::on_change(std::function<void(fleet_state_ptr)> callback)
{
  const std::lock_guard lock(m_mutex);
  m_callbacks.push_back(std::move(callback));
}

result<log_offset> fleet_follower::implementation::append(protocol::record_body body,
                                                          milliseconds patience)
{
  const auto deadline = clock::now() + patience;
  const std::string id = make_record_id();
  const auto appended = m_log.append_once(protocol::fleet_stream, id,
                                          protocol::format_log_record({id, std::move(body)}),
                                          state()->offset, patience);
  if (!appended)
  {
    return tl::unexpected(appended.error());
  }
  // Waits for the push or the reader thread; reads directly if they are slow.
  while (state()->offset < appended->offset)
  {
    if (clock::now() >= deadline)
    {
      return fail(error_code::timeout, "log: record appended at offset " +
                                           std::to_string(appended->offset.value) +
                                           ", but this process has not read it yet");
    }
    const log_offset from{state()->offset.value + 1};
    auto page = m_log.read(protocol::fleet_stream, from, page_records, milliseconds(0));
    if (page)
    {
      change_replica([&](state_replica& replica) { return replica.take_run(from, page->records); });
    }
    else
    {
      std::this_thread::sleep_for(first_backoff);
    }
  }
  return appended->offset;
}

nlohmann::json fleet_follower::implementation::dump() const
{
  const fleet_state_ptr current = state();
  nlohmann::json out = fleet::to_json(*current);
  out.erase("record_ids");
  out["digest"] = to_hex(fleet::state_digest(*current));
  out["log_age_ms"] = m_log.age().count();
  const std::lock_guard lock(m_mutex);
  out["reader"] = m_reader;
  out["root"] = m_root;
  out["tree_rank"] = m_tree.rank();
  out["tree_size"] = m_tree.order().size();
  return out;
}

fleet_follower::fleet_follower(dependencies with) : m_impl(std::make_unique<implementation>(with))
{
}

fleet_follower::~fleet_follower() = default;

void fleet_follower::start()
{
  m_impl->start();
}

void fleet_follower::stop()
{
  m_impl->stop();
}

fleet_state_ptr fleet_follower::state() const
{
  return m_impl->state();
}

void fleet_follower::on_change(std::function<void(fleet_state_ptr)> callback)
{
  m_impl->on_change(std::move(callback));
}

result<log_offset> fleet_follower::append(protocol::record_body body,
                                          std::chrono::milliseconds patience)
{
  return m_impl->append(std::move(body), patience);
}

bool fleet_follower::handle_frame(transport::connection_id from, const transport::frame& message)
{
  return m_impl->handle_frame(from, message);
}

nlohmann::json fleet_follower::dump() const
{
  return m_impl->dump();
}

} // namespace pollenyoke::log_follower
