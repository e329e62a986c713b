#include "Membership/PushTree.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Common/Rendezvous.h"

namespace pollenyoke::membership
{

push_tree::push_tree(std::vector<host_id> hosts, std::string_view failure_domain,
                     const host_id& self)
{
  if (std::find(hosts.begin(), hosts.end(), self) == hosts.end())
  {
    hosts.push_back(self);
  }
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (host_id& host : hosts)
  {
    names.push_back(std::move(host.value));
  }
  for (const std::size_t index : rendezvous_order("push/" + std::string(failure_domain), names))
  {
    if (names[index] == self.value)
    {
      m_rank = m_order.size();
    }
    m_order.push_back(host_id{names[index]});
  }
}

std::optional<host_id> push_tree::parent() const
{
  return m_rank == 0 ? std::nullopt : std::optional(m_order[(m_rank - 1) / fan_out]);
}

std::vector<host_id> push_tree::children() const
{
  const std::size_t begin = std::min(m_rank * fan_out + 1, m_order.size());
  const std::size_t end = std::min(begin + fan_out, m_order.size());
  return {m_order.begin() + static_cast<std::ptrdiff_t>(begin),
          m_order.begin() + static_cast<std::ptrdiff_t>(end)};
}

std::vector<host_id> push_tree::neighbours() const
{
  std::vector<host_id> out = children();
  if (const auto above = parent())
  {
    out.push_back(*above);
  }
  if (m_rank < candidate_count)
  {
    for (std::size_t i = 0; i < std::min(candidate_count, m_order.size()); ++i)
    {
      if (i != m_rank && std::find(out.begin(), out.end(), m_order[i]) == out.end())
      {
        out.push_back(m_order[i]);
      }
    }
  }
  return out;
}

bool push_tree::is_reader(const host_filter& usable) const
{
  if (m_rank >= std::min(candidate_count, m_order.size()))
  {
    return false;
  }
  const auto before =
      std::count_if(m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(m_rank), usable);
  return static_cast<std::size_t>(before) < reader_count;
}

bool push_tree::is_root(const host_filter& usable) const
{
  return m_rank < std::min(candidate_count, m_order.size()) &&
         std::none_of(m_order.begin(), m_order.begin() + static_cast<std::ptrdiff_t>(m_rank),
                      usable);
}

std::optional<host_id> push_tree::root(const host_filter& usable) const
{
  const auto end =
      m_order.begin() + static_cast<std::ptrdiff_t>(std::min(candidate_count, m_order.size()));
  const auto found = std::find_if(m_order.begin(), end, usable);
  return found == end ? std::nullopt : std::optional(*found);
}

std::optional<std::size_t> push_tree::poll_rank(std::uint64_t list_version,
                                                const host_filter& usable) const
{
  const std::size_t candidates = std::min(candidate_count, m_order.size());
  if (m_rank >= candidates)
  {
    return std::nullopt;
  }
  std::vector<std::string> names;
  for (std::size_t i = 0; i < candidates; ++i)
  {
    names.push_back(m_order[i].value);
  }
  std::size_t before = 0;
  for (const std::size_t i : rendezvous_order("poll/" + std::to_string(list_version), names))
  {
    if (i == m_rank)
    {
      break;
    }
    before += usable(m_order[i]) ? 1 : 0;
  }
  return before;
}

void push_tree::add_children(std::size_t of, const host_filter& usable,
                             std::vector<host_id>& to) const
{
  for (std::size_t i = of * fan_out + 1; i <= of * fan_out + fan_out && i < m_order.size(); ++i)
  {
    if (i == m_rank)
    {
      continue;
    }
    if (usable(m_order[i]))
    {
      to.push_back(m_order[i]);
    }
    else
    {
      add_children(i, usable, to);
    }
  }
}

std::vector<host_id> push_tree::push_targets(const host_filter& usable) const
{
  std::vector<host_id> out;
  add_children(m_rank, usable, out);
  if (!is_root(usable))
  {
    return out;
  }
  for (std::size_t i = 0; i < m_rank; ++i)
  {
    add_children(i, usable, out);
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

} // namespace pollenyoke::membership
