#include "StandIns/PrefixCache.h"

#include <functional>

namespace pollenyoke::stand_ins
{

namespace
{

constexpr std::size_t block_characters = 64;
constexpr std::size_t kept_events = 4096;
// Every 13th event is lost, as events of a real engine are under load.
constexpr std::uint64_t lost_event_interval = 13;

} // namespace

double prefix_cache::use(std::string_view prompt, time_point now)
{
  std::size_t blocks = 0;
  std::size_t hits = 0;
  for (std::size_t end = block_characters; end <= prompt.size(); end += block_characters)
  {
    const std::size_t block = std::hash<std::string_view>{}(prompt.substr(0, end));
    const auto found = m_blocks.find(block);
    if (found == m_blocks.end())
    {
      store(block, now);
    }
    else
    {
      hits += hits == blocks ? 1 : 0;
      m_recent.splice(m_recent.begin(), m_recent, found->second);
    }
    ++blocks;
  }
  return blocks == 0 ? 0.0 : static_cast<double>(hits) / static_cast<double>(blocks);
}

void prefix_cache::clear()
{
  m_recent.clear();
  m_blocks.clear();
  m_events.clear();
}

void prefix_cache::set_capacity(std::size_t blocks)
{
  m_capacity = blocks;
}

void prefix_cache::store(std::size_t block, time_point now)
{
  while (!m_recent.empty() && m_blocks.size() >= m_capacity)
  {
    evict(now);
  }
  m_recent.push_front(block);
  m_blocks[block] = m_recent.begin();
  record(true, block, now);
}

void prefix_cache::evict(time_point now)
{
  record(false, m_recent.back(), now);
  m_blocks.erase(m_recent.back());
  m_recent.pop_back();
}

void prefix_cache::record(bool stored, std::size_t block, time_point now)
{
  const std::uint64_t number = m_next++;
  if (number % lost_event_interval == 0)
  {
    return;
  }
  m_events.push_back({number, now, stored, block});
  if (m_events.size() > kept_events)
  {
    m_events.pop_front();
  }
}

nlohmann::json prefix_cache::events(std::uint64_t from, time_point visible) const
{
  nlohmann::json list = nlohmann::json::array();
  std::uint64_t next = from;
  for (const event& item : m_events)
  {
    if (item.number >= from && item.at <= visible)
    {
      list.push_back({{"n", item.number},
                      {"kind", item.stored ? "stored" : "evicted"},
                      {"prefix", std::to_string(item.block)}});
      next = item.number + 1;
    }
  }
  return {{"next", next}, {"events", list}};
}

} // namespace pollenyoke::stand_ins
