#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json.hpp>

namespace pollenyoke::stand_ins
{

/// A prompt-prefix cache with a bounded number of blocks, least recently used first out, and the
/// late and incomplete list of its changes.
class prefix_cache
{
public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Fraction of the prompt's leading blocks that were cached; all blocks are cached afterwards.
  double use(std::string_view prompt, time_point now);
  void clear();
  void set_capacity(std::size_t blocks);
  /// `{"next":N,"events":[{"n","kind":"stored|evicted","prefix"}]}`. Numbers of lost events are
  /// missing.
  nlohmann::json events(std::uint64_t from, time_point visible) const;

private:
  struct event
  {
    std::uint64_t number = 0;
    time_point at;
    bool stored = false;
    std::size_t block = 0;
  };

  void store(std::size_t block, time_point now);
  void evict(time_point now);
  void record(bool stored, std::size_t block, time_point now);

  std::size_t m_capacity = 512;
  std::list<std::size_t> m_recent;
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> m_blocks;
  std::deque<event> m_events;
  std::uint64_t m_next = 1;
};

} // namespace pollenyoke::stand_ins
