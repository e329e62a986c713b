#include "AsyncIo/IdlePool.h"

#include <algorithm>

#include "Common/BootClock.h"

namespace pollenyoke::async_io
{

idle_pool::idle_pool(std::size_t max_per_address) : m_max_per_address(max_per_address) {}

idle_pool::~idle_pool()
{
  clear();
}

tcp_connection::pointer idle_pool::take(const transport::endpoint& address)
{
  const auto found = m_idle.find(address);
  if (found == m_idle.end())
  {
    return nullptr;
  }
  auto& list = found->second;
  const auto now = current_time();
  while (!list.empty())
  {
    const idle_connection last = list.back();
    list.pop_back();
    if (last.connection->is_open() && now < last.expires)
    {
      return last.connection;
    }
    last.connection->close();
  }
  m_idle.erase(found);
  return nullptr;
}

void idle_pool::put(const transport::endpoint& address, const tcp_connection::pointer& connection,
                    std::chrono::milliseconds lifetime)
{
  auto& list = m_idle[address];
  const auto now = current_time();
  std::erase_if(list,
                [now](const idle_connection& idle)
                {
                  const bool expired = !idle.connection->is_open() || now >= idle.expires;
                  if (expired)
                  {
                    idle.connection->close();
                  }
                  return expired;
                });
  if (m_max_per_address == 0 || lifetime.count() <= 0)
  {
    connection->close();
    return;
  }
  if (list.size() >= m_max_per_address)
  {
    // The one that was used last is the least likely to have gone silent.
    list.front().connection->close();
    list.erase(list.begin());
  }
  connection->wait_idle();
  list.push_back({connection, now + lifetime});
}

void idle_pool::drop(const transport::endpoint& address)
{
  const auto found = m_idle.find(address);
  if (found == m_idle.end())
  {
    return;
  }
  for (const idle_connection& idle : found->second)
  {
    idle.connection->close();
  }
  m_idle.erase(found);
}

void idle_pool::clear()
{
  for (const auto& [address, list] : m_idle)
  {
    for (const idle_connection& idle : list)
    {
      idle.connection->close();
    }
  }
  m_idle.clear();
}

} // namespace pollenyoke::async_io
